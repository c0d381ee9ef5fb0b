/* fault.c - the faults, and which of them comes next. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/soak/soak.h"

enum {
    /* Hosts, links and store are left alone for so long, and then not, by
     * turns: what holds for calm hosts only is seen as well. */
    TURN_MS = 7000,
    /* With silences or partitions: these alone, all, those of runners. */
    LONG_TURN_MS = 12000,
    LONG_TURNS = 3,
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
    FAULT_SILENCE,
    FAULT_PARTITION,
    FAULT_RESTART,
    FAULT_SHARES,
    FAULT_TENANTS,
    FAULT_EARLY,
    FAULTS,
} fault_t;

static const struct {
    const char *name;
    uint32_t weight;
    bool runners; /* it leaves hosts, links and store alone */
    bool links;   /* it harms links between hosts and runners at most */
    const char *variable; /* that turns it on; NULL: it is on */
    void (*begin)(void);  /* of those that a variable turns on */
} faults[FAULTS] = {
    [FAULT_KILL] = {"kill", 6},
    [FAULT_PAUSE] = {"pause", 6},
    [FAULT_STOP] = {"stop", 6, true},
    [FAULT_RELOAD] = {"reload", 3, true, true},
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
    [FAULT_SILENCE] = {"silence", 10, true, true, SOAK_SILENCE, silence_begin},
    [FAULT_PARTITION] = {"partition", 8, false, true, SOAK_PARTITION,
                         partition_begin},
    [FAULT_RESTART] = {"restart", 30, true, false, SOAK_VERSIONS,
                       versions_restart},
    [FAULT_SHARES] = {"shares", 12, true, true, SOAK_SPLIT, split_change},
    [FAULT_TENANTS] = {"tenants", 8, true, true, SOAK_TENANTS, tenants_change},
    [FAULT_EARLY] = {"early", 10, true, true, SOAK_UPLOADS, uploads_begin},
};

typedef enum {
    TURN_ALL,
    TURN_RUNNERS,
    TURN_LINKS,
} turn_t;

static struct {
    uint32_t done[FAULTS];
    uint64_t store_ms; /* the store heals then; 0: it is well */
} state;

static bool is_wanted(fault_t fault);
static bool is_listed(const char *list, const char *name);

bool
soak_plays(const char *variable)
{
    return getenv(variable) != NULL;
}

static turn_t
turn_at(uint64_t spent_ms)
{
    static const turn_t turns[LONG_TURNS] = {TURN_LINKS, TURN_ALL,
                                             TURN_RUNNERS};

    if (soak_plays(SOAK_SILENCE) || soak_plays(SOAK_PARTITION)) {
        return turns[spent_ms / LONG_TURN_MS % LONG_TURNS];
    }
    return spent_ms / TURN_MS % 2 == 1 ? TURN_RUNNERS : TURN_ALL;
}

static bool
is_wanted(fault_t fault)
{
    const char *only = getenv(SOAK_ONLY);

    return (faults[fault].variable == NULL ||
            soak_plays(faults[fault].variable)) &&
           (only == NULL || is_listed(only, faults[fault].name));
}

/* Whether the list, with commas, has the name. */
static bool
is_listed(const char *list, const char *name)
{
    size_t length = strlen(name);

    while (list != NULL) {
        if (strncmp(list, name, length) == 0 &&
            (list[length] == ',' || list[length] == '\0')) {
            return true;
        }
        list = strchr(list, ',');
        list += list != NULL ? 1 : 0;
    }
    return false;
}

static uint32_t
weight_of(fault_t fault, turn_t turn)
{
    return !is_wanted(fault) || (turn == TURN_LINKS && !faults[fault].links)
               ? 0
               : faults[fault].weight;
}

static fault_t
pick_fault(turn_t turn)
{
    uint32_t sum = 0;
    uint64_t dice;
    fault_t fault;

    for (fault = 0; fault < FAULTS; fault++) {
        sum += weight_of(fault, turn);
    }
    dice = soak_chance(sum);
    for (fault = 0; fault < FAULTS - 1 && dice >= weight_of(fault, turn);
         fault++) {
        dice -= weight_of(fault, turn);
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

    state.store_ms = soak_now_ms() + 300 + soak_chance(4000);
    soak_store_mode(modes[soak_chance(3)]);
    soak_note("store is harmed");
}

void
faults_make(uint64_t spent_ms)
{
    static const link_mode_t modes[] = {LINK_SLOW, LINK_SILENT, LINK_ONE_WAY,
                                        LINK_REFUSES};
    size_t host = soak_chance(hosts_count());
    size_t runner = soak_chance(runners_count());
    link_mode_t mode = modes[soak_chance(4)];
    uint64_t for_ms = 200 + soak_chance(5000);
    turn_t turn = turn_at(spent_ms);
    fault_t fault = pick_fault(turn);
    size_t i;

    if (soak_plays(SOAK_TAINTED) ||
        (turn == TURN_RUNNERS && !faults[fault].runners)) {
        return;
    }
    state.done[fault]++;
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
    default:
        faults[fault].begin();
        return;
    }
}

void
faults_tick(void)
{
    if (state.store_ms > 0 && soak_now_ms() >= state.store_ms) {
        state.store_ms = 0;
        soak_store_mode(STORE_ANSWERS);
    }
    partition_tick();
    uploads_tick();
}

void
faults_heal(void)
{
    hosts_heal();
    runners_heal();
    partition_heal();
    tenants_heal();
    uploads_heal();
    soak_store_mode(STORE_ANSWERS);
    soak_store_lose(0);
}

void
faults_report(void)
{
    fault_t fault;

    printf("faults:");
    for (fault = 0; fault < FAULTS; fault++) {
        printf(" %s %" PRIu32, faults[fault].name, state.done[fault]);
    }
    printf("\n");
}
