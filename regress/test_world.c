/* test_world.c - tests of parsing the operators' and the teams' documents. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world/contract.h"
#include "world/fleet.h"

#define DIGEST_A                                                              \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B                                                              \
    "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define DIGEST_C                                                              \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

#define RUNNER_TABLE                                                          \
    "[[runner]]\nname = \"r1\"\naddress = \"127.0.0.1:9001\"\n"               \
    "zone = \"north\"\nkind = \"engine\"\nmodels = [\"planner-v3\"]\n"
#define SECOND_RUNNER_TABLE                                                   \
    "[[runner]]\nname = \"r0\"\naddress = \"[::1]:9002\"\nzone = \"east\"\n"  \
    "kind = \"service\"\nmodels = [\"bay-slots\", \"parts\"]\n"               \
    "streams_max = 4096\nchecks_fencing = true\n"
#define PRINCIPALS                                                            \
    "[[organisation]]\nname = \"tarawhiti\"\nkey_sha256 = [\"" DIGEST_A       \
    "\"]\n[[team]]\nname = \"planning\"\nkey_sha256 = [\"" DIGEST_B "\"]\n"

#define SERVICE_FIELDS                                                        \
    "service = \"plans\"\nteam = \"planning\"\nweighs = \"extra-work\"\n"
#define MODEL_TABLE "[[model]]\nname = \"planner\"\nversion = \"planner-v3\"\n"
#define ORGANISATION_TABLE                                                    \
    "[[organisation]]\nname = \"tarawhiti\"\nweight = 3\n"
#define KIND_TABLE                                                            \
    "[[kind]]\nname = \"plan\"\nurgency = \"batch\"\nidempotent = true\n"

/* A document and the first part of the expected error; "" if it is valid. */
typedef struct {
    const char *text;
    const char *error;
} document_case_t;

static const document_case_t fleet_cases[] = {
    {RUNNER_TABLE PRINCIPALS, ""},
    {RUNNER_TABLE SECOND_RUNNER_TABLE PRINCIPALS, ""},
    {PRINCIPALS,
     "f:1: the operators' document has no runner: write [[runner]]"},
    {RUNNER_TABLE, "f:1: the operators' document has no organisation: write "},
    {RUNNER_TABLE PRINCIPALS "colour = 1\n",
     "f:13: unknown key \"colour\" in [[team]"},
    {"runners = 1\n" RUNNER_TABLE PRINCIPALS,
     "f:1: unknown key \"runners\" in the op"},
    {"runner = 1\n" PRINCIPALS,
     "f:1: runner is not an array of tables: write [[run"},
    {RUNNER_TABLE "streams_max = 0\n" PRINCIPALS,
     "f:7: streams_max = 0 is out of range: write a number from 1 to 4096"},
    {RUNNER_TABLE "streams_max = 4097\n" PRINCIPALS,
     "f:7: streams_max = 4097 is out"},
    {RUNNER_TABLE "streams_max = \"9\"\n" PRINCIPALS,
     "f:7: streams_max is a string, not an integer: write streams_max ="},
    {RUNNER_TABLE "checks_fencing = 1\n" PRINCIPALS,
     "f:7: checks_fencing is an integer, not a boolean: write "},
    {RUNNER_TABLE RUNNER_TABLE PRINCIPALS,
     "f:7: runner name \"r1\" is already on line 1: write another"},
    {RUNNER_TABLE
     "[[runner]]\nname = \"r2\"\naddress = \"127.0.0.1:9001\"\n"
     "zone = \"n\"\nkind = \"engine\"\nmodels = [\"m\"]\n" PRINCIPALS,
     "f:7: runner address \"127.0.0.1:9001\" is already on line 1"},
    {RUNNER_TABLE PRINCIPALS
     "[[operator]]\nname = \"o\"\nkey_sha256 = [\"" DIGEST_A "\"]\n",
     "f:13: key_sha256 \"aaaa"},
    {RUNNER_TABLE PRINCIPALS
     "[[team]]\nname = \"planning\"\nkey_sha256 = [\"" DIGEST_C "\"]\n",
     "f:13: team \"planning\" is already on line 10"},
    {RUNNER_TABLE "[[organisation]]\nname = \"a\"\nkey_sha256 = []\n",
     "f:9: key_sha256 is empty: write key_sha256 = ["},
    {RUNNER_TABLE "[[organisation]]\nname = \"a\"\nkey_sha256 = [\"12\"]\n",
     "f:9: key_sha256 is not the SHA-256 digest of a key: write its 64 "
     "hexadecimal"},
    {RUNNER_TABLE "[[organisation]]\nname = \"a\"\nkey_sha256 = [3]\n",
     "f:9: key_sha256 is an integer, not a string: write key_sha256"},
    {RUNNER_TABLE "[[organisation]]\nname = \"a/b\"\nkey_sha256 = [\"" DIGEST_A
                  "\"]\n",
     "f:8: name contains a character other than letters, digits and ._-: "},
    {RUNNER_TABLE "[[organisation]]\nname = \"\"\nkey_sha256 = [\"" DIGEST_A
                  "\"]\n",
     "f:8: name is empty: write name = \"tarawhiti\""},
    {"[[runner]]\nname = \"r\"\nzone = \"z\"\nkind = \"engine\"\n"
     "models = [\"m\"]\n" PRINCIPALS,
     "f:1: [[runner]] has no address: write address = \"127.0.0.1:9001\""},
    {"[[runner]]\nname = \"r\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n"
     "kind = \"router\"\nmodels = [\"m\"]\n" PRINCIPALS,
     "f:5: unknown kind \"router\": write \"engine\" or \"service\""},
    {"[[runner]\n", "f:1: "},
};

START_TEST(test_fleet_parse_accepts_valid_and_names_error)
{
    const document_case_t *c = &fleet_cases[_i];
    arena_t arena = {0};
    err_t err = {0};
    fleet_t *fleet;

    fleet = fleet_parse(&arena, "f", c->text, strlen(c->text), &err);
    if (c->error[0] == '\0') {
        ck_assert_msg(fleet != NULL, "%s", err.message);
    }
    else {
        ck_assert_ptr_null(fleet);
        ck_assert_int_eq(err.kind, ERR_DOCUMENT);
        ck_assert_msg(strncmp(err.message, c->error, strlen(c->error)) == 0,
                      "%s", err.message);
    }
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *address;
    bool valid;
} address_case_t;

static const address_case_t address_cases[] = {
    {"127.0.0.1:1", true},
    {"10.0.0.1:65535", true},
    {"[::1]:80", true},
    {"[fe80::1]:80", true},
    {"localhost:80", false},
    {"127.0.0.1", false},
    {"127.0.0.1:0", false},
    {"127.0.0.1:65536", false},
    {"127.0.0.1:+1", false},
    {"127.0.0.1: 1", false},
    {"127.0.0.1:1x", false},
    {"127.0.0.1:", false},
    {":80", false},
    {"[]:80", false},
    {"::1:80", false},
    {"[127.0.0.1]:80", false},
    {"127.0.0.256:80", false},
    {"", false},
    {"127.0.0.1:99999999999999999999", false},
};

START_TEST(test_runner_address_must_be_ip_and_port)
{
    const address_case_t *c = &address_cases[_i];
    arena_t arena = {0};
    err_t err = {0};
    char *text;

    text = arena_printf(&arena,
                        "[[runner]]\nname = \"r\"\naddress = \"%s\"\n"
                        "zone = \"z\"\nkind = \"engine\"\nmodels = [\"m\"]\n"
                        "%s",
                        c->address, PRINCIPALS);
    ck_assert_int_eq(
        fleet_parse(&arena, "f", text, strlen(text), &err) != NULL, c->valid);
    if (!c->valid) {
        ck_assert_ptr_nonnull(
            strstr(err.message, "f:3: address is not an IP"));
    }
    arena_free(&arena);
}
END_TEST

START_TEST(test_fleet_finds_runners_zones_and_credentials)
{
    static const char text[] = RUNNER_TABLE SECOND_RUNNER_TABLE PRINCIPALS;
    arena_t arena = {0};
    err_t err = {0};
    fleet_t *fleet = fleet_parse(&arena, "f", text, strlen(text), &err);
    const runner_t *runner;
    const credential_t *credential;

    ck_assert_ptr_nonnull(fleet);
    ck_assert_str_eq(fleet->runners[0].name, "r1");
    ck_assert_uint_eq(fleet->runners[0].streams_max, 64);
    ck_assert(!fleet->runners[0].checks_fencing);
    runner = fleet_find_runner(fleet, "r0");
    ck_assert_ptr_nonnull(runner);
    ck_assert_int_eq(runner->kind, RUNNER_SERVICE);
    ck_assert_uint_eq(runner->streams_max, 4096);
    ck_assert(runner->checks_fencing);
    ck_assert(runner_offers_model(runner, "parts"));
    ck_assert(!runner_offers_model(runner, "planner-v3"));
    ck_assert_ptr_null(fleet_find_runner(fleet, "r"));
    ck_assert_uint_eq(fleet->zone_count, 2);
    ck_assert_str_eq(fleet->zones[0], "east");
    ck_assert_str_eq(fleet->zones[1], "north");
    credential = fleet_find_credential(fleet, DIGEST_B);
    ck_assert_ptr_nonnull(credential);
    ck_assert_int_eq(credential->kind, PRINCIPAL_TEAM);
    ck_assert_str_eq(credential->name, "planning");
    ck_assert_int_eq(fleet_find_credential(fleet, DIGEST_A)->kind,
                     PRINCIPAL_ORGANISATION);
    ck_assert_ptr_null(fleet_find_credential(fleet, DIGEST_C));
    ck_assert_ptr_null(fleet_find_credential(fleet, ""));
    arena_free(&arena);
}
END_TEST

static const document_case_t contract_cases[] = {
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE KIND_TABLE, ""},
    {SERVICE_FIELDS
     "[[plain]]\nname = \"bay-slots\"\n" ORGANISATION_TABLE KIND_TABLE,
     ""},
    {SERVICE_FIELDS MODEL_TABLE
     "adapter = \"\"\n" ORGANISATION_TABLE KIND_TABLE,
     ""},
    {SERVICE_FIELDS ORGANISATION_TABLE KIND_TABLE,
     "c:1: the document defines no model or plain service: write a [[m"},
    {SERVICE_FIELDS MODEL_TABLE KIND_TABLE,
     "c:1: the document has no organisation: write [[organ"},
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE,
     "c:1: the document has no kind: write [[kind]]"},
    {MODEL_TABLE ORGANISATION_TABLE KIND_TABLE,
     "c:1: the document has no service: write serv"},
    {SERVICE_FIELDS
     "region = \"x\"\n" MODEL_TABLE ORGANISATION_TABLE KIND_TABLE,
     "c:4: unknown key \"region\" in the document: write one of service, "},
    {"service = \"a\"\nteam = \"b\"\nweighs = \"cost\"\n" MODEL_TABLE
         ORGANISATION_TABLE KIND_TABLE,
     "c:3: unknown weighs \"cost\": write \"resume-latency\" or \"extra-work"},
    {SERVICE_FIELDS MODEL_TABLE MODEL_TABLE ORGANISATION_TABLE KIND_TABLE,
     "c:7: model \"planner\" is already on line 4"},
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE ORGANISATION_TABLE
         KIND_TABLE,
     "c:10: organisation \"tarawhiti\" is already on line 7"},
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE KIND_TABLE KIND_TABLE,
     "c:14: kind \"plan\" is already on line"},
    {SERVICE_FIELDS MODEL_TABLE
     "[[organisation]]\nname = \"t\"\nweight = 1001\n" KIND_TABLE,
     "c:9: weight = 1001 is out of range: write a number from 1 to 1000"},
    {SERVICE_FIELDS MODEL_TABLE
     "[[organisation]]\nname = \"t\"\nweight = 1.5\n" KIND_TABLE,
     "c:9: weight is a float, not an integer: write weight = 3"},
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE
     "[[kind]]\nname = \"k\"\nurgency = \"batch\"\n",
     "c:10: [[kind]] has no idempotent: write idempotent = true"},
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE KIND_TABLE
     "token_gap_objective_ms = 0\n",
     "c:14: token_gap_objective_ms = 0 is out of range"},
    {SERVICE_FIELDS
     "[[model]]\nname = \"p q\"\nversion = \"v\"\n" ORGANISATION_TABLE
         KIND_TABLE,
     "c:5: name contains a character other than letters, digits and ._-/:@"},
    {SERVICE_FIELDS MODEL_TABLE
     "adapter = 1979-05-27\n" ORGANISATION_TABLE KIND_TABLE,
     "c:7: adapter is a date or a time, not a string: write adapter = "},
    {SERVICE_FIELDS "model = []\n" ORGANISATION_TABLE KIND_TABLE,
     "c:4: model is not an array of tables"},
    {SERVICE_FIELDS "model = [3]\n" ORGANISATION_TABLE KIND_TABLE,
     "c:4: model is not an array of table"},
};

START_TEST(test_contract_parse_accepts_valid_and_names_error)
{
    const document_case_t *c = &contract_cases[_i];
    arena_t arena = {0};
    err_t err = {0};
    contract_t *contract;

    contract = contract_parse(&arena, "c", c->text, strlen(c->text), &err);
    if (c->error[0] == '\0') {
        ck_assert_msg(contract != NULL, "%s", err.message);
    }
    else {
        ck_assert_ptr_null(contract);
        ck_assert_int_eq(err.kind, ERR_DOCUMENT);
        ck_assert_msg(strncmp(err.message, c->error, strlen(c->error)) == 0,
                      "%s", err.message);
    }
    arena_free(&arena);
}
END_TEST

START_TEST(test_contract_finds_entries_by_name)
{
    static const char text[] =
        SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE KIND_TABLE
        "[[kind]]\nname = \"look-up\"\nurgency = \"interactive\"\n"
        "idempotent = false\nfirst_token_objective_ms = 430\n";
    arena_t arena = {0};
    err_t err = {0};
    contract_t *c = contract_parse(&arena, "c", text, strlen(text), &err);

    ck_assert_ptr_nonnull(c);
    ck_assert_int_eq(c->recovery_goal, RECOVERY_MINIMISE_WORK);
    ck_assert_uint_eq(contract_find_organisation(c, "tarawhiti")->weight, 3);
    ck_assert_ptr_null(contract_find_organisation(c, "maree"));
    ck_assert_str_eq(contract_find_model(c, "planner")->version, "planner-v3");
    ck_assert_str_eq(contract_find_model(c, "planner")->adapter, "");
    ck_assert_ptr_null(contract_find_model(c, "planner-v3"));
    ck_assert_ptr_null(contract_find_plain_service(c, "planner"));
    ck_assert_str_eq(contract_find_kind(c, "")->name, "plan");
    ck_assert_int_eq(contract_find_kind(c, "")->urgency, URGENCY_BATCH);
    ck_assert(!contract_find_kind(c, "look-up")->idempotent);
    ck_assert_uint_eq(
        contract_find_kind(c, "look-up")->first_token_objective_ms, 430);
    ck_assert_ptr_null(contract_find_kind(c, "other"));
    arena_free(&arena);
}
END_TEST

typedef struct {
    const char *other;
    bool conflicts;
} conflict_case_t;

static const conflict_case_t conflict_cases[] = {
    {SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE KIND_TABLE, false},
    {"service = \"b\"\nteam = \"b\"\nweighs = \"extra-work\"\n" MODEL_TABLE
         ORGANISATION_TABLE KIND_TABLE,
     true},
    {"service = \"b\"\nteam = \"b\"\nweighs = \"extra-work\"\n" MODEL_TABLE
     "[[organisation]]\nname = \"maree\"\n" KIND_TABLE,
     false},
    {"service = \"b\"\nteam = \"b\"\nweighs = \"extra-work\"\n"
     "[[model]]\nname = \"notes\"\nversion = "
     "\"planner-v3\"\n" ORGANISATION_TABLE KIND_TABLE,
     false},
};

START_TEST(test_contract_conflict_needs_same_name_and_organisation)
{
    const conflict_case_t *c = &conflict_cases[_i];
    static const char text[] =
        SERVICE_FIELDS MODEL_TABLE ORGANISATION_TABLE KIND_TABLE;
    arena_t arena = {0};
    contract_t *first =
        contract_parse(&arena, "one", text, strlen(text), NULL);
    contract_t *second =
        contract_parse(&arena, "two", c->other, strlen(c->other), NULL);
    const char *organisation = "";
    const char *what = "";

    ck_assert_ptr_nonnull(first);
    ck_assert_ptr_nonnull(second);
    ck_assert_int_eq(contract_conflicts(first, second, &organisation, &what),
                     c->conflicts);
    if (c->conflicts) {
        ck_assert_str_eq(organisation, "tarawhiti");
        ck_assert_str_eq(what, "planner");
    }
    arena_free(&arena);
}
END_TEST

#define ARRAY_COUNT(array) ((int)(sizeof(array) / sizeof((array)[0])))

int
main(void)
{
    Suite *suite = suite_create("world");
    TCase *tcase = tcase_create("documents");
    SRunner *runner;
    int failed;

    tcase_add_loop_test(tcase, test_fleet_parse_accepts_valid_and_names_error,
                        0, ARRAY_COUNT(fleet_cases));
    tcase_add_loop_test(tcase, test_runner_address_must_be_ip_and_port, 0,
                        ARRAY_COUNT(address_cases));
    tcase_add_test(tcase, test_fleet_finds_runners_zones_and_credentials);
    tcase_add_loop_test(tcase,
                        test_contract_parse_accepts_valid_and_names_error, 0,
                        ARRAY_COUNT(contract_cases));
    tcase_add_test(tcase, test_contract_finds_entries_by_name);
    tcase_add_loop_test(
        tcase, test_contract_conflict_needs_same_name_and_organisation, 0,
        ARRAY_COUNT(conflict_cases));
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
