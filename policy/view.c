/* view.c - queries on a node for operators and callers; see node.h. */
#include <string.h>

#include "policy/private.h"

static node_host_view_t *host_views(const node_t *node, int64_t now_us,
                                    const member_view_t *members, size_t count,
                                    arena_t *arena);
static const char *runner_state_name(const runner_state_t *runner,
                                     int64_t now_us);

node_request_view_t *
node_requests(const node_t *node, int64_t now_us, arena_t *arena,
              size_t *count)
{
    size_t total = HASH_COUNT(node->sessions);
    node_request_view_t *views = arena_array(arena, total, sizeof(*views));
    const session_t *session;
    size_t i = 0;

    for (session = node->sessions; session != NULL;
         session = session->hh.next) {
        node_request_view_t *view = &views[i++];
        const attempt_t *attempt = session->attempts[0] != NULL
                                       ? session->attempts[0]
                                       : session->attempts[1];

        view->organisation = session->organisation;
        view->key = session->key;
        view->model = session->model;
        view->runner = attempt == NULL ? "" : attempt->runner->name;
        view->state = session_state_name(session->state);
        view->attempt = session->attempt_count;
        view->tokens = session->answer.token_count;
        view->age_ms = (now_us - session->arrived_us) / US_PER_MS;
    }
    *count = total;
    return views;
}

node_runner_view_t *
node_runners(const node_t *node, int64_t now_us, arena_t *arena, size_t *count)
{
    size_t total = HASH_COUNT(node->runners.by_name);
    node_runner_view_t *views = arena_array(arena, total, sizeof(*views));
    const runner_state_t *runner;
    size_t i = 0;

    for (runner = node->runners.by_name; runner != NULL;
         runner = runner->hh.next) {
        node_runner_view_t *view = &views[i++];

        view->name = runner->name;
        view->address = runner->address;
        view->zone = runner->zone;
        view->state = runner_state_name(runner, now_us);
        view->streams = runner->streams;
        view->running = runner->running;
        view->waiting = runner->waiting;
        view->losses = runner->losses;
    }
    *count = total;
    return views;
}

node_host_view_t *
node_hosts(const node_t *node, int64_t now_us, arena_t *arena, size_t *count)
{
    const member_view_t *members =
        member_list(node->membership, now_us, arena, count);

    return host_views(node, now_us, members, *count, arena);
}

node_config_view_t *
node_configs(const node_t *node, arena_t *arena, size_t *count)
{
    const config_t *configs = config_sync_list(node->sync, arena, count);
    node_config_view_t *views = arena_array(arena, *count, sizeof(*views));

    for (size_t i = 0; i < *count; i++) {
        views[i].key = configs[i].key;
        views[i].revision = configs[i].revision;
        views[i].text = configs[i].text.text_val;
        views[i].text_bytes = configs[i].text.text_len;
    }
    return views;
}

const char **
node_served_models(const node_t *node, const char *credential, arena_t *arena,
                   size_t *count)
{
    const char *organisation = NULL;
    const config_entry_t *entry;
    const char **names = NULL;
    size_t total = 0;

    *count = 0;
    if (node_role(node, credential, &organisation) != ROLE_ORGANISATION) {
        return NULL;
    }
    for (entry = node->config.by_key; entry != NULL; entry = entry->hh.next) {
        total += entry->contract == NULL ? 0 : entry->contract->model_count;
    }
    names = arena_array(arena, total + 1, sizeof(*names));
    for (entry = node->config.by_key; entry != NULL; entry = entry->hh.next) {
        const contract_t *contract = entry->contract;

        if (contract == NULL ||
            contract_find_organisation(contract, organisation) == NULL) {
            continue;
        }
        for (size_t i = 0; i < contract->model_count; i++) {
            names[(*count)++] = contract->models[i].name;
        }
    }
    return names;
}

node_host_view_t *
node_caller_addresses(const node_t *node, int64_t now_us,
                      uint64_t balance_seed, arena_t *arena, size_t *count)
{
    const member_view_t *members = member_caller_addresses(
        node->membership, now_us, balance_seed, arena, count);

    return host_views(node, now_us, members, *count, arena);
}

bool
node_is_store_watcher(const node_t *node, int64_t now_us)
{
    return config_sync_is_watcher(node->sync, now_us, node->membership);
}

role_t
node_role(const node_t *node, const char *credential, const char **name)
{
    const fleet_t *fleet = config_fleet(&node->config);
    const credential_t *known;

    if (fleet == NULL || credential[0] == '\0') {
        return ROLE_NONE;
    }
    known = fleet_find_credential(fleet, credential);
    if (known == NULL) {
        return ROLE_NONE;
    }
    *name = known->name;
    switch (known->kind) {
    case PRINCIPAL_TEAM:
        return ROLE_TEAM;
    case PRINCIPAL_OPERATOR:
        return ROLE_OPERATOR;
    case PRINCIPAL_ORGANISATION:
        break;
    }
    return ROLE_ORGANISATION;
}

static node_host_view_t *
host_views(const node_t *node, int64_t now_us, const member_view_t *members,
           size_t count, arena_t *arena)
{
    static const char *const states[] = {"live", "suspect", "dead", "leaving"};
    node_host_view_t *views = arena_array(arena, count, sizeof(*views));

    for (size_t i = 0; i < count; i++) {
        const member_view_t *host = &members[i];
        node_host_view_t *view = &views[i];

        view->name = host->host;
        view->zone = host->zone;
        view->address = host->address;
        view->state = states[host->state];
        view->incarnation = host->incarnation;
        view->heard_ms =
            host->heard_us < 0 ? -1 : (now_us - host->heard_us) / US_PER_MS;
        view->config_revision = host->self ? config_sync_revision(node->sync)
                                           : host->config_revision;
        view->config_hash =
            host->self ? config_sync_hash(node->sync) : host->config_hash;
    }
    return views;
}

static const char *
runner_state_name(const runner_state_t *runner, int64_t now_us)
{
    if (!runner->listed || runner->leaving) {
        return "leaving";
    }
    if (runner->down_until_us > now_us) {
        return "down";
    }
    return runner->failures > 0 ? "suspect" : "up";
}
