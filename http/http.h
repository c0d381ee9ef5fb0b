/*
 * http.h - an HTTP client on a libuv loop.
 *
 * libcurl's multi interface does the protocol; this package ties it to the
 * loop.  All calls and callbacks happen on the loop's thread.  No callback
 * is made from inside http_start() or http_cancel().
 */
#ifndef HTTP_HTTP_H
#define HTTP_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "base/err.h"

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef enum {
    HTTP_DONE,     /* a whole response came, of any status */
    HTTP_NOT_SENT, /* no connection was made: nothing left this host */
    HTTP_BROKEN,   /* the connection broke after the request was begun; so
                      does one whose host acknowledges nothing for 6 s */
    HTTP_TIMEOUT,  /* timeout_ms passed; whether it was run is unknown */
} http_result_t;

/* The receiver of one call's response; the first member is its vtable. */
typedef struct http_sink http_sink_t;
typedef struct {
    /* The status line and headers are in; retry_after_ms is 0 without. */
    void (*head)(http_sink_t *sink, uint32_t status, const char *content_type,
                 uint32_t retry_after_ms);
    void (*body)(http_sink_t *sink, const char *bytes, size_t length);
    /* The last callback; the call is freed after it. */
    void (*done)(http_sink_t *sink, http_result_t result);
    /*
     * Each header line of the response, before head(); may be NULL.  Those
     * of an interim response (1xx) come too: status tells them apart.
     */
    void (*field)(http_sink_t *sink, uint32_t status, const char *name,
                  size_t name_bytes, const char *value, size_t value_bytes);
} http_sink_ops_t;
struct http_sink {
    const http_sink_ops_t *ops;
};

typedef struct {
    const char *method;         /* "GET", "POST", ... */
    const char *url;            /* the host by IP number */
    const char *target;         /* sent instead of the url's path and query,
                                   byte for byte; NULL: as in the url */
    const char *const *headers; /* "Name: value", NULL at the end; or NULL;
                                   one with a line break is left out */
    const char *body;           /* copied; NULL for none */
    size_t body_bytes;
    /*
     * From http_start() until the request is sent; a call that is not sent
     * by then ends as HTTP_NOT_SENT, also when this process was paused in
     * between.  0: no limit.
     */
    uint32_t connect_timeout_ms;
    uint32_t timeout_ms; /* of the whole call; 0: none */
    /*
     * A connection of its own, closed afterwards.  On a kept connection
     * that turns out to be closed, the request is sent a second time; on a
     * fresh one it is sent at most once.
     */
    bool fresh_connection;
    bool bare; /* no headers but those given, Host and the body's length */
    const char *ca_file; /* whom https trusts; NULL: as the system does */
} http_request_t;

http_client_t *http_client_new(uv_loop_t *loop);

/*
 * Ends every call without callbacks; the loop must run once more.  Not from
 * inside a callback of a call.
 */
void http_client_free(http_client_t *client);

/* Starts a call; sink stays the caller's and outlives the call. */
http_call_t *http_start(http_client_t *client, const http_request_t *request,
                        http_sink_t *sink);

/* Ends a call at once: its connection closes, no callback follows. */
void http_cancel(http_call_t *call);

#endif
