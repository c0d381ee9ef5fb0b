/* test_forward_log.c - what can be told afterwards: situations and lines. */
#include <string.h>

#include "regress/fixture.h"
#include "regress/forwarding.h"

enum { EVENTS_MAX = 16, TEXTS_MAX = 5 };

/* The last event's lines must hold each of the texts. */
typedef struct {
    const char *name;
    forwarding_line_t events[EVENTS_MAX];
    const char *texts[TEXTS_MAX];
} situation_t;

#define OPENED                                                                \
    {0, "routing 7", NULL}, {0, "contact", NULL},                             \
    {                                                                         \
        0, "list ra1 rb1 rc1 sa1", NULL                                       \
    }
#define STREAMING                                                             \
    OPENED, {10, "request 1 stream", NULL}, {900, "head 1 1 200", NULL},      \
    {                                                                         \
        900, "event 1 1 3", NULL                                              \
    }

static const situation_t situations[] = {
    {"a table comes into force",
     {{0, "routing 7", NULL}},
     {"routing version=7 revision=7 "}},
    {"sent, with what decided it",
     {OPENED, {40, "request 1 unsafe", NULL}},
     {"send request=q1 attempt=1 runner=sa1 zone=a ",
      " session=0000000000000001 ", " routing=7 ", " contact_age_ms=40"}},
    {"refused before there is a table",
     {{10, "request 1 unsafe", NULL}},
     {"end request=q1 outcome=not-run reason=no-routing status=503 ",
      "routing=-1"}},
    {"refused on an old table",
     {OPENED, {4800, "request 1 unsafe", NULL}},
     {"outcome=not-run reason=routing-stale status=503 runs=0 routing=7"}},
    {"an unknown key",
     {OPENED, {10, "request 1 unsafe key=x", NULL}},
     {"outcome=not-run reason=no-key status=401 runs=0 routing=7"}},
    {"rejected by its runner",
     {OPENED,
      {10, "request 1 unsafe", NULL},
      {20, "head 1 1 503 not-run", NULL},
      {20, "whole 1 1", NULL}},
     {"rejected request=q1 attempt=1 runner=sa1 status=503",
      "end request=q1 outcome=not-run reason=runners-full status=503 "}},
    {"a runner that is new",
     {OPENED, {10, "runner rb2", NULL}},
     {"runner runner=rb2 state=added service=r zone=b"}},
    {"a runner that begins to leave",
     {OPENED, {10, "runner rb1 draining", NULL}},
     {"runner runner=rb1 state=draining service=r zone=b"}},
    {"a runner that has started again",
     {OPENED, {10, "runner rb1 born=5", NULL}},
     {"runner runner=rb1 state=restarted service=r zone=b"}},
    {"a runner whose entry is removed",
     {OPENED, {10, "drop rb1", NULL}},
     {"runner runner=rb1 state=gone service=r zone=b after_ms=0"}},
    {"a runner whose entry is back",
     {OPENED, {10, "drop rb1", NULL}, {20, "runner rb1", NULL}},
     {"runner runner=rb1 state=listed-again service=r zone=b"}},
    {"a zone whose runners are lost together",
     {OPENED,
      {0, "list ra1 ra2 ra3 sa1", NULL},
      {10, "request 1 stream", NULL},
      {10, "request 2 stream", NULL},
      {10, "request 3 stream", NULL},
      {20, "broken 1 1", NULL},
      {20, "broken 2 1", NULL},
      {20, "broken 3 1", NULL}},
     {"zone-cooldown zone=a"}},
    {"a request that was at a lost runner",
     {OPENED,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      {10, "request 1 stream content=255", NULL},
      {20, "broken 1 1", NULL},
      {1300, "timer", NULL},
      {1310, "runner rc3 born=5", NULL}},
     {"accused fingerprint=00000000000000ff"}},
    {"a request that has crashed three runners",
     {OPENED,
      {0, "list ra1 ra2 ra3 rb1 rb2 rb3 rc1 rc2 rc3 sa1", NULL},
      {10, "request 1 stream content=255", NULL},
      {20, "broken 1 1", NULL},
      {1300, "timer", NULL},
      {1310, "broken 1 2", NULL},
      {2600, "timer", NULL},
      {2610, "broken 1 3", NULL},
      {3900, "timer", NULL},
      {4200, "timer", NULL}},
     {"harmful fingerprint=00000000000000ff hold_ms=",
      "end request=q1 outcome=unknown reason=harmful status=502 "}},
    {"a stream that goes on elsewhere",
     {STREAMING, {1000, "broken 1 1", NULL}},
     {"lost request=q1 attempt=1 runner=rc1 cause=broken status=200 events=1 "
      "ran_ms=990 idle_ms=100",
      "send request=q1 attempt=2 runner=ra1 ", " after=3 restore=1 "}},
    {"a runner that gives no sign of life",
     {STREAMING, {1120, "timer", NULL}, {1220, "probed rc1 no", NULL}},
     {"lost request=q1 attempt=1 runner=rc1 cause=unresponsive ", " idle_ms=320"}},
    {"a standby that is replaced",
     {STREAMING, {950, "drop ra1", NULL}},
     {"copy request=q1 attempt=1 runner=rc1 to=rb1 events=1"}},
    {"a caller that closes",
     {STREAMING, {950, "gone 1", NULL}},
     {"end request=q1 outcome=gone reason=caller-closed "}},
    {"a request that may have run",
     {OPENED, {10, "request 1 unsafe", NULL}, {20, "broken 1 1", NULL}},
     {"lost request=q1 ", "end request=q1 outcome=unknown reason=runner-lost "
                          "status=502 runs=1 "}},
    {"served",
     {STREAMING, {950, "whole 1 1", NULL}},
     {"end request=q1 outcome=served reason=whole status=200 runs=1 "}},
};

START_TEST(test_situation)
{
    const situation_t *situation = &situations[_i];
    forward_t *forward = forwarding_open();
    size_t i;

    for (i = 0; i < EVENTS_MAX && situation->events[i].event != NULL; i++) {
        (void)forwarding_do(forward, situation->events[i].at_ms,
                            situation->events[i].event);
    }
    for (i = 0; i < TEXTS_MAX && situation->texts[i] != NULL; i++) {
        ck_assert_msg(strstr(forwarding_lines(), situation->texts[i]) != NULL,
                      "%s: want %s, got\n%s", situation->name,
                      situation->texts[i], forwarding_lines());
    }
    forward_free(forward);
}
END_TEST

/* No line holds a key. */
START_TEST(test_no_key)
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

    tcase_add_loop_test(tcase, test_situation, 0, COUNT(situations));
    tcase_add_test(tcase, test_no_key);
    return fixture_main("forward_log", tcase);
}
