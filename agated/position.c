/* position.c - encodes and decodes the ids of server-sent events. */
#include <ctype.h>
#include <errno.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

#include "agated/position.h"

enum {
    TAG_BYTES = 8,
    VARINT_BITS = 7,
    VARINT_CONTINUATION = 0x80,
    VARINT_MAX_BYTES = 5,
    LOCATION_MAX_BYTES = 2 * (LINK_NAME_MAX + VARINT_MAX_BYTES) +
                         3 * VARINT_MAX_BYTES + sizeof(uint64_t),
    PAYLOAD_MAX_BYTES = (POSITION_TAIL_MAX + 2) * VARINT_MAX_BYTES +
                        LOCATION_MAX_BYTES + TAG_BYTES,
    DECIMAL = 10,
};

static const char base64url_alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/* The part of a payload that is not decoded yet. */
typedef struct {
    const uint8_t *bytes;
    size_t length;
    arena_t *arena;
} payload_reader_t;

static size_t put_varint(uint8_t *bytes, uint32_t number);
static size_t get_varint(const uint8_t *bytes, size_t length,
                         uint32_t *number);
static size_t put_location(uint8_t *bytes, const stream_location_t *location);
static size_t put_string(uint8_t *bytes, const char *string);
static bool read_location(payload_reader_t *reader,
                          stream_location_t *location);
static bool read_hash(payload_reader_t *reader, uint64_t *hash);
static bool read_varint(payload_reader_t *reader, uint32_t *number);
static bool read_string(payload_reader_t *reader, char **string);
static void compute_tag(const position_key_t *key, const char *name,
                        size_t name_length, uint32_t position,
                        const uint8_t *bytes, size_t length, uint8_t *tag);
static void encode_base64url(const uint8_t *bytes, size_t length, text_t *out);
static size_t decode_base64url(const char *text, uint8_t *bytes,
                               size_t capacity);
static bool decode_payload(const uint8_t *bytes, size_t length, arena_t *arena,
                           position_t *position);

void
position_key(position_key_t *key, const uint8_t *secret, size_t bytes)
{
    static const char purpose[] = "agatevale event id";

    (void)HMAC(EVP_sha256(), secret, (int)bytes,
               (const unsigned char *)purpose, sizeof(purpose) - 1, key->bytes,
               NULL);
}

void
position_encode(const position_key_t *key, const char *name,
                const position_t *position, text_t *out)
{
    uint8_t payload[PAYLOAD_MAX_BYTES];
    size_t length = 0;

    text_puts(out, name);
    text_puts(out, ".");
    text_u64(out, position->position);
    if (position->attempt == 0 || position->tail_count > POSITION_TAIL_MAX) {
        return;
    }
    length += put_varint(payload, position->attempt);
    length += put_location(payload + length, &position->location);
    memcpy(payload + length, &position->hash, sizeof(position->hash));
    length += sizeof(position->hash);
    length += put_varint(payload + length, position->tail_from);
    for (uint32_t i = 0; i < position->tail_count; i++) {
        length += put_varint(payload + length, position->tail_ids[i]);
    }
    compute_tag(key, name, strlen(name), position->position, payload, length,
                payload + length);
    text_puts(out, "~");
    encode_base64url(payload, length + TAG_BYTES, out);
}

bool
position_decode(const position_key_t *key, const char *id, arena_t *arena,
                position_t *position, size_t *name_length)
{
    const char *encoded = strchr(id, '~');
    size_t length = encoded == NULL ? strlen(id) : (size_t)(encoded - id);
    const char *dot = memrchr(id, '.', length);
    uint8_t bytes[PAYLOAD_MAX_BYTES];
    uint8_t tag[TAG_BYTES];
    unsigned long long number;
    size_t decoded;
    char *end;

    memset(position, 0, sizeof(*position));
    position->location.runner = (char *)"";
    position->location.stream_name = (char *)"";
    if (dot == NULL || !isdigit((unsigned char)dot[1])) {
        return false;
    }
    errno = 0;
    number = strtoull(dot + 1, &end, DECIMAL);
    if (errno != 0 || end != id + length || number > UINT32_MAX) {
        return false;
    }
    position->position = (uint32_t)number;
    *name_length = (size_t)(dot - id);
    if (encoded == NULL) {
        return true;
    }
    decoded = decode_base64url(encoded + 1, bytes, sizeof(bytes));
    if (decoded < TAG_BYTES) {
        return false;
    }
    compute_tag(key, id, *name_length, position->position, bytes,
                decoded - TAG_BYTES, tag);
    return CRYPTO_memcmp(tag, bytes + decoded - TAG_BYTES, TAG_BYTES) == 0 &&
           decode_payload(bytes, decoded - TAG_BYTES, arena, position);
}

static bool
decode_payload(const uint8_t *bytes, size_t length, arena_t *arena,
               position_t *position)
{
    uint32_t *ids = arena_array(arena, length, sizeof(*ids));
    payload_reader_t reader = {bytes, length, arena};

    if (!read_varint(&reader, &position->attempt) ||
        !read_location(&reader, &position->location) ||
        !read_hash(&reader, &position->hash) ||
        !read_varint(&reader, &position->tail_from)) {
        return false;
    }
    while (reader.length > 0) {
        if (!read_varint(&reader, &ids[position->tail_count])) {
            return false;
        }
        position->tail_count++;
    }
    position->tail_ids = ids;
    return position->tail_from + position->tail_count == position->position;
}

static size_t
put_location(uint8_t *bytes, const stream_location_t *location)
{
    size_t length = put_string(bytes, location->runner);

    length += put_string(bytes + length, location->stream_name);
    length += put_varint(bytes + length, location->endpoint);
    length += put_varint(bytes + length, location->first);
    length += put_varint(bytes + length, location->prompt_tokens);
    return length;
}

static size_t
put_string(uint8_t *bytes, const char *string)
{
    size_t length = strnlen(string, LINK_NAME_MAX);
    size_t used = put_varint(bytes, (uint32_t)length);

    memcpy(bytes + used, string, length);
    return used + length;
}

static bool
read_location(payload_reader_t *reader, stream_location_t *location)
{
    return read_string(reader, &location->runner) &&
           read_string(reader, &location->stream_name) &&
           read_varint(reader, &location->endpoint) &&
           read_varint(reader, &location->first) &&
           read_varint(reader, &location->prompt_tokens);
}

static bool
read_hash(payload_reader_t *reader, uint64_t *hash)
{
    if (reader->length < sizeof(*hash)) {
        return false;
    }
    memcpy(hash, reader->bytes, sizeof(*hash));
    reader->bytes += sizeof(*hash);
    reader->length -= sizeof(*hash);
    return true;
}

static bool
read_string(payload_reader_t *reader, char **string)
{
    uint32_t length;

    if (!read_varint(reader, &length) || length > reader->length ||
        length > LINK_NAME_MAX) {
        return false;
    }
    *string =
        arena_strndup(reader->arena, (const char *)reader->bytes, length);
    reader->bytes += length;
    reader->length -= length;
    return true;
}

static bool
read_varint(payload_reader_t *reader, uint32_t *number)
{
    size_t used = get_varint(reader->bytes, reader->length, number);

    reader->bytes += used;
    reader->length -= used;
    return used > 0;
}

static size_t
put_varint(uint8_t *bytes, uint32_t number)
{
    size_t length = 0;

    while (number >= VARINT_CONTINUATION) {
        bytes[length++] = (uint8_t)(number | VARINT_CONTINUATION);
        number >>= VARINT_BITS;
    }
    bytes[length++] = (uint8_t)number;
    return length;
}

/* Returns the length of the encoded number, or 0 if it is invalid. */
static size_t
get_varint(const uint8_t *bytes, size_t length, uint32_t *number)
{
    uint64_t value = 0;

    for (size_t i = 0; i < length && i < VARINT_MAX_BYTES; i++) {
        value |= (uint64_t)(bytes[i] & (VARINT_CONTINUATION - 1))
                 << (i * VARINT_BITS);
        if ((bytes[i] & VARINT_CONTINUATION) == 0) {
            *number = (uint32_t)value;
            return value > UINT32_MAX ? 0 : i + 1;
        }
    }
    return 0;
}

static void
compute_tag(const position_key_t *key, const char *name, size_t name_length,
            uint32_t position, const uint8_t *bytes, size_t length,
            uint8_t *tag)
{
    uint8_t digest[EVP_MAX_MD_SIZE];
    uint8_t input[PAYLOAD_MAX_BYTES + LINK_NAME_MAX + VARINT_MAX_BYTES + 1];
    size_t used = 0;

    if (name_length > LINK_NAME_MAX) {
        name_length = LINK_NAME_MAX;
    }
    input[used++] = (uint8_t)name_length;
    memcpy(input + used, name, name_length);
    used += name_length;
    used += put_varint(input + used, position);
    memcpy(input + used, bytes, length);
    used += length;
    (void)HMAC(EVP_sha256(), key->bytes, sizeof(key->bytes), input, used,
               digest, NULL);
    memcpy(tag, digest, TAG_BYTES);
}

static void
encode_base64url(const uint8_t *bytes, size_t length, text_t *out)
{
    char text[PAYLOAD_MAX_BYTES / 3 * 4 + 4];
    size_t used = 0;
    uint32_t bits = 0;
    int bit_count = 0;

    for (size_t i = 0; i < length; i++) {
        bits = bits << 8 | bytes[i];
        bit_count += 8;
        while (bit_count >= 6) {
            bit_count -= 6;
            text[used++] = base64url_alphabet[bits >> bit_count & 63];
        }
    }
    if (bit_count > 0) {
        text[used++] = base64url_alphabet[bits << (6 - bit_count) & 63];
    }
    text_append(out, text, used);
}

/*
 * Returns the number of decoded bytes, or 0 if the text is not valid base64url
 * or exceeds the capacity.
 */
static size_t
decode_base64url(const char *text, uint8_t *bytes, size_t capacity)
{
    size_t used = 0;
    uint32_t bits = 0;
    int bit_count = 0;

    for (; *text != '\0'; text++) {
        const char *match = strchr(base64url_alphabet, *text);

        if (match == NULL || used == capacity) {
            return 0;
        }
        bits = bits << 6 | (uint32_t)(match - base64url_alphabet);
        bit_count += 6;
        if (bit_count >= 8) {
            bit_count -= 8;
            bytes[used++] = (uint8_t)(bits >> bit_count);
        }
    }
    return used;
}
