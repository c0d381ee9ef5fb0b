/* control.c - the administration API: routes, roles and responses. */
#include <stdlib.h>
#include <string.h>

#include "agated/control.h"
#include "agated/exchange.h"
#include "base/log.h"

enum {
    ROLES_OPERATOR = 1 << ROLE_OPERATOR,
    ROLES_TEAM = 1 << ROLE_TEAM,
    ROLES_ORGANISATION = 1 << ROLE_ORGANISATION,
    ROLES_OPERATOR_TEAM = ROLES_OPERATOR | ROLES_TEAM,
    ROLES_ALL = ROLES_OPERATOR_TEAM | ROLES_ORGANISATION
};

/* Allocated in the request's pool, so that its disposal clears call->req. */
struct control_request_ref {
    control_call_t *call;
};

/* path follows /admin/v1/; "*" matches the name of a service. */
typedef struct {
    const char *method;
    const char *path;
    uint32_t roles;
    void (*handle)(control_call_t *call);
} route_t;

static control_call_t *call_new(daemon_t *daemon, h2o_req_t *req);
static void call_free(control_call_t *call);
static void on_request_disposed(void *memory);
static void authenticate(control_call_t *call);
static const route_t *find_route(control_call_t *call, const char *method,
                                 const char *path);
static bool path_matches(control_call_t *call, const char *pattern,
                         const char *path);

static const char base_path[] = "/admin/v1/";

static const route_t routes[] = {
    {"GET", "fleet", ROLES_OPERATOR, control_get_fleet},
    {"PUT", "fleet", ROLES_OPERATOR, control_put_fleet},
    {"GET", "fleet/history", ROLES_OPERATOR, control_list_history},
    {"GET", "services", ROLES_OPERATOR_TEAM, control_list_services},
    {"GET", "services/*", ROLES_OPERATOR_TEAM, control_get_service},
    {"PUT", "services/*", ROLES_OPERATOR_TEAM, control_put_service},
    {"GET", "services/*/history", ROLES_OPERATOR_TEAM, control_list_history},
    {"POST", "check", ROLES_OPERATOR_TEAM, control_check_service},
    {"POST", "check/fleet", ROLES_OPERATOR, control_check_fleet},
    {"GET", "hosts", ROLES_OPERATOR_TEAM, control_list_hosts},
    {"GET", "runners", ROLES_OPERATOR_TEAM, control_list_runners},
    {"GET", "requests", ROLES_OPERATOR | ROLES_ORGANISATION,
     control_list_requests},
    {"GET", "burn", ROLES_OPERATOR_TEAM, control_get_burn_rates},
    {"POST", "drain", ROLES_OPERATOR, control_drain},
};

void
control_handle_request(daemon_t *daemon, h2o_req_t *req)
{
    control_call_t *call = call_new(daemon, req);
    size_t length = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
    const char *path = arena_strndup(&call->arena, req->path.base, length);
    const char *method =
        arena_strndup(&call->arena, req->method.base, req->method.len);
    const route_t *route = find_route(call, method, path + strlen(base_path));

    authenticate(call);
    if (call->role == ROLE_NONE) {
        control_error(call, CONTROL_UNAUTHORISED, "unauthorised", "not-run",
                      "nobody has this key: send Authorization: Bearer KEY");
        return;
    }
    if (route == NULL) {
        control_error(call, CONTROL_NOT_FOUND, "not-found", "not-run",
                      "no such method and path: see agated(8)");
        return;
    }
    if ((route->roles & (1U << call->role)) == 0) {
        control_error(call, CONTROL_FORBIDDEN, "forbidden", "not-run",
                      "the role of this key does not permit this request: "
                      "use another key");
        return;
    }
    log_line(LOG_DEBUG, "admin method=%s path=%s caller=%s", method, path,
             call->principal);
    route->handle(call);
}

void
control_respond(control_call_t *call, uint32_t status, text_t *json)
{
    h2o_req_t *req = call->req;

    call_free(call);
    if (req != NULL) {
        respond(req, status, "application/json", json->bytes, json->length);
    }
    text_free(json);
}

void
control_error(control_call_t *call, uint32_t status, const char *kind,
              const char *run, const char *message)
{
    text_t json = {0};

    text_printf(&json, "{\"error\":{\"kind\":\"%s\",\"message\":", kind);
    text_json_string(&json, message);
    text_printf(&json, ",\"run\":\"%s\"}}", run);
    control_respond(call, status, &json);
}

static control_call_t *
call_new(daemon_t *daemon, h2o_req_t *req)
{
    control_call_t *call = xcalloc(1, sizeof(*call));

    call->daemon = daemon;
    call->req = req;
    call->request_ref = h2o_mem_alloc_shared(
        &req->pool, sizeof(*call->request_ref), on_request_disposed);
    call->request_ref->call = call;
    call->if_match = copy_request_header(req, &call->arena, "if-match");
    call->body = arena_memdup(&call->arena, req->entity.base, req->entity.len);
    call->body_bytes = req->entity.len;
    call->principal = "";
    daemon->control_calls++;
    return call;
}

static void
call_free(control_call_t *call)
{
    if (call->req != NULL) {
        call->request_ref->call = NULL;
    }
    call->daemon->control_calls--;
    arena_free(&call->arena);
    free(call);
}

static void
on_request_disposed(void *memory)
{
    control_request_ref_t *request_ref = memory;

    if (request_ref->call != NULL) {
        request_ref->call->req = NULL;
    }
}

/*
 * Operator keys in the settings allow the first operators' document to be
 * applied.
 */
static void
authenticate(control_call_t *call)
{
    const field_list_t *keys = &call->daemon->settings->admin_keys;
    char credential[CREDENTIAL_BYTES];
    size_t i;

    hash_bearer_key(
        copy_request_header(call->req, &call->arena, "authorization"),
        credential);
    call->role = node_role(dispatch_node(call->daemon->dispatch), credential,
                           &call->principal);
    for (i = 0; i < keys->count && call->role == ROLE_NONE; i++) {
        if (strcmp(keys->items[i], credential) == 0) {
            call->role = ROLE_OPERATOR;
            call->principal = "settings";
        }
    }
}

static const route_t *
find_route(control_call_t *call, const char *method, const char *path)
{
    size_t i;

    for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (strcmp(routes[i].method, method) == 0 &&
            path_matches(call, routes[i].path, path)) {
            return &routes[i];
        }
    }
    return NULL;
}

static bool
path_matches(control_call_t *call, const char *pattern, const char *path)
{
    const char *wildcard = strchr(pattern, '*');
    size_t before = wildcard == NULL ? 0 : (size_t)(wildcard - pattern);
    size_t length;

    if (wildcard == NULL) {
        return strcmp(pattern, path) == 0;
    }
    if (strncmp(pattern, path, before) != 0) {
        return false;
    }
    length = strcspn(path + before, "/");
    if (length == 0 || strcmp(path + before + length, wildcard + 1) != 0) {
        return false;
    }
    call->service = arena_strndup(&call->arena, path + before, length);
    return true;
}
