/* test_forward_log.c - log lines of forwarding decisions. */
#include <string.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

enum { EVENTS_MAX = 20, EXPECTED_MAX = 5 };

/* The log lines of the last event must contain each expected text. */
typedef struct {
    const char *name;
    forwarding_line_t events[EVENTS_MAX];
    const char *expected[EXPECTED_MAX];
} log_case_t;

#define SETUP                                                                 \
    {0, "routing 7", NULL}, {0, "contact", NULL},                             \
    {                                                                         \
        0, "list ra1 rb1 rc1 sa1", NULL                                       \
    }
#define STREAM_STARTED                                                        \
    SETUP, {10, "request 1 stream", NULL}, {900, "head 1 1 200", NULL},       \
    {                                                                         \
        900, "event 1 1 3", NULL                                              \
    }

/* Its runner crashes after the head of the response. */
#define PART_CRASH(number, at_ms)                                             \
    {(at_ms), "request " #number " stream parts=1,2", NULL},                  \
        {(at_ms) + 400, "head " #number " 1 200", NULL},                      \
        {(at_ms) + 450, "broken " #number " 1", NULL},                        \
    {                                                                         \
        (at_ms) + 450, "gone " #number, NULL                                  \
    }

static const log_case_t cases[] = {
    {"new routing table",
     {{0, "routing 7", NULL}},
     {"routing version=7 revision=7 "}},
    {"send lists what the decision is based on",
     {SETUP,
      {1, "contact revision=3 source=h2", NULL},
      {41, "request 1 unsafe", NULL}},
     {"send request=q1 attempt=1 runner=sa1 zone=a ",
      " session=0000000000000001 ", " routing=7 ", " contact_age_ms=40",
      " revision=3 source=h2"}},
    {"refused without a routing table",
     {{10, "request 1 unsafe", NULL}},
     {"end request=q1 outcome=not-run reason=no-routing status=503 ",
      "routing=-1"}},
    {"refused with a stale routing table",
     {SETUP, {4800, "request 1 unsafe", NULL}},
     {"outcome=not-run reason=routing-stale status=503 runs=0 routing=7"}},
    {"refused for an unknown key",
     {SETUP, {10, "request 1 unsafe key=x", NULL}},
     {"outcome=not-run reason=no-key status=401 runs=0 routing=7"}},
    {"rejected by its runner",
     {SETUP,
      {10, "request 1 unsafe", NULL},
      {20, "head 1 1 503 not-run", NULL},
      {20, "whole 1 1", NULL}},
     {"rejected request=q1 attempt=1 runner=sa1 status=503",
      "end request=q1 outcome=not-run reason=runners-full status=503 "}},
    {"new runner",
     {SETUP, {10, "runner rb2", NULL}},
     {"runner runner=rb2 state=added service=r zone=b"}},
    {"runner starts draining",
     {SETUP, {10, "runner rb1 draining", NULL}},
     {"runner runner=rb1 state=draining service=r zone=b"}},
    {"runner restarted",
     {SETUP, {10, "runner rb1 born=5", NULL}},
     {"runner runner=rb1 state=restarted service=r zone=b"}},
    {"runner's entry removed",
     {SETUP, {10, "drop rb1", NULL}},
     {"runner runner=rb1 state=gone service=r zone=b after_ms=0"}},
    {"runner's entry listed again",
     {SETUP, {10, "drop rb1", NULL}, {20, "runner rb1", NULL}},
     {"runner runner=rb1 state=listed-again service=r zone=b"}},
    {"several runners of a zone fail together",
     {SETUP,
      {0, "list ra1 ra2 ra3 sa1", NULL},
      {10, "request 1 stream", NULL},
      {10, "request 2 stream", NULL},
      {10, "request 3 stream", NULL},
      {20, "broken 1 1", NULL},
      {20, "broken 2 1", NULL},
      {20, "broken 3 1", NULL}},
     {"zone-cooldown zone=a"}},
    {"request that was on a failed runner is a suspect",
     {SETUP,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      {10, "request 1 stream content=255", NULL},
      {20, "broken 1 1", NULL}},
     {"suspect-reported fingerprint=00000000000000ff crashes=1"}},
    {"request that was on a runner that has restarted is a suspect",
     {SETUP,
      {10, "request 1 stream content=255", NULL},
      {510, "timer", NULL},
      {520, "probed rc1 yes active=0", NULL},
      {1010, "timer", NULL},
      {1020, "probed rc1 yes active=0", NULL},
      {1510, "timer", NULL},
      {1515, "runner rc1 born=5", NULL},
      {1520, "probed rc1 yes active=0", NULL}},
     {"lost request=q1 attempt=1 runner=rc1 cause=dropped ",
      "suspect-reported fingerprint=00000000000000ff crashes=1"}},
    {"request that was on a silent runner that has restarted is a suspect",
     {SETUP,
      {10, "request 1 stream content=255", NULL},
      {510, "timer", NULL},
      {610, "probed rc1 no", NULL},
      {1010, "timer", NULL},
      {1110, "probed rc1 no", NULL},
      {1500, "runner rc1 born=5", NULL}},
     {"suspect-reported fingerprint=00000000000000ff crashes=1"}},
    {"request that was on a silent runner is held",
     {SETUP,
      {10, "request 1 stream", NULL},
      {910, "timer", NULL},
      {1000, "probed rc1 no", NULL}},
     {"held request=q1 attempt=1 runner=rc1 cause=unresponsive events=0 "
      "idle_ms=990 runs=1"}},
    {"request that crashed three runners is refused",
     {SETUP,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      {10, "request 1 stream content=255", NULL},
      {20, "broken 1 1", NULL},
      {1300, "timer", NULL},
      {1310, "broken 1 2", NULL},
      {2600, "timer", NULL},
      {2610, "broken 1 3", NULL}},
     {"harmful fingerprint=00000000000000ff subject=content crashes=3 "
      "age_ms=2590 hold_ms=",
      "end request=q1 outcome=unknown reason=harmful status=502 "}},
    {"request with a part that crashed three runners is refused",
     {SETUP,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      PART_CRASH(1, 10),
      PART_CRASH(2, 2000),
      PART_CRASH(3, 4000),
      {5000, "contact", NULL},
      {5000, "request 4 stream parts=1,2", NULL}},
     {"end request=q4 outcome=not-run reason=harmful status=503 "}},
    {"third crash of a part names the part",
     {SETUP,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      PART_CRASH(1, 10),
      PART_CRASH(2, 2000),
      {4000, "request 3 stream parts=1,2", NULL},
      {4400, "head 3 1 200", NULL},
      {4450, "broken 3 1", NULL}},
     {"harmful fingerprint=bb6abc85e98fa900 subject=part crashes=3 "}},
    {"request without the part that crashed three runners is sent",
     {SETUP,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      PART_CRASH(1, 10),
      PART_CRASH(2, 2000),
      PART_CRASH(3, 4000),
      {5000, "contact", NULL},
      {5000, "request 4 stream parts=1", NULL}},
     {"send request=q4 attempt=1 "}},
    {"suspect completes on another runner",
     {SETUP,
      {10, "request 1 stream content=255", NULL},
      {20, "broken 1 1", NULL},
      {30, "head 1 2 200", NULL},
      {40, "whole 1 2", NULL}},
     {" fingerprint=00000000000000ff",
      "suspect-cleared fingerprint=00000000000000ff"}},
    {"stream resumed on another runner",
     {STREAM_STARTED, {1000, "broken 1 1", NULL}},
     {"lost request=q1 attempt=1 runner=rc1 cause=broken status=200 events=1 "
      "ran_ms=990 idle_ms=100",
      "send request=q1 attempt=2 runner=ra1 ", " after=3 restore=1 "}},
    {"lost request names the parts of its prompt",
     {SETUP,
      {10, "request 1 stream parts=1,2", NULL},
      {20, "broken 1 1", NULL}},
     {" parts=ec932071b2a15fd8,bb6abc85e98fa900"}},
    {"lost request without parts",
     {SETUP, {10, "request 1 stream", NULL}, {20, "broken 1 1", NULL}},
     {" parts=none"}},
    {"runner does not answer a probe",
     {STREAM_STARTED, {1120, "timer", NULL}, {1220, "probed rc1 no", NULL}},
     {"lost request=q1 attempt=1 runner=rc1 cause=unresponsive ",
      " idle_ms=320"}},
    {"standby replaced",
     {STREAM_STARTED, {950, "drop ra1", NULL}},
     {"copy request=q1 attempt=1 runner=rc1 to=rb1 events=1"}},
    {"caller closes its connection",
     {STREAM_STARTED, {950, "gone 1", NULL}},
     {"end request=q1 outcome=gone reason=caller-closed "}},
    {"failed request that may have run",
     {SETUP, {10, "request 1 unsafe", NULL}, {20, "broken 1 1", NULL}},
     {"lost request=q1 ", "end request=q1 outcome=unknown reason=runner-lost "
                          "status=502 runs=1 "}},
    {"response served",
     {STREAM_STARTED, {950, "whole 1 1", NULL}},
     {"end request=q1 outcome=served reason=whole status=200 runs=1 "}},
};

START_TEST(test_log_lines)
{
    const log_case_t *test = &cases[_i];
    forward_t *forward = forwarding_open();
    size_t i;

    for (i = 0; i < EVENTS_MAX && test->events[i].event != NULL; i++) {
        (void)forwarding_do(forward, test->events[i].at_ms,
                            test->events[i].event);
    }
    for (i = 0; i < EXPECTED_MAX && test->expected[i] != NULL; i++) {
        ck_assert_msg(strstr(forwarding_lines(), test->expected[i]) != NULL,
                      "%s: expected %s, got\n%s", test->name,
                      test->expected[i], forwarding_lines());
    }
    forward_free(forward);
}
END_TEST

START_TEST(test_keys_are_not_logged)
{
    forward_t *forward = forwarding_open();

    (void)forwarding_do(forward, 0, "routing 7");
    (void)forwarding_do(forward, 0, "contact");
    (void)forwarding_do(forward, 0, "list sa1");
    (void)forwarding_do(forward, 10, "request 1 unsafe key=secret-key");
    ck_assert_ptr_null(strstr(forwarding_lines(), "secret-key"));
    (void)forwarding_do(forward, 10, "request 2 unsafe key=k2");
    ck_assert_ptr_null(strstr(forwarding_lines(), "k2"));
    forward_free(forward);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("forward_log");

    tcase_add_loop_test(tcase, test_log_lines, 0, COUNT(cases));
    tcase_add_test(tcase, test_keys_are_not_logged);
    return fixture_main("forward_log", tcase);
}
