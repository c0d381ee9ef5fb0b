/*
 * test_split_routes.c - tests that a stream goes on at the service that began
 * it only, whatever its route leads to since; see forward/route_services.h.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "forward/route_services.h"
#include "regress/fixture.h"
#include "regress/forwarding.h"

/* Services r and t, whose runners name the same version. */
#define RUNNERS                                                               \
    {0, "contact", ""}, {0, "hosts 1", ""},                                   \
        {0, "list ra1 rb1 ta1 tb1 sa1 version=1", ""}, {0, "fleet h1", ""},   \
        {1, "record versions/r rev=5 1", ""},                                 \
    {                                                                         \
        1, "record versions/t rev=6 1", ""                                    \
    }
/* Stream q1 begins at service r, which gets all new streams. */
#define BEGUN_WITH(shares)                                                    \
    {0, "routing 1 split=" shares, ""}, RUNNERS,                              \
        {10, "request 1 stream", "send 1.1 rb1 backup=10.17.0.1:80"},         \
        {900, "head 1 1 200", "begin 1.1"},                                   \
    {                                                                         \
        900, "event 1 1 0", ""                                                \
    }
#define BEGUN_AT_R BEGUN_WITH("r:1,t:0")
#define BEGUN_AT_ONLY_R BEGUN_WITH("r:1")
#define TAKEN_UP_AT_R "send 2.1 ra1 backup=10.17.1.1:80 resume"
#define REFUSED "refuse 2 no-version 503 not-run after=50"

static const forwarding_line_t service_whose_weight_became_0[] = {
    BEGUN_AT_R,
    {910, "routing 2 split=r:0,t:1", NULL},
    {950, "gone 1", "cancel 1.1"},
    {960, "request 2 stream after=0 resumes=q1", TAKEN_UP_AT_R},
};

static const forwarding_line_t service_that_left_the_route[] = {
    BEGUN_AT_ONLY_R,
    {910, "routing 2 split=t:1", NULL},
    {950, "gone 1", "cancel 1.1"},
    {960, "request 2 stream after=0 resumes=q1", TAKEN_UP_AT_R},
    {970, "request 3 stream", "send 3.1 tb1"},
};

static const forwarding_line_t route_that_was_renamed[] = {
    BEGUN_AT_ONLY_R,
    {910, "routing 2 split=r:1 name=chat", NULL},
    {950, "gone 1", "cancel 1.1"},
    {960, "request 2 stream after=0 resumes=q1", TAKEN_UP_AT_R},
};

static const forwarding_line_t service_of_another_hosts_stream[] = {
    {0, "routing 1 split=r:1,t:1000000", ""},
    RUNNERS,
    {10, "peer h2 ra1/1/stream=q9:1", ""},
    {900, "peer h2 gone", ""},
    {960, "request 2 stream after=0 resumes=q9", TAKEN_UP_AT_R},
};

static const forwarding_line_t service_that_left_before_another_host_died[] = {
    {0, "routing 1 split=r:1", ""},
    RUNNERS,
    {10, "peer h2 ra1/1/stream=q9:1", ""},
    {20, "routing 2 split=t:1", ""},
    {900, "peer h2 gone", ""},
    {960, "request 2 stream after=0 resumes=q9", TAKEN_UP_AT_R},
};

/* It began at a start of a runner that was not confirmed yet. */
static const forwarding_line_t stream_whose_version_is_not_told[] = {
    {0, "routing 1 split=t:1", ""},
    RUNNERS,
    {10, "peer h2 ra1/1/stream=q9:-", ""},
    {900, "peer h2 gone", ""},
    {960, "request 2 stream after=0 resumes=q9", REFUSED},
};

static const forwarding_line_t unknown_stream_of_split_route_is_refused[] = {
    {0, "routing 1 split=r:1,t:1", ""},
    RUNNERS,
    {960, "request 2 stream after=0 resumes=q9", REFUSED},
};

static const forwarding_line_t unknown_stream_after_the_route_moved[] = {
    {0, "routing 1 split=r:1", ""},
    RUNNERS,
    {100, "routing 2 split=t:1", ""},
    {960, "request 2 stream after=0 resumes=q9", REFUSED},
};

/* All hosts were killed before they had recorded the stream. */
static const forwarding_line_t unknown_stream_after_a_start[] = {
    {0, "routing 1 split=r:1,t:0", ""},
    RUNNERS,
    {960, "request 2 stream after=0 resumes=q9", REFUSED},
    {61000, "contact", NULL},
    {61000, "request 3 stream after=0 resumes=q9",
     "send 3.1 rb1 backup=10.17.0.1:80 resume"},
};

static const forwarding_line_t
    unknown_stream_of_a_route_that_moved_long_ago[] = {
        {0, "routing 1 split=r:1", ""},
        RUNNERS,
        {100, "routing 2 split=t:1", ""},
        {61000, "contact", NULL},
        {61000, "request 2 stream after=0 resumes=q9", "send 2.1 tb1 resume"},
};

/* A caller must not get to a service that its route never led to. */
static const forwarding_line_t stream_of_a_service_of_other_routes[] = {
    {0, "routing 1 split=r:1", ""},
    RUNNERS,
    {10, "peer h2 ta1/1/stream=q9:1", ""},
    {960, "request 2 stream after=0 resumes=q9", REFUSED},
};

static const forwarding_line_t stream_that_began_on_another_route[] = {
    {0, "routing 1 split=r:1", ""},
    RUNNERS,
    {10, "request 1 once", "send 1.1 rb1"},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {950, "gone 1", "cancel 1.1"},
    {960, "request 2 stream after=0 resumes=q1", REFUSED},
};

/* All hosts were killed. */
static const forwarding_line_t service_in_the_record_of_a_host[] = {
    {0, "routing 1 split=r:1,t:1000000", ""},
    RUNNERS,
    {2, "record streams/h2 rev=7 1:q8@t 1:q9,q10@r", ""},
    {960, "request 2 stream after=0 resumes=q9", TAKEN_UP_AT_R},
    {970, "request 3 stream after=0 resumes=q8", "send 3.1 tb1 resume"},
    {980, "request 4 stream after=0 resumes=q11",
     "refuse 4 no-version 503 not-run after=50"},
};

static const forwarding_line_t service_in_the_record_has_left_the_route[] = {
    {0, "routing 1 split=t:1", ""},
    RUNNERS,
    {2, "record streams/h2 rev=7 1:q9@r", ""},
    {960, "request 2 stream after=0 resumes=q9", TAKEN_UP_AT_R},
};

static const forwarding_line_t streams_of_split_routes_are_written[] = {
    {0, "routing 1 split=r:1,t:1", ""},
    RUNNERS,
    {10, "request 1 stream", NULL},
    {900, "head 1 1 200", "begin 1.1"},
    {900, "event 1 1 0", ""},
    {1050, "timer", "put streams/h1 words=4 rev=0"},
};

static const forwarding_line_t streams_of_other_routes_are_not_written[] = {
    BEGUN_AT_ONLY_R,
    {1050, "timer", ""},
    {2000, "timer", ""},
};

static const forwarding_line_t streams_are_written_when_their_route_moves[] = {
    BEGUN_AT_ONLY_R,
    {910, "routing 2 split=t:1", "put streams/h1 words=4 rev=0"},
};

static const forwarding_line_t streams_are_written_when_their_route_splits[] =
    {
        BEGUN_AT_ONLY_R,
        {910, "routing 2 split=r:1,t:1", "put streams/h1 words=4 rev=0"},
};

/* Its versions are still told apart. */
static const forwarding_line_t versions_of_a_service_that_left_are_recorded[] =
    {
        BEGUN_AT_ONLY_R,
        {910, "routing 2 split=t:1", "put streams/h1 words=4 rev=0"},
        {6000, "contact", NULL},
        {6000, "runner rc1 version=2", "put versions/r words=2 rev=5"},
};

static const forwarding_line_t relayed_stream_goes_where_its_host_says[] = {
    {0, "routing 1 split=r:1,t:1000000", ""},
    RUNNERS,
    {10, "request 2 stream relayed grant=2:0 service=r",
     "send 2.1 ra1 backup=10.17.1.1:80"},
};

static const forwarding_line_t relayed_stream_goes_on_where_its_host_says[] = {
    {0, "routing 1 split=r:0,t:1", ""},
    RUNNERS,
    {10, "request 2 stream after=0 resumes=q9 relayed grant=2:1 service=r",
     ""},
    {20, "contact", TAKEN_UP_AT_R},
};

static const forwarding_line_t relayed_new_stream_keeps_the_newer_weights[] = {
    {0, "routing 1 split=r:0,t:1", ""},
    RUNNERS,
    {10, "request 2 stream relayed grant=2:0 service=r", "send 2.1 tb1"},
};

/* An operator may empty a route: no service is taken for another. */
static const forwarding_line_t route_whose_weights_are_all_0[] = {
    BEGUN_AT_ONLY_R,
    {910, "routing 2 split=r:0,t:0", NULL},
    {920, "request 2 stream", "refuse 2 no-runner 503 not-run after=500"},
    {930, "request 3 stream after=5 resumes=q9",
     "refuse 3 no-runner 503 not-run after=500"},
    {940, "request 5 stream relayed grant=2:0",
     "refuse 5 no-runner 503 not-run after=500"},
    {950, "gone 1", "cancel 1.1"},
    {960, "request 4 stream after=0 resumes=q1",
     "send 4.1 ra1 backup=10.17.1.1:80 resume"},
};

static const forwarding_script_t scripts[] = {
    FORWARDING_SCRIPT(route_whose_weights_are_all_0),
    FORWARDING_SCRIPT(service_whose_weight_became_0),
    FORWARDING_SCRIPT(service_that_left_the_route),
    FORWARDING_SCRIPT(route_that_was_renamed),
    FORWARDING_SCRIPT(service_of_another_hosts_stream),
    FORWARDING_SCRIPT(service_that_left_before_another_host_died),
    FORWARDING_SCRIPT(stream_whose_version_is_not_told),
    FORWARDING_SCRIPT(unknown_stream_of_split_route_is_refused),
    FORWARDING_SCRIPT(unknown_stream_after_the_route_moved),
    FORWARDING_SCRIPT(unknown_stream_after_a_start),
    FORWARDING_SCRIPT(unknown_stream_of_a_route_that_moved_long_ago),
    FORWARDING_SCRIPT(stream_of_a_service_of_other_routes),
    FORWARDING_SCRIPT(stream_that_began_on_another_route),
    FORWARDING_SCRIPT(service_in_the_record_of_a_host),
    FORWARDING_SCRIPT(service_in_the_record_has_left_the_route),
    FORWARDING_SCRIPT(streams_of_split_routes_are_written),
    FORWARDING_SCRIPT(streams_of_other_routes_are_not_written),
    FORWARDING_SCRIPT(streams_are_written_when_their_route_moves),
    FORWARDING_SCRIPT(streams_are_written_when_their_route_splits),
    FORWARDING_SCRIPT(versions_of_a_service_that_left_are_recorded),
    FORWARDING_SCRIPT(relayed_stream_goes_where_its_host_says),
    FORWARDING_SCRIPT(relayed_stream_goes_on_where_its_host_says),
    FORWARDING_SCRIPT(relayed_new_stream_keeps_the_newer_weights),
};

START_TEST(test_script)
{
    forwarding_play(&scripts[_i]);
}
END_TEST

typedef struct {
    route_t route;
    bool same; /* as host.example/stream/ */
} route_case_t;

static const route_case_t routes[] = {
    {{.host = "host.example", .prefix = "/stream/"}, true},
    {{.host = "Host.EXAMPLE", .prefix = "/stream/"}, true},
    {{.host = "host.example", .prefix = "/stream/", .name = "chat"}, true},
    {{.host = "other.example", .prefix = "/stream/"}, false},
    {{.host = "host.example", .prefix = "/Stream/"}, false},
    {{.host = "host.example", .prefix = "/stream/b/"}, false},
    {{.host = "host.example/stream", .prefix = "/"}, false},
};

/* Routes without a name on two hosts were taken for one. */
START_TEST(test_route_hash)
{
    route_t route = {.host = "host.example", .prefix = "/stream/"};

    ck_assert_int_eq(route_hash(&routes[_i].route) == route_hash(&route),
                     routes[_i].same);
}
END_TEST

/* Returns how many of 1,000 new streams are sent to service r. */
static uint32_t
count_new_streams_at_r(const char *routing)
{
    forward_t *forward = forwarding_open();
    uint32_t count = 0;
    char event[64];
    int i;

    (void)forwarding_do(forward, 0, routing);
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "list ra1 ta1 version=1");
    for (i = 1; i <= 1000; i++) {
        (void)snprintf(event, sizeof(event), "request %d stream", i);
        count += strstr(forwarding_do(forward, i, event), "ra1") != NULL;
        (void)snprintf(event, sizeof(event), "gone %d", i);
        (void)forwarding_do(forward, i, event);
    }
    forward_free(forward);
    return count;
}

START_TEST(test_new_streams_keep_their_weights)
{
    uint32_t quarter = count_new_streams_at_r("routing 1 split=r:1,t:3");

    ck_assert_uint_gt(quarter, 200);
    ck_assert_uint_lt(quarter, 300);
    ck_assert_uint_eq(count_new_streams_at_r("routing 1 split=r:0,t:3"), 0);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("split_routes");

    tcase_add_loop_test(tcase, test_script, 0, COUNT(scripts));
    tcase_add_loop_test(tcase, test_route_hash, 0, COUNT(routes));
    tcase_add_test(tcase, test_new_streams_keep_their_weights);
    return fixture_main("split_routes", tcase);
}
