/* control_views.c - the administration API: GET requests and drain. */
#include <inttypes.h>
#include <string.h>

#include "agated/control.h"
#include "base/log.h"
#include "world/contract.h"

static const char services_prefix[] = "/agatevale/services/";

static void respond_document(control_call_t *call, const char *key,
                             const char *not_found_message);
static const char *document_team(control_call_t *call,
                                 const node_config_view_t *config);
static void write_string(text_t *json, const char *name, const char *value);
static void write_number(text_t *json, const char *name, int64_t value);

void
control_get_fleet(control_call_t *call)
{
    respond_document(call, "/agatevale/fleet",
                     "there is no operators' document: apply one");
}

void
control_get_service(control_call_t *call)
{
    respond_document(
        call,
        arena_printf(&call->arena, "%s%s", services_prefix, call->service),
        "there is no such service: list the services");
}

/* A team sees only its own documents. */
void
control_list_services(control_call_t *call)
{
    const node_t *node = dispatch_node(call->daemon->dispatch);
    text_t json = {0};
    size_t listed = 0;
    size_t count = 0;
    size_t i;
    const node_config_view_t *configs =
        node_configs(node, &call->arena, &count);

    text_puts(&json, "{\"services\":[");
    for (i = 0; i < count; i++) {
        const char *team = document_team(call, &configs[i]);

        if (team == NULL || !control_may_read(call, &configs[i])) {
            continue;
        }
        text_puts(&json, listed > 0 ? ",{" : "{");
        write_string(&json, "service",
                     configs[i].key + strlen(services_prefix));
        text_puts(&json, ",");
        write_string(&json, "team", team);
        text_puts(&json, ",");
        write_number(&json, "revision", configs[i].revision);
        text_puts(&json, "}");
        listed++;
    }
    text_puts(&json, "]}");
    control_respond(call, CONTROL_OK, &json);
}

void
control_list_hosts(control_call_t *call)
{
    const node_t *node = dispatch_node(call->daemon->dispatch);
    text_t json = {0};
    size_t count = 0;
    size_t i;
    const node_host_view_t *hosts =
        node_hosts(node, dispatch_now_us(), &call->arena, &count);

    text_puts(&json, "{\"hosts\":[");
    for (i = 0; i < count; i++) {
        text_puts(&json, i > 0 ? ",{" : "{");
        write_string(&json, "host", hosts[i].name);
        text_puts(&json, ",");
        write_string(&json, "zone", hosts[i].zone);
        text_puts(&json, ",");
        write_string(&json, "address", hosts[i].address);
        text_puts(&json, ",");
        write_string(&json, "state", hosts[i].state);
        text_puts(&json, ",");
        write_number(&json, "incarnation", (int64_t)hosts[i].incarnation);
        text_puts(&json, ",");
        write_number(&json, "heard_ms", hosts[i].heard_ms);
        text_puts(&json, ",");
        write_number(&json, "config_revision", hosts[i].config_revision);
        text_puts(&json, "}");
    }
    text_puts(&json, "]}");
    control_respond(call, CONTROL_OK, &json);
}

void
control_list_runners(control_call_t *call)
{
    const node_t *node = dispatch_node(call->daemon->dispatch);
    text_t json = {0};
    size_t count = 0;
    size_t i;
    const node_runner_view_t *runners =
        node_runners(node, dispatch_now_us(), &call->arena, &count);

    text_puts(&json, "{\"runners\":[");
    for (i = 0; i < count; i++) {
        text_puts(&json, i > 0 ? ",{" : "{");
        write_string(&json, "runner", runners[i].name);
        text_puts(&json, ",");
        write_string(&json, "zone", runners[i].zone);
        text_puts(&json, ",");
        write_string(&json, "address", runners[i].address);
        text_puts(&json, ",");
        write_string(&json, "state", runners[i].state);
        text_puts(&json, ",");
        write_number(&json, "streams", runners[i].streams);
        text_puts(&json, ",");
        write_number(&json, "running", runners[i].running);
        text_puts(&json, ",");
        write_number(&json, "waiting", runners[i].waiting);
        text_puts(&json, ",");
        write_number(&json, "losses", runners[i].losses);
        text_puts(&json, "}");
    }
    text_puts(&json, "]}");
    control_respond(call, CONTROL_OK, &json);
}

/* An organisation sees only its own requests. */
void
control_list_requests(control_call_t *call)
{
    const node_t *node = dispatch_node(call->daemon->dispatch);
    text_t json = {0};
    size_t listed = 0;
    size_t count = 0;
    size_t i;
    const node_request_view_t *requests =
        node_requests(node, dispatch_now_us(), &call->arena, &count);

    text_puts(&json, "{\"requests\":[");
    for (i = 0; i < count; i++) {
        if (call->role == ROLE_ORGANISATION &&
            strcmp(requests[i].organisation, call->principal) != 0) {
            continue;
        }
        text_puts(&json, listed > 0 ? ",{" : "{");
        write_string(&json, "organisation", requests[i].organisation);
        text_puts(&json, ",");
        write_string(&json, "request", requests[i].key);
        text_puts(&json, ",");
        write_string(&json, "model", requests[i].model);
        text_puts(&json, ",");
        write_string(&json, "runner", requests[i].runner);
        text_puts(&json, ",");
        write_string(&json, "state", requests[i].state);
        text_puts(&json, ",");
        write_number(&json, "attempt", requests[i].attempt);
        text_puts(&json, ",");
        write_number(&json, "tokens", requests[i].tokens);
        text_puts(&json, ",");
        write_number(&json, "age_ms", requests[i].age_ms);
        text_puts(&json, "}");
        listed++;
    }
    text_puts(&json, "]}");
    control_respond(call, CONTROL_OK, &json);
}

/* A team sees only its own services. */
void
control_get_burn_rates(control_call_t *call)
{
    text_t json = {0};

    slo_stats_write_json(call->daemon->levels,
                         call->role == ROLE_TEAM ? call->principal : NULL,
                         &json);
    control_respond(call, CONTROL_OK, &json);
}

/* Responds before the host starts to drain. */
void
control_drain(control_call_t *call)
{
    daemon_t *daemon = call->daemon;
    text_t json = {0};

    log_line(LOG_NOTICE, "draining operator=%s", call->principal);
    text_puts(&json, "{");
    write_string(&json, "host", daemon->settings->host);
    text_puts(&json, ",\"leaving\":true}");
    control_respond(call, CONTROL_OK, &json);
    dispatch_drain(daemon->dispatch);
}

const node_config_view_t *
control_find_document(control_call_t *call, const char *key)
{
    size_t count = 0;
    size_t i;
    const node_config_view_t *configs = node_configs(
        dispatch_node(call->daemon->dispatch), &call->arena, &count);

    for (i = 0; i < count; i++) {
        if (strcmp(configs[i].key, key) == 0 && configs[i].text_bytes > 0) {
            return &configs[i];
        }
    }
    return NULL;
}

bool
control_may_read(control_call_t *call, const node_config_view_t *config)
{
    const char *team;

    if (call->role != ROLE_TEAM) {
        return true;
    }
    team = document_team(call, config);
    return team != NULL && strcmp(team, call->principal) == 0;
}

static void
respond_document(control_call_t *call, const char *key,
                 const char *not_found_message)
{
    const node_config_view_t *config = control_find_document(call, key);
    text_t json = {0};

    if (config == NULL || !control_may_read(call, config)) {
        control_error(call, CONTROL_NOT_FOUND, "not-found", "not-run",
                      not_found_message);
        return;
    }
    text_puts(&json, "{");
    write_number(&json, "revision", config->revision);
    text_puts(&json, ",\"text\":");
    text_json(&json, config->text, config->text_bytes);
    text_puts(&json, "}");
    control_respond(call, CONTROL_OK, &json);
}

/*
 * Returns the team of a service document, "" if the document is invalid, or
 * NULL if it is deleted or not a service document.
 */
static const char *
document_team(control_call_t *call, const node_config_view_t *config)
{
    const contract_t *contract;

    if (strncmp(config->key, services_prefix, strlen(services_prefix)) != 0 ||
        config->text_bytes == 0) {
        return NULL;
    }
    contract = contract_parse(&call->arena, config->key, config->text,
                              config->text_bytes, NULL);
    return contract == NULL ? "" : contract->team;
}

static void
write_string(text_t *json, const char *name, const char *value)
{
    text_printf(json, "\"%s\":", name);
    text_json_string(json, value);
}

static void
write_number(text_t *json, const char *name, int64_t value)
{
    text_printf(json, "\"%s\":%" PRId64, name, value);
}
