/*
 * store.h - the stand-in key-value service: the etcd v3 JSON mapping.
 *
 * Requests and answers are JSON objects of that mapping; a request's fields
 * may be in snake_case or camelCase.  A function that fails returns NULL
 * and sets *error to the service's message.
 */
#ifndef REGRESS_STANDIN_STORE_H
#define REGRESS_STANDIN_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/* A decoded byte string; bytes are followed by a NUL. */
typedef struct {
    char *bytes;
    size_t length;
} blob_t;

/* store_json.c */
json_t *json_field(const json_t *object, const char *snake);
int64_t json_number(const json_t *object, const char *snake);
const char *json_text(const json_t *object, const char *snake);
json_t *json_int64(int64_t value);
blob_t json_blob(const json_t *object, const char *snake);

/* store_kv.c */
int64_t kv_revision(void);
json_t *kv_header(void);
json_t *kv_range(const json_t *request);
json_t *kv_put(const json_t *request, const char **error);
json_t *kv_delete(const json_t *request);
/* Deletes every key of a lease, as one revision. */
void kv_delete_lease(int64_t lease);
/* The one revision of whatever is written until the next kv_begin(). */
void kv_begin(void);
bool kv_compare(const json_t *compare);

/* store_watch.c: events kept for watches. */
void history_add(int64_t revision, json_t *event);
/* The first revision that is still kept whole. */
int64_t history_first(void);
/* Events of the range from a revision on; a new array. */
json_t *history_since(int64_t revision, const blob_t *key,
                      const blob_t *range_end);
bool key_in_range(const char *key, size_t key_bytes, const blob_t *from,
                  const blob_t *range_end);

/* store_txn.c */
json_t *txn_run(json_t *request, const char **error);

/* store_lease.c; times are of one steady clock. */
bool lease_exists(int64_t lease);
json_t *lease_grant(const json_t *request, uint64_t now_ms);
json_t *lease_keepalive(const json_t *request, uint64_t now_ms);
json_t *lease_revoke(const json_t *request, const char **error);
void lease_expire(uint64_t now_ms);
/* No lease lapses before its whole time after until_ms. */
void lease_extend(uint64_t until_ms);

#endif
