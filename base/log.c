/* log.c - writes log lines, with a rate limit for structured ones. */
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"

enum {
    LOG_LINE_BYTES = 1024,
    NS_PER_MS = 1000000,
    NS_PER_S = 1000000000,
    MS_PER_S = 1000,
    BURST_S = 2, /* size of a burst, as seconds of the rate */
    /* Share of a burst that is reserved for warnings and errors. */
    WARNING_RESERVE_PERCENT = 25,
    PERCENT = 100,
    UNWRITTEN_BYTES_MAX = 2 * LOG_LINE_BYTES,
};

/* The structured log and its token bucket; 1000 tokens allow one line. */
typedef struct {
    int fd; /* -1: lines go to standard error */
    uint64_t lines_per_s;
    uint64_t tokens;
    int64_t refilled_ms;
    uint64_t dropped;
    uint64_t dropped_reported;
    char unwritten[UNWRITTEN_BYTES_MAX]; /* rest of a partial write */
    size_t unwritten_bytes;
} log_sink_t;

static const char *log_program = "agatevale";
static int log_severity_max = LOG_INFO;
static log_sink_t sink = {.fd = -1};

static void write_line(int severity, const char *event, const char *format,
                       va_list args) __attribute__((format(printf, 3, 0)));
static void write_structured_line(int severity, const char *event,
                                  const char *text, const char *timestamp,
                                  long ms);
static bool take_token(int severity);
static bool write_nonblocking(const char *line, size_t length);
static bool flush_unwritten(void);
static const char *level_name(int severity);

void
log_init(const char *program, int severity_max)
{
    log_program = program;
    log_severity_max = severity_max;
}

void
log_open_structured(int fd, uint32_t lines_per_s)
{
    int flags = fcntl(fd, F_GETFL);

    sink.fd = fd;
    sink.lines_per_s = lines_per_s;
    sink.tokens = (uint64_t)lines_per_s * BURST_S * MS_PER_S;
    if (flags >= 0) {
        (void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
}

void
log_line(int severity, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    write_line(severity, NULL, format, args);
    va_end(args);
}

void
log_event(int severity, const char *event, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    write_line(severity, event, format, args);
    va_end(args);
}

uint64_t
log_dropped_lines(void)
{
    return sink.dropped;
}

static void
write_line(int severity, const char *event, const char *format, va_list args)
{
    char text[LOG_LINE_BYTES];
    char timestamp[sizeof("2026-12-03T20:35:55")];
    struct timespec now;
    struct tm utc;

    if (severity > log_severity_max) {
        return;
    }
    (void)vsnprintf(text, sizeof(text), format, args);
    (void)clock_gettime(CLOCK_REALTIME, &now);
    (void)gmtime_r(&now.tv_sec, &utc);
    (void)strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
    if (sink.fd >= 0) {
        write_structured_line(severity, event, text, timestamp,
                              now.tv_nsec / NS_PER_MS);
        return;
    }
    (void)fprintf(stderr, "<%d> %s.%03ldZ %s[%d]: %s%s%s\n", severity,
                  timestamp, now.tv_nsec / NS_PER_MS, log_program,
                  (int)getpid(), event != NULL ? event : "",
                  event != NULL ? " " : "", text);
}

static void
write_structured_line(int severity, const char *event, const char *text,
                      const char *timestamp, long ms)
{
    char line[LOG_LINE_BYTES + LOG_LINE_BYTES / 2];
    int length;

    if (!take_token(severity)) {
        sink.dropped++;
        return;
    }
    if (sink.dropped > sink.dropped_reported) {
        length = snprintf(line, sizeof(line),
                          "ts=%s.%03ldZ level=warning event=dropped "
                          "lines=%" PRIu64 "\n",
                          timestamp, ms, sink.dropped - sink.dropped_reported);
        if (write_nonblocking(line, (size_t)length)) {
            sink.dropped_reported = sink.dropped;
        }
    }
    length = snprintf(
        line, sizeof(line), "ts=%s.%03ldZ level=%s event=%s %s\n", timestamp,
        ms, level_name(severity), event != NULL ? event : "note", text);
    if (length >= (int)sizeof(line)) {
        length = (int)sizeof(line) - 1;
        line[length - 1] = '\n';
    }
    if (!write_nonblocking(line, (size_t)length)) {
        sink.dropped++;
    }
}

/*
 * Takes a line from the token bucket.  The last quarter of the bucket is
 * reserved for warnings and errors.
 */
static bool
take_token(int severity)
{
    uint64_t capacity = sink.lines_per_s * BURST_S * MS_PER_S;
    uint64_t reserve = severity <= LOG_WARNING
                           ? 0
                           : capacity * WARNING_RESERVE_PERCENT / PERCENT;
    struct timespec now;
    int64_t now_ms;

    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    now_ms = (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
    if (sink.refilled_ms > 0) {
        sink.tokens +=
            (uint64_t)(now_ms - sink.refilled_ms) * sink.lines_per_s;
    }
    sink.refilled_ms = now_ms;
    if (sink.tokens > capacity) {
        sink.tokens = capacity;
    }
    if (sink.tokens < reserve + MS_PER_S) {
        return false;
    }
    sink.tokens -= MS_PER_S;
    return true;
}

/* Returns false if the pipe is full and the line must be dropped. */
static bool
write_nonblocking(const char *line, size_t length)
{
    ssize_t written;

    if (!flush_unwritten()) {
        return false;
    }
    written = write(sink.fd, line, length);
    if (written < 0) {
        return errno != EAGAIN && errno != EWOULDBLOCK;
    }
    if ((size_t)written < length) {
        sink.unwritten_bytes = length - (size_t)written;
        memcpy(sink.unwritten, line + written, sink.unwritten_bytes);
    }
    return true;
}

static bool
flush_unwritten(void)
{
    ssize_t written;

    if (sink.unwritten_bytes == 0) {
        return true;
    }
    written = write(sink.fd, sink.unwritten, sink.unwritten_bytes);
    if (written <= 0) {
        return false;
    }
    sink.unwritten_bytes -= (size_t)written;
    memmove(sink.unwritten, sink.unwritten + written, sink.unwritten_bytes);
    return sink.unwritten_bytes == 0;
}

static const char *
level_name(int severity)
{
    static const char *const names[] = {
        [LOG_ERR] = "error",     [LOG_WARNING] = "warning",
        [LOG_NOTICE] = "notice", [LOG_INFO] = "info",
        [LOG_DEBUG] = "debug",
    };

    return severity >= LOG_ERR && severity <= LOG_DEBUG ? names[severity]
                                                        : "critical";
}
