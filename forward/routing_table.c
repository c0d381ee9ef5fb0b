/* routing_table.c - decides which routing table is in force. */
#include <inttypes.h>
#include <syslog.h>

#include "base/revision.h"
#include "forward/private.h"

static bool supersedes(const routing_t *next, const routing_t *current);

void
routing_replace(forward_t *forward, routing_t *routing)
{
    if (forward->routing != NULL && !supersedes(routing, forward->routing)) {
        if (routing->revision != forward->routing->revision) {
            emit_log(forward, LOG_INFO, "routing-kept",
                     "version=%" PRId64 " read=%" PRId64 " era=%" PRId64
                     " revision=%" PRId64,
                     forward->routing->version, routing->version,
                     revision_era(routing->revision),
                     revision_number(routing->revision));
        }
        routing_free(routing);
        return;
    }
    route_services_replace(forward, routing);
    routing_free(forward->routing);
    forward->routing = routing;
    emit_log(forward, LOG_INFO, "routing",
             "version=%" PRId64 " revision=%" PRId64 " era=%" PRId64
             " routes=%zu key_policy=%s keys=%u",
             routing->version, revision_number(routing->revision),
             revision_era(routing->revision), routing->route_count,
             key_policy_name(routing->key_policy), HASH_COUNT(routing->keys));
    if (routing->key_policy == KEYS_UNREADABLE) {
        emit_log(forward, LOG_ERR, "keys-unreadable",
                 "version=%" PRId64 " effect=\"no request that needs a key is "
                 "served\" remedy=\"write the list of keys anew\"",
                 routing->version);
    }
    if (routing->keys_skipped > 0) {
        emit_log(forward, LOG_WARNING, "keys-skipped",
                 "version=%" PRId64 " entries=%zu", routing->version,
                 routing->keys_skipped);
    }
}

/*
 * Operators number their tables in order.  Revisions order only writes of one
 * version, and only within an era: a store that was restored from a copy gives
 * them out again.
 */
static bool
supersedes(const routing_t *next, const routing_t *current)
{
    if (next->version != current->version) {
        return next->version > current->version;
    }
    return next->revision != current->revision &&
           !revision_is_older(next->revision, current->revision);
}
