/*
 * peer.x - the remote procedure that carries messages between hosts.
 *
 * Every argument ends in a tag: HMAC-SHA256, with the key that all hosts
 * share, over the encoded call before it.  The incarnation and the sequence
 * number of the sender protect against replays of captured calls.
 */
#ifdef RPC_HDR
%#include "world/generated/link.h"
#endif

const PEER_TAG_BYTES = 32;

enum peer_channel_t {
    PEER_DATAGRAM = 1,
    PEER_STREAM = 2
};

struct peer_call_t {
    name_t from;
    name_t to;
    uint64_t incarnation;
    uint64_t sequence;
    peer_channel_t channel;
    message_t message;
};

struct peer_signed_call_t {
    peer_call_t call;
    opaque tag[PEER_TAG_BYTES];
};

program PEER_PROGRAM {
    version PEER_VERSION {
        void PEER_SEND(peer_signed_call_t) = 1;
    } = 1;
} = 0x2a6a7e01;
