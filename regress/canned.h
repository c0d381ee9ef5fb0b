/*
 * canned.h - an HTTP server on the test's own loop that gives canned bytes.
 *
 * It listens on a port of 127.0.0.1 that the kernel chooses.  Each request,
 * on whatever connection, takes the next reply of the list; the last one is
 * repeated.  A request's body is not waited for beyond its Content-Length.
 */
#ifndef REGRESS_CANNED_H
#define REGRESS_CANNED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

typedef enum {
    CANNED_KEEP,    /* the connection stays open for more */
    CANNED_CLOSE,   /* an orderly end after the bytes */
    CANNED_RESET,   /* a reset after the bytes */
    CANNED_ENDLESS, /* the last split bytes once more and again, until the peer
                       closes */
} canned_end_t;

typedef struct {
    const char *bytes; /* "": nothing */
    size_t split;      /* bytes at a time, a turn of the loop each; 0: all */
    canned_end_t end;
} canned_reply_t;

typedef struct canned canned_t;

canned_t *canned_new(uv_loop_t *loop, const canned_reply_t *replies,
                     size_t count);
void canned_free(canned_t *canned); /* the loop must run once more */

/* Sends the parts of replies with split at least gap_ms apart. */
void canned_pace(canned_t *canned, uint32_t gap_ms);

int canned_port(const canned_t *canned);
size_t canned_connections(const canned_t *canned);
size_t canned_requests(const canned_t *canned);
size_t canned_clients(const canned_t *canned); /* connections that are open */

/* The last whole request, head and body. */
const char *canned_last(const canned_t *canned);

/* Bytes that the peers have taken of endless replies. */
size_t canned_endless_bytes(const canned_t *canned);

/* Whether a request so far was an order to cancel a stream. */
bool canned_cancelled(const canned_t *canned);

#endif
