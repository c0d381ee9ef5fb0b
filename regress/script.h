/*
 * script.h - whole sessions as text: events in, orders out.
 *
 * A script has one event a line, "> MS KIND name=value ...", and under it
 * the orders that follow, "< KIND name=value ...".  Running a script writes
 * it anew from its events; the two texts are equal when the decisions are
 * as written down.  Other lines ("# ...") are kept.  Timers that the node
 * asks for are given at their time, before the next event; what follows
 * from one stands as "< MS: KIND ...".  "> MS until" only lets time pass.
 *
 * Events go to host a1 unless host=NAME says another, and its orders then
 * read "< NAME KIND ...".  Messages between hosts arrive after a
 * millisecond, none while "> MS cut" holds; "> MS kill host=NAME" ends one.
 */
#ifndef REGRESS_SCRIPT_H
#define REGRESS_SCRIPT_H

#include <stddef.h>

#include "base/arena.h"
#include "base/err.h"
#include "policy/node.h"

/*
 * Runs the text on a new node and returns what it should read, or NULL
 * with *err set when a line is no event.
 */
char *script_run(arena_t *arena, const char *text, err_t *err);

/* The same, and shows each order of every host to see. */
typedef void (*script_see_t)(void *context, const char *host,
                             const action_t *order);
char *script_run_seen(arena_t *arena, const char *text, script_see_t see,
                      void *context, err_t *err);

/* One order as a line without its end, in arena. */
char *script_order(arena_t *arena, const action_t *order);

#endif
