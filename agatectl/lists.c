/* lists.c - listings, and what changes no document. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include <openssl/evp.h>

#include "agatectl/agatectl.h"

enum { STATUS_OK = 200, KEY_BYTES = 32, SHA256_BYTES = 32 };

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static int list(session_t *session, const char *path, const char *member,
                const column_t *columns, size_t count);
static void print_hex(const char *name, const unsigned char *bytes,
                      size_t length);

int
command_services(session_t *session)
{
    static const column_t columns[] = {
        {"SERVICE", "service"}, {"TEAM", "team"}, {"REVISION", "revision"}};

    return list(session, "services", "services", columns, COUNT(columns));
}

int
command_hosts(session_t *session)
{
    static const column_t columns[] = {
        {"HOST", "host"},         {"ZONE", "zone"},
        {"ADDRESS", "address"},   {"STATE", "state"},
        {"HEARD-MS", "heard_ms"}, {"REVISION", "config_revision"}};

    return list(session, "hosts", "hosts", columns, COUNT(columns));
}

int
command_runners(session_t *session)
{
    static const column_t columns[] = {
        {"RUNNER", "runner"},   {"ZONE", "zone"},       {"ADDRESS", "address"},
        {"STATE", "state"},     {"STREAMS", "streams"}, {"RUNNING", "running"},
        {"WAITING", "waiting"}, {"LOSSES", "losses"}};

    return list(session, "runners", "runners", columns, COUNT(columns));
}

int
command_requests(session_t *session)
{
    static const column_t columns[] = {{"ORGANISATION", "organisation"},
                                       {"REQUEST", "request"},
                                       {"MODEL", "model"},
                                       {"RUNNER", "runner"},
                                       {"STATE", "state"},
                                       {"ATTEMPT", "attempt"},
                                       {"TOKENS", "tokens"},
                                       {"AGE-MS", "age_ms"}};

    return list(session, "requests", "requests", columns, COUNT(columns));
}

int
command_history(session_t *session)
{
    static const column_t columns[] = {{"REVISION", "revision"},
                                       {"REPLACED", "replaced"}};
    const char *name = session->options->arguments[0];
    const char *path =
        strcmp(name, "fleet") == 0
            ? "fleet/history"
            : arena_printf(&session->arena, "services/%s/history", name);

    return list(session, path, "history", columns, COUNT(columns));
}

int
command_drain(session_t *session)
{
    call_t call = {.method = "POST", .path = "drain"};
    reply_t reply;
    err_t err;
    json_t *root;
    const char *host = NULL;

    if (client_call(session, &call, &reply, &err) < 0) {
        return tell_error(&err);
    }
    if (reply.status != STATUS_OK) {
        return tell_refusal(&reply);
    }
    root = json_loadb(reply.body, reply.length, 0, NULL);
    (void)json_unpack(root, "{s:s}", "host", &host);
    (void)printf("%s is leaving\n", host == NULL ? "it" : host);
    json_decref(root);
    return EXIT_DONE;
}

/* A new key is shown once; documents hold its digest. */
int
command_key(session_t *session)
{
    unsigned char random[KEY_BYTES];
    unsigned char digest[SHA256_BYTES];
    char key[2 * KEY_BYTES + 1];
    size_t i;
    err_t err;

    if (getrandom(random, sizeof(random), 0) != sizeof(random)) {
        (void)err_set(&err, ERR_SYSTEM,
                      "the kernel gives no random numbers: mend it");
        return tell_error(&err);
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
list(session_t *session, const char *path, const char *member,
     const column_t *columns, size_t count)
{
    call_t call = {.method = "GET", .path = path};
    reply_t reply;
    err_t err;
    json_t *root;

    if (client_call(session, &call, &reply, &err) < 0) {
        return tell_error(&err);
    }
    if (reply.status != STATUS_OK) {
        return tell_refusal(&reply);
    }
    if (session->options->json) {
        (void)printf("%s\n", reply.body);
        return EXIT_DONE;
    }
    root = json_loadb(reply.body, reply.length, 0, NULL);
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
