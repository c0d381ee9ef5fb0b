/*
 * room.h - tells which work fits into a runner, and how urgent a request is to
 * it.
 *
 * A runner holds a number of requests, and the prompts and responses of all of
 * them, and copies for other runners, in one memory.  A request that does not
 * fit waits in the runner's queue until others have ended, which takes
 * seconds; a copy that does not fit takes the room of requests.
 *
 * Load that this answers: bursts in which requests and copies together need
 * more than the memory of all runners.  Values in, values out.
 */
#ifndef FORWARD_ROOM_H
#define FORWARD_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/* What a runner can hold; 0: not known. */
typedef struct {
    uint32_t slots;
    uint32_t tokens;
} room_size_t;

/* What it holds, as far as a host knows. */
typedef struct {
    uint64_t requests;
    uint64_t tokens; /* of requests and of copies */
} room_use_t;

/* Returns whether a request of as many tokens fits beside the rest. */
bool room_fits_request(const room_size_t *size, const room_use_t *use,
                       uint32_t tokens);

/* Returns whether a copy fits, and leaves room for requests. */
bool room_fits_copy(const room_size_t *size, const room_use_t *use,
                    uint32_t tokens);

/* Returns the part of the memory that is in use with such a request, in
 * thousandths; 0 if its size is not known. */
uint64_t room_use_permille(const room_size_t *size, const room_use_t *use,
                           uint32_t tokens);

/*
 * Returns the urgency of a request for its runner, from 0 (first) to
 * ROOM_URGENCY_MAX.  rank is its place among the priorities of its service, 0
 * for the highest.  A stream that goes on comes before those that begin.
 */
enum { ROOM_URGENCY_MAX = 9 };
uint32_t room_urgency(uint32_t rank, bool goes_on);

#endif
