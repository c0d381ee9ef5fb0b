/* queue.c - queues of sessions waiting for a runner; see queue.h. */
#include <stdlib.h>
#include <string.h>

#include "policy/private.h"

enum { POOL_WAITING_MAX = 4096, RETRY_PERMILLE = 200, RETRY_BURST = 64 };

static pool_t *find_or_add_pool(queue_t *queue, const char *model);
static void add_to_pool(step_t *step, session_t *session);
static void start_from_pool(step_t *step, pool_t *pool);
static void requeue_deferred(step_t *step);
static void defer_session(step_t *step, pool_t *pool, session_t *session);
static bool start_session(step_t *step, pool_t *pool, session_t *session);

void
queue_init(queue_t *queue)
{
    TAILQ_INIT(&queue->deferred);
}

void
queue_free(queue_t *queue)
{
    pool_t *pool;
    pool_t *next;

    HASH_ITER(hh, queue->by_model, pool, next)
    {
        /* The analyzer does not model how uthash updates its head pointer. */
        HASH_DEL(queue->by_model, pool); /* NOLINT(clang-analyzer-*) */
        admit_free(pool->admit);
        free(pool->model);
        free(pool);
    }
}

/* Queues the session, or refuses it, which may free it. */
void
queue_add_session(step_t *step, session_t *session)
{
    session_set_state(step, session, SESSION_QUEUED);
    add_to_pool(step, session);
}

void
queue_remove(step_t *step, session_t *session)
{
    queue_t *queue = &step->node->queue;

    if (session->is_deferred) {
        TAILQ_REMOVE(&queue->deferred, session, queue);
        session->is_deferred = false;
    }
    if (session->in_pool) {
        admit_remove(find_or_add_pool(queue, session->runner_model)->admit,
                     step->now_us, session->id);
        session->in_pool = false;
    }
}

/* Starts every session that can be started, in the order of its pool. */
void
queue_start_sessions(step_t *step)
{
    pool_t *pool;

    requeue_deferred(step);
    for (pool = step->node->queue.by_model; pool != NULL;
         pool = pool->hh.next) {
        start_from_pool(step, pool);
    }
}

/* Takes one retry from the retry budget of the session's pool. */
bool
queue_take_retry_budget(step_t *step, const session_t *session)
{
    pool_t *pool = find_or_add_pool(&step->node->queue, session->runner_model);

    return admit_take_retry(pool->admit);
}

static pool_t *
find_or_add_pool(queue_t *queue, const char *model)
{
    const admit_limits_t limits = {
        .waiting_max = POOL_WAITING_MAX,
        .retry_permille = RETRY_PERMILLE,
        .retry_burst = RETRY_BURST,
    };
    pool_t *pool;

    HASH_FIND_STR(queue->by_model, model, pool);
    if (pool != NULL) {
        return pool;
    }
    pool = xcalloc(1, sizeof(*pool));
    pool->model = xstrdup(model);
    pool->admit = admit_new(&limits);
    HASH_ADD_KEYPTR(hh, queue->by_model, pool->model, strlen(pool->model),
                    pool);
    return pool;
}

static void
add_to_pool(step_t *step, session_t *session)
{
    node_t *node = step->node;
    pool_t *pool = find_or_add_pool(&node->queue, session->runner_model);
    const admit_item_t item = {
        .id = session->id,
        .organisation = session->organisation,
        .weight = session->weight,
        .cost = (uint32_t)session->prefix_count + 1,
        .urgency = session->urgency,
        .interrupted = session->queued_to_resume,
        .wait_max_us = (int64_t)node->start.queue_wait_ms * US_PER_MS,
    };
    uint32_t retry_after_ms = admit_enqueue(pool->admit, step->now_us, &item);

    session->in_pool = retry_after_ms == 0;
    if (!session->in_pool) {
        session_refuse(step, session, REFUSAL_OVERLOADED, RUN_NOT_RUN,
                       retry_after_ms,
                       "the wait for a backend server would be too long: "
                       "send the request again after the stated time");
    }
}

static void
start_from_pool(step_t *step, pool_t *pool)
{
    uint64_t id;

    while (admit_peek(pool->admit, &id)) {
        session_t *session;

        HASH_FIND(hh, step->node->sessions, &id, sizeof(id), session);
        if (session == NULL) {
            admit_remove(pool->admit, step->now_us, id);
            continue;
        }
        if (suspecting_refuse_blocked(step, session)) {
            continue;
        }
        if (!suspecting_may_start(step, session)) {
            defer_session(step, pool, session);
            continue;
        }
        if (!start_session(step, pool, session)) {
            return;
        }
    }
}

/* Queues the deferred sessions that may be started now. */
static void
requeue_deferred(step_t *step)
{
    session_t *session = TAILQ_FIRST(&step->node->queue.deferred);

    while (session != NULL) {
        session_t *next = TAILQ_NEXT(session, queue);

        if (suspecting_may_start(step, session)) {
            queue_remove(step, session);
            add_to_pool(step, session);
        }
        session = next;
    }
}

static void
defer_session(step_t *step, pool_t *pool, session_t *session)
{
    admit_remove(pool->admit, step->now_us, session->id);
    session->in_pool = false;
    session->is_deferred = true;
    TAILQ_INSERT_TAIL(&step->node->queue.deferred, session, queue);
}

/* Returns false if the pool has no runner with room. */
static bool
start_session(step_t *step, pool_t *pool, session_t *session)
{
    node_t *node = step->node;
    runner_query_t query = session_runner_query(session, node->start.zone);
    runner_state_t *runner;

    suspecting_restrict_query(step, session, &query);
    runner = runners_select(&node->runners, &query, step->now_us);
    if (runner == NULL) {
        return false;
    }
    if (!claiming_may_start(step, session)) {
        session_refuse_expired_claim(step, session);
        return true;
    }
    admit_record_start(pool->admit, step->now_us, session->id);
    session->in_pool = false;
    (void)attempt_open(step, session, runner, false);
    replication_start(step, session);
    session->queued_to_resume = false;
    session_set_state(step, session, SESSION_RUNNING);
    return true;
}
