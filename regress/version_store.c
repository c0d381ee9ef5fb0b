/* version_store.c - the store of version_sim.h's simulation. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "regress/version_private.h"

enum {
    WRITE_MS = 10,
    SLOW_WRITE_MS = 900,
    TIMEOUT_MS = 400, /* of a write while the store is away */
    WATCH_MS = 200,   /* until all hosts know of a change */
};

static stored_t *
find_or_add(version_state_t *sim, const char *key)
{
    size_t i;

    for (i = 0; i < sim->stored_count; i++) {
        if (strcmp(sim->stored[i].key, key) == 0) {
            return &sim->stored[i];
        }
    }
    ck_assert_uint_lt(sim->stored_count, STORED_MAX);
    sim->stored_count++;
    (void)snprintf(sim->stored[i].key, RECORD_KEY_BYTES, "%s", key);
    return &sim->stored[i];
}

static forward_record_t
to_record(const stored_t *stored)
{
    return (forward_record_t){.key = stored->key,
                              .value = stored->value,
                              .revision = stored->revision};
}

static transfer_t *
transfer_new(version_state_t *sim, int64_t delay_ms)
{
    size_t i;

    for (i = 0; i < TRANSFERS_MAX; i++) {
        if (sim->transfers[i].at_ms == 0) {
            sim->transfers[i] = (transfer_t){.at_ms = sim->now_ms + delay_ms};
            return &sim->transfers[i];
        }
    }
    ck_abort_msg("too many transfers");
    return NULL;
}

static char *
copy(const char *value)
{
    return value != NULL ? strdup(value) : NULL;
}

void
version_store_read(version_state_t *sim, size_t host)
{
    forward_event_t event = {.kind = FORWARD_RECORD};
    size_t i;

    for (i = 0; i < sim->stored_count; i++) {
        event.u.record = to_record(&sim->stored[i]);
        if (sim->stored[i].value != NULL) {
            version_deliver(host, &event);
        }
    }
}

static bool
is_in(const version_state_t *sim, store_t state)
{
    return sim->store == state && sim->now_ms >= sim->store_from_ms &&
           sim->now_ms < sim->store_to_ms;
}

static bool
reaches(const version_state_t *sim, size_t host)
{
    return !is_in(sim, STORE_AWAY) && !version_is_apart(sim, host);
}

/* A host that gets no answers of the store learns so when a call is given up.
 * After a power loss, a store that is away only takes no writes. */
void
version_store_contact(version_state_t *sim, size_t host)
{
    forward_event_t event = {.kind = FORWARD_STORE_CONTACT};

    if (sim->fault != VERSION_OUT_OF_STEP || reaches(sim, host)) {
        event.u.contact.contact_us = sim->now_ms * US_PER_MS;
        sim->hosts[host].contact_ms = sim->now_ms;
    }
    else if (sim->now_ms - sim->hosts[host].contact_ms == CALL_MS) {
        event.kind = FORWARD_STORE_LOST;
    }
    else {
        return;
    }
    version_deliver(host, &event);
}

void
version_store_put(version_state_t *sim, size_t host,
                  const forward_record_t *record)
{
    transfer_t *transfer =
        transfer_new(sim, is_in(sim, STORE_AWAY)   ? TIMEOUT_MS
                          : is_in(sim, STORE_SLOW) ? SLOW_WRITE_MS
                                                   : WRITE_MS);

    sim->writes++;
    transfer->host = host;
    transfer->incarnation = sim->hosts[host].incarnation;
    (void)snprintf(transfer->record.key, RECORD_KEY_BYTES, "%s", record->key);
    transfer->record.value = copy(record->value);
    transfer->record.revision = record->revision;
}

/* A lost write takes no effect here; one whose response is lost may. */
static void
write_record(version_state_t *sim, const transfer_t *transfer)
{
    stored_t *stored = find_or_add(sim, transfer->record.key);
    forward_event_t event = {.kind = FORWARD_PUT_RESULT};
    transfer_t *change;

    event.u.put.outcome = FORWARD_PUT_FAILED;
    event.u.put.record.key = stored->key;
    if (reaches(sim, transfer->host)) {
        bool equal = stored->revision == transfer->record.revision;

        event.u.put.outcome = equal ? FORWARD_PUT_DONE : FORWARD_PUT_CONFLICT;
        if (equal) {
            sim->revision++;
            free(stored->value);
            stored->value = copy(transfer->record.value);
            stored->revision = stored->value != NULL ? sim->revision : 0;
            change = transfer_new(sim, WATCH_MS);
            change->change = true;
            change->record = *stored;
            change->record.value = copy(stored->value);
        }
        event.u.put.record = to_record(stored);
    }
    if (!sim->hosts[transfer->host].down &&
        !version_is_paused(sim, transfer->host) &&
        sim->hosts[transfer->host].incarnation == transfer->incarnation) {
        version_deliver(transfer->host, &event);
    }
}

static void
announce_change(version_state_t *sim, const stored_t *record)
{
    forward_event_t event = {.kind = FORWARD_RECORD,
                             .u.record = to_record(record)};
    size_t host;

    for (host = 0; host < sim->host_count; host++) {
        if (!version_is_apart(sim, host)) {
            version_deliver(host, &event);
        }
    }
}

void
version_store_run(version_state_t *sim)
{
    size_t i;

    for (i = 0; i < TRANSFERS_MAX; i++) {
        transfer_t transfer = sim->transfers[i];

        if (transfer.at_ms == 0 || sim->now_ms < transfer.at_ms) {
            continue;
        }
        sim->transfers[i].at_ms = 0;
        if (transfer.change) {
            announce_change(sim, &transfer.record);
        }
        else {
            write_record(sim, &transfer);
        }
        free(transfer.record.value);
    }
}

void
version_store_free(version_state_t *sim)
{
    size_t i;

    for (i = 0; i < TRANSFERS_MAX; i++) {
        if (sim->transfers[i].at_ms != 0) {
            free(sim->transfers[i].record.value);
        }
    }
    for (i = 0; i < sim->stored_count; i++) {
        free(sim->stored[i].value);
    }
}
