/* partition_queue.c - events of partition_sim.h's simulation, by time. */
#include "regress/partition_private.h"

bool
cut_precedes(const void *left, const void *right)
{
    const cut_event_t *a = left;
    const cut_event_t *b = right;

    return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->serial < b->serial;
}

void
cut_push(int64_t delay_ms, cut_event_kind_t kind, size_t subject,
         uint64_t detail)
{
    cut_event_t event = {.at_ms = cut_sim.now_ms + delay_ms,
                         .serial = cut_sim.queue_serial,
                         .kind = kind,
                         .subject = subject,
                         .detail = detail};

    cut_sim.queue_serial++;
    event_queue_push(&cut_sim.queue, &event);
}

void
cut_push_reply(int64_t delay_ms, size_t leg, const forward_event_t *reply)
{
    cut_event_t event = {.at_ms = cut_sim.now_ms + delay_ms,
                         .serial = cut_sim.queue_serial,
                         .kind = CUT_EVENT_REPLY,
                         .subject = leg,
                         .reply = *reply};

    cut_sim.queue_serial++;
    event_queue_push(&cut_sim.queue, &event);
}

bool
cut_pop(cut_event_t *event)
{
    const cut_event_t *first = event_queue_first(&cut_sim.queue);

    return first != NULL && first->at_ms <= cut_sim.now_ms &&
           event_queue_pop(&cut_sim.queue, event);
}
