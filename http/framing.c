/* framing.c - see framing.h. */
#include <string.h>
#include <strings.h>

#include "http/framing.h"

enum { LENGTH_DIGITS_MAX = 18, DECIMAL = 10 };

static const char length_name[] = "content-length";
static const char coding_name[] = "transfer-encoding";
static const char chunked[] = "chunked";

static bool is_token_char(unsigned char byte);
static bool has_control_byte(const char *bytes, size_t count);
static bool name_is(const char *name, size_t name_bytes, const char *wanted);
static void add_length(framing_fields_t *fields, const char *value,
                       size_t value_bytes);
static bool is_http_1_0(const char *line, size_t line_bytes);

/* A line that starts with a blank continues the one before it. */
void
framing_add_line(framing_fields_t *fields, const char *line, size_t line_bytes)
{
    const char *colon = memchr(line, ':', line_bytes);
    size_t name_bytes = colon != NULL ? (size_t)(colon - line) : 0;
    const char *value;
    size_t value_bytes;
    size_t i;

    if (name_bytes == 0 || has_control_byte(line, line_bytes)) {
        fields->odd = true;
        return;
    }
    for (i = 0; i < name_bytes; i++) {
        if (!is_token_char((unsigned char)line[i])) {
            fields->odd = true;
            return;
        }
    }
    value = colon + 1;
    value_bytes = line_bytes - name_bytes - 1;
    while (value_bytes > 0 && (*value == ' ' || *value == '\t')) {
        value++;
        value_bytes--;
    }
    while (value_bytes > 0 &&
           (value[value_bytes - 1] == ' ' || value[value_bytes - 1] == '\t')) {
        value_bytes--;
    }
    if (name_is(line, name_bytes, length_name)) {
        add_length(fields, value, value_bytes);
    }
    if (name_is(line, name_bytes, coding_name)) {
        fields->codings++;
        fields->odd = fields->odd || !name_is(value, value_bytes, chunked);
    }
}

framing_t
framing_result(const framing_fields_t *fields, bool http_1_0)
{
    if (fields->odd || fields->lengths + fields->codings > 1 ||
        (fields->codings > 0 && http_1_0)) {
        return FRAMING_AMBIGUOUS;
    }
    return fields->codings > 0   ? FRAMING_CHUNKED
           : fields->lengths > 0 ? FRAMING_LENGTH
                                 : FRAMING_NO_BODY;
}

framing_t
framing_of_request(const char *bytes, size_t count, uint64_t *length_bytes)
{
    framing_fields_t fields = {0};
    const char *end = bytes + count;
    bool has_request_line = false;
    bool http_1_0 = false;

    while (end - bytes >= 2 && bytes[0] == '\r' && bytes[1] == '\n') {
        bytes += 2;
    }
    while (bytes < end) {
        const char *newline = memchr(bytes, '\n', (size_t)(end - bytes));
        size_t line_bytes;

        if (newline == NULL || newline == bytes || newline[-1] != '\r') {
            return FRAMING_AMBIGUOUS;
        }
        line_bytes = (size_t)(newline - bytes) - 1;
        if (!has_request_line) {
            has_request_line = true;
            http_1_0 = is_http_1_0(bytes, line_bytes);
            fields.odd = has_control_byte(bytes, line_bytes);
        }
        else if (line_bytes == 0) {
            *length_bytes = fields.length_bytes;
            return framing_result(&fields, http_1_0);
        }
        else {
            framing_add_line(&fields, bytes, line_bytes);
        }
        bytes = newline + 1;
    }
    return FRAMING_AMBIGUOUS;
}

/* RFC 9110, section 5.6.2. */
static bool
is_token_char(unsigned char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

static bool
has_control_byte(const char *bytes, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        unsigned char byte = (unsigned char)bytes[i];

        if ((byte < ' ' && byte != '\t') || byte == 0x7f) {
            return true;
        }
    }
    return false;
}

static bool
name_is(const char *name, size_t name_bytes, const char *wanted)
{
    return name_bytes == strlen(wanted) &&
           strncasecmp(name, wanted, name_bytes) == 0;
}

static void
add_length(framing_fields_t *fields, const char *value, size_t value_bytes)
{
    size_t i;

    fields->lengths++;
    fields->length_bytes = 0;
    if (value_bytes == 0 || value_bytes > LENGTH_DIGITS_MAX) {
        fields->odd = true;
        return;
    }
    for (i = 0; i < value_bytes; i++) {
        if (value[i] < '0' || value[i] > '9') {
            fields->odd = true;
            return;
        }
        fields->length_bytes =
            fields->length_bytes * DECIMAL + (uint64_t)(value[i] - '0');
    }
}

static bool
is_http_1_0(const char *line, size_t line_bytes)
{
    static const char version[] = "HTTP/1.0";
    size_t length = strlen(version);

    return line_bytes >= length &&
           memcmp(line + line_bytes - length, version, length) == 0;
}
