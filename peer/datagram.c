/* datagram.c - sends and receives calls as single UDP datagrams. */
#include <stdlib.h>

#include "peer/private.h"

static void send_datagram(peer_t *peer, const wire_record_t *record,
                          const struct sockaddr *address);
static void handle_datagram_reply(peer_t *peer, uint32_t xid, bool accepted);

static void
send_datagram(peer_t *peer, const wire_record_t *record,
              const struct sockaddr *address)
{
    uv_buf_t buffer =
        uv_buf_init((char *)record->bytes + WIRE_RECORD_MARK_BYTES,
                    (unsigned int)(record->count - WIRE_RECORD_MARK_BYTES));

    /* A datagram that the kernel does not accept now is dropped. */
    if (uv_udp_try_send(&peer->udp, &buffer, 1, address) >= 0) {
        peer->counters.bytes_sent += buffer.len;
    }
}

void
handle_datagram(uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
                const struct sockaddr *from, unsigned flags)
{
    peer_t *peer = udp->data;
    wire_input_t input;
    wire_record_t record;

    if (count <= 0 || from == NULL || peer->closing) {
        return;
    }
    peer->counters.bytes_received += (uint64_t)count;
    if ((flags & UV_UDP_PARTIAL) != 0) {
        peer->counters.oversized++;
        return;
    }
    wire_decode((const uint8_t *)buffer->base, (size_t)count,
                peer_wire_key(peer), &input);
    if (input.kind == WIRE_REPLY) {
        handle_datagram_reply(peer, input.xid, input.accepted);
        return;
    }
    if (peer_handle_call(peer, &input, PEER_DATAGRAM) && !peer->closing &&
        wire_encode_reply(input.xid, input.status, &record)) {
        send_datagram(peer, &record, from);
        free(record.bytes);
    }
    wire_input_free(&input);
}

static void
handle_datagram_reply(peer_t *peer, uint32_t xid, bool accepted)
{
    datagram_call_t *datagram =
        &peer->datagram_calls[xid % DATAGRAM_CALLS_MAX];

    if (datagram->xid != xid || datagram->sent_ms == 0) {
        return;
    }
    datagram->sent_ms = 0;
    if (accepted) {
        peer->counters.calls_acknowledged++;
    }
    else {
        peer->counters.calls_refused++;
    }
}

int
datagram_send_call(peer_t *peer, uint32_t xid, wire_record_t *record,
                   const struct sockaddr_storage *address)
{
    datagram_call_t *datagram =
        &peer->datagram_calls[xid % DATAGRAM_CALLS_MAX];

    if (datagram->sent_ms != 0) {
        peer->counters.calls_timed_out++;
    }
    datagram->xid = xid;
    datagram->sent_ms = uv_now(peer->loop) + 1;
    peer->counters.calls_sent++;
    send_datagram(peer, record, (const struct sockaddr *)address);
    free(record->bytes);
    return 0;
}

/* Counts calls without a reply within the timeout and frees their slots. */
void
datagrams_expire(peer_t *peer, uint64_t now_ms)
{
    size_t i;

    for (i = 0; i < DATAGRAM_CALLS_MAX; i++) {
        if (peer->datagram_calls[i].sent_ms != 0 &&
            now_ms - (peer->datagram_calls[i].sent_ms - 1) >
                peer->settings.call_timeout_ms) {
            peer->datagram_calls[i].sent_ms = 0;
            peer->counters.calls_timed_out++;
        }
    }
}
