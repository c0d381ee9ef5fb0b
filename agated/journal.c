/* journal.c - writes and reads the event log, for replay by node_step(). */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "agated/agated.h"

struct journal {
    FILE *file;
};

/* The header of each record; the encoded event follows it. */
typedef struct {
    int64_t now_us;
    uint64_t digest;
    uint32_t event_bytes;
} record_header_t;

enum { RECORD_HEADER_BYTES = 20 };

static bool xdr_record_header(XDR *xdr, record_header_t *header);

journal_t *
journal_open(const char *path, err_t *err)
{
    FILE *file = fopen(path, "we");
    journal_t *journal;

    if (file == NULL) {
        (void)err_set(
            err, ERR_SYSTEM,
            "%s:1: cannot open the event log: %s: name a writable file", path,
            strerror(errno));
        return NULL;
    }
    journal = xcalloc(1, sizeof(*journal));
    journal->file = file;
    return journal;
}

void
journal_write(journal_t *journal, int64_t now_us, const event_t *event,
              const action_list_t *actions)
{
    size_t length;
    char *bytes = event_encode(event, &length);
    record_header_t header = {.now_us = now_us,
                              .digest = actions_digest(actions),
                              .event_bytes = (uint32_t)length};
    char header_bytes[RECORD_HEADER_BYTES];
    XDR xdr;

    xdrmem_create(&xdr, header_bytes, sizeof(header_bytes), XDR_ENCODE);
    (void)xdr_record_header(&xdr, &header);
    xdr_destroy(&xdr);
    (void)fwrite(header_bytes, sizeof(header_bytes), 1, journal->file);
    (void)fwrite(bytes, length, 1, journal->file);
    (void)fflush(journal->file);
    free(bytes);
}

bool
journal_read(FILE *file, journal_record_t *record)
{
    char header_bytes[RECORD_HEADER_BYTES];
    record_header_t header = {0};
    char *bytes;
    bool complete;
    XDR xdr;

    if (fread(header_bytes, sizeof(header_bytes), 1, file) != 1) {
        return false;
    }
    xdrmem_create(&xdr, header_bytes, sizeof(header_bytes), XDR_DECODE);
    (void)xdr_record_header(&xdr, &header);
    xdr_destroy(&xdr);
    bytes = xcalloc(1, (size_t)header.event_bytes + 1);
    complete = fread(bytes, header.event_bytes, 1, file) == 1 &&
               event_decode(bytes, header.event_bytes, &record->event);
    record->now_us = header.now_us;
    record->digest = header.digest;
    free(bytes);
    return complete;
}

uint64_t
actions_digest(const action_list_t *actions)
{
    uint64_t digest = 0;
    size_t i;

    for (i = 0; i < actions->count; i++) {
        action_t *action = &actions->items[i];
        size_t length = xdr_sizeof((xdrproc_t)xdr_action_t, action);
        char *bytes = xcalloc(1, length + 1);
        XDR xdr;

        xdrmem_create(&xdr, bytes, (u_int)length, XDR_ENCODE);
        (void)xdr_action_t(&xdr, action);
        xdr_destroy(&xdr);
        digest = XXH3_64bits_withSeed(bytes, length, digest);
        free(bytes);
    }
    return digest;
}

void
journal_close(journal_t *journal)
{
    if (journal == NULL) {
        return;
    }
    (void)fclose(journal->file);
    free(journal);
}

char *
event_encode(const event_t *event, size_t *length)
{
    event_t *source = (event_t *)(uintptr_t)event;
    char *bytes;
    XDR xdr;

    *length = xdr_sizeof((xdrproc_t)xdr_event_t, source);
    bytes = xcalloc(1, *length + 1);
    xdrmem_create(&xdr, bytes, (u_int)*length, XDR_ENCODE);
    if (!xdr_event_t(&xdr, source)) {
        (void)fputs(
            "internal error: cannot encode an event: report this fault\n",
            stderr);
        abort();
    }
    xdr_destroy(&xdr);
    return bytes;
}

bool
event_decode(const char *bytes, size_t length, event_t *event)
{
    XDR xdr;
    bool complete;

    memset(event, 0, sizeof(*event));
    xdrmem_create(&xdr, (char *)(uintptr_t)bytes, (u_int)length, XDR_DECODE);
    complete = xdr_event_t(&xdr, event);
    xdr_destroy(&xdr);
    return complete;
}

static bool
xdr_record_header(XDR *xdr, record_header_t *header)
{
    return xdr_int64_t(xdr, &header->now_us) &&
           xdr_uint64_t(xdr, &header->digest) &&
           xdr_uint32_t(xdr, &header->event_bytes);
}
