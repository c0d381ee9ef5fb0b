/*
 * http.h - an HTTP client on a libuv loop.
 *
 * libcurl's multi interface implements the protocol; this module runs it on
 * the loop.  All calls and callbacks happen on the thread of the loop.  No
 * callback runs inside http_start() or http_cancel().
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
    HTTP_DONE,            /* complete response, of any status */
    HTTP_NOT_SENT,        /* no byte of the request was sent */
    HTTP_CONNECTION_LOST, /* the connection failed after sending began, the
                    peer acknowledged no data for 6 s, the head of the response
                    is ambiguous (http/framing.h), or a response that ends with
                    its connection ended before the peer had the request */
    HTTP_INVALID,         /* the status of the response is above 599 */
    HTTP_TIMEOUT,         /* timeout_ms passed, or the response stalled; the
                    request may have run */
    HTTP_TOO_LARGE,       /* the response exceeds response_max_bytes, or its
                    fields exceed HTTP_FIELDS_MAX or HTTP_FIELD_BYTES_MAX */
} http_result_t;

/*
 * Largest number and size of the lines that a call keeps: of interim
 * responses, of the head and of the trailers, all together.
 */
enum { HTTP_FIELDS_MAX = 256, HTTP_FIELD_BYTES_MAX = 64 << 10 };

/* Slowest progress of a call with a stall timeout, within each of them. */
enum { HTTP_STALL_BYTES = 4096 };

/* Receives the response of a call; embedded as the first member. */
typedef struct http_sink http_sink_t;
typedef struct {
    /*
     * The status line and headers are complete.  retry_after_ms is 0 if there
     * is no Retry-After.
     */
    void (*head)(http_sink_t *sink, uint32_t status, const char *content_type,
                 uint32_t retry_after_ms);
    void (*body)(http_sink_t *sink, const char *bytes, size_t length);
    /* The last callback; the call is freed when it returns. */
    void (*done)(http_sink_t *sink, http_result_t result);
    /*
     * Called for each header field before head(); may be NULL.  status
     * distinguishes the fields of an interim response (1xx).
     */
    void (*field)(http_sink_t *sink, uint32_t status, const char *name,
                  size_t name_bytes, const char *value, size_t value_bytes);
} http_sink_ops_t;
struct http_sink {
    const http_sink_ops_t *ops;
};

typedef struct {
    const char *method;         /* "GET", "POST", ... */
    const char *url;            /* the host is an IP address */
    const char *target;         /* request target that replaces the path and
                                   query of url unchanged; or NULL */
    const char *const *headers; /* "Name: value", NULL-terminated; or NULL;
                                   one with a line break is not sent */
    const char *body;           /* copied; NULL for none */
    size_t body_bytes;
    /*
     * Time from http_start() to sending the request; 0: no limit.  A call
     * that exceeds it ends with HTTP_NOT_SENT, also if this process was
     * paused meanwhile.
     */
    uint32_t connect_timeout_ms;
    uint32_t timeout_ms; /* for the whole call; 0: none */
    /*
     * Not 0: timeout_ms bounds only the time to the first byte of the
     * response.  From then on, each stall_timeout_ms has to bring
     * HTTP_STALL_BYTES, or the end of the response; the call ends with
     * HTTP_TIMEOUT otherwise.  Requires response_max_bytes, which bounds the
     * duration of the call.
     */
    uint32_t stall_timeout_ms;
    /*
     * Bytes that the peer may send in response, whatever they are: interim
     * responses, head, framing of chunks, body, trailers.  http_renew_limit()
     * allows as many again.  0: no limit.
     */
    uint64_t response_max_bytes;
    /*
     * Use a new connection and close it afterwards.  The request is then
     * sent at most once; on a kept connection that turns out to be closed,
     * libcurl sends it a second time.
     */
    bool fresh_connection;
    bool no_default_headers; /* send only headers, Host and Content-Length */
    const char *ca_file;     /* CA certificates; NULL: those of the system */
} http_request_t;

http_client_t *http_client_new(uv_loop_t *loop);

/*
 * Ends all calls without callbacks.  The loop must run once more to free the
 * client.  Must not be called from a callback of a call.
 */
void http_client_free(http_client_t *client);

/* Starts a call.  The caller owns sink, which must outlive the call. */
http_call_t *http_start(http_client_t *client, const http_request_t *request,
                        http_sink_t *sink);

/*
 * Returns in done() whether HTTP_NOT_SENT means that connect_timeout_ms passed
 * without a sign of the peer, and not that the connection was refused.
 */
bool http_connect_timed_out(const http_call_t *call);

/* Returns, once the head is there, the time since the connection stood, or
 * less. */
int64_t http_connection_age_us(const http_call_t *call);
/* Returns the time from the start of the call until then. */
int64_t http_connect_time_us(const http_call_t *call);

/* Starts the count for response_max_bytes anew: the response is of use. */
void http_renew_limit(http_call_t *call);
/* Returns the bytes received since then, or since the start of the call. */
uint64_t http_received_bytes(const http_call_t *call);

/* Cancels a call: closes its connection; no further callback runs. */
void http_cancel(http_call_t *call);

#endif
