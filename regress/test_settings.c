/* test_settings.c - agated.toml: accepted settings and error messages. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agated/settings.h"

#define HOST "host = \"a1\"\nzone = \"north\"\n"
#define LISTEN "[listen]\naddress = \"127.0.0.1:0\"\n"
#define MEMORY "[platform]\nkind = \"memory\"\nfleet = \"f.toml\"\n"
#define PLATFORM                                                              \
    "[platform]\nkind = \"platform\"\naddresses = [\"127.0.0.1:1\"]\n"
#define COMPLETE HOST LISTEN MEMORY

/* A settings file and the expected error message; NULL: it is accepted. */
typedef struct {
    const char *text;
    const char *message;
} settings_case_t;

static const settings_case_t cases[] = {
    {COMPLETE, NULL},
    {HOST LISTEN "[platform]\nkind = \"etcd\"\naddresses = [\"[::1]:2379\"]\n",
     NULL},
    {COMPLETE "[peers]\naddress = \"127.0.0.1:0\"\nkey_file = \"k\"\n", NULL},
    {"host = ", "f:1: Error while parsing key-value pair: encountered "
                "end-of-file: write valid TOML here"},
    {"zone = \"north\"\n" LISTEN MEMORY,
     "f:1: host is missing: write host = \"entry-1\""},
    {HOST MEMORY, "f:1: listen is missing: write a table [listen]"},
    {HOST "[listen]\n" MEMORY,
     "f:3: address is missing: write address = \"127.0.0.1:8080\""},
    {HOST "colour = 1\n" LISTEN MEMORY,
     "f:3: unknown key \"colour\": remove it or write one of host, zone, "
     "listen, platform, peers, limits, admin, tls, gateway, debug"},
    {HOST "[listen]\naddress = \"127.0.0.1:0\"\nport = 1\n" MEMORY,
     "f:5: unknown key \"port\": remove it or write one of address, "
     "body_max_bytes, header_timeout_ms"},
    {"host = 3\n", "f:1: host holds an integer, which does not fit: write "
                   "host = \"entry-1\""},
    {"host = \"\"\n", "f:1: host has 0 characters: write 1 to 63 of them, "
                      "like host = \"entry-1\""},
    {HOST "[listen]\naddress = \"entry.example:80\"\n",
     "f:4: \"entry.example:80\" in address is no IP number with a port: "
     "write address = \"127.0.0.1:8080\""},
    {HOST "[listen]\naddress = \"127.0.0.1:65536\"\n",
     "f:4: \"127.0.0.1:65536\" in address is no IP number with a port: "
     "write address = \"127.0.0.1:8080\""},
    {HOST LISTEN "body_max_bytes = 16777217\n",
     "f:5: body_max_bytes = 16777217 is out of range: write 1024 to "
     "16777216, like body_max_bytes = 4194304"},
    {HOST LISTEN "header_timeout_ms = \"10s\"\n",
     "f:5: header_timeout_ms holds a string, which does not fit: write "
     "header_timeout_ms = 10000"},
    {HOST LISTEN "[platform]\nkind = \"zookeeper\"\n",
     "f:6: kind is \"zookeeper\", which is no choice: write kind = "
     "\"etcd\", kind = \"memory\" or kind = \"platform\""},
    {HOST LISTEN "[platform]\nkind = \"etcd\"\n",
     "f:5: kind \"etcd\" has no addresses: write addresses = "
     "[\"127.0.0.1:2379\"]"},
    {HOST LISTEN "[platform]\nkind = \"memory\"\n",
     "f:5: kind \"memory\" has no fleet: write fleet = \"fleet.toml\""},
    {HOST LISTEN "[platform]\nkind = \"etcd\"\naddresses = [\"x\"]\n",
     "f:7: \"x\" in addresses is no IP number with a port: write addresses "
     "= [\"127.0.0.1:2379\"]"},
    {HOST LISTEN "[platform]\nkind = \"etcd\"\naddresses = [1]\n",
     "f:7: addresses holds an integer, which does not fit: write addresses "
     "= [\"127.0.0.1:2379\"]"},
    {COMPLETE "[peers]\naddress = \"127.0.0.1:0\"\n",
     "f:8: key_file is missing: write key_file = \"peers.key\""},
    {COMPLETE "[peers]\naddress = \"127.0.0.1:0\"\nkey_file = \"k\"\n"
              "hosts = [\"a=127.0.0.1:1\", \"b=[::1]:2\"]\n",
     NULL},
    {COMPLETE "[peers]\naddress = \"127.0.0.1:0\"\nkey_file = \"k\"\n"
              "hosts = [\"127.0.0.1:1\"]\n",
     "f:11: hosts has \"127.0.0.1:1\", which is no name and address: write "
     "hosts = [\"entry-2=192.0.2.2:8081\"]"},
    {COMPLETE "[limits]\nsessions_max = 0\n",
     "f:9: sessions_max = 0 is out of range: write 1 to 100000, like "
     "sessions_max = 4096"},
    {COMPLETE "[limits]\nsilence_floor_ms = 500\nsilence_ceiling_ms = 400\n",
     "f:8: silence_floor_ms is above silence_ceiling_ms: write a floor "
     "below the ceiling"},
    {COMPLETE "[admin]\nkey_sha256 = [\"secret\"]\n",
     "f:9: an entry of key_sha256 is no SHA-256: write key_sha256 = [\"<64 "
     "hexadecimal digits>\"]"},
    {HOST LISTEN PLATFORM "[gateway]\n", NULL},
    {HOST LISTEN PLATFORM,
     "f:5: kind \"platform\" lacks addresses or a table [gateway]: write "
     "both"},
    {COMPLETE "[gateway]\n",
     "f:5: a table [gateway] needs another store: write kind = "
     "\"platform\""},
    {HOST LISTEN PLATFORM "[gateway]\nretry_ratio = \"x\"\n",
     "f:9: retry_ratio holds a string, which does not fit: write "
     "retry_ratio = 0.2"},
    {HOST LISTEN PLATFORM "[gateway]\nretry_window_s = 11\n",
     "f:9: retry_window_s is 11: write a number from 0.001 to 10"},
    {COMPLETE "limits = 3\n",
     "f:8: unknown key \"limits\": remove it or write one of kind, "
     "addresses, timeout_ms, fleet, documents"},
    {HOST "limits = 3\n" LISTEN MEMORY,
     "f:3: limits holds an integer, which does not fit: write a table "
     "[limits]"},
};

START_TEST(test_parse_messages)
{
    const settings_case_t *row = &cases[_i];
    arena_t arena = {0};
    settings_t settings;
    err_t err = {0};
    int result = settings_parse(&settings, &arena, "f", row->text,
                                strlen(row->text), &err);

    ck_assert_int_eq(result, row->message == NULL ? 0 : -1);
    if (row->message != NULL) {
        ck_assert_str_eq(err.message, row->message);
    }
    arena_free(&arena);
}
END_TEST

START_TEST(test_values_parsed)
{
    static const char text[] =
        HOST "[listen]\naddress = \"[::1]:8443\"\nbody_max_bytes = 2048\n"
             "[platform]\nkind = \"memory\"\nfleet = \"f.toml\"\n"
             "documents = [\"a.toml\", \"b.toml\"]\n"
             "[limits]\nqueue_wait_ms = 7\n";
    arena_t arena = {0};
    settings_t settings;
    err_t err;

    ck_assert_int_eq(
        settings_parse(&settings, &arena, "f", text, strlen(text), &err), 0);
    ck_assert_str_eq(settings.host, "a1");
    ck_assert_str_eq(settings.zone, "north");
    ck_assert_str_eq(settings.listen_address, "[::1]:8443");
    ck_assert_uint_eq(settings.body_max_bytes, 2048);
    ck_assert_uint_eq(settings.queue_wait_ms, 7);
    ck_assert_uint_eq(settings.document_files.count, 2);
    ck_assert_str_eq(settings.document_files.items[1], "b.toml");
    ck_assert_ptr_null(settings.peers_address);
    ck_assert_uint_gt(settings.sessions_max, 0);
    arena_free(&arena);
}
END_TEST

START_TEST(test_gateway_values_parsed)
{
    static const char text[] = HOST LISTEN PLATFORM
        "[gateway]\nreadiness = \"127.0.0.1:2\"\nretry_ratio = 0.8\n"
        "retry_fixed = 150\ngrace_s = 8\nrevoke_ms = 5000\n"
        "memory_mb = 120\ndescriptors_max = 3075\n";
    arena_t arena = {0};
    settings_t settings;
    err_t err;

    ck_assert_int_eq(
        settings_parse(&settings, &arena, "f", text, strlen(text), &err), 0);
    ck_assert(settings.gateway_set);
    ck_assert_str_eq(settings.gateway.host, "a1");
    ck_assert_str_eq(settings.gateway.listen_address, "127.0.0.1:0");
    ck_assert_str_eq(settings.gateway.readiness_address, "127.0.0.1:2");
    ck_assert_ptr_null(settings.gateway.lookup_address);
    ck_assert_uint_eq(settings.gateway.limits.retry_ratio_permille, 800);
    ck_assert_uint_eq(settings.gateway.limits.retry_fixed_permille, 150000);
    ck_assert_uint_eq(settings.gateway.limits.grace_ms, 8000);
    ck_assert_uint_eq(settings.gateway.limits.revoke_ms, 5000);
    ck_assert_uint_eq(settings.gateway.memory_mb, 120);
    ck_assert_uint_eq(settings.gateway.descriptors_max, 3075);
    arena_free(&arena);
}
END_TEST

START_TEST(test_missing_file_reported)
{
    arena_t arena = {0};
    settings_t settings;
    err_t err;

    ck_assert_int_eq(
        settings_read(&settings, &arena, REGRESS_DIR "/none.toml", &err), -1);
    ck_assert_ptr_nonnull(
        strstr(err.message, "none.toml:1: cannot open the file"));
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("settings");
    TCase *tcase = tcase_create("settings");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(tcase, test_parse_messages, 0,
                        (int)(sizeof(cases) / sizeof(cases[0])));
    tcase_add_test(tcase, test_values_parsed);
    tcase_add_test(tcase, test_gateway_values_parsed);
    tcase_add_test(tcase, test_missing_file_reported);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
