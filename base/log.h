/*
 * log.h - writes log lines to standard error or as structured lines.
 *
 * There are two formats.  Lines on standard error resemble syslog:
 * "<3> 2026-12-03T20:35:55.123Z agated[77]: loss request=... ...".
 * Structured lines on standard output have key=value pairs:
 * "ts=2026-12-03T20:35:55.123Z level=info event=loss request=...".  They are
 * limited in rate and never block; dropped lines are counted and reported by a
 * line with event=dropped.  A log line never contains a prompt, a response or
 * a key.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>
#include <syslog.h>

/* Sets the program name and the highest severity number that is logged. */
void log_init(const char *program, int severity_max);

/*
 * Switches to structured lines, written to the descriptor, which is set
 * non-blocking.  The rate is limited to lines_per_s, with bursts of twice that
 * number.  A quarter of the burst is reserved for warnings and errors.
 */
void log_open_structured(int fd, uint32_t lines_per_s);

/* severity is one of LOG_ERR to LOG_DEBUG of syslog(3). */
void log_line(int severity, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* event is one word; the format gives key=value pairs. */
void log_event(int severity, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Returns the number of lines dropped so far. */
uint64_t log_dropped_lines(void);

#endif
