/*
 * host.h - a whole daemon on the test's own loop, and calls to it.
 *
 * The daemon runs without a platform, on documents that the test gives;
 * its keys are "org-key", "team-key" and "ops-key".
 */
#ifndef REGRESS_HOST_H
#define REGRESS_HOST_H

#include <stdint.h>

#include <uv.h>

#include "agated/agated.h"
#include "http/http.h"

#define HOST_ORG "Authorization: Bearer org-key"
#define HOST_TEAM "Authorization: Bearer team-key"
#define HOST_OPS "Authorization: Bearer ops-key"

/* A team's document with the parts that tests change. */
#define HOST_SERVICE(team, weight)                                            \
    "service = \"plans\"\nteam = \"" team "\"\nweighs = \"extra-work\"\n"     \
    "[[model]]\nname = \"planner\"\nversion = \"planner-v3\"\n"               \
    "[[organisation]]\nname = \"tarawhiti\"\nweight = " weight "\n"           \
    "[[kind]]\nname = \"plan\"\nurgency = \"batch\"\nidempotent = true\n"     \
    "[[kind]]\nname = \"order\"\nurgency = \"normal\"\nidempotent = false\n"

typedef struct {
    daemon_t daemon;
    settings_t settings;
    arena_t arena;
    char *fleet; /* files */
    char *service;
} host_t;

/*
 * Starts a daemon whose one engine listens on engine_port; more is appended
 * to its settings.  Returns when the documents are in force.
 */
void host_start(host_t *host, uv_loop_t *loop, int engine_port,
                const char *more);

/* The same, with a flaky platform (flaky.h) before the daemon's own. */
void host_start_flaky(host_t *host, uv_loop_t *loop, int engine_port,
                      const char *more);
const char *host_address(const host_t *host);
/* Stops as an operator would, and waits until the last connection closed. */
void host_stop(host_t *host);

/* The answer to one call; body ends with a NUL. */
typedef struct {
    http_result_t result;
    uint32_t status;
    uint32_t retry_after_ms;
    text_t body;
} host_reply_t;

typedef struct host_call host_call_t;

/* Starts a call and runs the loop until it is over. */
void host_ask(uv_loop_t *loop, http_client_t *client,
              const http_request_t *request, host_reply_t *reply);

/* The two halves of host_ask(). */
host_call_t *host_call(http_client_t *client, const http_request_t *request);
void host_await(uv_loop_t *loop, host_call_t *call, host_reply_t *reply);

/* Writes a file into the directory that the test runs in. */
char *host_file(arena_t *arena, const char *text);

/* What the platform's documents call a key. */
const char *host_digest(arena_t *arena, const char *authorization);

#endif
