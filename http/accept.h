/*
 * accept.h - listening sockets and the connections that h2o serves on them.
 *
 * h2o reads from and writes to an accepted connection.  This module keeps a
 * list of the connections, so that a process can shut them down on exit.
 */
#ifndef HTTP_ACCEPT_H
#define HTTP_ACCEPT_H

#include <stdbool.h>
#include <sys/queue.h>

#include <h2o.h>
#include <uv.h>

#include "base/address.h"
#include "base/err.h"
#include "http/intake.h"

typedef struct accepted_connection {
    uv_tcp_t socket;            /* must be first: on_closed() casts from it */
    h2o_socket_t *h2o;          /* valid until socket is being closed */
    bool read_shut;             /* by accept_close_idle() */
    intake_connection_t intake; /* see gateway/guard.h */
    LIST_ENTRY(accepted_connection) link;
} accepted_connection_t;
typedef LIST_HEAD(, accepted_connection) connection_list_t;

/*
 * Returns a socket bound to text ("ip:port") that does not listen yet, or
 * NULL with *err set.  Writes its address to bound, which has room for
 * ADDRESS_TEXT_BYTES.
 */
uv_tcp_t *accept_bind_socket(uv_loop_t *loop, const char *text, char *bound,
                             err_t *err);

/* Closes and frees the socket, which may be NULL. */
void accept_close_socket(uv_tcp_t *socket);

/*
 * Accepts a connection and passes it to h2o; for use in a uv_connection_cb.
 * Returns NULL if that failed.
 */
accepted_connection_t *accept_connection(uv_stream_t *server, int status,
                                         h2o_accept_ctx_t *ctx,
                                         connection_list_t *list);

/* Returns whether no connection has data that is not written yet. */
bool accept_is_flushed(const connection_list_t *list);

/*
 * Makes h2o close the connections on which nothing has been received of a
 * further request.  For use while no request is being served.  A request that
 * arrives at the same moment is still read and can be answered.
 */
void accept_close_idle(const connection_list_t *list);

/* Returns whether the end of what h2o reads from the socket is due to that. */
bool accept_is_read_shut(const connection_list_t *list,
                         const h2o_socket_t *socket);

/* Calls shutdown(2) on each connection; h2o then closes it. */
void accept_shutdown(const connection_list_t *list, int how);

#endif
