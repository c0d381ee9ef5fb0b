/* journal.c - the log of events, to be replayed through node_step(). */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agated/agated.h"

struct journal {
    FILE *file;
};

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

/* A record: the time, the length of the event, and the event, in XDR. */
void
journal_write(journal_t *journal, int64_t now_us, const event_t *event)
{
    char head[sizeof(int64_t) + sizeof(uint32_t)];
    uint32_t length32;
    size_t length;
    char *bytes = event_encode(event, &length);
    XDR xdr;

    length32 = (uint32_t)length;
    xdrmem_create(&xdr, head, sizeof(head), XDR_ENCODE);
    (void)xdr_int64_t(&xdr, &now_us);
    (void)xdr_uint32_t(&xdr, &length32);
    xdr_destroy(&xdr);
    (void)fwrite(head, sizeof(head), 1, journal->file);
    (void)fwrite(bytes, length, 1, journal->file);
    (void)fflush(journal->file);
    free(bytes);
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
