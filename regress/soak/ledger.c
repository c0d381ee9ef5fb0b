/* ledger.c - what became of each attempt, by its name. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/soak/soak.h"

static attempt_t *attempts;
static struct {
    uint32_t crashes;
    uint32_t all_crashes;
    uint32_t late_sends;
    uint64_t detected_ms; /* when all calm hosts should refuse it; 0: never */
} harmful;

attempt_t *
ledger_attempt(const char *name)
{
    attempt_t *attempt;

    HASH_FIND_STR(attempts, name, attempt);
    if (attempt == NULL) {
        attempt = calloc(1, sizeof(*attempt));
        (void)snprintf(attempt->name, sizeof(attempt->name), "%s", name);
        HASH_ADD_STR(attempts, name, attempt);
    }
    return attempt;
}

void
ledger_sent(const char *name, uint64_t deadline_ms)
{
    attempt_t *attempt = ledger_attempt(name);

    attempt->sent_ms = soak_now_ms();
    attempt->deadline_ms = deadline_ms;
}

void
ledger_promised(const char *name)
{
    ledger_attempt(name)->promised = true;
}

void
ledger_left(const char *name, size_t host)
{
    attempt_t *attempt = ledger_attempt(name);

    attempt->left_ms = soak_now_ms();
    attempt->host = host;
}

void
ledger_cut(const char *name)
{
    ledger_attempt(name)->cut = true;
}

void
ledger_harmful_crash(void)
{
    harmful.crashes++;
    harmful.all_crashes++;
    if (harmful.crashes == SOAK_HARMFUL_CRASHES) {
        harmful.detected_ms = soak_now_ms() + SOAK_HARMFUL_MS;
    }
}

void
ledger_harmful_arrival(size_t host, uint64_t sent_ms)
{
    if (harmful.detected_ms == 0 || sent_ms <= harmful.detected_ms ||
        !host_is_calm(host, soak_now_ms())) {
        return;
    }
    harmful.late_sends++;
    soak_note("late harmful request from host %zu", host);
    if (harmful.late_sends > SOAK_HARMFUL_SENDS_MAX) {
        soak_broken("harmful",
                    "sent %" PRIu32 " times after %" PRIu32
                    " crashes were known",
                    harmful.late_sends, harmful.crashes);
    }
}

void
ledger_harmful_forgotten(void)
{
    if (getenv("HERD") == NULL) { /* KNOWN-RED.txt, case 8 */
        harmful.crashes = 0;
        harmful.late_sends = 0;
        harmful.detected_ms = 0;
    }
}

void
ledger_check(void)
{
    attempt_t *attempt;

    printf("harmful request: %" PRIu32 " crashes, %" PRIu32 " late sends\n",
           harmful.all_crashes, harmful.late_sends);
    for (attempt = attempts; attempt != NULL; attempt = attempt->hh.next) {
        if (attempt->once && attempt->runs > 1) {
            soak_broken("at most once", "%s ran %" PRIu32 " times",
                        attempt->name, attempt->runs);
        }
        if (attempt->once && attempt->promised && attempt->runs > 0) {
            soak_broken("not run", "%s ran, and was called not run",
                        attempt->name);
        }
        if (attempt->cut && attempt->runs > 0) {
            soak_broken("lost", "%s ran and was not answered", attempt->name);
        }
    }
}
