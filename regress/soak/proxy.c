/* proxy.c - a link between two programs on loopback, and what befalls it. */
#include <err.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "regress/soak/soak.h"

enum {
    BACKLOG = 512,
    READ_BYTES = 16384,
    RECEIVE_BYTES = 16384, /* with uploads: most of one is not received */
    LATE_MS = 120,
    EARLY_RESET_MS = 20, /* after the end of an early answer */
};

typedef struct link link_t;

/* One end of a connection; what comes from it goes to the other. */
typedef struct {
    uv_tcp_t tcp; /* first: it is closed by it */
    link_t *link;
    bool open;
    bool reading;
    bool ended;    /* it sends no more */
    uint32_t late; /* pieces that are on their way to it */
} end_t;

struct link {
    LIST_ENTRY(link) entry;
    proxy_t *proxy;
    end_t near; /* who connected */
    end_t far;
    size_t host; /* that connected; SOAK_HOSTS_MAX: not known */
    uv_connect_t connect;
    bool waiting; /* for the link to pass, to be connected */
    bool connecting;
    bool early; /* it answers by itself */
    int handles;
};

struct proxy {
    uv_tcp_t listener; /* first: it is closed by it */
    uint16_t target;
    link_mode_t mode;
    bool knows_hosts;
    int room; /* of the sockets of connections; 0: as the system has it */
    link_mode_t host_modes[SOAK_HOSTS_MAX + 1];
    LIST_HEAD(, link) links;
};

/* Bytes on their way. */
typedef struct {
    uv_timer_t timer; /* first: it is closed by it */
    uv_write_t write;
    end_t *to;
    link_t *link;
    size_t length;
    char bytes[];
} piece_t;

static void on_accept(uv_stream_t *stream, int status);
static void on_connected(uv_connect_t *connect, int status);
static void on_room(uv_handle_t *handle, size_t size, uv_buf_t *buf);
static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf);
static void on_end_closed(uv_handle_t *handle);
static void on_late(uv_timer_t *timer);
static void on_piece_closed(uv_handle_t *handle);
static bool answer_early(link_t *link, const char *request, size_t length);
static void on_written(uv_write_t *write, int status);
static void on_shut(uv_shutdown_t *shut, int status);
static link_mode_t mode_of(const link_t *link);
static size_t who_connected(const link_t *link);
static void link_reset(link_t *link);
static void link_connect(link_t *link);
static void link_flow(link_t *link);
static void end_read(end_t *end, bool wanted);
static void send_piece(piece_t *piece);

proxy_t *
proxy_open(uint16_t target)
{
    proxy_t *proxy = calloc(1, sizeof(*proxy));
    struct sockaddr_in address;

    proxy->target = target;
    LIST_INIT(&proxy->links);
    (void)uv_tcp_init(soak_loop(), &proxy->listener);
    (void)uv_ip4_addr("127.0.0.1", 0, &address);
    if (soak_plays(SOAK_UPLOADS)) {
        proxy->room = RECEIVE_BYTES;
    }
    if (uv_tcp_bind(&proxy->listener, (struct sockaddr *)&address, 0) != 0 ||
        uv_listen((uv_stream_t *)&proxy->listener, BACKLOG, on_accept) != 0) {
        errx(1, "no port is free for a proxy: end other programs");
    }
    return proxy;
}

uint16_t
proxy_port(const proxy_t *proxy)
{
    struct sockaddr_in address = {0};
    int length = sizeof(address);

    (void)uv_tcp_getsockname(&proxy->listener, (struct sockaddr *)&address,
                             &length);
    return ntohs(address.sin_port);
}

void
proxy_set_target(proxy_t *proxy, uint16_t target)
{
    proxy->target = target;
}

void
proxy_set_mode(proxy_t *proxy, link_mode_t mode)
{
    link_t *link;
    link_t *next;

    proxy->mode = mode;
    if (mode == LINK_REFUSES) {
        proxy_reset(proxy);
        return;
    }
    for (link = LIST_FIRST(&proxy->links); link != NULL; link = next) {
        next = LIST_NEXT(link, entry);
        link_flow(link);
    }
}

link_mode_t
proxy_mode(const proxy_t *proxy)
{
    return proxy->mode;
}

void
proxy_know_hosts(proxy_t *proxy)
{
    proxy->knows_hosts = true;
}

void
proxy_set_host_mode(proxy_t *proxy, size_t host, link_mode_t mode)
{
    link_t *link;
    link_t *next;

    proxy->host_modes[host] = mode;
    for (link = LIST_FIRST(&proxy->links); link != NULL; link = next) {
        next = LIST_NEXT(link, entry);
        if (link->host != host) {
            continue;
        }
        if (mode == LINK_REFUSES) {
            link_reset(link);
        }
        else {
            link_flow(link);
        }
    }
}

/* What befalls this connection. */
static link_mode_t
mode_of(const link_t *link)
{
    const proxy_t *proxy = link->proxy;
    link_mode_t host_mode = proxy->host_modes[link->host];

    /* An early answer does not come through a cut. */
    return proxy->mode == LINK_PASSES ||
                   (proxy->mode == LINK_EARLY && host_mode != LINK_PASSES)
               ? host_mode
               : proxy->mode;
}

void
proxy_reset(proxy_t *proxy)
{
    link_t *link;

    while ((link = LIST_FIRST(&proxy->links)) != NULL) {
        link_reset(link);
    }
}

static void
on_accept(uv_stream_t *stream, int status)
{
    proxy_t *proxy = (proxy_t *)stream;
    link_t *link = calloc(1, sizeof(*link));

    link->proxy = proxy;
    link->near.link = link;
    link->far.link = link;
    link->handles = 2;
    (void)uv_tcp_init(soak_loop(), &link->near.tcp);
    (void)uv_tcp_init(soak_loop(), &link->far.tcp);
    (void)uv_accept(stream, (uv_stream_t *)&link->near.tcp);
    if (proxy->room > 0) {
        int room = proxy->room;

        (void)uv_recv_buffer_size((uv_handle_t *)&link->near.tcp, &room);
    }
    (void)uv_tcp_nodelay(&link->near.tcp, 1);
    link->near.open = true;
    link->far.open = true;
    LIST_INSERT_HEAD(&proxy->links, link, entry);
    link->host = proxy->knows_hosts ? who_connected(link) : SOAK_HOSTS_MAX;
    if (mode_of(link) == LINK_REFUSES || mode_of(link) == LINK_NO_NEW) {
        link_reset(link);
        return;
    }
    link->waiting = true;
    link_flow(link);
}

static size_t
who_connected(const link_t *link)
{
    struct sockaddr_in address = {0};
    int length = sizeof(address);

    (void)uv_tcp_getpeername(&link->near.tcp, (struct sockaddr *)&address,
                             &length);
    return client_host(ntohs(address.sin_port), proxy_port(link->proxy));
}

static void
link_connect(link_t *link)
{
    struct sockaddr_in address;

    link->waiting = false;
    link->connecting = true;
    link->connect.data = link;
    (void)uv_ip4_addr("127.0.0.1", link->proxy->target, &address);
    if (uv_tcp_connect(&link->connect, &link->far.tcp,
                       (struct sockaddr *)&address, on_connected) != 0) {
        link->connecting = false;
        link_reset(link);
    }
}

static void
on_connected(uv_connect_t *connect, int status)
{
    link_t *link = connect->data;

    link->connecting = false;
    if (status == UV_ECANCELED) {
        return;
    }
    if (status != 0) {
        link_reset(link);
        return;
    }
    (void)uv_tcp_nodelay(&link->far.tcp, 1);
    link_flow(link);
}

/* Who may send now; what is not read waits in the kernel's buffers. */
static void
link_flow(link_t *link)
{
    link_mode_t mode = mode_of(link);

    if (link->waiting && mode != LINK_SILENT) {
        link_connect(link);
        return;
    }
    if (link->waiting || link->connecting || link->early) {
        return;
    }
    end_read(&link->near, mode != LINK_SILENT);
    end_read(&link->far, mode != LINK_SILENT && mode != LINK_ONE_WAY);
}

static void
end_read(end_t *end, bool wanted)
{
    wanted = wanted && end->open && !end->ended;
    if (wanted && !end->reading) {
        (void)uv_read_start((uv_stream_t *)&end->tcp, on_room, on_read);
    }
    else if (!wanted && end->reading && end->open) {
        (void)uv_read_stop((uv_stream_t *)&end->tcp);
    }
    end->reading = wanted;
}

static void
on_room(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
    static char room[READ_BYTES];

    *buf = uv_buf_init(room, sizeof(room));
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf)
{
    end_t *end = (end_t *)stream;
    link_t *link = end->link;
    end_t *to = end == &link->near ? &link->far : &link->near;
    piece_t *piece;

    if (length < 0 && length != UV_EOF) {
        link_reset(link);
        return;
    }
    if (length == 0 || link->early) {
        return;
    }
    if (length > 0 && end == &link->near && mode_of(link) == LINK_EARLY &&
        answer_early(link, buf->base, (size_t)length)) {
        return;
    }
    piece = calloc(1, sizeof(*piece) + (length > 0 ? (size_t)length : 0));
    piece->to = to;
    piece->link = link;
    if (length > 0) {
        piece->length = (size_t)length;
        memcpy(piece->bytes, buf->base, piece->length);
    }
    else {
        end->ended = true;
        end_read(end, false);
    }
    link->handles++;
    (void)uv_timer_init(soak_loop(), &piece->timer);
    /* What comes later may not overtake. */
    if (mode_of(link) == LINK_SLOW || to->late > 0) {
        to->late++;
        (void)uv_timer_start(&piece->timer, on_late, LATE_MS, 0);
    }
    else {
        send_piece(piece);
    }
}

static void
on_early_end(uv_timer_t *timer)
{
    piece_t *piece = (piece_t *)timer;

    link_reset(piece->link);
    uv_close((uv_handle_t *)timer, on_piece_closed);
}

/* Part of an answer, an orderly end, and a reset a little later. */
static bool
answer_early(link_t *link, const char *request, size_t length)
{
    char answer[SOAK_UPLOAD_HEAD_BYTES];
    uv_shutdown_t *shut;
    uv_buf_t buf;
    piece_t *piece;

    buf = uv_buf_init(answer, (unsigned)uploads_answer(request, length, answer,
                                                       sizeof(answer)));
    if (buf.len == 0) {
        return false;
    }
    link->early = true;
    end_read(&link->near, false);
    (void)uv_try_write((uv_stream_t *)&link->near.tcp, &buf, 1);
    shut = calloc(1, sizeof(*shut));
    if (uv_shutdown(shut, (uv_stream_t *)&link->near.tcp, on_shut) != 0) {
        free(shut);
    }
    piece = calloc(1, sizeof(*piece));
    piece->link = link;
    link->handles++;
    (void)uv_timer_init(soak_loop(), &piece->timer);
    (void)uv_timer_start(&piece->timer, on_early_end, EARLY_RESET_MS, 0);
    return true;
}

static void
on_piece_closed(uv_handle_t *handle)
{
    piece_t *piece = (piece_t *)handle;
    link_t *link = piece->link;

    free(piece);
    link->handles--;
    if (link->handles == 0) {
        free(link);
    }
}

static void
on_late(uv_timer_t *timer)
{
    piece_t *piece = (piece_t *)timer;

    piece->to->late--;
    send_piece(piece);
}

/* A piece of no length is the end of what its sender sends. */
static void
send_piece(piece_t *piece)
{
    uv_buf_t buf = uv_buf_init(piece->bytes, (unsigned)piece->length);

    if (piece->to->open && piece->length == 0) {
        uv_shutdown_t *shut = calloc(1, sizeof(*shut));

        if (uv_shutdown(shut, (uv_stream_t *)&piece->to->tcp, on_shut) != 0) {
            free(shut);
        }
    }
    else if (piece->to->open &&
             uv_write(&piece->write, (uv_stream_t *)&piece->to->tcp, &buf, 1,
                      on_written) == 0) {
        return;
    }
    uv_close((uv_handle_t *)&piece->timer, on_piece_closed);
}

static void
on_written(uv_write_t *write, int status)
{
    piece_t *piece = (piece_t *)((char *)write - offsetof(piece_t, write));

    if (status != 0 && status != UV_ECANCELED) {
        link_reset(piece->link);
    }
    uv_close((uv_handle_t *)&piece->timer, on_piece_closed);
}

static void
on_shut(uv_shutdown_t *shut, int status)
{
    end_t *end = (end_t *)shut->handle;
    link_t *link = end->link;

    free(shut);
    if (link->near.ended && link->far.ended) {
        link_reset(link);
    }
}

static void
on_end_closed(uv_handle_t *handle)
{
    link_t *link = ((end_t *)handle)->link;

    link->handles--;
    if (link->handles == 0) {
        free(link);
    }
}

static void
link_reset(link_t *link)
{
    end_t *ends[] = {&link->near, &link->far};
    bool orderly = link->near.ended && link->far.ended;
    size_t i;

    if (!link->near.open) {
        return;
    }
    LIST_REMOVE(link, entry);
    for (i = 0; i < 2; i++) {
        ends[i]->open = false;
        if (orderly || uv_tcp_close_reset(&ends[i]->tcp, on_end_closed) != 0) {
            uv_close((uv_handle_t *)&ends[i]->tcp, on_end_closed);
        }
    }
}
