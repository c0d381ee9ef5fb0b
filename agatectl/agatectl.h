/*
 * agatectl.h - the operators' command: what its files share.
 */
#ifndef AGATECTL_AGATECTL_H
#define AGATECTL_AGATECTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/text.h"

/* Exit codes, as in agatectl(8). */
typedef enum {
    EXIT_DONE = 0,
    EXIT_DIFFERS = 1,  /* diff: they differ; apply: not in force everywhere */
    EXIT_REFUSED = 2,  /* the document or the request was refused */
    EXIT_CONFLICT = 3, /* somebody changed the document first */
    EXIT_UNREACHED = 4 /* no address answered */
} exit_code_t;

enum { ADDRESSES_MAX = 16, ARGUMENTS_MAX = 4 };

typedef struct {
    const char *addresses[ADDRESSES_MAX];
    size_t address_count;
    const char *key_file;
    const char *ca_file; /* NULL: plain HTTP */
    const char *revision;
    bool json;
    const char *arguments[ARGUMENTS_MAX];
    size_t argument_count;
} options_t;

/* What a command needs; all strings live in arena. */
typedef struct {
    const options_t *options;
    arena_t arena;
    const char *key;
} session_t;

/* --- client.c: calls of the administration API --- */

typedef struct {
    long status; /* of HTTP */
    char *body;  /* ended by a NUL, in the session's arena */
    size_t length;
} reply_t;

/* A request of the API; NULL members are left out. */
typedef struct {
    const char *method;
    const char *path; /* after /admin/v1/ */
    const char *if_match;
    const char *body;
    size_t body_bytes;
} call_t;

/* Tries the addresses in turn; -1 with *err set when none answered. */
int client_call(session_t *session, const call_t *call, reply_t *reply,
                err_t *err);

/* Reads the key from its file or from AGATECTL_KEY. */
int client_key(session_t *session, err_t *err);

/* A whole file in the session's arena, or NULL with *err set. */
char *read_file(session_t *session, const char *path, size_t *length,
                err_t *err);

/* --- commands: each returns an exit_code_t --- */

int command_check(session_t *session);
int command_apply(session_t *session);
int command_diff(session_t *session);
int command_show(session_t *session);
int command_history(session_t *session);
int command_services(session_t *session);
int command_hosts(session_t *session);
int command_runners(session_t *session);
int command_requests(session_t *session);
int command_burn(session_t *session);
int command_drain(session_t *session);
int command_key(session_t *session);

/* --- trace.c --- */

int command_trace(session_t *session);

/* Says on standard error what went wrong; returns the exit code for it. */
int tell_error(const err_t *err);
int tell_refusal(const reply_t *reply);

/* --- table.c: aligned columns --- */

typedef struct {
    const char *heading;
    const char *member; /* of each object */
} column_t;

void table_print(const json_t *rows, const column_t *columns, size_t count);

/* --- diff.c: what differs between two texts --- */

/* Prints the lines that differ and their surroundings; true if any do. */
bool diff_print(arena_t *arena, const char *from_name, const char *from,
                const char *to_name, const char *to);

#endif
