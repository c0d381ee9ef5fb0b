/* host.c - the agated processes, and what befalls them. */
#include <arpa/inet.h>
#include <err.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/soak/soak.h"

enum {
    PATH_BYTES = 256,
    RESTART_MS = 400,
    TICK_MS = 50,
    /* A process that is told to stop sooner has not opened its ports. */
    OPEN_MS = 500,
    /* The kernel and the loader need no longer to begin main(). */
    LOAD_MS = 500,
    PORT_FIRST = 10000,
    PORT_RUNS = 80,
    PORTS_A_RUN = 280,
};

typedef struct {
    uv_process_t process;
    bool up;
    bool killed;   /* by the driver */
    bool ending;   /* told to stop */
    bool for_good; /* and not to start again */
    bool reloaded_early;
    uint64_t ending_ms;
    uint64_t start_ms;  /* starts again then; 0: it is up */
    uint64_t up_ms;     /* started then */
    uint64_t paused_ms; /* goes on then; 0: it runs */
    uint64_t store_ms;  /* the link to the store heals then; 0: it is well */
    uint64_t callers_ms;
    uint64_t calm_ms; /* the last fault ended then */
    proxy_t *to_store;
    proxy_t *from_callers;
    char settings[PATH_BYTES];
    char log[PATH_BYTES];
} host_t;

static host_t hosts[SOAK_HOSTS_MAX];
static size_t count;
static const char *program;
static uv_timer_t timer;
static uint64_t disturbed_ms;

static uint16_t free_port(void);
static void write_settings(const host_t *host, size_t number,
                           uint16_t callers);
static void start(host_t *host);
static void on_exit_of(uv_process_t *process, int64_t status, int number);
static void on_closed(uv_handle_t *handle);
static void on_tick(uv_timer_t *tick);
static void tell(host_t *host, int number);
static bool is_harmed(const host_t *host);
static bool is_loading(const host_t *host);

void
hosts_open(const char *path, const char *folder, uint32_t wanted)
{
    size_t i;

    program = path;
    count = wanted;
    for (i = 0; i < count; i++) {
        host_t *host = &hosts[i];
        uint16_t callers = free_port();

        host->to_store = proxy_open(soak_store_port());
        host->from_callers = proxy_open(callers);
        (void)snprintf(host->settings, sizeof(host->settings), "%s/h%zu.toml",
                       folder, i);
        (void)snprintf(host->log, sizeof(host->log), "%s/h%zu.log", folder, i);
        write_settings(host, i, callers);
        start(host);
    }
    (void)uv_timer_init(soak_loop(), &timer);
    (void)uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
}

size_t
hosts_count(void)
{
    return count;
}

uint16_t
host_address(size_t host)
{
    return proxy_port(hosts[host].from_callers);
}

bool
host_is_up(size_t host)
{
    return hosts[host].up && !hosts[host].ending;
}

bool
host_is_calm(size_t number, uint64_t before_ms)
{
    const host_t *host = &hosts[number];

    return number < count && host->up && !host->killed && !is_harmed(host) &&
           host->calm_ms + SOAK_CALM_MS <= before_ms;
}

int
host_process(size_t host)
{
    return hosts[host].up ? hosts[host].process.pid : 0;
}

uint64_t
hosts_disturbed_ms(void)
{
    return disturbed_ms;
}

void
host_kill(size_t number)
{
    host_t *host = &hosts[number];

    if (host->up && !host->for_good) {
        disturbed_ms = soak_now_ms();
        host->killed = true;
        soak_note("kill h%zu", number);
        tell(host, SIGKILL);
    }
}

void
host_pause(size_t number, uint64_t for_ms)
{
    host_t *host = &hosts[number];

    if (host->up && host->paused_ms == 0 && !host->for_good) {
        disturbed_ms = soak_now_ms();
        host->paused_ms = soak_now_ms() + for_ms;
        soak_note("pause h%zu %" PRIu64, number, for_ms);
        tell(host, SIGSTOP);
    }
}

void
host_stop(size_t number)
{
    host_t *host = &hosts[number];

    if (host->up && !host->ending) {
        disturbed_ms = soak_now_ms();
        host->ending = true;
        host->ending_ms = soak_now_ms();
        soak_note("stop h%zu", number);
        tell(host, SIGTERM);
    }
}

void
host_reload(size_t number)
{
    host_t *host = &hosts[number];

    if (host->up) {
        host->reloaded_early = is_loading(host);
        soak_note("reload h%zu early=%d", number, host->reloaded_early);
        tell(host, SIGHUP);
    }
}

void
host_harm_store(size_t number, link_mode_t mode, uint64_t for_ms)
{
    host_t *host = &hosts[number];

    host->store_ms = soak_now_ms() + for_ms;
    soak_note("store link h%zu mode=%d %" PRIu64, number, mode, for_ms);
    proxy_set_mode(host->to_store, mode);
}

void
host_harm_callers(size_t number, link_mode_t mode, uint64_t for_ms)
{
    host_t *host = &hosts[number];

    host->callers_ms = soak_now_ms() + for_ms;
    soak_note("callers' link h%zu mode=%d %" PRIu64, number, mode, for_ms);
    proxy_set_mode(host->from_callers, mode);
}

void
hosts_heal(void)
{
    size_t i;

    for (i = 0; i < count; i++) {
        host_t *host = &hosts[i];

        host->store_ms = host->store_ms > 0 ? 1 : 0;
        host->callers_ms = host->callers_ms > 0 ? 1 : 0;
        host->paused_ms = host->paused_ms > 0 ? 1 : 0;
    }
}

void
hosts_end(void)
{
    size_t i;

    for (i = 0; i < count; i++) {
        hosts[i].for_good = true;
        hosts[i].start_ms = 0;
        host_stop(i);
    }
}

bool
hosts_ended(void)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (hosts[i].up) {
            return false;
        }
    }
    return true;
}

/*
 * Below those that the kernel gives to connections, so that a host finds its
 * own again when it starts anew; runs beside this one have others.
 */
static uint16_t
free_port(void)
{
    static uint16_t next;
    struct sockaddr_in address = {.sin_family = AF_INET};
    int tries;

    if (next == 0) {
        next = (uint16_t)(PORT_FIRST + getpid() % PORT_RUNS * PORTS_A_RUN);
    }
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (tries = 0; tries < PORTS_A_RUN; tries++) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int status;

        next++;
        address.sin_port = htons(next);
        status = bind(fd, (struct sockaddr *)&address, sizeof(address));
        (void)close(fd);
        if (status == 0) {
            return next;
        }
    }
    errx(1, "no port from %d on is free: end other programs", PORT_FIRST);
}

static void
write_settings(const host_t *host, size_t number, uint16_t callers)
{
    static const char *const zones[] = {"a", "b", "c"};
    FILE *file = fopen(host->settings, "we");

    if (file == NULL) {
        err(1, "%s", host->settings);
    }
    (void)fprintf(file,
                  "host = \"h%zu\"\nzone = \"%s\"\n[listen]\n"
                  "address = \"127.0.0.1:%u\"\n[platform]\n"
                  "kind = \"platform\"\naddresses = [\"127.0.0.1:%u\"]\n"
                  "timeout_ms = 400\n[gateway]\n"
                  "readiness = \"127.0.0.1:%u\"\n"
                  "lookup = \"127.0.0.1:%u\"\npeers = \"127.0.0.1:%u\"\n"
                  "revoke_ms = 5000\ngrace_s = 8\nretry_ratio = 0.8\n"
                  "retry_fixed = 150\nretry_window_s = 10\n",
                  number, zones[number % 3], callers,
                  proxy_port(host->to_store), free_port(), free_port(),
                  free_port());
    (void)fclose(file);
}

static void
start(host_t *host)
{
    char *args[] = {(char *)(uintptr_t)program, "-f", host->settings, NULL};
    uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
    uv_process_options_t options = {
        .file = program,
        .args = args,
        .exit_cb = on_exit_of,
        .stdio = stdio,
        .stdio_count = 3,
    };
    int log = open(host->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    int status;

    stdio[1] = (uv_stdio_container_t){.flags = UV_INHERIT_FD, .data.fd = log};
    stdio[2] = stdio[1];
    host->process.data = host;
    status = uv_spawn(soak_loop(), &host->process, &options);
    (void)close(log);
    if (status != 0) {
        errx(1, "%s does not start: %s", program, uv_strerror(status));
    }
    host->up = true;
    host->killed = false;
    host->ending = false;
    host->reloaded_early = false;
    host->start_ms = 0;
    host->up_ms = soak_now_ms();
    host->calm_ms = host->up_ms;
}

static void
on_exit_of(uv_process_t *process, int64_t status, int number)
{
    host_t *host = process->data;

    host->up = false;
    host->paused_ms = 0;
    if (!host->killed && !host->ending &&
        !(number == SIGHUP && host->reloaded_early)) {
        soak_broken("up", "h%zu ended by itself, status %" PRId64 " signal %d",
                    (size_t)(host - hosts), status, number);
    }
    if (!host->killed && host->ending && (status != 0 || number != 0) &&
        !(number == SIGTERM && host->ending_ms < host->up_ms + OPEN_MS)) {
        soak_broken("stop", "h%zu stopped with status %" PRId64 " signal %d",
                    (size_t)(host - hosts), status, number);
    }
    uv_close((uv_handle_t *)process, on_closed);
}

static void
on_closed(uv_handle_t *handle)
{
    host_t *host = handle->data;

    host->start_ms = host->for_good ? 0 : soak_now_ms() + RESTART_MS;
}

static void
on_tick(uv_timer_t *tick)
{
    uint64_t now_ms = soak_now_ms();
    size_t i;

    for (i = 0; i < count; i++) {
        host_t *host = &hosts[i];

        if (host->start_ms > 0 && now_ms >= host->start_ms) {
            start(host);
        }
        if (host->paused_ms > 0 && now_ms >= host->paused_ms) {
            host->paused_ms = 0;
            host->calm_ms = now_ms;
            tell(host, SIGCONT);
        }
        if (host->store_ms > 0 && now_ms >= host->store_ms) {
            host->store_ms = 0;
            host->calm_ms = now_ms;
            proxy_set_mode(host->to_store, LINK_PASSES);
        }
        if (host->callers_ms > 0 && now_ms >= host->callers_ms) {
            host->callers_ms = 0;
            host->calm_ms = now_ms;
            proxy_set_mode(host->from_callers, LINK_PASSES);
        }
        if (host->up && host->ending && host->paused_ms == 0 &&
            now_ms > host->ending_ms + SOAK_GRACE_MS &&
            now_ms > host->calm_ms + SOAK_GRACE_MS) {
            soak_broken("stop", "h%zu did not stop", i);
            host->killed = true;
            tell(host, SIGKILL);
        }
    }
}

static void
tell(host_t *host, int number)
{
    if (host->up) {
        (void)uv_process_kill(&host->process, number);
    }
}

static bool
is_harmed(const host_t *host)
{
    return host->paused_ms > 0 || host->store_ms > 0 || host->callers_ms > 0;
}

/* Whether main() has not begun, so that SIGHUP is neither blocked nor handled.
 */
static bool
is_loading(const host_t *host)
{
    static const char *const names[] = {"SigBlk:", "SigCgt:"};
    char path[PATH_BYTES];
    char line[PATH_BYTES];
    bool handled = false;
    FILE *file;
    size_t i;

    (void)snprintf(path, sizeof(path), "/proc/%d/status", host->process.pid);
    file = fopen(path, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
            size_t length = strlen(names[i]);

            if (strncmp(line, names[i], length) == 0 &&
                (strtoull(line + length, NULL, 16) >> (SIGHUP - 1) & 1) != 0) {
                handled = true;
            }
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    return !handled && soak_now_ms() < host->up_ms + LOAD_MS;
}
