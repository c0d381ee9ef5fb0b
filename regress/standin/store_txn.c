/*
 * store_txn.c - transactions.
 *
 * As the real service does, every compare, nested ones too, is settled
 * before the first write, and a key may be put once only.
 */
#include <stdlib.h>
#include <string.h>

#include "regress/standin/store.h"

enum { OPS_MAX = 128 };

static const char *check_ops(const json_t *ops, json_t *puts);
static const char *check(const json_t *request, json_t *puts);
static const char *settle(json_t *request);
static json_t *chosen_ops(const json_t *request);
static json_t *apply(json_t *request);
static json_t *apply_op(json_t *op);

/* Collects the keys put, in each branch for itself. */
static const char *
check_ops(const json_t *ops, json_t *puts)
{
    const char *error = NULL, *key;
    json_t *op, *put, *inner;
    size_t index;

    json_array_foreach(ops, index, op)
    {
        put = json_field(op, "request_put");
        inner = json_object();
        if (put != NULL) {
            json_object_set_new(inner, json_text(put, "key"), json_true());
        }
        else {
            error = check(json_field(op, "request_txn"), inner);
        }
        json_object_foreach(inner, key, put)
        {
            if (json_object_get(puts, key) != NULL) {
                error = "etcdserver: duplicate key given in txn request";
            }
        }
        json_object_update(puts, inner);
        json_decref(inner);
        if (error != NULL) {
            return error;
        }
    }
    return NULL;
}

static const char *
check(const json_t *request, json_t *puts)
{
    json_t *failure_puts = json_object();
    const char *error;

    if (json_array_size(json_field(request, "compare")) > OPS_MAX ||
        json_array_size(json_field(request, "success")) > OPS_MAX ||
        json_array_size(json_field(request, "failure")) > OPS_MAX) {
        json_decref(failure_puts);
        return "etcdserver: too many operations in txn request";
    }
    error = check_ops(json_field(request, "success"), puts);
    if (error == NULL) {
        error = check_ops(json_field(request, "failure"), failure_puts);
    }
    json_object_update(puts, failure_puts);
    json_decref(failure_puts);
    return error;
}

static json_t *
chosen_ops(const json_t *request)
{
    bool won = json_is_true(json_object_get(request, "won"));

    return json_field(request, won ? "success" : "failure");
}

/* Marks the request, and those inside of it, "won" or not. */
static const char *
settle(json_t *request)
{
    json_t *each, *inner, *put;
    const char *error = NULL;
    bool won = true;
    size_t index;

    json_array_foreach(json_field(request, "compare"), index, each)
    {
        won = won && kv_compare(each);
    }
    json_object_set_new(request, "won", json_boolean(won));
    json_array_foreach(chosen_ops(request), index, each)
    {
        inner = json_field(each, "request_txn");
        put = json_field(each, "request_put");
        if (inner != NULL) {
            error = settle(inner);
        }
        else if (json_number(put, "lease") != 0 &&
                 !lease_exists(json_number(put, "lease"))) {
            error = "etcdserver: requested lease not found";
        }
        if (error != NULL) {
            return error;
        }
    }
    return NULL;
}

static json_t *
apply_op(json_t *op)
{
    const char *error;
    json_t *inner;

    if ((inner = json_field(op, "request_put")) != NULL) {
        return json_pack("{s:o}", "response_put", kv_put(inner, &error));
    }
    if ((inner = json_field(op, "request_range")) != NULL) {
        return json_pack("{s:o}", "response_range", kv_range(inner));
    }
    if ((inner = json_field(op, "request_delete_range")) != NULL) {
        return json_pack("{s:o}", "response_delete_range", kv_delete(inner));
    }
    return json_pack("{s:o}", "response_txn",
                     apply(json_field(op, "request_txn")));
}

static json_t *
apply(json_t *request)
{
    json_t *responses = json_array(), *answer, *op;
    size_t index;

    json_array_foreach(chosen_ops(request), index, op)
    {
        json_array_append_new(responses, apply_op(op));
    }
    answer = json_pack("{s:o}", "header", kv_header());
    if (json_is_true(json_object_get(request, "won"))) {
        json_object_set_new(answer, "succeeded", json_true());
    }
    if (json_array_size(responses) > 0) {
        json_object_set(answer, "responses", responses);
    }
    json_decref(responses);
    return answer;
}

json_t *
txn_run(json_t *request, const char **error)
{
    json_t *puts = json_object();

    *error = check(request, puts);
    json_decref(puts);
    if (*error == NULL) {
        *error = settle(request);
    }
    if (*error != NULL) {
        return NULL;
    }
    kv_begin();
    return apply(request);
}
