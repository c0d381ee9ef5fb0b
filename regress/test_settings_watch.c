/* test_settings_watch.c - a settings file that changes while it is used. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agated/settings_watch.h"
#include "regress/fixture.h"

enum { LOOK_MS = 2, TEXT_BYTES = 512, PATH_BYTES = 64 };

typedef struct {
    const char *name;
    const char *revoke; /* what the changed file says */
    bool signalled;     /* the process is told, and does not look */
    bool told;
} change_t;

static const change_t changes[] = {
    {"found by looking", "revoke_ms = 3000", false, true},
    {"after a signal", "revoke_ms = 3000", true, true},
    {"not a number", "revoke_ms = \"soon\"", true, false},
    {"no TOML", "revoke_ms = ", true, false},
    {"an unknown key", "revoke = 3000", true, false},
};

typedef struct {
    uint32_t revoke_ms;
    bool told;
} seen_t;

static void
write_file(const char *path, const char *revoke)
{
    char fresh[PATH_BYTES + 8];
    FILE *file;

    (void)snprintf(fresh, sizeof(fresh), "%s.new", path);
    file = fopen(fresh, "we");
    ck_assert_ptr_nonnull(file);
    (void)fprintf(file,
                  "host = \"h1\"\nzone = \"a\"\n[listen]\n"
                  "address = \"127.0.0.1:1\"\n[platform]\n"
                  "kind = \"platform\"\naddresses = [\"127.0.0.1:2\"]\n"
                  "[gateway]\n%s\n",
                  revoke);
    ck_assert_int_eq(fclose(file), 0);
    ck_assert_int_eq(rename(fresh, path), 0);
}

static void
on_changed(void *context, const settings_t *settings)
{
    seen_t *seen = context;

    seen->revoke_ms = settings->gateway.limits.revoke_ms;
    seen->told = true;
}

START_TEST(test_change)
{
    const change_t *change = &changes[_i];
    char path[PATH_BYTES] = "/tmp/agatevale-settings-XXXXXX";
    fixture_t fixture;
    seen_t seen = {0};
    settings_watch_t *watch;
    int fd = mkstemp(path);

    ck_assert_int_ge(fd, 0);
    (void)close(fd);
    write_file(path, "revoke_ms = 5000");
    fixture_open(&fixture);
    watch =
        settings_watch_new(&fixture.loop, path, LOOK_MS, on_changed, &seen);
    write_file(path, change->revoke);
    if (change->signalled) {
        settings_watch_read(watch);
    }
    else {
        fixture_wait(&fixture, &seen.told);
    }
    ck_assert_msg(seen.told == change->told, "%s: told %d", change->name,
                  seen.told);
    ck_assert_msg(seen.revoke_ms == (change->told ? 3000 : 0), "%s: %u",
                  change->name, seen.revoke_ms);
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
