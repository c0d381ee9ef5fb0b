/*
 * test_store_feed.c - tests what hosts that poll for changes of the store are
 * sent, and when.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "base/text.h"
#include "gateway/store_feed.h"
#include "gateway/store_intake.h"
#include "regress/fixture.h"
#include "regress/store_table.h"

enum {
    STEPS_MAX = 14,
    RECEIVERS = 6,
    SERVERS = 2,
    MESSAGE_BYTES = 1 << 20,
    US_PER_MS = 1000,
    CONTACT_AGE_MAX_MS = 1500,
};
#define POLL_PARTS ((uint64_t)1 << LINK_POLL_PARTS_BIT)

/*
 * What happens, and what is sent because of it.  Servers are s0 and s1, the
 * hosts that poll h0 to h5.  Events:
 *   small KEY REVISION, large KEY REVISION VARIANT: changes at s0
 *   both KEY REVISION VARIANT: the same change at s0 and s1
 *   poll hN [sN]      a fetch of what the host lacks
 *   hello hN, old hN  a first poll; one of an earlier build
 *   take hN           the last message arrives
 *   spoil hN          the same, with a byte of the patch changed
 *   lost hN           the last message is lost
 *   wait MS
 * Sent: "hN" with "KEY@REVISION" of small values, "KEY BASE>REVISION
 * FROM-TO" of pieces ("end": the last one of the patch), and "." if complete,
 * "+" if not, "?" if the changes are not known.
 */
typedef struct {
    const char *event;
    const char *sent;
} feed_line_t;

typedef struct {
    const char *name;
    feed_line_t lines[STEPS_MAX];
} feed_case_t;

static const feed_case_t cases[] = {
    {"a poll is held until something changes",
     {{"poll h0", ""}, {"small a 6", "h0 a@6 ."}}},
    {"a poll is answered when its time is up",
     {{"poll h0", ""}, {"wait 400", ""}, {"wait 200", "h0 ."}}},
    {"a first poll is answered at once", {{"hello h0", "h0 +"}}},
    {"a host of an earlier build gets the whole value",
     {{"old h0", ""}, {"large t 6 1", "h0 whole t@6"}}},
    {"a change of one line is sent at once",
     {{"poll h0", ""},
      {"poll h1", ""},
      {"large t 6 1", "h0 t 5>6 0-end . h1 t 5>6 0-end ."}}},
    {"what has come is not sent again",
     {{"poll h0", ""},
      {"large t 6 1", "h0 t 5>6 0-end ."},
      {"take h0", ""},
      {"poll h0", ""},
      {"small a 7", "h0 a@7 ."}}},
    {"a large patch comes in pieces",
     {{"large t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"take h0", ""},
      {"poll h0", "h0 t 5>6 16384-end ."},
      {"take h0", ""},
      {"poll h0", ""}}},
    {"a small value does not wait behind a large patch",
     {{"large t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"poll h1", "h1 t 5>6 0-16384 +"},
      {"poll h2", "h2 t 5>6 0-16384 +"},
      {"poll h3", "h3 t 5>6 0-16384 +"},
      {"poll h4", ""},
      {"small a 7", "h4 a@7 +"}}},
    {"few patches are on the way at a time, and those begun come first",
     {{"large t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"poll h1", "h1 t 5>6 0-16384 +"},
      {"poll h2", "h2 t 5>6 0-16384 +"},
      {"poll h3", "h3 t 5>6 0-16384 +"},
      {"poll h4", ""},
      {"take h0", ""},
      {"poll h0", "h0 t 5>6 16384-end ."},
      {"take h0", ""},
      {"poll h0", "h4 t 5>6 0-16384 +"}}},
    {"a host that has failed does not hold others up",
     {{"large t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"poll h1", "h1 t 5>6 0-16384 +"},
      {"poll h2", "h2 t 5>6 0-16384 +"},
      {"poll h3", "h3 t 5>6 0-16384 +"},
      {"wait 600", ""},
      {"poll h4", ""},
      {"wait 400", "h4 t 5>6 0-16384 +"}}},
    {"a piece that was lost is sent again, and nothing else",
     {{"large t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"take h0", ""},
      {"poll h0", "h0 t 5>6 16384-end ."},
      {"lost h0", ""},
      {"poll h0", "h0 t 5>6 16384-end ."}}},
    {"a patch goes on at another host",
     {{"both t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"take h0", ""},
      {"poll h0 s1", "h0 t 5>6 16384-end ."},
      {"take h0", ""},
      {"poll h0 s1", ""}}},
    {"a patch goes on though the value has changed",
     {{"large t 6 2000", ""},
      {"poll h0", "h0 t 5>6 0-16384 +"},
      {"take h0", ""},
      {"large t 7 2001", ""},
      {"poll h0", "h0 t 5>6 16384-end +"},
      {"take h0", ""},
      {"poll h0", "h0 t 6>7 0-end ."},
      {"take h0", ""},
      {"poll h0", ""}}},
    {"a whole value goes on though it is made anew for its next version",
     {{"large t 6 12000", ""},
      {"poll h0", "h0 t 0>6 0-16384 +"},
      {"take h0", ""},
      {"large t 7 0", ""},
      {"poll h0", "h0 t 0>6 16384-32768 +"},
      {"poll h1", "h1 t 0>7 0-16384 +"}}},
    {"a spoilt patch is not used",
     {{"poll h0", ""},
      {"large t 6 1", "h0 t 5>6 0-end ."},
      {"spoil h0", "h0 failed"},
      {"poll h0", "h0 t 5>6 0-end ."}}},
};

typedef struct {
    mirror_t *mirror;
    store_feed_t *feed;
} server_t;

typedef struct {
    char name[8];
    mirror_t *mirror;
    store_intake_t *intake;
    char *bytes; /* of the last message */
    size_t count;
} receiver_t;

static struct {
    server_t servers[SERVERS];
    receiver_t receivers[RECEIVERS];
    int64_t now_ms;
    text_t sent;
} state;

static void
apply(void *context, const kv_pair_t *pair)
{
    mirror_apply(context, pair);
}

static void
print_parts(const store_parts_t *parts)
{
    u_int i;

    for (i = 0; i < parts->items.items_len; i++) {
        text_printf(&state.sent, " %s@%lld", parts->items.items_val[i].key,
                    (long long)parts->items.items_val[i].revision);
    }
    for (i = 0; i < parts->pieces.pieces_len; i++) {
        const store_piece_t *piece = &parts->pieces.pieces_val[i];
        uint32_t end = piece->offset + piece->bytes.bytes_len;

        text_printf(&state.sent, " %s %lld>%lld %u-", piece->patch.key,
                    (long long)piece->patch.base,
                    (long long)piece->patch.revision, piece->offset);
        if (end == piece->patch.bytes) {
            text_puts(&state.sent, "end");
        }
        else {
            text_printf(&state.sent, "%u", end);
        }
    }
    text_puts(&state.sent, !parts->known     ? " ?"
                           : parts->complete ? " ."
                                             : " +");
}

static void
send_message(void *context, const char *host, const message_t *message)
{
    receiver_t *receiver = &state.receivers[host[1] - '0'];
    const store_changes_t *changes = &message->message_t_u.store_changes;
    XDR xdr;
    u_int i;

    text_printf(&state.sent, "%s%s", state.sent.length > 0 ? " " : "", host);
    if (message->kind == MESSAGE_STORE_PARTS) {
        print_parts(&message->message_t_u.store_parts);
    }
    for (i = 0; message->kind == MESSAGE_STORE_CHANGES &&
                i < changes->items.items_len;
         i++) {
        text_printf(&state.sent, " whole %s@%lld",
                    changes->items.items_val[i].key,
                    (long long)changes->items.items_val[i].revision);
    }
    free(receiver->bytes);
    receiver->bytes = xcalloc(1, MESSAGE_BYTES);
    xdrmem_create(&xdr, receiver->bytes, MESSAGE_BYTES, XDR_ENCODE);
    ck_assert(xdr_message_t(&xdr, (message_t *)(uintptr_t)message));
    receiver->count = xdr_getpos(&xdr);
}

static feed_time_t
time_now(void)
{
    return (feed_time_t){.now_us = state.now_ms * US_PER_MS,
                         .contact_age_max_ms = CONTACT_AGE_MAX_MS};
}

static void
poll_server(receiver_t *receiver, size_t server, const char *kind)
{
    feed_time_t now = time_now();
    store_poll_t poll = {.number = 1,
                         .after = mirror_revision(receiver->mirror)};
    store_fetch_t fetch = {.number = POLL_PARTS | 1};
    arena_t arena = {0};

    if (strcmp(kind, "poll") != 0) {
        poll.number |= strcmp(kind, "hello") == 0 ? POLL_PARTS : 0;
        store_feed_poll(state.servers[server].feed, &now, receiver->name,
                        &poll);
        return;
    }
    store_intake_write_fetch(receiver->intake, &arena, &fetch);
    store_feed_fetch(state.servers[server].feed, &now, receiver->name, &fetch);
    arena_free(&arena);
}

static void
take(receiver_t *receiver, bool spoilt)
{
    message_t message = {0};
    store_parts_t *parts = &message.message_t_u.store_parts;
    err_t err;
    XDR xdr;

    ck_assert_ptr_nonnull(receiver->bytes);
    xdrmem_create(&xdr, receiver->bytes, (u_int)receiver->count, XDR_DECODE);
    ck_assert(xdr_message_t(&xdr, &message));
    if (spoilt) {
        parts->pieces.pieces_val[0]
            .bytes
            .bytes_val[parts->pieces.pieces_val[0].bytes.bytes_len - 1] ^= 1;
    }
    if (store_intake_handle(receiver->intake, parts, &err) < 0) {
        text_printf(&state.sent, "%s failed", receiver->name);
    }
    xdr_free((xdrproc_t)xdr_message_t, &message);
}

static void
run_event(const char *event)
{
    char verb[16] = "";
    char name[16] = "";
    long long revision = 0;
    int variant = 0;
    feed_time_t now;
    size_t i;

    if (sscanf(event, "wait %lld", &revision) == 1) {
        state.now_ms += revision;
    }
    else if (sscanf(event, "%15s %15s %lld %d", verb, name, &revision,
                    &variant) >= 3) {
        for (i = 0; i < (strcmp(verb, "both") == 0 ? 2 : 1); i++) {
            if (strcmp(verb, "small") == 0) {
                store_table_put_value(state.servers[i].mirror, name, revision,
                                      "x", 1);
            }
            else {
                store_table_put(state.servers[i].mirror, name, revision,
                                variant);
            }
        }
    }
    else {
        receiver_t *receiver = &state.receivers[name[1] - '0'];

        if (strcmp(verb, "take") == 0 || strcmp(verb, "spoil") == 0) {
            take(receiver, strcmp(verb, "spoil") == 0);
        }
        else if (strcmp(verb, "lost") != 0) {
            poll_server(receiver, strstr(event, " s1") != NULL ? 1 : 0, verb);
        }
    }
    now = time_now();
    for (i = 0; i < SERVERS; i++) {
        store_feed_run(state.servers[i].feed, &now);
    }
}

START_TEST(test_large_values_hold_nothing_up)
{
    const feed_case_t *test = &cases[_i];
    size_t i;

    memset(&state, 0, sizeof(state));
    state.now_ms = 1000;
    for (i = 0; i < SERVERS; i++) {
        state.servers[i].mirror = store_table_mirror(true);
        state.servers[i].feed =
            store_feed_new(state.servers[i].mirror, send_message, NULL);
    }
    for (i = 0; i < RECEIVERS; i++) {
        receiver_t *receiver = &state.receivers[i];

        (void)snprintf(receiver->name, sizeof(receiver->name), "h%zu", i);
        receiver->mirror = store_table_mirror(false);
        receiver->intake =
            store_intake_new(receiver->mirror, apply, receiver->mirror);
    }
    for (i = 0; i < STEPS_MAX && test->lines[i].event != NULL; i++) {
        state.sent.length = 0;
        text_puts(&state.sent, "");
        run_event(test->lines[i].event);
        text_append(&state.sent, "", 1);
        state.sent.length--;
        ck_assert_msg(strcmp(state.sent.bytes, test->lines[i].sent) == 0,
                      "%s, step %zu (%s): sent \"%s\", want \"%s\"",
                      test->name, i, test->lines[i].event, state.sent.bytes,
                      test->lines[i].sent);
    }
    for (i = 0; i < RECEIVERS; i++) {
        store_intake_free(state.receivers[i].intake);
        mirror_free(state.receivers[i].mirror);
        free(state.receivers[i].bytes);
    }
    for (i = 0; i < SERVERS; i++) {
        store_feed_free(state.servers[i].feed);
        mirror_free(state.servers[i].mirror);
    }
    text_free(&state.sent);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("feed");

    tcase_add_loop_test(tcase, test_large_values_hold_nothing_up, 0,
                        COUNT(cases));
    return fixture_main("store_feed", tcase);
}
