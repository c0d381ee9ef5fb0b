/* test_framing.c - tests which heads state the end of their body clearly. */
#include <string.h>

#include "http/framing.h"
#include "regress/fixture.h"
#include "regress/lenient_reader.h"
#include "regress/sim_hosts.h"

enum { MUTATIONS = 200000, HEAD_BYTES_MAX = 256 };

#define GET "GET / HTTP/1.1\r\nHost: h\r\n"

typedef struct {
    const char *name;
    const char *head;
    framing_t expected;
    uint64_t length_bytes;
} framing_case_t;

static const framing_case_t cases[] = {
    {"no body", GET "\r\n", FRAMING_NO_BODY, 0},
    {"a length", GET "Content-Length: 5\r\n\r\nhello", FRAMING_LENGTH, 5},
    {"a length of zero", GET "content-length:0\r\n\r\n", FRAMING_LENGTH, 0},
    {"blanks around the length", GET "Content-Length: \t7 \r\n\r\n",
     FRAMING_LENGTH, 7},
    {"chunks", GET "Transfer-Encoding: Chunked\r\n\r\n", FRAMING_CHUNKED, 0},
    {"empty lines before the head", "\r\n\r\n" GET "Content-Length: 5\r\n\r\n",
     FRAMING_LENGTH, 5},
    {"a field that only resembles it", GET "X-Content-Length: 5\r\n\r\n",
     FRAMING_NO_BODY, 0},
    {"a second length in the body",
     GET "Content-Length: 5\r\n\r\nContent-Length: 9\r\n\r\n", FRAMING_LENGTH,
     5},
    {"two lengths", GET "Content-Length: 4\r\nContent-Length: 9\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"the same length twice",
     GET "Content-Length: 4\r\nContent-Length: 4\r\n\r\n", FRAMING_AMBIGUOUS,
     0},
    {"two lengths after an empty line",
     "\r\n" GET "Content-Length: 4\r\nContent-Length: 9\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a length and chunks",
     GET "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a list of lengths", GET "Content-Length: 4, 4\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a sign", GET "Content-Length: +4\r\n\r\n", FRAMING_AMBIGUOUS, 0},
    {"a negative length", GET "Content-Length: -4\r\n\r\n", FRAMING_AMBIGUOUS,
     0},
    {"a length in hexadecimal", GET "Content-Length: 0x4\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"no digits", GET "Content-Length:\r\n\r\n", FRAMING_AMBIGUOUS, 0},
    {"a blank within the length", GET "Content-Length: 4 2\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a length that no number holds",
     GET "Content-Length: 99999999999999999999\r\n\r\n", FRAMING_AMBIGUOUS, 0},
    {"a blank before the colon", GET "Content-Length : 4\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a folded line", GET "Content-Length: 4\r\n 2\r\n\r\n", FRAMING_AMBIGUOUS,
     0},
    {"a folded line of another field",
     GET "X: a\r\n\tContent-Length: 4\r\n"
         "\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a vertical tab", GET "Transfer-Encoding: \vchunked\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a carriage return within a line", GET "X: a\rContent-Length: 4\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a line that ends with a line feed only",
     GET "X: a\nContent-Length: 4\r\n\r\n", FRAMING_AMBIGUOUS, 0},
    {"a line without a colon", GET "Content-Length\r\n\r\n", FRAMING_AMBIGUOUS,
     0},
    {"another coding", GET "Transfer-Encoding: gzip\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"chunked after another coding",
     GET "Transfer-Encoding: gzip, chunked\r\n\r\n", FRAMING_AMBIGUOUS, 0},
    {"chunked before another coding",
     GET "Transfer-Encoding: chunked, identity\r\n\r\n", FRAMING_AMBIGUOUS, 0},
    {"chunked twice", GET "Transfer-Encoding: chunked, chunked\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"chunked in two fields",
     GET "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a parameter of chunked", GET "Transfer-Encoding: chunked;a=b\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"chunks in HTTP/1.0",
     "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
     FRAMING_AMBIGUOUS, 0},
    {"a head without its end", GET "Content-Length: 4\r\n", FRAMING_AMBIGUOUS,
     0},
};

START_TEST(test_head_with_two_readings_is_refused)
{
    const framing_case_t *test = &cases[_i];
    uint64_t length_bytes = 0;
    framing_t framing =
        framing_of_request(test->head, strlen(test->head), &length_bytes);

    ck_assert_msg(framing == test->expected, "%s: got %d", test->name,
                  (int)framing);
    if (framing == FRAMING_LENGTH) {
        ck_assert_uint_eq(length_bytes, test->length_bytes);
    }
}
END_TEST

/* Replaces, removes or repeats bytes of a head. */
static size_t
mutate(char *head, size_t count, uint64_t *rng_state)
{
    static const char bytes[] = " \t\r\n:,;+-019xc\v\0\x7f";
    uint64_t changes = 1 + sim_draw(rng_state, 4);

    while (changes > 0 && count > 0) {
        size_t at = sim_draw(rng_state, count);

        changes--;
        switch (sim_draw(rng_state, 3)) {
        case 0:
            head[at] = bytes[sim_draw(rng_state, sizeof(bytes) - 1)];
            break;
        case 1:
            memmove(head + at, head + at + 1, count - at - 1);
            count--;
            break;
        default:
            if (count < HEAD_BYTES_MAX) {
                memmove(head + at + 1, head + at, count - at);
                head[at] = bytes[sim_draw(rng_state, sizeof(bytes) - 1)];
                count++;
            }
            break;
        }
    }
    return count;
}

START_TEST(test_accepted_head_means_the_same_to_a_lenient_reader)
{
    uint64_t rng_state = 20261206;
    uint32_t accepted = 0;
    int i;

    for (i = 0; i < MUTATIONS; i++) {
        const char *from = cases[sim_draw(&rng_state, COUNT(cases))].head;
        char head[HEAD_BYTES_MAX + 1];
        size_t count = strlen(from);
        uint64_t length_bytes;

        memcpy(head, from, count + 1);
        count = mutate(head, count, &rng_state);
        accepted += framing_of_request(head, count, &length_bytes) !=
                    FRAMING_AMBIGUOUS;
        ck_assert_msg(lenient_reader_agrees(head, count),
                      "mutation %d of \"%s\": \"%.*s\"", i, from, (int)count,
                      head);
    }
    ck_assert_uint_gt(accepted, MUTATIONS / 100);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("framing");

    tcase_add_loop_test(tcase, test_head_with_two_readings_is_refused, 0,
                        COUNT(cases));
    tcase_add_test(tcase,
                   test_accepted_head_means_the_same_to_a_lenient_reader);
    return fixture_main("framing", tcase);
}
