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
    /* The second key goes at this part of the run, in hundredths. */
    REVOKE_PERCENT = 40,
    REVOKED_LINK_MS = 9000,
    BUSY_MS = 20000,
    NOTES_KEPT = 400,
    NOTE_BYTES = 160,
    PATH_BYTES = 256,
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
    uint64_t next_ms; /* the next fault */
    uint32_t broken;
    int64_t version;
    bool revoked;
    char notes[NOTES_KEPT][NOTE_BYTES];
    size_t note_count;
    uint64_t began_ms;
} soak;

static void on_step(uv_timer_t *timer);
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
void
soak_write_routes(void)
{
    static const char text[] =
        "{\"Version\":%" PRId64 ",\"Routes\":["
        "{\"Name\":\"a\",\"Host\":\"soak.example\",\"PathPrefix\":"
        "\"/stream/\",\"Type\":\"streaming\",\"TimeoutMs\":12000,"
        "%s,\"MaxAttempts\":5,\"Resumable\":true},"
        "{\"Name\":\"b\",\"Host\":\"soak.example\",\"PathPrefix\":"
        "\"/unsafe/\",\"Type\":\"unsafe\",\"TimeoutMs\":2000,"
        "\"Service\":\"plain\",\"MaxAttempts\":1},"
        "{\"Name\":\"c\",\"Host\":\"soak.example\",\"PathPrefix\":"
        "\"/safe/\",\"Type\":\"safe\",\"TimeoutMs\":2000,"
        "\"Service\":\"plain\",\"MaxAttempts\":2}],"
        "\"Services\":[{\"Name\":\"engine\",\"Engine\":{\"Backups\":true}},"
        "{\"Name\":\"engine1\",\"Engine\":{\"Backups\":true}},"
        "{\"Name\":\"engine2\",\"Engine\":{\"Backups\":true}},"
        "{\"Name\":\"plain\"}],\"Tenants\":%s}";
    char document[2048];

    soak.version += 1 + (int64_t)soak_chance(5);
    (void)snprintf(document, sizeof(document), text, soak.version,
                   split_shares(), tenants_text());
    soak_store_put("op/config", document);
}

/* While one host cannot hear of it. */
static void
revoke_key(void)
{
    size_t host = soak_chance(hosts_count());

    soak.revoked = true;
    host_harm_store(host, LINK_SILENT, REVOKED_LINK_MS);
    tenants_end_key(2);
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
    faults_heal();
    callers_calm();
    soak_note("calm");
}

static void
on_step(uv_timer_t *timer)
{
    uint64_t now_ms = soak_now_ms();
    uint64_t spent_ms = now_ms - soak.phase_ms;

    faults_tick();
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
            faults_make(spent_ms);
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
                callers_note();
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
    faults_report();
    runners_report();
    printf("seed %" PRIu64 ": %s\n", seed,
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
    soak_write_routes();
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
