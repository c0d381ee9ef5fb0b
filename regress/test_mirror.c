/* test_mirror.c - tests which changes a host can tell others of. */
#include <stdlib.h>
#include <string.h>

#include "base/revision.h"
#include "base/text.h"
#include "gateway/mirror.h"
#include "regress/fixture.h"

enum { STEPS_MAX = 8 };

/*
 * Steps: "load REVISION KEY=REVISION...", "put KEY=REVISION",
 * "drop KEY=REVISION".  A revision is a number, or "ERA/NUMBER".
 */
typedef struct {
    const char *name;
    const char *steps[STEPS_MAX];
    const char *after;
    const char
        *expected; /* "unknown", or what has changed, by "KEY" or "-KEY" */
} mirror_case_t;

static const mirror_case_t cases[] = {
    {"changes since a revision are known",
     {"load 5 a=3 b=5", "put c=7", "drop a=8"},
     "6",
     "-a c"},
    {"what was removed before the first read is not known",
     {"load 5 a=3"},
     "4",
     "unknown"},
    {"a host that reads the store again leaves no gap",
     {"load 5 a=3 b=5", "load 9 b=5 c=8"},
     "5",
     "-a c"},
    {"a host with the state of the second read gets nothing",
     {"load 5 a=3 b=5", "load 9 b=5 c=8"},
     "9",
     ""},
    {"a key that was removed is removed once",
     {"load 5 a=3 b=5", "drop a=6", "load 9 b=5"},
     "6",
     ""},
    {"a key that comes back is there",
     {"load 5 a=3 b=5", "drop a=6", "load 9 a=8 b=5"},
     "5",
     "a"},
    {"a revision of an earlier era is taken for one of this",
     {"load 1/5 a=1/3 b=1/5", "load 2/4 a=2/3", "put c=2/9"},
     "1/7",
     "unknown"},
    {"a number that was given out again is taken for the same change",
     {"load 1/5 a=1/3", "load 2/4 a=2/3", "put c=2/5"},
     "1/5",
     "unknown"},
    {"a host that is in a later era is told that nothing has changed",
     {"load 1/5 a=1/3"},
     "2/4",
     "unknown"},
    {"what an earlier era removed hides a gap",
     {"load 1/5 a=1/3", "load 2/9 a=2/3"},
     "2/6",
     "unknown"},
    {"changes in the new era are not known",
     {"load 1/5 a=1/3 b=1/4", "load 2/4 a=2/3", "put c=2/5"},
     "2/4",
     "c"},
};

static int64_t
parse_revision(const char *text)
{
    char *end;
    int64_t number = strtoll(text, &end, 10);

    return *end == '/' ? revision_make(number, strtoll(end + 1, NULL, 10))
                       : number;
}

static void
apply(mirror_t *mirror, const char *word, bool removed)
{
    char key[2] = {word[0], '\0'};
    int64_t revision = parse_revision(word + 2);
    kv_pair_t pair = {.key = key,
                      .value = "v",
                      .value_bytes = removed ? 0 : 1,
                      .mod_revision = revision,
                      .create_revision = removed ? 0 : revision};

    mirror_apply(mirror, &pair);
    mirror_advance(mirror, revision);
}

static void
play(mirror_t *mirror, const char *step)
{
    char text[64];
    char *rest = text;
    char *word;

    (void)strncpy(text, step, sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    word = strsep(&rest, " ");
    if (strcmp(word, "load") != 0) {
        apply(mirror, rest, strcmp(word, "drop") == 0);
        return;
    }
    mirror_load_begin(mirror, parse_revision(strsep(&rest, " ")));
    while ((word = strsep(&rest, " ")) != NULL) {
        apply(mirror, word, false);
    }
    mirror_load_end(mirror);
}

static int
compare(const void *left, const void *right)
{
    return strcmp(((const kv_pair_t *)left)->key,
                  ((const kv_pair_t *)right)->key);
}

START_TEST(test_changes_since)
{
    const mirror_case_t *test = &cases[_i];
    mirror_t *mirror = mirror_new();
    arena_t arena = {0};
    text_t text = {0};
    kv_pair_t *pairs;
    size_t count;
    size_t i;

    for (i = 0; i < STEPS_MAX && test->steps[i] != NULL; i++) {
        play(mirror, test->steps[i]);
    }
    if (!mirror_changes_since(mirror, parse_revision(test->after), &arena,
                              &pairs, &count)) {
        text_puts(&text, "unknown");
        count = 0;
    }
    qsort(pairs, count, sizeof(*pairs), compare);
    for (i = 0; i < count; i++) {
        text_printf(&text, "%s%s%s", i > 0 ? " " : "",
                    pairs[i].create_revision == 0 ? "-" : "", pairs[i].key);
    }
    text_append(&text, "", 1);
    ck_assert_msg(strcmp(text.bytes, test->expected) == 0, "%s: got \"%s\"",
                  test->name, text.bytes);
    text_free(&text);
    arena_free(&arena);
    mirror_free(mirror);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("mirror");

    tcase_add_loop_test(tcase, test_changes_since, 0, COUNT(cases));
    return fixture_main("mirror", tcase);
}
