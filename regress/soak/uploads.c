/* uploads.c - uploads that are answered before they have been read. */
#include <stdio.h>
#include <string.h>

#include "regress/soak/soak.h"

enum { FOR_LEAST_MS = 300, FOR_SPREAD_MS = 1500, ID_BYTES = 64 };

static size_t answering;  /* the runner whose link answers */
static uint64_t until_ms; /* 0: none does */

void
uploads_begin(void)
{
    size_t runner = runners_count() - 1 - soak_chance(SOAK_PLAIN);

    if (until_ms > 0 || proxy_mode(runner_proxy(runner)) != LINK_PASSES) {
        return;
    }
    answering = runner;
    until_ms = soak_now_ms() + FOR_LEAST_MS + soak_chance(FOR_SPREAD_MS);
    proxy_set_mode(runner_proxy(runner), LINK_EARLY);
    soak_note("early answers of runner %zu", runner);
}

void
uploads_heal(void)
{
    if (until_ms > 0 && proxy_mode(runner_proxy(answering)) == LINK_EARLY) {
        proxy_set_mode(runner_proxy(answering), LINK_PASSES);
    }
    until_ms = 0;
}

void
uploads_tick(void)
{
    if (until_ms > 0 && soak_now_ms() >= until_ms) {
        uploads_heal();
    }
}

size_t
uploads_answer(const char *request, size_t length, char *answer, size_t room)
{
    static const char name[] = "Attempt-Id: ";
    char head[SOAK_UPLOAD_HEAD_BYTES];
    char id[ID_BYTES];
    const char *at;

    (void)snprintf(head, sizeof(head), "%.*s", (int)length, request);
    at = strstr(head, name);
    if (at == NULL || strncmp(head, "POST ", 5) != 0 ||
        sscanf(at + strlen(name), "%63s", id) != 1) {
        return 0;
    }
    return (size_t)snprintf(answer, room,
                            "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                            "Server-Stamp: early\r\n\r\npart",
                            id);
}
