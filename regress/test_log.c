/* test_log.c - structured lines: their shape, their bound, no blocking. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/log.h"
#include "regress/fixture.h"

enum { READ_BYTES = 1 << 20, MANY = 20000, LINES_PER_S = 100, BURST_S = 2 };

static char came[READ_BYTES + 1];
static int ends[2];

static void
open_log(uint32_t lines_per_s)
{
    ck_assert_int_eq(pipe(ends), 0);
    (void)fcntl(ends[0], F_SETFL, O_NONBLOCK);
    log_init("test", LOG_INFO);
    log_structured(ends[1], lines_per_s);
}

static size_t
read_all(void)
{
    ssize_t got = read(ends[0], came, READ_BYTES);

    came[got > 0 ? got : 0] = '\0';
    return got > 0 ? (size_t)got : 0;
}

static size_t
count_of(const char *text)
{
    const char *at = came;
    size_t count = 0;

    while ((at = strstr(at, text)) != NULL) {
        count++;
        at += strlen(text);
    }
    return count;
}

START_TEST(test_shape)
{
    open_log(LINES_PER_S);
    log_event(LOG_WARNING, "store-lost", "call=%s", "watch");
    log_line(LOG_NOTICE, "plain text");
    log_event(LOG_DEBUG, "probe", "not=%s", "wanted");
    (void)read_all();
    ck_assert_msg(strncmp(came, "ts=20", strlen("ts=20")) == 0, "%s", came);
    ck_assert_ptr_nonnull(
        strstr(came, "Z level=warning event=store-lost call=watch\n"));
    ck_assert_ptr_nonnull(strstr(came, " event=note plain text\n"));
    ck_assert_ptr_null(strstr(came, "wanted"));
}
END_TEST

/* Far more lines than allowed: a burst comes, the rest is counted. */
START_TEST(test_bound)
{
    struct timespec began;
    struct timespec ended;
    size_t lines;
    int i;

    open_log(LINES_PER_S);
    (void)clock_gettime(CLOCK_MONOTONIC, &began);
    for (i = 0; i < MANY; i++) {
        log_event(LOG_INFO, "end", "request=%d", i);
    }
    (void)clock_gettime(CLOCK_MONOTONIC, &ended);
    (void)read_all();
    lines = count_of("event=end ");
    ck_assert_uint_ge(lines, LINES_PER_S);
    ck_assert_uint_le(lines,
                      LINES_PER_S * (BURST_S + 1 + (uint64_t)ended.tv_sec -
                                     (uint64_t)began.tv_sec));
    ck_assert_uint_eq(log_dropped(), MANY - lines);
    /* What is left is for warnings, and the first of them tells. */
    log_event(LOG_WARNING, "store-lost", "call=watch");
    (void)read_all();
    ck_assert_uint_eq(count_of("event=dropped lines="), 1);
    ck_assert_uint_eq(count_of("event=store-lost"), 1);
}
END_TEST

/* A reader that never reads: lines are left out, no call waits. */
START_TEST(test_no_reader)
{
    int i;

    open_log(MANY);
    for (i = 0; i < MANY; i++) {
        log_event(LOG_INFO, "end", "request=%d outcome=served reason=whole",
                  i);
    }
    ck_assert_uint_gt(log_dropped(), 0);
    (void)read_all();
    log_event(LOG_INFO, "end", "request=after");
    (void)read_all();
    ck_assert_msg(strstr(came, "event=dropped") != NULL, "%s", came);
    ck_assert_msg(strstr(came, "request=after\n") != NULL, "%s", came);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("log");

    tcase_add_test(tcase, test_shape);
    tcase_add_test(tcase, test_bound);
    tcase_add_test(tcase, test_no_reader);
    return fixture_main("log", tcase);
}
