/* test_settings_watch.c - the settings file changes while agated runs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agated/settings_watch.h"
#include "regress/fixture.h"

enum { POLL_MS = 2, TEXT_BYTES = 512, PATH_BYTES = 64 };

typedef struct {
    const char *name;
    const char *revoke; /* revoke line of the changed file */
    bool signalled;     /* reload on a signal, not by polling */
    bool notified;
} change_t;

static const change_t changes[] = {
    {"polling detects a change: reloaded", "revoke_ms = 3000", false, true},
    {"signal after a change: reloaded", "revoke_ms = 3000", true, true},
    {"limit is not a number: not reloaded", "revoke_ms = \"soon\"", true,
     false},
    {"file is not TOML: not reloaded", "revoke_ms = ", true, false},
    {"unknown key: not reloaded", "revoke = 3000", true, false},
};

typedef struct {
    uint32_t revoke_ms;
    bool notified;
} callback_result_t;

static void
write_file(const char *path, const char *revoke)
{
    char new_path[PATH_BYTES + 8];
    FILE *file;

    (void)snprintf(new_path, sizeof(new_path), "%s.new", path);
    file = fopen(new_path, "we");
    ck_assert_ptr_nonnull(file);
    (void)fprintf(file,
                  "host = \"h1\"\nzone = \"a\"\n[listen]\n"
                  "address = \"127.0.0.1:1\"\n[platform]\n"
                  "kind = \"platform\"\naddresses = [\"127.0.0.1:2\"]\n"
                  "[gateway]\n%s\n",
                  revoke);
    ck_assert_int_eq(fclose(file), 0);
    ck_assert_int_eq(rename(new_path, path), 0);
}

static void
on_change(void *context, const settings_t *settings)
{
    callback_result_t *result = context;

    result->revoke_ms = settings->gateway.limits.revoke_ms;
    result->notified = true;
}

START_TEST(test_change)
{
    const change_t *change = &changes[_i];
    char path[PATH_BYTES] = "/tmp/agatevale-settings-XXXXXX";
    fixture_t fixture;
    callback_result_t result = {0};
    settings_watch_t *watch;
    int fd = mkstemp(path);

    ck_assert_int_ge(fd, 0);
    (void)close(fd);
    write_file(path, "revoke_ms = 5000");
    fixture_open(&fixture);
    watch =
        settings_watch_new(&fixture.loop, path, POLL_MS, on_change, &result);
    write_file(path, change->revoke);
    if (change->signalled) {
        settings_watch_reload(watch);
    }
    else {
        fixture_wait(&fixture, &result.notified);
    }
    ck_assert_msg(result.notified == change->notified, "%s: notified %d",
                  change->name, result.notified);
    ck_assert_msg(result.revoke_ms == (change->notified ? 3000 : 0), "%s: %u",
                  change->name, result.revoke_ms);
    settings_watch_free(watch);
    fixture_close(&fixture);
    (void)unlink(path);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("settings_watch");

    tcase_add_loop_test(tcase, test_change, 0,
                        sizeof(changes) / sizeof(changes[0]));
    return fixture_main("settings_watch", tcase);
}
