/* agatectl.c - administers hosts; parses the command line. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "agatectl/agatectl.h"

enum { OPTION_JSON = 256 };

/* A subcommand and the number of its arguments. */
typedef struct {
    const char *name;
    size_t arguments;
    bool local; /* sends no request to a host */
    int (*run)(command_context_t *context);
} subcommand_t;

static error_t parse_option(int key, char *arg, struct argp_state *state);
static const subcommand_t *find_command(const char *name);

const char *argp_program_version = "agatectl " AGATEVALE_VERSION;

static const subcommand_t commands[] = {
    {"check", 1, false, command_check},
    {"apply", 1, false, command_apply},
    {"diff", 1, false, command_diff},
    {"show", 1, false, command_show},
    {"history", 1, false, command_history},
    {"services", 0, false, command_services},
    {"hosts", 0, false, command_hosts},
    {"runners", 0, false, command_runners},
    {"requests", 0, false, command_requests},
    {"burn", 0, false, command_burn},
    {"drain", 0, false, command_drain},
    {"key", 0, true, command_key},
    {"trace", 1, true, command_trace},
};

static const struct argp_option argp_options[] = {
    {"address", 'a', "IP:PORT", 0,
     "Host to query; further addresses are tried in order", 0},
    {"ca", 'c', "FILE", 0, "Use TLS, and trust the certificates in FILE", 0},
    {"key-file", 'k', "FILE", 0, "File with the API key (or set AGATECTL_KEY)",
     0},
    {"revision", 'r', "N", 0,
     "apply: revision to replace; show: revision to print", 0},
    {"json", OPTION_JSON, NULL, 0, "Print the response as JSON", 0},
    {0},
};

static const struct argp argp = {
    .options = argp_options,
    .parser = parse_option,
    .args_doc =
        "check FILE\napply FILE\ndiff FILE\nshow NAME\nhistory NAME\n"
        "services\nhosts\nrunners\nrequests\nburn\ndrain\nkey\ntrace REQUEST",
    .doc = "Shows and changes the configuration of agated.  NAME is a "
           "service, or "
           "\"fleet\" for the operators' document.",
};

int
main(int argc, char **argv)
{
    options_t options = {0};
    command_context_t context = {.options = &options};
    const subcommand_t *command;
    err_t err;
    int exit_code;

    if (argp_parse(&argp, argc, argv, 0, NULL, &options) != 0) {
        return EXIT_FAILURE;
    }
    command = find_command(options.arguments[0]);
    memmove(options.arguments, options.arguments + 1,
            sizeof(options.arguments) - sizeof(options.arguments[0]));
    if (options.address_count == 0) {
        options.addresses[0] = "127.0.0.1:8080";
        options.address_count = 1;
    }
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    exit_code = !command->local && client_load_key(&context, &err) < 0
                    ? print_error(&err)
                    : command->run(&context);
    arena_free(&context.arena);
    curl_global_cleanup();
    return exit_code;
}

int
print_error(const err_t *err)
{
    (void)fprintf(stderr, "agatectl: %s\n", err->message);
    return err->kind == ERR_UNREACHED ? EXIT_UNREACHABLE : EXIT_REFUSED;
}

int
print_api_error(const api_response_t *response)
{
    json_t *root = json_loadb(response->body, response->length, 0, NULL);
    const char *message = json_string_value(
        json_object_get(json_object_get(root, "error"), "message"));

    (void)fprintf(stderr, "agatectl: %s (HTTP status %ld)\n",
                  message == NULL ? "the host sent no error message" : message,
                  response->status);
    json_decref(root);
    return EXIT_REFUSED;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    options_t *options = state->input;

    switch (key) {
    case 'a':
        if (options->address_count == ADDRESSES_MAX) {
            argp_error(state, "at most %d addresses", ADDRESSES_MAX);
            return 0;
        }
        options->addresses[options->address_count++] = arg;
        return 0;
    case 'c':
        options->ca_file = arg;
        return 0;
    case 'k':
        options->key_file = arg;
        return 0;
    case 'r':
        options->revision = arg;
        return 0;
    case OPTION_JSON:
        options->json = true;
        return 0;
    case ARGP_KEY_ARG:
        if (options->argument_count == ARGUMENTS_MAX - 1) {
            argp_usage(state);
            return 0;
        }
        options->arguments[options->argument_count++] = arg;
        return 0;
    case ARGP_KEY_END:
        if (options->argument_count == 0 ||
            find_command(options->arguments[0]) == NULL ||
            find_command(options->arguments[0])->arguments !=
                options->argument_count - 1) {
            argp_usage(state);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const subcommand_t *
find_command(const char *name)
{
    size_t i;

    for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}
