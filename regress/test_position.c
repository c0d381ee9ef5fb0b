/* test_position.c - event ids that a caller returns: valid and altered. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agated/position.h"

static const uint8_t secret[] = "a secret that the hosts share";
static const uint32_t ids[] = {1, 127, 128, 300, 4294967295U};

typedef struct {
    const char *name;
    const char *from; /* replaced by to in the id; NULL for no change */
    const char *to;
    const char *secret; /* for decoding; NULL for the one of the encoder */
    bool valid;
} case_t;

static const case_t cases[] = {
    {"unmodified", NULL, NULL, NULL, true},
    {"another name", "k.1", "j.1", NULL, false},
    {"another position", ".12~", ".13~", NULL, false},
    {"a changed payload", "~AQ", "~AR", NULL, false},
    {"a longer payload", "~", "~A", NULL, false},
    {"no payload", "~", "\0", NULL, true},
    {"the key of another fleet", NULL, NULL, "another secret", false},
    {"no position", ".12", ".", NULL, false},
    {"position beyond its range", ".12", ".4294967296", NULL, false},
};

static void
replace_first(const char *from, const char *to, const char *text, char *out)
{
    const char *at = from == NULL ? NULL : strstr(text, from);

    if (at == NULL) {
        (void)strcpy(out, text); /* NOLINT: out has room for both */
        return;
    }
    memcpy(out, text, (size_t)(at - text));
    out[at - text] = '\0';
    (void)strcat(out, to); /* NOLINT: out has room for both */
    if (to[0] != '\0') {
        (void)strcat(out, at + strlen(from)); /* NOLINT */
    }
}

START_TEST(only_unmodified_ids_are_accepted)
{
    const case_t *row = &cases[_i];
    const position_t original = {.position = 12,
                                 .attempt = 1,
                                 .location = {.runner = (char *)"r1",
                                              .stream_name = (char *)"a1-1",
                                              .first = 300},
                                 .hash = 0x123456789abcdefU,
                                 .tail_from = 7,
                                 .tail_ids = ids,
                                 .tail_count = 5};
    position_key_t key;
    position_t decoded;
    arena_t arena = {0};
    text_t text = {0};
    size_t length = 0;
    char id[512];

    position_key(&key, secret, sizeof(secret));
    position_encode(&key, "k", &original, &text);
    text_append(&text, "", 1);
    replace_first(row->from, row->to, text.bytes, id);
    if (row->secret != NULL) {
        position_key(&key, (const uint8_t *)row->secret, strlen(row->secret));
    }
    ck_assert_msg(position_decode(&key, id, &arena, &decoded, &length) ==
                      row->valid,
                  "%s: %s", row->name, id);
    if (row->valid) {
        ck_assert_uint_eq(decoded.position, 12);
        ck_assert_uint_eq(length, 1);
    }
    if (row->valid && row->from == NULL) {
        ck_assert_uint_eq(decoded.attempt, 1);
        ck_assert_str_eq(decoded.location.runner, "r1");
        ck_assert_str_eq(decoded.location.stream_name, "a1-1");
        ck_assert_uint_eq(decoded.location.first, 300);
        ck_assert_uint_eq(decoded.hash, 0x123456789abcdefU);
        ck_assert_uint_eq(decoded.tail_from, 7);
        ck_assert_uint_eq(decoded.tail_count, 5);
        ck_assert_int_eq(memcmp(decoded.tail_ids, ids, sizeof(ids)), 0);
    }
    text_free(&text);
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("position");
    TCase *table = tcase_create("read");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(table, only_unmodified_ids_are_accepted, 0,
                        sizeof(cases) / sizeof(cases[0]));
    suite_add_tcase(suite, table);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
