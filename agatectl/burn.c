/* burn.c - how fast the services spend their error budgets, fleet-wide. */
#include <stdio.h>
#include <string.h>

#include "agatectl/agatectl.h"

enum { STATUS_OK = 200, PPM = 1000000 };

static int read_hosts(session_t *session, json_t **hosts);
static json_t *read_burn(session_t *session, const char *address);
static void add_host(json_t *rows, const json_t *burn);
static json_t *find_row(json_t *rows, const json_t *like);
static void add_rates(json_t *rows, json_int_t target_ppm);

/* Each host counts what it answered itself; here the counts are summed. */
int
command_burn(session_t *session)
{
    static const column_t columns[] = {
        {"SERVICE", "service"}, {"WINDOW", "window"},   {"WITHIN", "within"},
        {"OUT", "out"},         {"SHARE-OUT", "share"}, {"BURN-RATE", "rate"}};
    json_t *root = json_object();
    json_t *rows = json_array();
    json_int_t target_ppm = 0;
    json_t *hosts = NULL;
    size_t i;
    int code = read_hosts(session, &hosts);

    for (i = 0; i < json_array_size(hosts); i++) {
        const json_t *host = json_array_get(hosts, i);
        const char *state = json_string_value(json_object_get(host, "state"));
        json_t *burn;

        if (state == NULL || strcmp(state, "dead") == 0) {
            continue;
        }
        burn = read_burn(session,
                         json_string_value(json_object_get(host, "address")));
        if (burn == NULL) {
            code = EXIT_UNREACHED;
            continue;
        }
        target_ppm = json_integer_value(json_object_get(burn, "target_ppm"));
        add_host(rows, json_object_get(burn, "burn"));
        json_decref(burn);
    }
    add_rates(rows, target_ppm);
    (void)json_object_set_new(root, "burn", rows);
    if (hosts != NULL && session->options->json) {
        (void)json_dumpf(root, stdout, JSON_COMPACT);
        (void)printf("\n");
    }
    else if (hosts != NULL) {
        table_print(rows, columns, sizeof(columns) / sizeof(columns[0]));
    }
    json_decref(hosts);
    json_decref(root);
    return code;
}

static int
read_hosts(session_t *session, json_t **hosts)
{
    call_t call = {.method = "GET", .path = "hosts"};
    reply_t reply;
    err_t err;
    json_t *root;

    if (client_call(session, &call, &reply, &err) < 0) {
        return tell_error(&err);
    }
    if (reply.status != STATUS_OK) {
        return tell_refusal(&reply);
    }
    root = json_loadb(reply.body, reply.length, 0, NULL);
    *hosts = json_incref(json_object_get(root, "hosts"));
    json_decref(root);
    return EXIT_DONE;
}

/* One host's own counts, or NULL with a message printed. */
static json_t *
read_burn(session_t *session, const char *address)
{
    options_t options = *session->options;
    session_t one = {.options = &options, .key = session->key};
    call_t call = {.method = "GET", .path = "burn"};
    json_t *root = NULL;
    reply_t reply;
    err_t err;

    options.addresses[0] = address;
    options.address_count = 1;
    if (client_call(&one, &call, &reply, &err) < 0) {
        (void)tell_error(&err);
    }
    else if (reply.status != STATUS_OK) {
        (void)tell_refusal(&reply);
    }
    else {
        root = json_loadb(reply.body, reply.length, 0, NULL);
    }
    arena_free(&one.arena);
    return root;
}

static void
add_host(json_t *rows, const json_t *burn)
{
    static const char *const counts[] = {"within", "out"};
    size_t i;
    size_t j;

    for (i = 0; i < json_array_size(burn); i++) {
        const json_t *entry = json_array_get(burn, i);
        json_t *row = find_row(rows, entry);

        for (j = 0; j < sizeof(counts) / sizeof(counts[0]); j++) {
            json_int_t sum =
                json_integer_value(json_object_get(row, counts[j])) +
                json_integer_value(json_object_get(entry, counts[j]));

            (void)json_object_set_new(row, counts[j], json_integer(sum));
        }
    }
}

/* The row of this service and window, made when it is the first. */
static json_t *
find_row(json_t *rows, const json_t *like)
{
    json_t *service = json_object_get(like, "service");
    json_t *window = json_object_get(like, "window");
    json_t *row;
    size_t i;

    for (i = 0; i < json_array_size(rows); i++) {
        row = json_array_get(rows, i);
        if (json_equal(json_object_get(row, "service"), service) == 1 &&
            json_equal(json_object_get(row, "window"), window) == 1) {
            return row;
        }
    }
    row = json_object();
    (void)json_object_set(row, "service", service);
    (void)json_object_set(row, "window", window);
    (void)json_array_append_new(rows, row);
    return row;
}

/* A burn rate of 1 spends the error budget exactly. */
static void
add_rates(json_t *rows, json_int_t target_ppm)
{
    size_t i;

    for (i = 0; i < json_array_size(rows); i++) {
        json_t *row = json_array_get(rows, i);
        double within =
            (double)json_integer_value(json_object_get(row, "within"));
        double out = (double)json_integer_value(json_object_get(row, "out"));
        double share = within + out > 0 ? out / (within + out) : 0;

        (void)json_object_set_new(row, "share", json_real(share));
        (void)json_object_set_new(
            row, "rate", json_real(share * PPM / (double)(PPM - target_ppm)));
    }
}
