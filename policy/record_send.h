/*
 * record_send.h - sends the record store's messages to other hosts.
 */
#ifndef POLICY_RECORD_SEND_H
#define POLICY_RECORD_SEND_H

#include <stdint.h>

#include "policy/generated/event.h"
#include "policy/actions.h"

/* Tells host that the request is now owned at the stored record's epoch. */
void record_send_superseded(const char *host, const record_t *stored,
                            action_list_t *actions);

/* Tells the owner that its update leaves a gap: only stored_tokens tokens are
 * stored.
 */
void record_send_gap(const char *host, const record_t *record,
                     uint32_t stored_tokens, action_list_t *actions);

/* Acknowledges to the owner how many tokens are stored, and at which epoch. */
void record_send_ack(const char *host, const record_t *stored,
                     action_list_t *actions);

/*
 * Replies to lookup query_id with a copy of the stored record; NULL if none is
 * stored.
 */
void record_send_found(const char *host, uint64_t query_id,
                       const record_t *stored, action_list_t *actions);

#endif
