/*
 * load.h - reads the load of a backend server with GET /metrics.
 */
#ifndef BACKEND_LOAD_H
#define BACKEND_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/backend.h"

/*
 * Parses the Prometheus text format.  Sets the sums of
 * vllm:num_requests_running and vllm:num_requests_waiting over all their label
 * sets.  Returns false when either metric is missing.
 */
bool load_parse(const char *text, size_t length, uint32_t *running,
                uint32_t *waiting);

/* Hash table of unfinished polls, keyed by runner; NULL when empty. */
typedef struct load_poll load_poll_t;

/*
 * Polls the runner once and reports to listener->load.  Does nothing while an
 * earlier poll of this runner is unfinished.
 */
void load_poll(load_poll_t **polls, http_client_t *client,
               backend_listener_t *listener, const char *runner,
               const char *address);

/* Cancels all polls without a report. */
void load_polls_free(load_poll_t **polls);

#endif
