/* forwarding_private.h - shared by the files of forwarding.h. */
#ifndef REGRESS_FORWARDING_PRIVATE_H
#define REGRESS_FORWARDING_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "regress/forwarding.h"

enum {
    WORDS_MAX = 32,
    US_PER_MS = 1000,
    DECIMAL = 10,
    ADDRESS_BYTES = 64,
    REVOKE_MS = 5000,
};

/* --- forwarding_line.c --- */

/* A line of a script. */
typedef struct {
    char text[FORWARDING_TEXT_BYTES]; /* its words end in NULs */
    char *words[WORDS_MAX];
    size_t count;
} line_t;

/* A grant to another host, or what it has used. */
typedef struct {
    uint32_t count;
    uint32_t deliveries;
    uint64_t runners[RELAY_RUNNERS_MAX];
    uint32_t runner_count;
} line_counts_t;

void line_split(line_t *line, const char *text);
/* Returns the value of "name=value", or NULL. */
const char *line_value(const line_t *line, const char *name);
bool line_has(const line_t *line, const char *word);
int64_t line_number(const line_t *line, size_t word);
/* Returns the runner that a word names, such as "ra1": service r, zone a.
 * address has room for ADDRESS_BYTES. */
registration_t line_registration(const line_t *line, size_t word,
                                 char *address);
/* The time in ms that the field names, else at_ms. */
int64_t line_time_us(const line_t *line, const char *name, int64_t at_ms);
const runner_report_t *line_report(const line_t *line);
/* Gives the streams' route the services of "split=SERVICE:WEIGHT,...". */
void line_shares(const line_t *line, routing_t *routing);
/* The hash of "service=NAME", or 0. */
uint64_t line_service(const line_t *line);
/* Reads "/stream=ID:VERSION" in a word; VERSION "-": not told yet. */
void line_stream(const char *word, placement_t *item);
/* Reads NAME=COUNT:DELIVERIES[:RUNNER,...]; false: it is not stated. */
bool line_counts(const line_t *line, const char *name, line_counts_t *counts);

/* --- forwarding_record.c --- */

/* Reads an event about a record of the store; false: it is another one. */
bool line_record(const line_t *line, forward_event_t *event);
/* Prints what is to be written. */
void record_print(const forward_record_t *record, char *text, size_t room);

/* --- forwarding_rollout.c --- */

/* Reads an event about a rollout; false: it is another one. */
bool line_rollout(const line_t *line, int64_t at_ms, forward_event_t *event);
/* Prints the status that is to be written. */
void rollout_print(const rollout_status_t *status, char *text, size_t room);

/* --- forwarding_view.c --- */

/* Reads an event about the view of the store, or its limits; false: it is
 * another one. */
bool line_view(const line_t *line, int64_t at_ms, forward_event_t *event);

/* --- forwarding_print.c --- */

void actions_clear(void);
/* Appends an action to what is printed, or to the log. */
void actions_print(const forward_action_t *action);
const char *actions_printed(void);
const char *actions_logged(void);

#endif
