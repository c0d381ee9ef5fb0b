/* random.c - random numbers from the kernel and reproducible ones. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#include "base/random.h"

uint64_t
random_u64(void)
{
    uint64_t number;

    if (getrandom(&number, sizeof(number), 0) != sizeof(number)) {
        (void)fputs(
            "getrandom failed: use a kernel that supports getrandom(2)\n",
            stderr);
        abort();
    }
    return number;
}

uint64_t
random_next_from(uint64_t *state)
{
    uint64_t mixed;

    *state += 0x9e3779b97f4a7c15U;
    mixed = *state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31);
}
