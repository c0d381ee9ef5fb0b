/* etcd_json.c - formats requests to etcd; see etcd_json.h. */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "kv/base64.h"
#include "kv/etcd_json.h"

static json_t *make_integer(int64_t value);
static json_t *make_base64(arena_t *arena, const char *bytes, size_t length);
static void set_range(arena_t *arena, json_t *object, const char *key,
                      bool prefix);
static json_t *make_compare(arena_t *arena, const kv_swap_t *swap);
static json_t *make_op(arena_t *arena, const kv_op_t *op);
static json_t *make_get(arena_t *arena, const char *key);
static json_t *make_nested_swap(arena_t *arena, const kv_swap_t *swap);
static char *serialize(arena_t *arena, json_t *object);

char *
etcd_format_range(arena_t *arena, const char *key, bool prefix)
{
    json_t *object = json_object();

    set_range(arena, object, key, prefix);
    return serialize(arena, object);
}

/*
 * The outer transaction has no compare, and each swap is a nested
 * transaction: a swap that fails does not affect the others.
 */
char *
etcd_format_swap(arena_t *arena, const kv_swap_t *swaps, size_t count)
{
    json_t *object = json_object();
    json_t *success = json_array();
    size_t i;

    for (i = 0; i < count; i++) {
        json_t *nested = json_object();

        (void)json_object_set_new(nested, "requestTxn",
                                  make_nested_swap(arena, &swaps[i]));
        (void)json_array_append_new(success, nested);
    }
    (void)json_object_set_new(object, "success", success);
    return serialize(arena, object);
}

char *
etcd_format_lease_grant(arena_t *arena, int64_t ttl_s)
{
    json_t *object = json_object();

    (void)json_object_set_new(object, "TTL", make_integer(ttl_s));
    return serialize(arena, object);
}

char *
etcd_format_lease(arena_t *arena, int64_t lease)
{
    json_t *object = json_object();

    (void)json_object_set_new(object, "ID", make_integer(lease));
    return serialize(arena, object);
}

char *
etcd_format_watch(arena_t *arena, const char *prefix, int64_t start_revision)
{
    json_t *object = json_object();
    json_t *create = json_object();

    set_range(arena, create, prefix, true);
    (void)json_object_set_new(create, "start_revision",
                              make_integer(start_revision));
    (void)json_object_set_new(object, "create_request", create);
    return serialize(arena, object);
}

static json_t *
make_integer(int64_t value)
{
    char text[sizeof("-9223372036854775808")];

    (void)snprintf(text, sizeof(text), "%" PRId64, value);
    return json_string(text);
}

static json_t *
make_base64(arena_t *arena, const char *bytes, size_t length)
{
    return json_string(base64_encode(arena, bytes, length));
}

/* The range_end of a prefix is the prefix with its last byte incremented. */
static void
set_range(arena_t *arena, json_t *object, const char *key, bool prefix)
{
    size_t length = strlen(key);
    char *end;

    if (prefix && length == 0) {
        (void)json_object_set_new(object, "key", make_base64(arena, "", 1));
        (void)json_object_set_new(object, "range_end",
                                  make_base64(arena, "", 1));
        return;
    }
    (void)json_object_set_new(object, "key", make_base64(arena, key, length));
    if (!prefix) {
        return;
    }
    end = arena_strndup(arena, key, length);
    while (length > 0 && (unsigned char)end[length - 1] == UINT8_MAX) {
        length--;
    }
    if (length > 0) {
        end[length - 1] = (char)((unsigned char)end[length - 1] + 1);
    }
    (void)json_object_set_new(object, "range_end",
                              length > 0 ? make_base64(arena, end, length)
                                         : make_base64(arena, "", 1));
}

static json_t *
make_nested_swap(arena_t *arena, const kv_swap_t *swap)
{
    json_t *object = json_object();
    json_t *compares = json_array();
    json_t *success = json_array();
    json_t *failure = json_array();
    size_t i;

    (void)json_array_append_new(compares, make_compare(arena, swap));
    for (i = 0; i < swap->op_count; i++) {
        (void)json_array_append_new(success, make_op(arena, &swap->ops[i]));
    }
    (void)json_array_append_new(failure, make_get(arena, swap->key));
    (void)json_object_set_new(object, "compare", compares);
    (void)json_object_set_new(object, "success", success);
    (void)json_object_set_new(object, "failure", failure);
    return object;
}

static json_t *
make_compare(arena_t *arena, const kv_swap_t *swap)
{
    json_t *object = json_object();

    (void)json_object_set_new(object, "result", json_string("EQUAL"));
    (void)json_object_set_new(
        object, "key", make_base64(arena, swap->key, strlen(swap->key)));
    if (swap->value != NULL) {
        (void)json_object_set_new(object, "target", json_string("VALUE"));
        (void)json_object_set_new(
            object, "value",
            make_base64(arena, swap->value, swap->value_bytes));
        return object;
    }
    (void)json_object_set_new(object, "target", json_string("MOD"));
    (void)json_object_set_new(object, "mod_revision",
                              make_integer(swap->mod_revision));
    return object;
}

static json_t *
make_op(arena_t *arena, const kv_op_t *op)
{
    json_t *object;
    json_t *fields;

    if (op->verb == KV_GET) {
        return make_get(arena, op->key);
    }
    object = json_object();
    fields = json_object();
    (void)json_object_set_new(fields, "key",
                              make_base64(arena, op->key, strlen(op->key)));
    if (op->verb == KV_DELETE) {
        (void)json_object_set_new(object, "requestDeleteRange", fields);
        return object;
    }
    (void)json_object_set_new(fields, "value",
                              make_base64(arena, op->value, op->value_bytes));
    if (op->lease != 0) {
        (void)json_object_set_new(fields, "lease", make_integer(op->lease));
    }
    (void)json_object_set_new(object, "requestPut", fields);
    return object;
}

static json_t *
make_get(arena_t *arena, const char *key)
{
    json_t *object = json_object();
    json_t *fields = json_object();

    (void)json_object_set_new(fields, "key",
                              make_base64(arena, key, strlen(key)));
    (void)json_object_set_new(object, "requestRange", fields);
    return object;
}

static char *
serialize(arena_t *arena, json_t *object)
{
    size_t length = json_dumpb(object, NULL, 0, JSON_COMPACT);
    char *text = arena_alloc(arena, length + 1);

    (void)json_dumpb(object, text, length, JSON_COMPACT);
    json_decref(object);
    return text;
}
