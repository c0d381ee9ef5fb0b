/* random.c - see random.h. */
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#include "base/random.h"

uint64_t
random_u64(void)
{
    uint64_t number;

    if (getrandom(&number, sizeof(number), 0) != sizeof(number)) {
        (void)fputs("the kernel gives no random numbers: mend it\n", stderr);
        abort();
    }
    return number;
}
