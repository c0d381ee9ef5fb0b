/*
 * backend.h - a backend server: a model engine or a plain service.
 *
 * Two kinds stand behind the one vtable: engine.h (OpenAI-compatible
 * streaming HTTP with token ids) and service.h (plain HTTP).  A backend
 * keeps to its protocol and reports what it saw; it decides nothing.
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
    BACKEND_NOT_SENT = 1, /* no connection: nothing was sent */
    BACKEND_RESET = 2,    /* the connection broke or the stream was cut */
    BACKEND_REFUSED = 3,  /* 429 or 503: it was not run */
    BACKEND_FAILED = 4,   /* any other 5xx, or an answer that is no answer */
    BACKEND_GONE = 5,     /* reattaching: 404, it knows no such stream */
    BACKEND_INVALID = 6,  /* 400 or 422: the request itself is wrong */
} backend_loss_t;

/*
 * Tokens of one server-sent event.  position counts the tokens of this
 * stream before this piece (from 0, or from "after" for a reattached one).
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
} backend_piece_t;

/* The receiver of what backends report; its first member is its vtable. */
typedef struct {
    void (*piece)(backend_listener_t *listener, const backend_piece_t *piece);
    /* The stream ended in "data: [DONE]". */
    void (*end)(backend_listener_t *listener, uint64_t stream);
    /* The stream is over without an end; nothing more comes for it. */
    void (*loss)(backend_listener_t *listener, uint64_t stream,
                 backend_loss_t kind, uint32_t status,
                 uint32_t retry_after_ms);
    /* The whole answer of a plain service. */
    void (*reply)(backend_listener_t *listener, uint64_t stream,
                  uint32_t status, const char *content_type, const char *body,
                  size_t body_bytes);
    /* A report of load, or that none could be had. */
    void (*load)(backend_listener_t *listener, const char *runner,
                 bool reached, uint32_t running, uint32_t waiting);
} backend_listener_ops_t;
struct backend_listener {
    const backend_listener_ops_t *ops;
};

/* What to start; everything is copied. */
typedef struct {
    uint64_t stream;         /* the caller's number for this stream */
    const char *address;     /* "ip:port" */
    const char *stream_name; /* sent as X-Request-Id; the engine's id of it
                                is "cmpl-" or "chatcmpl-" and this name */
    backend_endpoint_t endpoint;
    const char *method; /* plain services only */
    const char *path;   /* plain services only: "/..." */
    const char *content_type;
    const char *body; /* the caller's own body, JSON for engines */
    size_t body_bytes;
    const char *model;          /* the model, version or adapter to name */
    const uint32_t *prompt_ids; /* in place of the prompt; see below */
    uint32_t prompt_count;
    uint32_t max_tokens; /* 0: as the body says */
    bool has_seed;
    int64_t seed;
    int32_t priority;
} backend_request_t;

/* What to take up again: the engine's own id of it, and from where. */
typedef struct {
    uint64_t stream; /* the number for the pieces to come */
    const char *address;
    const char *stream_name;
    backend_endpoint_t endpoint;
    uint32_t after; /* tokens of that stream already held */
} backend_reattach_t;

/*
 * open: starts a stream.  The body is sent on with these changes: stream
 * is true, return_token_ids is true, stop is left out (the router looks
 * for stop strings itself, because an engine that resumes has not seen the
 * text before), model, max_tokens, seed and priority as given.  With
 * prompt_ids the endpoint is completions and "prompt" is the list of ids,
 * whatever the body had ("messages" and "prompt" are left out).
 *
 * reattach: GET /v1/completions/{id}?stream=true&starting_after=N, where
 * id is "cmpl-"/"chatcmpl-" and the name.
 *
 * cancel: POST /v1/completions/{id}/cancel unless keep is set, and the
 * stream's connection is closed; no report follows.
 *
 * poll_load: GET /metrics, reported by listener->load.
 */
typedef struct {
    void (*open)(backend_t *backend, const backend_request_t *request);
    void (*reattach)(backend_t *backend, const backend_reattach_t *again);
    void (*cancel)(backend_t *backend, uint64_t stream, bool keep);
    void (*poll_load)(backend_t *backend, const char *runner,
                      const char *address);
    void (*free)(backend_t *backend);
} backend_ops_t;
struct backend {
    const backend_ops_t *ops;
};

/* One of each serves every runner; listener and client outlive them. */
backend_t *engine_new(http_client_t *client, backend_listener_t *listener);
backend_t *service_new(http_client_t *client, backend_listener_t *listener);

#endif
