/*
 * framing.h - checks that a head of HTTP/1 states the end of its body in one
 * way only (RFC 9112, sections 5 and 6).
 *
 * Two readers of a head may disagree about where the body ends if the length
 * is stated twice, in two ways or in an odd form, or if one of them skips or
 * joins lines that the other does not.  What follows the body for one of them
 * is then a message of its own for the other.  Such a head is refused as a
 * whole; nothing of it is interpreted.
 */
#ifndef HTTP_FRAMING_H
#define HTTP_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    FRAMING_NO_BODY, /* neither a length nor a coding; a response may end with
                        its connection */
    FRAMING_LENGTH,
    FRAMING_CHUNKED,
    FRAMING_AMBIGUOUS,
} framing_t;

/* The fields of a head so far; initialised to zero. */
typedef struct {
    uint32_t lengths;
    uint32_t codings;
    uint64_t length_bytes; /* of the last length */
    bool odd;
} framing_fields_t;

/* Takes a line of a head, without its line end: "NAME:VALUE". */
void framing_add_line(framing_fields_t *fields, const char *line,
                      size_t line_bytes);

/* Returns how the body ends; http_1_0: the head is of HTTP/1.0. */
framing_t framing_result(const framing_fields_t *fields, bool http_1_0);

/*
 * Checks the head of a request.  bytes starts with it, or with empty lines
 * before it.  A head that does not end within count bytes is ambiguous.
 * Stores in *length_bytes the length of the body, if it is stated.
 */
framing_t framing_of_request(const char *bytes, size_t count,
                             uint64_t *length_bytes);

#endif
