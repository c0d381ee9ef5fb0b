/*
 * load.h - a backend server's own report of its load, by GET /metrics.
 */
#ifndef BACKEND_LOAD_H
#define BACKEND_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "backend/backend.h"

/*
 * Reads the Prometheus text format: the sums of vllm:num_requests_running
 * and vllm:num_requests_waiting over all their label sets.  False when
 * either is missing.
 */
bool load_read(const char *text, size_t length, uint32_t *running,
               uint32_t *waiting);

/* The questions that have no answer yet, by runner; NULL for none. */
typedef struct load_poll load_poll_t;

/*
 * Asks once and reports to listener->load.  Does nothing while an earlier
 * question to this runner has no answer.
 */
void load_poll(load_poll_t **polls, http_client_t *client,
               backend_listener_t *listener, const char *runner,
               const char *address);

/* Ends all questions without a report. */
void load_polls_free(load_poll_t **polls);

#endif
