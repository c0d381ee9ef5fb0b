/* journal.c - the log of events, to be replayed through node_step(). */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "agated/agated.h"

struct journal {
    FILE *file;
};

/* What stands before each event. */
typedef struct {
    int64_t now_us;
    uint64_t digest;
    uint32_t event_bytes;
} head_t;

enum { HEAD_BYTES = 20 };

static bool xdr_head(XDR *xdr, head_t *head);

journal_t *
journal_open(const char *path, err_t *err)
{
    FILE *file = fopen(path, "we");
    journal_t *journal;

    if (file == NULL) {
        (void)err_set(err, ERR_SYSTEM,
                      "%s:1: cannot write it: %s: name a writable file", path,
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
    head_t head = {.now_us = now_us,
                   .digest = orders_digest(actions),
                   .event_bytes = (uint32_t)length};
    char head_bytes[HEAD_BYTES];
    XDR xdr;

    xdrmem_create(&xdr, head_bytes, sizeof(head_bytes), XDR_ENCODE);
    (void)xdr_head(&xdr, &head);
    xdr_destroy(&xdr);
    (void)fwrite(head_bytes, sizeof(head_bytes), 1, journal->file);
    (void)fwrite(bytes, length, 1, journal->file);
    (void)fflush(journal->file);
    free(bytes);
}

bool
journal_read(FILE *file, journal_record_t *record)
{
    char head_bytes[HEAD_BYTES];
    head_t head = {0};
    char *bytes;
    bool whole;
    XDR xdr;

    if (fread(head_bytes, sizeof(head_bytes), 1, file) != 1) {
        return false;
    }
    xdrmem_create(&xdr, head_bytes, sizeof(head_bytes), XDR_DECODE);
    (void)xdr_head(&xdr, &head);
    xdr_destroy(&xdr);
    bytes = xcalloc(1, (size_t)head.event_bytes + 1);
    whole = fread(bytes, head.event_bytes, 1, file) == 1 &&
            event_decode(bytes, head.event_bytes, &record->event);
    record->now_us = head.now_us;
    record->digest = head.digest;
    free(bytes);
    return whole;
}

uint64_t
orders_digest(const action_list_t *actions)
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
        (void)fputs("an event cannot be encoded: report it as a fault\n",
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
    bool whole;

    memset(event, 0, sizeof(*event));
    xdrmem_create(&xdr, (char *)(uintptr_t)bytes, (u_int)length, XDR_DECODE);
    whole = xdr_event_t(&xdr, event);
    xdr_destroy(&xdr);
    return whole;
}

static bool
xdr_head(XDR *xdr, head_t *head)
{
    return xdr_int64_t(xdr, &head->now_us) &&
           xdr_uint64_t(xdr, &head->digest) &&
           xdr_uint32_t(xdr, &head->event_bytes);
}
