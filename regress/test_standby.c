/*
 * test_standby.c - hosts that choose standbys at the same time.
 *
 * Each host knows the streams of the other hosts, but not their copies.  When
 * a zone of engines fails, all hosts choose new standbys at once.  If many
 * choose the same engine, it lacks room or time for all the copies.
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
    uint32_t idle;       /* of these; the others have one stream each */
    uint32_t max_copies; /* limit of copies on one engine */
} cases[] = {
    /* If 60 balls are put into 60 or 180 bins at random, a maximum of 5 or 4
     * balls in one bin is common, 6 is not. */
    {"all engines idle", 120, 120, 5},
    {"some engines idle after a restart", 120, 4, 5},
    {"one engine idle", 60, 1, 6},
};

/* Reports one stream of another host on each engine from first on. */
static void
report_peer_streams(forward_t *forward, uint32_t first, uint32_t engines)
{
    static placement_t items[LINK_PLACEMENTS_MAX];
    forward_event_t event = {.kind = FORWARD_PEER_REPORT};
    forward_actions_t actions = {0};
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
            forward_step(forward, US_PER_MS, &event, &actions);
            placements.items.items_len = 0;
        }
    }
    forward_actions_free(&actions);
}

static forward_t *
forward_with_engines(uint32_t engines)
{
    static const char *const zones[] = {"a", "b", "c"};
    forward_t *forward = forwarding_open();
    forward_actions_t actions = {0};
    char name[NAME_BYTES];
    char address[NAME_BYTES];
    uint32_t engine;

    (void)forwarding_do(forward, 0, "routing 1");
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "hosts 60");
    for (engine = 0; engine < engines; engine++) {
        forward_event_t event = {.kind = FORWARD_RUNNER_REGISTERED};

        (void)snprintf(name, sizeof(name), "e%u", engine);
        (void)snprintf(address, sizeof(address), "10.0.0.1:%u", engine);
        event.u.runner = (registration_t){.id = name,
                                          .service = "r",
                                          .address = address,
                                          .zone = zones[engine % 3],
                                          .slots = 32};
        forward_step(forward, 0, &event, &actions);
    }
    forward_actions_free(&actions);
    return forward;
}

START_TEST(test_standbys_are_spread)
{
    uint32_t engines = cases[_i].engines;
    uint32_t copies[ENGINES_MAX] = {0};
    uint32_t max_copies = 0;
    int host;
    uint32_t engine;

    for (host = 1; host <= HOSTS; host++) {
        forward_t *forward = forward_with_engines(engines);
        char event[NAME_BYTES];
        const char *backup;

        report_peer_streams(forward, cases[_i].idle, engines);
        (void)snprintf(event, sizeof(event), "request %d stream", host);
        backup = strstr(forwarding_do(forward, 10, event), "backup=10.0.0.1:");
        ck_assert_ptr_nonnull(backup);
        copies[strtoul(strchr(backup, ':') + 1, NULL, 10)]++;
        forward_free(forward);
    }
    for (engine = 0; engine < engines; engine++) {
        max_copies = copies[engine] > max_copies ? copies[engine] : max_copies;
    }
    ck_assert_msg(max_copies <= cases[_i].max_copies,
                  "%s: %u copies on one engine, limit %u", cases[_i].name,
                  max_copies, cases[_i].max_copies);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("standby");

    tcase_add_loop_test(tcase, test_standbys_are_spread, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return fixture_main("standby", tcase);
}
