/* child.c - see child.h. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "regress/child.h"

enum { LINE_BYTES = 64, DECIMAL = 10 };

static _Noreturn void
give_up(const char *what)
{
    perror(what);
    abort();
}

child_t
child_start(char *const *argv)
{
    static const char ready[] = "ready ";
    char line[LINE_BYTES] = "";
    child_t child = {0};
    int ends[2];
    FILE *out;

    if (pipe(ends) < 0) {
        give_up("pipe");
    }
    child.pid = fork();
    if (child.pid < 0) {
        give_up("fork");
    }
    if (child.pid == 0) {
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        (void)dup2(ends[1], STDOUT_FILENO);
        (void)close(ends[0]);
        (void)execv(argv[0], argv);
        _exit(EXIT_FAILURE);
    }
    (void)close(ends[1]);
    out = fdopen(ends[0], "r");
    if (out == NULL || fgets(line, sizeof(line), out) == NULL ||
        strncmp(line, ready, sizeof(ready) - 1) != 0) {
        give_up(argv[0]);
    }
    (void)fclose(out);
    child.port = (int)strtol(line + sizeof(ready) - 1, NULL, DECIMAL);
    return child;
}

void
child_kill(child_t *child)
{
    if (child->pid > 0) {
        (void)kill(child->pid, SIGKILL);
        (void)waitpid(child->pid, NULL, 0);
        child->pid = 0;
    }
}
