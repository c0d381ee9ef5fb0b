/* room.c - tells which work fits into a runner; see room.h. */
#include "forward/room.h"

enum {
    PERMILLE = 1000,
    /* Copies use no more of the memory than this, requests included: the rest
     * takes the requests that other hosts send before they report them. */
    COPY_USE_MAX_PERMILLE = 800,
};

bool
room_fits_request(const room_size_t *size, const room_use_t *use,
                  uint32_t tokens)
{
    return size->tokens == 0 ||
           ((size->slots == 0 || use->requests < size->slots) &&
            use->tokens + tokens <= size->tokens);
}

bool
room_fits_copy(const room_size_t *size, const room_use_t *use, uint32_t tokens)
{
    return size->tokens == 0 ||
           room_use_permille(size, use, tokens) <= COPY_USE_MAX_PERMILLE;
}

uint64_t
room_use_permille(const room_size_t *size, const room_use_t *use,
                  uint32_t tokens)
{
    return size->tokens == 0
               ? 0
               : (use->tokens + tokens) * PERMILLE / size->tokens;
}

uint32_t
room_urgency(uint32_t rank, bool goes_on)
{
    uint32_t urgency =
        rank < ROOM_URGENCY_MAX / 2 ? 2 * rank + 1 : ROOM_URGENCY_MAX;

    return goes_on ? urgency - 1 : urgency;
}
