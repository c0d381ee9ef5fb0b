/* link.c - the way to one other host: its queue, its connection, retries. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/random.h"
#include "peer/private.h"

enum { BACKOFF_FIRST_MS = 50, BACKOFF_MOST_MS = 5000 };

static void on_connected(uv_connect_t *request, int status);
static void connect_to(peer_link_t *link);
static void send_waiting(peer_link_t *link);
static void drop(peer_link_t *link, struct pending_list *list);
static void hand_over(peer_link_t *link, pending_t *pending);

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
link_get(peer_t *peer, const char *host,
         const struct sockaddr_storage *address)
{
    peer_link_t *link = link_find(peer, host);

    if (link == NULL) {
        link = xcalloc(1, sizeof(*link));
        link->peer = peer;
        (void)strncpy(link->host, host, sizeof(link->host) - 1);
        STAILQ_INIT(&link->waiting);
        STAILQ_INIT(&link->unanswered);
        link->name = link->host;
        RB_INSERT(link_tree, &peer->links, link);
    }
    else if (memcmp(&link->address, address, sizeof(*address)) != 0) {
        /* The host has moved: what waits goes to its new address. */
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
connect_to(peer_link_t *link)
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
    conn->link->up = true;
    conn->link->backoff_ms = 0;
    conn->peer->counters.connects++;
    conn_start(conn);
    if (!conn->closing) {
        send_waiting(conn->link);
    }
}

/* The list goes first: handing over may break the link. */
static void
hand_over(peer_link_t *link, pending_t *pending)
{
    pending->sent_ms = uv_now(link->peer->loop);
    STAILQ_INSERT_TAIL(&link->unanswered, pending, entry);
    link->peer->counters.calls_sent++;
    conn_send(link->conn, &pending->record);
}

static void
send_waiting(peer_link_t *link)
{
    pending_t *pending;

    while (link->up && !STAILQ_EMPTY(&link->waiting)) {
        pending = STAILQ_FIRST(&link->waiting);
        STAILQ_REMOVE_HEAD(&link->waiting, entry);
        hand_over(link, pending);
    }
}

int
link_send(peer_link_t *link, uint32_t xid, wire_record_t *record, err_t *err)
{
    pending_t *pending;

    if (link->bytes + record->count > link->peer->settings.queue_bytes_max) {
        link->peer->counters.queue_full++;
        free(record->bytes);
        return err_set(err, ERR_LIMIT,
                       "%zu bytes wait for host %s: it is slow or "
                       "unreachable, send less or try again later",
                       link->bytes, link->host);
    }
    pending = xcalloc(1, sizeof(*pending));
    pending->record = *record;
    pending->xid = xid;
    pending->sent_ms = uv_now(link->peer->loop);
    link->bytes += record->count;
    if (link->up) {
        hand_over(link, pending);
        return 0;
    }
    STAILQ_INSERT_TAIL(&link->waiting, pending, entry);
    if (link->conn == NULL && uv_now(link->peer->loop) >= link->retry_at_ms) {
        connect_to(link);
    }
    return 0;
}

void
link_answered(peer_link_t *link, uint32_t xid, bool accepted)
{
    pending_t *pending;

    STAILQ_FOREACH(pending, &link->unanswered, entry)
    {
        if (pending->xid == xid) {
            break;
        }
    }
    if (pending == NULL) {
        return;
    }
    STAILQ_REMOVE(&link->unanswered, pending, pending, entry);
    link->bytes -= pending->record.count;
    free(pending);
    if (accepted) {
        link->peer->counters.calls_answered++;
    }
    else {
        link->peer->counters.calls_refused++;
    }
}

static void
drop(peer_link_t *link, struct pending_list *list)
{
    pending_t *pending;

    while (!STAILQ_EMPTY(list)) {
        pending = STAILQ_FIRST(list);
        STAILQ_REMOVE_HEAD(list, entry);
        link->bytes -= pending->record.count;
        free(pending->record.bytes);
        free(pending);
    }
}

/* Called once for each connection that was begun, when it is closed. */
void
link_broken(peer_link_t *link)
{
    peer_t *peer = link->peer;
    bool was_up = link->up;
    uint32_t wait_ms;
    pending_t *pending;

    link->conn = NULL;
    link->up = false;
    if (!was_up) {
        peer->counters.connect_failures++;
    }
    STAILQ_FOREACH(pending, &link->unanswered, entry)
    {
        peer->counters.calls_lost++;
    }
    drop(link, &link->unanswered);
    link->backoff_ms =
        link->backoff_ms == 0 ? BACKOFF_FIRST_MS : link->backoff_ms * 2;
    if (link->backoff_ms > BACKOFF_MOST_MS) {
        link->backoff_ms = BACKOFF_MOST_MS;
    }
    wait_ms = link->backoff_ms / 2 + (uint32_t)(random_next(&peer->random) %
                                                (link->backoff_ms / 2 + 1));
    link->retry_at_ms = uv_now(peer->loop) + wait_ms;
    if (was_up && !peer->closing) {
        peer->listener->ops->lost(peer->listener, link->host);
    }
}

void
link_tick(peer_link_t *link, uint64_t now_ms)
{
    uint32_t timeout_ms = link->peer->settings.call_timeout_ms;
    pending_t *first = STAILQ_FIRST(&link->unanswered);
    pending_t *oldest;

    if (first != NULL && now_ms - first->sent_ms > timeout_ms) {
        link->peer->counters.calls_timed_out++;
        conn_close(link->conn);
        return;
    }
    /* What nobody could be told for so long is of no use any more. */
    while ((oldest = STAILQ_FIRST(&link->waiting)) != NULL &&
           now_ms - oldest->sent_ms > timeout_ms) {
        STAILQ_REMOVE_HEAD(&link->waiting, entry);
        link->bytes -= oldest->record.count;
        link->peer->counters.calls_timed_out++;
        free(oldest->record.bytes);
        free(oldest);
    }
    if (link->conn == NULL && !STAILQ_EMPTY(&link->waiting) &&
        now_ms >= link->retry_at_ms) {
        connect_to(link);
    }
}

void
link_free(peer_link_t *link)
{
    if (link->conn != NULL) {
        link->conn->link = NULL;
        conn_close(link->conn);
    }
    drop(link, &link->waiting);
    drop(link, &link->unanswered);
    RB_REMOVE(link_tree, &link->peer->links, link);
    free(link);
}
