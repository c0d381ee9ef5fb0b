/* backends.c - opens, reattaches and cancels backend server streams. */
#include <stdlib.h>

#include <uthash.h>

#include "agated/agated.h"
#include "backend/backend.h"
#include "base/log.h"

enum { POLL_TICK_MS = 50, TICKS_PER_ROUND = 10, POLLS_PER_TICK_MAX = 5 };

/* A stream of a plain service; all other streams belong to engines. */
typedef struct {
    uint64_t stream;
    UT_hash_handle hh;
} service_stream_t;

struct backends {
    backend_listener_t listener; /* first, because callbacks cast it */
    daemon_t *daemon;
    backend_t *engine;
    backend_t *service;
    service_stream_t *service_streams;
    uv_timer_t *poll_timer;
    size_t round_tick; /* 0 to TICKS_PER_ROUND - 1 */
    size_t next_poll;  /* index of the next runner, modulo their number */
};

static void open_stream(backends_t *backends,
                        const open_stream_action_t *action);
static void reattach(backends_t *backends, const reattach_action_t *action);
static void cancel(backends_t *backends, const cancel_stream_action_t *action);
static backend_endpoint_t backend_endpoint(endpoint_t endpoint);
static void add_service_stream(backends_t *backends, uint64_t stream);
static bool remove_service_stream(backends_t *backends, uint64_t stream);
static void on_chunk(backend_listener_t *listener,
                     const backend_chunk_t *chunk);
static void on_end(backend_listener_t *listener, uint64_t stream);
static void on_loss(backend_listener_t *listener, uint64_t stream,
                    backend_loss_t kind, uint32_t status,
                    uint32_t retry_after_ms);
static void on_reply(backend_listener_t *listener, uint64_t stream,
                     uint32_t status, const char *content_type,
                     const char *body, size_t body_bytes);
static void on_load(backend_listener_t *listener, const char *runner,
                    bool reached, uint32_t running, uint32_t waiting);
static void poll_runners(uv_timer_t *timer);

static const backend_listener_ops_t listener_ops = {
    .stream_chunk = on_chunk,
    .end = on_end,
    .loss = on_loss,
    .reply = on_reply,
    .load = on_load,
};

backends_t *
backends_new(daemon_t *daemon)
{
    backends_t *backends = xcalloc(1, sizeof(*backends));

    backends->listener.ops = &listener_ops;
    backends->daemon = daemon;
    backends->engine = engine_new(daemon->client, &backends->listener);
    backends->service = service_new(daemon->client, &backends->listener);
    backends->poll_timer = xcalloc(1, sizeof(*backends->poll_timer));
    (void)uv_timer_init(daemon->loop, backends->poll_timer);
    backends->poll_timer->data = backends;
    (void)uv_timer_start(backends->poll_timer, poll_runners, POLL_TICK_MS,
                         POLL_TICK_MS);
    return backends;
}

void
backends_free(backends_t *backends)
{
    service_stream_t *stream;

    if (backends == NULL) {
        return;
    }
    stream = backends->service_streams;
    backends->engine->ops->free(backends->engine);
    backends->service->ops->free(backends->service);
    HASH_CLEAR(hh, backends->service_streams);
    while (stream != NULL) {
        service_stream_t *next = stream->hh.next;

        free(stream);
        stream = next;
    }
    uv_close((uv_handle_t *)backends->poll_timer, (uv_close_cb)free);
    free(backends);
}

void
backends_apply_action(backends_t *backends, const action_t *action)
{
    switch (action->kind) {
    case ACTION_OPEN_STREAM:
        open_stream(backends, &action->action_t_u.open);
        return;
    case ACTION_REATTACH:
        reattach(backends, &action->action_t_u.reattach);
        return;
    case ACTION_CANCEL_STREAM:
        cancel(backends, &action->action_t_u.cancel);
        return;
    default:
        return;
    }
}

/*
 * Checks the deadline against the current time, because the host may have been
 * paused since the node decided to open the stream.
 */
static void
open_stream(backends_t *backends, const open_stream_action_t *action)
{
    const request_body_t *body =
        listener_find_body(backends->daemon->listener, action->body);
    bool service = action->endpoint == ENDPOINT_SERVICE;
    bool deadline_passed = action->start_deadline_us != 0 &&
                           dispatch_now_us() > action->start_deadline_us;
    backend_t *backend = service ? backends->service : backends->engine;
    backend_request_t request = {
        .stream = action->stream,
        .address = action->address,
        .stream_name = action->stream_name,
        .model = action->model,
        .endpoint = backend_endpoint(action->endpoint),
        .prompt_ids = action->prompt_ids.prompt_ids_val,
        .prompt_count = action->prompt_ids.prompt_ids_len,
        .max_tokens = action->max_tokens,
        .has_seed = action->has_seed,
        .seed = action->seed,
        .priority = action->priority,
    };

    if (body == NULL || deadline_passed) {
        log_line(LOG_WARNING, "not opened stream=%s runner=%s reason=%s",
                 action->stream_name, action->runner,
                 body == NULL ? "no-body" : "too-late");
        on_loss(&backends->listener, action->stream, BACKEND_NOT_SENT, 0, 0);
        return;
    }
    request.method = body->method;
    request.path = body->path;
    request.content_type = body->content_type;
    request.body = body->bytes;
    request.body_bytes = body->length;
    if (service) {
        add_service_stream(backends, action->stream);
    }
    backend->ops->open(backend, &request);
}

static void
reattach(backends_t *backends, const reattach_action_t *action)
{
    backend_reattach_t request = {
        .stream = action->stream,
        .address = action->address,
        .stream_name = action->stream_name,
        .endpoint = backend_endpoint(action->endpoint),
        .after = action->after,
    };

    backends->engine->ops->reattach(backends->engine, &request);
}

static void
cancel(backends_t *backends, const cancel_stream_action_t *action)
{
    backend_t *backend = remove_service_stream(backends, action->stream)
                             ? backends->service
                             : backends->engine;

    backend->ops->cancel(backend, action->stream, action->keep_stream);
}

static backend_endpoint_t
backend_endpoint(endpoint_t endpoint)
{
    switch (endpoint) {
    case ENDPOINT_CHAT:
        return BACKEND_CHAT;
    case ENDPOINT_SERVICE:
        return BACKEND_SERVICE;
    case ENDPOINT_COMPLETIONS:
        break;
    }
    return BACKEND_COMPLETIONS;
}

static void
add_service_stream(backends_t *backends, uint64_t stream)
{
    service_stream_t *entry = xcalloc(1, sizeof(*entry));

    entry->stream = stream;
    HASH_ADD(hh, backends->service_streams, stream, sizeof(stream), entry);
}

static bool
remove_service_stream(backends_t *backends, uint64_t stream)
{
    service_stream_t *entry;

    HASH_FIND(hh, backends->service_streams, &stream, sizeof(stream), entry);
    if (entry == NULL) {
        return false;
    }
    HASH_DEL(backends->service_streams, entry);
    free(entry);
    return true;
}

static void
on_chunk(backend_listener_t *listener, const backend_chunk_t *chunk)
{
    backends_t *backends = (backends_t *)listener;
    event_t event = {.kind = EVENT_CHUNK};
    chunk_event_t *chunk_event = &event.event_t_u.chunk;

    chunk_event->stream = chunk->stream;
    chunk_event->position = chunk->position;
    chunk_event->prompt_ids.prompt_ids_val =
        (uint32_t *)(uintptr_t)chunk->prompt_ids;
    chunk_event->prompt_ids.prompt_ids_len = chunk->prompt_count;
    chunk_event->token_ids.token_ids_val =
        (uint32_t *)(uintptr_t)chunk->token_ids;
    chunk_event->token_ids.token_ids_len = chunk->token_count;
    chunk_event->text.text_val = (char *)(uintptr_t)chunk->text;
    chunk_event->text.text_len = (u_int)chunk->text_bytes;
    chunk_event->finish = (finish_reason_t)chunk->finish;
    dispatch_event(backends->daemon->dispatch, &event);
}

static void
on_end(backend_listener_t *listener, uint64_t stream)
{
    backends_t *backends = (backends_t *)listener;
    event_t event = {.kind = EVENT_STREAM_END};

    event.event_t_u.end.stream = stream;
    dispatch_event(backends->daemon->dispatch, &event);
}

static void
on_loss(backend_listener_t *listener, uint64_t stream, backend_loss_t kind,
        uint32_t status, uint32_t retry_after_ms)
{
    backends_t *backends = (backends_t *)listener;
    event_t event = {.kind = EVENT_LOSS};
    loss_event_t *loss = &event.event_t_u.loss;

    (void)remove_service_stream(backends, stream);
    loss->stream = stream;
    loss->kind = (loss_kind_t)kind;
    loss->status = status;
    loss->retry_after_ms = retry_after_ms;
    dispatch_event(backends->daemon->dispatch, &event);
}

static void
on_reply(backend_listener_t *listener, uint64_t stream, uint32_t status,
         const char *content_type, const char *body, size_t body_bytes)
{
    backends_t *backends = (backends_t *)listener;
    event_t event = {.kind = EVENT_REPLY};
    reply_event_t *reply = &event.event_t_u.reply;

    (void)remove_service_stream(backends, stream);
    reply->stream = stream;
    reply->status = status;
    reply->content_type =
        (char *)(uintptr_t)(content_type == NULL ? "" : content_type);
    reply->body.body_val = (char *)(uintptr_t)body;
    reply->body.body_len = (u_int)body_bytes;
    dispatch_event(backends->daemon->dispatch, &event);
}

static void
on_load(backend_listener_t *listener, const char *runner, bool reached,
        uint32_t running, uint32_t waiting)
{
    backends_t *backends = (backends_t *)listener;
    event_t event = {.kind = EVENT_LOAD};
    load_event_t *load = &event.event_t_u.load;

    load->runner = (char *)(uintptr_t)runner;
    load->reached = reached;
    load->running = running;
    load->waiting = waiting;
    dispatch_event(backends->daemon->dispatch, &event);
}

/* Polls each runner once per round, spread over the ticks of the round. */
static void
poll_runners(uv_timer_t *timer)
{
    backends_t *backends = timer->data;
    const node_t *node = dispatch_node(backends->daemon->dispatch);
    arena_t arena = {0};
    size_t count = 0;
    size_t poll_count;
    size_t i;
    const node_runner_view_t *runners =
        node_runners(node, dispatch_now_us(), &arena, &count);

    poll_count = count * (backends->round_tick + 1) / TICKS_PER_ROUND -
                 count * backends->round_tick / TICKS_PER_ROUND;
    backends->round_tick = (backends->round_tick + 1) % TICKS_PER_ROUND;
    if (poll_count > POLLS_PER_TICK_MAX) {
        poll_count = POLLS_PER_TICK_MAX;
    }
    for (i = 0; i < poll_count; i++) {
        const node_runner_view_t *runner =
            &runners[backends->next_poll % count];

        backends->next_poll++;
        backends->engine->ops->poll_load(backends->engine, runner->name,
                                         runner->address);
    }
    arena_free(&arena);
}
