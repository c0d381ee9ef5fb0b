/* test_outage.c - a host that starts while the platform is away. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "regress/host.h"

enum { ENOUGH_MS = 20000, CLOSED_PORT = 1 };

#define PEERS                                                                 \
    "[peers]\naddress = \"127.0.0.1:0\"\nkey_file = \"" REGRESS_DIR           \
    "/golden/peers.key\"\n"

static void
on_enough(uv_timer_t *timer)
{
    ck_abort_msg("it took too long");
}

static size_t
documents_of(const host_t *host, int64_t *revision)
{
    arena_t arena = {0};
    node_config_view_t *views;
    size_t count;
    size_t i;

    *revision = 0;
    views = node_configs(dispatch_node(host->daemon.dispatch), &arena, &count);
    for (i = 0; i < count; i++) {
        *revision += views[i].revision;
    }
    arena_free(&arena);
    return count;
}

/* Starts a host whose platform nobody serves, and which knows a peer. */
static void
start_alone(host_t *host, uv_loop_t *loop, const char *peer)
{
    err_t err = {0};
    char *text;

    memset(host, 0, sizeof(*host));
    host->fleet = host_file(&host->arena, "");
    host->service = host_file(&host->arena, "");
    text = arena_printf(&host->arena,
                        "host = \"b1\"\nzone = \"south\"\n[listen]\n"
                        "address = \"127.0.0.1:0\"\n[platform]\n"
                        "kind = \"etcd\"\naddresses = [\"127.0.0.1:%d\"]\n"
                        "%shosts = [\"a1=%s\"]\n",
                        CLOSED_PORT, PEERS, peer);
    ck_assert_msg(settings_parse(&host->settings, &host->arena, "f", text,
                                 strlen(text), &err) == 0,
                  "%s", err.message);
    host->daemon.settings = &host->settings;
    host->daemon.loop = loop;
    ck_assert_msg(daemon_open(&host->daemon, &err) == 0, "%s", err.message);
    daemon_start(&host->daemon);
}

START_TEST(test_documents_from_a_peer)
{
    uv_loop_t loop;
    uv_timer_t enough;
    host_t first;
    host_t second;
    int64_t wanted;
    int64_t revision;
    size_t count;

    (void)uv_loop_init(&loop);
    (void)uv_timer_init(&loop, &enough);
    (void)uv_timer_start(&enough, on_enough, ENOUGH_MS, 0);
    uv_unref((uv_handle_t *)&enough);
    host_start(&first, &loop, CLOSED_PORT, PEERS);
    count = documents_of(&first, &wanted);
    ck_assert_uint_eq(count, 2);
    start_alone(&second, &loop, peers_address(first.daemon.peers));
    while (documents_of(&second, &revision) < count) {
        (void)uv_run(&loop, UV_RUN_ONCE);
    }
    ck_assert_int_eq(revision, wanted);
    host_stop(&second);
    host_stop(&first);
    uv_close((uv_handle_t *)&enough, NULL);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("outage");
    TCase *tcase = tcase_create("outage");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * ENOUGH_MS / 1000);
    tcase_add_test(tcase, test_documents_from_a_peer);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
