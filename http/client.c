/* client.c - runs libcurl's multi interface on a libuv loop; see http.h. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <time.h>

#include <curl/curl.h>

#include "base/arena.h"
#include "http/http.h"

enum {
    RECEIVE_BUFFER_BYTES = 4096,
    IDLE_CONNECTIONS_MAX = 128,
    KEEPALIVE_IDLE_S = 3,
    KEEPALIVE_INTERVAL_S = 1,
    UNACKNOWLEDGED_MAX_MS = 6000,
    HTTP_STATUS_FINAL_MIN = 200,
    MS_PER_S = 1000,
    NS_PER_MS = 1000000,
};

struct http_call {
    LIST_ENTRY(http_call) link;
    TAILQ_ENTRY(http_call) deferred; /* in deferred_starts or _frees */
    http_client_t *client;
    http_sink_t *sink;
    CURL *easy;
    struct curl_slist *headers;
    bool added;          /* added to the multi handle */
    bool cancelled;      /* no more callbacks; freed after libcurl returns */
    bool in_done;        /* done() is running; the call is freed after it */
    bool head_delivered; /* head() has been called */
    bool timed_out;      /* before the request was sent */
    int64_t send_deadline_ms; /* CLOCK_BOOTTIME; 0: no limit */
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
};

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *context,
                     void *socket_context);
static int on_timer_request(CURLM *multi, long timeout_ms, void *context);
static void on_timer(uv_timer_t *timer);
static void on_socket_event(uv_poll_t *poll, int status, int events);
static void on_poll_closed(uv_handle_t *handle);
static void on_client_closed(uv_handle_t *handle);
static int on_new_socket(void *context, curl_socket_t fd,
                         curlsocktype purpose);
static int on_before_send(void *context, char *remote, char *local,
                          int remote_port, int local_port);
static int64_t now_ms(void);
static size_t on_header(char *bytes, size_t size, size_t count, void *context);
static void deliver_header_field(http_call_t *call, uint32_t status,
                                 const char *bytes, size_t length);
static size_t on_body(char *bytes, size_t size, size_t count, void *context);
static void run_socket_action(http_client_t *client, curl_socket_t fd,
                              int flags);
static void run_deferred_work(http_client_t *client);
static void complete_call(http_call_t *call, CURLcode code);
static http_result_t call_result(http_call_t *call, CURLcode code);
static void call_free(http_call_t *call);
static void set_request(http_call_t *call, const http_request_t *request);
static void set_method(http_call_t *call, const http_request_t *request);

http_client_t *
http_client_new(uv_loop_t *loop)
{
    http_client_t *client = xcalloc(1, sizeof(*client));

    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    client->loop = loop;
    LIST_INIT(&client->calls);
    TAILQ_INIT(&client->deferred_starts);
    TAILQ_INIT(&client->deferred_frees);
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
    set_request(call, request);
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

static void
set_request(http_call_t *call, const http_request_t *request)
{
    CURL *easy = call->easy;
    const char *const *header;

    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_IDLE_S);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)request->connect_timeout_ms);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    if (request->connect_timeout_ms > 0) {
        call->send_deadline_ms = now_ms() + request->connect_timeout_ms;
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
    }
    if (request->ca_file != NULL) {
        curl_easy_setopt(easy, CURLOPT_CAINFO, request->ca_file);
    }
    if (request->fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request->target != NULL) {
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request->target);
    }
    call->headers = curl_slist_append(NULL, "Expect:");
    if (request->no_default_headers) {
        /* A name without a value removes the default header of libcurl. */
        call->headers = curl_slist_append(call->headers, "Accept:");
        call->headers = curl_slist_append(call->headers, "Content-Type:");
    }
    for (header = request->headers; header != NULL && *header != NULL;
         header++) {
        if (strpbrk(*header, "\r\n") == NULL) {
            call->headers = curl_slist_append(call->headers, *header);
        }
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    set_method(call, request);
}

static void
set_method(http_call_t *call, const http_request_t *request)
{
    bool has_body = strcmp(request->method, "POST") == 0 ||
                    strcmp(request->method, "PUT") == 0 ||
                    strcmp(request->method, "PATCH") == 0;

    if (strcmp(request->method, "HEAD") == 0) {
        curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (has_body || request->body != NULL) {
        curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body_bytes);
        curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS,
                         request->body != NULL ? request->body : "");
    }
    curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
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
            uv_close((uv_handle_t *)poll, on_poll_closed);
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
on_poll_closed(uv_handle_t *handle)
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

/*
 * An unreachable host acknowledges neither data nor keepalive probes.  This
 * limit closes its connections, also if the call has no timeout.
 */
static int
on_new_socket(void *context, curl_socket_t fd, curlsocktype purpose)
{
    unsigned limit_ms = UNACKNOWLEDGED_MAX_MS;

    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                     sizeof(limit_ms));
    return CURL_SOCKOPT_OK;
}

/*
 * Checks the deadline just before the request is sent.  The connect timeout
 * of libcurl starts only when it first processes the call, and this process
 * may have been paused since http_start().
 */
static int
on_before_send(void *context, char *remote, char *local, int remote_port,
               int local_port)
{
    const http_call_t *call = context;

    return now_ms() > call->send_deadline_ms ? CURL_PREREQFUNC_ABORT
                                             : CURL_PREREQFUNC_OK;
}

/* This clock also advances while the process or the host is suspended. */
static int64_t
now_ms(void)
{
    struct timespec now;

    (void)clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static size_t
on_header(char *bytes, size_t size, size_t count, void *context)
{
    http_call_t *call = context;
    size_t length = size * count;
    const char *content_type = NULL;
    curl_off_t retry_after_s = 0;
    long status = 0;

    if (call->cancelled) {
        return 0;
    }
    if (call->head_delivered || length == 0) {
        return length;
    }
    (void)curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    if (length > 2 || (bytes[0] != '\r' && bytes[0] != '\n')) {
        deliver_header_field(call, (uint32_t)status, bytes, length);
        return length;
    }
    if (status < HTTP_STATUS_FINAL_MIN) {
        return length;
    }
    (void)curl_easy_getinfo(call->easy, CURLINFO_CONTENT_TYPE, &content_type);
    (void)curl_easy_getinfo(call->easy, CURLINFO_RETRY_AFTER, &retry_after_s);
    if (retry_after_s > UINT32_MAX / MS_PER_S) {
        retry_after_s = UINT32_MAX / MS_PER_S;
    }
    call->head_delivered = true;
    call->sink->ops->head(call->sink, (uint32_t)status,
                          content_type != NULL ? content_type : "",
                          (uint32_t)retry_after_s * MS_PER_S);
    return call->cancelled ? 0 : length;
}

/* Ignores the status line, which has no colon before its first space. */
static void
deliver_header_field(http_call_t *call, uint32_t status, const char *bytes,
                     size_t length)
{
    const char *colon = memchr(bytes, ':', length);
    const char *value = colon + 1;
    const char *end = bytes + length;

    if (call->sink->ops->field == NULL || colon == NULL ||
        memchr(bytes, ' ', (size_t)(colon - bytes)) != NULL) {
        return;
    }
    while (value < end && (*value == ' ' || *value == '\t')) {
        value++;
    }
    while (end > value && strchr(" \t\r\n", end[-1]) != NULL) {
        end--;
    }
    call->sink->ops->field(call->sink, status, bytes, (size_t)(colon - bytes),
                           value, (size_t)(end - value));
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
    http_call_t *call = context;
    size_t length = size * count;

    if (call->cancelled) {
        return 0;
    }
    if (length > 0) {
        call->sink->ops->body(call->sink, bytes, length);
    }
    return call->cancelled ? 0 : length;
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
}

static void
complete_call(http_call_t *call, CURLcode code)
{
    call->in_done = true;
    call->sink->ops->done(call->sink, call_result(call, code));
    call_free(call);
}

static http_result_t
call_result(http_call_t *call, CURLcode code)
{
    long sent_bytes = 0;

    /* libcurl reports success if the connection closes within the headers. */
    if (code == CURLE_OK) {
        return call->head_delivered ? HTTP_DONE : HTTP_CONNECTION_LOST;
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
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    LIST_REMOVE(call, link);
    free(call);
}
