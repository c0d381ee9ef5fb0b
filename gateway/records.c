/* records.c - writes the records of forward_step() to the store. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "gateway/gateway.h"

typedef struct write {
    LIST_ENTRY(write) link;
    records_t *records;
    char *key;
    char *value; /* NULL: the key is removed */
} write_t;

struct records {
    gateway_t *gateway;
    LIST_HEAD(, write) writes; /* in progress */
};

static void on_written(void *context, kv_result_t result, int64_t revision,
                       const kv_swap_result_t *answers, size_t count);
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
    kv_t *kv = records->gateway->kv;
    write_t *write = xcalloc(1, sizeof(*write));
    kv_op_t op = {.verb = record->value != NULL ? KV_PUT : KV_DELETE};
    kv_swap_t swap = {
        .mod_revision = record->revision, .ops = &op, .op_count = 1};

    write->records = records;
    write->key = xstrdup(record->key);
    write->value = record->value != NULL ? xstrdup(record->value) : NULL;
    LIST_INSERT_HEAD(&records->writes, write, link);
    swap.key = write->key;
    op.key = write->key;
    op.value = write->value;
    op.value_bytes = write->value != NULL ? strlen(write->value) : 0;
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
    LIST_REMOVE(write, link);
    forwarding_handle_event(write->records->gateway, &event);
    write_free(write);
    arena_free(&arena);
}

static void
write_free(write_t *write)
{
    free(write->key);
    free(write->value);
    free(write);
}
