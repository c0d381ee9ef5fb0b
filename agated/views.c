/* views.c - public GET endpoints: models, hosts, health and metrics. */
#include <inttypes.h>
#include <string.h>

#include "agated/agated.h"
#include "agated/response.h"

enum { STATUS_OK = 200, HOST_LIST_TTL_S = 30 };

typedef void (*view_writer_t)(daemon_t *daemon, const view_request_t *request,
                              view_t *view);

static void write_models(daemon_t *daemon, const view_request_t *request,
                         view_t *view);
static void write_hosts(daemon_t *daemon, const view_request_t *request,
                        view_t *view);
static void write_health(daemon_t *daemon, const view_request_t *request,
                         view_t *view);
static void write_metrics(daemon_t *daemon, const view_request_t *request,
                          view_t *view);

static const struct {
    const char *path;
    view_writer_t write;
} views[] = {
    {"/v1/models", write_models},
    {"/v1/hosts", write_hosts},
    {"/healthz", write_health},
    {"/metrics", write_metrics},
};

bool
view_write(daemon_t *daemon, const view_request_t *request, view_t *view)
{
    size_t i;

    for (i = 0; i < sizeof(views) / sizeof(views[0]); i++) {
        if (strcmp(views[i].path, request->path) == 0) {
            view->status = STATUS_OK;
            view->content_type = "application/json";
            views[i].write(daemon, request, view);
            return true;
        }
    }
    return false;
}

static void
write_models(daemon_t *daemon, const view_request_t *request, view_t *view)
{
    const node_t *node = dispatch_node(daemon->dispatch);
    const char *name = "";
    arena_t arena = {0};
    const char **models;
    size_t count = 0;
    size_t i;

    if (node_role(node, request->credential, &name) != ROLE_ORGANISATION) {
        refuse_request_action_t refusal =
            refusal_new(REFUSAL_UNAUTHORISED, 0,
                        "the key belongs to no organisation: send "
                        "Authorization: Bearer KEY");

        view->status = refusal_status(refusal.refusal);
        refusal_write_json(&refusal, &view->body);
        return;
    }
    models = node_served_models(node, request->credential, &arena, &count);
    text_puts(&view->body, "{\"object\":\"list\",\"data\":[");
    for (i = 0; i < count; i++) {
        text_puts(&view->body, i > 0 ? ",{\"id\":" : "{\"id\":");
        text_json_string(&view->body, models[i]);
        text_puts(&view->body,
                  ",\"object\":\"model\",\"created\":0,\"owned_by\":");
        text_json_string(&view->body, name);
        text_puts(&view->body, "}");
    }
    text_puts(&view->body, "]}");
    arena_free(&arena);
}

static void
write_hosts(daemon_t *daemon, const view_request_t *request, view_t *view)
{
    arena_t arena = {0};
    size_t count = 0;
    size_t i;
    const node_host_view_t *hosts = node_caller_addresses(
        dispatch_node(daemon->dispatch), dispatch_now_us(),
        request->balance_seed, &arena, &count);

    text_puts(&view->body, "{\"hosts\":[");
    for (i = 0; i < count; i++) {
        text_puts(&view->body, i > 0 ? ",{\"host\":" : "{\"host\":");
        text_json_string(&view->body, hosts[i].name);
        text_puts(&view->body, ",\"zone\":");
        text_json_string(&view->body, hosts[i].zone);
        text_puts(&view->body, ",\"address\":");
        text_json_string(&view->body, hosts[i].address);
        text_puts(&view->body, "}");
    }
    text_printf(&view->body, "],\"keep_s\":%d}", HOST_LIST_TTL_S);
    arena_free(&arena);
}

static void
write_health(daemon_t *daemon, const view_request_t *request, view_t *view)
{
    text_puts(&view->body, "{\"status\":\"ok\",\"host\":");
    text_json_string(&view->body, daemon->settings->host);
    text_puts(&view->body, "}");
}

static void
write_metrics(daemon_t *daemon, const view_request_t *request, view_t *view)
{
    const node_counters_t *counters =
        node_counters(dispatch_node(daemon->dispatch));
    const struct {
        const char *name;
        uint64_t value;
    } totals[] = {
        {"requests", counters->requests},
        {"finished", counters->finished},
        {"refused", counters->refused},
        {"tokens_given", counters->tokens_given},
        {"attempts", counters->attempts},
        {"losses", counters->losses},
        {"reattached", counters->reattached},
        {"resumed", counters->resumed},
        {"raced", counters->raced},
        {"pieces_late", counters->pieces_late},
        {"pieces_repeated", counters->pieces_repeated},
        {"pieces_ahead", counters->pieces_ahead},
        {"finishes_late", counters->finishes_late},
        {"claims", counters->claims},
        {"claims_unknown", counters->claims_unknown},
        {"convicted", counters->convicted},
        {"taken_over", counters->taken_over},
    };
    size_t i;

    view->content_type = "text/plain; version=0.0.4";
    for (i = 0; i < sizeof(totals) / sizeof(totals[0]); i++) {
        text_printf(&view->body,
                    "# TYPE agated_%s_total counter\n"
                    "agated_%s_total %" PRIu64 "\n",
                    totals[i].name, totals[i].name, totals[i].value);
    }
    text_printf(&view->body,
                "# TYPE agated_sessions gauge\nagated_sessions %" PRIu64 "\n",
                counters->sessions);
    slo_stats_write_metrics(daemon->levels, &view->body);
}
