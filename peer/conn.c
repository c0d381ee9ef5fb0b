/* conn.c - records over one TCP connection (RFC 5531, section 11). */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "peer/private.h"

enum {
    RECORD_ROOM_START = 4096,
    RECORD_ROOM_KEPT = 65536,
    UNREAD_BYTES_MAX = 32 << 20, /* of what the other side does not read */
};
#define MARK_LAST 0x80000000u /* this fragment ends its record */

typedef struct {
    uv_write_t request;
    uint8_t *bytes;
} conn_write_t;

static void on_closed(uv_handle_t *handle);
static void on_written(uv_write_t *request, int status);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t count,
                    const uv_buf_t *buffer);
static bool begin_fragment(conn_t *conn);
static bool grow(conn_t *conn, size_t bytes);
static void end_record(conn_t *conn);
static void feed(conn_t *conn, const uint8_t *bytes, size_t count);

conn_t *
conn_new(peer_t *peer, peer_link_t *link)
{
    conn_t *conn = xcalloc(1, sizeof(*conn));

    conn->peer = peer;
    conn->link = link;
    (void)uv_tcp_init(peer->loop, &conn->tcp);
    conn->tcp.data = conn;
    peer->handles++;
    LIST_INSERT_HEAD(&peer->conns, conn, entry);
    conn->accepted = link == NULL;
    if (conn->accepted) {
        peer->accepted++;
    }
    return conn;
}

void
conn_start(conn_t *conn)
{
    (void)uv_tcp_nodelay(&conn->tcp, 1);
    if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0) {
        conn_close(conn);
    }
}

void
conn_close(conn_t *conn)
{
    peer_link_t *link = conn->link;

    if (conn->closing) {
        return;
    }
    conn->closing = true;
    LIST_REMOVE(conn, entry);
    if (conn->accepted) {
        conn->peer->accepted--;
    }
    uv_close((uv_handle_t *)&conn->tcp, on_closed);
    if (link != NULL) {
        link_broken(link);
    }
}

static void
on_closed(uv_handle_t *handle)
{
    conn_t *conn = handle->data;
    peer_t *peer = conn->peer;

    peer->held_bytes -= conn->record_room;
    free(conn->record);
    free(conn);
    peer_handle_closed(peer);
}

void
conn_send(conn_t *conn, wire_record_t *record)
{
    conn_write_t *sending = xcalloc(1, sizeof(*sending));
    uv_buf_t buffer =
        uv_buf_init((char *)record->bytes, (unsigned int)record->count);

    sending->bytes = record->bytes;
    sending->request.data = sending;
    record->bytes = NULL;
    conn->peer->counters.bytes_sent += record->count;
    if (uv_write(&sending->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                 on_written) != 0) {
        free(sending->bytes);
        free(sending);
        conn_close(conn);
        return;
    }
    if (uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) >
        UNREAD_BYTES_MAX) {
        conn_close(conn);
    }
}

static void
on_written(uv_write_t *request, int status)
{
    conn_write_t *sending = request->data;
    conn_t *conn = request->handle->data;

    free(sending->bytes);
    free(sending);
    if (status != 0) {
        conn_close(conn);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    conn_t *conn = handle->data;

    /* All reading is done before the next: one buffer serves all. */
    *buffer =
        uv_buf_init((char *)conn->peer->input, sizeof(conn->peer->input));
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    conn_t *conn = stream->data;

    if (count < 0) {
        conn_close(conn);
        return;
    }
    conn->peer->counters.bytes_received += (uint64_t)count;
    feed(conn, (const uint8_t *)buffer->base, (size_t)count);
}

/* Reads the mark; false when the record would be too big. */
static bool
begin_fragment(conn_t *conn)
{
    uint32_t word;

    memcpy(&word, conn->mark, sizeof(word));
    word = ntohl(word);
    conn->last = (word & MARK_LAST) != 0;
    conn->fragment_left = word & ~MARK_LAST;
    return conn->fragment_left <=
           conn->peer->settings.record_bytes_max - conn->record_used;
}

/* Makes room as bytes come in, never on the word of a mark alone. */
static bool
grow(conn_t *conn, size_t bytes)
{
    peer_t *peer = conn->peer;
    size_t room = conn->record_room;

    if (room == 0) {
        room = RECORD_ROOM_START;
    }
    while (room < conn->record_used + bytes) {
        room *= 2;
    }
    if (room == conn->record_room) {
        return true;
    }
    if (peer->held_bytes + (room - conn->record_room) >
        peer->settings.held_bytes_max) {
        return false;
    }
    conn->record = xrealloc(conn->record, room, 1);
    peer->held_bytes += room - conn->record_room;
    conn->record_room = room;
    return true;
}

static void
end_record(conn_t *conn)
{
    size_t count = conn->record_used;

    conn->record_used = 0;
    peer_record(conn, conn->record, count);
    if (conn->record_room > RECORD_ROOM_KEPT) {
        conn->peer->held_bytes -= conn->record_room;
        free(conn->record);
        conn->record = NULL;
        conn->record_room = 0;
    }
}

static void
feed(conn_t *conn, const uint8_t *bytes, size_t count)
{
    size_t taken;

    while (count > 0 && !conn->closing) {
        if (conn->mark_used < WIRE_MARK_BYTES) {
            conn->mark[conn->mark_used] = *bytes;
            conn->mark_used++;
            bytes++;
            count--;
            if (conn->mark_used < WIRE_MARK_BYTES) {
                continue;
            }
            if (!begin_fragment(conn)) {
                conn->peer->counters.oversized++;
                conn_close(conn);
                return;
            }
        }
        taken = count < conn->fragment_left ? count : conn->fragment_left;
        if (!grow(conn, taken)) {
            conn->peer->counters.oversized++;
            conn_close(conn);
            return;
        }
        memcpy(conn->record + conn->record_used, bytes, taken);
        conn->record_used += taken;
        conn->fragment_left -= taken;
        bytes += taken;
        count -= taken;
        if (conn->fragment_left == 0) {
            conn->mark_used = 0;
            if (conn->last) {
                end_record(conn);
            }
        }
    }
}
