/*
 * log.h - syslog-style lines on standard error, one event a line.
 *
 * Shape: "<3> 2026-12-03T20:35:55.123Z agated[77]: loss request=... ...",
 * a syslog(3) severity, the time, the program, and key=value pairs.  Never
 * a prompt, an answer or a key.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <syslog.h>

/* Names the program; lines with a severity above "most" are left out. */
void log_init(const char *program, int most);

/* severity is one of syslog(3)'s LOG_ERR ... LOG_DEBUG. */
void log_line(int severity, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
