/* guard.c - keeps connections within the host's memory; see guard.h. */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <xxhash.h>

#include "base/log.h"
#include "gateway/guard.h"

enum {
    /* Buffers above it are returned to the system when they are freed; by
     * default glibc raises the threshold to the largest one freed. */
    MAP_THRESHOLD_BYTES = 128 << 10,
    /* Below this part of the budget, one check per millisecond suffices. */
    QUIET_SHARE = 4,
    LOG_INTERVAL_MS = 1000,
};

struct guard {
    uv_check_t check; /* must be first: closing it frees the guard */
    gateway_t *gateway;
    connection_list_t *connections;
    h2o_globalconf_t *config;
    intake_limits_t limits;
    size_t body_max_bytes;
    size_t held_bytes; /* at the last check */
    uint32_t count;    /* of connections, at the last check and since */
    uint64_t checked_ms;
    uint64_t logged_ms;
    uint32_t closed[INTAKE_DECISIONS]; /* since the last log line */
    uint32_t closed_count;
};

static void on_check(uv_check_t *check);
static intake_decision_t check_connection(guard_t *guard,
                                          accepted_connection_t *connection,
                                          int64_t now_us);
static void close_largest(guard_t *guard, size_t to_free_bytes);
static bool close_one(guard_t *guard, intake_decision_t reason,
                      size_t *freed_bytes);
static void close_connection(guard_t *guard, accepted_connection_t *connection,
                             intake_decision_t reason);
static void write_log(guard_t *guard);
static uint32_t peer_address(const accepted_connection_t *connection);

guard_t *
guard_new(gateway_t *gateway, connection_list_t *connections,
          h2o_globalconf_t *config)
{
    const gateway_settings_t *settings = gateway->settings;
    guard_t *guard;

    if (settings->memory_mb == 0) {
        return NULL;
    }
    guard = xcalloc(1, sizeof(*guard));
    guard->gateway = gateway;
    guard->connections = connections;
    guard->config = config;
    guard->limits =
        intake_limits_of(settings->memory_mb, settings->descriptors_max);
    guard->body_max_bytes = config->max_request_entity_size;
    /* h2o keeps the bodies of HTTP/2 requests where they cannot be counted. */
    config->http1.upgrade_to_http2 = 0;
    (void)mallopt(M_MMAP_THRESHOLD, MAP_THRESHOLD_BYTES);
    (void)uv_check_init(gateway->loop, &guard->check);
    guard->check.data = guard;
    (void)uv_check_start(&guard->check, on_check);
    return guard;
}

void
guard_free(guard_t *guard)
{
    if (guard != NULL) {
        uv_close((uv_handle_t *)&guard->check, (uv_close_cb)free);
    }
}

/* Accepted sockets inherit the sizes.  Failure leaves the system's sizes. */
void
guard_limit_socket(const guard_t *guard, uv_tcp_t *socket)
{
    uv_os_fd_t fd;
    int size_bytes;

    if (guard == NULL || uv_fileno((uv_handle_t *)socket, &fd) != 0) {
        return;
    }
    size_bytes = (int)guard->limits.kernel_buffer_bytes;
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size_bytes,
                     sizeof(size_bytes));
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size_bytes,
                     sizeof(size_bytes));
}

void
guard_add(guard_t *guard, accepted_connection_t *connection, bool service)
{
    size_t freed_bytes;

    if (guard == NULL || connection == NULL) {
        return;
    }
    intake_open(&connection->intake, peer_address(connection), service,
                gateway_now_us());
    if (!intake_admits(&guard->limits, guard->count, service)) {
        /* Not the new one, unless all others work on complete requests. */
        connection->intake.closing = true;
        if (close_one(guard, INTAKE_CONNECTIONS, &freed_bytes)) {
            connection->intake.closing = false;
        }
        else {
            close_connection(guard, connection, INTAKE_CONNECTIONS);
        }
    }
    guard->count++;
}

void
guard_set_body_max(guard_t *guard, size_t body_max_bytes)
{
    if (guard != NULL) {
        guard->body_max_bytes = body_max_bytes;
    }
}

/*
 * Runs after the sockets of an iteration of the loop were read.  h2o reads
 * the size to which bodies are limited when it starts to read a body, so a
 * body that does not fit is refused (413) by its announced length.
 */
static void
on_check(uv_check_t *check)
{
    guard_t *guard = check->data;
    uint64_t now_ms = uv_now(guard->gateway->loop);
    size_t limit_bytes = guard->limits.held_max_bytes;
    int64_t now_us;
    accepted_connection_t *connection;

    if (now_ms == guard->checked_ms &&
        guard->held_bytes < limit_bytes / QUIET_SHARE) {
        return;
    }
    guard->checked_ms = now_ms;
    guard->held_bytes = 0;
    guard->count = 0;
    now_us = gateway_now_us();
    LIST_FOREACH(connection, guard->connections, link)
    {
        intake_decision_t decision =
            check_connection(guard, connection, now_us);

        if (decision != INTAKE_KEEP) {
            close_connection(guard, connection, decision);
        }
    }
    if (guard->held_bytes > limit_bytes) {
        close_largest(guard, guard->held_bytes - limit_bytes);
    }
    guard->config->max_request_entity_size = intake_body_max_bytes(
        &guard->limits, guard->held_bytes, guard->body_max_bytes);
    if (guard->closed_count > 0 &&
        now_ms - guard->logged_ms >= LOG_INTERVAL_MS) {
        guard->logged_ms = now_ms;
        write_log(guard);
    }
}

/* h2o stops reading from a connection when it has a complete request. */
static intake_decision_t
check_connection(guard_t *guard, accepted_connection_t *connection,
                 int64_t now_us)
{
    const h2o_socket_t *socket = connection->h2o;
    size_t unsent_bytes = connection->socket.write_queue_size;
    intake_sample_t sample;

    guard->count++;
    if (uv_is_closing((uv_handle_t *)&connection->socket) ||
        socket->input == NULL) {
        return INTAKE_KEEP;
    }
    sample = (intake_sample_t){
        .held_bytes = socket->input->size + unsent_bytes,
        .moved_bytes =
            socket->bytes_read + socket->bytes_written - unsent_bytes,
        .receiving =
            unsent_bytes == 0 && h2o_socket_is_reading((h2o_socket_t *)socket),
        .sending = unsent_bytes > 0,
    };
    guard->held_bytes += sample.held_bytes;
    if (connection->intake.closing) {
        return INTAKE_KEEP;
    }
    return intake_update(&connection->intake, &guard->limits, &sample, now_us);
}

static void
close_largest(guard_t *guard, size_t to_free_bytes)
{
    size_t total_bytes = 0;
    size_t freed_bytes;

    while (total_bytes < to_free_bytes &&
           close_one(guard, INTAKE_MEMORY, &freed_bytes)) {
        total_bytes += freed_bytes;
    }
}

/* Returns false if no connection may be closed. */
static bool
close_one(guard_t *guard, intake_decision_t reason, size_t *freed_bytes)
{
    arena_t arena = {0};
    accepted_connection_t *connection;
    intake_connection_t **candidates;
    intake_connection_t *victim;
    size_t count = 0;

    LIST_FOREACH(connection, guard->connections, link)
    {
        count++;
    }
    candidates = arena_array(&arena, count + 1, sizeof(intake_connection_t *));
    count = 0;
    LIST_FOREACH(connection, guard->connections, link)
    {
        if (!uv_is_closing((uv_handle_t *)&connection->socket)) {
            candidates[count++] = &connection->intake;
        }
    }
    victim = intake_victim(candidates, count);
    arena_free(&arena);
    if (victim == NULL) {
        return false;
    }
    *freed_bytes = victim->sample.held_bytes;
    connection =
        (accepted_connection_t *)((char *)victim -
                                  offsetof(accepted_connection_t, intake));
    close_connection(guard, connection, reason);
    return true;
}

/*
 * Dissolving the association resets the connection and drops what the kernel
 * has buffered; h2o then closes the socket on a read error.  After
 * shutdown(2), h2o would first read all that is still buffered.
 */
static void
close_connection(guard_t *guard, accepted_connection_t *connection,
                 intake_decision_t reason)
{
    struct sockaddr none = {.sa_family = AF_UNSPEC};
    uv_os_fd_t fd;

    connection->intake.closing = true;
    guard->closed[reason]++;
    guard->closed_count++;
    meters_count_closed(guard->gateway->meters, intake_decision_name(reason));
    if (uv_fileno((uv_handle_t *)&connection->socket, &fd) == 0) {
        (void)connect(fd, &none, sizeof(none));
    }
}

static void
write_log(guard_t *guard)
{
    log_event(LOG_WARNING, "connections-closed",
              "memory=%u service_size=%u slow_sender=%u slow_reader=%u "
              "connections=%u open=%u held_bytes=%zu held_max_bytes=%zu",
              guard->closed[INTAKE_MEMORY], guard->closed[INTAKE_SERVICE],
              guard->closed[INTAKE_SLOW_SENDER],
              guard->closed[INTAKE_SLOW_READER],
              guard->closed[INTAKE_CONNECTIONS], guard->count,
              guard->held_bytes, guard->limits.held_max_bytes);
    memset(guard->closed, 0, sizeof(guard->closed));
    guard->closed_count = 0;
}

/* Returns a hash of the peer's address, without its port. */
static uint32_t
peer_address(const accepted_connection_t *connection)
{
    struct sockaddr_storage address = {0};
    int length = sizeof(address);

    if (uv_tcp_getpeername(&connection->socket, (struct sockaddr *)&address,
                           &length) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        const struct sockaddr_in6 *ip6 = (struct sockaddr_in6 *)&address;

        return (uint32_t)XXH3_64bits(&ip6->sin6_addr, sizeof(ip6->sin6_addr));
    }
    return ((struct sockaddr_in *)&address)->sin_addr.s_addr;
}
