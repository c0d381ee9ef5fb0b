/* test_log.c - format, rate limit and non-blocking writes of the log. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"
#include "regress/fixture.h"

enum {
    READ_BYTES = 1 << 20,
    LINE_COUNT = 20000,
    LINES_PER_S = 100,
    BURST_S = 2
};

static char output[READ_BYTES + 1];
static int pipe_fds[2];

static void
open_log(uint32_t lines_per_s)
{
    ck_assert_int_eq(pipe(pipe_fds), 0);
    (void)fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
    log_init("test", LOG_INFO);
    log_open_structured(pipe_fds[1], lines_per_s);
}

static size_t
read_all(void)
{
    ssize_t got = read(pipe_fds[0], output, READ_BYTES);

    output[got > 0 ? got : 0] = '\0';
    return got > 0 ? (size_t)got : 0;
}

static size_t
count_matches(const char *text)
{
    const char *at = output;
    size_t count = 0;

    while ((at = strstr(at, text)) != NULL) {
        count++;
        at += strlen(text);
    }
    return count;
}

START_TEST(test_structured_line_format)
{
    open_log(LINES_PER_S);
    log_event(LOG_WARNING, "store-lost", "call=%s", "watch");
    log_line(LOG_NOTICE, "plain text");
    log_event(LOG_DEBUG, "probe", "not=%s", "wanted");
    (void)read_all();
    ck_assert_msg(strncmp(output, "ts=20", strlen("ts=20")) == 0, "%s",
                  output);
    ck_assert_ptr_nonnull(
        strstr(output, "Z level=warning event=store-lost call=watch\n"));
    ck_assert_ptr_nonnull(strstr(output, " event=note plain text\n"));
    ck_assert_ptr_null(strstr(output, "wanted"));
}
END_TEST

/* Beyond the rate limit a burst is written and the rest is counted. */
START_TEST(test_lines_over_rate_limit_are_dropped_and_counted)
{
    struct timespec start;
    struct timespec end;
    size_t lines;
    int i;

    open_log(LINES_PER_S);
    (void)clock_gettime(CLOCK_MONOTONIC, &start);
    for (i = 0; i < LINE_COUNT; i++) {
        log_event(LOG_INFO, "end", "request=%d", i);
    }
    (void)clock_gettime(CLOCK_MONOTONIC, &end);
    (void)read_all();
    lines = count_matches("event=end ");
    ck_assert_uint_ge(lines, LINES_PER_S);
    ck_assert_uint_le(lines,
                      LINES_PER_S * (BURST_S + 1 + (uint64_t)end.tv_sec -
                                     (uint64_t)start.tv_sec));
    ck_assert_uint_eq(log_dropped_lines(), LINE_COUNT - lines);
    /* The reserve admits a warning, which also reports the dropped lines. */
    log_event(LOG_WARNING, "store-lost", "call=watch");
    (void)read_all();
    ck_assert_uint_eq(count_matches("event=dropped lines="), 1);
    ck_assert_uint_eq(count_matches("event=store-lost"), 1);
}
END_TEST

/* If the reader stops reading, lines are dropped and no call blocks. */
START_TEST(test_full_pipe_drops_lines_without_blocking)
{
    int i;

    open_log(LINE_COUNT);
    for (i = 0; i < LINE_COUNT; i++) {
        log_event(LOG_INFO, "end", "request=%d outcome=served reason=whole",
                  i);
    }
    ck_assert_uint_gt(log_dropped_lines(), 0);
    (void)read_all();
    log_event(LOG_INFO, "end", "request=after");
    (void)read_all();
    ck_assert_msg(strstr(output, "event=dropped") != NULL, "%s", output);
    ck_assert_msg(strstr(output, "request=after\n") != NULL, "%s", output);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("log");

    tcase_add_test(tcase, test_structured_line_format);
    tcase_add_test(tcase, test_lines_over_rate_limit_are_dropped_and_counted);
    tcase_add_test(tcase, test_full_pipe_drops_lines_without_blocking);
    return fixture_main("log", tcase);
}
