/* lenient_reader.c - see lenient_reader.h. */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/arena.h"
#include "http/framing.h"
#include "regress/lenient_reader.h"

typedef struct {
    unsigned lengths;
    unsigned codings;
    bool chunked;
    unsigned long long length;
} reading_t;

/* Returns the text without blanks and control bytes around it. */
static char *
trim(char *text)
{
    char *end = text + strlen(text);

    while (*text != '\0' && ((unsigned char)*text <= ' ' || *text == 0x7f)) {
        text++;
    }
    while (end > text && ((unsigned char)end[-1] <= ' ' || end[-1] == 0x7f)) {
        end--;
    }
    *end = '\0';
    return text;
}

static void
read_line(reading_t *reading, char *line)
{
    char *value = line;
    char *name = strsep(&value, ":");

    if (value == NULL) {
        return;
    }
    name = trim(name);
    value = trim(value);
    if (strcasecmp(name, "content-length") == 0) {
        reading->lengths++;
        value += strcspn(value, "0123456789");
        reading->length = strtoull(value, NULL, 10);
    }
    if (strcasecmp(name, "transfer-encoding") == 0) {
        reading->codings++;
        reading->chunked = strcasestr(value, "chunked") != NULL;
    }
}

/* A NUL byte ends nothing: it is taken for a blank. */
static reading_t
read_head(const char *head, size_t count)
{
    reading_t reading = {0};
    char *text = xcalloc(1, count + 1);
    char *rest = text;
    char *line;
    bool first = true;
    bool empty = true; /* the line so far */
    size_t i;

    for (i = 0; i < count; i++) {
        text[i] = head[i] != '\0' ? head[i] : ' ';
        /* A folded line goes on after a blank; an empty one ends the head. */
        if (i + 1 < count && text[i] == '\n' && !empty && !first &&
            (head[i + 1] == ' ' || head[i + 1] == '\t')) {
            text[i] = ' ';
        }
        first = first && (unsigned char)text[i] <= ' ';
        empty = text[i] == '\n' || (empty && text[i] == '\r');
    }
    first = true;
    while ((line = strsep(&rest, "\n")) != NULL) {
        empty = line[strspn(line, "\r")] == '\0';
        if (empty && !first) {
            break;
        }
        if (!empty && !first) {
            read_line(&reading, line);
        }
        first = first && empty;
    }
    free(text);
    return reading;
}

bool
lenient_reader_agrees(const char *head, size_t count)
{
    uint64_t length_bytes = 0;
    framing_t framing = framing_of_request(head, count, &length_bytes);
    reading_t reading = read_head(head, count);

    switch (framing) {
    case FRAMING_AMBIGUOUS:
        return true;
    case FRAMING_NO_BODY:
        return reading.lengths == 0 && reading.codings == 0;
    case FRAMING_LENGTH:
        return reading.lengths == 1 && reading.codings == 0 &&
               reading.length == length_bytes;
    case FRAMING_CHUNKED:
        return reading.lengths == 0 && reading.codings == 1 && reading.chunked;
    }
    return false;
}
