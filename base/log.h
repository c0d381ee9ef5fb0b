/*
 * log.h - one line for each event.
 *
 * Two shapes.  On standard error, in the manner of syslog:
 * "<3> 2026-12-03T20:35:55.123Z agated[77]: loss request=... ...".  On
 * standard output, structured: "ts=2026-12-03T20:35:55.123Z level=info
 * event=loss request=...", bounded in lines a second and never blocking;
 * what is left out is counted and told by an event=dropped line.  Never a
 * prompt, an answer or a key.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>
#include <syslog.h>

/* Names the program; lines with a severity above "most" are left out. */
void log_init(const char *program, int most);

/*
 * Writes structured lines to the descriptor from here on, lines_per_s of
 * them and bursts of twice that; warnings and worse may use a quarter more.
 * The descriptor is set non-blocking.
 */
void log_structured(int fd, uint32_t lines_per_s);

/* severity is one of syslog(3)'s LOG_ERR ... LOG_DEBUG. */
void log_line(int severity, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* event is one word; the rest is key=value pairs. */
void log_event(int severity, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Lines that were left out so far. */
uint64_t log_dropped(void);

#endif
