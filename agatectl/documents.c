/* documents.c - checks, applies, compares and prints documents. */
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

/* A document in a file, and the active document of the same name. */
typedef struct {
    const char *path; /* API path */
    const char *file;
    const char *text;
    size_t length;
    bool exists;
    json_int_t revision; /* of the active document; 0: none */
    const char *active_text;
} document_t;

static int read_document(command_context_t *context, document_t *document,
                         err_t *err);
static int fetch_active(command_context_t *context, document_t *document,
                        int *exit_code);
static int print_document_error(const document_t *document,
                                const api_response_t *response);
static int print_rollout(command_context_t *context,
                         const document_t *document,
                         const api_response_t *response);
static int print_conflict(command_context_t *context,
                          const document_t *document,
                          const api_response_t *response);
static int show_revision(command_context_t *context, const char *name);

int
command_check(command_context_t *context)
{
    document_t document = {0};
    api_request_t request = {.method = "POST"};
    api_response_t response;
    err_t err;

    if (read_document(context, &document, &err) < 0) {
        return print_error(&err);
    }
    request.path =
        strcmp(document.path, "fleet") == 0 ? "check/fleet" : "check";
    request.body = document.text;
    request.body_bytes = document.length;
    if (client_send_request(context, &request, &response, &err) < 0) {
        return print_error(&err);
    }
    if (response.status != STATUS_OK) {
        return print_document_error(&document, &response);
    }
    (void)printf("%s is valid\n", document.file);
    return EXIT_DONE;
}

int
command_apply(command_context_t *context)
{
    char revision[REVISION_BYTES];
    document_t document = {0};
    api_request_t request = {.method = "PUT"};
    api_response_t response;
    err_t err;
    int exit_code;

    if (read_document(context, &document, &err) < 0) {
        return print_error(&err);
    }
    if (fetch_active(context, &document, &exit_code) < 0) {
        return exit_code;
    }
    (void)snprintf(revision, sizeof(revision), "%" JSON_INTEGER_FORMAT,
                   document.revision);
    request.path = document.path;
    request.if_match = context->options->revision != NULL
                           ? context->options->revision
                           : revision;
    request.body = document.text;
    request.body_bytes = document.length;
    if (client_send_request(context, &request, &response, &err) < 0) {
        return print_error(&err);
    }
    if (response.status == STATUS_CONFLICT) {
        return print_conflict(context, &document, &response);
    }
    if (response.status != STATUS_OK) {
        return print_document_error(&document, &response);
    }
    return print_rollout(context, &document, &response);
}

int
command_diff(command_context_t *context)
{
    document_t document = {0};
    err_t err;
    int exit_code;

    if (read_document(context, &document, &err) < 0) {
        return print_error(&err);
    }
    if (fetch_active(context, &document, &exit_code) < 0) {
        return exit_code;
    }
    return diff_print(&context->arena, "in force", document.active_text,
                      document.file, document.text)
               ? EXIT_DIFFERS
               : EXIT_DONE;
}

int
command_show(command_context_t *context)
{
    const char *name = context->options->arguments[0];
    document_t document = {
        .path = strcmp(name, "fleet") == 0
                    ? name
                    : arena_printf(&context->arena, "services/%s", name)};
    err_t err;
    int exit_code;

    if (context->options->revision != NULL) {
        return show_revision(context, name);
    }
    if (fetch_active(context, &document, &exit_code) < 0) {
        return exit_code;
    }
    if (!document.exists) {
        (void)err_set(&err, ERR_NOT_FOUND,
                      "document %s does not exist: see agatectl services",
                      name);
        return print_error(&err);
    }
    (void)printf("%s", document.active_text);
    return EXIT_DONE;
}

/* The contents of the file determine the API path of the document. */
static int
read_document(command_context_t *context, document_t *document, err_t *err)
{
    const toml_value_t *root;
    const toml_value_t *service;

    document->file = context->options->arguments[0];
    document->text =
        read_file(context, document->file, &document->length, err);
    if (document->text == NULL) {
        return -1;
    }
    root = toml_parse(&context->arena, document->file, document->text,
                      document->length, err);
    if (root == NULL) {
        return -1;
    }
    service = toml_get(root, "service");
    if (service != NULL && service->type == TOML_STRING) {
        document->path =
            arena_printf(&context->arena, "services/%s", service->string);
        return 0;
    }
    if (toml_get(root, "runner") != NULL) {
        document->path = "fleet";
        return 0;
    }
    return err_set(err, ERR_DOCUMENT,
                   "%s:1: the file has neither service nor [[runner]]: write "
                   "a team's or the operators' document",
                   document->file);
}

/*
 * Fetches the active document, if there is one.  Returns -1 with the exit code
 * set on failure.
 */
static int
fetch_active(command_context_t *context, document_t *document, int *exit_code)
{
    api_request_t request = {.method = "GET", .path = document->path};
    const char *text = "";
    api_response_t response;
    err_t err;
    json_t *root;

    document->active_text = "";
    if (client_send_request(context, &request, &response, &err) < 0) {
        *exit_code = print_error(&err);
        return -1;
    }
    if (response.status == STATUS_NOT_FOUND) {
        return 0;
    }
    if (response.status != STATUS_OK) {
        *exit_code = print_api_error(&response);
        return -1;
    }
    root = json_loadb(response.body, response.length, 0, NULL);
    (void)json_unpack(root, "{s:I, s:s}", "revision", &document->revision,
                      "text", &text);
    document->exists = true;
    document->active_text = arena_strdup(&context->arena, text);
    json_decref(root);
    return 0;
}

/* Replaces the origin "document" in the error message by the file name. */
static int
print_document_error(const document_t *document,
                     const api_response_t *response)
{
    static const char origin[] = "document:";
    json_t *root = json_loadb(response->body, response->length, 0, NULL);
    const char *message = json_string_value(
        json_object_get(json_object_get(root, "error"), "message"));
    bool is_document_error =
        message != NULL && strncmp(message, origin, strlen(origin)) == 0;

    if (is_document_error) {
        (void)fprintf(stderr, "agatectl: %s:%s\n", document->file,
                      message + strlen(origin));
    }
    json_decref(root);
    return is_document_error ? EXIT_REFUSED : print_api_error(response);
}

static int
print_rollout(command_context_t *context, const document_t *document,
              const api_response_t *response)
{
    static const table_column_t columns[] = {{"HOST", "host"},
                                             {"ZONE", "zone"},
                                             {"STATE", "state"},
                                             {"IN-FORCE", "in_force"},
                                             {"AFTER-MS", "after_ms"}};
    json_t *root = json_loadb(response->body, response->length, 0, NULL);
    const json_t *hosts = json_object_get(root, "hosts");
    size_t hosts_missing = 0;
    size_t i;

    for (i = 0; i < json_array_size(hosts); i++) {
        const json_t *host = json_array_get(hosts, i);

        hosts_missing +=
            json_is_true(json_object_get(host, "in_force")) ? 0 : 1;
    }
    if (context->options->json) {
        (void)printf("%s\n", response->body);
    }
    else {
        (void)printf("%s accepted as revision %" JSON_INTEGER_FORMAT "\n",
                     document->file,
                     json_integer_value(json_object_get(root, "revision")));
        table_print(hosts, columns, sizeof(columns) / sizeof(columns[0]));
    }
    json_decref(root);
    return hosts_missing == 0 ? EXIT_DONE : EXIT_DIFFERS;
}

static int
print_conflict(command_context_t *context, const document_t *document,
               const api_response_t *response)
{
    json_t *root = json_loadb(response->body, response->length, 0, NULL);
    const char *text = json_string_value(json_object_get(root, "text"));

    (void)fprintf(
        stderr,
        "agatectl: the document was changed in the meantime, to revision "
        "%" JSON_INTEGER_FORMAT ": compare and apply again\n",
        json_integer_value(json_object_get(root, "revision")));
    if (context->options->json) {
        (void)printf("%s\n", response->body);
    }
    else {
        (void)diff_print(&context->arena, "in force", text == NULL ? "" : text,
                         document->file, document->text);
    }
    json_decref(root);
    return EXIT_CONFLICT;
}

static int
show_revision(command_context_t *context, const char *name)
{
    api_request_t request = {.method = "GET"};
    const char *wanted = context->options->revision;
    char revision[REVISION_BYTES];
    const json_t *entries;
    json_t *root;
    api_response_t response;
    err_t err;
    size_t i;

    request.path =
        strcmp(name, "fleet") == 0
            ? "fleet/history"
            : arena_printf(&context->arena, "services/%s/history", name);
    if (client_send_request(context, &request, &response, &err) < 0) {
        return print_error(&err);
    }
    if (response.status != STATUS_OK) {
        return print_api_error(&response);
    }
    root = json_loadb(response.body, response.length, 0, NULL);
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
    (void)err_set(
        &err, ERR_NOT_FOUND,
        "revision %s of %s is not in the history: see agatectl history %s",
        wanted, name, name);
    return print_error(&err);
}
