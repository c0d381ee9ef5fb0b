/* trace.c - prints the log lines of one request in order of time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agatectl/agatectl.h"

enum { LINE_BYTES = 4096, LINES_CAPACITY_INITIAL = 64 };

/* A log line of the request; its timestamp follows "ts=". */
typedef struct {
    const char *text;
    const char *timestamp;
} trace_line_t;

static bool mentions_request(const char *line, const char *request);
static int compare_timestamps(const void *left, const void *right);

/*
 * The lines may be merged from several hosts in any order and have any prefix
 * before the timestamp.
 */
int
command_trace(command_context_t *context)
{
    const char *request = context->options->arguments[0];
    trace_line_t *lines = NULL;
    size_t count = 0;
    size_t capacity = 0;
    char line[LINE_BYTES];
    size_t i;

    while (fgets(line, sizeof(line), stdin) != NULL) {
        const char *timestamp;

        if (!mentions_request(line, request)) {
            continue;
        }
        if (count == capacity) {
            capacity = capacity == 0 ? LINES_CAPACITY_INITIAL : 2 * capacity;
            lines = xrealloc(lines, capacity, sizeof(*lines));
        }
        lines[count].text = arena_strdup(&context->arena, line);
        timestamp = strstr(lines[count].text, "ts=");
        lines[count].timestamp = timestamp != NULL ? timestamp : "";
        count++;
    }
    if (count > 0) {
        qsort(lines, count, sizeof(*lines), compare_timestamps);
    }
    for (i = 0; i < count; i++) {
        (void)fputs(lines[i].text, stdout);
    }
    free(lines);
    if (count == 0) {
        (void)fprintf(
            stderr,
            "agatectl: no line contains request %s: give the logs of "
            "all hosts on standard input\n",
            request);
        return EXIT_REFUSED;
    }
    return EXIT_DONE;
}

/* Matches the complete request name, not a prefix of a longer name. */
static bool
mentions_request(const char *line, const char *request)
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
compare_timestamps(const void *left, const void *right)
{
    return strcmp(((const trace_line_t *)left)->timestamp,
                  ((const trace_line_t *)right)->timestamp);
}
