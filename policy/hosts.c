/* hosts.c - handles messages of other hosts, the host list and documents. */
#include <string.h>

#include "policy/private.h"

static member_status_t own_status(const node_t *node);
static void update_readiness(node_t *node, const heartbeat_t *heartbeat);
static void mark_leaving_runners(node_t *node, const host_list_event_t *hosts);
static void apply_document(step_t *step, const config_t *config);

void
hosts_init(step_t *step)
{
    node_t *node = step->node;

    node->membership = member_new(step->now_us, &node->start);
    node->sync = config_sync_new(step->now_us, &node->start);
    node->record_store = record_store_new(0);
}

void
hosts_free(node_t *node)
{
    if (!node->started) {
        return;
    }
    member_free(node->membership);
    config_sync_free(node->sync);
    record_store_free(node->record_store);
}

void
hosts_handle_list(step_t *step, const host_list_event_t *hosts)
{
    member_update_listed(step->node->membership, step->now_us, hosts,
                         step->actions);
    mark_leaving_runners(step->node, hosts);
}

void
hosts_handle_message(step_t *step, const peer_message_event_t *peer)
{
    node_t *node = step->node;
    const message_t *message = &peer->message;
    member_status_t status = own_status(node);

    switch (message->kind) {
    case MESSAGE_HEARTBEAT:
        update_readiness(node, &message->message_t_u.heartbeat);
        member_receive_heartbeat(node->membership, step->now_us, peer->host,
                                 &message->message_t_u.heartbeat, &status,
                                 step->actions);
        break;
    case MESSAGE_CONFIG:
        hosts_apply_config(step, peer->host, &message->message_t_u.config);
        break;
    case MESSAGE_CONFIG_DIGEST:
        config_sync_receive_digest(node->sync, step->now_us, peer->host,
                                   &message->message_t_u.config_digest,
                                   step->actions);
        break;
    case MESSAGE_RECORD:
        record_store_update(node->record_store, step->now_us, peer->host,
                            &message->message_t_u.record, step->actions);
        break;
    case MESSAGE_RECORD_GAP:
        replication_handle_gap(step, peer->host,
                               &message->message_t_u.record_gap);
        break;
    case MESSAGE_PLACEMENTS: /* used only between hosts in gateway mode */
    case MESSAGE_STORE_POLL:
    case MESSAGE_STORE_CHANGES:
    case MESSAGE_STORE_FETCH:
    case MESSAGE_STORE_PARTS:
    case MESSAGE_SPREAD:
        return;
    case MESSAGE_RECORD_ACK:
        replication_handle_ack(step, peer->host,
                               &message->message_t_u.record_ack);
        break;
    case MESSAGE_LOOKUP:
        takeover_handle_lookup(step, peer->host, &message->message_t_u.lookup);
        break;
    case MESSAGE_LOOKUP_REPLY:
        takeover_handle_found(step, peer->host, &message->message_t_u.found);
        break;
    case MESSAGE_SUPERSEDED:
        takeover_handle_superseded(step, &message->message_t_u.superseded);
        break;
    case MESSAGE_SUSPECT:
        suspects_handle_report(node->suspects, step->now_us,
                               &message->message_t_u.suspect);
        break;
    }
}

/* Handles a document from the store (from is NULL) or from a host. */
void
hosts_apply_config(step_t *step, const char *from, const config_t *config)
{
    node_t *node = step->node;

    if (config_sync_receive(node->sync, step->now_us, from, config,
                            node->membership, step->actions)) {
        apply_document(step, config);
    }
}

void
hosts_announce_leaving(step_t *step)
{
    member_status_t status = own_status(step->node);

    member_announce_leaving(step->node->membership, step->now_us, &status,
                            step->actions);
}

void
hosts_handle_timer(step_t *step)
{
    node_t *node = step->node;
    member_status_t status = own_status(node);

    if (member_due_us(node->membership) <= step->now_us) {
        member_handle_timer(node->membership, step->now_us, &status,
                            step->actions);
    }
    if (config_sync_due_us(node->sync) <= step->now_us) {
        config_sync_handle_timer(node->sync, step->now_us, node->membership,
                                 step->actions);
    }
    if (record_store_due_us(node->record_store) <= step->now_us) {
        record_store_expire(node->record_store, step->now_us);
    }
}

int64_t
hosts_due_us(const node_t *node)
{
    int64_t member_us = member_due_us(node->membership);
    int64_t spread_us = config_sync_due_us(node->sync);

    int64_t record_store_us = record_store_due_us(node->record_store);
    int64_t first_us = member_us < spread_us ? member_us : spread_us;

    return first_us < record_store_us ? first_us : record_store_us;
}

static member_status_t
own_status(const node_t *node)
{
    member_status_t status = {
        .sessions = (uint32_t)node->active_sessions,
        .config_revision = config_sync_revision(node->sync),
        .config_hash = config_sync_hash(node->sync),
    };

    return status;
}

/* A host is ready once it has the same configuration as another host. */
static void
update_readiness(node_t *node, const heartbeat_t *heartbeat)
{
    if (config_sync_revision(node->sync) > 0 &&
        heartbeat->config_hash == config_sync_hash(node->sync)) {
        node->ready = true;
    }
}

/*
 * The platform's host list contains backend hosts too.  A leaving one gets no
 * new streams.
 */
static void
mark_leaving_runners(node_t *node, const host_list_event_t *hosts)
{
    runner_state_t *runner;

    for (runner = node->runners.by_name; runner != NULL;
         runner = runner->hh.next) {
        runner->leaving = false;
    }
    for (u_int i = 0; i < hosts->hosts.hosts_len; i++) {
        const host_entry_t *host = &hosts->hosts.hosts_val[i];

        runner = runners_find(&node->runners, host->host);
        if (runner != NULL) {
            runner->leaving = host->leaving;
        }
    }
}

static void
apply_document(step_t *step, const config_t *config)
{
    node_t *node = step->node;
    err_t err = {0};

    if (config_apply(&node->config, config, &err) < 0) {
        actions_append_log(step->actions, LOG_ERR,
                           "document refused revision=%lld %s",
                           (long long)config->revision, err.message);
        return;
    }
    actions_append_log(step->actions, LOG_INFO,
                       "document in force key=%s revision=%lld", config->key,
                       (long long)config->revision);
    if (config_fleet(&node->config) != NULL &&
        strcmp(config->key, CONFIG_FLEET_KEY) == 0) {
        runners_update(&node->runners, config_fleet(&node->config));
    }
    queue_start_sessions(step);
}
