/* log.c - see log.h. */
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"

enum { LOG_LINE_BYTES = 1024, NS_PER_MS = 1000000 };

static const char *log_program = "agatevale";
static int log_most = LOG_INFO;

void
log_init(const char *program, int most)
{
    log_program = program;
    log_most = most;
}

void
log_line(int severity, const char *format, ...)
{
    char text[LOG_LINE_BYTES];
    char stamp[sizeof("2026-12-03T20:35:55")];
    struct timespec now;
    struct tm utc;
    va_list args;

    if (severity > log_most) {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    (void)clock_gettime(CLOCK_REALTIME, &now);
    (void)gmtime_r(&now.tv_sec, &utc);
    (void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    (void)fprintf(stderr, "<%d> %s.%03ldZ %s[%d]: %s\n", severity, stamp,
                  now.tv_nsec / NS_PER_MS, log_program, (int)getpid(), text);
}
