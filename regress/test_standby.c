/*
 * test_standby.c - hosts that choose standbys in the same moment.
 *
 * Each host of a fleet knows the streams of the others and none of their
 * copies.  When a zone of engines has failed all choose anew at once, and an
 * engine that many chose has no room or no time for all of them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

enum {
    HOSTS = 60,
    ENGINES_MAX = 120,
    NAME_BYTES = 32,
    US_PER_MS = 1000,
};

static const struct {
    const char *name;
    uint32_t engines;
    uint32_t idle; /* of these; the others have a stream each */
    uint32_t most; /* copies that one engine may get */
} cases[] = {
    /* Sixty balls in as many bins, or in thrice as many, at random: 5 and 4
     * in the fullest one are common, 6 are not. */
    {"all are idle", 120, 120, 5},
    {"some started again and have nothing", 120, 4, 5},
    {"one has nothing", 60, 1, 6},
};

/* The engines that the peers' streams are at. */
static void
hear_peer(forward_t *forward, uint32_t first, uint32_t engines)
{
    static placement_t items[LINK_PLACEMENTS_MAX];
    forward_event_t event = {.kind = FORWARD_PEER};
    forward_orders_t orders = {0};
    placements_t placements = {.incarnation = 1, .number = 1};
    char name[NAME_BYTES];
    uint32_t engine;

    for (engine = first; engine < engines; engine++) {
        u_int at = placements.items.items_len;

        (void)snprintf(name, sizeof(name), "e%u", engine);
        items[at] = (placement_t){.runner = XXH3_64bits(name, strlen(name)),
                                  .session = engine};
        placements.items.items_len++;
        if (placements.items.items_len == LINK_PLACEMENTS_MAX ||
            engine + 1 == engines) {
            char host[NAME_BYTES];

            (void)snprintf(host, sizeof(host), "peer%u", engine);
            placements.items.items_val = items;
            event.u.peer.host = host;
            event.u.peer.placements = &placements;
            forward_step(forward, US_PER_MS, &event, &orders);
            placements.items.items_len = 0;
        }
    }
    forward_orders_free(&orders);
}

static forward_t *
open_host(uint32_t engines)
{
    static const char *const zones[] = {"a", "b", "c"};
    forward_t *forward = forwarding_open();
    forward_orders_t orders = {0};
    char name[NAME_BYTES];
    char address[NAME_BYTES];
    uint32_t engine;

    (void)forwarding_do(forward, 0, "routing 1");
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "hosts 60");
    for (engine = 0; engine < engines; engine++) {
        forward_event_t event = {.kind = FORWARD_RUNNER};

        (void)snprintf(name, sizeof(name), "e%u", engine);
        (void)snprintf(address, sizeof(address), "10.0.0.1:%u", engine);
        event.u.runner = (registration_t){.id = name,
                                          .service = "r",
                                          .address = address,
                                          .zone = zones[engine % 3],
                                          .slots = 32};
        forward_step(forward, 0, &event, &orders);
    }
    forward_orders_free(&orders);
    return forward;
}

START_TEST(test_spread)
{
    uint32_t engines = cases[_i].engines;
    uint32_t copies[ENGINES_MAX] = {0};
    uint32_t most = 0;
    int host;
    uint32_t engine;

    for (host = 1; host <= HOSTS; host++) {
        forward_t *forward = open_host(engines);
        char event[NAME_BYTES];
        const char *backup;

        hear_peer(forward, cases[_i].idle, engines);
        (void)snprintf(event, sizeof(event), "request %d stream", host);
        backup = strstr(forwarding_do(forward, 10, event), "backup=10.0.0.1:");
        ck_assert_ptr_nonnull(backup);
        copies[strtoul(strchr(backup, ':') + 1, NULL, 10)]++;
        forward_free(forward);
    }
    for (engine = 0; engine < engines; engine++) {
        most = copies[engine] > most ? copies[engine] : most;
    }
    ck_assert_msg(most <= cases[_i].most, "%s: %u copies at one, bound %u",
                  cases[_i].name, most, cases[_i].most);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("standby");

    tcase_add_loop_test(tcase, test_spread, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return fixture_main("standby", tcase);
}
