/*
 * test_store_intake.c - tests how a host takes what others send of the store's
 * changes.
 */
#include <stdlib.h>
#include <string.h>

#include "base/revision.h"
#include "gateway/store_intake.h"
#include "regress/fixture.h"
#include "regress/store_table.h"

enum { CONTACT_AGE_MAX_MS = 1500 };

static void
apply(void *context, const kv_pair_t *pair)
{
    mirror_apply(context, pair);
}

/* A later change that came first is not undone by an earlier one. */
START_TEST(test_late_reply_does_not_bring_an_old_value_back)
{
    mirror_t *mirror = store_table_mirror(false);
    store_intake_t *intake = store_intake_new(mirror, apply, mirror);
    store_item_t items[] = {
        {.key = (char *)"a",
         .revision = 8,
         .value = {.value_len = 1, .value_val = (char *)"n"}},
        {.key = (char *)"a",
         .revision = 7,
         .value = {.value_len = 1, .value_val = (char *)"o"}},
    };
    store_parts_t parts = {
        .known = true,
        .revision = 8,
        .seen = 8,
        .items = {.items_len = COUNT(items), .items_val = items}};
    err_t err;

    ck_assert_int_eq(store_intake_handle(intake, &parts, &err), 0);
    ck_assert_int_eq(mirror_key_revision(mirror, "a"), 8);
    ck_assert_int_eq(mirror_seen(mirror), 8);
    ck_assert_int_eq(mirror_revision(mirror), 5);
    store_intake_free(intake);
    mirror_free(mirror);
}
END_TEST

typedef struct {
    const char *name;
    bool complete;
    uint32_t contact_age_ms;
    u_int items;
    bool expected;
} final_case_t;

static const final_case_t final_cases[] = {
    {"complete, recent", true, 100, 0, true},
    {"complete, recent, with changes", true, 100, 1, true},
    {"a part, recent", false, 100, 1, false},
    {"a first reply, recent", false, 100, 0, false},
    {"changes as of an old contact", true, 1501, 1, false},
    {"a part as of an old contact", false, 1501, 1, false},
    {"nothing, as of an old contact", true, 1501, 0, true},
    {"a first reply of a host that has lost the store", false, 1501, 0, true},
};

START_TEST(test_host_that_lost_the_store_is_not_polled_on)
{
    const final_case_t *test = &final_cases[_i];
    store_item_t item = {.key = (char *)"a"};
    store_parts_t parts = {
        .known = true,
        .complete = test->complete,
        .contact_age_ms = test->contact_age_ms,
        .items = {.items_len = test->items, .items_val = &item}};

    ck_assert_msg(store_intake_is_final(&parts, CONTACT_AGE_MAX_MS) ==
                      test->expected,
                  "%s", test->name);
}
END_TEST

/* There is no room for all of them. */
START_TEST(test_poll_states_new_values_before_others)
{
    mirror_t *mirror = store_table_mirror(false);
    store_intake_t *intake = store_intake_new(mirror, apply, mirror);
    store_fetch_t fetch = {0};
    text_t table = store_table_text(0);
    arena_t arena = {0};
    bool found = false;
    u_int i;

    for (i = 0; i < LINK_VALUES_MAX; i++) {
        store_table_put_value(mirror, arena_printf(&arena, "old%u", i), 4,
                              table.bytes, MIRROR_LARGE_BYTES);
    }
    apply(mirror, &(kv_pair_t){.key = "new",
                               .value = table.bytes,
                               .value_bytes = MIRROR_LARGE_BYTES,
                               .mod_revision = 9,
                               .create_revision = 9});
    store_intake_write_fetch(intake, &arena, &fetch);
    ck_assert_int_eq(fetch.after, 5);
    ck_assert_uint_eq(fetch.values.values_len, LINK_VALUES_MAX);
    for (i = 0; i < fetch.values.values_len; i++) {
        found = found || strcmp(fetch.values.values_val[i].key, "new") == 0;
    }
    ck_assert(found);
    arena_free(&arena);
    text_free(&table);
    store_intake_free(intake);
    mirror_free(mirror);
}
END_TEST

/* The store went back to a copy while half of a patch had come. */
START_TEST(test_patch_of_an_earlier_era_is_not_finished)
{
    mirror_t *mirror = store_table_mirror(false);
    store_intake_t *intake = store_intake_new(mirror, apply, mirror);
    text_t table = store_table_text(1);
    patch_t patch = patch_make(NULL, 0, table.bytes, table.length);
    store_fetch_t fetch = {0};
    store_piece_t piece = {
        .patch = {.key = (char *)"t",
                  .revision = 6,
                  .bytes = (uint32_t)patch.count,
                  .digest = 1},
        .bytes = {.bytes_len = 1, .bytes_val = (char *)patch.bytes}};
    store_parts_t parts = {.known = true,
                           .revision = 6,
                           .pieces = {.pieces_len = 1, .pieces_val = &piece}};
    arena_t arena = {0};
    err_t err;

    ck_assert_int_eq(store_intake_handle(intake, &parts, &err), 0);
    store_intake_write_fetch(intake, &arena, &fetch);
    ck_assert_uint_eq(fetch.partial.partial_len, 1);
    mirror_load_begin(mirror, revision_make(1, 4));
    mirror_load_end(mirror);
    fetch = (store_fetch_t){0};
    store_intake_write_fetch(intake, &arena, &fetch);
    ck_assert_uint_eq(fetch.partial.partial_len, 0);
    piece.offset = 1;
    piece.bytes.bytes_len = (u_int)patch.count - 1;
    piece.bytes.bytes_val = (char *)patch.bytes + 1;
    ck_assert_int_eq(store_intake_handle(intake, &parts, &err), -1);
    ck_assert(mirror_is_removed(mirror, "t"));
    arena_free(&arena);
    free(patch.bytes);
    text_free(&table);
    store_intake_free(intake);
    mirror_free(mirror);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("intake");

    tcase_add_test(tcase, test_late_reply_does_not_bring_an_old_value_back);
    tcase_add_loop_test(tcase, test_host_that_lost_the_store_is_not_polled_on,
                        0, COUNT(final_cases));
    tcase_add_test(tcase, test_poll_states_new_values_before_others);
    tcase_add_test(tcase, test_patch_of_an_earlier_era_is_not_finished);
    return fixture_main("store_intake", tcase);
}
