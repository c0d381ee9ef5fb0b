/*
 * room.h - tells how much of a runner's memory is taken.
 *
 * A runner keeps the prompts and responses of all its requests, and copies for
 * other runners, in one memory.  When that runs out, it preempts the newest
 * request, which then waits and has its prompt read again.
 *
 * Load that this answers: bursts in which requests and copies together need
 * more than the memory of some runners, while others have some left.  Values
 * in, values out.
 */
#ifndef FORWARD_ROOM_H
#define FORWARD_ROOM_H

#include <stdint.h>

/*
 * Returns what is added to the load of a runner for a further request of as
 * many tokens; held_tokens are those of its requests and copies, as far as a
 * host knows.  0: there is plenty of room, or capacity_tokens is not known
 * (0).  A full memory weighs nearly as much as a prompt that is being read.
 */
uint64_t room_load(uint64_t held_tokens, uint32_t tokens,
                   uint32_t capacity_tokens);

#endif
