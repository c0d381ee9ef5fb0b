/*
 * agatectl.h - types and functions shared by the files of agatectl.
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

/* Exit codes; see agatectl(8). */
typedef enum {
    EXIT_DONE = 0,
    EXIT_DIFFERS = 1,    /* diff: changes; apply: not active on all hosts */
    EXIT_REFUSED = 2,    /* the document or the request was refused */
    EXIT_CONFLICT = 3,   /* concurrent change of the document */
    EXIT_UNREACHABLE = 4 /* no host responded */
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

/* The context of a command; strings are allocated in arena. */
typedef struct {
    const options_t *options;
    arena_t arena;
    const char *key;
} command_context_t;

/* --- client.c: requests to the administration API --- */

typedef struct {
    long status; /* HTTP status */
    char *body;  /* NUL-terminated, in the arena of the context */
    size_t length;
} api_response_t;

/* A request to the API; NULL members are omitted. */
typedef struct {
    const char *method;
    const char *path; /* after /admin/v1/ */
    const char *if_match;
    const char *body;
    size_t body_bytes;
} api_request_t;

/* Tries the addresses in order.  Returns -1 with *err set if all fail. */
int client_send_request(command_context_t *context,
                        const api_request_t *request, api_response_t *response,
                        err_t *err);

/*
 * Loads the API key from its file or from AGATECTL_KEY.  Returns -1 with *err
 * set if there is none.
 */
int client_load_key(command_context_t *context, err_t *err);

/* Returns the contents of a file, or NULL with *err set; "-" is stdin. */
char *read_file(command_context_t *context, const char *path, size_t *length,
                err_t *err);

/* --- subcommands; each returns an exit_code_t --- */

int command_check(command_context_t *context);
int command_apply(command_context_t *context);
int command_diff(command_context_t *context);
int command_show(command_context_t *context);
int command_history(command_context_t *context);
int command_services(command_context_t *context);
int command_hosts(command_context_t *context);
int command_runners(command_context_t *context);
int command_requests(command_context_t *context);
int command_burn(command_context_t *context);
int command_drain(command_context_t *context);
int command_key(command_context_t *context);

/* --- trace.c --- */

int command_trace(command_context_t *context);

/* Prints an error to standard error and returns its exit code. */
int print_error(const err_t *err);
int print_api_error(const api_response_t *response);

/* --- table.c: prints tables --- */

typedef struct {
    const char *heading;
    const char *member; /* member of each JSON object */
} table_column_t;

void table_print(const json_t *rows, const table_column_t *columns,
                 size_t count);

/* --- diff.c: compares texts by lines --- */

/* Prints changed lines with context.  Returns true if the texts differ. */
bool diff_print(arena_t *arena, const char *from_name, const char *from,
                const char *to_name, const char *to);

#endif
