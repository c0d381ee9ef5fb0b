/*
 * server.h - a small HTTP/1.1 server on libuv for the stand-ins.
 *
 * One request at a time a connection, kept alive after a whole answer; a
 * stream ends by closing its connection.  Loopback only.
 */
#ifndef REGRESS_STANDIN_SERVER_H
#define REGRESS_STANDIN_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

typedef struct server_conn server_conn_t;

typedef struct {
    const char *method;
    const char *head;  /* the whole head as it came */
    const char *path;  /* without the query */
    const char *query; /* "" for none */
    const char *name;  /* X-Request-Id, "" for none */
    const char *body;
    size_t body_bytes;
} server_request_t;

typedef struct {
    void (*request)(server_conn_t *conn, const server_request_t *request);
    /* The connection is gone; user as set by server_watch(). */
    void (*gone)(void *user);
} server_ops_t;

typedef struct server server_t;

/*
 * Listens on 127.0.0.1, port 0: any; ends the process if it cannot.  context
 * is what server_context() gives for its connections.
 */
server_t *server_open(uv_loop_t *loop, uint16_t port, const server_ops_t *ops,
                      void *context);
uint16_t server_port(const server_t *server);
/* Listens no longer and resets all its connections. */
void server_close(server_t *server);
void *server_context(const server_conn_t *conn);

/* Listens for good and prints "ready PORT". */
void server_listen(uv_loop_t *loop, uint16_t port, const server_ops_t *ops);

/* A header of the request, "" when it is not there. */
void server_header(const server_request_t *request, const char *name,
                   char *value, size_t size);

/* gone(user) is called when the connection closes; NULL: no longer. */
void server_watch(server_conn_t *conn, void *user);

/* A whole answer. */
void server_reply(server_conn_t *conn, int status, const char *content_type,
                  const char *body, size_t body_bytes);

/* An answer of unknown length; ends by server_stream_end(). */
void server_stream_begin(server_conn_t *conn, const char *content_type);
void server_stream_write(server_conn_t *conn, const char *bytes,
                         size_t length);
void server_stream_end(server_conn_t *conn);

/* Bytes as they are; the answer goes on. */
void server_write(server_conn_t *conn, const char *bytes, size_t length);
/* The answer is over: the connection takes the next request. */
void server_next(server_conn_t *conn);

/* Closes without an answer, in order or by a reset. */
void server_drop(server_conn_t *conn);
void server_reset(server_conn_t *conn);

#endif
