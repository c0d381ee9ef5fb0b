/* slo_stats.c - measures services against their latency objectives. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "agated/agated.h"
#include "base/metric.h"
#include "policy/burn.h"
#include "world/contract.h"

enum {
    REFRESH_INTERVAL_US = 1000000,
    US_PER_MS = 1000,
    LATE_GAP_DIVISOR = 20 /* 1 in 20 gaps may exceed the objective */
};

#define US_PER_S 1e6

static const char services_prefix[] = "/agatevale/services/";

/* A service's document, as of the last refresh. */
typedef struct {
    char *key;
    int64_t revision;
    arena_t arena;
    const contract_t *contract; /* NULL: deleted or invalid */
    UT_hash_handle hh;
} document_t;

struct service_level {
    char *name;
    char *team;
    burn_t burn;
    metric_t *within;
    metric_t *out;
    metric_t *first_token;
    metric_t *token_gap;
    metric_t *rates[BURN_WINDOWS];
    UT_hash_handle hh;
};

struct levels {
    daemon_t *daemon;
    int64_t refreshed_us;
    document_t *documents;
    service_slo_t *services;
    metric_set_t *metrics;
    metric_family_t *requests;
    metric_family_t *first_token;
    metric_family_t *token_gap;
    metric_family_t *rate;
};

static void create_metric_families(slo_stats_t *levels);
static void free_documents(slo_stats_t *levels);
static void free_services(slo_stats_t *levels);
static void refresh_documents(slo_stats_t *levels, int64_t now_us);
static void update_document(slo_stats_t *levels,
                            const node_config_view_t *config);
static const contract_t *find_contract(slo_stats_t *levels,
                                       const char *organisation,
                                       const request_event_t *request);
static service_slo_t *find_service(slo_stats_t *levels,
                                   const contract_t *contract);
static void write_service_counts(const service_slo_t *service, int64_t now_us,
                                 size_t listed, text_t *json);

/* From the users' measured latency to the longest that an operator waits. */
static const metric_spec_t first_token_spec = {
    .kind = METRIC_HISTOGRAM,
    .name = "agated_first_token_seconds",
    .help = "From a request's arrival to its first token",
    .labels = {"service"},
    .bounds = {0.025, 0.05, 0.1, 0.2, 0.43, 1, 2, 4, 10, 30, 60},
    .bound_count = 11};
static const metric_spec_t token_gap_spec = {
    .kind = METRIC_HISTOGRAM,
    .name = "agated_token_gap_seconds",
    .help = "Between pieces of an answer, per token",
    .labels = {"service"},
    .bounds = {0.005, 0.01, 0.02, 0.043, 0.1, 0.25, 1, 4, 10},
    .bound_count = 9};
static const metric_spec_t requests_spec = {
    .kind = METRIC_COUNTER,
    .name = "agated_objective_requests_total",
    .help = "Requests within and out of their objectives",
    .labels = {"service", "result"}};
static const metric_spec_t rate_spec = {
    .kind = METRIC_GAUGE,
    .name = "agated_burn_rate",
    .help = "1 spends the error budget exactly",
    .labels = {"service", "window"}};

slo_stats_t *
slo_stats_new(daemon_t *daemon)
{
    slo_stats_t *levels = xcalloc(1, sizeof(*levels));

    levels->daemon = daemon;
    levels->refreshed_us = -REFRESH_INTERVAL_US;
    levels->metrics = metric_set_new();
    create_metric_families(levels);
    return levels;
}

void
slo_stats_free(slo_stats_t *levels)
{
    if (levels == NULL) {
        return;
    }
    free_documents(levels);
    free_services(levels);
    metric_set_free(levels->metrics);
    free(levels);
}

void
request_slo_start(slo_stats_t *levels, request_slo_t *level,
                  const request_event_t *request)
{
    const node_t *node = dispatch_node(levels->daemon->dispatch);
    const request_kind_t *kind;
    const contract_t *contract;
    const char *organisation = "";

    level->arrived_us = dispatch_now_us();
    refresh_documents(levels, level->arrived_us);
    if (node_role(node, request->credential, &organisation) !=
        ROLE_ORGANISATION) {
        return;
    }
    contract = find_contract(levels, organisation, request);
    kind = contract == NULL
               ? NULL
               : contract_find_kind(contract, request->request_kind);
    if (kind == NULL) {
        return;
    }
    level->service = find_service(levels, contract);
    level->first_token_objective_us =
        (int64_t)kind->first_token_objective_ms * US_PER_MS;
    level->token_gap_objective_us =
        (int64_t)kind->token_gap_objective_ms * US_PER_MS;
}

void
request_slo_record_tokens(request_slo_t *level, uint32_t tokens)
{
    int64_t now_us = dispatch_now_us();
    int64_t gap_us;

    if (level->service == NULL || tokens == 0) {
        return;
    }
    if (level->first_token_us == 0) {
        level->first_token_us = now_us;
        level->latest_token_us = now_us;
        metric_observe(level->service->first_token,
                       (double)(now_us - level->arrived_us) / US_PER_S);
        return;
    }
    gap_us = (now_us - level->latest_token_us) / tokens;
    level->latest_token_us = now_us;
    level->gaps += tokens;
    if (level->token_gap_objective_us > 0 &&
        gap_us > level->token_gap_objective_us) {
        level->late_gaps += tokens;
    }
    metric_observe(level->service->token_gap, (double)gap_us / US_PER_S);
}

void
request_slo_finish(request_slo_t *level, bool served)
{
    int64_t now_us = dispatch_now_us();
    int64_t first_token_us =
        level->first_token_us != 0 ? level->first_token_us : now_us;
    bool within = served &&
                  (level->first_token_objective_us == 0 ||
                   first_token_us - level->arrived_us <=
                       level->first_token_objective_us) &&
                  level->late_gaps * LATE_GAP_DIVISOR <= level->gaps;

    if (level->service == NULL) {
        return;
    }
    burn_count_request(&level->service->burn, now_us, within);
    metric_add(within ? level->service->within : level->service->out, 1);
    level->service = NULL;
}

void
slo_stats_write_metrics(slo_stats_t *levels, text_t *text)
{
    int64_t now_us = dispatch_now_us();
    service_slo_t *service;
    service_slo_t *next;
    burn_window_t window;

    HASH_ITER(hh, levels->services, service, next)
    {
        for (window = 0; window < BURN_WINDOWS; window++) {
            burn_count_t count =
                burn_window_count(&service->burn, window, now_us);
            uint64_t rate = burn_rate_permille(count, SLO_TARGET_PPM);

            metric_set_value(service->rates[window],
                             (double)rate / SLO_PERMILLE);
        }
    }
    metric_write(levels->metrics, text);
}

void
slo_stats_write_json(slo_stats_t *levels, const char *team, text_t *json)
{
    int64_t now_us = dispatch_now_us();
    service_slo_t *service;
    service_slo_t *next;
    size_t listed = 0;

    text_printf(json, "{\"target_ppm\":%d,\"burn\":[", SLO_TARGET_PPM);
    HASH_ITER(hh, levels->services, service, next)
    {
        if (team == NULL || strcmp(service->team, team) == 0) {
            write_service_counts(service, now_us, listed, json);
            listed++;
        }
    }
    text_puts(json, "]}");
}

static void
create_metric_families(slo_stats_t *levels)
{
    levels->requests = metric_family_new(levels->metrics, &requests_spec);
    levels->first_token =
        metric_family_new(levels->metrics, &first_token_spec);
    levels->token_gap = metric_family_new(levels->metrics, &token_gap_spec);
    levels->rate = metric_family_new(levels->metrics, &rate_spec);
}

static void
free_documents(slo_stats_t *levels)
{
    document_t *document = levels->documents;

    HASH_CLEAR(hh, levels->documents);
    while (document != NULL) {
        document_t *next = document->hh.next;

        arena_free(&document->arena);
        free(document->key);
        free(document);
        document = next;
    }
}

static void
free_services(slo_stats_t *levels)
{
    service_slo_t *service = levels->services;

    HASH_CLEAR(hh, levels->services);
    while (service != NULL) {
        service_slo_t *next = service->hh.next;

        free(service->name);
        free(service->team);
        free(service);
        service = next;
    }
}

/* Updates the documents in force, at most once per REFRESH_INTERVAL_US. */
static void
refresh_documents(slo_stats_t *levels, int64_t now_us)
{
    const node_t *node = dispatch_node(levels->daemon->dispatch);
    arena_t arena = {0};
    size_t count = 0;
    size_t i;
    const node_config_view_t *configs;

    if (now_us - levels->refreshed_us < REFRESH_INTERVAL_US) {
        return;
    }
    levels->refreshed_us = now_us;
    configs = node_configs(node, &arena, &count);
    for (i = 0; i < count; i++) {
        if (strncmp(configs[i].key, services_prefix,
                    strlen(services_prefix)) == 0) {
            update_document(levels, &configs[i]);
        }
    }
    arena_free(&arena);
}

static void
update_document(slo_stats_t *levels, const node_config_view_t *config)
{
    document_t *document;

    HASH_FIND_STR(levels->documents, config->key, document);
    if (document == NULL) {
        document = xcalloc(1, sizeof(*document));
        document->key = xstrdup(config->key);
        HASH_ADD_KEYPTR(hh, levels->documents, document->key,
                        strlen(document->key), document);
    }
    if (document->revision == config->revision) {
        return;
    }
    document->revision = config->revision;
    arena_reset(&document->arena);
    document->contract =
        config->text_bytes == 0
            ? NULL
            : contract_parse(&document->arena, config->key, config->text,
                             config->text_bytes, NULL);
}

static const contract_t *
find_contract(slo_stats_t *levels, const char *organisation,
              const request_event_t *request)
{
    document_t *document;
    document_t *next;

    HASH_ITER(hh, levels->documents, document, next)
    {
        const contract_t *contract = document->contract;
        bool offered;

        if (contract == NULL ||
            contract_find_organisation(contract, organisation) == NULL) {
            continue;
        }
        offered =
            request->endpoint == ENDPOINT_SERVICE
                ? contract_find_plain_service(contract, request->model) != NULL
                : contract_find_model(contract, request->model) != NULL;
        if (offered) {
            return contract;
        }
    }
    return NULL;
}

/* A service keeps its counts when its document passes to another team. */
static service_slo_t *
find_service(slo_stats_t *levels, const contract_t *contract)
{
    const char *name = contract->service;
    service_slo_t *service;
    burn_window_t window;

    HASH_FIND_STR(levels->services, name, service);
    if (service == NULL) {
        service = xcalloc(1, sizeof(*service));
        service->name = xstrdup(name);
        service->within =
            metric_series(levels->requests, (const char *[]){name, "within"});
        service->out =
            metric_series(levels->requests, (const char *[]){name, "out"});
        service->first_token =
            metric_series(levels->first_token, (const char *[]){name});
        service->token_gap =
            metric_series(levels->token_gap, (const char *[]){name});
        for (window = 0; window < BURN_WINDOWS; window++) {
            service->rates[window] = metric_series(
                levels->rate,
                (const char *[]){name, burn_window_name(window)});
        }
        HASH_ADD_KEYPTR(hh, levels->services, service->name,
                        strlen(service->name), service);
    }
    if (service->team == NULL || strcmp(service->team, contract->team) != 0) {
        free(service->team);
        service->team = xstrdup(contract->team);
    }
    return service;
}

/* Writes one JSON object per window. */
static void
write_service_counts(const service_slo_t *service, int64_t now_us,
                     size_t listed, text_t *json)
{
    burn_window_t window;

    for (window = 0; window < BURN_WINDOWS; window++) {
        burn_count_t count = burn_window_count(&service->burn, window, now_us);

        text_puts(json, listed > 0 || window > 0 ? "," : "");
        text_puts(json, "{\"service\":");
        text_json_string(json, service->name);
        text_printf(json,
                    ",\"window\":\"%s\",\"within\":%" PRIu64
                    ",\"out\":%" PRIu64 "}",
                    burn_window_name(window), count.within, count.out);
    }
}
