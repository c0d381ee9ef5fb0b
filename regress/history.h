/*
 * history.h - checks what one caller saw of one request: pure.
 *
 * A history is the list of what came, in order, over every connection that
 * the caller made for the request, beside what a clean run gives and how
 * often the backends started it.
 */
#ifndef REGRESS_HISTORY_H
#define REGRESS_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    HISTORY_PIECE,   /* tokens came */
    HISTORY_END,     /* the answer was said to be whole */
    HISTORY_REFUSED, /* a refusal, also one in the middle of a stream */
    HISTORY_LOST,    /* the connection broke or fell silent */
    HISTORY_UNSENT,  /* no connection could be made */
} history_kind_t;

typedef enum {
    HISTORY_NOT_RUN,
    HISTORY_UNKNOWN,
    HISTORY_RAN,
} history_run_t;

typedef struct {
    uint64_t time_us;
    history_kind_t kind;
    uint32_t position; /* HISTORY_PIECE: tokens of the answer before it */
    uint32_t first_id; /* HISTORY_PIECE: where its ids begin in ids */
    uint32_t id_count;
    history_run_t run; /* HISTORY_REFUSED */
    bool named_other;  /* it names another request */
    bool clean;        /* HISTORY_END: finish reason and text as expected */
} history_event_t;

typedef struct {
    const history_event_t *events;
    size_t event_count;
    const uint32_t *ids;
    const uint32_t *expected_ids;
    uint32_t expected_count;
    bool idempotent;
    bool shared;   /* another caller used the same key */
    bool may_fail; /* a refusal may end it: it kills engines, or a caller
                      with the same key took its place */
    uint32_t starts;
    uint64_t begun_us; /* when the caller sent it first */
} history_request_t;

typedef enum {
    HISTORY_GOOD,
    HISTORY_MISSING,       /* tokens are left out */
    HISTORY_REPEATED,      /* tokens came twice */
    HISTORY_FOREIGN,       /* tokens, or a name, of another request */
    HISTORY_MIXED,         /* tokens of another place of the same answer */
    HISTORY_DOUBLED,       /* a second answer after the end */
    HISTORY_UNCLEAN,       /* text or finish reason are wrong */
    HISTORY_INCOMPLETE,    /* accepted, and never ended */
    HISTORY_STARTED_TWICE, /* non-idempotent, and started more than once */
    HISTORY_RAN_REFUSED,   /* said to be not run, and was started */
} history_fault_t;

typedef struct {
    history_fault_t fault;
    size_t event;      /* index of the event, event_count at the end */
    uint32_t position; /* tokens held by then */
} history_finding_t;

/* Returns the first fault found. */
history_finding_t history_check(const history_request_t *request);

const char *history_fault_name(history_fault_t fault);

/* The longest time between two pieces, or until the first. */
uint64_t history_gap_us(const history_request_t *request);

/* Whether a connection was lost, or the request was started again. */
bool history_recovered(const history_request_t *request);

#endif
