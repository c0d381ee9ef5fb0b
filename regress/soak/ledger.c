/* ledger.c - what became of each attempt, by its name. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "regress/soak/soak.h"

static attempt_t *attempts;

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
ledger_check(void)
{
    attempt_t *attempt;

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
