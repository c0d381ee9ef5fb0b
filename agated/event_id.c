/* event_id.c - see event_id.h. */
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "agated/event_id.h"

enum {
    NAME_MAX_BYTES = 96,
    DECIMAL = 10,
    VARINT_BITS = 7,
    VARINT_MORE = 0x80,
    VARINT_MASK = 0x7f,
    VARINT_BYTES_MAX = 5,
    SEXTET_BITS = 6,
    SEXTET_MASK = 0x3f,
    BYTE_BITS = 8,
    BYTE_MASK = 0xff
};

static const char sextets[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

static size_t write_varint(uint32_t number, unsigned char *bytes);
static void write_sextets(const unsigned char *bytes, size_t length,
                          text_t *out);
static bool read_number(const char *text, size_t length, uint32_t *number);
static bool read_tail(arena_t *arena, const char *text, event_id_t *id);
static bool read_sextets(const char *text, unsigned char *bytes,
                         size_t *length);

void
event_id_suffix(const event_id_t *id, text_t *out)
{
    unsigned char bytes[EVENT_ID_TAIL_MAX * VARINT_BYTES_MAX];
    size_t length = 0;
    uint32_t i;

    if (id->attempt == 0) {
        return;
    }
    text_puts(out, "~");
    text_u64(out, id->attempt);
    if (id->tail_count == 0 || id->tail_count > EVENT_ID_TAIL_MAX) {
        return;
    }
    for (i = 0; i < id->tail_count; i++) {
        length += write_varint(id->tail_ids[i], bytes + length);
    }
    text_puts(out, "~");
    write_sextets(bytes, length, out);
}

bool
event_id_read(arena_t *arena, const char *text, event_id_t *id)
{
    size_t head = strcspn(text, "~");
    const char *rest = text + head;
    size_t name = head;

    memset(id, 0, sizeof(*id));
    while (name > 0 && text[name - 1] != '.') {
        name--;
    }
    if (name == 0 || !event_id_is_name(text, name - 1) ||
        !read_number(text + name, head - name, &id->position)) {
        return false;
    }
    id->name = arena_strndup(arena, text, name - 1);
    if (*rest == '\0') {
        return true;
    }
    rest++;
    head = strcspn(rest, "~");
    if (!read_number(rest, head, &id->attempt)) {
        return false;
    }
    return rest[head] == '\0' || read_tail(arena, rest + head + 1, id);
}

bool
event_id_is_name(const char *text, size_t length)
{
    size_t i;

    for (i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            (text[i] == '\0' || strchr("-_.:", text[i]) == NULL)) {
            return false;
        }
    }
    return length > 0 && length <= NAME_MAX_BYTES;
}

static size_t
write_varint(uint32_t number, unsigned char *bytes)
{
    size_t length = 0;

    while (number > VARINT_MASK) {
        bytes[length++] = (unsigned char)(number & VARINT_MASK) | VARINT_MORE;
        number >>= VARINT_BITS;
    }
    bytes[length++] = (unsigned char)number;
    return length;
}

static void
write_sextets(const unsigned char *bytes, size_t length, text_t *out)
{
    uint32_t held = 0;
    uint32_t bits = 0;
    size_t i;

    for (i = 0; i < length; i++) {
        held = (held << BYTE_BITS) | bytes[i];
        bits += BYTE_BITS;
        while (bits >= SEXTET_BITS) {
            bits -= SEXTET_BITS;
            text_append(out, &sextets[(held >> bits) & SEXTET_MASK], 1);
        }
    }
    if (bits > 0) {
        text_append(out,
                    &sextets[(held << (SEXTET_BITS - bits)) & SEXTET_MASK], 1);
    }
}

static bool
read_number(const char *text, size_t length, uint32_t *number)
{
    uint64_t value = 0;
    size_t i;

    for (i = 0; i < length; i++) {
        if (!isdigit((unsigned char)text[i])) {
            return false;
        }
        value = value * DECIMAL + (uint64_t)(text[i] - '0');
        if (value > UINT32_MAX) {
            return false;
        }
    }
    *number = (uint32_t)value;
    return length > 0;
}

static bool
read_tail(arena_t *arena, const char *text, event_id_t *id)
{
    size_t length = strlen(text);
    unsigned char *bytes = arena_alloc(arena, length + 1);
    uint32_t *ids = arena_array(arena, EVENT_ID_TAIL_MAX, sizeof(*ids));
    uint32_t shift = 0;
    uint64_t number = 0;
    uint32_t count = 0;
    size_t i;

    if (length == 0 || !read_sextets(text, bytes, &length)) {
        return false;
    }
    for (i = 0; i < length; i++) {
        number |= (uint64_t)(bytes[i] & VARINT_MASK) << shift;
        shift += VARINT_BITS;
        if (number > UINT32_MAX || shift > VARINT_BITS * VARINT_BYTES_MAX ||
            count == EVENT_ID_TAIL_MAX) {
            return false;
        }
        if ((bytes[i] & VARINT_MORE) == 0) {
            ids[count++] = (uint32_t)number;
            number = 0;
            shift = 0;
        }
    }
    id->tail_ids = ids;
    id->tail_count = count;
    return shift == 0 && count <= id->position;
}

/* Bits that do not fill a byte are padding, and 0. */
static bool
read_sextets(const char *text, unsigned char *bytes, size_t *length)
{
    uint32_t held = 0;
    uint32_t bits = 0;
    size_t count = 0;

    for (; *text != '\0'; text++) {
        const char *found = strchr(sextets, *text);

        if (found == NULL) {
            return false;
        }
        held = (held << SEXTET_BITS) | (uint32_t)(found - sextets);
        bits += SEXTET_BITS;
        if (bits >= BYTE_BITS) {
            bits -= BYTE_BITS;
            bytes[count++] = (unsigned char)((held >> bits) & BYTE_MASK);
        }
    }
    *length = count;
    return bits < SEXTET_BITS && (held & ((1U << bits) - 1)) == 0;
}
