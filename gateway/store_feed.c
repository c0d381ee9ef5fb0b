/* store_feed.c - see store_feed.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "forward/follower.h"
#include "gateway/store_feed_private.h"

enum { US_PER_MS = 1000 };

/* A host that has been sent a piece and has not polled since. */
typedef struct {
    char host[LINK_NAME_MAX + 1];
    int64_t expires_us; /* 0: free */
} receiver_t;

struct store_feed {
    mirror_t *mirror;
    feed_send_t send;
    void *context;
    TAILQ_HEAD(poll_list, held_poll) polls;
    size_t count;
    receiver_t receivers[FEED_WINDOW_PIECES];
    feed_counters_t counters;
};

static held_poll_t *poll_new(store_feed_t *feed, const feed_time_t *time,
                             const char *host, poll_kind_t kind);
static void poll_free(store_feed_t *feed, held_poll_t *poll);
static void copy_fetch(held_poll_t *poll, const store_fetch_t *fetch);
static void drop_poll_of(store_feed_t *feed, const char *host);
static bool serve(store_feed_t *feed, const feed_time_t *time,
                  held_poll_t *poll);
static void send_legacy(store_feed_t *feed, const feed_time_t *time,
                        const held_poll_t *poll);
static bool send_parts(store_feed_t *feed, const feed_time_t *time,
                       held_poll_t *poll);
static void hold_for_turn(held_poll_t *poll, int64_t now_us);
static void count_bytes(store_feed_t *feed, const store_parts_t *parts);
static receiver_t *free_receiver(store_feed_t *feed, int64_t now_us);

store_feed_t *
store_feed_new(mirror_t *mirror, feed_send_t send, void *context)
{
    store_feed_t *feed = xcalloc(1, sizeof(*feed));

    feed->mirror = mirror;
    feed->send = send;
    feed->context = context;
    TAILQ_INIT(&feed->polls);
    return feed;
}

void
store_feed_free(store_feed_t *feed)
{
    held_poll_t *poll;
    held_poll_t *next;

    if (feed == NULL) {
        return;
    }
    for (poll = TAILQ_FIRST(&feed->polls); poll != NULL; poll = next) {
        next = TAILQ_NEXT(poll, link);
        poll_free(feed, poll);
    }
    free(feed);
}

void
store_feed_poll(store_feed_t *feed, const feed_time_t *time, const char *host,
                const store_poll_t *asked)
{
    bool parts = (asked->number >> LINK_POLL_PARTS_BIT & 1) != 0;
    held_poll_t *poll =
        poll_new(feed, time, host, parts ? POLL_HELLO : POLL_LEGACY);

    poll->number = asked->number;
    poll->after = asked->after;
    poll->seen = asked->after;
    store_feed_run(feed, time);
}

void
store_feed_fetch(store_feed_t *feed, const feed_time_t *time, const char *host,
                 const store_fetch_t *fetch)
{
    held_poll_t *poll = poll_new(feed, time, host, POLL_FETCH);

    copy_fetch(poll, fetch);
    store_feed_run(feed, time);
}

/* Hosts that have part of a patch come first. */
void
store_feed_run(store_feed_t *feed, const feed_time_t *time)
{
    held_poll_t *poll;
    held_poll_t *next;
    int pass;

    for (pass = 0; pass < 2; pass++) {
        for (poll = TAILQ_FIRST(&feed->polls); poll != NULL; poll = next) {
            next = TAILQ_NEXT(poll, link);
            if (pass == 0 && poll->partial == NULL) {
                continue;
            }
            if (serve(feed, time, poll)) {
                poll_free(feed, poll);
            }
        }
    }
}

bool
store_feed_is_busy(const store_feed_t *feed)
{
    return !TAILQ_EMPTY(&feed->polls);
}

const feed_counters_t *
store_feed_counters(const store_feed_t *feed)
{
    return &feed->counters;
}

static held_poll_t *
poll_new(store_feed_t *feed, const feed_time_t *time, const char *host,
         poll_kind_t kind)
{
    uint32_t hold_ms =
        follower_poll_hold_ms(time->contact_age_us, time->contact_age_max_ms);
    held_poll_t *poll;

    drop_poll_of(feed, host);
    poll = xcalloc(1, sizeof(*poll));
    poll->kind = kind;
    poll->host = arena_strdup(&poll->arena, host);
    if (hold_ms < FEED_STALE_HOLD_MS && kind == POLL_FETCH) {
        hold_ms = FEED_STALE_HOLD_MS;
    }
    if (feed->count >= FEED_POLLS_MAX || kind == POLL_HELLO) {
        hold_ms = 0;
    }
    poll->expires_us = time->now_us + (int64_t)hold_ms * US_PER_MS;
    TAILQ_INSERT_TAIL(&feed->polls, poll, link);
    feed->count++;
    return poll;
}

static void
poll_free(store_feed_t *feed, held_poll_t *poll)
{
    TAILQ_REMOVE(&feed->polls, poll, link);
    feed->count--;
    arena_free(&poll->arena);
    free(poll);
}

static void
copy_fetch(held_poll_t *poll, const store_fetch_t *fetch)
{
    arena_t *arena = &poll->arena;
    store_value_t *values;
    store_partial_t *partial;
    u_int i;

    poll->number = fetch->number;
    poll->after = fetch->after;
    poll->seen = fetch->seen;
    poll->value_count = fetch->values.values_len;
    values = arena_array(arena, poll->value_count + 1, sizeof(*values));
    for (i = 0; i < fetch->values.values_len; i++) {
        values[i] = fetch->values.values_val[i];
        values[i].key = arena_strdup(arena, values[i].key);
    }
    poll->values = values;
    if (fetch->partial.partial_len > 0) {
        partial =
            arena_memdup(arena, fetch->partial.partial_val, sizeof(*partial));
        partial->patch.key = arena_strdup(arena, partial->patch.key);
        poll->partial = partial;
    }
}

/* The host has given the poll up, or has got its reply. */
static void
drop_poll_of(store_feed_t *feed, const char *host)
{
    held_poll_t *poll;
    size_t i;

    TAILQ_FOREACH(poll, &feed->polls, link)
    {
        if (strcmp(poll->host, host) == 0) {
            poll_free(feed, poll);
            break;
        }
    }
    for (i = 0; i < FEED_WINDOW_PIECES; i++) {
        if (strcmp(feed->receivers[i].host, host) == 0) {
            feed->receivers[i].expires_us = 0;
        }
    }
}

/* Returns whether a reply was sent. */
static bool
serve(store_feed_t *feed, const feed_time_t *time, held_poll_t *poll)
{
    if (poll->kind != POLL_LEGACY) {
        return send_parts(feed, time, poll);
    }
    if (poll->after == mirror_revision(feed->mirror) &&
        poll->expires_us > time->now_us) {
        return false;
    }
    send_legacy(feed, time, poll);
    return true;
}

static void
send_legacy(store_feed_t *feed, const feed_time_t *time,
            const held_poll_t *poll)
{
    message_t message = {.kind = MESSAGE_STORE_CHANGES};
    store_changes_t *reply = &message.message_t_u.store_changes;
    arena_t arena = {0};
    kv_pair_t *pairs;
    size_t count;
    size_t i;

    reply->number = poll->number;
    reply->revision = mirror_revision(feed->mirror);
    reply->contact_age_ms = (uint32_t)(time->contact_age_us / US_PER_MS);
    reply->known = mirror_changes_since(feed->mirror, poll->after, &arena,
                                        &pairs, &count) &&
                   count <= LINK_ITEMS_MAX;
    if (reply->known) {
        reply->items.items_len = (u_int)count;
        reply->items.items_val =
            arena_array(&arena, count, sizeof(*reply->items.items_val));
    }
    for (i = 0; reply->known && i < count; i++) {
        reply->items.items_val[i] = store_reply_item(&pairs[i]);
        feed->counters.legacy_bytes += pairs[i].value_bytes;
    }
    feed->send(feed->context, poll->host, &message);
    arena_free(&arena);
}

/* Returns false if there is nothing to send yet. */
static bool
send_parts(store_feed_t *feed, const feed_time_t *time, held_poll_t *poll)
{
    mirror_t *mirror = feed->mirror;
    bool expired = poll->expires_us <= time->now_us;
    message_t message = {.kind = MESSAGE_STORE_PARTS};
    store_parts_t *parts = &message.message_t_u.store_parts;
    receiver_t *receiver = free_receiver(feed, time->now_us);
    size_t piece_bytes;
    arena_t arena = {0};

    if (!expired && poll->after == mirror_revision(mirror) &&
        poll->seen >= mirror_seen(mirror)) {
        return false;
    }
    if (!expired && receiver == NULL &&
        poll->checked_seen == mirror_seen(mirror)) {
        return false;
    }
    parts->number = poll->number;
    parts->contact_age_ms = (uint32_t)(time->contact_age_us / US_PER_MS);
    piece_bytes = store_reply_write(mirror, poll, &arena, parts);
    if (piece_bytes > FEED_SMALL_PATCH_BYTES && receiver == NULL) {
        parts->pieces.pieces_len = 0;
        parts->complete = false;
        if (!expired && parts->items.items_len == 0) {
            hold_for_turn(poll, time->now_us);
            poll->checked_seen = mirror_seen(mirror);
            arena_free(&arena);
            return false;
        }
    }
    else if (piece_bytes > FEED_SMALL_PATCH_BYTES) {
        (void)strncpy(receiver->host, poll->host, LINK_NAME_MAX);
        receiver->expires_us =
            time->now_us + (int64_t)FEED_RECEIVE_TIMEOUT_MS * US_PER_MS;
    }
    count_bytes(feed, parts);
    feed->send(feed->context, poll->host, &message);
    arena_free(&arena);
    return true;
}

/* The next poll may wait behind a response of the store on this host's link,
 * so that less of the receiver's timeout is left for this one. */
static void
hold_for_turn(held_poll_t *poll, int64_t now_us)
{
    int64_t expires_us = now_us + (int64_t)FEED_TURN_HOLD_MS * US_PER_MS;

    if (poll->expires_us > expires_us) {
        poll->expires_us = expires_us;
    }
}

static void
count_bytes(store_feed_t *feed, const store_parts_t *parts)
{
    u_int i;

    for (i = 0; i < parts->items.items_len; i++) {
        feed->counters.small_bytes +=
            parts->items.items_val[i].value.value_len;
    }
    for (i = 0; i < parts->pieces.pieces_len; i++) {
        const store_piece_t *piece = &parts->pieces.pieces_val[i];

        if (piece->patch.base == 0) {
            feed->counters.whole_bytes += piece->bytes.bytes_len;
        }
        else {
            feed->counters.patch_bytes += piece->bytes.bytes_len;
        }
    }
}

static receiver_t *
free_receiver(store_feed_t *feed, int64_t now_us)
{
    size_t i;

    for (i = 0; i < FEED_WINDOW_PIECES; i++) {
        if (feed->receivers[i].expires_us <= now_us) {
            return &feed->receivers[i];
        }
    }
    return NULL;
}
