/* fuzz_toml.c - any bytes as the operators' document and as a team's. */
#include <stdlib.h>

#include "regress/fuzz/fuzz.h"
#include "world/contract.h"
#include "world/fleet.h"

/* What is refused says why. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    arena_t arena = {0};
    err_t err = {0};

    if (contract_parse(&arena, "f", (const char *)data, size, &err) == NULL &&
        err.message[0] == '\0') {
        abort();
    }
    err = (err_t){0};
    if (fleet_parse(&arena, "f", (const char *)data, size, &err) == NULL &&
        err.message[0] == '\0') {
        abort();
    }
    arena_free(&arena);
    return 0;
}
