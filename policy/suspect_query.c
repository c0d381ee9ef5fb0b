/* suspect_query.c - queries on suspects; see suspect.h. */
#include "policy/suspect_private.h"

/*
 * Whether evaluating the pending losses could block the entry.  Too many
 * pending losses mean that it loses runners faster than they are evaluated.
 */
static bool
is_undecided(const suspects_t *suspects, const suspect_entry_t *entry)
{
    uint32_t pending = table_pending_count(&suspects->table, entry);

    if (pending == 0 && suspects->check_us == INT64_MAX) {
        return false;
    }
    return pending >= PENDING_LOSSES_MAX ||
           table_runner_count(&suspects->table, entry, true) >=
               suspects->limits.loss_threshold;
}

suspect_decision_t
suspects_decide(const suspects_t *suspects, int64_t now_us,
                uint64_t fingerprint, size_t copies)
{
    const suspect_entry_t *entry =
        table_find_entry(&suspects->table, fingerprint);

    if (entry == NULL) {
        return SUSPECT_UNRESTRICTED;
    }
    if (now_us < entry->blocked_until_us) {
        return SUSPECT_BLOCKED;
    }
    if (is_undecided(suspects, entry)) {
        return SUSPECT_DEFERRED;
    }
    if (table_runner_count(&suspects->table, entry, true) == 0) {
        return SUSPECT_UNRESTRICTED;
    }
    return copies > 0 ? SUSPECT_DEFERRED : SUSPECT_ISOLATED;
}

uint32_t
suspects_loss_count(const suspects_t *suspects, uint64_t fingerprint)
{
    const suspect_entry_t *entry =
        table_find_entry(&suspects->table, fingerprint);

    return entry == NULL ? 0
                         : table_runner_count(&suspects->table, entry, true);
}

bool
suspects_lost_on(const suspects_t *suspects, uint64_t fingerprint,
                 const char *runner)
{
    const suspect_entry_t *entry =
        table_find_entry(&suspects->table, fingerprint);

    return entry != NULL &&
           table_lost_on(&suspects->table, entry, table_hash_name(runner));
}

suspect_colocation_t
suspects_check_colocation(const suspects_t *suspects, uint64_t fingerprint,
                          const uint64_t *others, size_t count)
{
    uint32_t one_short = suspects->limits.loss_threshold - 1;
    uint32_t own_losses = suspects_loss_count(suspects, fingerprint);
    suspect_colocation_t colocation = COLOCATION_ALLOWED;
    uint32_t losses;
    size_t i;

    for (i = 0; i < count; i++) {
        losses = suspects_loss_count(suspects, others[i]);
        if (others[i] == fingerprint || losses == 0) {
            continue;
        }
        if (own_losses >= one_short && losses >= one_short) {
            return COLOCATION_FORBIDDEN;
        }
        colocation = COLOCATION_DISCOURAGED;
    }
    return colocation;
}

int64_t
suspects_blocked_us(const suspects_t *suspects, int64_t now_us,
                    uint64_t fingerprint)
{
    const suspect_entry_t *entry =
        table_find_entry(&suspects->table, fingerprint);

    if (entry == NULL || entry->blocked_until_us <= now_us) {
        return 0;
    }
    return entry->blocked_until_us - now_us;
}
