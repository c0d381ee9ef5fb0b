/* documents.c - check, apply, diff and show a document. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "agatectl/agatectl.h"
#include "base/toml.h"

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
    REVISION_BYTES = 24
};

/* A document in a file, and the one that is in force. */
typedef struct {
    const char *path; /* of the API */
    const char *file;
    const char *text;
    size_t length;
    bool exists;
    json_int_t revision; /* in force; 0: none */
    const char *in_force;
} document_t;

static int read_document(session_t *session, document_t *document, err_t *err);
static int read_in_force(session_t *session, document_t *document, int *code);
static int tell_document(const document_t *document, const reply_t *reply);
static int print_spread(session_t *session, const document_t *document,
                        const reply_t *reply);
static int print_conflict(session_t *session, const document_t *document,
                          const reply_t *reply);
static int show_revision(session_t *session, const char *name);

int
command_check(session_t *session)
{
    document_t document = {0};
    call_t call = {.method = "POST"};
    reply_t reply;
    err_t err;

    if (read_document(session, &document, &err) < 0) {
        return tell_error(&err);
    }
    call.path = strcmp(document.path, "fleet") == 0 ? "check/fleet" : "check";
    call.body = document.text;
    call.body_bytes = document.length;
    if (client_call(session, &call, &reply, &err) < 0) {
        return tell_error(&err);
    }
    if (reply.status != STATUS_OK) {
        return tell_document(&document, &reply);
    }
    (void)printf("%s is valid\n", document.file);
    return EXIT_DONE;
}

int
command_apply(session_t *session)
{
    char revision[REVISION_BYTES];
    document_t document = {0};
    call_t call = {.method = "PUT"};
    reply_t reply;
    err_t err;
    int code;

    if (read_document(session, &document, &err) < 0) {
        return tell_error(&err);
    }
    if (read_in_force(session, &document, &code) < 0) {
        return code;
    }
    (void)snprintf(revision, sizeof(revision), "%" JSON_INTEGER_FORMAT,
                   document.revision);
    call.path = document.path;
    call.if_match = session->options->revision != NULL
                        ? session->options->revision
                        : revision;
    call.body = document.text;
    call.body_bytes = document.length;
    if (client_call(session, &call, &reply, &err) < 0) {
        return tell_error(&err);
    }
    if (reply.status == STATUS_CONFLICT) {
        return print_conflict(session, &document, &reply);
    }
    if (reply.status != STATUS_OK) {
        return tell_document(&document, &reply);
    }
    return print_spread(session, &document, &reply);
}

int
command_diff(session_t *session)
{
    document_t document = {0};
    err_t err;
    int code;

    if (read_document(session, &document, &err) < 0) {
        return tell_error(&err);
    }
    if (read_in_force(session, &document, &code) < 0) {
        return code;
    }
    return diff_print(&session->arena, "in force", document.in_force,
                      document.file, document.text)
               ? EXIT_DIFFERS
               : EXIT_DONE;
}

int
command_show(session_t *session)
{
    const char *name = session->options->arguments[0];
    document_t document = {
        .path = strcmp(name, "fleet") == 0
                    ? name
                    : arena_printf(&session->arena, "services/%s", name)};
    err_t err;
    int code;

    if (session->options->revision != NULL) {
        return show_revision(session, name);
    }
    if (read_in_force(session, &document, &code) < 0) {
        return code;
    }
    if (!document.exists) {
        (void)err_set(&err, ERR_NOT_FOUND,
                      "there is no document %s: see agatectl services", name);
        return tell_error(&err);
    }
    (void)printf("%s", document.in_force);
    return EXIT_DONE;
}

/* The file itself says which service it is for, or that it is the fleet's. */
static int
read_document(session_t *session, document_t *document, err_t *err)
{
    const toml_value_t *root;
    const toml_value_t *service;

    document->file = session->options->arguments[0];
    document->text =
        read_file(session, document->file, &document->length, err);
    if (document->text == NULL) {
        return -1;
    }
    root = toml_parse(&session->arena, document->file, document->text,
                      document->length, err);
    if (root == NULL) {
        return -1;
    }
    service = toml_get(root, "service");
    if (service != NULL && service->type == TOML_STRING) {
        document->path =
            arena_printf(&session->arena, "services/%s", service->string);
        return 0;
    }
    if (toml_get(root, "runner") != NULL) {
        document->path = "fleet";
        return 0;
    }
    return err_set(err, ERR_DOCUMENT,
                   "%s:1: neither service nor [[runner]] stands in it: write "
                   "a team's or the operators' document",
                   document->file);
}

/* -1 with the exit code set when it cannot be read. */
static int
read_in_force(session_t *session, document_t *document, int *code)
{
    call_t call = {.method = "GET", .path = document->path};
    const char *text = "";
    reply_t reply;
    err_t err;
    json_t *root;

    document->in_force = "";
    if (client_call(session, &call, &reply, &err) < 0) {
        *code = tell_error(&err);
        return -1;
    }
    if (reply.status == STATUS_NOT_FOUND) {
        return 0;
    }
    if (reply.status != STATUS_OK) {
        *code = tell_refusal(&reply);
        return -1;
    }
    root = json_loadb(reply.body, reply.length, 0, NULL);
    (void)json_unpack(root, "{s:I, s:s}", "revision", &document->revision,
                      "text", &text);
    document->exists = true;
    document->in_force = arena_strdup(&session->arena, text);
    json_decref(root);
    return 0;
}

/* Hosts call what they parse "document"; here it is a file. */
static int
tell_document(const document_t *document, const reply_t *reply)
{
    static const char origin[] = "document:";
    json_t *root = json_loadb(reply->body, reply->length, 0, NULL);
    const char *message = json_string_value(
        json_object_get(json_object_get(root, "error"), "message"));
    bool ours =
        message != NULL && strncmp(message, origin, strlen(origin)) == 0;

    if (ours) {
        (void)fprintf(stderr, "agatectl: %s:%s\n", document->file,
                      message + strlen(origin));
    }
    json_decref(root);
    return ours ? EXIT_REFUSED : tell_refusal(reply);
}

static int
print_spread(session_t *session, const document_t *document,
             const reply_t *reply)
{
    static const column_t columns[] = {{"HOST", "host"},
                                       {"ZONE", "zone"},
                                       {"STATE", "state"},
                                       {"IN-FORCE", "in_force"},
                                       {"AFTER-MS", "after_ms"}};
    json_t *root = json_loadb(reply->body, reply->length, 0, NULL);
    const json_t *hosts = json_object_get(root, "hosts");
    size_t missing = 0;
    size_t i;

    for (i = 0; i < json_array_size(hosts); i++) {
        const json_t *host = json_array_get(hosts, i);

        missing += json_is_true(json_object_get(host, "in_force")) ? 0 : 1;
    }
    if (session->options->json) {
        (void)printf("%s\n", reply->body);
    }
    else {
        (void)printf("%s accepted as revision %" JSON_INTEGER_FORMAT "\n",
                     document->file,
                     json_integer_value(json_object_get(root, "revision")));
        table_print(hosts, columns, sizeof(columns) / sizeof(columns[0]));
    }
    json_decref(root);
    return missing == 0 ? EXIT_DONE : EXIT_DIFFERS;
}

static int
print_conflict(session_t *session, const document_t *document,
               const reply_t *reply)
{
    json_t *root = json_loadb(reply->body, reply->length, 0, NULL);
    const char *text = json_string_value(json_object_get(root, "text"));

    (void)fprintf(stderr,
                  "agatectl: somebody changed it first, to revision "
                  "%" JSON_INTEGER_FORMAT ": compare and apply again\n",
                  json_integer_value(json_object_get(root, "revision")));
    if (session->options->json) {
        (void)printf("%s\n", reply->body);
    }
    else {
        (void)diff_print(&session->arena, "in force", text == NULL ? "" : text,
                         document->file, document->text);
    }
    json_decref(root);
    return EXIT_CONFLICT;
}

static int
show_revision(session_t *session, const char *name)
{
    call_t call = {.method = "GET"};
    const char *wanted = session->options->revision;
    char revision[REVISION_BYTES];
    const json_t *entries;
    json_t *root;
    reply_t reply;
    err_t err;
    size_t i;

    call.path =
        strcmp(name, "fleet") == 0
            ? "fleet/history"
            : arena_printf(&session->arena, "services/%s/history", name);
    if (client_call(session, &call, &reply, &err) < 0) {
        return tell_error(&err);
    }
    if (reply.status != STATUS_OK) {
        return tell_refusal(&reply);
    }
    root = json_loadb(reply.body, reply.length, 0, NULL);
    entries = json_object_get(root, "history");
    for (i = 0; i < json_array_size(entries); i++) {
        const json_t *entry = json_array_get(entries, i);

        (void)snprintf(revision, sizeof(revision), "%" JSON_INTEGER_FORMAT,
                       json_integer_value(json_object_get(entry, "revision")));
        if (strcmp(revision, wanted) == 0) {
            (void)printf("%s",
                         json_string_value(json_object_get(entry, "text")));
            json_decref(root);
            return EXIT_DONE;
        }
    }
    json_decref(root);
    (void)err_set(&err, ERR_NOT_FOUND,
                  "revision %s of %s is not kept: see agatectl history %s",
                  wanted, name, name);
    return tell_error(&err);
}
