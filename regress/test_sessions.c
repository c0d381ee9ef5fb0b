/* test_sessions.c - compares scripted sessions with their golden files. */
#include <check.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "regress/script.h"

enum { SCRIPT_BYTES = 65536 };

static glob_t scripts;

static char *
read_script(arena_t *arena, const char *path)
{
    char *text = arena_alloc(arena, SCRIPT_BYTES);
    FILE *file = fopen(path, "r");

    ck_assert_ptr_nonnull(file);
    ck_assert_uint_lt(fread(text, 1, SCRIPT_BYTES - 1, file),
                      SCRIPT_BYTES - 1);
    (void)fclose(file);
    return text;
}

/* REGRESS_WRITE in the environment updates the files, for review by hand. */
START_TEST(session_output_equals_golden_file)
{
    arena_t arena = {0};
    err_t err = {0};
    const char *path = scripts.gl_pathv[_i];
    char *text = read_script(&arena, path);
    char *output = script_run(&arena, text, &err);

    ck_assert_msg(output != NULL, "%s: %s", path, err.message);
    if (getenv("REGRESS_WRITE") != NULL) {
        FILE *file = fopen(path, "w");

        ck_assert_ptr_nonnull(file);
        (void)fputs(output, file);
        (void)fclose(file);
    }
    else {
        ck_assert_msg(strcmp(text, output) == 0, "%s: output differs:\n%s",
                      path, output);
    }
    arena_free(&arena);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("sessions");
    TCase *cases = tcase_create("golden");
    SRunner *runner;
    int failed;

    if (glob(REGRESS_DIR "/golden/sessions/*.session", 0, NULL, &scripts) !=
        0) {
        (void)fputs("no golden sessions were found\n", stderr);
        return EXIT_FAILURE;
    }
    tcase_add_loop_test(cases, session_output_equals_golden_file, 0,
                        (int)scripts.gl_pathc);
    suite_add_tcase(suite, cases);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    globfree(&scripts);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
