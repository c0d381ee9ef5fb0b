/* trace.c - one request's story from the hosts' logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agatectl/agatectl.h"

enum { LINE_BYTES = 4096, LINES_FIRST = 64 };

/* A line that names the request; its time stands after "ts=". */
typedef struct {
    const char *text;
    const char *stamp;
} traced_t;

static bool names(const char *line, const char *request);
static int compare(const void *left, const void *right);

/* Lines of several hosts may come in any order, with any words before. */
int
command_trace(session_t *session)
{
    const char *request = session->options->arguments[0];
    traced_t *lines = NULL;
    size_t count = 0;
    size_t size = 0;
    char line[LINE_BYTES];
    size_t i;

    while (fgets(line, sizeof(line), stdin) != NULL) {
        const char *stamp;

        if (!names(line, request)) {
            continue;
        }
        if (count == size) {
            size = size == 0 ? LINES_FIRST : 2 * size;
            lines = xrealloc(lines, size, sizeof(*lines));
        }
        lines[count].text = arena_strdup(&session->arena, line);
        stamp = strstr(lines[count].text, "ts=");
        lines[count].stamp = stamp != NULL ? stamp : "";
        count++;
    }
    if (count > 0) {
        qsort(lines, count, sizeof(*lines), compare);
    }
    for (i = 0; i < count; i++) {
        (void)fputs(lines[i].text, stdout);
    }
    free(lines);
    if (count == 0) {
        (void)fprintf(stderr,
                      "agatectl: no line names request %s: give the logs of "
                      "all hosts on standard input\n",
                      request);
        return EXIT_REFUSED;
    }
    return EXIT_DONE;
}

/* The whole name, not the beginning of a longer one. */
static bool
names(const char *line, const char *request)
{
    static const char key[] = "request=";
    const char *at = line;

    while ((at = strstr(at, key)) != NULL) {
        at += strlen(key);
        if (strncmp(at, request, strlen(request)) == 0 &&
            strchr(" \n", at[strlen(request)]) != NULL) {
            return true;
        }
    }
    return false;
}

static int
compare(const void *left, const void *right)
{
    return strcmp(((const traced_t *)left)->stamp,
                  ((const traced_t *)right)->stamp);
}
