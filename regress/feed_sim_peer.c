/* feed_sim_peer.c - the messages between hosts of feed_sim.h's simulation. */
#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "base/arena.h"
#include "regress/feed_sim_private.h"

enum {
    MESSAGE_HEAD_BYTES = 160, /* RPC, tag, TCP */
    KBYTE = 1000,
};
#define POLL_PARTS ((uint64_t)1 << LINK_POLL_PARTS_BIT)

static void handle_changes(size_t index, const char *from,
                           const store_changes_t *reply);
static void handle_parts(size_t index, const char *from,
                         const store_parts_t *parts);
static void finish_poll(size_t index, sync_reply_t kind, uint32_t age_ms);

void
feed_send(void *context, const char *name, const message_t *message)
{
    feed_host_t *from = context;
    feed_event_t event = {.kind = FEED_EVENT_MESSAGE,
                          .host = (size_t)strtoul(name + 1, NULL, 10),
                          .from = (size_t)(from - feed_sim.hosts)};
    message_t *encoded = (message_t *)(uintptr_t)message;
    size_t bytes;
    XDR xdr;

    event.count = xdr_sizeof((xdrproc_t)xdr_message_t, encoded);
    event.bytes = xcalloc(1, event.count + 1);
    xdrmem_create(&xdr, event.bytes, (u_int)event.count, XDR_ENCODE);
    if (!xdr_message_t(&xdr, encoded)) {
        abort();
    }
    bytes = event.count + MESSAGE_HEAD_BYTES;
    feed_count_bytes(&from->up, bytes);
    if (feed_sim.now_us >= (int64_t)FEED_GROWTH_MS * FEED_US_PER_MS) {
        feed_sim.result.host_bytes += bytes;
        if (from->up.second_bytes > feed_sim.result.busiest_bytes) {
            feed_sim.result.busiest_bytes = from->up.second_bytes;
        }
    }
    feed_push(
        feed_transfer(&from->up,
                      (uint64_t)feed_sim.settings.link_kbytes_per_s * KBYTE,
                      &feed_sim.hosts[event.host].down, bytes),
        &event);
}

void
feed_poll_host(size_t index, const store_sync_step_t *step)
{
    feed_host_t *host = &feed_sim.hosts[index];
    message_t message = {.kind = MESSAGE_STORE_POLL};
    arena_t arena = {0};

    if (step->new_host) {
        host->fetches = false;
    }
    if (host->fetches) {
        message.kind = MESSAGE_STORE_FETCH;
        message.message_t_u.store_fetch.number =
            step->poll_number | POLL_PARTS;
        store_intake_write_fetch(host->intake, &arena,
                                 &message.message_t_u.store_fetch);
    }
    else {
        message.message_t_u.store_poll = (store_poll_t){
            .number = step->poll_number | (host->legacy ? 0 : POLL_PARTS),
            .after = mirror_revision(host->mirror)};
    }
    feed_send(host, step->host, &message);
    arena_free(&arena);
}

void
feed_handle_message(const feed_event_t *event)
{
    feed_host_t *host = &feed_sim.hosts[event->host];
    const char *from = feed_sim.hosts[event->from].name;
    feed_time_t now = feed_time_of(event->host);
    message_t message = {0};
    XDR xdr;

    xdrmem_create(&xdr, event->bytes, (u_int)event->count, XDR_DECODE);
    if (!xdr_message_t(&xdr, &message)) {
        abort();
    }
    switch (message.kind) {
    case MESSAGE_STORE_POLL:
        if (host->legacy) {
            message.message_t_u.store_poll.number &= ~POLL_PARTS;
        }
        store_feed_poll(host->feed, &now, from,
                        &message.message_t_u.store_poll);
        break;
    case MESSAGE_STORE_FETCH:
        store_feed_fetch(host->feed, &now, from,
                         &message.message_t_u.store_fetch);
        break;
    case MESSAGE_STORE_CHANGES:
        handle_changes(event->host, from, &message.message_t_u.store_changes);
        break;
    default:
        handle_parts(event->host, from, &message.message_t_u.store_parts);
        break;
    }
    xdr_free((xdrproc_t)xdr_message_t, &message);
    free(event->bytes);
}

static void
handle_changes(size_t index, const char *from, const store_changes_t *reply)
{
    feed_host_t *host = &feed_sim.hosts[index];

    if (!store_sync_is_polling(host->sync, from,
                               reply->number & ~POLL_PARTS)) {
        return;
    }
    if (reply->known) {
        store_intake_apply_items(host->intake, reply->items.items_val,
                                 reply->items.items_len);
        mirror_advance(host->mirror, reply->revision);
        feed_run(index);
    }
    finish_poll(index, reply->known ? SYNC_REPLY_CHANGES : SYNC_REPLY_UNKNOWN,
                reply->contact_age_ms);
}

static void
handle_parts(size_t index, const char *from, const store_parts_t *parts)
{
    feed_host_t *host = &feed_sim.hosts[index];
    sync_reply_t kind = parts->known ? SYNC_REPLY_CHANGES : SYNC_REPLY_UNKNOWN;
    err_t err;

    if (!store_sync_is_polling(host->sync, from,
                               parts->number & ~POLL_PARTS)) {
        return;
    }
    host->fetches = true;
    if (parts->known) {
        if (store_intake_handle(host->intake, parts, &err) < 0) {
            kind = SYNC_REPLY_UNKNOWN;
        }
        else if (!store_intake_is_final(
                     parts, feed_fleet(index).contact_age_max_ms)) {
            kind = SYNC_REPLY_PARTIAL;
        }
        feed_run(index);
    }
    finish_poll(index, kind, parts->contact_age_ms);
}

static void
finish_poll(size_t index, sync_reply_t kind, uint32_t age_ms)
{
    store_sync_fleet_t fleet = feed_fleet(index);
    store_sync_step_t step =
        store_sync_poll_done(feed_sim.hosts[index].sync, kind, age_ms, &fleet);

    feed_execute(index, &step);
}
