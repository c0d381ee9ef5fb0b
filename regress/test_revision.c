/* test_revision.c - tests for revisions with eras. */
#include <string.h>

#include "base/revision.h"
#include "regress/fixture.h"

typedef struct {
    const char *text;
    bool valid;
    int64_t era;
} era_case_t;

static const era_case_t era_cases[] = {
    {"0", true, 0},
    {"1", true, 1},
    {"524287", true, 524287},
    {"524288", false, -1},
    {"18446744073709551617", false, -1},
    {"", false, -1},
    {"-1", false, -1},
    {"1 ", false, -1},
    {"1, 2", false, -1},
    {"x", false, -1},
    {"\x01\xff", false, -1},
};

START_TEST(test_era_that_cannot_be_read_is_one_of_its_own)
{
    const era_case_t *test = &era_cases[_i];
    int64_t era;

    ck_assert_msg(revision_parse_era(test->text, strlen(test->text), &era) ==
                      test->valid,
                  "\"%s\"", test->text);
    ck_assert(era >= 0 && era <= REVISION_ERA_MAX);
    if (test->valid) {
        ck_assert_int_eq(era, test->era);
    }
}
END_TEST

typedef struct {
    int64_t era;
    int64_t number;
    int64_t other_era;
    int64_t other_number;
    bool older;
} order_case_t;

static const order_case_t order_cases[] = {
    {0, 5, 0, 6, true},
    {0, 6, 0, 5, false},
    {0, 5, 0, 5, false},
    {1, 5, 1, 6, true},
    {1, 5, 2, 6, false},
    {2, 5, 1, 6, false},
    {1, REVISION_NUMBER_MAX, 2, 1, false},
    {1, REVISION_NUMBER_MAX - 1, 1, REVISION_NUMBER_MAX, true},
};

START_TEST(test_revisions_of_two_eras_are_not_ordered)
{
    const order_case_t *test = &order_cases[_i];
    int64_t revision = revision_make(test->era, test->number);
    int64_t other = revision_make(test->other_era, test->other_number);

    ck_assert_int_eq(revision_is_older(revision, other), test->older);
    ck_assert_int_eq(revision_era(revision), test->era);
    ck_assert_int_eq(revision_number(revision), test->number);
    ck_assert_int_eq(revision_same_era(revision, other),
                     test->era == test->other_era);
}
END_TEST

START_TEST(test_no_key_has_revision_0_in_any_era)
{
    ck_assert_int_eq(revision_make(3, 0), 0);
    ck_assert_int_eq(revision_make(3, -1), 0);
    ck_assert_int_eq(revision_number(revision_make(3, INT64_MAX)),
                     REVISION_NUMBER_MAX);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("revision");

    tcase_add_loop_test(tcase, test_era_that_cannot_be_read_is_one_of_its_own,
                        0, COUNT(era_cases));
    tcase_add_loop_test(tcase, test_revisions_of_two_eras_are_not_ordered, 0,
                        COUNT(order_cases));
    tcase_add_test(tcase, test_no_key_has_revision_0_in_any_era);
    return fixture_main("revision", tcase);
}
