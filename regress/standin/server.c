/* server.c - a small HTTP/1.1 server on libuv for the stand-ins. */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include "regress/standin/server.h"

enum {
    REQUEST_BYTES_MAX = 16 << 20,
    READ_BYTES = 65536,
    BACKLOG = 512,
    HEAD_BYTES = 256,
    NAME_BYTES = 128,
};

struct server {
    uv_tcp_t tcp; /* first, so that the handle is the server */
    const server_ops_t *ops;
    void *context;
    LIST_HEAD(, server_conn) conns;
};

struct server_conn {
    uv_tcp_t tcp; /* first, so that the handle is the connection */
    LIST_ENTRY(server_conn) link;
    server_t *server; /* NULL: it is closed */
    const server_ops_t *ops;
    void *user;
    char *input;
    size_t input_bytes;
    bool busy; /* a request is being answered */
};

typedef struct {
    uv_write_t write;
    bool close_after;
    char bytes[];
} output_t;

static void on_accept(uv_stream_t *stream, int status);
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf);
static void on_closed(uv_handle_t *handle);
static void on_written(uv_write_t *write, int status);
static void send_bytes(server_conn_t *conn, const char *head,
                       size_t head_bytes, const char *body, size_t body_bytes,
                       const char *tail, bool close_after);
static void serve(server_conn_t *conn);
static size_t serve_one(server_conn_t *conn);
static void copy_header(const char *head, const char *name, char *value,
                        size_t size);

server_t *
server_open(uv_loop_t *loop, uint16_t port, const server_ops_t *ops,
            void *context)
{
    server_t *server = calloc(1, sizeof(*server));
    struct sockaddr_in address;

    server->ops = ops;
    server->context = context;
    LIST_INIT(&server->conns);
    uv_tcp_init(loop, &server->tcp);
    uv_ip4_addr("127.0.0.1", port, &address);
    if (uv_tcp_bind(&server->tcp, (struct sockaddr *)&address, 0) != 0 ||
        uv_listen((uv_stream_t *)&server->tcp, BACKLOG, on_accept) != 0) {
        errx(1, "port %u cannot be listened on: choose another", port);
    }
    return server;
}

uint16_t
server_port(const server_t *server)
{
    struct sockaddr_in address = {0};
    int length = sizeof(address);

    uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&address, &length);
    return ntohs(address.sin_port);
}

static void
on_server_closed(uv_handle_t *handle)
{
    free(handle);
}

void
server_close(server_t *server)
{
    server_conn_t *conn;

    while ((conn = LIST_FIRST(&server->conns)) != NULL) {
        server_reset(conn);
    }
    uv_close((uv_handle_t *)&server->tcp, on_server_closed);
}

void *
server_context(const server_conn_t *conn)
{
    return conn->server->context;
}

void
server_listen(uv_loop_t *loop, uint16_t port, const server_ops_t *ops)
{
    const server_t *server = server_open(loop, port, ops, NULL);

    printf("ready %u\n", (unsigned)server_port(server));
    fflush(stdout);
}

static void
on_accept(uv_stream_t *stream, int status)
{
    server_conn_t *conn;

    if (status != 0) {
        return;
    }
    conn = calloc(1, sizeof(*conn));
    conn->server = (server_t *)stream;
    conn->ops = conn->server->ops;
    LIST_INSERT_HEAD(&conn->server->conns, conn, link);
    uv_tcp_init(stream->loop, &conn->tcp);
    uv_accept(stream, (uv_stream_t *)&conn->tcp);
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char bytes[READ_BYTES];

    *buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_closed(uv_handle_t *handle)
{
    server_conn_t *conn = (server_conn_t *)handle;

    free(conn->input);
    free(conn);
}

void
server_drop(server_conn_t *conn)
{
    void *user = conn->user;

    if (uv_is_closing((uv_handle_t *)&conn->tcp)) {
        return;
    }
    conn->user = NULL;
    LIST_REMOVE(conn, link);
    uv_close((uv_handle_t *)&conn->tcp, on_closed);
    if (user != NULL) {
        conn->ops->gone(user);
    }
}

void
server_reset(server_conn_t *conn)
{
    void *user = conn->user;

    if (uv_is_closing((uv_handle_t *)&conn->tcp)) {
        return;
    }
    conn->user = NULL;
    LIST_REMOVE(conn, link);
    if (uv_tcp_close_reset(&conn->tcp, on_closed) != 0) {
        uv_close((uv_handle_t *)&conn->tcp, on_closed);
    }
    if (user != NULL) {
        conn->ops->gone(user);
    }
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf)
{
    server_conn_t *conn = (server_conn_t *)stream;

    if (length < 0 || conn->input_bytes + (size_t)length > REQUEST_BYTES_MAX) {
        server_drop(conn);
        return;
    }
    conn->input = realloc(conn->input, conn->input_bytes + (size_t)length + 1);
    memcpy(conn->input + conn->input_bytes, buf->base, (size_t)length);
    conn->input_bytes += (size_t)length;
    serve(conn);
}

static void
serve(server_conn_t *conn)
{
    size_t used;

    while (!conn->busy && conn->input_bytes > 0 &&
           !uv_is_closing((uv_handle_t *)&conn->tcp)) {
        used = serve_one(conn);
        if (used == 0) {
            return;
        }
        conn->input_bytes -= used;
        memmove(conn->input, conn->input + used, conn->input_bytes);
    }
}

/* Copies the value of a header of the head, "" when it is not there. */
static void
copy_header(const char *head, const char *name, char *value, size_t size)
{
    const char *found = strcasestr(head, name);
    size_t length;

    value[0] = '\0';
    if (found == NULL) {
        return;
    }
    found += strlen(name);
    found += strspn(found, " ");
    length = strcspn(found, "\r");
    if (length < size) {
        memcpy(value, found, length);
        value[length] = '\0';
    }
}

/* Returns the bytes of the request served, 0 when it is not whole yet. */
static size_t
serve_one(server_conn_t *conn)
{
    server_request_t request = {0};
    char name[NAME_BYTES], length[NAME_BYTES];
    size_t head_bytes, whole_bytes;
    char *head, *end, *rest, *whole;

    end = memmem(conn->input, conn->input_bytes, "\r\n\r\n", 4);
    if (end == NULL) {
        return 0;
    }
    head_bytes = (size_t)(end - conn->input) + 4;
    head = strndup(conn->input, head_bytes);
    copy_header(head, "\r\ncontent-length:", length, sizeof(length));
    copy_header(head, "\r\nx-request-id:", name, sizeof(name));
    whole_bytes = head_bytes + strtoul(length, NULL, 10);
    if (conn->input_bytes < whole_bytes) {
        free(head);
        return 0;
    }
    rest = head;
    request.method = strsep(&rest, " ");
    request.path = rest != NULL ? strsep(&rest, " ") : "";
    rest = strchr(request.path, '?');
    request.query = "";
    if (rest != NULL) {
        *rest = '\0';
        request.query = rest + 1;
    }
    request.name = name;
    whole = strndup(conn->input, head_bytes);
    request.head = whole;
    request.body = conn->input + head_bytes;
    request.body_bytes = whole_bytes - head_bytes;
    conn->busy = true;
    conn->ops->request(conn, &request);
    free(whole);
    free(head);
    return whole_bytes;
}

void
server_header(const server_request_t *request, const char *name, char *value,
              size_t size)
{
    char line[NAME_BYTES];

    (void)snprintf(line, sizeof(line), "\r\n%s:", name);
    copy_header(request->head, line, value, size);
}

void
server_write(server_conn_t *conn, const char *bytes, size_t length)
{
    send_bytes(conn, bytes, length, NULL, 0, "", false);
}

void
server_next(server_conn_t *conn)
{
    conn->busy = false;
}

void
server_watch(server_conn_t *conn, void *user)
{
    conn->user = user;
}

static void
on_written(uv_write_t *write, int status)
{
    output_t *output = (output_t *)write;
    server_conn_t *conn = (server_conn_t *)write->handle;

    if (status != 0 || output->close_after) {
        server_drop(conn);
    }
    free(output);
}

static void
send_bytes(server_conn_t *conn, const char *head, size_t head_bytes,
           const char *body, size_t body_bytes, const char *tail,
           bool close_after)
{
    size_t tail_bytes = strlen(tail);
    output_t *output;
    uv_buf_t buf;

    if (uv_is_closing((uv_handle_t *)&conn->tcp)) {
        return;
    }
    output = malloc(sizeof(*output) + head_bytes + body_bytes + tail_bytes);
    output->close_after = close_after;
    memcpy(output->bytes, head, head_bytes);
    if (body_bytes > 0) {
        memcpy(output->bytes + head_bytes, body, body_bytes);
    }
    memcpy(output->bytes + head_bytes + body_bytes, tail, tail_bytes);
    buf = uv_buf_init(output->bytes,
                      (unsigned)(head_bytes + body_bytes + tail_bytes));
    uv_write(&output->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
}

void
server_reply(server_conn_t *conn, int status, const char *content_type,
             const char *body, size_t body_bytes)
{
    char head[HEAD_BYTES];
    int length;

    length = snprintf(head, sizeof(head),
                      "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
                      "Content-Length: %zu\r\n\r\n",
                      status, status < 400 ? "OK" : "Error", content_type,
                      body_bytes);
    send_bytes(conn, head, (size_t)length, body, body_bytes, "", false);
    conn->busy = false;
}

void
server_stream_begin(server_conn_t *conn, const char *content_type)
{
    char head[HEAD_BYTES];
    int length;

    length = snprintf(head, sizeof(head),
                      "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n",
                      content_type);
    send_bytes(conn, head, (size_t)length, NULL, 0, "", false);
}

void
server_stream_write(server_conn_t *conn, const char *bytes, size_t length)
{
    char head[HEAD_BYTES];
    int head_bytes;

    head_bytes = snprintf(head, sizeof(head), "%zx\r\n", length);
    send_bytes(conn, head, (size_t)head_bytes, bytes, length, "\r\n", false);
}

void
server_stream_end(server_conn_t *conn)
{
    send_bytes(conn, "0\r\n\r\n", 5, NULL, 0, "", true);
    conn->user = NULL;
}
