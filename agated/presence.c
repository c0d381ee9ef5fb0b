/* presence.c - publishes this host's entry in the platform's store. */
#include <inttypes.h>

#include "agated/agated.h"

enum { LEASE_TTL_S = 30, KEEPALIVE_INTERVAL_MS = 10000 };

static char *format_presence(daemon_t *daemon, arena_t *arena, bool leaving);

presence_t *
host_presence_new(daemon_t *daemon)
{
    arena_t arena = {0};
    presence_settings_t settings = {
        .loop = daemon->loop,
        .kv = daemon->platform,
        .key = arena_printf(&arena, "/agatevale/hosts/%s",
                            daemon->settings->host),
        .ttl_s = LEASE_TTL_S,
        .interval_ms = KEEPALIVE_INTERVAL_MS,
    };
    presence_t *presence =
        presence_new(&settings, format_presence(daemon, &arena, false));

    arena_free(&arena);
    return presence;
}

void
host_presence_set_leaving(daemon_t *daemon)
{
    arena_t arena = {0};

    presence_set_value(daemon->presence,
                       format_presence(daemon, &arena, true));
    arena_free(&arena);
}

static char *
format_presence(daemon_t *daemon, arena_t *arena, bool leaving)
{
    const peers_t *peers = daemon->peers;

    return arena_printf(
        arena, "zone=%s address=%s peer=%s incarnation=%" PRIu64 " leaving=%d",
        daemon->settings->zone, listener_address(daemon->listener),
        peers == NULL ? "" : peers_address(peers), daemon->incarnation,
        leaving ? 1 : 0);
}
