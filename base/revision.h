/*
 * revision.h - revisions of a key-value service that may lose history.
 *
 * A service that was restored from an older copy gives out revisions again.
 * Its era tells them apart: it changes with each restoration.  A revision is
 * an int64_t that holds both, the era above the number, so that whatever keeps
 * a revision keeps its era.  0: none.  Revisions of a service without eras are
 * of era 0 and equal their numbers.
 *
 * Within an era revisions are ordered.  Those of different eras are not: the
 * later one is the one that the service gave out later.
 */
#ifndef BASE_REVISION_H
#define BASE_REVISION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { REVISION_NUMBER_BITS = 44, REVISION_ERA_BITS = 19 };

#define REVISION_NUMBER_MAX (((int64_t)1 << REVISION_NUMBER_BITS) - 1)
#define REVISION_ERA_MAX (((int64_t)1 << REVISION_ERA_BITS) - 1)

/*
 * Returns 0 for a number of 0 or less.  A larger number than
 * REVISION_NUMBER_MAX counts as that, an era is from 0 to REVISION_ERA_MAX.
 */
int64_t revision_make(int64_t era, int64_t number);
int64_t revision_era(int64_t revision);
int64_t revision_number(int64_t revision);
bool revision_same_era(int64_t left, int64_t right);

/* Returns whether revision precedes other in the same era. */
bool revision_is_older(int64_t revision, int64_t other);

/*
 * Reads an era from the digits of text.  Returns false if there are none, if
 * anything else is there, or if the number is too large: *era is then derived
 * from the text, so that another text most likely gives another era.
 */
bool revision_parse_era(const char *text, size_t length, int64_t *era);

#endif
