/* hosts.c - handles messages of other hosts, the host list and documents. */
#include <string.h>

#include "policy/private.h"

static member_self_t own_status(const node_t *node);
static void update_readiness(node_t *node, const heartbeat_t *heartbeat);
static void mark_leaving_runners(node_t *node, const hosts_event_t *hosts);
static void apply_document(step_t *step, const config_t *config);

void
hosts_start(step_t *step)
{
    node_t *node = step->node;

    node->member = member_new(step->now_us, &node->start);
    node->spread = spread_new(step->now_us, &node->start);
    node->keep = keep_new(0);
}

void
hosts_free(node_t *node)
{
    if (!node->started) {
        return;
    }
    member_free(node->member);
    spread_free(node->spread);
    keep_free(node->keep);
}

void
hosts_listed(step_t *step, const hosts_event_t *hosts)
{
    member_hosts(step->node->member, step->now_us, hosts, step->orders);
    mark_leaving_runners(step->node, hosts);
}

void
hosts_message(step_t *step, const peer_event_t *peer)
{
    node_t *node = step->node;
    const message_t *message = &peer->message;
    member_self_t status = own_status(node);

    switch (message->kind) {
    case MESSAGE_HEARTBEAT:
        update_readiness(node, &message->message_t_u.heartbeat);
        member_heartbeat(node->member, step->now_us, peer->host,
                         &message->message_t_u.heartbeat, &status,
                         step->orders);
        break;
    case MESSAGE_CONFIG:
        hosts_config(step, peer->host, &message->message_t_u.config);
        break;
    case MESSAGE_CONFIG_DIGEST:
        spread_digest(node->spread, step->now_us, peer->host,
                      &message->message_t_u.config_digest, step->orders);
        break;
    case MESSAGE_RECORD:
        keep_record(node->keep, step->now_us, peer->host,
                    &message->message_t_u.record, step->orders);
        break;
    case MESSAGE_RECORD_GAP:
        record_gap(step, peer->host, &message->message_t_u.record_gap);
        break;
    case MESSAGE_PLACEMENTS: /* used only between hosts in gateway mode */
    case MESSAGE_STORE_ASK:
    case MESSAGE_STORE_TELL:
        return;
    case MESSAGE_RECORD_HELD:
        record_held(step, peer->host, &message->message_t_u.record_held);
        break;
    case MESSAGE_LOOKUP:
        takeover_lookup(step, peer->host, &message->message_t_u.lookup);
        break;
    case MESSAGE_FOUND:
        takeover_found(step, &message->message_t_u.found);
        break;
    case MESSAGE_SUPERSEDED:
        takeover_superseded(step, &message->message_t_u.superseded);
        break;
    case MESSAGE_SUSPECT:
        suspects_note(node->suspects, step->now_us,
                      &message->message_t_u.suspect);
        break;
    }
}

/* Handles a document from the store (from is NULL) or from a host. */
void
hosts_config(step_t *step, const char *from, const config_t *config)
{
    node_t *node = step->node;

    if (spread_config(node->spread, step->now_us, from, config, node->member,
                      step->orders)) {
        apply_document(step, config);
    }
}

void
hosts_leave(step_t *step)
{
    member_self_t status = own_status(step->node);

    member_leave(step->node->member, step->now_us, &status, step->orders);
}

void
hosts_timer(step_t *step)
{
    node_t *node = step->node;
    member_self_t status = own_status(node);

    if (member_due_us(node->member) <= step->now_us) {
        member_timer(node->member, step->now_us, &status, step->orders);
    }
    if (spread_due_us(node->spread) <= step->now_us) {
        spread_timer(node->spread, step->now_us, node->member, step->orders);
    }
    if (keep_due_us(node->keep) <= step->now_us) {
        keep_timer(node->keep, step->now_us);
    }
}

int64_t
hosts_due_us(const node_t *node)
{
    int64_t member_us = member_due_us(node->member);
    int64_t spread_us = spread_due_us(node->spread);

    int64_t keep_us = keep_due_us(node->keep);
    int64_t first_us = member_us < spread_us ? member_us : spread_us;

    return first_us < keep_us ? first_us : keep_us;
}

static member_self_t
own_status(const node_t *node)
{
    member_self_t status = {
        .sessions = (uint32_t)node->active,
        .config_revision = spread_revision(node->spread),
        .config_hash = spread_hash(node->spread),
    };

    return status;
}

/* A host is ready once it has the same configuration as another host. */
static void
update_readiness(node_t *node, const heartbeat_t *heartbeat)
{
    if (spread_revision(node->spread) > 0 &&
        heartbeat->config_hash == spread_hash(node->spread)) {
        node->ready = true;
    }
}

/*
 * The platform's host list contains backend hosts too.  A leaving one gets no
 * new streams.
 */
static void
mark_leaving_runners(node_t *node, const hosts_event_t *hosts)
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

    if (config_take(&node->config, config, &err) < 0) {
        orders_log(step->orders, LOG_ERR, "document refused revision=%lld %s",
                   (long long)config->revision, err.message);
        return;
    }
    orders_log(step->orders, LOG_INFO,
               "document in force key=%s revision=%lld", config->key,
               (long long)config->revision);
    if (config_fleet(&node->config) != NULL &&
        strcmp(config->key, CONFIG_FLEET_KEY) == 0) {
        runners_update(&node->runners, config_fleet(&node->config));
    }
    queue_pump(step);
}
