/*
 * link.c - the link to another host: queues calls, keeps one connection open
 * and reconnects with exponential backoff.
 */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/random.h"
#include "peer/private.h"

enum { BACKOFF_INITIAL_MS = 50, BACKOFF_MAX_MS = 5000 };

static void on_connected(uv_connect_t *request, int status);
static void start_connect(peer_link_t *link);
static void send_queued(peer_link_t *link);
static void free_calls(peer_link_t *link, struct pending_list *list);
static void send_call(peer_link_t *link, pending_call_t *pending);

RB_GENERATE(link_tree, peer_link, entry, link_compare)

int
link_compare(const peer_link_t *left, const peer_link_t *right)
{
    return strcmp(left->name, right->name);
}

peer_link_t *
link_find(const peer_t *peer, const char *host)
{
    peer_link_t key;

    key.name = host;
    return RB_FIND(link_tree, (struct link_tree *)&peer->links, &key);
}

peer_link_t *
link_find_or_create(peer_t *peer, const char *host,
                    const struct sockaddr_storage *address)
{
    peer_link_t *link = link_find(peer, host);

    if (link == NULL) {
        link = xcalloc(1, sizeof(*link));
        link->peer = peer;
        (void)strncpy(link->host, host, sizeof(link->host) - 1);
        STAILQ_INIT(&link->queued);
        STAILQ_INIT(&link->unanswered);
        link->name = link->host;
        RB_INSERT(link_tree, &peer->links, link);
    }
    else if (memcmp(&link->address, address, sizeof(*address)) != 0) {
        /* The address of the host has changed: send queued calls there. */
        link->retry_at_ms = 0;
        link->backoff_ms = 0;
        if (link->conn != NULL) {
            conn_close(link->conn);
            link->retry_at_ms = 0;
        }
    }
    link->address = *address;
    return link;
}

static void
start_connect(peer_link_t *link)
{
    conn_t *conn = conn_new(link->peer, link);

    link->conn = conn;
    conn->connect.data = conn;
    if (uv_tcp_connect(&conn->connect, &conn->tcp,
                       (const struct sockaddr *)&link->address,
                       on_connected) != 0) {
        conn_close(conn);
    }
}

static void
on_connected(uv_connect_t *request, int status)
{
    conn_t *conn = request->data;

    if (conn->closing) {
        return;
    }
    if (status != 0) {
        conn_close(conn);
        return;
    }
    conn->link->connected = true;
    conn->link->backoff_ms = 0;
    conn->peer->counters.connects++;
    conn_start_reading(conn);
    if (!conn->closing) {
        send_queued(conn->link);
    }
}

/* Lists the call before sending it, since conn_send() may close the link. */
static void
send_call(peer_link_t *link, pending_call_t *pending)
{
    pending->sent_ms = uv_now(link->peer->loop);
    STAILQ_INSERT_TAIL(&link->unanswered, pending, entry);
    link->peer->counters.calls_sent++;
    conn_send(link->conn, &pending->record);
}

static void
send_queued(peer_link_t *link)
{
    pending_call_t *pending;

    while (link->connected && !STAILQ_EMPTY(&link->queued)) {
        pending = STAILQ_FIRST(&link->queued);
        STAILQ_REMOVE_HEAD(&link->queued, entry);
        send_call(link, pending);
    }
}

int
link_send(peer_link_t *link, uint32_t xid, wire_record_t *record, err_t *err)
{
    pending_call_t *pending;

    if (link->pending_bytes + record->count >
        link->peer->settings.queue_bytes_max) {
        link->peer->counters.queue_full++;
        free(record->bytes);
        return err_set(err, ERR_LIMIT,
                       "%zu bytes are queued for host %s: it is slow or "
                       "unreachable, send less or try again later",
                       link->pending_bytes, link->host);
    }
    pending = xcalloc(1, sizeof(*pending));
    pending->record = *record;
    pending->xid = xid;
    pending->sent_ms = uv_now(link->peer->loop);
    link->pending_bytes += record->count;
    if (link->connected) {
        send_call(link, pending);
        return 0;
    }
    STAILQ_INSERT_TAIL(&link->queued, pending, entry);
    if (link->conn == NULL && uv_now(link->peer->loop) >= link->retry_at_ms) {
        start_connect(link);
    }
    return 0;
}

void
link_handle_reply(peer_link_t *link, uint32_t xid, bool accepted)
{
    pending_call_t *pending;

    STAILQ_FOREACH(pending, &link->unanswered, entry)
    {
        if (pending->xid == xid) {
            break;
        }
    }
    if (pending == NULL) {
        return;
    }
    STAILQ_REMOVE(&link->unanswered, pending, pending_call, entry);
    link->pending_bytes -= pending->record.count;
    free(pending);
    if (accepted) {
        link->peer->counters.calls_acknowledged++;
    }
    else {
        link->peer->counters.calls_refused++;
    }
}

static void
free_calls(peer_link_t *link, struct pending_list *list)
{
    pending_call_t *pending;

    while (!STAILQ_EMPTY(list)) {
        pending = STAILQ_FIRST(list);
        STAILQ_REMOVE_HEAD(list, entry);
        link->pending_bytes -= pending->record.count;
        free(pending->record.bytes);
        free(pending);
    }
}

/* Called once for each connection attempt, when the connection is closed. */
void
link_handle_disconnect(peer_link_t *link)
{
    peer_t *peer = link->peer;
    bool was_connected = link->connected;
    uint32_t delay_ms;
    pending_call_t *pending;

    link->conn = NULL;
    link->connected = false;
    if (!was_connected) {
        peer->counters.connect_failures++;
    }
    STAILQ_FOREACH(pending, &link->unanswered, entry)
    {
        peer->counters.calls_lost++;
    }
    free_calls(link, &link->unanswered);
    link->backoff_ms =
        link->backoff_ms == 0 ? BACKOFF_INITIAL_MS : link->backoff_ms * 2;
    if (link->backoff_ms > BACKOFF_MAX_MS) {
        link->backoff_ms = BACKOFF_MAX_MS;
    }
    delay_ms = link->backoff_ms / 2 +
               (uint32_t)(random_next_from(&peer->random_state) %
                          (link->backoff_ms / 2 + 1));
    link->retry_at_ms = uv_now(peer->loop) + delay_ms;
    if (was_connected && !peer->closing) {
        peer->listener->ops->lost(peer->listener, link->host);
    }
}

void
link_run_timer(peer_link_t *link, uint64_t now_ms)
{
    uint32_t timeout_ms = link->peer->settings.call_timeout_ms;
    pending_call_t *first = STAILQ_FIRST(&link->unanswered);
    pending_call_t *oldest;

    if (first != NULL && now_ms - first->sent_ms > timeout_ms) {
        link->peer->counters.calls_timed_out++;
        conn_close(link->conn);
        return;
    }
    /* A call that could not be sent within the timeout is out of date. */
    while ((oldest = STAILQ_FIRST(&link->queued)) != NULL &&
           now_ms - oldest->sent_ms > timeout_ms) {
        STAILQ_REMOVE_HEAD(&link->queued, entry);
        link->pending_bytes -= oldest->record.count;
        link->peer->counters.calls_timed_out++;
        free(oldest->record.bytes);
        free(oldest);
    }
    if (link->conn == NULL && !STAILQ_EMPTY(&link->queued) &&
        now_ms >= link->retry_at_ms) {
        start_connect(link);
    }
}

void
link_free(peer_link_t *link)
{
    if (link->conn != NULL) {
        link->conn->link = NULL;
        conn_close(link->conn);
    }
    free_calls(link, &link->queued);
    free_calls(link, &link->unanswered);
    RB_REMOVE(link_tree, &link->peer->links, link);
    free(link);
}
