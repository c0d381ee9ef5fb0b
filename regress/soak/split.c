/* split.c - engines of several services behind one route, whose shares change.
 */
#include <stdio.h>

#include "regress/soak/soak.h"

enum { SERVICES = 3, WEIGHTS = 3, TEXT_BYTES = 256 };

static const char *const names[SERVICES] = {"engine", "engine1", "engine2"};
static uint32_t weights[SERVICES] = {1, 1, 1};
static bool left[SERVICES]; /* the route */

/* Each has runners in all zones. */
uint32_t
split_service(size_t runner)
{
    return soak_plays(SOAK_SPLIT) ? runner / SERVICES % SERVICES : 0;
}

const char *
split_service_name(uint32_t service)
{
    return names[service];
}

const char *
split_shares(void)
{
    static char text[TEXT_BYTES];
    size_t length;
    size_t i;

    if (!soak_plays(SOAK_SPLIT)) {
        return "\"Service\":\"engine\"";
    }
    length = (size_t)snprintf(text, sizeof(text), "\"Backends\":[");
    for (i = 0; i < SERVICES; i++) {
        if (!left[i]) {
            length += (size_t)snprintf(text + length, sizeof(text) - length,
                                       "%s{\"Service\":\"%s\",\"Weight\":%u}",
                                       text[length - 1] == '[' ? "" : ",",
                                       names[i], weights[i]);
        }
    }
    (void)snprintf(text + length, sizeof(text) - length, "]");
    return text;
}

/* One service at least keeps a weight. */
void
split_change(void)
{
    size_t kept = soak_chance(SERVICES);
    size_t i;

    for (i = 0; i < SERVICES; i++) {
        weights[i] = (uint32_t)soak_chance(WEIGHTS) + (i == kept ? 1 : 0);
        left[i] = i != kept && soak_chance(4) == 0;
    }
    soak_note("shares: %s", split_shares());
    soak_write_routes();
}
