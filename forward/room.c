/* room.c - tells how much of a runner's memory is taken; see room.h. */
#include "forward/room.h"

enum {
    PERMILLE = 1000,
    /* Up to there the reports of other hosts, which come late, leave room for
     * a prompt that they do not list yet. */
    FREE_PERMILLE = 800,
    LOAD_PER_PERMILLE = 4,
};

uint64_t
room_load(uint64_t held_tokens, uint32_t tokens, uint32_t capacity_tokens)
{
    uint64_t permille;

    if (capacity_tokens == 0) {
        return 0;
    }
    permille = (held_tokens + tokens) * PERMILLE / capacity_tokens;
    return permille > FREE_PERMILLE
               ? (permille - FREE_PERMILLE) * LOAD_PER_PERMILLE
               : 0;
}
