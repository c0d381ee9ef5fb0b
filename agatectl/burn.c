/* burn.c - prints error budget burn rates of services, summed over all hosts.
 */
#include <stdio.h>
#include <string.h>

#include "agatectl/agatectl.h"

enum { STATUS_OK = 200, PPM = 1000000 };

static int fetch_hosts(command_context_t *context, json_t **hosts);
static json_t *fetch_burn(command_context_t *context, const char *address);
static void add_host_counts(json_t *rows, const json_t *burn);
static json_t *find_or_add_row(json_t *rows, const json_t *entry);
static void add_burn_rates(json_t *rows, json_int_t target_ppm);

/* Each host counts only its own requests, so the counts are summed here. */
int
command_burn(command_context_t *context)
{
    static const table_column_t columns[] = {
        {"SERVICE", "service"}, {"WINDOW", "window"},   {"WITHIN", "within"},
        {"OUT", "out"},         {"SHARE-OUT", "share"}, {"BURN-RATE", "rate"}};
    json_t *root = json_object();
    json_t *rows = json_array();
    json_int_t target_ppm = 0;
    json_t *hosts = NULL;
    size_t i;
    int exit_code = fetch_hosts(context, &hosts);

    for (i = 0; i < json_array_size(hosts); i++) {
        const json_t *host = json_array_get(hosts, i);
        const char *state = json_string_value(json_object_get(host, "state"));
        json_t *burn;

        if (state == NULL || strcmp(state, "dead") == 0) {
            continue;
        }
        burn = fetch_burn(context,
                          json_string_value(json_object_get(host, "address")));
        if (burn == NULL) {
            exit_code = EXIT_UNREACHABLE;
            continue;
        }
        target_ppm = json_integer_value(json_object_get(burn, "target_ppm"));
        add_host_counts(rows, json_object_get(burn, "burn"));
        json_decref(burn);
    }
    add_burn_rates(rows, target_ppm);
    (void)json_object_set_new(root, "burn", rows);
    if (hosts != NULL && context->options->json) {
        (void)json_dumpf(root, stdout, JSON_COMPACT);
        (void)printf("\n");
    }
    else if (hosts != NULL) {
        table_print(rows, columns, sizeof(columns) / sizeof(columns[0]));
    }
    json_decref(hosts);
    json_decref(root);
    return exit_code;
}

static int
fetch_hosts(command_context_t *context, json_t **hosts)
{
    api_request_t request = {.method = "GET", .path = "hosts"};
    api_response_t response;
    err_t err;
    json_t *root;

    if (client_send_request(context, &request, &response, &err) < 0) {
        return print_error(&err);
    }
    if (response.status != STATUS_OK) {
        return print_api_error(&response);
    }
    root = json_loadb(response.body, response.length, 0, NULL);
    *hosts = json_incref(json_object_get(root, "hosts"));
    json_decref(root);
    return EXIT_DONE;
}

/* Returns the counts of one host, or prints an error and returns NULL. */
static json_t *
fetch_burn(command_context_t *context, const char *address)
{
    options_t options = *context->options;
    command_context_t host_context = {.options = &options,
                                      .key = context->key};
    api_request_t request = {.method = "GET", .path = "burn"};
    json_t *root = NULL;
    api_response_t response;
    err_t err;

    options.addresses[0] = address;
    options.address_count = 1;
    if (client_send_request(&host_context, &request, &response, &err) < 0) {
        (void)print_error(&err);
    }
    else if (response.status != STATUS_OK) {
        (void)print_api_error(&response);
    }
    else {
        root = json_loadb(response.body, response.length, 0, NULL);
    }
    arena_free(&host_context.arena);
    return root;
}

static void
add_host_counts(json_t *rows, const json_t *burn)
{
    static const char *const counts[] = {"within", "out"};
    size_t i;
    size_t j;

    for (i = 0; i < json_array_size(burn); i++) {
        const json_t *entry = json_array_get(burn, i);
        json_t *row = find_or_add_row(rows, entry);

        for (j = 0; j < sizeof(counts) / sizeof(counts[0]); j++) {
            json_int_t sum =
                json_integer_value(json_object_get(row, counts[j])) +
                json_integer_value(json_object_get(entry, counts[j]));

            (void)json_object_set_new(row, counts[j], json_integer(sum));
        }
    }
}

/* Returns the row of a service and window, and adds it if there is none. */
static json_t *
find_or_add_row(json_t *rows, const json_t *entry)
{
    json_t *service = json_object_get(entry, "service");
    json_t *window = json_object_get(entry, "window");
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

/* A burn rate of 1 consumes exactly the error budget. */
static void
add_burn_rates(json_t *rows, json_int_t target_ppm)
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
