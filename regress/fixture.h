/*
 * fixture.h - what tests of clients share: a loop, an HTTP client on it,
 * and an end to waiting.
 */
#ifndef REGRESS_FIXTURE_H
#define REGRESS_FIXTURE_H

#include <stdbool.h>

#include <check.h>
#include <uv.h>

#include "http/http.h"

/* Elements of an array, as of a table of cases. */
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

typedef struct {
    uv_loop_t loop;
    uv_timer_t limit; /* fails the test after FIXTURE_LIMIT_MS */
    http_client_t *client;
} fixture_t;

enum { FIXTURE_LIMIT_MS = 30000, FIXTURE_TIMEOUT_S = 60 };

void fixture_open(fixture_t *fixture);

/* Frees the client and checks that nothing is left on the loop. */
void fixture_close(fixture_t *fixture);

/* Runs the loop until *done. */
void fixture_wait(fixture_t *fixture, const bool *done);

/* Runs the one case of a test program; returns its exit status. */
int fixture_main(const char *name, TCase *tcase);

#endif
