/* test_metric.c - text format of metrics, and burn rates over time windows. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "policy/burn.h"

START_TEST(test_text_format)
{
    const metric_spec_t specs[] = {
        {METRIC_COUNTER, "a_total", "Things.", {"kind", "by"}, {0}, 0},
        {METRIC_GAUGE, "b_bytes", "Bytes.", {NULL}, {0}, 0},
        {METRIC_HISTOGRAM, "c_seconds", "Time.", {"to"}, {0.1, 1, 2.5}, 3},
    };
    const char *const simple[] = {"x", "y"};
    const char *const escaped[] = {"a\"b\\c\nd", ""};
    metric_set_t *set = metric_set_new();
    metric_family_t *families[3];
    text_t text = {0};
    const double observed[] = {0.1, 0.2, 1.5, 9};

    for (size_t i = 0; i < 3; i++) {
        families[i] = metric_family_new(set, &specs[i]);
    }
    metric_add(metric_series(families[0], simple), 2);
    metric_add(metric_series(families[0], escaped), 1);
    metric_add(metric_series(families[0], simple), 3);
    metric_set_value(metric_series(families[1], simple), 1.5);
    for (size_t i = 0; i < 4; i++) {
        metric_observe(metric_series(families[2], simple), observed[i]);
    }
    metric_write(set, &text);
    text_append(&text, "", 1);
    ck_assert_str_eq(text.bytes,
                     "# HELP a_total Things.\n"
                     "# TYPE a_total counter\n"
                     "a_total{kind=\"x\",by=\"y\"} 5\n"
                     "a_total{kind=\"a\\\"b\\\\c\\nd\",by=\"\"} 1\n"
                     "# HELP b_bytes Bytes.\n"
                     "# TYPE b_bytes gauge\n"
                     "b_bytes 1.5\n"
                     "# HELP c_seconds Time.\n"
                     "# TYPE c_seconds histogram\n"
                     "c_seconds_bucket{to=\"x\",le=\"0.1\"} 1\n"
                     "c_seconds_bucket{to=\"x\",le=\"1\"} 2\n"
                     "c_seconds_bucket{to=\"x\",le=\"2.5\"} 3\n"
                     "c_seconds_bucket{to=\"x\",le=\"+Inf\"} 4\n"
                     "c_seconds_sum{to=\"x\"} 10.8\n"
                     "c_seconds_count{to=\"x\"} 4\n");
    text_free(&text);
    metric_set_free(set);
}
END_TEST

START_TEST(test_series_over_limit_count_as_other)
{
    const metric_spec_t spec = {METRIC_COUNTER, "a_total", "A.",
                                {"k"},          {0},       0};
    metric_set_t *set = metric_set_new();
    metric_family_t *family = metric_family_new(set, &spec);
    const char *const first[] = {"0"};
    text_t text = {0};

    for (int i = 0; i < METRIC_SERIES_MAX + 10; i++) {
        char value[16];
        const char *const values[] = {value};

        (void)snprintf(value, sizeof(value), "%d", i);
        metric_add(metric_series(family, values), 1);
    }
    metric_add(metric_series(family, first), 1);
    metric_write(set, &text);
    text_append(&text, "", 1);
    ck_assert_ptr_nonnull(strstr(text.bytes, "a_total{k=\"other\"} 10\n"));
    ck_assert_ptr_nonnull(strstr(text.bytes, "a_total{k=\"0\"} 2\n"));
    text_free(&text);
    metric_set_free(set);
}
END_TEST

/* Requests within and out of the objective, and a window read later. */
typedef struct {
    int64_t at_s;
    int within;
    int out;
    int64_t read_s;
    burn_window_t window;
    uint64_t counted;
    uint32_t share_ppm;
    uint64_t rate_permille; /* of 99.9 % */
} burn_case_t;

static const burn_case_t burn_cases[] = {
    {0, 0, 0, 0, BURN_5_MINUTES, 0, 0, 0},
    {0, 999, 1, 0, BURN_5_MINUTES, 1000, 1000, 1000},
    {0, 90, 10, 0, BURN_3_DAYS, 100, 100000, 100000},
    {100, 5, 0, 394, BURN_5_MINUTES, 5, 0, 0},
    {100, 5, 0, 400, BURN_5_MINUTES, 0, 0, 0},
    {100, 5, 5, 3659, BURN_1_HOUR, 10, 500000, 500000},
    {100, 5, 5, 3660, BURN_1_HOUR, 0, 0, 0},
    {100, 5, 5, 21599, BURN_6_HOURS, 10, 500000, 500000},
    {100, 5, 5, 21600, BURN_6_HOURS, 0, 0, 0},
    {100, 0, 5, 259199, BURN_3_DAYS, 5, 1000000, 1000000},
    {100, 0, 5, 259200, BURN_3_DAYS, 0, 0, 0},
};

START_TEST(test_window_count_and_burn_rate)
{
    const burn_case_t *c = &burn_cases[_i];
    static burn_t burn;
    burn_count_t count;

    memset(&burn, 0, sizeof(burn));
    for (int i = 0; i < c->within + c->out; i++) {
        burn_count_request(&burn, c->at_s * 1000000, i < c->within);
    }
    count = burn_window_count(&burn, c->window, c->read_s * 1000000);
    ck_assert_uint_eq(count.within + count.out, c->counted);
    ck_assert_uint_eq(burn_missed_ppm(count), c->share_ppm);
    ck_assert_uint_eq(burn_rate_permille(count, 999000), c->rate_permille);
}
END_TEST

START_TEST(test_burn_ring_buffer_wraps)
{
    static burn_t burn;
    burn_count_t count;

    for (int64_t s = 0; s < 10000; s++) {
        burn_count_request(&burn, s * 1000000, s % 10 != 0);
    }
    count = burn_window_count(&burn, BURN_5_MINUTES, (int64_t)9999 * 1000000);
    ck_assert_uint_eq(count.within, 270);
    ck_assert_uint_eq(count.out, 30);
    count = burn_window_count(&burn, BURN_3_DAYS, (int64_t)9999 * 1000000);
    ck_assert_uint_eq(count.within, 9000);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("metric");
    TCase *tcase = tcase_create("metric");
    SRunner *runner;
    int failed;

    tcase_add_test(tcase, test_text_format);
    tcase_add_test(tcase, test_series_over_limit_count_as_other);
    tcase_add_loop_test(tcase, test_window_count_and_burn_rate, 0,
                        sizeof(burn_cases) / sizeof(burn_cases[0]));
    tcase_add_test(tcase, test_burn_ring_buffer_wraps);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
