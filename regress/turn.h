/*
 * turn.h - lets a test wait for what the loop will bring.
 */
#ifndef REGRESS_TURN_H
#define REGRESS_TURN_H

#include <uv.h>

/*
 * One pass over the loop.  It never blocks for long: what is waited for may
 * come in the pass's timers, and its poll would then wait for nothing.
 */
void loop_turn(uv_loop_t *loop);

#endif
