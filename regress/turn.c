/* turn.c - see turn.h. */
#include <time.h>

#include "regress/turn.h"

enum { TURN_PAUSE_NS = 200000 };

void
loop_turn(uv_loop_t *loop)
{
    const struct timespec pause = {.tv_nsec = TURN_PAUSE_NS};

    (void)uv_run(loop, UV_RUN_NOWAIT);
    (void)nanosleep(&pause, NULL);
}
