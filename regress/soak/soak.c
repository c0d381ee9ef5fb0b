/*
 * soak.c - one run of the soak: soak AGATED SEED SECONDS [HOSTS ENGINES].
 *
 * Exit status 0: no promise was broken.  What was done and what was found is
 * on standard output; the hosts' logs stay in the folder that it names when
 * something is broken.
 */
#include <dirent.h>
#include <err.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/random.h"
#include "regress/soak/soak.h"

enum {
    HOSTS_DEFAULT = 4,
    ENGINES_DEFAULT = 9,
    CALLERS_A_SECOND = 30,
    SETTLE_MS = 3000,
    STEP_MS = 50,
    FAULT_LEAST_MS = 100,
    FAULT_SPREAD_MS = 700,
    /* Hosts, links and store are left alone for so long, and then not, by
     * turns: what holds for calm hosts only is seen as well. */
    TURN_MS = 7000,
    /* The second key goes at this part of the run, in hundredths. */
    REVOKE_PERCENT = 40,
    REVOKED_LINK_MS = 9000,
    BUSY_MS = 20000,
    NOTES_KEPT = 400,
    NOTE_BYTES = 160,
    PATH_BYTES = 256,
};

typedef enum {
    FAULT_KILL,
    FAULT_PAUSE,
    FAULT_STOP,
    FAULT_RELOAD,
    FAULT_STORE_LINK,
    FAULT_CALLERS_LINK,
    FAULT_HERD,
    FAULT_CRASH,
    FAULT_ZONE,
    FAULT_DRAIN,
    FAULT_SPOIL,
    FAULT_STORE,
    FAULT_STORE_LOSES,
    FAULT_STORE_FORGETS,
    FAULTS,
} fault_t;

static const struct {
    const char *name;
    uint32_t weight;
    bool runners; /* it leaves hosts, links and store alone */
} faults[FAULTS] = {
    [FAULT_KILL] = {"kill", 6},
    [FAULT_PAUSE] = {"pause", 6},
    [FAULT_STOP] = {"stop", 6, true},
    [FAULT_RELOAD] = {"reload", 3, true},
    [FAULT_STORE_LINK] = {"store-link", 6},
    [FAULT_CALLERS_LINK] = {"callers-link", 6},
    [FAULT_HERD] = {"herd", 1},
    [FAULT_CRASH] = {"crash", 14, true},
    [FAULT_ZONE] = {"zone", 4, true},
    [FAULT_DRAIN] = {"drain", 6, true},
    [FAULT_SPOIL] = {"spoil", 6, true},
    [FAULT_STORE] = {"store", 5},
    [FAULT_STORE_LOSES] = {"store-loses", 3},
    [FAULT_STORE_FORGETS] = {"store-forgets", 2},
};

typedef enum {
    PHASE_SETTLE,
    PHASE_FAULTS,
    PHASE_CALM,
    PHASE_WAIT,
    PHASE_END
} phase_t;

static struct {
    uv_loop_t loop;
    uv_timer_t timer;
    uint64_t random;
    phase_t phase;
    uint64_t phase_ms; /* began then */
    uint64_t lasts_ms;
    uint64_t next_ms;  /* the next fault */
    uint64_t store_ms; /* the store heals then; 0: it is well */
    uint32_t done[FAULTS];
    uint32_t broken;
    int64_t version;
    bool revoked;
    char notes[NOTES_KEPT][NOTE_BYTES];
    size_t note_count;
    uint64_t began_ms;
} soak;

static void on_step(uv_timer_t *timer);
static void make_fault(void);
static void write_routes(bool second_key);
static void next_phase(phase_t phase);

uv_loop_t *
soak_loop(void)
{
    return &soak.loop;
}

uint64_t
soak_now_ms(void)
{
    return uv_hrtime() / 1000000;
}

uint64_t
soak_chance(uint64_t below)
{
    return random_next_from(&soak.random) % below;
}

uint64_t
soak_hash(const char *text, uint64_t number)
{
    return XXH3_64bits_withSeed(text, strlen(text), number);
}

void
soak_broken(const char *promise, const char *format, ...)
{
    va_list args;

    soak.broken++;
    printf("broken at %" PRIu64 " ms: %s: ", soak_now_ms() - soak.began_ms,
           promise);
    va_start(args, format);
    (void)vprintf(format, args);
    va_end(args);
    printf("\n");
}

void
soak_note(const char *format, ...)
{
    char *note = soak.notes[soak.note_count % NOTES_KEPT];
    int length = snprintf(note, NOTE_BYTES,
                          "%" PRIu64 " ms: ", soak_now_ms() - soak.began_ms);
    va_list args;

    soak.note_count++;
    va_start(args, format);
    (void)vsnprintf(note + length, (size_t)(NOTE_BYTES - length), format,
                    args);
    va_end(args);
}

/* As the platform's operators write it. */
static void
write_routes(bool second_key)
{
    static const char text[] =
        "{\"Version\":%" PRId64 ",\"Routes\":["
        "{\"Name\":\"a\",\"Host\":\"soak.example\",\"PathPrefix\":"
        "\"/stream/\",\"Type\":\"streaming\",\"TimeoutMs\":12000,"
        "\"Service\":\"engine\",\"MaxAttempts\":5,\"Resumable\":true},"
        "{\"Name\":\"b\",\"Host\":\"soak.example\",\"PathPrefix\":"
        "\"/unsafe/\",\"Type\":\"unsafe\",\"TimeoutMs\":2000,"
        "\"Service\":\"plain\",\"MaxAttempts\":1},"
        "{\"Name\":\"c\",\"Host\":\"soak.example\",\"PathPrefix\":"
        "\"/safe/\",\"Type\":\"safe\",\"TimeoutMs\":2000,"
        "\"Service\":\"plain\",\"MaxAttempts\":2}],"
        "\"Services\":[{\"Name\":\"engine\",\"Engine\":{\"Backups\":true}},"
        "{\"Name\":\"plain\"}],\"Tenants\":[{\"Name\":\"o1\",\"ApiKeys\":"
        "[\"k1\"]},{\"Name\":\"o2\",\"ApiKeys\":[%s]}]}";
    char document[2048];

    soak.version += 1 + (int64_t)soak_chance(5);
    (void)snprintf(document, sizeof(document), text, soak.version,
                   second_key ? "\"k2\"" : "");
    soak_store_put("op/config", document);
}

static fault_t
pick_fault(void)
{
    uint32_t sum = 0;
    uint64_t dice;
    fault_t fault;

    for (fault = 0; fault < FAULTS; fault++) {
        sum += faults[fault].weight;
    }
    dice = soak_chance(sum);
    for (fault = 0; fault < FAULTS - 1 && dice >= faults[fault].weight;
         fault++) {
        dice -= faults[fault].weight;
    }
    return fault;
}

static void
crash_zone(void)
{
    uint64_t zone = soak_chance(3);
    bool silent = soak_chance(2) == 0;
    size_t i;

    for (i = zone; i + SOAK_PLAIN < runners_count(); i += 3) {
        runner_crash(i, silent);
    }
}

static void
harm_store(void)
{
    static const store_mode_t modes[] = {STORE_DOWN, STORE_BUSY, STORE_SLOW};

    soak.store_ms = soak_now_ms() + 300 + soak_chance(4000);
    soak_store_mode(modes[soak_chance(3)]);
    soak_note("store is harmed");
}

static void
make_fault(void)
{
    static const link_mode_t modes[] = {LINK_SLOW, LINK_SILENT, LINK_ONE_WAY,
                                        LINK_REFUSES};
    size_t host = soak_chance(hosts_count());
    size_t runner = soak_chance(runners_count());
    link_mode_t mode = modes[soak_chance(4)];
    uint64_t for_ms = 200 + soak_chance(5000);
    fault_t fault = pick_fault();
    size_t i;

    if (!faults[fault].runners &&
        (soak_now_ms() - soak.phase_ms) / TURN_MS % 2 == 1) {
        return;
    }
    soak.done[fault]++;
    switch (fault) {
    case FAULT_KILL:
        host_kill(host);
        return;
    case FAULT_PAUSE:
        host_pause(host, for_ms);
        return;
    case FAULT_STOP:
        host_stop(host);
        return;
    case FAULT_RELOAD:
        host_reload(host);
        return;
    case FAULT_STORE_LINK:
        host_harm_store(host, mode, for_ms);
        return;
    case FAULT_CALLERS_LINK:
        host_harm_callers(host, mode, for_ms);
        return;
    case FAULT_HERD:
        for (i = 0; i < hosts_count(); i++) {
            host_kill(i);
        }
        ledger_harmful_forgotten();
        return;
    case FAULT_CRASH:
        runner_crash(runner, soak_chance(2) == 0);
        return;
    case FAULT_ZONE:
        crash_zone();
        return;
    case FAULT_DRAIN:
        runner_drain(runner);
        return;
    case FAULT_SPOIL:
        runner_spoil(runner);
        return;
    case FAULT_STORE:
        harm_store();
        return;
    case FAULT_STORE_LOSES:
        soak_store_lose(3);
        return;
    case FAULT_STORE_FORGETS:
        soak_store_compact();
        return;
    case FAULTS:
        return;
    }
}

/* While one host cannot hear of it. */
static void
revoke_key(void)
{
    size_t host = soak_chance(hosts_count());

    soak.revoked = true;
    host_harm_store(host, LINK_SILENT, REVOKED_LINK_MS);
    callers_revoked();
    write_routes(false);
    runners_revoked(soak_now_ms());
    soak_note("second key revoked");
}

static void
next_phase(phase_t phase)
{
    soak.phase = phase;
    soak.phase_ms = soak_now_ms();
}

static void
heal(void)
{
    hosts_heal();
    runners_heal();
    soak_store_mode(STORE_ANSWERS);
    soak_store_lose(0);
    callers_calm();
    soak_note("calm");
}

static void
on_step(uv_timer_t *timer)
{
    uint64_t now_ms = soak_now_ms();
    uint64_t spent_ms = now_ms - soak.phase_ms;

    if (soak.store_ms > 0 && now_ms >= soak.store_ms) {
        soak.store_ms = 0;
        soak_store_mode(STORE_ANSWERS);
    }
    switch (soak.phase) {
    case PHASE_SETTLE:
        if (spent_ms >= SETTLE_MS) {
            callers_start(CALLERS_A_SECOND);
            next_phase(PHASE_FAULTS);
        }
        return;
    case PHASE_FAULTS:
        if (spent_ms >= soak.lasts_ms) {
            heal();
            next_phase(PHASE_CALM);
        }
        else if (!soak.revoked &&
                 spent_ms * 100 >= soak.lasts_ms * REVOKE_PERCENT) {
            revoke_key();
        }
        else if (now_ms >= soak.next_ms) {
            make_fault();
            soak.next_ms =
                now_ms + FAULT_LEAST_MS + soak_chance(FAULT_SPREAD_MS);
        }
        return;
    case PHASE_CALM:
        if (callers_recovered()) {
            callers_stop();
            next_phase(PHASE_WAIT);
        }
        else if (spent_ms > SOAK_RECOVER_MS) {
            soak_broken("recovery", "not after %d ms", SOAK_RECOVER_MS);
            callers_stop();
            next_phase(PHASE_WAIT);
        }
        return;
    case PHASE_WAIT:
        if (callers_busy() == 0 || spent_ms > BUSY_MS) {
            if (callers_busy() > 0) {
                soak_broken("answered", "%zu callers wait", callers_busy());
            }
            hosts_end();
            next_phase(PHASE_END);
        }
        return;
    case PHASE_END:
        if (hosts_ended()) {
            uv_stop(&soak.loop);
        }
        return;
    }
}

static void
report(uint64_t seed, const char *folder)
{
    size_t i;

    callers_report();
    printf("faults:");
    for (i = 0; i < FAULTS; i++) {
        printf(" %s %" PRIu32, faults[i].name, soak.done[i]);
    }
    printf("\nseed %" PRIu64 ": %s\n", seed,
           soak.broken == 0 ? "all promises kept" : "BROKEN");
    if (soak.broken == 0) {
        return;
    }
    for (i = soak.note_count > NOTES_KEPT ? soak.note_count - NOTES_KEPT : 0;
         i < soak.note_count; i++) {
        printf("  %s\n", soak.notes[i % NOTES_KEPT]);
    }
    printf("logs are in %s\n", folder);
}

/* The settings and logs of a good run are of no use. */
static void
remove_folder(const char *folder)
{
    DIR *dir = opendir(folder);
    struct dirent *entry;
    char path[2 * PATH_BYTES];

    while (dir != NULL && (entry = readdir(dir)) != NULL) {
        (void)snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
        (void)unlink(path);
    }
    if (dir != NULL) {
        (void)closedir(dir);
    }
    (void)rmdir(folder);
}

int
main(int argc, char **argv)
{
    char folder[] = "/tmp/agatevale-soak-XXXXXX";
    uint64_t seed;

    if (argc != 4 && argc != 6) {
        errx(2, "usage: soak AGATED SEED SECONDS [HOSTS ENGINES]");
    }
    seed = strtoull(argv[2], NULL, 10);
    soak.random = seed;
    soak.lasts_ms = strtoull(argv[3], NULL, 10) * 1000;
    (void)signal(SIGPIPE, SIG_IGN);
    (void)uv_loop_init(&soak.loop);
    if (mkdtemp(folder) == NULL) {
        err(1, "no folder for settings and logs");
    }
    soak.began_ms = soak_now_ms();
    soak_store_open();
    write_routes(true);
    runners_open(argc == 6 ? (uint32_t)atoi(argv[5]) : ENGINES_DEFAULT);
    hosts_open(argv[1], folder,
               argc == 6 ? (uint32_t)atoi(argv[4]) : HOSTS_DEFAULT);
    (void)uv_timer_init(&soak.loop, &soak.timer);
    (void)uv_timer_start(&soak.timer, on_step, STEP_MS, STEP_MS);
    next_phase(PHASE_SETTLE);
    (void)uv_run(&soak.loop, UV_RUN_DEFAULT);
    ledger_check();
    report(seed, folder);
    if (soak.broken > 0) {
        return EXIT_FAILURE;
    }
    remove_folder(folder);
    return EXIT_SUCCESS;
}
