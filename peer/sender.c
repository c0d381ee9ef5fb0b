/* sender.c - detects replayed calls by the sequence numbers of each host. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "peer/private.h"

enum { SENDERS_MAX = 8192, REPLAY_WINDOW_BITS = 64 };

static int sender_compare(const sender_t *left, const sender_t *right);
static bool accept_datagram(sender_t *sender, uint64_t sequence);

RB_PROTOTYPE(sender_tree, sender, entry, sender_compare)
RB_GENERATE(sender_tree, sender, entry, sender_compare)

static int
sender_compare(const sender_t *left, const sender_t *right)
{
    return strcmp(left->name, right->name);
}

static bool
accept_datagram(sender_t *sender, uint64_t sequence)
{
    uint64_t distance;

    if (sequence > sender->datagram_sequence) {
        distance = sequence - sender->datagram_sequence;
        sender->datagram_window = distance < REPLAY_WINDOW_BITS
                                      ? sender->datagram_window << distance
                                      : 0;
        sender->datagram_window |= 1;
        sender->datagram_sequence = sequence;
        return true;
    }
    distance = sender->datagram_sequence - sequence;
    if (distance >= REPLAY_WINDOW_BITS ||
        (sender->datagram_window & ((uint64_t)1 << distance)) != 0) {
        return false;
    }
    sender->datagram_window |= (uint64_t)1 << distance;
    return true;
}

bool
sender_accept_call(peer_t *peer, const peer_call_t *call)
{
    sender_t *sender;
    sender_t key;

    key.name = call->from;
    sender = RB_FIND(sender_tree, &peer->senders, &key);
    if (sender == NULL) {
        if (peer->sender_count >= SENDERS_MAX) {
            return false;
        }
        sender = xcalloc(1, sizeof(*sender));
        (void)strncpy(sender->host, call->from, sizeof(sender->host) - 1);
        sender->name = sender->host;
        RB_INSERT(sender_tree, &peer->senders, sender);
        peer->sender_count++;
    }
    if (call->incarnation < sender->incarnation) {
        return false;
    }
    if (call->incarnation > sender->incarnation) {
        sender->incarnation = call->incarnation;
        sender->stream_sequence = 0;
        sender->datagram_sequence = 0;
        sender->datagram_window = 0;
    }
    if (call->channel == PEER_DATAGRAM) {
        return accept_datagram(sender, call->sequence);
    }
    if (call->sequence <= sender->stream_sequence) {
        return false;
    }
    sender->stream_sequence = call->sequence;
    return true;
}

void
senders_free(peer_t *peer)
{
    sender_t *sender;
    sender_t *next;

    RB_FOREACH_SAFE(sender, sender_tree, &peer->senders, next)
    {
        RB_REMOVE(sender_tree, &peer->senders, sender);
        free(sender);
    }
}
