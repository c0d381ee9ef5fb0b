/*
 * backend.h - clients of backend servers: model engines and plain services.
 *
 * Two implementations share one table of operations: engine.c (OpenAI-
 * compatible streaming HTTP with token ids) and service.c (plain HTTP).  A
 * backend implements the protocol and reports events to its listener; it makes
 * no decisions, such as whether to retry.
 */
#ifndef BACKEND_BACKEND_H
#define BACKEND_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/http.h"

typedef struct backend backend_t;
typedef struct backend_listener backend_listener_t;

typedef enum {
    BACKEND_COMPLETIONS,
    BACKEND_CHAT,
    BACKEND_SERVICE,
} backend_endpoint_t;

typedef enum {
    BACKEND_FINISH_NONE,
    BACKEND_FINISH_STOP,
    BACKEND_FINISH_LENGTH,
    BACKEND_FINISH_OTHER,
} backend_finish_t;

typedef enum {
    BACKEND_NOT_SENT = 1, /* connecting failed; nothing was sent */
    BACKEND_RESET = 2,    /* the connection or the stream ended early */
    BACKEND_REFUSED = 3,  /* 429 or 503: the request was not run */
    BACKEND_FAILED = 4,   /* any other status, or an invalid response */
    BACKEND_STREAM_NOT_FOUND =
        5,               /* 404 to a reattach: the stream is unknown */
    BACKEND_INVALID = 6, /* 400 or 422: the request is invalid */
    BACKEND_UNREACHED =
        7, /* reattaching: no connection in time, and none refused */
} backend_loss_t;

/*
 * Tokens of one server-sent event.  position is the number of tokens of the
 * stream before this chunk; it starts at 0, or at "after" for a reattached
 * stream.
 */
typedef struct {
    uint64_t stream;
    uint32_t position;
    const uint32_t *prompt_ids;
    uint32_t prompt_count;
    const uint32_t *token_ids;
    uint32_t token_count;
    const char *text;
    size_t text_bytes;
    backend_finish_t finish;
} backend_chunk_t;

/* Callbacks that receive the events of backends. */
typedef struct {
    void (*stream_chunk)(backend_listener_t *listener,
                         const backend_chunk_t *chunk);
    /* The stream ended with "data: [DONE]". */
    void (*end)(backend_listener_t *listener, uint64_t stream);
    /* The stream failed; no further event of it is reported. */
    void (*loss)(backend_listener_t *listener, uint64_t stream,
                 backend_loss_t kind, uint32_t status,
                 uint32_t retry_after_ms);
    /* The complete response of a plain service. */
    void (*reply)(backend_listener_t *listener, uint64_t stream,
                  uint32_t status, const char *content_type, const char *body,
                  size_t body_bytes);
    /* The load of a runner; reached is false when it could not be read. */
    void (*load)(backend_listener_t *listener, const char *runner,
                 bool reached, uint32_t running, uint32_t waiting);
} backend_listener_ops_t;
struct backend_listener {
    const backend_listener_ops_t *ops;
};

/* Arguments of open; they are copied. */
typedef struct {
    uint64_t stream;         /* its number in the listener's callbacks */
    const char *address;     /* "ip:port" */
    const char *stream_name; /* sent as X-Request-Id; the engine's id is
                                "cmpl-" or "chatcmpl-" and this name */
    backend_endpoint_t endpoint;
    const char *method; /* plain services only */
    const char *path;   /* plain services only: "/..." */
    const char *content_type;
    const char *body; /* the caller's body; JSON for engines */
    size_t body_bytes;
    const char *model; /* sent as the model: a model, version or adapter */
    const uint32_t *prompt_ids; /* replace the prompt; see open below */
    uint32_t prompt_count;
    uint32_t max_tokens; /* 0: the value of the body is used */
    bool has_seed;
    int64_t seed;
    int32_t priority;
} backend_request_t;

/* Arguments of reattach. */
typedef struct {
    uint64_t stream; /* its number in the listener's callbacks */
    const char *address;
    const char *stream_name;
    backend_endpoint_t endpoint;
    uint32_t after; /* tokens of the stream already received */
} backend_reattach_t;

/*
 * open: starts a stream.  The body is sent with these changes: stream and
 * return_token_ids are true; stop is removed, because an engine that resumes a
 * response has not seen the earlier text, so the router checks stop strings;
 * model, max_tokens, seed and priority are set as given.  With prompt_ids the
 * endpoint is completions and "prompt" is the list of ids; the "messages" and
 * "prompt" of the body are removed.
 *
 * reattach: GET /v1/completions/{id}?stream=true&starting_after=N, where
 * id is "cmpl-" or "chatcmpl-" and the name.  NULL for plain services.
 *
 * cancel: sends POST /v1/completions/{id}/cancel unless keep_stream is set,
 * and closes the connection of the stream.  No event is reported.
 *
 * poll_load: sends GET /metrics and reports the result by listener->load.
 */
typedef struct {
    void (*open)(backend_t *backend, const backend_request_t *request);
    void (*reattach)(backend_t *backend, const backend_reattach_t *request);
    void (*cancel)(backend_t *backend, uint64_t stream, bool keep_stream);
    void (*poll_load)(backend_t *backend, const char *runner,
                      const char *address);
    void (*free)(backend_t *backend);
} backend_ops_t;
struct backend {
    const backend_ops_t *ops;
};

/*
 * One instance of each serves all runners.  listener and client must outlive
 * them.
 */
backend_t *engine_new(http_client_t *client, backend_listener_t *listener);
backend_t *service_new(http_client_t *client, backend_listener_t *listener);

#endif
