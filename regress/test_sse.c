/* test_sse.c - parsing of server-sent events, split at every byte. */
#include <stdlib.h>
#include <string.h>

#include "backend/sse.h"
#include "regress/fixture.h"

enum { RECEIVED_BYTES = 1024 };

typedef struct {
    const char *stream;
    const char *events; /* the data of each event, followed by '|' */
} case_t;

static const case_t cases[] = {
    {"data: a\n\n", "a|"},
    {"data:a\n\n", "a|"},
    {"data:  a\n\n", " a|"},
    {"data: a\r\n\r\ndata: b\r\n\r\n", "a|b|"},
    {"data: a\r\rdata: b\r\r", "a|b|"},
    {"data: a\r\n\ndata: b\n\r\n", "a|b|"},
    {"data: a\ndata: b\n\n", "a\nb|"},
    {"data: a\r\ndata: b\r\n\r\n", "a\nb|"},
    {"data\n\n", "|"},
    {"data:\ndata:\n\n", "\n|"},
    {"data: a\n\n\n\n\ndata: b\n\n", "a|b|"},
    {": ping\n\ndata: a\n\n", "a|"},
    {"event: error\nid: 7\nretry: 5\ndata: a\n\n", "a|"},
    {"database: a\n\ndat: b\n\ndata: c\n\n", "c|"},
    {" data: a\n\n", ""},
    {"id: 1\n\n", ""},
    {"data: a", ""},
    {"data: a\n", ""},
    {"data: {\"x\":\"\xc3\xa9\"}\n\ndata: [DONE]\n\n",
     "{\"x\":\"\xc3\xa9\"}|[DONE]|"},
};

typedef struct {
    char text[RECEIVED_BYTES];
    size_t event_limit; /* 0: no limit */
    size_t event_count;
} received_t;

static bool
on_event(void *context, const char *data, size_t length)
{
    received_t *received = context;

    (void)strncat(received->text, data, length);
    (void)strncat(received->text, "|",
                  RECEIVED_BYTES - strlen(received->text) - 1);
    received->event_count++;
    return received->event_count != received->event_limit;
}

static void
check_split(const case_t *c, size_t first, size_t second)
{
    size_t length = strlen(c->stream);
    received_t received = {0};
    sse_t sse = {0};

    ck_assert_int_eq(sse_feed(&sse, c->stream, first, on_event, &received), 0);
    ck_assert_int_eq(
        sse_feed(&sse, c->stream + first, second - first, on_event, &received),
        0);
    ck_assert_int_eq(sse_feed(&sse, c->stream + second, length - second,
                              on_event, &received),
                     0);
    ck_assert_msg(strcmp(received.text, c->events) == 0,
                  "split at %zu and %zu: \"%s\", expected \"%s\"", first,
                  second, received.text, c->events);
    sse_free(&sse);
}

START_TEST(events_are_parsed_at_every_split)
{
    const case_t *c = &cases[_i];
    size_t length = strlen(c->stream);
    size_t first;
    size_t second;

    for (first = 0; first <= length; first++) {
        for (second = first; second <= length; second++) {
            check_split(c, first, second);
        }
    }
}
END_TEST

START_TEST(events_are_parsed_byte_by_byte)
{
    const case_t *c = &cases[_i];
    received_t received = {0};
    sse_t sse = {0};
    size_t i;

    for (i = 0; i < strlen(c->stream); i++) {
        ck_assert_int_eq(sse_feed(&sse, c->stream + i, 1, on_event, &received),
                         0);
    }
    ck_assert_str_eq(received.text, c->events);
    sse_free(&sse);
}
END_TEST

START_TEST(parsing_stops_when_callback_returns_false)
{
    const char *stream = "data: a\n\ndata: b\n\ndata: c\n\n";
    received_t received = {.event_limit = 2};
    sse_t sse = {0};

    ck_assert_int_eq(
        sse_feed(&sse, stream, strlen(stream), on_event, &received), 0);
    ck_assert_str_eq(received.text, "a|b|");
    sse_free(&sse);
}
END_TEST

START_TEST(too_long_line_is_an_error)
{
    char *line = malloc(SSE_EVENT_BYTES_MAX);
    received_t received = {0};
    sse_t sse = {0};

    memset(line, 'x', SSE_EVENT_BYTES_MAX);
    ck_assert_int_eq(
        sse_feed(&sse, line, SSE_EVENT_BYTES_MAX, on_event, &received), 0);
    ck_assert_int_eq(sse_feed(&sse, line, 1, on_event, &received), -1);
    sse_free(&sse);
    free(line);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("sse");
    int count = sizeof(cases) / sizeof(cases[0]);

    tcase_add_loop_test(tcase, events_are_parsed_at_every_split, 0, count);
    tcase_add_loop_test(tcase, events_are_parsed_byte_by_byte, 0, count);
    tcase_add_test(tcase, parsing_stops_when_callback_returns_false);
    tcase_add_test(tcase, too_long_line_is_an_error);
    return fixture_main("sse", tcase);
}
