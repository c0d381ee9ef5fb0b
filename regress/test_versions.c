/* test_versions.c - a stream goes on at the version that began it only. */
#include <check.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

/* Runners of zones a and b have version 1, those of zone c version 2. */
#define TWO_VERSIONS                                                          \
    {0, "routing 1", ""}, {0, "contact", ""}, {0, "hosts 1", ""},             \
        {0, "runner ra1 version=1", ""}, {0, "runner rb1 version=1", ""},     \
        {0, "runner rc1 version=2", ""},                                      \
    {                                                                         \
        0, "runner rc2 version=2", ""                                         \
    }
#define STREAM_BEGUN                                                          \
    TWO_VERSIONS,                                                             \
        {10, "request 1 stream", "send 1.1 rc1 backup=10.17.2.2:80"},         \
        {900, "head 1 1 200", "begin 1.1"},                                   \
    {                                                                         \
        900, "event 1 1 0", ""                                                \
    }

static const forwarding_line_t stream_resumes_at_its_version[] = {
    STREAM_BEGUN,
    {910, "drop rc2", ""},
    {950, "broken 1 1", "cancel 1.1"},
};

static const forwarding_line_t copy_is_kept_at_the_version_of_the_stream[] = {
    STREAM_BEGUN,
    {950, "broken 1 1",
     "cancel 1.1; send 1.2 rc2 restore=10.17.2.2:80/q1 "
     "backup=10.17.2.1:80 resume"},
};

static const forwarding_line_t copy_of_runner_with_new_version_is_not_used[] =
    {
        STREAM_BEGUN,
        {940, "runner rc2 version=1 born=5", ""},
        {950, "broken 1 1", "cancel 1.1"},
};

static const forwarding_line_t
    resumed_caller_gets_the_version_of_its_stream[] = {
        STREAM_BEGUN,
        {950, "gone 1", "cancel 1.1"},
        {960, "request 2 stream after=0 resumes=q1",
         "send 2.1 rc2 backup=10.17.2.1:80 resume"},
        {970, "gone 2", "cancel 2.1"},
        {980, "request 3 stream after=0 resumes=q1",
         "send 3.1 rc2 backup=10.17.2.1:80 resume"},
};

static const forwarding_line_t resumed_caller_of_unknown_stream_is_refused[] =
    {
        TWO_VERSIONS,
        {960, "request 2 stream after=0 resumes=q1",
         "refuse 2 no-version 503 not-run after=50"},
};

static const forwarding_line_t unknown_stream_goes_on_at_the_only_version[] = {
    FORWARDING_OPENED,
    {960, "request 2 stream after=0 resumes=q1",
     "send 2.1 ra1 backup=10.17.2.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(stream_resumes_at_its_version),
    FORWARDING_SCRIPT(copy_is_kept_at_the_version_of_the_stream),
    FORWARDING_SCRIPT(copy_of_runner_with_new_version_is_not_used),
    FORWARDING_SCRIPT(resumed_caller_gets_the_version_of_its_stream),
    FORWARDING_SCRIPT(resumed_caller_of_unknown_stream_is_refused),
    FORWARDING_SCRIPT(unknown_stream_goes_on_at_the_only_version),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("versions");

    tcase_add_loop_test(tcase, test_script, 0,
                        sizeof(scripts) / sizeof(scripts[0]));
    return fixture_main("versions", tcase);
}
