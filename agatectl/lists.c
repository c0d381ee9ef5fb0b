/* lists.c - prints listings, drains a host and generates keys. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include <openssl/evp.h>

#include "agatectl/agatectl.h"

enum { STATUS_OK = 200, KEY_BYTES = 32, SHA256_BYTES = 32 };

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

static int print_listing(command_context_t *context, const char *path,
                         const char *member, const table_column_t *columns,
                         size_t count);
static void print_hex(const char *name, const unsigned char *bytes,
                      size_t length);

int
command_services(command_context_t *context)
{
    static const table_column_t columns[] = {
        {"SERVICE", "service"}, {"TEAM", "team"}, {"REVISION", "revision"}};

    return print_listing(context, "services", "services", columns,
                         ARRAY_SIZE(columns));
}

int
command_hosts(command_context_t *context)
{
    static const table_column_t columns[] = {
        {"HOST", "host"},         {"ZONE", "zone"},
        {"ADDRESS", "address"},   {"STATE", "state"},
        {"HEARD-MS", "heard_ms"}, {"REVISION", "config_revision"}};

    return print_listing(context, "hosts", "hosts", columns,
                         ARRAY_SIZE(columns));
}

int
command_runners(command_context_t *context)
{
    static const table_column_t columns[] = {
        {"RUNNER", "runner"},   {"ZONE", "zone"},       {"ADDRESS", "address"},
        {"STATE", "state"},     {"STREAMS", "streams"}, {"RUNNING", "running"},
        {"WAITING", "waiting"}, {"LOSSES", "losses"}};

    return print_listing(context, "runners", "runners", columns,
                         ARRAY_SIZE(columns));
}

int
command_requests(command_context_t *context)
{
    static const table_column_t columns[] = {{"ORGANISATION", "organisation"},
                                             {"REQUEST", "request"},
                                             {"MODEL", "model"},
                                             {"RUNNER", "runner"},
                                             {"STATE", "state"},
                                             {"ATTEMPT", "attempt"},
                                             {"TOKENS", "tokens"},
                                             {"AGE-MS", "age_ms"}};

    return print_listing(context, "requests", "requests", columns,
                         ARRAY_SIZE(columns));
}

int
command_history(command_context_t *context)
{
    static const table_column_t columns[] = {{"REVISION", "revision"},
                                             {"REPLACED", "replaced"}};
    const char *name = context->options->arguments[0];
    const char *path =
        strcmp(name, "fleet") == 0
            ? "fleet/history"
            : arena_printf(&context->arena, "services/%s/history", name);

    return print_listing(context, path, "history", columns,
                         ARRAY_SIZE(columns));
}

int
command_drain(command_context_t *context)
{
    api_request_t request = {.method = "POST", .path = "drain"};
    api_response_t response;
    err_t err;
    json_t *root;
    const char *host = NULL;

    if (client_send_request(context, &request, &response, &err) < 0) {
        return print_error(&err);
    }
    if (response.status != STATUS_OK) {
        return print_api_error(&response);
    }
    root = json_loadb(response.body, response.length, 0, NULL);
    (void)json_unpack(root, "{s:s}", "host", &host);
    (void)printf("%s is leaving\n", host == NULL ? "the host" : host);
    json_decref(root);
    return EXIT_DONE;
}

/* Prints a new key, which is stored nowhere; documents hold its digest. */
int
command_key(command_context_t *context)
{
    unsigned char random[KEY_BYTES];
    unsigned char digest[SHA256_BYTES];
    char key[2 * KEY_BYTES + 1];
    size_t i;
    err_t err;

    if (getrandom(random, sizeof(random), 0) != sizeof(random)) {
        (void)err_set(
            &err, ERR_SYSTEM,
            "getrandom failed: use a kernel that supports getrandom(2)");
        return print_error(&err);
    }
    for (i = 0; i < sizeof(random); i++) {
        (void)snprintf(key + 2 * i, 3, "%02x", random[i]);
    }
    (void)EVP_Digest(key, strlen(key), digest, NULL, EVP_sha256(), NULL);
    (void)printf("key    %s\n", key);
    print_hex("sha256", digest, sizeof(digest));
    return EXIT_DONE;
}

static int
print_listing(command_context_t *context, const char *path, const char *member,
              const table_column_t *columns, size_t count)
{
    api_request_t request = {.method = "GET", .path = path};
    api_response_t response;
    err_t err;
    json_t *root;

    if (client_send_request(context, &request, &response, &err) < 0) {
        return print_error(&err);
    }
    if (response.status != STATUS_OK) {
        return print_api_error(&response);
    }
    if (context->options->json) {
        (void)printf("%s\n", response.body);
        return EXIT_DONE;
    }
    root = json_loadb(response.body, response.length, 0, NULL);
    table_print(json_object_get(root, member), columns, count);
    json_decref(root);
    return EXIT_DONE;
}

static void
print_hex(const char *name, const unsigned char *bytes, size_t length)
{
    size_t i;

    (void)printf("%s ", name);
    for (i = 0; i < length; i++) {
        (void)printf("%02x", bytes[i]);
    }
    (void)printf("\n");
}
