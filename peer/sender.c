/* sender.c - what has been heard from each host, so that nothing counts twice.
 */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "peer/private.h"

enum { SENDERS_MAX = 8192, WINDOW_BITS = 64 };

static int sender_compare(const sender_t *left, const sender_t *right);
static bool is_new_datagram(sender_t *sender, uint64_t sequence);

RB_PROTOTYPE(sender_tree, sender, entry, sender_compare)
RB_GENERATE(sender_tree, sender, entry, sender_compare)

static int
sender_compare(const sender_t *left, const sender_t *right)
{
    return strcmp(left->name, right->name);
}

static bool
is_new_datagram(sender_t *sender, uint64_t sequence)
{
    uint64_t behind;

    if (sequence > sender->datagram_last) {
        behind = sequence - sender->datagram_last;
        sender->datagram_seen =
            behind < WINDOW_BITS ? sender->datagram_seen << behind : 0;
        sender->datagram_seen |= 1;
        sender->datagram_last = sequence;
        return true;
    }
    behind = sender->datagram_last - sequence;
    if (behind >= WINDOW_BITS ||
        (sender->datagram_seen & ((uint64_t)1 << behind)) != 0) {
        return false;
    }
    sender->datagram_seen |= (uint64_t)1 << behind;
    return true;
}

bool
sender_is_new(peer_t *peer, const peer_call_t *call)
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
        sender->stream_last = 0;
        sender->datagram_last = 0;
        sender->datagram_seen = 0;
    }
    if (call->channel == PEER_DATAGRAM) {
        return is_new_datagram(sender, call->sequence);
    }
    if (call->sequence <= sender->stream_last) {
        return false;
    }
    sender->stream_last = call->sequence;
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
