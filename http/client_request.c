/* client_request.c - sets up the request of a call. */
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "http/client_private.h"

enum {
    RECEIVE_BUFFER_BYTES = 4096,
    KEEPALIVE_IDLE_S = 3,
    KEEPALIVE_INTERVAL_S = 1,
    UNACKNOWLEDGED_MAX_MS = 6000,
    MS_PER_S = 1000,
    NS_PER_MS = 1000000,
};

static void set_method(http_call_t *call, const http_request_t *request);
static int on_new_socket(void *context, curl_socket_t fd,
                         curlsocktype purpose);
static int on_before_send(void *context, char *remote, char *local,
                          int remote_port, int local_port);
static int on_close_socket(void *context, curl_socket_t fd);
static int64_t now_ms(void);

void
http_set_request(http_call_t *call, const http_request_t *request)
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
    if (request->stall_timeout_ms == 0) {
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    }
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
        /* The connection does not outlive the call. */
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call);
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
        call->response_has_no_body = true;
        return;
    }
    if (has_body || request->body != NULL) {
        call->request_body_bytes = (int64_t)request->body_bytes;
        curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body_bytes);
        curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS,
                         request->body != NULL ? request->body : "");
    }
    curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
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

/* Where the system does not tell, all bytes count as received. */
static int
on_close_socket(void *context, curl_socket_t fd)
{
    http_call_t *call = context;
    int unsent_bytes = 0;
    int error = 0;
    socklen_t length = sizeof(error);

    if ((ioctl(fd, SIOCOUTQ, &unsent_bytes) == 0 && unsent_bytes > 0) ||
        (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
         error != 0)) {
        call->request_cut = true;
    }
    return close(fd);
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
