/* load.c - the load client and history checker. */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "regress/standin/load.h"

enum { ARGUMENTS_MAX = 64 };

static load_options_t options = {.key = "secret",
                                 .model = "planner",
                                 .version = "planner-v3",
                                 .service = "bay-slots",
                                 .kind = "plan",
                                 .once_kind = "forecast",
                                 .silence_ms = 2000,
                                 .patience_ms = 60000};
static load_mix_t mix = {
    .seed = 1, .sessions = 1, .length_min = 20, .length_max = 200};
static load_run_t run = {.at_once = 1, .bound_ms = 4000, .killer_bound = 3};
static const char *arguments[ARGUMENTS_MAX];
static size_t argument_count;

static error_t parse_option(int key, char *arg, struct argp_state *state);
static uint32_t number(const char *arg, struct argp_state *state);

static uint32_t
number(const char *arg, struct argp_state *state)
{
    char *end;
    unsigned long value = strtoul(arg, &end, 10);

    if (*arg == '\0' || *end != '\0' || value > UINT32_MAX) {
        argp_error(state, "%s is no number: write one", arg);
    }
    return (uint32_t)value;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'r':
        while (options.router_count < LOAD_ROUTERS_MAX && arg != NULL) {
            options.routers[options.router_count++] = strsep(&arg, ",");
        }
        return 0;
    case 's':
        mix.seed = number(arg, state);
        return 0;
    case 'n':
        mix.sessions = number(arg, state);
        return 0;
    case 'c':
        run.at_once = number(arg, state);
        return 0;
    case 'l':
        mix.length_min = number(arg, state);
        return 0;
    case 'L':
        mix.length_max = number(arg, state);
        return 0;
    case 'p':
        mix.plain_percent = number(arg, state);
        return 0;
    case 'o':
        mix.once_percent = number(arg, state);
        return 0;
    case 'd':
        mix.drop_percent = number(arg, state);
        return 0;
    case 't':
        mix.repeat_percent = number(arg, state);
        return 0;
    case 'w':
        mix.whole_percent = number(arg, state);
        return 0;
    case 'k':
        mix.killers = number(arg, state);
        return 0;
    case 'b':
        run.bound_ms = number(arg, state);
        return 0;
    case 'v':
        options.vary = true;
        return 0;
    case 'u':
        run.uncut = true;
        return 0;
    case 'q':
        options.silence_ms = number(arg, state);
        return 0;
    case 'P':
        options.patience_ms = number(arg, state);
        return 0;
    case ARGP_KEY_ARG:
        if (argument_count == ARGUMENTS_MAX) {
            argp_error(state, "too many arguments: leave some out");
        }
        arguments[argument_count++] = arg;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option known[] = {
    {"routers", 'r', "A,B", 0, "addresses, ip:port", 0},
    {"seed", 's', "N", 0, "of the whole run", 0},
    {"sessions", 'n', "N", 0, "requests to send", 0},
    {"at-once", 'c', "N", 0, "requests at once", 0},
    {"length-min", 'l', "N", 0, "tokens of the shortest answer", 0},
    {"length-max", 'L', "N", 0, "tokens of the longest answer", 0},
    {"plain", 'p', "PERCENT", 0, "calls of the plain service", 0},
    {"once", 'o', "PERCENT", 0, "non-idempotent requests", 0},
    {"drop", 'd', "PERCENT", 0, "callers that drop their connection", 0},
    {"repeat", 't', "PERCENT", 0, "requests that two callers send", 0},
    {"whole", 'w', "PERCENT", 0, "answers that are not streamed", 0},
    {"killers", 'k', "N", 0, "requests that kill engines", 0},
    {"bound-ms", 'b', "MS", 0, "bound of the longest gap", 0},
    {"vary", 'v', NULL, 0, "the engines' generations differ", 0},
    {"uncut", 'u', NULL, 0, "a connection cut off is a fault", 0},
    {"silence-ms", 'q', "MS", 0, "silence until a caller reconnects", 0},
    {"patience-ms", 'P', "MS", 0, "time until a caller gives up", 0},
    {0}};

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        known,
        parse_option,
        "put STORE KEY FILE\ncall METHOD URL [BODY]\none\nrun JOURNAL...",
        "Sends load and checks what came of it.",
        NULL,
        NULL,
        NULL};

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (argument_count == 4 && strcmp(arguments[0], "put") == 0) {
        return store_put(arguments[1], arguments[2], arguments[3]);
    }
    if (argument_count >= 3 && strcmp(arguments[0], "call") == 0) {
        return call_print(arguments[1], arguments[2], options.key,
                          arguments[3]);
    }
    if (options.router_count > 0 && argument_count == 1 &&
        strcmp(arguments[0], "one") == 0) {
        options.print = true;
        return run_one(&options, &mix);
    }
    if (options.router_count > 0 && argument_count >= 1 &&
        strcmp(arguments[0], "run") == 0) {
        run.journals = arguments + 1;
        run.journal_count = argument_count - 1;
        return run_many(&options, &mix, &run);
    }
    argp_help(&argp, stderr, ARGP_HELP_STD_USAGE, argv[0]);
    return 2;
}
