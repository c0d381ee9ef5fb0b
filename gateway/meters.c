/* meters.c - the metrics of the gateway: counters, gauges and histograms. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/log.h"
#include "base/metric.h"
#include "gateway/gateway.h"

enum { US_PER_S = 1000000, ROLLOUTS_SHOWN_MAX = 16 };

struct meters {
    metric_set_t *set;
    metric_family_t *requests;
    metric_family_t *first_response;
    metric_family_t *longest_gap;
    metric_family_t *resume_gap;
    metric_family_t *sends;
    metric_family_t *relays;
    metric_family_t *probes;
    metric_family_t *copies;
    metric_family_t *records;
    metric_family_t *record_bytes;
    metric_family_t *view_confirmations;
    metric_family_t *rollout_responses;
    metric_family_t *rollout_phases;
    metric_family_t *connections_closed;
    metric_family_t *responses_too_large;
    metric_family_t *store_bytes;
    metric_family_t *values_received;
    metric_family_t *received_bytes;
    metric_family_t *routing_age;
    metric_family_t *routing_rejected;
    metric_family_t *key_policies;
    metric_family_t *keys;
    metric_family_t *log_lines_dropped;
};

static metric_family_t *new_histogram(metric_set_t *set, const char *name,
                                      const char *help, const char *label);
static void add_limit_families(meters_t *meters);
static void add_rollout_families(meters_t *meters);
static void add_store_families(meters_t *meters);
static void add_routing_families(meters_t *meters);
static const char *request_type_name(request_type_t type);
static void count_relay(meters_t *meters, const char *direction);
static void count_record(meters_t *meters, const forward_record_t *record);

meters_t *
meters_new(void)
{
    meters_t *meters = xcalloc(1, sizeof(*meters));
    metric_set_t *set = metric_set_new();

    meters->set = set;
    meters->requests = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_requests_total",
                              .help = "Requests that ended.",
                              .labels = {"type", "outcome", "reason"}});
    meters->first_response = new_histogram(
        set, "agatevale_first_answer_seconds",
        "From arrival to the answer or its first event.", "type");
    meters->longest_gap = new_histogram(
        set, "agatevale_longest_gap_seconds",
        "The longest time between two events of a stream.", "type");
    meters->resume_gap = new_histogram(
        set, "agatevale_resume_seconds",
        "From the last event before a loss to the next one.", "copy");
    meters->sends = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_sends_total",
                              .help = "Requests sent to runners.",
                              .labels = {"attempt"}});
    meters->relays = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_relays_total",
                              .help = "Requests relayed between hosts.",
                              .labels = {"direction"}});
    meters->probes = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_probes_total",
                              .help = "Runners asked for a sign of life."});
    meters->copies = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_copies_total",
                              .help = "Copies of memory asked for."});
    meters->records = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_records_written_total",
                              .help = "Records of versions and streams "
                                      "written to the store.",
                              .labels = {"kind"}});
    meters->record_bytes = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_record_bytes_total",
                              .help = "Bytes of these records.",
                              .labels = {"kind"}});
    meters->view_confirmations = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_view_confirmations_total",
                              .help = "Views of the store that got too old "
                                      "and were confirmed with it."});
    add_rollout_families(meters);
    add_limit_families(meters);
    add_store_families(meters);
    add_routing_families(meters);
    meters->log_lines_dropped = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_log_lines_dropped",
                              .help = "Log lines that were left out."});
    return meters;
}

static void
add_limit_families(meters_t *meters)
{
    meters->connections_closed = metric_family_new(
        meters->set,
        &(metric_spec_t){.kind = METRIC_COUNTER,
                         .name = "agatevale_connections_closed_total",
                         .help = "Connections closed or refused to stay "
                                 "within the limits.",
                         .labels = {"reason"}});
    meters->responses_too_large = metric_family_new(
        meters->set,
        &(metric_spec_t){.kind = METRIC_COUNTER,
                         .name = "agatevale_responses_too_large_total",
                         .help = "Responses of runners that were cut off "
                                 "at a limit.",
                         .labels = {"limit"}});
}

static void
add_store_families(meters_t *meters)
{
    metric_set_t *set = meters->set;

    meters->store_bytes = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_store_sent_bytes",
                              .help = "Values of the store that other hosts "
                                      "were sent, since the start.",
                              .labels = {"form"}});
    meters->values_received = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_store_values_received",
                              .help = "Large values of the store made by "
                                      "patches of other hosts, since the "
                                      "start."});
    meters->received_bytes = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_store_received_bytes",
                              .help = "Bytes of these patches, and of the "
                                      "values that they made.",
                              .labels = {"of"}});
}

static void
add_routing_families(meters_t *meters)
{
    metric_set_t *set = meters->set;

    meters->routing_age = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_routing_age_seconds",
                              .help = "Since the routing table was last known "
                                      "to be in force."});
    meters->routing_rejected = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_COUNTER,
                              .name = "agatevale_routing_rejected_total",
                              .help = "Routing tables that could not be "
                                      "read."});
    meters->key_policies = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_key_policy",
                              .help = "1 for what the routing table says of "
                                      "keys.",
                              .labels = {"policy"}});
    meters->keys = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_keys",
                              .help = "Keys in the routing table, and entries "
                                      "that could not be read.",
                              .labels = {"state"}});
}

static void
add_rollout_families(meters_t *meters)
{
    metric_set_t *set = meters->set;

    meters->rollout_responses = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_rollout_responses",
                              .help = "Responses judged since the order of "
                                      "the last roll-out.",
                              .labels = {"service", "version", "result"}});
    meters->rollout_phases = metric_family_new(
        set, &(metric_spec_t){.kind = METRIC_GAUGE,
                              .name = "agatevale_rollout_phase",
                              .help = "1 for the phase of the last roll-out.",
                              .labels = {"service", "phase"}});
}

void
meters_free(meters_t *meters)
{
    if (meters != NULL) {
        metric_set_free(meters->set);
        free(meters);
    }
}

void
meters_count_action(meters_t *meters, const forward_action_t *action)
{
    const request_record_t *ended = &action->u.ended;
    const char *type;

    switch (action->kind) {
    case FORWARD_ACTION_SEND:
        if (action->u.send.host != NULL) {
            count_relay(meters, "sent");
            return;
        }
        metric_add(metric_series(meters->sends,
                                 (const char *[]){action->u.send.attempt == 1
                                                      ? "first"
                                                      : "repeat"}),
                   1);
        return;
    case FORWARD_ACTION_PROBE:
        metric_add(metric_series(meters->probes, NULL), 1);
        return;
    case FORWARD_ACTION_COPY:
        metric_add(metric_series(meters->copies, NULL), 1);
        return;
    case FORWARD_ACTION_CONFIRM_VIEW:
        metric_add(metric_series(meters->view_confirmations, NULL), 1);
        return;
    case FORWARD_ACTION_PUT_RECORD:
        count_record(meters, &action->u.record);
        return;
    case FORWARD_ACTION_RECORD_RESUME:
        metric_observe(
            metric_series(
                meters->resume_gap,
                (const char *[]){action->u.resumed.restored ? "yes" : "no"}),
            (double)action->u.resumed.gap_us / US_PER_S);
        return;
    case FORWARD_ACTION_RECORD_END:
        type = request_type_name(ended->type);
        metric_add(metric_series(
                       meters->requests,
                       (const char *[]){type, ended->outcome, ended->reason}),
                   1);
        if (ended->first_response_us >= 0) {
            metric_observe(
                metric_series(meters->first_response, (const char *[]){type}),
                (double)ended->first_response_us / US_PER_S);
        }
        if (ended->type == REQUEST_STREAM && ended->gap_max_us > 0) {
            metric_observe(
                metric_series(meters->longest_gap, (const char *[]){type}),
                (double)ended->gap_max_us / US_PER_S);
        }
        return;
    default:
        return;
    }
}

static void
count_record(meters_t *meters, const forward_record_t *record)
{
    const char *const labels[] = {
        forward_is_stream_record(record->key) ? "streams" : "versions"};

    metric_add(metric_series(meters->records, labels), 1);
    if (record->value != NULL) {
        metric_add(metric_series(meters->record_bytes, labels),
                   (double)strlen(record->value));
    }
}

void
meters_count_relay_received(meters_t *meters)
{
    count_relay(meters, "received");
}

void
meters_count_closed(meters_t *meters, const char *reason)
{
    metric_add(
        metric_series(meters->connections_closed, (const char *[]){reason}),
        1);
}

void
meters_count_response_too_large(meters_t *meters, const char *limit)
{
    metric_add(
        metric_series(meters->responses_too_large, (const char *[]){limit}),
        1);
}

void
meters_set_store_sent(meters_t *meters, const feed_counters_t *sent)
{
    const struct {
        const char *form;
        uint64_t bytes;
    } rows[] = {{"small", sent->small_bytes},
                {"patch", sent->patch_bytes},
                {"whole", sent->whole_bytes},
                {"legacy", sent->legacy_bytes}};
    size_t i;

    for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        metric_set_value(
            metric_series(meters->store_bytes, (const char *[]){rows[i].form}),
            (double)rows[i].bytes);
    }
}

void
meters_set_store_received(meters_t *meters, const intake_counters_t *received)
{
    metric_set_value(metric_series(meters->values_received, NULL),
                     (double)received->values);
    metric_set_value(
        metric_series(meters->received_bytes, (const char *[]){"patches"}),
        (double)received->patch_bytes);
    metric_set_value(
        metric_series(meters->received_bytes, (const char *[]){"values"}),
        (double)received->value_bytes);
}

static void
set_responses(meters_t *meters, const char *service, const char *version,
              const canary_arm_t *arm)
{
    metric_set_value(
        metric_series(meters->rollout_responses,
                      (const char *[]){service, version, "failed"}),
        arm->failed);
    metric_set_value(metric_series(meters->rollout_responses,
                                   (const char *[]){service, version, "slow"}),
                     arm->slow);
    metric_set_value(metric_series(meters->rollout_responses,
                                   (const char *[]){service, version, "good"}),
                     (double)arm->responses - arm->failed - arm->slow);
}

void
meters_set_rollouts(meters_t *meters, const forward_t *forward)
{
    forward_rollout_view_t views[ROLLOUTS_SHOWN_MAX];
    size_t count = forward_rollouts(forward, views, ROLLOUTS_SHOWN_MAX);
    size_t i;
    int phase;

    for (i = 0; i < count; i++) {
        set_responses(meters, views[i].service, "new", &views[i].new_version);
        set_responses(meters, views[i].service, "old", &views[i].old_version);
        for (phase = ROLLOUT_CANARY; phase <= ROLLOUT_ROLLED_BACK; phase++) {
            const char *name = rollout_phase_name((rollout_phase_t)phase);

            metric_set_value(
                metric_series(meters->rollout_phases,
                              (const char *[]){views[i].service, name}),
                strcmp(name, views[i].phase) == 0 ? 1 : 0);
        }
    }
}

void
meters_set_routing(meters_t *meters, const routing_t *routing)
{
    int policy;

    for (policy = KEYS_UNREADABLE; policy <= KEYS_NOT_NEEDED; policy++) {
        const char *name = key_policy_name((key_policy_t)policy);

        metric_set_value(
            metric_series(meters->key_policies, (const char *[]){name}),
            policy == (int)routing->key_policy ? 1 : 0);
    }
    metric_set_value(metric_series(meters->keys, (const char *[]){"valid"}),
                     HASH_COUNT(routing->keys));
    metric_set_value(metric_series(meters->keys, (const char *[]){"skipped"}),
                     (double)routing->keys_skipped);
}

void
meters_count_routing_rejected(meters_t *meters)
{
    metric_add(metric_series(meters->routing_rejected, NULL), 1);
}

void
meters_write(meters_t *meters, int64_t contact_age_us, text_t *text)
{
    metric_set_value(metric_series(meters->routing_age, NULL),
                     (double)contact_age_us / US_PER_S);
    metric_set_value(metric_series(meters->log_lines_dropped, NULL),
                     (double)log_dropped_lines());
    metric_write(meters->set, text);
}

static metric_family_t *
new_histogram(metric_set_t *set, const char *name, const char *help,
              const char *label)
{
    metric_spec_t spec = {
        .kind = METRIC_HISTOGRAM,
        .name = name,
        .help = help,
        .labels = {label},
        .bounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1, 1.5, 2, 3,
                   4.5, 7, 10, 20},
        .bound_count = 16,
    };

    return metric_family_new(set, &spec);
}

static const char *
request_type_name(request_type_t type)
{
    static const char *const names[] = {
        [REQUEST_SAFE] = "safe",
        [REQUEST_UNSAFE] = "unsafe",
        [REQUEST_STREAM] = "stream",
    };

    return names[type];
}

static void
count_relay(meters_t *meters, const char *direction)
{
    metric_add(metric_series(meters->relays, (const char *[]){direction}), 1);
}
