/* fixture.c - see fixture.h. */
#include <stdlib.h>

#include "regress/fixture.h"
#include "regress/turn.h"

static void
on_limit(uv_timer_t *timer)
{
    ck_abort_msg("what the test waits for did not come");
}

void
fixture_open(fixture_t *fixture)
{
    (void)uv_loop_init(&fixture->loop);
    fixture->client = http_client_new(&fixture->loop);
    (void)uv_timer_init(&fixture->loop, &fixture->limit);
    (void)uv_timer_start(&fixture->limit, on_limit, FIXTURE_LIMIT_MS, 0);
}

void
fixture_close(fixture_t *fixture)
{
    http_client_free(fixture->client);
    uv_close((uv_handle_t *)&fixture->limit, NULL);
    (void)uv_run(&fixture->loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&fixture->loop), 0);
}

void
fixture_wait(fixture_t *fixture, const bool *done)
{
    while (!*done) {
        loop_turn(&fixture->loop);
    }
}

int
fixture_main(const char *name, TCase *tcase)
{
    Suite *suite = suite_create(name);
    SRunner *runner = srunner_create(suite);
    int failed;

    tcase_set_timeout(tcase, FIXTURE_TIMEOUT_S);
    suite_add_tcase(suite, tcase);
    srunner_run_all(runner, CK_ENV);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
