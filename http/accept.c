/* accept.c - listening sockets and accepted connections; see accept.h. */
#include <stdlib.h>
#include <sys/socket.h>

#include "base/arena.h"
#include "base/log.h"
#include "http/accept.h"

static void on_closed(uv_handle_t *handle);

uv_tcp_t *
accept_bind_socket(uv_loop_t *loop, const char *text, char *bound, err_t *err)
{
    struct sockaddr_storage address;
    int length = sizeof(address);
    uv_tcp_t *socket;
    int result;

    if (address_parse(text, &address, err) < 0) {
        return NULL;
    }
    socket = xcalloc(1, sizeof(*socket));
    (void)uv_tcp_init(loop, socket);
    result = uv_tcp_bind(socket, (const struct sockaddr *)&address, 0);
    if (result == 0) {
        result =
            uv_tcp_getsockname(socket, (struct sockaddr *)&address, &length);
    }
    if (result < 0) {
        (void)err_set(
            err, ERR_SYSTEM,
            "cannot bind %s: %s: configure a free address of this host", text,
            uv_strerror(result));
        accept_close_socket(socket);
        return NULL;
    }
    address_format((struct sockaddr *)&address, bound);
    return socket;
}

void
accept_close_socket(uv_tcp_t *socket)
{
    if (socket != NULL) {
        uv_close((uv_handle_t *)socket, (uv_close_cb)free);
    }
}

accepted_connection_t *
accept_connection(uv_stream_t *server, int status, h2o_accept_ctx_t *ctx,
                  connection_list_t *list)
{
    accepted_connection_t *connection;

    if (status < 0) {
        log_event(LOG_WARNING, "accept-failed", "reason=%s",
                  uv_strerror(status));
        return NULL;
    }
    connection = xcalloc(1, sizeof(*connection));
    LIST_INSERT_HEAD(list, connection, link);
    (void)uv_tcp_init(server->loop, &connection->socket);
    if (uv_accept(server, (uv_stream_t *)&connection->socket) != 0) {
        uv_close((uv_handle_t *)&connection->socket, on_closed);
        return NULL;
    }
    (void)uv_tcp_nodelay(&connection->socket, 1);
    connection->h2o =
        h2o_uv_socket_create((uv_stream_t *)&connection->socket, on_closed);
    h2o_accept(ctx, connection->h2o);
    return connection;
}

bool
accept_is_flushed(const connection_list_t *list)
{
    const accepted_connection_t *connection;

    LIST_FOREACH(connection, list, link)
    {
        if (connection->socket.write_queue_size > 0) {
            return false;
        }
    }
    return true;
}

void
accept_close_idle(const connection_list_t *list)
{
    accepted_connection_t *connection;
    uv_os_fd_t fd;
    char byte;

    LIST_FOREACH(connection, list, link)
    {
        if (uv_is_closing((const uv_handle_t *)&connection->socket) ||
            uv_fileno((const uv_handle_t *)&connection->socket, &fd) != 0 ||
            connection->h2o->input->size > 0 ||
            recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
            continue;
        }
        connection->read_shut = true;
        (void)shutdown(fd, SHUT_RD);
    }
}

bool
accept_is_read_shut(const connection_list_t *list, const h2o_socket_t *socket)
{
    const accepted_connection_t *connection;

    LIST_FOREACH(connection, list, link)
    {
        if (!uv_is_closing((const uv_handle_t *)&connection->socket) &&
            connection->h2o == socket) {
            return connection->read_shut;
        }
    }
    return false;
}

void
accept_shutdown(const connection_list_t *list, int how)
{
    const accepted_connection_t *connection;
    uv_os_fd_t fd;

    LIST_FOREACH(connection, list, link)
    {
        if (uv_fileno((const uv_handle_t *)&connection->socket, &fd) == 0) {
            (void)shutdown(fd, how);
        }
    }
}

static void
on_closed(uv_handle_t *handle)
{
    accepted_connection_t *connection = (accepted_connection_t *)handle;

    LIST_REMOVE(connection, link);
    free(connection);
}
