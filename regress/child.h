/*
 * child.h - stand-ins as processes of a test.
 */
#ifndef REGRESS_CHILD_H
#define REGRESS_CHILD_H

#include <sys/types.h>

typedef struct {
    pid_t pid;
    int port; /* on 127.0.0.1 */
} child_t;

/*
 * Starts argv (ended by NULL) and waits for its line "ready PORT".  Ends
 * the test when there is none.  The child dies with the test.
 */
child_t child_start(char *const *argv);

/* SIGKILL, and waits for the end. */
void child_kill(child_t *child);

#endif
