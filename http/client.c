/* client.c - runs libcurl's multi interface on a libuv loop; see http.h. */
#include <stdlib.h>

#include <curl/curl.h>

#include "base/arena.h"
#include "http/client_private.h"

enum {
    IDLE_CONNECTIONS_MAX = 128,
    STATUS_NO_CONTENT = 204,
    STATUS_NOT_MODIFIED = 304,
};

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *context,
                     void *socket_context);
static int on_timer_request(CURLM *multi, long timeout_ms, void *context);
static void on_timer(uv_timer_t *timer);
static void on_socket_event(uv_poll_t *poll, int status, int events);
static void on_handle_closed(uv_handle_t *handle);
static void on_client_closed(uv_handle_t *handle);
static void run_socket_action(http_client_t *client, curl_socket_t fd,
                              int flags);
static void run_deferred_work(http_client_t *client);
static void complete_call(http_call_t *call, CURLcode code);
static http_result_t call_result(http_call_t *call, CURLcode code);
static bool is_end_certain(const http_call_t *call);
static void start_stall_timer(http_call_t *call,
                              const http_request_t *request);
static void on_stall_timer(uv_timer_t *timer);
static void call_free(http_call_t *call);

http_client_t *
http_client_new(uv_loop_t *loop)
{
    http_client_t *client = xcalloc(1, sizeof(*client));

    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    client->loop = loop;
    LIST_INIT(&client->calls);
    TAILQ_INIT(&client->deferred_starts);
    TAILQ_INIT(&client->deferred_frees);
    TAILQ_INIT(&client->exceeded_calls);
    (void)uv_timer_init(loop, &client->timer);
    client->timer.data = client;
    client->multi = curl_multi_init();
    if (client->multi == NULL) {
        abort();
    }
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer_request);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)IDLE_CONNECTIONS_MAX);
    return client;
}

void
http_client_free(http_client_t *client)
{
    http_call_t *call = LIST_FIRST(&client->calls);

    while (call != NULL) {
        http_call_t *next = LIST_NEXT(call, link);

        call_free(call);
        call = next;
    }
    (void)curl_multi_cleanup(client->multi);
    curl_global_cleanup();
    uv_close((uv_handle_t *)&client->timer, on_client_closed);
}

http_call_t *
http_start(http_client_t *client, const http_request_t *request,
           http_sink_t *sink)
{
    http_call_t *call = xcalloc(1, sizeof(*call));

    call->client = client;
    call->sink = sink;
    call->easy = curl_easy_init();
    if (call->easy == NULL) {
        abort();
    }
    LIST_INSERT_HEAD(&client->calls, call, link);
    http_set_request(call, request);
    http_set_response(call, request);
    if (request->stall_timeout_ms > 0) {
        start_stall_timer(call, request);
    }
    if (client->in_curl) {
        TAILQ_INSERT_TAIL(&client->deferred_starts, call, deferred);
    }
    else {
        call->added = true;
        (void)curl_multi_add_handle(client->multi, call->easy);
    }
    return call;
}

void
http_cancel(http_call_t *call)
{
    http_client_t *client = call->client;

    if (call->cancelled) {
        return;
    }
    call->cancelled = true;
    if (call->in_done) {
        return;
    }
    if (!client->in_curl) {
        call_free(call);
        return;
    }
    if (!call->added) {
        TAILQ_REMOVE(&client->deferred_starts, call, deferred);
    }
    TAILQ_INSERT_TAIL(&client->deferred_frees, call, deferred);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *context,
          void *socket_context)
{
    http_client_t *client = context;
    uv_poll_t *poll = socket_context;
    int events = 0;

    if (what == CURL_POLL_REMOVE) {
        if (poll != NULL) {
            (void)curl_multi_assign(client->multi, fd, NULL);
            uv_close((uv_handle_t *)poll, on_handle_closed);
        }
        return 0;
    }
    if (poll == NULL) {
        poll = xcalloc(1, sizeof(*poll));
        if (uv_poll_init_socket(client->loop, poll, fd) != 0) {
            free(poll);
            return -1;
        }
        poll->data = client;
        (void)curl_multi_assign(client->multi, fd, poll);
    }
    events |= what & CURL_POLL_IN ? UV_READABLE : 0;
    events |= what & CURL_POLL_OUT ? UV_WRITABLE : 0;
    (void)uv_poll_start(poll, events, on_socket_event);
    return 0;
}

static void
on_socket_event(uv_poll_t *poll, int status, int events)
{
    uv_os_fd_t fd;
    int flags = 0;

    if (uv_fileno((uv_handle_t *)poll, &fd) != 0) {
        return;
    }
    if (status < 0) {
        flags = CURL_CSELECT_ERR;
    }
    flags |= events & UV_READABLE ? CURL_CSELECT_IN : 0;
    flags |= events & UV_WRITABLE ? CURL_CSELECT_OUT : 0;
    run_socket_action(poll->data, fd, flags);
}

static void
on_handle_closed(uv_handle_t *handle)
{
    free(handle);
}

static void
on_client_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static int
on_timer_request(CURLM *multi, long timeout_ms, void *context)
{
    http_client_t *client = context;

    if (timeout_ms < 0) {
        (void)uv_timer_stop(&client->timer);
        return 0;
    }
    /* The loop rounds its time down to milliseconds.  Add one, because libcurl
     * does not request the timer again if it fires too early. */
    uv_update_time(client->loop);
    (void)uv_timer_start(&client->timer, on_timer,
                         (uint64_t)timeout_ms + (timeout_ms > 0 ? 1 : 0), 0);
    return 0;
}

static void
on_timer(uv_timer_t *timer)
{
    run_socket_action(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static void
run_socket_action(http_client_t *client, curl_socket_t fd, int flags)
{
    int running;

    client->in_curl = true;
    (void)curl_multi_socket_action(client->multi, fd, flags, &running);
    client->in_curl = false;
    run_deferred_work(client);
}

/* Runs the frees, starts and completions that waited for libcurl to return. */
static void
run_deferred_work(http_client_t *client)
{
    http_call_t *call;
    CURLMsg *message;
    int messages_left;

    while ((call = TAILQ_FIRST(&client->deferred_frees)) != NULL) {
        TAILQ_REMOVE(&client->deferred_frees, call, deferred);
        call_free(call);
    }
    while ((call = TAILQ_FIRST(&client->deferred_starts)) != NULL) {
        TAILQ_REMOVE(&client->deferred_starts, call, deferred);
        call->added = true;
        (void)curl_multi_add_handle(client->multi, call->easy);
    }
    while ((message = curl_multi_info_read(client->multi, &messages_left)) !=
           NULL) {
        CURLcode code = message->data.result;
        void *owner = NULL;

        (void)curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                                &owner);
        complete_call(owner, code);
    }
    while ((call = TAILQ_FIRST(&client->exceeded_calls)) != NULL) {
        TAILQ_REMOVE(&client->exceeded_calls, call, exceeded);
        call->end_pending = false;
        complete_call(call, CURLE_WRITE_ERROR);
    }
}

static void
complete_call(http_call_t *call, CURLcode code)
{
    call->in_done = true;
    call->sink->ops->done(call->sink, call_result(call, code));
    call_free(call);
}

static void
start_stall_timer(http_call_t *call, const http_request_t *request)
{
    call->stall_timeout_ms = request->stall_timeout_ms;
    call->stall_timer = xcalloc(1, sizeof(*call->stall_timer));
    (void)uv_timer_init(call->client->loop, call->stall_timer);
    call->stall_timer->data = call;
    (void)uv_timer_start(call->stall_timer, on_stall_timer,
                         request->timeout_ms, 0);
}

/* Any byte counts as progress up to the first one. */
static void
on_stall_timer(uv_timer_t *timer)
{
    http_call_t *call = timer->data;
    uint64_t wanted_bytes = call->stall_mark_bytes == 0
                                ? 1
                                : call->stall_mark_bytes + HTTP_STALL_BYTES;

    if (call->cancelled) {
        return;
    }
    if (call->received_bytes < wanted_bytes) {
        complete_call(call, CURLE_OPERATION_TIMEDOUT);
        return;
    }
    call->stall_mark_bytes = call->received_bytes;
    (void)uv_timer_start(timer, on_stall_timer, call->stall_timeout_ms, 0);
}

static http_result_t
call_result(http_call_t *call, CURLcode code)
{
    long sent_bytes = 0;

    if (call->too_large) {
        return HTTP_TOO_LARGE;
    }
    if (call->invalid_status) {
        return HTTP_INVALID;
    }
    /* libcurl reports success if the connection closes within the headers. */
    if (code == CURLE_OK) {
        return call->head_delivered && is_end_certain(call)
                   ? HTTP_DONE
                   : HTTP_CONNECTION_LOST;
    }
    (void)curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    if (sent_bytes == 0) {
        call->timed_out = code == CURLE_OPERATION_TIMEDOUT ||
                          code == CURLE_ABORTED_BY_CALLBACK;
        return HTTP_NOT_SENT;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HTTP_TIMEOUT
                                            : HTTP_CONNECTION_LOST;
}

/*
 * A response with neither a length nor chunks ends with its connection.  A
 * peer that closes it before it has received the request has not served that
 * one: a reset may follow, which would no longer be seen.
 */
static bool
is_end_certain(const http_call_t *call)
{
    curl_off_t uploaded_bytes = 0;
    long status = 0;

    (void)curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (call->response_has_no_body || status == STATUS_NO_CONTENT ||
        status == STATUS_NOT_MODIFIED ||
        framing_result(&call->framing, false) != FRAMING_NO_BODY) {
        return true;
    }
    (void)curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T,
                            &uploaded_bytes);
    return uploaded_bytes >= call->request_body_bytes && !call->request_cut;
}

/* libcurl brings its total time up to date between callbacks only. */
int64_t
http_connection_age_us(const http_call_t *call)
{
    curl_off_t connect_us = 0;
    curl_off_t total_us = 0;

    (void)curl_easy_getinfo(call->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
    (void)curl_easy_getinfo(call->easy, CURLINFO_TOTAL_TIME_T, &total_us);
    return connect_us > 0 && total_us > connect_us ? total_us - connect_us : 0;
}

int64_t
http_connect_time_us(const http_call_t *call)
{
    curl_off_t connect_us = 0;

    (void)curl_easy_getinfo(call->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
    return connect_us;
}

void
http_renew_limit(http_call_t *call)
{
    call->received_bytes = 0;
}

uint64_t
http_received_bytes(const http_call_t *call)
{
    return call->received_bytes;
}

bool
http_connect_timed_out(const http_call_t *call)
{
    return call->timed_out;
}

static void
call_free(http_call_t *call)
{
    if (call->added) {
        (void)curl_multi_remove_handle(call->client->multi, call->easy);
    }
    if (call->stall_timer != NULL) {
        uv_close((uv_handle_t *)call->stall_timer, on_handle_closed);
    }
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    if (call->end_pending) {
        TAILQ_REMOVE(&call->client->exceeded_calls, call, exceeded);
    }
    LIST_REMOVE(call, link);
    free(call);
}
