/*
 * following.h - which hosts watch the store, and whom the others ask.
 *
 * Answers the load that many hosts are for the store: each change would be a
 * call of every host.  In a small fleet all watch.  In a larger one two hosts
 * of each availability zone do, and the others follow one of their own zone.
 * All hosts that know the same hosts come to the same choice.
 */
#ifndef FORWARD_FOLLOWING_H
#define FORWARD_FOLLOWING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *name;
    const char *zone;
    bool failed; /* it did not answer a moment ago */
} follow_host_t;

/* Whether self, one of the hosts, is to watch. */
bool following_watches(const follow_host_t *hosts, size_t count,
                       const follow_host_t *self);

/* Whom self asks; NULL: nobody, it has to watch by itself. */
const follow_host_t *following_choose(const follow_host_t *hosts, size_t count,
                                      const follow_host_t *self);

#endif
