/* canned.c - see canned.h. */
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/arena.h"
#include "regress/canned.h"

enum {
    REQUEST_BYTES_MAX = 65536,
    BLOCK_BYTES = 65536,
    BACKLOG = 64,
    DECIMAL = 10
};

typedef struct client {
    uv_tcp_t tcp;
    uv_idle_t idle; /* a turn of the loop for each part of a reply */
    canned_t *canned;
    struct client *next;
    char request[REQUEST_BYTES_MAX];
    size_t length;
    const canned_reply_t *reply;
    size_t sent;
    uint64_t next_ms;        /* when the next part is due */
    char block[BLOCK_BYTES]; /* of an endless reply */
    size_t block_bytes;
    int open_handles;
} client_t;

struct canned {
    uv_tcp_t tcp;
    client_t *clients;
    const canned_reply_t *replies;
    size_t count;
    size_t connections;
    size_t requests;
    char last[REQUEST_BYTES_MAX];
    bool cancelled;
    size_t endless_bytes;
    uint32_t gap_ms; /* between the parts of a reply */
};

static void on_connection(uv_stream_t *server, int status);
static void on_room(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf);
static void on_turn(uv_idle_t *idle);
static void fill_block(client_t *client);
static void send_block(client_t *client);
static void on_closed(uv_handle_t *handle);
static void on_canned_closed(uv_handle_t *handle);
static size_t request_length(const client_t *client);
static void take_request(client_t *client, size_t length);
static void client_close(client_t *client);

canned_t *
canned_new(uv_loop_t *loop, const canned_reply_t *replies, size_t count)
{
    canned_t *canned = xcalloc(1, sizeof(*canned));
    struct sockaddr_in address;

    canned->replies = replies;
    canned->count = count;
    (void)uv_ip4_addr("127.0.0.1", 0, &address);
    (void)uv_tcp_init(loop, &canned->tcp);
    canned->tcp.data = canned;
    (void)uv_tcp_bind(&canned->tcp, (struct sockaddr *)&address, 0);
    (void)uv_listen((uv_stream_t *)&canned->tcp, BACKLOG, on_connection);
    return canned;
}

void
canned_free(canned_t *canned)
{
    while (canned->clients != NULL) {
        client_close(canned->clients);
    }
    uv_close((uv_handle_t *)&canned->tcp, on_canned_closed);
}

int
canned_port(const canned_t *canned)
{
    struct sockaddr_in address = {0};
    int length = sizeof(address);

    (void)uv_tcp_getsockname(&canned->tcp, (struct sockaddr *)&address,
                             &length);
    return ntohs(address.sin_port);
}

size_t
canned_connections(const canned_t *canned)
{
    return canned->connections;
}

size_t
canned_clients(const canned_t *canned)
{
    const client_t *client;
    size_t count = 0;

    for (client = canned->clients; client != NULL; client = client->next) {
        count++;
    }
    return count;
}

size_t
canned_requests(const canned_t *canned)
{
    return canned->requests;
}

const char *
canned_last(const canned_t *canned)
{
    return canned->last;
}

size_t
canned_endless_bytes(const canned_t *canned)
{
    return canned->endless_bytes;
}

bool
canned_cancelled(const canned_t *canned)
{
    return canned->cancelled;
}

static void
on_connection(uv_stream_t *server, int status)
{
    canned_t *canned = server->data;
    client_t *client = xcalloc(1, sizeof(*client));

    client->canned = canned;
    client->next = canned->clients;
    canned->clients = client;
    (void)uv_tcp_init(server->loop, &client->tcp);
    (void)uv_idle_init(server->loop, &client->idle);
    client->tcp.data = client;
    client->idle.data = client;
    client->open_handles = 2;
    canned->connections++;
    (void)uv_accept(server, (uv_stream_t *)&client->tcp);
    (void)uv_read_start((uv_stream_t *)&client->tcp, on_room, on_read);
}

static void
on_room(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
    client_t *client = handle->data;

    *buf = uv_buf_init(client->request + client->length,
                       (unsigned)(REQUEST_BYTES_MAX - 1 - client->length));
}

static void
on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
    client_t *client = stream->data;
    size_t length;

    if (got < 0) {
        client_close(client);
        return;
    }
    client->length += (size_t)got;
    client->request[client->length] = '\0';
    length = request_length(client);
    if (length > 0 && client->length >= length) {
        take_request(client, length);
    }
}

/* 0 while the head is not whole. */
static size_t
request_length(const client_t *client)
{
    const char *head_end = strstr(client->request, "\r\n\r\n");
    const char *field = strcasestr(client->request, "content-length:");

    if (head_end == NULL) {
        return 0;
    }
    head_end += strlen("\r\n\r\n");
    if (field == NULL || field > head_end) {
        return (size_t)(head_end - client->request);
    }
    return (size_t)(head_end - client->request) +
           strtoul(field + strlen("content-length:"), NULL, DECIMAL);
}

void
canned_pace(canned_t *canned, uint32_t gap_ms)
{
    canned->gap_ms = gap_ms;
}

static void
take_request(client_t *client, size_t length)
{
    canned_t *canned = client->canned;
    size_t index = canned->requests < canned->count ? canned->requests
                                                    : canned->count - 1;

    memcpy(canned->last, client->request, length);
    canned->last[length] = '\0';
    canned->cancelled = canned->cancelled ||
                        strstr(canned->last, "/cancel HTTP/1.1\r\n") != NULL;
    canned->requests++;
    client->length = 0;
    client->reply = &canned->replies[index];
    client->sent = 0;
    client->next_ms = 0;
    if (client->reply->end == CANNED_ENDLESS) {
        fill_block(client);
    }
    (void)uv_idle_start(&client->idle, on_turn);
}

static void
on_turn(uv_idle_t *idle)
{
    client_t *client = idle->data;
    const canned_reply_t *reply = client->reply;
    size_t left = strlen(reply->bytes) - client->sent;
    size_t part =
        reply->split > 0 && reply->split < left ? reply->split : left;
    uv_buf_t buf =
        uv_buf_init((char *)reply->bytes + client->sent, (unsigned)part);

    if (reply->end == CANNED_ENDLESS && left == 0) {
        send_block(client);
        return;
    }
    if (reply->end == CANNED_ENDLESS) {
        buf.len = part = left;
    }
    if (uv_now(idle->loop) < client->next_ms) {
        return;
    }
    client->next_ms = uv_now(idle->loop) + client->canned->gap_ms;
    if (part > 0) {
        client->sent += part;
        (void)uv_try_write((uv_stream_t *)&client->tcp, &buf, 1);
        return;
    }
    (void)uv_idle_stop(idle);
    if (reply->end == CANNED_RESET) {
        (void)uv_tcp_close_reset(&client->tcp, on_closed);
    }
    if (reply->end != CANNED_KEEP) {
        client_close(client);
    }
}

static void
fill_block(client_t *client)
{
    const canned_reply_t *reply = client->reply;
    const char *tail = reply->bytes + strlen(reply->bytes) - reply->split;

    for (client->block_bytes = 0;
         client->block_bytes + reply->split <= BLOCK_BYTES;
         client->block_bytes += reply->split) {
        memcpy(client->block + client->block_bytes, tail, reply->split);
    }
}

/* What the socket does not take is sent first in the next turn. */
static void
send_block(client_t *client)
{
    uv_buf_t bufs[] = {
        uv_buf_init(client->block, (unsigned)client->block_bytes),
        uv_buf_init(client->block, (unsigned)client->block_bytes)};
    size_t skip =
        (client->sent - strlen(client->reply->bytes)) % client->block_bytes;
    int taken;

    bufs[0].base += skip;
    bufs[0].len -= skip;
    bufs[1].len = skip;
    taken = uv_try_write((uv_stream_t *)&client->tcp, bufs, 2);
    if (taken > 0) {
        client->sent += (size_t)taken;
        client->canned->endless_bytes += (size_t)taken;
    }
}

static void
client_close(client_t *client)
{
    client_t **at = &client->canned->clients;

    while (*at != client) {
        at = &(*at)->next;
    }
    *at = client->next;
    if (!uv_is_closing((uv_handle_t *)&client->tcp)) {
        uv_close((uv_handle_t *)&client->tcp, on_closed);
    }
    uv_close((uv_handle_t *)&client->idle, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    client_t *client = handle->data;

    if (--client->open_handles == 0) {
        free(client);
    }
}

static void
on_canned_closed(uv_handle_t *handle)
{
    free(handle->data);
}
