/* etcd_response.c - parses responses of etcd; see etcd_json.h. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "kv/base64.h"
#include "kv/etcd_json.h"

enum { DECIMAL = 10 };

static json_t *parse_object(const char *json, size_t length, err_t *err);
static int read_integer(const json_t *object, const char *name, int64_t *value,
                        err_t *err);
static int read_revision(const json_t *object, int64_t *revision, err_t *err);
static int read_bytes(arena_t *arena, const json_t *object, const char *name,
                      const char **bytes, size_t *length, err_t *err);
static int read_pair(arena_t *arena, const json_t *kv, kv_pair_t *pair,
                     err_t *err);
static int read_pairs(arena_t *arena, const json_t *list, kv_pair_t **pairs,
                      size_t *count, err_t *err);
static int read_nested_swap(arena_t *arena, const json_t *response,
                            kv_swap_result_t *answer, err_t *err);
static int read_lease(const json_t *root, etcd_lease_t *lease, err_t *err);
static int read_events(arena_t *arena, const json_t *list, etcd_watch_t *watch,
                       err_t *err);
static int read_watch(arena_t *arena, const json_t *root, etcd_watch_t *watch,
                      err_t *err);
static const json_t *get_either(const json_t *object, const char *name,
                                const char *other);
static int set_error(err_t *err, const char *problem);

int
etcd_parse_range(arena_t *arena, const char *json, size_t length,
                 etcd_range_t *range, err_t *err)
{
    json_t *root = parse_object(json, length, err);
    int result = -1;

    memset(range, 0, sizeof(*range));
    if (root != NULL && read_revision(root, &range->revision, err) == 0) {
        result = read_pairs(arena, json_object_get(root, "kvs"), &range->pairs,
                            &range->count, err);
    }
    json_decref(root);
    return result;
}

int
etcd_parse_swap(arena_t *arena, const char *json, size_t length, size_t count,
                etcd_swap_t *swap, err_t *err)
{
    json_t *root = parse_object(json, length, err);
    const json_t *responses = json_object_get(root, "responses");
    int result = -1;
    size_t i;

    memset(swap, 0, sizeof(*swap));
    if (root == NULL || read_revision(root, &swap->revision, err) < 0) {
        goto done;
    }
    if (json_array_size(responses) != count) {
        (void)set_error(err,
                        "a transaction has the wrong number of responses");
        goto done;
    }
    swap->count = count;
    swap->answers = arena_array(arena, count, sizeof(*swap->answers));
    for (i = 0; i < count; i++) {
        if (read_nested_swap(arena, json_array_get(responses, i),
                             &swap->answers[i], err) < 0) {
            goto done;
        }
    }
    result = 0;
done:
    json_decref(root);
    return result;
}

int
etcd_parse_lease(const char *json, size_t length, etcd_lease_t *lease,
                 err_t *err)
{
    json_t *root = parse_object(json, length, err);
    int result = root != NULL ? read_lease(root, lease, err) : -1;

    json_decref(root);
    return result;
}

int
etcd_parse_watch(arena_t *arena, const char *json, size_t length,
                 etcd_watch_t *watch, err_t *err)
{
    json_t *root = parse_object(json, length, err);
    int result = -1;

    memset(watch, 0, sizeof(*watch));
    if (root != NULL) {
        result = read_watch(arena, root, watch, err);
    }
    json_decref(root);
    return result;
}

static int
read_lease(const json_t *root, etcd_lease_t *lease, err_t *err)
{
    const json_t *wrapped = json_object_get(root, "result");

    if (wrapped != NULL) {
        root = wrapped;
    }
    if (!json_is_object(json_object_get(root, "header"))) {
        return set_error(err, "a lease response has no header");
    }
    if (read_integer(root, "ID", &lease->lease, err) < 0) {
        return -1;
    }
    return read_integer(root, "TTL", &lease->ttl_s, err);
}

static int
read_watch(arena_t *arena, const json_t *root, etcd_watch_t *watch, err_t *err)
{
    const json_t *result = json_object_get(root, "result");
    int64_t compacted = 0;

    if (json_object_get(root, "error") != NULL) {
        return set_error(err, "the platform aborted a watch with an error");
    }
    if (!json_is_object(result)) {
        return set_error(err, "a watch response has no result");
    }
    watch->created = json_is_true(json_object_get(result, "created"));
    watch->canceled = json_is_true(json_object_get(result, "canceled"));
    if (read_revision(result, &watch->revision, err) < 0 ||
        read_integer(result, "compact_revision", &compacted, err) < 0) {
        return -1;
    }
    if (compacted > 0) {
        watch->canceled = true;
        watch->revision = compacted;
    }
    return read_events(arena, json_object_get(result, "events"), watch, err);
}

static int
read_events(arena_t *arena, const json_t *list, etcd_watch_t *watch,
            err_t *err)
{
    size_t count = json_array_size(list);
    size_t i;

    watch->pairs = arena_array(arena, count, sizeof(*watch->pairs));
    for (i = 0; i < count; i++) {
        const json_t *event = json_array_get(list, i);
        const char *type = json_string_value(json_object_get(event, "type"));
        kv_pair_t *pair = &watch->pairs[i];

        if (read_pair(arena, json_object_get(event, "kv"), pair, err) < 0) {
            return -1;
        }
        if (type != NULL && strcmp(type, "DELETE") == 0) {
            pair->create_revision = 0;
            pair->version = 0;
        }
    }
    watch->count = count;
    return 0;
}

static int
read_nested_swap(arena_t *arena, const json_t *response,
                 kv_swap_result_t *answer, err_t *err)
{
    const json_t *nested = get_either(response, "response_txn", "responseTxn");
    const json_t *range;
    kv_pair_t *pairs = NULL;
    size_t count = 0;

    if (!json_is_object(nested)) {
        return set_error(err, "a nested transaction has no response");
    }
    answer->succeeded = json_is_true(json_object_get(nested, "succeeded"));
    if (answer->succeeded) {
        return 0;
    }
    range = get_either(json_array_get(json_object_get(nested, "responses"), 0),
                       "response_range", "responseRange");
    if (!json_is_object(range)) {
        return set_error(err, "a failed compare has no range response");
    }
    if (read_pairs(arena, json_object_get(range, "kvs"), &pairs, &count, err) <
        0) {
        return -1;
    }
    if (count > 0) {
        answer->held = pairs[0];
    }
    else {
        answer->held.key = "";
        answer->held.value = "";
    }
    return 0;
}

static int
read_pairs(arena_t *arena, const json_t *list, kv_pair_t **pairs,
           size_t *count, err_t *err)
{
    size_t length = json_array_size(list);
    size_t i;

    if (list != NULL && !json_is_array(list)) {
        return set_error(err, "kvs is not an array");
    }
    *pairs = arena_array(arena, length, sizeof(**pairs));
    for (i = 0; i < length; i++) {
        if (read_pair(arena, json_array_get(list, i), &(*pairs)[i], err) < 0) {
            return -1;
        }
    }
    *count = length;
    return 0;
}

static int
read_pair(arena_t *arena, const json_t *kv, kv_pair_t *pair, err_t *err)
{
    size_t key_bytes = 0;

    if (!json_is_object(kv)) {
        return set_error(err, "a key-value pair is not a JSON object");
    }
    if (read_bytes(arena, kv, "key", &pair->key, &key_bytes, err) < 0 ||
        read_bytes(arena, kv, "value", &pair->value, &pair->value_bytes, err) <
            0 ||
        read_integer(kv, "mod_revision", &pair->mod_revision, err) < 0 ||
        read_integer(kv, "create_revision", &pair->create_revision, err) < 0 ||
        read_integer(kv, "version", &pair->version, err) < 0) {
        return -1;
    }
    return read_integer(kv, "lease", &pair->lease, err);
}

static int
read_bytes(arena_t *arena, const json_t *object, const char *name,
           const char **bytes, size_t *length, err_t *err)
{
    const json_t *text = json_object_get(object, name);

    *bytes = "";
    *length = 0;
    if (text == NULL) {
        return 0;
    }
    if (!json_is_string(text)) {
        return set_error(err, "a key or a value is not a string");
    }
    *bytes = base64_decode(arena, json_string_value(text), length);
    if (*bytes == NULL) {
        return set_error(err, "a key or a value is not valid base64");
    }
    return 0;
}

static int
read_revision(const json_t *object, int64_t *revision, err_t *err)
{
    const json_t *header = json_object_get(object, "header");

    if (!json_is_object(header)) {
        return set_error(err, "a response has no header");
    }
    return read_integer(header, "revision", revision, err);
}

static int
read_integer(const json_t *object, const char *name, int64_t *value,
             err_t *err)
{
    const json_t *number = json_object_get(object, name);
    const char *text = json_string_value(number);
    char *end = NULL;

    *value = 0;
    if (number == NULL) {
        return 0;
    }
    if (json_is_integer(number)) {
        *value = json_integer_value(number);
        return 0;
    }
    if (text == NULL || *text == '\0') {
        return set_error(err,
                         "an integer is neither a JSON integer nor a string");
    }
    errno = 0;
    *value = strtoll(text, &end, DECIMAL);
    if (errno != 0 || *end != '\0') {
        return set_error(
            err, "an integer in a string is malformed or out of range");
    }
    return 0;
}

static const json_t *
get_either(const json_t *object, const char *name, const char *other)
{
    const json_t *value = json_object_get(object, name);

    return value != NULL ? value : json_object_get(object, other);
}

static json_t *
parse_object(const char *json, size_t length, err_t *err)
{
    json_t *root = json_loadb(json, length, 0, NULL);

    if (!json_is_object(root)) {
        json_decref(root);
        (void)set_error(err, "a response is not a JSON object");
        return NULL;
    }
    return root;
}

static int
set_error(err_t *err, const char *problem)
{
    return err_set(
        err, ERR_PROTOCOL,
        "%s: check that the platform address is that of an etcd server",
        problem);
}
