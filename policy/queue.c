/* queue.c - sessions that wait for a runner. */
#include "policy/private.h"

static void start_session(step_t *step, session_t *session);

/* Interrupted work goes before all else of its urgency. */
void
queue_session(step_t *step, session_t *session)
{
    node_t *node = step->node;
    struct session_queue *queue = &node->queues[session->urgency];

    session_enter(step, session, SESSION_QUEUED);
    if (session->waits_resumed) {
        TAILQ_INSERT_HEAD(queue, session, queue);
    }
    else {
        TAILQ_INSERT_TAIL(queue, session, queue);
    }
    node->queued++;
}

void
queue_remove(node_t *node, session_t *session)
{
    TAILQ_REMOVE(&node->queues[session->urgency], session, queue);
    node->queued--;
}

void
queue_pump(step_t *step)
{
    node_t *node = step->node;

    for (size_t i = 0; i < URGENCY_COUNT && node->queued > 0; i++) {
        session_t *session = TAILQ_FIRST(&node->queues[i]);

        while (session != NULL) {
            session_t *next = TAILQ_NEXT(session, queue);

            start_session(step, session);
            session = next;
        }
    }
}

static void
start_session(step_t *step, session_t *session)
{
    node_t *node = step->node;
    wish_t wish = session_wish(session, node->start.zone);
    runner_state_t *runner;

    if (suspecting_refuses(step, session) ||
        !suspecting_allows(step, session)) {
        return;
    }
    suspecting_wish(step, session, &wish);
    runner = runners_choose(&node->runners, &wish, step->now_us);
    if (runner == NULL) {
        return;
    }
    if (!claiming_may_start(step, session)) {
        session_refuse_claim(step, session);
        return;
    }
    (void)attempt_open(step, session, runner, false);
    record_start(step, session);
    session->waits_resumed = false;
    session_enter(step, session, SESSION_RUNNING);
}
