/* test_patch.c - tests differences between two versions of a value. */
#include <stdlib.h>
#include <string.h>

#include "base/patch.h"
#include "base/text.h"
#include "regress/fixture.h"

enum { LINES = 2000, MAX_BYTES = 1 << 20, NOT_CHANGED = -1 };

/* A text of numbered lines; one of them is changed. */
static text_t
make_text(int lines, int changed)
{
    text_t text = {0};
    int i;

    for (i = 0; i < lines; i++) {
        text_printf(&text, "{\"route\":%d,\"to\":\"%x\",\"ms\":%d},\n", i,
                    (unsigned)i * 2654435761U, i == changed ? 1 : 2500);
    }
    text_append(&text, "", 0);
    return text;
}

typedef struct {
    const char *name;
    int base_lines; /* 0: no base */
    int lines;
    int changed;
    size_t patch_max_bytes;
} patch_case_t;

static const patch_case_t cases[] = {
    {"nothing has changed", LINES, LINES, NOT_CHANGED, 100},
    {"one line has changed", LINES, LINES, LINES / 2, 200},
    {"the first line has changed", LINES, LINES, 0, 200},
    {"lines were added", LINES, LINES + 100, NOT_CHANGED, 3000},
    {"lines were removed", LINES, LINES - 100, NOT_CHANGED, 200},
    {"the whole value", 0, LINES, NOT_CHANGED, 40000},
    {"an empty value", LINES, 0, NOT_CHANGED, 100},
};

START_TEST(test_size_of_a_patch_follows_the_change)
{
    const patch_case_t *test = &cases[_i];
    text_t base = make_text(test->base_lines, NOT_CHANGED);
    text_t value = make_text(test->lines, test->changed);
    patch_t patch =
        patch_make(base.bytes, base.length, value.bytes, value.length);
    char *made;
    size_t made_bytes;
    err_t err;

    ck_assert_msg(patch.count <= test->patch_max_bytes, "%s: %zu bytes",
                  test->name, patch.count);
    ck_assert_int_eq(patch_apply(base.bytes, base.length, patch.bytes,
                                 patch.count, MAX_BYTES, &made, &made_bytes,
                                 &err),
                     0);
    ck_assert_uint_eq(made_bytes, value.length);
    ck_assert(memcmp(made, value.bytes != NULL ? value.bytes : "",
                     value.length) == 0);
    free(made);
    free(patch.bytes);
    text_free(&base);
    text_free(&value);
}
END_TEST

typedef enum {
    OTHER_BASE,
    NO_BASE,
    CUT_SHORT,
    ONE_BIT,
    NO_PATCH,
    TOO_LARGE
} damage_t;

typedef struct {
    const char *name;
    damage_t damage;
    err_kind_t expected;
} damage_case_t;

static const damage_case_t damage_cases[] = {
    {"the patch of another base", OTHER_BASE, ERR_PROTOCOL},
    {"a patch without its base", NO_BASE, ERR_PROTOCOL},
    {"a patch that is cut short", CUT_SHORT, ERR_PROTOCOL},
    {"a bit of the patch has changed", ONE_BIT, ERR_PROTOCOL},
    {"bytes that are no patch", NO_PATCH, ERR_PROTOCOL},
    {"a value that is too large", TOO_LARGE, ERR_LIMIT},
};

START_TEST(test_damaged_patch_makes_no_value)
{
    const damage_case_t *test = &damage_cases[_i];
    text_t base = make_text(LINES, NOT_CHANGED);
    text_t other = make_text(LINES, 1);
    text_t value = make_text(LINES, LINES / 2);
    patch_t patch =
        patch_make(base.bytes, base.length, value.bytes, value.length);
    const text_t *used = test->damage == OTHER_BASE ? &other : &base;
    size_t used_bytes = test->damage == NO_BASE ? 0 : used->length;
    size_t count = patch.count - (test->damage == CUT_SHORT ? 1 : 0);
    char *made = NULL;
    size_t made_bytes;
    err_t err = {0};

    if (test->damage == ONE_BIT) {
        patch.bytes[patch.count - 1] ^= 1;
    }
    if (test->damage == NO_PATCH) {
        memset(patch.bytes, 'x', patch.count);
    }
    ck_assert_int_eq(
        patch_apply(used->bytes, used_bytes, patch.bytes, count,
                    test->damage == TOO_LARGE ? value.length - 1 : MAX_BYTES,
                    &made, &made_bytes, &err),
        -1);
    ck_assert_ptr_null(made);
    ck_assert_int_eq((int)err.kind, (int)test->expected);
    free(patch.bytes);
    text_free(&base);
    text_free(&other);
    text_free(&value);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("patch");

    tcase_add_loop_test(tcase, test_size_of_a_patch_follows_the_change, 0,
                        COUNT(cases));
    tcase_add_loop_test(tcase, test_damaged_patch_makes_no_value, 0,
                        COUNT(damage_cases));
    return fixture_main("patch", tcase);
}
