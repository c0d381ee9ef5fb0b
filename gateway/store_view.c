/* store_view.c - passes the store's keys to the modules that use them. */
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "base/revision.h"
#include "gateway/gateway.h"

static void raise_event(gateway_t *gateway, forward_event_kind_t kind);
static void apply_routing(gateway_t *gateway, const kv_pair_t *pair);
static void apply_change(gateway_t *gateway, const kv_pair_t *pair,
                         bool restored);
static void apply_runner(gateway_t *gateway, const kv_pair_t *pair,
                         bool restored);
static void apply_record(gateway_t *gateway, const kv_pair_t *pair);
static void apply_rollout_order(gateway_t *gateway, const kv_pair_t *pair);
static void apply_rollout_status(gateway_t *gateway, const kv_pair_t *pair);
static bool starts_with(const char *text, const char *prefix);

/* Keys that are known but absent from the list have been removed. */
void
store_view_load(gateway_t *gateway, int64_t revision, const kv_pair_t *pairs,
                size_t count)
{
    bool peer_key_found = false;
    arena_t arena = {0};
    const char *own_key = directory_own_key(gateway, &arena);
    int64_t known_revision = mirror_revision(gateway->mirror);
    bool restored =
        known_revision != 0 && !revision_same_era(known_revision, revision);
    int64_t own_revision = 0;
    size_t i;

    if (restored) {
        log_event(LOG_NOTICE, "store-restored",
                  "era=%" PRId64 " revision=%" PRId64 " era_before=%" PRId64
                  " revision_before=%" PRId64 " items=%zu",
                  revision_era(revision), revision_number(revision),
                  revision_era(known_revision),
                  revision_number(known_revision), count);
        raise_event(gateway, FORWARD_STORE_RESTORED);
    }
    mirror_load_begin(gateway->mirror, revision);
    raise_event(gateway, FORWARD_REGISTRY_BEGIN);
    directory_reload_begin(gateway->directory);
    for (i = 0; i < count; i++) {
        peer_key_found =
            peer_key_found || strcmp(pairs[i].key, peering_key_name()) == 0;
        if (strcmp(pairs[i].key, own_key) == 0) {
            own_revision = pairs[i].mod_revision;
        }
        apply_change(gateway, &pairs[i],
                     restored &&
                         mirror_is_removed(gateway->mirror, pairs[i].key));
    }
    mirror_load_end(gateway->mirror);
    directory_reload_end(gateway->directory, restored);
    if (!peer_key_found) {
        peering_set_key(gateway->peering, NULL, 0);
    }
    raise_event(gateway, FORWARD_REGISTRY_END);
    gateway_register(gateway, own_revision);
    arena_free(&arena);
}

void
store_view_apply(gateway_t *gateway, const kv_pair_t *pair)
{
    apply_change(gateway, pair, false);
}

/* restored: the key had been removed before the store was restored. */
static void
apply_change(gateway_t *gateway, const kv_pair_t *pair, bool restored)
{
    const dialect_ops_t *dialect = gateway->dialect->ops;
    bool removed = pair->create_revision == 0;

    if (!forward_is_stream_record(pair->key)) {
        mirror_apply(gateway->mirror, pair);
    }
    if (strcmp(pair->key, dialect->routing_key) == 0) {
        if (!removed) {
            apply_routing(gateway, pair);
        }
    }
    else if (starts_with(pair->key, dialect->registry_prefix)) {
        apply_runner(gateway, pair, restored);
    }
    else if (starts_with(pair->key, directory_prefix())) {
        directory_update(gateway->directory, pair->key,
                         removed ? NULL : pair->value, pair->value_bytes);
    }
    else if (forward_is_record(pair->key)) {
        apply_record(gateway, pair);
    }
    else if (starts_with(pair->key, dialect->rollout_order_prefix)) {
        apply_rollout_order(gateway, pair);
    }
    else if (starts_with(pair->key, dialect->rollout_status_prefix)) {
        apply_rollout_status(gateway, pair);
    }
    else if (strcmp(pair->key, peering_key_name()) == 0 && !removed) {
        peering_set_key(gateway->peering, pair->value, pair->value_bytes);
    }
}

static void
raise_event(gateway_t *gateway, forward_event_kind_t kind)
{
    forward_event_t event = {.kind = kind};

    forwarding_handle_event(gateway, &event);
}

static void
apply_routing(gateway_t *gateway, const kv_pair_t *pair)
{
    err_t err;
    forward_event_t event = {.kind = FORWARD_ROUTING};
    routing_t *routing = gateway->dialect->ops->parse_routing_table(
        pair->value, pair->value_bytes, &err);
    const routing_t *in_force;

    if (routing == NULL) {
        log_event(LOG_ERR, "routing-invalid",
                  "era=%" PRId64 " revision=%" PRId64 " reason=\"%s\"",
                  revision_era(pair->mod_revision),
                  revision_number(pair->mod_revision), err.message);
        meters_count_routing_rejected(gateway->meters);
        return;
    }
    routing->revision = pair->mod_revision;
    event.u.routing = routing;
    forwarding_handle_event(gateway, &event);
    in_force = forward_routing(forwarding_state(gateway));
    front_set_limits(gateway->front, &in_force->limits);
    meters_set_routing(gateway->meters, in_force);
}

static void
apply_runner(gateway_t *gateway, const kv_pair_t *pair, bool restored)
{
    const dialect_ops_t *dialect = gateway->dialect->ops;
    forward_event_t event = {.kind = FORWARD_RUNNER_REGISTERED};
    arena_t arena = {0};
    err_t err;

    if (pair->create_revision == 0 ||
        dialect->parse_registry_entry(&arena, pair->key, pair->value,
                                      pair->value_bytes, &event.u.runner,
                                      &err) < 0) {
        if (pair->create_revision != 0) {
            log_event(LOG_WARNING, "registration-invalid", "reason=\"%s\"",
                      err.message);
        }
        event.kind = FORWARD_RUNNER_DEREGISTERED;
        event.u.deregistered_id = pair->key + strlen(dialect->registry_prefix);
    }
    else {
        event.u.runner.restored = restored;
    }
    forwarding_handle_event(gateway, &event);
    arena_free(&arena);
}

static void
apply_record(gateway_t *gateway, const kv_pair_t *pair)
{
    arena_t arena = {0};
    bool removed = pair->create_revision == 0;
    forward_event_t event = {.kind = FORWARD_RECORD};

    event.u.record = (forward_record_t){
        .key = pair->key,
        .value = removed
                     ? NULL
                     : arena_strndup(&arena, pair->value, pair->value_bytes),
        .revision = removed ? 0 : pair->mod_revision,
    };
    forwarding_handle_event(gateway, &event);
    arena_free(&arena);
}

/* An order that cannot be read is passed on as far as it can. */
static void
apply_rollout_order(gateway_t *gateway, const kv_pair_t *pair)
{
    const dialect_ops_t *dialect = gateway->dialect->ops;
    forward_event_t event = {.kind = FORWARD_ROLLOUT_ORDER};
    arena_t arena = {0};
    err_t err;

    event.u.order = (rollout_order_t){
        .service = pair->key + strlen(dialect->rollout_order_prefix)};
    if (pair->create_revision != 0) {
        event.u.order.revision = pair->mod_revision;
        if (dialect->parse_rollout_order(&arena, pair->value,
                                         pair->value_bytes, &event.u.order,
                                         &err) < 0) {
            log_event(LOG_WARNING, "rollout-order-invalid",
                      "key=%s reason=\"%s\"", pair->key, err.message);
        }
    }
    forwarding_handle_event(gateway, &event);
    arena_free(&arena);
}

static void
apply_rollout_status(gateway_t *gateway, const kv_pair_t *pair)
{
    arena_t arena = {0};
    forward_event_t event = {.kind = FORWARD_ROLLOUT_STATUS};

    records_read_status(gateway, &arena, pair, &event.u.status);
    forwarding_handle_event(gateway, &event);
    arena_free(&arena);
}

static bool
starts_with(const char *text, const char *prefix)
{
    return strncmp(text, prefix, strlen(prefix)) == 0;
}
