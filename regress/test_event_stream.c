/* test_event_stream.c - server-sent events cut at their ends. */
#include <string.h>

#include "forward/event_stream.h"
#include "regress/fixture.h"

typedef struct {
    const char *name;
    const char *bytes;
    const char *events; /* each as "ID[bytes]" */
    bool partial;
} stream_case_t;

static const stream_case_t cases[] = {
    {"one event", "id: 0\ndata: a\n\n", "0[id: 0\ndata: a\n\n]", false},
    {"two events", "id: 0\n\nid: 1\n\n", "0[id: 0\n\n]1[id: 1\n\n]", false},
    {"cut in the middle", "id: 0\n\nid: 1\nda", "0[id: 0\n\n]", true},
    {"cut after one line end", "id: 0\n", "", true},
    {"carriage returns", "id: 3\r\ndata: a\r\n\r\n",
     "3[id: 3\r\ndata: a\r\n\r\n]", false},
    {"no id", "data: a\n\n", "-[data: a\n\n]", false},
    {"an id without a space", "id:12\n\n", "12[id:12\n\n]", false},
    {"an id that is no number", "id: x\n\n", "-[id: x\n\n]", false},
    {"an id beyond all bounds", "id: 99999999999999999999\n\n",
     "-[id: 99999999999999999999\n\n]", false},
    {"a first line that the runner adds", "weight-versions: 2\nid: 4\n\n",
     "4[weight-versions: 2\nid: 4\n\n]", false},
    {"nothing", "", "", false},
};

static void
on_event(void *context, const stream_event_t *event)
{
    text_t *text = context;

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

/* Whole, and cut into two parts at every place. */
START_TEST(test_stream)
{
    const stream_case_t *test = &cases[_i];
    size_t length = strlen(test->bytes);
    size_t cut;

    for (cut = 0; cut <= length; cut++) {
        event_stream_t stream = {0};
        text_t got = {0};

        event_stream_feed(&stream, test->bytes, cut, on_event, &got);
        event_stream_feed(&stream, test->bytes + cut, length - cut, on_event,
                          &got);
        text_append(&got, "", 1);
        ck_assert_msg(strcmp(got.bytes, test->events) == 0,
                      "%s, cut at %zu: got %s", test->name, cut, got.bytes);
        ck_assert_msg(event_stream_partial(&stream) == test->partial,
                      "%s, cut at %zu", test->name, cut);
        event_stream_free(&stream);
        text_free(&got);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("event_stream");

    tcase_add_loop_test(tcase, test_stream, 0, COUNT(cases));
    return fixture_main("event_stream", tcase);
}
