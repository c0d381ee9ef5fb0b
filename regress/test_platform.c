/* test_platform.c - tests for the platform's documents and headers. */
#include <inttypes.h>
#include <string.h>

#include "platform/documents.h"
#include "platform/platform.h"
#include "regress/fixture.h"

#define REQUIRED_FIELDS                                                       \
    "\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\","           \
    "\"BatchSize\":4"

typedef struct {
    const char *name;
    const char *bytes;
    bool is_valid;
    bool draining;
    int64_t started_ms;
} registration_case_t;

/* Other programs can write to the registry, so an entry can hold anything. */
static const registration_case_t registration_cases[] = {
    {"a ready runner is accepted", "{" REQUIRED_FIELDS ",\"State\":\"ready\"}",
     true, false, 0},
    {"a draining runner is marked as draining",
     "{" REQUIRED_FIELDS ",\"State\":\"draining\"}", true, true, 0},
    {"born is the start time",
     "{" REQUIRED_FIELDS ",\"State\":\"ready\",\"born\":17}", true, false, 17},
    {"a non-numeric born yields start time 0",
     "{" REQUIRED_FIELDS ",\"State\":\"ready\",\"born\":\"x\"}", true, false,
     0},
    {"an unknown State is rejected", "{" REQUIRED_FIELDS ",\"State\":\"odd\"}",
     false, false, 0},
    {"a port out of range is rejected",
     "{\"Service\":\"s\",\"Address\":\"10.0.0.1:65536\",\"Zone\":\"z\","
     "\"BatchSize\":4,\"State\":\"ready\"}",
     false, false, 0},
    {"a line end in the Zone is rejected",
     "{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\\n\","
     "\"BatchSize\":4,\"State\":\"ready\"}",
     false, false, 0},
    {"a line end in the Version is rejected",
     "{" REQUIRED_FIELDS ",\"State\":\"ready\",\"Version\":\"v\\r\"}", false,
     false, 0},
    {"an empty Service is rejected",
     "{\"Service\":\"\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\","
     "\"BatchSize\":4,\"State\":\"ready\"}",
     false, false, 0},
    {"a start time that is too large is the last one",
     "{" REQUIRED_FIELDS ",\"State\":\"ready\",\"born\":1e300}", true, false,
     INT64_MAX},
    {"a start time that is too small is the first one",
     "{" REQUIRED_FIELDS ",\"State\":\"ready\",\"born\":-1e300}", true, false,
     INT64_MIN},
    {"a missing State is rejected", "{" REQUIRED_FIELDS "}", false, false, 0},
    {"a numeric State is rejected", "{" REQUIRED_FIELDS ",\"State\":1}", false,
     false, 0},
    {"a missing Address is rejected",
     "{\"Service\":\"s\",\"Zone\":\"z\",\"BatchSize\":4,"
     "\"State\":\"ready\"}",
     false, false, 0},
    {"an Address with a host name is rejected",
     "{\"Service\":\"s\",\"Address\":\"host:80\",\"Zone\":\"z\","
     "\"BatchSize\":4,\"State\":\"ready\"}",
     false, false, 0},
    {"a string as BatchSize is rejected",
     "{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\","
     "\"BatchSize\":\"many\",\"State\":\"ready\"}",
     false, false, 0},
    {"an array is rejected", "[1]", false, false, 0},
    {"invalid JSON is rejected", "\xff\xfe{", false, false, 0},
    {"an empty document is rejected", "", false, false, 0},
    {"unknown fields are ignored",
     "{" REQUIRED_FIELDS ",\"State\":\"ready\",\"More\":{\"a\":[1]}}", true,
     false, 0},
};

START_TEST(test_registration)
{
    const registration_case_t *test = &registration_cases[_i];
    registration_t out = {0};
    arena_t arena = {0};
    err_t err = {0};
    int result = platform_read_registration(&arena, "servers/r-1", test->bytes,
                                            strlen(test->bytes), &out, &err);

    ck_assert_msg((result == 0) == test->is_valid, "%s: %s", test->name,
                  err.message);
    if (test->is_valid) {
        ck_assert_str_eq(out.id, "r-1");
        ck_assert_str_eq(out.address, "10.0.0.1:80");
        ck_assert_msg(out.draining == test->draining, "%s", test->name);
        ck_assert_int_eq(out.started_ms, test->started_ms);
    }
    else {
        ck_assert_msg(err.message[0] != '\0', "%s: no message", test->name);
    }
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
    const char *expected_error; /* part of the message; NULL: valid */
} routing_case_t;

static const routing_case_t routing_cases[] = {
    {"a configuration without routes is accepted", "{\"Version\":1}", NULL},
    {"invalid JSON is rejected", "{", "not a JSON object: write it again"},
    {"a route without Host is rejected",
     "{\"Routes\":[{\"PathPrefix\":\"/a/\",\"Type\":\"safe\"}]}",
     "has no Host, PathPrefix or Type: add them"},
    {"a route with an unknown Type is rejected",
     "{\"Routes\":[{\"Host\":\"h\",\"PathPrefix\":\"/a/\",\"Type\":\"odd\"}]}",
     "Type odd: write safe, unsafe or streaming"},
#define ROUTE "\"Host\":\"h\",\"PathPrefix\":\"/a/\",\"Type\":\"safe\""
#define ROUTES(more) "{\"Routes\":[{" ROUTE "," more "}]}"
    {"an empty list of routes is accepted", "{\"Routes\":[]}", NULL},
    {"null is no list of routes", "{\"Routes\":null}",
     "Routes of the configuration is not a list: correct it"},
    {"an object is no list of routes", "{\"Routes\":{}}", "is not a list"},
    {"a text is no route", "{\"Routes\":[\"a\"]}",
     "a route is not an object: write one"},
    {"a text is no version", "{\"Version\":\"7\"}",
     "Version of the configuration is not a number from 0 on"},
    {"an object is no list of services", "{\"Services\":{}}",
     "Services of the configuration is not a list"},
    {"a service without a name is rejected", "{\"Services\":[{}]}",
     "a service has no Name: add one"},
    {"a text is no number of connections",
     "{\"Services\":[{\"Name\":\"s\",\"MaxConns\":\"9\"}]}",
     "MaxConns of a service is not a number"},
    {"a list is no engine", "{\"Services\":[{\"Name\":\"s\",\"Engine\":[]}]}",
     "Engine of a service is not an object"},
    {"null says that a service has no engine",
     "{\"Services\":[{\"Name\":\"s\",\"Engine\":null}]}", NULL},
    {"a list is no limits", "{\"Limits\":[]}",
     "Limits of the configuration is not an object"},
    {"a text is no limit", "{\"Limits\":{\"MaxBodyBytes\":\"4 MB\"}}",
     "MaxBodyBytes of the limits is not a number"},
    {"a negative limit is rejected", "{\"Limits\":{\"IdleTimeoutMs\":-1}}",
     "IdleTimeoutMs of the limits is not a number from 0 on"},
    {"a text is no list of backends",
     ROUTES("\"Service\":\"s\",\"Backends\":\"s\""),
     "Backends of a route is not a list"},
    {"a text is no weight",
     ROUTES("\"Backends\":[{\"Service\":\"s\",\"Weight\":\"0\"}]"),
     "Weight of a backend is not a number"},
    {"a negative weight is rejected",
     ROUTES("\"Backends\":[{\"Service\":\"s\",\"Weight\":-1}]"),
     "Weight of a backend is not a number from 0 on"},
    {"a weight may be a fraction",
     ROUTES("\"Backends\":[{\"Service\":\"s\",\"Weight\":0.5}]"), NULL},
    {"a fraction of a connection is not 0, which is no limit",
     "{\"Services\":[{\"Name\":\"s\",\"MaxConns\":0.5}]}",
     "MaxConns of a service is not a number from 0 on, or lies between 0 and "
     "1"},
    {"a fraction of a byte is not 0, which is the default",
     "{\"Limits\":{\"MaxBodyBytes\":0.5}}",
     "MaxBodyBytes of the limits is not a number from 0 on, or lies between"},
    {"a fraction of a time-out is not 0, which is none",
     ROUTES("\"Service\":\"s\",\"TimeoutMs\":0.4"),
     "TimeoutMs of a route is not a number from 0 on, or lies between"},
    {"a time-out that is not whole is accepted",
     ROUTES("\"Service\":\"s\",\"TimeoutMs\":2500.5"), NULL},
    {"a real number that is 0 is accepted",
     ROUTES("\"Service\":\"s\",\"Priority\":0.0"), NULL},
    {"a backend without a service is rejected",
     ROUTES("\"Backends\":[{\"Service\":\"s\"},{\"Weight\":9}]"),
     "a backend has no Service: add one"},
    {"an absent weight is accepted",
     ROUTES("\"Backends\":[{\"Service\":\"s\"}]"), NULL},
    {"a text is no time-out",
     ROUTES("\"Service\":\"s\",\"TimeoutMs\":\"2500\""),
     "TimeoutMs of a route is not a number"},
    {"a text is no answer to whether a route is anonymous",
     ROUTES("\"Service\":\"s\",\"Anonymous\":\"no\""),
     "Anonymous of a route is not true or false"},
    {"a route without a service is rejected",
     "{\"Routes\":[{\"Host\":\"h\",\"PathPrefix\":\"/a/\","
     "\"Type\":\"safe\"}]}",
     "has no Service and no Backends: add one"},
};

START_TEST(test_routing)
{
    const routing_case_t *test = &routing_cases[_i];
    err_t err = {0};
    routing_t *routing =
        platform_read_routing(test->bytes, strlen(test->bytes), &err);

    ck_assert_msg((routing != NULL) == (test->expected_error == NULL),
                  "%s: %s", test->name, err.message);
    ck_assert_msg(test->expected_error == NULL ||
                      strstr(err.message, test->expected_error) != NULL,
                  "%s: %s", test->name, err.message);
    routing_free(routing);
}
END_TEST

/* Weights, and how many of DRAWS evenly spread draws choose the second
 * service.
 */
typedef struct {
    const char *weights[2];
    int expected; /* -1: no service is chosen */
} weight_case_t;

enum { DRAWS = 1000, MILLION = 1000000 };

static const weight_case_t weight_cases[] = {
    {{"1", "1"}, DRAWS / 2},      {{"0.5", "0.5"}, DRAWS / 2},
    {{"0.9", "0.1"}, DRAWS / 10}, {{"2.5", "7.5"}, DRAWS * 3 / 4},
    {{"0", "0.001"}, DRAWS},      {{"0", "0.0000000001"}, DRAWS},
    {{"0.0", "0"}, -1},           {{"0", "1e300"}, DRAWS},
};

/* A fraction was truncated: weights of 0.9 and 0.1 were 0 and 0. */
START_TEST(test_fractional_weights)
{
    const weight_case_t *test = &weight_cases[_i];
    char bytes[512];
    err_t err;
    routing_t *routing;
    int chosen = 0;
    int i;

    (void)snprintf(bytes, sizeof(bytes),
                   ROUTES("\"Backends\":["
                          "{\"Service\":\"s1\",\"Weight\":%s},"
                          "{\"Service\":\"s2\",\"Weight\":%s}]"),
                   test->weights[0], test->weights[1]);
    routing = platform_read_routing(bytes, strlen(bytes), &err);
    ck_assert_ptr_nonnull(routing);
    for (i = 0; i < DRAWS; i++) {
        const route_t *route = &routing->routes[0];
        uint64_t total = route->shares[0].weight + route->shares[1].weight;
        const char *name =
            route_choose_service(route, total / DRAWS * (uint64_t)i);

        if (name == NULL) {
            chosen = -1;
            break;
        }
        chosen += strcmp(name, "s2") == 0;
    }
    ck_assert_int_eq(chosen, test->expected);
    routing_free(routing);
}
END_TEST

static const char full_routing[] =
    "{\"Version\":7,\"Routes\":["
    "{\"Name\":\"a\",\"Host\":\"h.example\",\"PathPrefix\":\"/a/\","
    "\"Type\":\"streaming\",\"TimeoutMs\":25000,\"SloMs\":4500,"
    "\"Priority\":1,\"Backends\":[{\"Service\":\"s1\",\"Weight\":90},"
    "{\"Service\":\"s2\",\"Weight\":10}],\"MaxAttempts\":5,"
    "\"Resumable\":true,\"GapAimMs\":700},"
    "{\"Name\":\"b\",\"Host\":\"H.example\",\"PathPrefix\":\"/a/b/\","
    "\"Type\":\"unsafe\",\"Service\":\"s2\",\"Anonymous\":true}],"
    "\"Services\":[{\"Name\":\"s1\",\"MaxConns\":230,"
    "\"Engine\":{\"KvCapacity\":88000,\"Backups\":true,\"Moves\":true}},"
    "{\"Name\":\"s2\",\"HealthPath\":\"/healthz\"}],"
    "\"Limits\":{\"MaxHeaderBytes\":16384,\"IdleTimeoutMs\":15000},"
    "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"k1\",\"k2\"],"
    "\"Priority\":1},{\"Name\":\"t2\",\"ApiKeys\":[\"k3\"]}]}";

START_TEST(test_full_routing)
{
    err_t err;
    routing_t *routing =
        platform_read_routing(full_routing, strlen(full_routing), &err);
    const route_t *route;
    const key_owner_t *owner;

    ck_assert_ptr_nonnull(routing);
    ck_assert_int_eq(routing->version, 7);
    route = routing_find_route(routing, "h.example", "/a/x");
    ck_assert_str_eq(route->name, "a");
    ck_assert_int_eq(route->type, REQUEST_STREAM);
    ck_assert_uint_eq(route->attempts_max, 5);
    ck_assert(route->resumable && !route->anonymous);
    ck_assert_uint_eq(route->event_gap_objective_ms, 700);
    ck_assert_str_eq(route_choose_service(route, 90 * MILLION - 1), "s1");
    ck_assert_str_eq(route_choose_service(route, 90 * MILLION), "s2");
    ck_assert_str_eq(routing_find_route(routing, "h.example", "/a/b/x")->name,
                     "b");
    ck_assert_ptr_null(routing_find_route(routing, "h.example", "/ab/"));
    ck_assert_ptr_null(routing_find_route(routing, "other.example", "/a/x"));
    ck_assert_int_eq(routing->key_policy, KEYS_LISTED);
    ck_assert_int_eq(routing_check_key(routing, route, "k2", &owner),
                     KEY_ACCEPTED);
    ck_assert_str_eq(owner->name, "t1");
    ck_assert_int_eq(routing_check_key(routing, route, "k3", &owner),
                     KEY_ACCEPTED);
    ck_assert_int_eq(owner->priority, -1);
    ck_assert_int_eq(routing_check_key(routing, route, "k4", &owner),
                     KEY_REJECTED);
    ck_assert(
        routing_find_service(routing, "s1")->capabilities.kv_replication);
    ck_assert(!routing_find_service(routing, "s2")->engine);
    ck_assert_uint_eq(routing->limits.idle_timeout_ms, 15000);
    routing_free(routing);
}
END_TEST

/* Each header is a string "Name: value". */
typedef struct {
    const char *name;
    const char *headers[6];
    caller_options_t terms;
} caller_case_t;

static const caller_case_t caller_cases[] = {
    {"all headers are read",
     {"attempt-id: q1", "Authorization: bearer k1", "Deadline-Ms: 600",
      "Token-Usage: 1460,80", "Last-Event-Id: 12"},
     {.id = "q1",
      .key = "k1",
      .deadline_ms = 600,
      .prompt_tokens = 1460,
      .last_event_id = 12}},
    {"no headers yield defaults", {NULL}, {.id = "", .last_event_id = -1}},
    {"an authorization scheme other than Bearer is ignored",
     {"Authorization: Basic k1"},
     {.id = "", .last_event_id = -1}},
    {"invalid numbers are ignored",
     {"Deadline-Ms: soon", "Last-Event-Id: -5", "Token-Usage: x"},
     {.id = "", .last_event_id = -1}},
    {"a number that is too large is clamped",
     {"Deadline-Ms: 99999999999999999999"},
     {.id = "", .deadline_ms = UINT32_MAX, .last_event_id = -1}},
};

static headers_t
make_headers(arena_t *arena, const char *const *lines)
{
    headers_t headers = {0};

    for (; *lines != NULL; lines++) {
        const char *colon = strchr(*lines, ':');

        headers_add_strings(
            &headers, arena,
            arena_strndup(arena, *lines, (size_t)(colon - *lines)), colon + 2);
    }
    return headers;
}

START_TEST(test_caller)
{
    const caller_case_t *test = &caller_cases[_i];
    arena_t arena = {0};
    headers_t headers = make_headers(&arena, test->headers);
    caller_options_t terms;

    platform_dialect()->ops->parse_caller_headers(&arena, &headers, &terms);
    ck_assert_str_eq(terms.id, test->terms.id);
    ck_assert_pstr_eq(terms.key, test->terms.key);
    ck_assert_uint_eq(terms.deadline_ms, test->terms.deadline_ms);
    ck_assert_uint_eq(terms.prompt_tokens, test->terms.prompt_tokens);
    ck_assert_int_eq(terms.last_event_id, test->terms.last_event_id);
    arena_free(&arena);
}
END_TEST

/* Requests whose last Prefix-Hash ID is equal have the same affinity. */
START_TEST(test_affinity)
{
    static const char *const one[] = {"Prefix-Hash: a:200,b:300", NULL};
    static const char *const same[] = {"Prefix-Hash: c:9,b:301", NULL};
    static const char *const other[] = {"Prefix-Hash: b:300,a:200", NULL};
    arena_t arena = {0};
    headers_t headers = make_headers(&arena, one);
    caller_options_t first;
    caller_options_t second;

    platform_dialect()->ops->parse_caller_headers(&arena, &headers, &first);
    ck_assert(first.has_affinity);
    headers = make_headers(&arena, same);
    platform_dialect()->ops->parse_caller_headers(&arena, &headers, &second);
    ck_assert_uint_eq(first.affinity, second.affinity);
    headers = make_headers(&arena, other);
    platform_dialect()->ops->parse_caller_headers(&arena, &headers, &second);
    ck_assert_uint_ne(first.affinity, second.affinity);
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *name;
    const char *header;
    const char *same; /* has the same parts in front of the last */
    uint32_t part_count;
} parts_case_t;

static const parts_case_t parts_cases[] = {
    {"a single part is not shared", "Prefix-Hash: a:200", "X: 1", 0},
    {"the last part is not shared", "Prefix-Hash: a:200,b:300",
     "Prefix-Hash: a:200,c:300", 1},
    {"the parts keep their order", "Prefix-Hash: a:1,b:2,c:3",
     "Prefix-Hash: a:1,b:2,d:3", 2},
    {"blanks and numbers of tokens make no difference",
     "Prefix-Hash: a:1, b:2, c:3", "Prefix-Hash: a,b:9,\tc", 2},
    {"parts beyond the limit are left out",
     "Prefix-Hash: 1,2,3,4,5,6,7,8,9,a,b,c,d,e,f,10,11,12",
     "Prefix-Hash: 1,2,3,4,5,6,7,8,9,a,b,c,d,e,f,10,13", FORWARD_PARTS_MAX},
};

START_TEST(test_prompt_parts)
{
    const parts_case_t *test = &parts_cases[_i];
    const char *const lines[] = {test->header, NULL};
    const char *const same_lines[] = {test->same, NULL};
    arena_t arena = {0};
    headers_t headers = make_headers(&arena, lines);
    caller_options_t terms;
    caller_options_t same;
    uint32_t i;

    platform_dialect()->ops->parse_caller_headers(&arena, &headers, &terms);
    headers = make_headers(&arena, same_lines);
    platform_dialect()->ops->parse_caller_headers(&arena, &headers, &same);
    ck_assert_msg(terms.part_count == test->part_count &&
                      same.part_count == test->part_count,
                  "%s: %u and %u parts", test->name, terms.part_count,
                  same.part_count);
    for (i = 0; i < test->part_count; i++) {
        ck_assert_msg(terms.parts[i] == same.parts[i], "%s", test->name);
        ck_assert_msg(i == 0 || terms.parts[i] != terms.parts[i - 1], "%s",
                      test->name);
    }
    arena_free(&arena);
}
END_TEST

typedef struct {
    send_action_t send;
    const char *caller[6];
    const char *expected; /* all headers, in order, each followed by "|" */
} send_case_t;

static const send_case_t send_cases[] = {
    {{.runner = "r1", .last_event_id = -1},
     {"X-Own: 1", "Hold: 2"},
     "X-Own: 1|Expect-Instance: r1|"},
    {{.runner = "r1",
      .organisation = "o1",
      .deadline_ms = 600,
      .last_event_id = 7,
      .backup_address = "10.0.0.2:80",
      .restore_address = "10.0.0.3:80",
      .restore_name = "q1"},
     {"Last-Event-Id: 3", "kv-backup: x"},
     "Expect-Instance: r1|Tenant: o1|Deadline-Ms: 600|Last-Event-Id: 7|"
     "Kv-Backup: 10.0.0.2:80|Kv-From: 10.0.0.3:80/q1|"},
};

/* Relays to another host. */
static const send_case_t relay_cases[] = {
    {{.host = "h2",
      .organisation = "o1",
      .deadline_ms = 600,
      .last_event_id = 7,
      .backup_address = "10.0.0.2:80",
      .restore_address = "10.0.0.3:80",
      .restore_name = "q1"},
     {"Attempt-Id: q1", "Last-Event-Id: 3", "authorization: Bearer k1",
      "Deadline-Ms: 900", "Resumes: q0"},
     "Attempt-Id: q1|Resumes: q0|authorization: Bearer k1|Deadline-Ms: 600|"
     "Last-Event-Id: 7|"},
    {{.host = "h2", .last_event_id = -1},
     {"Tenant: o2", "Last-Event-Id: 3", "Kv-Backup: a", "Hold: 2", "X-Own: 1"},
     "X-Own: 1|"},
};

static void
check_written(arena_t *arena, const headers_t *out, const char *expected)
{
    text_t text = {0};
    size_t i;

    for (i = 0; i < out->count; i++) {
        text_printf(&text, "%.*s: %.*s|", (int)out->items[i].name_bytes,
                    out->items[i].name, (int)out->items[i].value_bytes,
                    out->items[i].value);
    }
    text_append(&text, "", 1);
    ck_assert_str_eq(text.bytes, expected);
    text_free(&text);
    arena_free(arena);
}

START_TEST(test_send)
{
    const send_case_t *test = &send_cases[_i];
    arena_t arena = {0};
    headers_t caller = make_headers(&arena, test->caller);
    headers_t out = {0};

    platform_dialect()->ops->write_runner_headers(&arena, &caller, &test->send,
                                                  &out);
    check_written(&arena, &out, test->expected);
}
END_TEST

START_TEST(test_relay)
{
    const send_case_t *test = &relay_cases[_i];
    arena_t arena = {0};
    headers_t caller = make_headers(&arena, test->caller);
    headers_t out = {0};

    platform_dialect()->ops->write_relay_headers(&arena, &caller, &test->send,
                                                 &out);
    check_written(&arena, &out, test->expected);
}
END_TEST

/* Hosts write fractions of a second. */
static const struct {
    const char *header;
    uint32_t retry_after_ms;
} retry_after_cases[] = {
    {"Retry-After: 0.050", 50},
    {"Retry-After: 2", 2000},
    {"Retry-After: 1.5", 1500},
    {"Retry-After: 0.0509", 50},
    {"Retry-After: 9999999.0", UINT32_MAX},
    {"Retry-After: soon", 0},
    {"X-Own: 1", 0},
};

START_TEST(test_retry_after)
{
    const char *const lines[] = {retry_after_cases[_i].header, NULL};
    arena_t arena = {0};
    headers_t headers = make_headers(&arena, lines);
    response_properties_t terms;

    platform_dialect()->ops->parse_response_headers(&arena, &headers, &terms);
    ck_assert_msg(terms.retry_after_ms == retry_after_cases[_i].retry_after_ms,
                  "%s: %" PRIu32, lines[0], terms.retry_after_ms);
    arena_free(&arena);
}
END_TEST

START_TEST(test_copy_request)
{
    static const struct {
        const char *body;
        const char *handle;
    } response_cases[] = {{"{\"Handle\":\"h1\",\"Created\":3}", "h1"},
                          {"{\"Handle\":17}", "17"},
                          {"{}", NULL},
                          {"", NULL},
                          {"nonsense", NULL}};
    const copy_action_t copy = {.request_id = "q\"1", .to = "10.0.0.1:80"};
    arena_t arena = {0};
    text_t body = {0};
    size_t i;

    platform_dialect()->ops->write_kv_copy_request(&body, &copy);
    text_append(&body, "", 1);
    ck_assert_str_eq(body.bytes, "{\"Id\":\"q\\\"1\",\"To\":\"10.0.0.1:80\"}");
    for (i = 0; i < COUNT(response_cases); i++) {
        ck_assert_pstr_eq(platform_dialect()->ops->parse_kv_copy_response(
                              &arena, response_cases[i].body,
                              strlen(response_cases[i].body)),
                          response_cases[i].handle);
    }
    text_free(&body);
    arena_free(&arena);
}
END_TEST

/* expected is "" if the body is not a valid report. */
static const struct {
    const char *body;
    const char *expected; /* active queued: run IDs */
} report_cases[] = {
    {"{\"Stage\":\"both\",\"Queued\":1,\"Active\":12,\"Runs\":[]}", "12 1:"},
    {"{\"Queued\":0,\"Active\":2,\"Runs\":[[\"b4aa\",5833,22,5],"
     "[\"2cd7\",7137,16,5]]}",
     "2 0: b4aa 2cd7"},
    {"{\"Queued\":0,\"Active\":1,\"Runs\":[[],7,[3]]}", "1 0:   "},
    {"{\"Queued\":0,\"Active\":0,\"Runs\":[],\"State\":\"draining\"}",
     "0 0: leaving"},
    {"{\"Queued\":0,\"Active\":0,\"Runs\":[],\"State\":\"ready\"}", "0 0:"},
    {"{\"Queued\":0,\"Active\":0,\"Runs\":[],\"State\":1}", "0 0:"},
    {"{\"Queued\":0,\"Active\":0,\"Runs\":[],\"leaves_ms\":0}", "0 0:"},
    {"{\"Queued\":0,\"Active\":0,\"Runs\":[],\"born\":17}",
     "0 0: started_ms=17"},
    {"{\"Queued\":0,\"Active\":0,\"Runs\":[],\"born\":\"x\"}", "0 0:"},
    {"{\"Queued\":1,\"Active\":12}", ""},
    {"{\"Queued\":1,\"Active\":12,\"born\":17}", " started_ms=17"},
    {"{\"Queued\":\"1\",\"Active\":12,\"Runs\":[]}", ""},
    {"{\"Active\":12,\"Runs\":[]}", ""},
    {"{\"Queued\":1,\"Active\":12,\"Runs\":{}}", ""},
    {"{\"Queued\":1,", ""},
    {"[]", ""},
    {"", ""},
};

START_TEST(test_report)
{
    const char *body = report_cases[_i].body;
    arena_t arena = {0};
    runner_report_t report;
    text_t summary = {0};
    size_t i;

    if (platform_read_report(&arena, body, strlen(body), &report)) {
        text_printf(&summary, "%" PRIu32 " %" PRIu32 ":", report.active,
                    report.queued);
        for (i = 0; i < report.run_count; i++) {
            text_printf(&summary, " %s", report.runs[i]);
        }
        text_puts(&summary, report.leaving ? " leaving" : "");
    }
    if (report.started_ms != 0) {
        text_printf(&summary, " started_ms=%" PRId64, report.started_ms);
    }
    text_append(&summary, "", 1);
    ck_assert_msg(strcmp(summary.bytes, report_cases[_i].expected) == 0,
                  "%s: %s", body, summary.bytes);
    text_free(&summary);
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
    bool is_valid;
    const char *version; /* also of an invalid one; NULL: none */
    uint32_t duration_ms;
} order_case_t;

/* Operators write orders by hand: what can be read is needed for the status,
 * and what cannot must not stop the rest. */
static const order_case_t order_cases[] = {
    {"an order", "{\"Service\":\"s\",\"To\":\"v2\",\"DurationS\":16}", true,
     "v2", 16000},
    {"a duration with a fraction", "{\"To\":\"v2\",\"DurationS\":12.5}", true,
     "v2", 12500},
    {"unknown fields are ignored",
     "{\"To\":\"v2\",\"DurationS\":16,\"More\":[1]}", true, "v2", 16000},
    {"a duration of 0", "{\"To\":\"v2\",\"DurationS\":0}", false, "v2", 0},
    {"a negative duration", "{\"To\":\"v2\",\"DurationS\":-5}", false, "v2",
     0},
    {"a duration as text", "{\"To\":\"v2\",\"DurationS\":\"16\"}", false, "v2",
     0},
    {"a duration that is too long", "{\"To\":\"v2\",\"DurationS\":1e300}",
     false, "v2", 0},
    {"a duration under a millisecond", "{\"To\":\"v2\",\"DurationS\":1e-9}",
     false, "v2", 0},
    {"no duration", "{\"To\":\"v2\"}", false, "v2", 0},
    {"no version", "{\"DurationS\":16}", false, NULL, 16000},
    {"an empty version", "{\"To\":\"\",\"DurationS\":16}", false, "", 16000},
    {"a numeric version", "{\"To\":2,\"DurationS\":16}", false, NULL, 16000},
    {"a damaged order", "{\"To\":\"v2\",\"Dura", false, NULL, 0},
    {"an array", "[\"v2\",16]", false, NULL, 0},
    {"no bytes", "", false, NULL, 0},
};

static void
check_version(const char *name, const char *got, const char *expected)
{
    ck_assert_msg((got == NULL) == (expected == NULL) &&
                      (got == NULL || strcmp(got, expected) == 0),
                  "%s: version %s", name, got != NULL ? got : "(none)");
}

START_TEST(test_rollout_order)
{
    const order_case_t *test = &order_cases[_i];
    rollout_order_t out = {0};
    arena_t arena = {0};
    err_t err = {0};
    int result = platform_read_rollout_order(&arena, test->bytes,
                                             strlen(test->bytes), &out, &err);

    ck_assert_msg((result == 0) == test->is_valid, "%s: %s", test->name,
                  err.message);
    ck_assert_msg(test->is_valid || err.message[0] != '\0', "%s: no message",
                  test->name);
    check_version(test->name, out.version, test->version);
    ck_assert_msg(out.duration_ms == test->duration_ms, "%s: %" PRIu32 " ms",
                  test->name, out.duration_ms);
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
    rollout_state_t state; /* NONE: invalid */
    const char *version;
} status_case_t;

/* A damaged status is written again, so it must not be taken for a valid
 * one. */
static const status_case_t status_cases[] = {
    {"in progress", "{\"State\":\"in_progress\",\"To\":\"v2\"}",
     ROLLOUT_STATUS_IN_PROGRESS, "v2"},
    {"completed", "{\"State\":\"completed\",\"To\":\"v2\"}",
     ROLLOUT_STATUS_COMPLETED, "v2"},
    {"rolled back", "{\"State\":\"rolled_back\",\"To\":\"v2\"}",
     ROLLOUT_STATUS_ROLLED_BACK, "v2"},
    {"an unknown State", "{\"State\":\"odd\",\"To\":\"v2\"}",
     ROLLOUT_STATUS_NONE, "v2"},
    {"an empty State", "{\"State\":\"\",\"To\":\"v2\"}", ROLLOUT_STATUS_NONE,
     "v2"},
    {"a numeric State", "{\"State\":1,\"To\":\"v2\"}", ROLLOUT_STATUS_NONE,
     "v2"},
    {"a damaged status", "{\"State\":\"comple", ROLLOUT_STATUS_NONE, NULL},
    {"no bytes", "", ROLLOUT_STATUS_NONE, NULL},
};

START_TEST(test_rollout_status)
{
    const status_case_t *test = &status_cases[_i];
    bool is_valid = test->state != ROLLOUT_STATUS_NONE;
    rollout_status_t out = {0};
    arena_t arena = {0};
    text_t text = {0};
    err_t err = {0};
    int result = platform_read_rollout_status(&arena, test->bytes,
                                              strlen(test->bytes), &out, &err);

    ck_assert_msg((result == 0) == is_valid, "%s: %s", test->name,
                  err.message);
    ck_assert_msg(out.state == test->state, "%s: %d", test->name, out.state);
    check_version(test->name, out.version, test->version);
    if (is_valid) {
        platform_write_rollout_status(&text, &out);
        text_append(&text, "", 1);
        ck_assert_str_eq(text.bytes, test->bytes);
    }
    text_free(&text);
    arena_free(&arena);
}
END_TEST

/* Without a To the states alone do not say which order has ended. */
START_TEST(test_rollout_status_without_version)
{
    static const char bytes[] = "{\"State\":\"completed\"}";
    rollout_status_t out = {0};
    arena_t arena = {0};
    err_t err = {0};

    ck_assert_int_lt(
        platform_read_rollout_status(&arena, bytes, strlen(bytes), &out, &err),
        0);
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("platform");

    tcase_add_loop_test(tcase, test_registration, 0,
                        COUNT(registration_cases));
    tcase_add_loop_test(tcase, test_routing, 0, COUNT(routing_cases));
    tcase_add_loop_test(tcase, test_fractional_weights, 0,
                        COUNT(weight_cases));
    tcase_add_test(tcase, test_full_routing);
    tcase_add_loop_test(tcase, test_caller, 0, COUNT(caller_cases));
    tcase_add_test(tcase, test_affinity);
    tcase_add_loop_test(tcase, test_prompt_parts, 0, COUNT(parts_cases));
    tcase_add_loop_test(tcase, test_send, 0, COUNT(send_cases));
    tcase_add_loop_test(tcase, test_relay, 0, COUNT(relay_cases));
    tcase_add_loop_test(tcase, test_retry_after, 0, COUNT(retry_after_cases));
    tcase_add_test(tcase, test_copy_request);
    tcase_add_loop_test(tcase, test_report, 0, COUNT(report_cases));
    tcase_add_loop_test(tcase, test_rollout_order, 0, COUNT(order_cases));
    tcase_add_loop_test(tcase, test_rollout_status, 0, COUNT(status_cases));
    tcase_add_test(tcase, test_rollout_status_without_version);
    return fixture_main("platform", tcase);
}
