/* records.c - writes the records of forward_step() to the store. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/log.h"
#include "gateway/gateway.h"

typedef struct write {
    LIST_ENTRY(write) link;
    records_t *records;
    char *key;
    char *value; /* NULL: the key is removed */
    bool status; /* of a roll-out */
} write_t;

struct records {
    gateway_t *gateway;
    LIST_HEAD(, write) writes; /* in progress */
};

static write_t *write_new(records_t *records, const char *key,
                          const char *value);
static void write_send(write_t *write, int64_t revision);
static void on_written(void *context, kv_result_t result, int64_t revision,
                       const kv_swap_result_t *answers, size_t count);
static void raise_status(const write_t *write, const forward_put_result_t *put,
                         arena_t *arena);
static void write_free(write_t *write);

records_t *
records_new(gateway_t *gateway)
{
    records_t *records = xcalloc(1, sizeof(*records));

    records->gateway = gateway;
    LIST_INIT(&records->writes);
    return records;
}

void
records_free(records_t *records)
{
    write_t *write;
    write_t *next;

    if (records == NULL) {
        return;
    }
    for (write = LIST_FIRST(&records->writes); write != NULL; write = next) {
        next = LIST_NEXT(write, link);
        write_free(write);
    }
    free(records);
}

void
records_put(records_t *records, const forward_record_t *record)
{
    write_send(write_new(records, record->key, record->value),
               record->revision);
}

void
records_put_status(records_t *records, const rollout_status_t *status)
{
    const dialect_ops_t *dialect = records->gateway->dialect->ops;
    arena_t arena = {0};
    text_t value = {0};
    write_t *write;

    dialect->write_rollout_status(&value, status);
    write =
        write_new(records,
                  arena_printf(&arena, "%s%s", dialect->rollout_status_prefix,
                               status->service),
                  arena_strndup(&arena, value.bytes, value.length));
    write->status = true;
    text_free(&value);
    arena_free(&arena);
    write_send(write, status->revision);
}

void
records_read_status(const gateway_t *gateway, arena_t *arena,
                    const kv_pair_t *pair, rollout_status_t *status)
{
    const dialect_ops_t *dialect = gateway->dialect->ops;
    err_t err;

    *status = (rollout_status_t){
        .service = arena_strdup(
            arena, pair->key + strlen(dialect->rollout_status_prefix))};
    if (pair->create_revision == 0) {
        return;
    }
    status->revision = pair->mod_revision;
    if (dialect->parse_rollout_status(arena, pair->value, pair->value_bytes,
                                      status, &err) < 0) {
        log_event(LOG_WARNING, "rollout-status-invalid",
                  "key=%s reason=\"%s\"", pair->key, err.message);
    }
}

static write_t *
write_new(records_t *records, const char *key, const char *value)
{
    write_t *write = xcalloc(1, sizeof(*write));

    write->records = records;
    write->key = xstrdup(key);
    write->value = value != NULL ? xstrdup(value) : NULL;
    LIST_INSERT_HEAD(&records->writes, write, link);
    return write;
}

static void
write_send(write_t *write, int64_t revision)
{
    kv_t *kv = write->records->gateway->kv;
    kv_op_t op = {
        .verb = write->value != NULL ? KV_PUT : KV_DELETE,
        .key = write->key,
        .value = write->value,
        .value_bytes = write->value != NULL ? strlen(write->value) : 0,
    };
    kv_swap_t swap = {.key = write->key,
                      .mod_revision = revision,
                      .ops = &op,
                      .op_count = 1};

    kv->ops->swap(kv, &swap, 1, on_written, write);
}

static void
on_written(void *context, kv_result_t result, int64_t revision,
           const kv_swap_result_t *answers, size_t count)
{
    write_t *write = context;
    forward_event_t event = {.kind = FORWARD_PUT_RESULT};
    forward_put_result_t *put = &event.u.put;
    arena_t arena = {0};

    put->record.key = write->key;
    put->outcome = FORWARD_PUT_FAILED;
    if (result == KV_OK && count == 1 && answers[0].succeeded) {
        put->outcome = FORWARD_PUT_DONE;
        put->record.value = write->value;
        put->record.revision = write->value != NULL ? revision : 0;
    }
    else if (result == KV_OK && count == 1) {
        const kv_pair_t *held = &answers[0].held;

        put->outcome = FORWARD_PUT_CONFLICT;
        put->record.revision = held->mod_revision;
        put->record.value =
            held->mod_revision != 0
                ? arena_strndup(&arena, held->value, held->value_bytes)
                : NULL;
    }
    if (write->status) {
        raise_status(write, put, &arena);
    }
    else {
        forwarding_handle_event(write->records->gateway, &event);
    }
    LIST_REMOVE(write, link);
    write_free(write);
    arena_free(&arena);
}

static void
raise_status(const write_t *write, const forward_put_result_t *put,
             arena_t *arena)
{
    gateway_t *gateway = write->records->gateway;
    forward_event_t event = {.kind = FORWARD_ROLLOUT_WRITTEN};
    const char *value = put->record.value;
    kv_pair_t pair = {
        .key = write->key,
        .value = value,
        .value_bytes = value != NULL ? strlen(value) : 0,
        .mod_revision = put->record.revision,
        .create_revision = put->record.revision,
    };

    event.u.rollout_written.outcome = put->outcome;
    records_read_status(gateway, arena, &pair,
                        &event.u.rollout_written.status);
    forwarding_handle_event(gateway, &event);
}

static void
write_free(write_t *write)
{
    free(write->key);
    free(write->value);
    free(write);
}
