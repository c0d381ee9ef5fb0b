/* test_key_forms.c - tests what each form of the list of keys lets in. */
#include <string.h>

#include "regress/fixture.h"
#include "regress/gateway_host.h"

static const canned_reply_t replies[] = {
    {"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n"
     "Content-Length: 5\r\n\r\nhello",
     0, CANNED_KEEP},
};

static const char routing_format[] =
    "{\"Version\":%d,\"Routes\":["
    "{\"Name\":\"keyed\",\"Host\":\"host.example\",\"PathPrefix\":\"/keyed/\","
    "\"Type\":\"safe\",\"TimeoutMs\":5000,\"Service\":\"plain\"},"
    "{\"Name\":\"open\",\"Host\":\"host.example\",\"PathPrefix\":\"/open/\","
    "\"Type\":\"safe\",\"TimeoutMs\":5000,\"Service\":\"plain\","
    "\"Anonymous\":true}],"
    "\"Services\":[{\"Name\":\"plain\"}]%s%s}";

/* With these, k1, k2 and k3 are valid. */
static const char tenants_before[] =
    "[{\"Name\":\"o1\",\"ApiKeys\":[\"k1\"]},"
    "{\"Name\":\"o2\",\"ApiKeys\":[\"k2\",\"k3\"]}]";

typedef struct {
    const char *name;
    const char *tenants; /* NULL: the member is absent */
    const char *revoked; /* status of requests with k1, k3, or no valid key */
    const char *kept;    /* status of requests with k2 */
    bool lists_k1;       /* k1 is in the list, too */
} form_case_t;

/* An operator who takes the last tenant away must not open the system, and no
 * form that cannot be read may. */
static const form_case_t forms[] = {
    {"an absent member needs no key", NULL, "200", "200", false},
    {"an empty list holds no key", "[]", "401", "401", false},
    {"null is no list", "null", "503", "503", false},
    {"an object is no list", "{}", "503", "503", false},
    {"an object with a tenant is no list",
     "{\"Name\":\"o1\",\"ApiKeys\":[\"k1\"]}", "503", "503", false},
    {"a text is no list", "\"k1\"", "503", "503", false},
    {"an empty text is no list", "\"\"", "503", "503", false},
    {"a number is no list", "0", "503", "503", false},
    {"a boolean is no list", "false", "503", "503", false},
    {"a list of null holds no key", "[null]", "401", "401", false},
    {"a list of texts holds no key", "[\"k1\",\"k2\"]", "401", "401", false},
    {"a tenant without keys holds none", "[{\"Name\":\"o1\"}]", "401", "401",
     false},
    {"a tenant with an empty list of keys holds none",
     "[{\"Name\":\"o1\",\"ApiKeys\":[]}]", "401", "401", false},
    {"a text is no list of keys", "[{\"Name\":\"o1\",\"ApiKeys\":\"k1\"}]",
     "401", "401", false},
    {"a number is no key", "[{\"Name\":\"o1\",\"ApiKeys\":[1,null]}]", "401",
     "401", false},
    {"an empty text is no key", "[{\"Name\":\"o1\",\"ApiKeys\":[\"\"]}]",
     "401", "401", false},
    {"a tenant without a name holds no key", "[{\"ApiKeys\":[\"k1\",\"k2\"]}]",
     "401", "401", false},
    {"a tenant that cannot be read leaves the others their keys",
     "[7,{\"Name\":\"o2\",\"ApiKeys\":[{},\"k2\"]}]", "401", "200", false},
    {"a tenant that is listed again is let in again",
     "[{\"Name\":\"o1\",\"ApiKeys\":[\"k1\"]},"
     "{\"Name\":\"o2\",\"ApiKeys\":[\"k2\"]}]",
     "401", "200", true},
};

static void
put_routing(gateway_host_t *host, int version, const char *tenants)
{
    arena_t arena = {0};

    gateway_host_put(host, "op/config",
                     arena_printf(&arena, routing_format, version,
                                  tenants != NULL ? ",\"Tenants\":" : "",
                                  tenants != NULL ? tenants : ""));
    gateway_host_settle(host);
    arena_free(&arena);
}

/* Fails the test unless the response has that status. */
static void
expect(gateway_host_t *host, const char *name, const char *path,
       const char *authorization, const char *status)
{
    size_t ran = canned_requests(host->runners[0]);
    arena_t arena = {0};
    raw_caller_t *caller = raw_caller_new(host, host->listen_address);

    raw_caller_send(caller,
                    arena_printf(&arena,
                                 "GET %s HTTP/1.1\r\nHost: host.example\r\n"
                                 "Attempt-Id: q1\r\n%s\r\n",
                                 path, authorization));
    ck_assert_msg(raw_caller_wait(caller, "\r\n\r\n") &&
                      strstr(raw_caller_bytes(caller),
                             arena_printf(&arena, "HTTP/1.1 %s ", status)) ==
                          raw_caller_bytes(caller),
                  "%s: %s %snot %s but\n%s", name, path, authorization, status,
                  raw_caller_bytes(caller));
    ck_assert_msg((canned_requests(host->runners[0]) > ran) ==
                      (strcmp(status, "200") == 0),
                  "%s: %s: requests that ran", name, path);
    raw_caller_free(caller);
    arena_free(&arena);
}

static void
expect_form(gateway_host_t *host, const form_case_t *form)
{
    static const char *const invalid[] = {
        "Authorization: Bearer k3\r\n", "Authorization: Bearer never\r\n",
        "Authorization: Bearer \r\n", "Authorization: Bearer null\r\n", ""};
    size_t i;

    for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        expect(host, form->name, "/keyed/p", invalid[i], form->revoked);
    }
    expect(host, form->name, "/keyed/p", "Authorization: Bearer k1\r\n",
           form->lists_k1 ? "200" : form->revoked);
    expect(host, form->name, "/keyed/p", "Authorization: Bearer k2\r\n",
           form->kept);
    expect(host, form->name, "/open/p", "", "200");
}

START_TEST(test_no_form_opens_the_system)
{
    const form_case_t *form = &forms[_i];
    gateway_host_t host;

    gateway_host_open(&host);
    gateway_host_runner(&host, "plain-1", "plain", "a", replies, 1);
    gateway_host_settle(&host);
    put_routing(&host, 2, tenants_before);
    expect(&host, form->name, "/keyed/p", "Authorization: Bearer k1\r\n",
           "200");
    expect(&host, form->name, "/keyed/p", "", "401");
    put_routing(&host, 3, form->tenants);
    expect_form(&host, form);
    put_routing(&host, 4, tenants_before);
    expect(&host, form->name, "/keyed/p", "Authorization: Bearer k3\r\n",
           "200");
    expect(&host, form->name, "/keyed/p", "", "401");
    gateway_host_close(&host);
}
END_TEST

static Suite *
make_suite(void)
{
    Suite *suite = suite_create("key_forms");
    TCase *forms_case = tcase_create("forms");

    tcase_add_loop_test(forms_case, test_no_form_opens_the_system, 0,
                        sizeof(forms) / sizeof(forms[0]));
    suite_add_tcase(suite, forms_case);
    return suite;
}

int
main(void)
{
    SRunner *runner = srunner_create(make_suite());
    int failed;

    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed > 0;
}
