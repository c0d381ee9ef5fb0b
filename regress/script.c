/* script.c - see script.h. */
#include <string.h>
#include <sys/queue.h>
#include <syslog.h>

#include "regress/script_private.h"

enum { LINK_DELAY_US = 1000 };

/* A host of the script. */
typedef struct {
    const char *name; /* NULL: not started, or dead */
    node_t *node;
    action_list_t actions;
    int64_t timer_us; /* the timer that it asked for */
} script_host_t;

/* A message on its way, encoded. */
typedef struct letter {
    STAILQ_ENTRY(letter) link;
    int64_t due_us;
    const char *from;
    const char *to;
    char *bytes;
    u_int size;
} letter_t;

/* One run of a script. */
typedef struct {
    arena_t *arena;
    char *out;
    int64_t now_us;
    script_host_t hosts[SCRIPT_HOSTS_MAX];
    STAILQ_HEAD(, letter) letters; /* one delay for all: sorted by time */
    bool cut;                      /* messages are lost */
    script_see_t see;              /* NULL: nobody looks on */
    void *context;
} script_run_t;

static script_host_t *
find_host(script_run_t *run, const char *name)
{
    for (size_t i = 0; i < SCRIPT_HOSTS_MAX; i++) {
        script_host_t *host = &run->hosts[i];

        if (host->name != NULL && strcmp(host->name, name) == 0) {
            return host;
        }
    }
    return NULL;
}

static void
send_letter(script_run_t *run, const char *from,
            const send_message_action_t *send_message)
{
    letter_t *letter = arena_alloc(run->arena, sizeof(*letter));
    message_t message = send_message->message;
    u_int size = (u_int)xdr_sizeof((xdrproc_t)xdr_message_t, &message);
    XDR xdrs;

    if (run->cut) {
        return;
    }
    letter->bytes = arena_alloc(run->arena, size);
    letter->size = size;
    letter->due_us = run->now_us + LINK_DELAY_US;
    letter->from = from;
    letter->to = arena_strdup(run->arena, send_message->host);
    xdrmem_create(&xdrs, letter->bytes, size, XDR_ENCODE);
    (void)xdr_message_t(&xdrs, &message);
    xdr_destroy(&xdrs);
    STAILQ_INSERT_TAIL(&run->letters, letter, link);
}

/* What fills every script and says nothing of its session. */
static bool
is_noise(const action_t *order)
{
    if (order->kind == ACTION_LOG) {
        return order->action_t_u.log.severity > LOG_ERR;
    }
    if (order->kind == ACTION_SEND_MESSAGE) {
        message_kind_t kind = order->action_t_u.send_message.message.kind;

        return kind == MESSAGE_HEARTBEAT || kind == MESSAGE_CONFIG ||
               kind == MESSAGE_CONFIG_DIGEST;
    }
    return order->kind == ACTION_SET_TIMER;
}

/* Writes the actions down and carries out those between hosts. */
static void
take_orders(script_run_t *run, script_host_t *host, const char *prefix)
{
    const char *who = strcmp(host->name, "a1") == 0
                          ? ""
                          : arena_printf(run->arena, " %s", host->name);

    for (size_t i = 0; i < host->actions.count; i++) {
        const action_t *order = &host->actions.items[i];

        if (run->see != NULL) {
            run->see(run->context, host->name, order);
        }
        if (order->kind == ACTION_SET_TIMER) {
            host->timer_us = order->action_t_u.timer.at_us;
        }
        if (order->kind == ACTION_SEND_MESSAGE) {
            send_letter(run, host->name, &order->action_t_u.send_message);
        }
        if (!is_noise(order)) {
            run->out = arena_printf(run->arena, "%s<%s%s %s\n", run->out, who,
                                    prefix, script_order(run->arena, order));
        }
    }
}

static void
step(script_run_t *run, script_host_t *host, const event_t *event,
     bool by_itself)
{
    const char *prefix = "";

    if (by_itself) {
        prefix = arena_printf(
            run->arena, " %lld:", (long long)run->now_us / SCRIPT_US_PER_MS);
    }
    actions_reset(&host->actions);
    node_step(host->node, run->now_us, event, &host->actions);
    take_orders(run, host, prefix);
}

static void
deliver(script_run_t *run, const letter_t *letter)
{
    script_host_t *host = find_host(run, letter->to);
    event_t event = {.kind = EVENT_PEER_MESSAGE};
    XDR xdrs;

    if (host == NULL) {
        return;
    }
    event.event_t_u.peer.host = arena_strdup(run->arena, letter->from);
    xdrmem_create(&xdrs, letter->bytes, letter->size, XDR_DECODE);
    if (xdr_message_t(&xdrs, &event.event_t_u.peer.message)) {
        step(run, host, &event, true);
    }
    xdr_free((xdrproc_t)xdr_message_t, &event.event_t_u.peer.message);
    xdr_destroy(&xdrs);
}

static script_host_t *
first_timer(script_run_t *run)
{
    script_host_t *first = NULL;

    for (size_t i = 0; i < SCRIPT_HOSTS_MAX; i++) {
        script_host_t *host = &run->hosts[i];

        if (host->name != NULL &&
            (first == NULL || host->timer_us < first->timer_us)) {
            first = host;
        }
    }
    return first;
}

/* Gives the timers and messages that are due by until_us, in their order. */
static void
run_until(script_run_t *run, int64_t until_us)
{
    event_t timer = {.kind = EVENT_TIMER};

    for (;;) {
        letter_t *letter = STAILQ_FIRST(&run->letters);
        script_host_t *host = first_timer(run);
        int64_t timer_us = host == NULL ? INT64_MAX : host->timer_us;
        int64_t letter_us = letter == NULL ? INT64_MAX : letter->due_us;
        int64_t next_us = letter_us <= timer_us ? letter_us : timer_us;

        if (next_us > until_us) {
            run->now_us = until_us;
            return;
        }
        if (next_us > run->now_us) {
            run->now_us = next_us;
        }
        if (letter_us <= timer_us) {
            STAILQ_REMOVE_HEAD(&run->letters, link);
            deliver(run, letter);
            continue;
        }
        host->timer_us = INT64_MAX;
        step(run, host, &timer, true);
    }
}

static void
stop_host(script_host_t *host)
{
    if (host->name == NULL) {
        return;
    }
    actions_free(&host->actions);
    node_free(host->node);
    host->name = NULL;
}

static int
take_line(script_run_t *run, const line_t *line)
{
    const char *name = script_text(line, "host", "a1");
    script_host_t *host = find_host(run, name);
    event_t event;

    run_until(run, line->at_ms * SCRIPT_US_PER_MS);
    if (strcmp(line->kind, "kill") == 0 && host != NULL) {
        stop_host(host);
        return 0;
    }
    if (strcmp(line->kind, "cut") == 0 || strcmp(line->kind, "heal") == 0) {
        run->cut = strcmp(line->kind, "cut") == 0;
        return 0;
    }
    if (strcmp(line->kind, "start") == 0 && host == NULL) {
        for (host = run->hosts; host->name != NULL; host++) {
            if (host == &run->hosts[SCRIPT_HOSTS_MAX - 1]) {
                return -1;
            }
        }
        host->name = arena_strdup(run->arena, name);
        host->node = node_new();
        host->timer_us = INT64_MAX;
    }
    if (host == NULL || script_event(run->arena, line, &event) < 0) {
        return -1;
    }
    if (event.kind != EVENT_TIMER) {
        step(run, host, &event, false);
    }
    return 0;
}

char *
script_run(arena_t *arena, const char *text, err_t *err)
{
    return script_run_seen(arena, text, NULL, NULL, err);
}

char *
script_run_seen(arena_t *arena, const char *text, script_see_t see,
                void *context, err_t *err)
{
    char *rest = arena_strdup(arena, text);
    script_run_t run = {
        .arena = arena,
        .out = arena_strdup(arena, ""),
        .see = see,
        .context = context,
    };
    uint32_t number = 0;

    STAILQ_INIT(&run.letters);
    while (rest != NULL && *rest != '\0') {
        char *here = strsep(&rest, "\n");
        line_t line;

        number++;
        if (here[0] == '<') {
            continue;
        }
        if (here[0] != '>') {
            run.out = arena_printf(arena, "%s%s\n", run.out, here);
            continue;
        }
        script_split(arena, here, &line);
        run_until(&run, line.at_ms * SCRIPT_US_PER_MS);
        run.out = arena_printf(arena, "%s%s\n", run.out, here);
        if (take_line(&run, &line) < 0) {
            (void)err_set(
                err, ERR_PROTOCOL,
                "line %u: no such event: see the table in script_event.c",
                number);
            run.out = NULL;
            break;
        }
    }
    for (size_t i = 0; i < SCRIPT_HOSTS_MAX; i++) {
        stop_host(&run.hosts[i]);
    }
    return run.out;
}
