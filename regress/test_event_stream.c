/* test_event_stream.c - splitting of a stream into server-sent events. */
#include <string.h>

#include "forward/event_stream.h"
#include "regress/fixture.h"

typedef struct {
    const char *name;
    const char *bytes;
    const char *events; /* each as "ID[bytes]", after "!" if it is not valid */
    bool partial;
} stream_case_t;

static const stream_case_t cases[] = {
    {"one event", "id: 0\ndata: a\n\n", "0[id: 0\ndata: a\n\n]", false},
    {"two events", "id: 0\n\nid: 1\n\n", "0[id: 0\n\n]1[id: 1\n\n]", false},
    {"partial event", "id: 0\n\nid: 1\nda", "0[id: 0\n\n]", true},
    {"event without an empty line", "id: 0\n", "", true},
    {"lines that end in CR LF", "id: 3\r\ndata: a\r\n\r\n",
     "3[id: 3\r\ndata: a\r\n\r\n]", false},
    {"event without an id", "data: a\n\n", "!-[data: a\n\n]", false},
    {"id without a space", "id:12\n\n", "12[id:12\n\n]", false},
    {"id that is not a number is ignored", "id: x\n\n", "!-[id: x\n\n]",
     false},
    {"id that overflows is ignored", "id: 99999999999999999999\n\n",
     "!-[id: 99999999999999999999\n\n]", false},
    {"comment", ": ping\n\n", "-[: ping\n\n]", false},
    {"text before the id", "oops\nid: 4\n\n", "!4[oops\nid: 4\n\n]", false},
    {"head of a response", "HTTP/1.1 500 x\r\nA: b\r\n\r\n",
     "!-[HTTP/1.1 500 x\r\nA: b\r\n\r\n]", false},
    {"header before the id", "Date: x\nid: 4\n\n", "!4[Date: x\nid: 4\n\n]",
     false},
    {"field before the id", "weight-versions: 2\nid: 4\n\n",
     "4[weight-versions: 2\nid: 4\n\n]", false},
    {"empty stream", "", "", false},
};

static void
on_event(void *context, const stream_event_t *event)
{
    text_t *text = context;

    text_puts(text, event->valid ? "" : "!");
    if (event->has_id) {
        text_printf(text, "%lld", (long long)event->id);
    }
    else {
        text_puts(text, "-");
    }
    text_puts(text, "[");
    text_append(text, event->bytes, event->length);
    text_puts(text, "]");
}

/* Feeds each stream in two parts, split at every offset. */
START_TEST(test_events_at_every_split)
{
    const stream_case_t *test = &cases[_i];
    size_t length = strlen(test->bytes);
    size_t split;

    for (split = 0; split <= length; split++) {
        event_stream_t stream = {0};
        text_t got = {0};

        event_stream_feed(&stream, test->bytes, split, on_event, &got);
        event_stream_feed(&stream, test->bytes + split, length - split,
                          on_event, &got);
        text_append(&got, "", 1);
        ck_assert_msg(strcmp(got.bytes, test->events) == 0,
                      "%s, split at %zu: got %s", test->name, split,
                      got.bytes);
        ck_assert_msg(event_stream_has_partial(&stream) == test->partial,
                      "%s, split at %zu", test->name, split);
        event_stream_free(&stream);
        text_free(&got);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("event_stream");

    tcase_add_loop_test(tcase, test_events_at_every_split, 0, COUNT(cases));
    return fixture_main("event_stream", tcase);
}
