/*
 * claim_release.h - deletes a host's abandoned claims from the store.
 *
 * A release deletes a key if it still contains the holder ID.  It is resent
 * with exponential backoff until the store answers or the lease of the key
 * has expired.
 */
#ifndef POLICY_CLAIM_RELEASE_H
#define POLICY_CLAIM_RELEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "policy/actions.h"

typedef struct claim_release claim_release_t;

typedef struct {
    claim_release_t *by_key;
    TAILQ_HEAD(, claim_release) list; /* by next_send_us */
    int64_t answer_timeout_us;
    int64_t lease_us;
} claim_releases_t;

void claim_releases_init(claim_releases_t *releases, int64_t answer_timeout_us,
                         int64_t lease_us);
void claim_releases_clear(claim_releases_t *releases);

/* Adds a release; key must not have one yet.  Copies both strings. */
void claim_releases_add(claim_releases_t *releases, const char *key,
                        const char *holder_id, int64_t now_us);

bool claim_releases_contain(const claim_releases_t *releases, const char *key);
size_t claim_releases_count(const claim_releases_t *releases);

/* Removes the releases of keys whose lease has expired. */
void claim_releases_expire(claim_releases_t *releases, int64_t now_us);

/*
 * Appends one ACTION_RELEASE with the keys of one holder ID that are due.
 * Returns false if none is due.
 */
bool claim_releases_send(claim_releases_t *releases, int64_t now_us,
                         action_list_t *actions);

/* Handles the store's answer for one key; see claim_queue.h. */
void claim_releases_handle_answer(claim_releases_t *releases,
                                  const claim_outcome_t *outcome);

/* Returns when the next release is due, or INT64_MAX. */
int64_t claim_releases_due_us(const claim_releases_t *releases);

#endif
