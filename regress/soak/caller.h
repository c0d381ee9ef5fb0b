/*
 * caller.h - what caller.c, answer.c and tainted.c share.
 */
#ifndef REGRESS_SOAK_CALLER_H
#define REGRESS_SOAK_CALLER_H

#include <sys/queue.h>

#include "regress/soak/soak.h"

enum { CALLER_PATH_BYTES = 64 };

typedef enum { KIND_UNSAFE, KIND_SAFE, KIND_STREAM, KINDS } kind_t;

/* What wrote an event. */
typedef struct {
    uint32_t version;
    uint32_t service;
    int64_t born_ms;
} writer_t;

typedef struct caller {
    uv_tcp_t tcp; /* first: it is closed by it */
    LIST_ENTRY(caller) entry;
    uv_timer_t timer;
    uv_connect_t connect;
    uv_write_t write;
    kind_t kind;
    size_t host;
    uint32_t key;
    uint32_t attempts;
    char path[CALLER_PATH_BYTES];
    char attempt[SOAK_NAME_BYTES];
    text_t sent;
    text_t came;
    int64_t event;               /* the last one */
    writer_t writer;             /* of that */
    char began[SOAK_NAME_BYTES]; /* the attempt that brought the first one */
    bool taken_up;               /* by this attempt, which brought none yet */
    bool mixed;
    size_t checked; /* bytes of the stream's body, in came */
    bool connected;
    bool open;
    bool leaves;
    bool calm;              /* asked for in the calm */
    partition_t *partition; /* that its attempt counts for, or NULL */
    uint64_t asked_ms;
    uint64_t sent_ms;
    uint64_t deadline_ms;
    int handles;
} caller_t;

/* --- tainted.c --- */

/* The number-th request: a stream, sound or with the part. */
void tainted_draw(caller_t *caller, uint64_t number);
/* Its parts after the one that all have. */
const char *tainted_parts(const char *path);
/* Its attempt has ended. */
void tainted_ended(const caller_t *caller, const attempt_end_t *end);

/* --- answer.c --- */

/* A header's value, or NULL; valid until the next call. */
const char *answer_header(const caller_t *caller, const char *name);
/* Takes the events of the body that have come since. */
void answer_events(caller_t *caller, const char *body);
/* versions.c: the next event of its stream. */
void versions_event(caller_t *caller, int64_t event, const writer_t *writer);
/* A whole answer with status 200. */
void answer_check(const caller_t *caller, const char *body, size_t body_bytes);

#endif
