/* suspect_query.c - what a node asks of the suspects; see suspect.h. */
#include "policy/suspect_private.h"

/* A further loss could convict it, or it loses runners too fast to tell. */
static bool
is_in_doubt(const suspects_t *suspects, const accused_t *accused)
{
    uint32_t pending = book_pending(&suspects->book, accused);

    if (pending == 0 && suspects->convict_us == INT64_MAX) {
        return false;
    }
    return pending >= PENDING_MAX ||
           book_count(&suspects->book, accused, true) >=
               suspects->limits.losses_max;
}

suspect_verdict_t
suspects_verdict(const suspects_t *suspects, int64_t now_us,
                 uint64_t fingerprint, size_t copies)
{
    const accused_t *accused = book_find(&suspects->book, fingerprint);

    if (accused == NULL) {
        return SUSPECT_FREE;
    }
    if (now_us < accused->convicted_until_us) {
        return SUSPECT_REFUSED;
    }
    if (is_in_doubt(suspects, accused)) {
        return SUSPECT_HELD;
    }
    if (book_count(&suspects->book, accused, true) == 0) {
        return SUSPECT_FREE;
    }
    return copies > 0 ? SUSPECT_HELD : SUSPECT_APART;
}

uint32_t
suspects_losses(const suspects_t *suspects, uint64_t fingerprint)
{
    const accused_t *accused = book_find(&suspects->book, fingerprint);

    return accused == NULL ? 0 : book_count(&suspects->book, accused, true);
}

bool
suspects_lost_on(const suspects_t *suspects, uint64_t fingerprint,
                 const char *runner)
{
    const accused_t *accused = book_find(&suspects->book, fingerprint);

    return accused != NULL &&
           book_was_on(&suspects->book, accused, book_hash(runner));
}

suspect_company_t
suspects_apart(const suspects_t *suspects, uint64_t fingerprint,
               const uint64_t *others, size_t count)
{
    uint32_t nearly = suspects->limits.losses_max - 1;
    uint32_t own = suspects_losses(suspects, fingerprint);
    suspect_company_t company = COMPANY_NONE;
    uint32_t losses;
    size_t i;

    for (i = 0; i < count; i++) {
        losses = suspects_losses(suspects, others[i]);
        if (others[i] == fingerprint || losses == 0) {
            continue;
        }
        if (own >= nearly && losses >= nearly) {
            return COMPANY_BARRED;
        }
        company = COMPANY_SUSPECTS;
    }
    return company;
}

int64_t
suspects_held_us(const suspects_t *suspects, int64_t now_us,
                 uint64_t fingerprint)
{
    const accused_t *accused = book_find(&suspects->book, fingerprint);

    if (accused == NULL || accused->convicted_until_us <= now_us) {
        return 0;
    }
    return accused->convicted_until_us - now_us;
}
