/*
 * host_records.h - removes the stream records of hosts that do not come back.
 *
 * A host keeps its streams in the store under its own name; see
 * stream_record.c.  One that is lost for good, or that comes back under
 * another name, leaves that key behind.  The other hosts remove it when its
 * streams have ended long ago, in an order that the host's name draws.
 */
#ifndef FORWARD_HOST_RECORDS_H
#define FORWARD_HOST_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "forward/forward.h"

/* The stream record of another host. */
typedef struct host_record {
    char *host;
    int64_t revision;
    int64_t alive_us; /* when it was written, or the host was seen last */
    bool listed;      /* in the full list that is being read */
    bool pending;     /* it is being removed */
    UT_hash_handle hh;
} host_record_t;

/* Around a full list of the store's records. */
void host_records_list_begin(forward_t *forward);
void host_records_list_end(forward_t *forward);

/* Follows a record, without a value if it has been removed.  host: the end of
 * its key. */
void host_records_apply(forward_t *forward, const char *host,
                        const forward_record_t *record);

/* The attempt to remove the host's record has ended. */
void host_records_removed(forward_t *forward, const char *host);

/* Removes what is due. */
void host_records_check(forward_t *forward);

/* Returns when host_records_check() is due; INT64_MAX: never. */
int64_t host_records_due_us(const forward_t *forward);

void host_records_free(forward_t *forward);

#endif
