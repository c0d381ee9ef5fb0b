/* wire.c - encodes and decodes RPC calls and replies. */
#include <arpa/inet.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "base/arena.h"
#include "peer/wire.h"

enum {
    CALL_HEADER_BYTES = 40, /* RPC header of a call without credentials */
    REPLY_BYTES_MAX = 64,
};
#define LAST_FRAGMENT_BIT 0x80000000u /* the last fragment of its record */

static bool_t xdr_empty_result(XDR *xdrs, ...);
static void write_record_mark(wire_record_t *record);
static void decode_argument(const uint8_t *bytes, size_t count, wire_key_t key,
                            wire_input_t *input);
static void decode_call(XDR *xdrs, const struct rpc_msg *header,
                        const uint8_t *bytes, size_t count, wire_key_t key,
                        wire_input_t *input);

/* The prototype of xdr_void() is not compatible with xdrproc_t. */
static bool_t
xdr_empty_result(XDR *xdrs, ...)
{
    return TRUE;
}

static void
write_record_mark(wire_record_t *record)
{
    uint32_t word = htonl(LAST_FRAGMENT_BIT |
                          (uint32_t)(record->count - WIRE_RECORD_MARK_BYTES));

    memcpy(record->bytes, &word, sizeof(word));
}

bool
wire_compute_tag(wire_key_t key, const uint8_t *bytes, size_t count,
                 uint8_t *tag)
{
    unsigned int tag_bytes = 0;

    memset(tag, 0, PEER_TAG_BYTES);
    if (key.count == 0) {
        return true;
    }
    return HMAC(EVP_sha256(), key.bytes, (int)key.count, bytes, count, tag,
                &tag_bytes) != NULL &&
           tag_bytes == PEER_TAG_BYTES;
}

bool
wire_encode_call(uint32_t xid, const peer_call_t *call, wire_key_t key,
                 wire_record_t *record)
{
    struct rpc_msg header = {.rm_xid = xid, .rm_direction = CALL};
    size_t call_bytes;
    uint8_t *argument;
    XDR xdrs;
    bool encoded;

    call_bytes = xdr_sizeof((xdrproc_t)xdr_peer_call_t, (void *)call);
    if (call_bytes == 0 || call_bytes > INT_MAX / 2) {
        return false;
    }
    record->count = WIRE_RECORD_MARK_BYTES + CALL_HEADER_BYTES + call_bytes +
                    PEER_TAG_BYTES;
    record->bytes = xcalloc(1, record->count);
    header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    header.rm_call.cb_prog = PEER_PROGRAM;
    header.rm_call.cb_vers = PEER_VERSION;
    header.rm_call.cb_proc = PEER_SEND;
    xdrmem_create(&xdrs, (char *)record->bytes + WIRE_RECORD_MARK_BYTES,
                  (u_int)(record->count - WIRE_RECORD_MARK_BYTES), XDR_ENCODE);
    argument = record->bytes + WIRE_RECORD_MARK_BYTES + CALL_HEADER_BYTES;
    encoded =
        xdr_callmsg(&xdrs, &header) &&
        xdr_getpos(&xdrs) == CALL_HEADER_BYTES &&
        xdr_peer_call_t(&xdrs, (peer_call_t *)call) &&
        xdr_getpos(&xdrs) == CALL_HEADER_BYTES + call_bytes &&
        wire_compute_tag(key, argument, call_bytes, argument + call_bytes);
    xdr_destroy(&xdrs);
    if (!encoded) {
        free(record->bytes);
        return false;
    }
    write_record_mark(record);
    return true;
}

bool
wire_encode_reply(uint32_t xid, enum accept_stat status, wire_record_t *record)
{
    struct rpc_msg header = {.rm_xid = xid, .rm_direction = REPLY};
    XDR xdrs;
    bool encoded;

    header.rm_reply.rp_stat = MSG_ACCEPTED;
    header.acpted_rply.ar_verf = _null_auth;
    header.acpted_rply.ar_stat = status;
    if (status == PROG_MISMATCH) {
        header.acpted_rply.ar_vers.low = PEER_VERSION;
        header.acpted_rply.ar_vers.high = PEER_VERSION;
    }
    else {
        header.acpted_rply.ar_results.where = NULL;
        header.acpted_rply.ar_results.proc = xdr_empty_result;
    }
    record->bytes = xcalloc(1, REPLY_BYTES_MAX);
    xdrmem_create(&xdrs, (char *)record->bytes + WIRE_RECORD_MARK_BYTES,
                  REPLY_BYTES_MAX - WIRE_RECORD_MARK_BYTES, XDR_ENCODE);
    encoded = xdr_replymsg(&xdrs, &header);
    record->count = WIRE_RECORD_MARK_BYTES + xdr_getpos(&xdrs);
    xdr_destroy(&xdrs);
    if (!encoded) {
        free(record->bytes);
        return false;
    }
    write_record_mark(record);
    return true;
}

/* Checks the tag before it decodes any part of the argument. */
static void
decode_argument(const uint8_t *bytes, size_t count, wire_key_t key,
                wire_input_t *input)
{
    uint8_t tag[PEER_TAG_BYTES];
    size_t call_bytes;
    XDR xdrs;

    input->kind = WIRE_BAD_ARGUMENT;
    input->status = GARBAGE_ARGS;
    if (count < PEER_TAG_BYTES) {
        return;
    }
    call_bytes = count - PEER_TAG_BYTES;
    if (!wire_compute_tag(key, bytes, call_bytes, tag) ||
        CRYPTO_memcmp(tag, bytes + call_bytes, sizeof(tag)) != 0) {
        input->kind = WIRE_BAD_TAG;
        return;
    }
    xdrmem_create(&xdrs, (char *)bytes, (u_int)call_bytes, XDR_DECODE);
    if (xdr_peer_call_t(&xdrs, &input->call) &&
        xdr_getpos(&xdrs) == call_bytes) {
        input->kind = WIRE_CALL;
        input->status = SUCCESS;
    }
    else {
        xdr_free((xdrproc_t)xdr_peer_call_t, (void *)&input->call);
        memset(&input->call, 0, sizeof(input->call));
    }
    xdr_destroy(&xdrs);
}

static void
decode_call(XDR *xdrs, const struct rpc_msg *header, const uint8_t *bytes,
            size_t count, wire_key_t key, wire_input_t *input)
{
    size_t used = xdr_getpos(xdrs);

    input->kind = WIRE_NOT_SERVED;
    if (header->rm_call.cb_prog != PEER_PROGRAM) {
        input->status = PROG_UNAVAIL;
    }
    else if (header->rm_call.cb_vers != PEER_VERSION) {
        input->status = PROG_MISMATCH;
    }
    else if (header->rm_call.cb_proc == NULLPROC) {
        input->kind = WIRE_PING;
        input->status = SUCCESS;
    }
    else if (header->rm_call.cb_proc != PEER_SEND) {
        input->status = PROC_UNAVAIL;
    }
    else {
        decode_argument(bytes + used, count - used, key, input);
    }
}

void
wire_decode(const uint8_t *bytes, size_t count, wire_key_t key,
            wire_input_t *input)
{
    char credential[MAX_AUTH_BYTES];
    char verifier[MAX_AUTH_BYTES];
    struct rpc_msg header;
    uint32_t word;
    XDR xdrs;

    memset(input, 0, sizeof(*input));
    input->kind = WIRE_NOT_RPC;
    if (count < 2 * sizeof(word) || count > INT_MAX) {
        return;
    }
    memset(&header, 0, sizeof(header));
    memcpy(&word, bytes + sizeof(word), sizeof(word));
    xdrmem_create(&xdrs, (char *)bytes, (u_int)count, XDR_DECODE);
    if (ntohl(word) == CALL) {
        header.rm_call.cb_cred.oa_base = credential;
        header.rm_call.cb_verf.oa_base = verifier;
        if (xdr_callmsg(&xdrs, &header)) {
            decode_call(&xdrs, &header, bytes, count, key, input);
        }
    }
    else if (ntohl(word) == REPLY) {
        header.acpted_rply.ar_verf.oa_base = verifier;
        header.acpted_rply.ar_results.proc = xdr_empty_result;
        if (xdr_replymsg(&xdrs, &header)) {
            input->kind = WIRE_REPLY;
            input->accepted = header.rm_reply.rp_stat == MSG_ACCEPTED &&
                              header.acpted_rply.ar_stat == SUCCESS;
        }
    }
    input->xid = header.rm_xid;
    xdr_destroy(&xdrs);
}

void
wire_input_free(wire_input_t *input)
{
    if (input->kind == WIRE_CALL) {
        xdr_free((xdrproc_t)xdr_peer_call_t, (void *)&input->call);
    }
    memset(input, 0, sizeof(*input));
}
