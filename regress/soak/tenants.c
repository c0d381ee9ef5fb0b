/* tenants.c - organisations whose keys come and go, in lists of all forms. */
#include <stdio.h>

#include "regress/soak/soak.h"

enum { KEYS = 2, TEXT_BYTES = 256 };

/* How long a host that does not hear of a list may go by an earlier one. */
enum { OUTDATED_MS = SOAK_REVOKE_MS + 2000 };

/* What stands in the place of the list. */
static const struct {
    const char *text; /* NULL: a list of those that are there */
    bool there[KEYS];
} forms[] = {
    {NULL, {true, true}},     {NULL, {true, false}},
    {NULL, {false, true}},    {"[]", {false, false}},
    {"null", {false, false}}, {"[{\"Name\":\"o1\"},7]", {false, false}},
    {"{}", {false, false}},
};

enum { FORMS = sizeof(forms) / sizeof(forms[0]) };

static size_t form;
static struct {
    bool gone_for_good;
    uint64_t gone_ms; /* 0: it is there */
    uint64_t back_ms; /* 0: it was never gone */
} keys[KEYS];

static bool
is_there(size_t key)
{
    return forms[form].there[key] && !keys[key].gone_for_good;
}

static void
note_changes(void)
{
    uint64_t now_ms = soak_now_ms();
    size_t i;

    for (i = 0; i < KEYS; i++) {
        if (is_there(i) && keys[i].gone_ms > 0) {
            keys[i].gone_ms = 0;
            keys[i].back_ms = now_ms;
        }
        else if (!is_there(i) && keys[i].gone_ms == 0) {
            keys[i].gone_ms = now_ms;
        }
    }
}

const char *
tenants_text(void)
{
    static char text[TEXT_BYTES];

    if (forms[form].text != NULL) {
        return forms[form].text;
    }
    (void)snprintf(text, sizeof(text),
                   "[{\"Name\":\"o1\",\"ApiKeys\":[%s]},"
                   "{\"Name\":\"o2\",\"ApiKeys\":[%s]}]",
                   is_there(0) ? "\"k1\"" : "", is_there(1) ? "\"k2\"" : "");
    return text;
}

void
tenants_change(void)
{
    form = form == 0 ? soak_chance(FORMS) : 0;
    soak_note("tenants: %s", tenants_text());
    soak_write_routes();
    note_changes();
}

void
tenants_heal(void)
{
    if (form != 0) {
        tenants_change();
    }
}

void
tenants_end_key(uint32_t key)
{
    keys[key - 1].gone_for_good = true;
    soak_write_routes();
    note_changes();
}

bool
tenants_may_deny(uint32_t key, uint64_t sent_ms)
{
    return keys[key - 1].gone_ms > 0 ||
           (keys[key - 1].back_ms > 0 &&
            sent_ms < keys[key - 1].back_ms + OUTDATED_MS);
}

uint64_t
tenants_gone_ms(uint32_t key)
{
    return keys[key - 1].gone_ms;
}
