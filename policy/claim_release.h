/*
 * claim_release.h - the marks of a host that have to go from the store.
 *
 * A release deletes a key if it still holds the mark.  It is sent again,
 * more and more seldom, until the store answers or the claim's lease has
 * ended it anyway.
 */
#ifndef POLICY_CLAIM_RELEASE_H
#define POLICY_CLAIM_RELEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "policy/orders.h"

typedef struct claim_release claim_release_t;

typedef struct {
    claim_release_t *by_key;
    TAILQ_HEAD(, claim_release) list; /* by the time of the next try */
    int64_t answer_limit_us;
    int64_t lease_us;
} claim_releases_t;

void claim_releases_init(claim_releases_t *releases, int64_t answer_limit_us,
                         int64_t lease_us);
void claim_releases_clear(claim_releases_t *releases);

/* The mark has to go; key has no release yet.  Both are copied. */
void claim_releases_add(claim_releases_t *releases, const char *key,
                        const char *mark, int64_t now_us);

bool claim_releases_has(const claim_releases_t *releases, const char *key);
size_t claim_releases_count(const claim_releases_t *releases);

/* Forgets those whose claim has lapsed. */
void claim_releases_expire(claim_releases_t *releases, int64_t now_us);

/* Appends one ORDER_RELEASE for the mark that is due first, if any is. */
bool claim_releases_send(claim_releases_t *releases, int64_t now_us,
                         order_list_t *orders);

/* The store's answer for one key; see claim_queue.h. */
void claim_releases_answer(claim_releases_t *releases,
                           const claim_outcome_t *outcome);

/* When the next is due; INT64_MAX for never. */
int64_t claim_releases_due_us(const claim_releases_t *releases);

#endif
