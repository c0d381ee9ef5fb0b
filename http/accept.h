/*
 * accept.h - listening sockets, and the connections that h2o serves on them.
 *
 * h2o owns what comes in and goes out on an accepted connection; this keeps a
 * list of them, so that a process that leaves can close what is idle.
 */
#ifndef HTTP_ACCEPT_H
#define HTTP_ACCEPT_H

#include <stdbool.h>
#include <sys/queue.h>

#include <h2o.h>
#include <uv.h>

#include "base/address.h"
#include "base/err.h"

typedef struct accepted accepted_t;
typedef LIST_HEAD(, accepted) accepted_list_t;

/*
 * A socket that is bound to text ("ip:port") and does not listen yet; NULL
 * with *err set.  bound, with ADDRESS_TEXT_BYTES, gets its address.
 */
uv_tcp_t *accept_bind(uv_loop_t *loop, const char *text, char *bound,
                      err_t *err);

/* Closes the socket and frees it; takes NULL. */
void accept_close(uv_tcp_t *socket);

/* Of a uv_connection_cb: takes the connection in and gives it to h2o. */
void accept_connection(uv_stream_t *server, int status, h2o_accept_ctx_t *ctx,
                       accepted_list_t *list);

/* Whether nothing is left to be written on any of them. */
bool accept_is_flushed(const accepted_list_t *list);

/* shutdown(2) on each: h2o then closes them. */
void accept_shut(const accepted_list_t *list, int how);

#endif
