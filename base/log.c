/* log.c - see log.h. */
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
    BURST_S = 2, /* of lines that may come at once */
    /* Of the burst, kept for warnings and worse. */
    RESERVE_PERCENT = 25,
    PERCENT = 100,
    TAIL_BYTES = 2 * LOG_LINE_BYTES,
};

/* The structured log; tokens are thousandths of a line. */
typedef struct {
    int fd; /* -1: lines go to standard error */
    uint64_t lines_per_s;
    uint64_t tokens;
    int64_t filled_ms;
    uint64_t dropped;
    uint64_t dropped_told;
    char tail[TAIL_BYTES]; /* the rest of a line that was written in part */
    size_t tail_bytes;
} log_sink_t;

static const char *log_program = "agatevale";
static int log_most = LOG_INFO;
static log_sink_t sink = {.fd = -1};

static void write_line(int severity, const char *event, const char *format,
                       va_list args) __attribute__((format(printf, 3, 0)));
static void write_structured(int severity, const char *event, const char *text,
                             const char *stamp, long ms);
static bool take_token(int severity);
static bool put(const char *line, size_t length);
static bool put_tail(void);
static const char *level_name(int severity);

void
log_init(const char *program, int most)
{
    log_program = program;
    log_most = most;
}

void
log_structured(int fd, uint32_t lines_per_s)
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
log_dropped(void)
{
    return sink.dropped;
}

static void
write_line(int severity, const char *event, const char *format, va_list args)
{
    char text[LOG_LINE_BYTES];
    char stamp[sizeof("2026-12-03T20:35:55")];
    struct timespec now;
    struct tm utc;

    if (severity > log_most) {
        return;
    }
    (void)vsnprintf(text, sizeof(text), format, args);
    (void)clock_gettime(CLOCK_REALTIME, &now);
    (void)gmtime_r(&now.tv_sec, &utc);
    (void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    if (sink.fd >= 0) {
        write_structured(severity, event, text, stamp,
                         now.tv_nsec / NS_PER_MS);
        return;
    }
    (void)fprintf(stderr, "<%d> %s.%03ldZ %s[%d]: %s%s%s\n", severity, stamp,
                  now.tv_nsec / NS_PER_MS, log_program, (int)getpid(),
                  event != NULL ? event : "", event != NULL ? " " : "", text);
}

static void
write_structured(int severity, const char *event, const char *text,
                 const char *stamp, long ms)
{
    char line[LOG_LINE_BYTES + LOG_LINE_BYTES / 2];
    int length;

    if (!take_token(severity)) {
        sink.dropped++;
        return;
    }
    if (sink.dropped > sink.dropped_told) {
        length = snprintf(line, sizeof(line),
                          "ts=%s.%03ldZ level=warning event=dropped "
                          "lines=%" PRIu64 "\n",
                          stamp, ms, sink.dropped - sink.dropped_told);
        if (put(line, (size_t)length)) {
            sink.dropped_told = sink.dropped;
        }
    }
    length = snprintf(
        line, sizeof(line), "ts=%s.%03ldZ level=%s event=%s %s\n", stamp, ms,
        level_name(severity), event != NULL ? event : "note", text);
    if (length >= (int)sizeof(line)) {
        length = (int)sizeof(line) - 1;
        line[length - 1] = '\n';
    }
    if (!put(line, (size_t)length)) {
        sink.dropped++;
    }
}

/* A bucket that fills with time; its last quarter is for warnings. */
static bool
take_token(int severity)
{
    uint64_t full = sink.lines_per_s * BURST_S * MS_PER_S;
    uint64_t reserve =
        severity <= LOG_WARNING ? 0 : full * RESERVE_PERCENT / PERCENT;
    struct timespec now;
    int64_t now_ms;

    (void)clock_gettime(CLOCK_MONOTONIC, &now);
    now_ms = (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
    if (sink.filled_ms > 0) {
        sink.tokens += (uint64_t)(now_ms - sink.filled_ms) * sink.lines_per_s;
    }
    sink.filled_ms = now_ms;
    if (sink.tokens > full) {
        sink.tokens = full;
    }
    if (sink.tokens < reserve + MS_PER_S) {
        return false;
    }
    sink.tokens -= MS_PER_S;
    return true;
}

/* False when the reader takes nothing: the line is then left out. */
static bool
put(const char *line, size_t length)
{
    ssize_t written;

    if (!put_tail()) {
        return false;
    }
    written = write(sink.fd, line, length);
    if (written < 0) {
        return errno != EAGAIN && errno != EWOULDBLOCK;
    }
    if ((size_t)written < length) {
        sink.tail_bytes = length - (size_t)written;
        memcpy(sink.tail, line + written, sink.tail_bytes);
    }
    return true;
}

static bool
put_tail(void)
{
    ssize_t written;

    if (sink.tail_bytes == 0) {
        return true;
    }
    written = write(sink.fd, sink.tail, sink.tail_bytes);
    if (written <= 0) {
        return false;
    }
    sink.tail_bytes -= (size_t)written;
    memmove(sink.tail, sink.tail + written, sink.tail_bytes);
    return sink.tail_bytes == 0;
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
