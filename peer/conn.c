/*
 * conn.c - sends and reassembles records on a TCP connection (RFC 5531,
 * section 11).
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "peer/private.h"

enum {
    RECORD_CAPACITY_INITIAL = 4096,
    RECORD_CAPACITY_KEPT_MAX = 65536,
    WRITE_QUEUE_BYTES_MAX = 32 << 20, /* not yet read by the other host */
};
#define LAST_FRAGMENT_BIT 0x80000000u /* the last fragment of its record */

typedef struct {
    uv_write_t request;
    uint8_t *bytes;
} conn_write_t;

static void on_closed(uv_handle_t *handle);
static void on_written(uv_write_t *request, int status);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read(uv_stream_t *stream, ssize_t count,
                    const uv_buf_t *buffer);
static bool parse_record_mark(conn_t *conn);
static bool reserve_record_bytes(conn_t *conn, size_t bytes);
static void finish_record(conn_t *conn);
static void reassemble_records(conn_t *conn, const uint8_t *bytes,
                               size_t count);

conn_t *
conn_new(peer_t *peer, peer_link_t *link)
{
    conn_t *conn = xcalloc(1, sizeof(*conn));

    conn->peer = peer;
    conn->link = link;
    (void)uv_tcp_init(peer->loop, &conn->tcp);
    conn->tcp.data = conn;
    peer->open_handles++;
    LIST_INSERT_HEAD(&peer->conns, conn, entry);
    conn->accepted = link == NULL;
    if (conn->accepted) {
        peer->accepted++;
    }
    return conn;
}

void
conn_start_reading(conn_t *conn)
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
        link_handle_disconnect(link);
    }
}

static void
on_closed(uv_handle_t *handle)
{
    conn_t *conn = handle->data;
    peer_t *peer = conn->peer;

    peer->receive_bytes -= conn->record_capacity;
    free(conn->record);
    free(conn);
    peer_handle_closed(peer);
}

void
conn_send(conn_t *conn, wire_record_t *record)
{
    conn_write_t *write = xcalloc(1, sizeof(*write));
    uv_buf_t buffer =
        uv_buf_init((char *)record->bytes, (unsigned int)record->count);

    write->bytes = record->bytes;
    write->request.data = write;
    record->bytes = NULL;
    conn->peer->counters.bytes_sent += record->count;
    if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                 on_written) != 0) {
        free(write->bytes);
        free(write);
        conn_close(conn);
        return;
    }
    if (uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) >
        WRITE_QUEUE_BYTES_MAX) {
        conn_close(conn);
    }
}

static void
on_written(uv_write_t *request, int status)
{
    conn_write_t *write = request->data;
    conn_t *conn = request->handle->data;

    free(write->bytes);
    free(write);
    if (status != 0) {
        conn_close(conn);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    conn_t *conn = handle->data;

    /* Each read is consumed before the next one: all handles share a buffer.
     */
    *buffer = uv_buf_init((char *)conn->peer->receive_buffer,
                          sizeof(conn->peer->receive_buffer));
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
    reassemble_records(conn, (const uint8_t *)buffer->base, (size_t)count);
}

/* Returns false if the fragment would make the record too big. */
static bool
parse_record_mark(conn_t *conn)
{
    uint32_t word;

    memcpy(&word, conn->record_mark, sizeof(word));
    word = ntohl(word);
    conn->last_fragment = (word & LAST_FRAGMENT_BIT) != 0;
    conn->fragment_remaining = word & ~LAST_FRAGMENT_BIT;
    return conn->fragment_remaining <=
           conn->peer->settings.record_bytes_max - conn->record_used;
}

/*
 * Grows the buffer as bytes arrive.  The length in a record mark is not
 * trusted: it alone allocates nothing.  Returns false if the limit of all
 * receive buffers is reached.
 */
static bool
reserve_record_bytes(conn_t *conn, size_t bytes)
{
    peer_t *peer = conn->peer;
    size_t capacity = conn->record_capacity;

    if (capacity == 0) {
        capacity = RECORD_CAPACITY_INITIAL;
    }
    while (capacity < conn->record_used + bytes) {
        capacity *= 2;
    }
    if (capacity == conn->record_capacity) {
        return true;
    }
    if (peer->receive_bytes + (capacity - conn->record_capacity) >
        peer->settings.receive_bytes_max) {
        return false;
    }
    conn->record = xrealloc(conn->record, capacity, 1);
    peer->receive_bytes += capacity - conn->record_capacity;
    conn->record_capacity = capacity;
    return true;
}

static void
finish_record(conn_t *conn)
{
    size_t count = conn->record_used;

    conn->record_used = 0;
    peer_handle_record(conn, conn->record, count);
    if (conn->record_capacity > RECORD_CAPACITY_KEPT_MAX) {
        conn->peer->receive_bytes -= conn->record_capacity;
        free(conn->record);
        conn->record = NULL;
        conn->record_capacity = 0;
    }
}

static void
reassemble_records(conn_t *conn, const uint8_t *bytes, size_t count)
{
    size_t copy_bytes;

    while (count > 0 && !conn->closing) {
        if (conn->record_mark_used < WIRE_RECORD_MARK_BYTES) {
            conn->record_mark[conn->record_mark_used] = *bytes;
            conn->record_mark_used++;
            bytes++;
            count--;
            if (conn->record_mark_used < WIRE_RECORD_MARK_BYTES) {
                continue;
            }
            if (!parse_record_mark(conn)) {
                conn->peer->counters.oversized++;
                conn_close(conn);
                return;
            }
        }
        copy_bytes = count < conn->fragment_remaining
                         ? count
                         : conn->fragment_remaining;
        if (!reserve_record_bytes(conn, copy_bytes)) {
            conn->peer->counters.oversized++;
            conn_close(conn);
            return;
        }
        memcpy(conn->record + conn->record_used, bytes, copy_bytes);
        conn->record_used += copy_bytes;
        conn->fragment_remaining -= copy_bytes;
        bytes += copy_bytes;
        count -= copy_bytes;
        if (conn->fragment_remaining == 0) {
            conn->record_mark_used = 0;
            if (conn->last_fragment) {
                finish_record(conn);
            }
        }
    }
}
