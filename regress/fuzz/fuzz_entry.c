/* fuzz_entry.c - any bytes as an entry of a runner, its report, or the routing
 * table. */
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "platform/documents.h"
#include "regress/fuzz/fuzz.h"

enum { KINDS = 3 };

static void
read_entry(arena_t *arena, const char *json, size_t length)
{
    registration_t entry;
    struct sockaddr_storage address;
    err_t err = {0};

    if (platform_read_registration(arena, "servers/r", json, length, &entry,
                                   &err) < 0) {
        if (err.message[0] == '\0') {
            abort();
        }
        return;
    }
    if (entry.service[0] == '\0' || strpbrk(entry.zone, "\r\n") != NULL ||
        address_parse(entry.address, &address, &err) < 0) {
        abort();
    }
}

/* The first byte chooses the kind of document. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const char *json = (const char *)data + 1;
    arena_t arena = {0};
    err_t err = {0};
    runner_report_t report;

    if (size < 1) {
        return 0;
    }
    switch (data[0] % KINDS) {
    case 0:
        read_entry(&arena, json, size - 1);
        break;
    case 1:
        (void)platform_read_report(&arena, json, size - 1, &report);
        break;
    default:
        routing_free(platform_read_routing(json, size - 1, &err));
        break;
    }
    arena_free(&arena);
    return 0;
}
