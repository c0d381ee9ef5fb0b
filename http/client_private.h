/*
 * client_private.h - a call of the HTTP client and its state.
 *
 * Private to client.c, which runs the calls, client_request.c, which sets up
 * the request, and client_response.c, which receives the response.
 */
#ifndef HTTP_CLIENT_PRIVATE_H
#define HTTP_CLIENT_PRIVATE_H

#include <sys/queue.h>

#include <curl/curl.h>

#include "http/framing.h"
#include "http/http.h"

struct http_call {
    LIST_ENTRY(http_call) link;
    TAILQ_ENTRY(http_call) deferred; /* in deferred_starts or _frees */
    TAILQ_ENTRY(http_call) exceeded; /* in exceeded_calls, if end_pending */
    http_client_t *client;
    http_sink_t *sink;
    CURL *easy;
    struct curl_slist *headers;
    bool added;          /* added to the multi handle */
    bool cancelled;      /* no more callbacks; freed after libcurl returns */
    bool in_done;        /* done() is running; the call is freed after it */
    bool head_delivered; /* head() has been called */
    bool timed_out;      /* before the request was sent */
    bool too_large;      /* the response exceeds a limit */
    bool end_pending;    /* for that reason */
    bool invalid_status;
    int64_t request_body_bytes;
    bool request_cut; /* it was not received in full when its connection was
                         closed, or that was reset */
    bool response_has_no_body;
    framing_fields_t framing; /* of the head that is being received */
    uint32_t fields;          /* lines received that are no part of the body */
    uint32_t field_bytes;
    uint64_t received_bytes; /* of the response, since http_renew_limit() */
    uint64_t response_max_bytes;
    int64_t send_deadline_ms; /* CLOCK_BOOTTIME; 0: no limit */
    uv_timer_t *stall_timer;  /* NULL: the call has no stall timeout */
    uint32_t stall_timeout_ms;
    uint64_t stall_mark_bytes; /* received when it was started */
};
TAILQ_HEAD(call_queue, http_call);

/*
 * Callbacks of libcurl must not add or remove handles.  While libcurl runs
 * (in_curl), starts and cancellations are therefore deferred.
 */
struct http_client {
    uv_loop_t *loop;
    uv_timer_t timer;
    CURLM *multi;
    bool in_curl;
    LIST_HEAD(, http_call) calls;
    struct call_queue deferred_starts;
    struct call_queue deferred_frees;
    struct call_queue exceeded_calls; /* to be ended */
};

/* --- client_request.c --- */

void http_set_request(http_call_t *call, const http_request_t *request);

/* --- client_response.c --- */

/* Sets the callbacks of libcurl that receive the response. */
void http_set_response(http_call_t *call, const http_request_t *request);

#endif
