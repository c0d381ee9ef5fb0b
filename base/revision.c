/* revision.c - revisions with the era of their service; see revision.h. */
#include <ctype.h>

#include <xxhash.h>

#include "base/revision.h"

enum { DECIMAL = 10 };

int64_t
revision_make(int64_t era, int64_t number)
{
    if (number <= 0) {
        return 0;
    }
    if (number > REVISION_NUMBER_MAX) {
        number = REVISION_NUMBER_MAX;
    }
    return (era & REVISION_ERA_MAX) << REVISION_NUMBER_BITS | number;
}

int64_t
revision_era(int64_t revision)
{
    return revision >> REVISION_NUMBER_BITS;
}

int64_t
revision_number(int64_t revision)
{
    return revision & REVISION_NUMBER_MAX;
}

bool
revision_same_era(int64_t left, int64_t right)
{
    return revision_era(left) == revision_era(right);
}

bool
revision_is_older(int64_t revision, int64_t other)
{
    return revision_same_era(revision, other) && revision < other;
}

bool
revision_parse_era(const char *text, size_t length, int64_t *era)
{
    size_t i;

    *era = 0;
    for (i = 0; i < length; i++) {
        if (!isdigit((unsigned char)text[i])) {
            break;
        }
        *era = *era * DECIMAL + (text[i] - '0');
        if (*era > REVISION_ERA_MAX) {
            break;
        }
    }
    if (length > 0 && i == length) {
        return true;
    }
    *era = (int64_t)(XXH3_64bits(text, length) & (uint64_t)REVISION_ERA_MAX);
    return false;
}
