/* partition_queue.c - events of partition_sim.h's simulation, by time. */
#include "base/arena.h"
#include "regress/partition_private.h"

static bool
precedes(const cut_event_t *left, const cut_event_t *right)
{
    return left->at_ms != right->at_ms ? left->at_ms < right->at_ms
                                       : left->serial < right->serial;
}

static void
push(const cut_event_t *event)
{
    size_t at = cut_sim.queue_count;

    if (cut_sim.queue_count == cut_sim.queue_size) {
        cut_sim.queue_size =
            cut_sim.queue_size == 0 ? 1024 : 2 * cut_sim.queue_size;
        cut_sim.queue = xrealloc(cut_sim.queue, cut_sim.queue_size,
                                 sizeof(*cut_sim.queue));
    }
    cut_sim.queue_count++;
    while (at > 0 && precedes(event, &cut_sim.queue[(at - 1) / 2])) {
        cut_sim.queue[at] = cut_sim.queue[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    cut_sim.queue[at] = *event;
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
    push(&event);
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
    push(&event);
}

bool
cut_pop(cut_event_t *event)
{
    cut_event_t last;
    size_t at = 0;
    size_t child;

    if (cut_sim.queue_count == 0 || cut_sim.queue[0].at_ms > cut_sim.now_ms) {
        return false;
    }
    *event = cut_sim.queue[0];
    cut_sim.queue_count--;
    last = cut_sim.queue[cut_sim.queue_count];
    while ((child = 2 * at + 1) < cut_sim.queue_count) {
        if (child + 1 < cut_sim.queue_count &&
            precedes(&cut_sim.queue[child + 1], &cut_sim.queue[child])) {
            child++;
        }
        if (!precedes(&cut_sim.queue[child], &last)) {
            break;
        }
        cut_sim.queue[at] = cut_sim.queue[child];
        at = child;
    }
    cut_sim.queue[at] = last;
    return true;
}
