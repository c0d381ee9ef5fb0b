/*
 * test_odd_entries.c - tests that an entry that another writer has left among
 * those of the runners stops no host from following the others.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/text.h"
#include "peer/wire.h"
#include "regress/fixture.h"
#include "regress/gateway_host.h"

enum { DEPTH = 100000, KEY_BYTES = 200, VALUE_BYTES = 65536 };

static const canned_reply_t sound_reply = {
    "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s1\r\n"
    "Content-Length: 5\r\n\r\nsound",
    0, CANNED_KEEP};

#define ENTRY(address, more)                                                  \
    "{\"Service\":\"plain\",\"Address\":\"" address "\",\"Zone\":\"a\","      \
    "\"BatchSize\":4,\"State\":\"ready\"" more "}"

/* Each is an entry that a sound runner would not write. */
static const struct {
    const char *name;
    const char *key;
    const char *value; /* NULL: nested deeply */
} entries[] = {
    {"nested deeply", "servers/odd", NULL},
    {"an integer that is too large", "servers/odd",
     ENTRY("127.0.0.1:1", ",\"WarmupLeftMs\":99999999999999999999999")},
    {"a number that is too large", "servers/odd",
     ENTRY("127.0.0.1:1", ",\"WarmupLeftMs\":1e300,\"born\":-1e300")},
    {"a number without an end", "servers/odd",
     ENTRY("127.0.0.1:1", ",\"born\":1e999")},
    {"a port out of range", "servers/odd", ENTRY("127.0.0.1:99999", "")},
    {"a negative port", "servers/odd", ENTRY("127.0.0.1:-1", "")},
    {"an address without a port", "servers/odd", ENTRY("127.0.0.1", "")},
    {"no id", "servers/", ENTRY("127.0.0.1:1", "")},
    {"an id that ends a header", "servers/odd\r\nTenant: o2",
     ENTRY("127.0.0.1:1", "")},
    {"a zone that ends a line", "servers/odd",
     "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\\nb\","
     "\"BatchSize\":4,\"State\":\"ready\"}"},
    {"bytes that are no text", "servers/odd", "\xff\xfe\x01"},
    {"an empty value", "servers/odd", ""},
};

static char *
nested_value(void)
{
    char *text = xcalloc(1, DEPTH + 1);

    memset(text, '[', DEPTH);
    return text;
}

START_TEST(test_odd_entry_stops_nothing)
{
    static const char request[] =
        "GET /unsafe/p HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: q1\r\n"
        "Authorization: Bearer k1\r\n\r\n";
    gateway_host_t host;
    raw_caller_t *caller;
    char *nested = nested_value();
    int i;

    gateway_host_open(&host);
    gateway_host_put(&host, entries[_i].key,
                     entries[_i].value != NULL ? entries[_i].value : nested);
    gateway_host_settle(&host);
    gateway_host_runner(&host, "sound-1", "plain", "b", &sound_reply, 1);
    gateway_host_settle(&host);
    for (i = 0; i < 4; i++) {
        caller = raw_caller_new(&host, host.listen_address);
        raw_caller_send(caller, request);
        ck_assert_msg(raw_caller_wait(caller, "\r\n\r\nsound"), "%s: got\n%s",
                      entries[_i].name, raw_caller_bytes(caller));
        raw_caller_free(caller);
    }
    ck_assert_ptr_null(strstr(canned_last(host.runners[0]), "Tenant: o2"));
    gateway_host_close(&host);
    free(nested);
}
END_TEST

/* Keys of the store have up to 200 bytes. */
START_TEST(test_followers_get_long_keys)
{
    char key[KEY_BYTES + 1] = "servers/";
    char *value = xcalloc(1, VALUE_BYTES);
    store_item_t item = {
        .key = key,
        .revision = 7,
        .value = {.value_len = VALUE_BYTES, .value_val = value}};
    peer_call_t call = {.from = (char *)"h1",
                        .to = (char *)"h2",
                        .message = {.kind = MESSAGE_STORE_CHANGES}};
    store_changes_t *changes = &call.message.message_t_u.store_changes;
    wire_key_t no_key = {0};
    wire_record_t record = {0};
    wire_input_t input = {0};

    memset(key + strlen(key), 'x', KEY_BYTES - strlen(key));
    *changes = (store_changes_t){
        .known = true, .items = {.items_len = 1, .items_val = &item}};
    ck_assert(wire_encode_call(1, &call, no_key, &record));
    wire_decode(record.bytes + WIRE_RECORD_MARK_BYTES,
                record.count - WIRE_RECORD_MARK_BYTES, no_key, &input);
    ck_assert_int_eq(input.kind, WIRE_CALL);
    ck_assert_str_eq(
        input.call.message.message_t_u.store_changes.items.items_val[0].key,
        key);
    wire_input_free(&input);
    free(record.bytes);
    free(value);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("odd-entries");

    (void)signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    tcase_add_loop_test(tcase, test_odd_entry_stops_nothing, 0,
                        COUNT(entries));
    tcase_add_test(tcase, test_followers_get_long_keys);
    return fixture_main("odd-entries", tcase);
}
