/* store_kv.c - the keys and their values. */
#include <stdlib.h>
#include <string.h>

#include "regress/standin/store.h"

/* kv is never changed once made, so that events can share it. */
typedef struct {
    char *key;
    size_t key_bytes;
    json_t *kv;
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version;
    int64_t lease;
} pair_t;

static pair_t *pairs; /* in the order of their keys */
static size_t pair_count;
static int64_t revision = 1;
static bool written; /* since kv_begin() */

static int compare_key(const pair_t *pair, const blob_t *key);
static size_t place_of(const blob_t *key);
static pair_t *find(const blob_t *key);
static pair_t *insert(blob_t *key);
static void next_revision(void);
static void drop(size_t at);

int64_t
kv_revision(void)
{
    return revision;
}

json_t *
kv_header(void)
{
    return json_pack("{s:s, s:s, s:o}", "cluster_id", "1", "member_id", "1",
                     "revision", json_int64(revision));
}

void
kv_begin(void)
{
    written = false;
}

static void
next_revision(void)
{
    if (!written) {
        revision++;
        written = true;
    }
}

static int
compare_key(const pair_t *pair, const blob_t *key)
{
    size_t shorter =
        pair->key_bytes < key->length ? pair->key_bytes : key->length;
    int order = memcmp(pair->key, key->bytes, shorter);

    if (order != 0) {
        return order;
    }
    return (pair->key_bytes > key->length) - (pair->key_bytes < key->length);
}

/* The first place whose key is not before the given one. */
static size_t
place_of(const blob_t *key)
{
    size_t from = 0, to = pair_count, middle;

    while (from < to) {
        middle = from + (to - from) / 2;
        if (compare_key(&pairs[middle], key) < 0) {
            from = middle + 1;
        }
        else {
            to = middle;
        }
    }
    return from;
}

static pair_t *
find(const blob_t *key)
{
    size_t at = place_of(key);

    if (at == pair_count || compare_key(&pairs[at], key) != 0) {
        return NULL;
    }
    return &pairs[at];
}

/* Takes the key's bytes over. */
static pair_t *
insert(blob_t *key)
{
    size_t at = place_of(key);

    pairs = realloc(pairs, (pair_count + 1) * sizeof(*pairs));
    memmove(&pairs[at + 1], &pairs[at], (pair_count - at) * sizeof(*pairs));
    pair_count++;
    pairs[at] = (pair_t){.key = key->bytes,
                         .key_bytes = key->length,
                         .create_revision = revision};
    return &pairs[at];
}

json_t *
kv_range(const json_t *request)
{
    blob_t key = json_blob(request, "key");
    blob_t end = json_blob(request, "range_end");
    json_t *kvs = json_array(), *answer;
    size_t at;

    for (at = place_of(&key); at < pair_count; at++) {
        if (!key_in_range(pairs[at].key, pairs[at].key_bytes, &key, &end)) {
            break;
        }
        json_array_append(kvs, pairs[at].kv);
    }
    answer = json_pack("{s:o}", "header", kv_header());
    if (json_array_size(kvs) > 0) {
        json_object_set(answer, "kvs", kvs);
        json_object_set_new(answer, "count",
                            json_int64((int64_t)json_array_size(kvs)));
    }
    json_decref(kvs);
    free(key.bytes);
    free(end.bytes);
    return answer;
}

json_t *
kv_put(const json_t *request, const char **error)
{
    int64_t lease = json_number(request, "lease");
    blob_t key = json_blob(request, "key");
    pair_t *pair = find(&key);

    if (key.length == 0 || (lease != 0 && !lease_exists(lease))) {
        *error = key.length == 0 ? "etcdserver: key is not provided"
                                 : "etcdserver: requested lease not found";
        free(key.bytes);
        return NULL;
    }
    next_revision();
    if (pair == NULL) {
        pair = insert(&key);
    }
    else {
        free(key.bytes);
        json_decref(pair->kv);
    }
    pair->mod_revision = revision;
    pair->version++;
    pair->lease = lease;
    pair->kv = json_pack(
        "{s:s, s:s, s:o, s:o, s:o}", "key", json_text(request, "key"), "value",
        json_text(request, "value"), "create_revision",
        json_int64(pair->create_revision), "mod_revision",
        json_int64(revision), "version", json_int64(pair->version));
    if (lease != 0) {
        json_object_set_new(pair->kv, "lease", json_int64(lease));
    }
    history_add(revision, json_pack("{s:O}", "kv", pair->kv));
    return json_pack("{s:o}", "header", kv_header());
}

static void
drop(size_t at)
{
    pair_t *pair = &pairs[at];
    json_t *kv;

    next_revision();
    kv = json_pack("{s:s, s:o}", "key", json_text(pair->kv, "key"),
                   "mod_revision", json_int64(revision));
    history_add(revision, json_pack("{s:s, s:o}", "type", "DELETE", "kv", kv));
    json_decref(pair->kv);
    free(pair->key);
    pair_count--;
    memmove(pair, pair + 1, (pair_count - at) * sizeof(*pair));
}

json_t *
kv_delete(const json_t *request)
{
    blob_t key = json_blob(request, "key");
    blob_t end = json_blob(request, "range_end");
    size_t at = place_of(&key);
    json_t *answer;
    int64_t deleted = 0;

    while (at < pair_count &&
           key_in_range(pairs[at].key, pairs[at].key_bytes, &key, &end)) {
        drop(at);
        deleted++;
    }
    free(key.bytes);
    free(end.bytes);
    answer = json_pack("{s:o}", "header", kv_header());
    if (deleted > 0) {
        json_object_set_new(answer, "deleted", json_int64(deleted));
    }
    return answer;
}

void
kv_delete_lease(int64_t lease)
{
    size_t at = 0;

    kv_begin();
    while (at < pair_count) {
        if (pairs[at].lease == lease) {
            drop(at);
        }
        else {
            at++;
        }
    }
}

bool
kv_compare(const json_t *compare)
{
    const char *target = json_text(compare, "target");
    const char *result = json_text(compare, "result");
    blob_t key = json_blob(compare, "key");
    pair_t *pair = find(&key);
    int64_t held = 0, wanted = 0;

    free(key.bytes);
    if (strcmp(target, "VALUE") == 0) {
        held = pair != NULL && strcmp(json_text(pair->kv, "value"),
                                      json_text(compare, "value")) == 0;
        return pair != NULL && held == (strcmp(result, "NOT_EQUAL") != 0);
    }
    if (strcmp(target, "MOD") == 0) {
        held = pair != NULL ? pair->mod_revision : 0;
        wanted = json_number(compare, "mod_revision");
    }
    else if (strcmp(target, "CREATE") == 0) {
        held = pair != NULL ? pair->create_revision : 0;
        wanted = json_number(compare, "create_revision");
    }
    else if (strcmp(target, "LEASE") == 0) {
        held = pair != NULL ? pair->lease : 0;
        wanted = json_number(compare, "lease");
    }
    else {
        held = pair != NULL ? pair->version : 0;
        wanted = json_number(compare, "version");
    }
    if (strcmp(result, "GREATER") == 0) {
        return held > wanted;
    }
    if (strcmp(result, "LESS") == 0) {
        return held < wanted;
    }
    return (held == wanted) == (strcmp(result, "NOT_EQUAL") != 0);
}
