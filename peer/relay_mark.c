/* relay_mark.c - headers of a request that one host relays to another. */
#include <string.h>

#include <openssl/crypto.h>

#include "base/text.h"
#include "peer/relay_mark.h"

const char relay_mark_host_header[] = "X-Relayed-By";
const char relay_mark_host_header_lower[] = "x-relayed-by";
const char relay_mark_tag_header[] = "X-Relay-Tag";
const char relay_mark_grant_header[] = "X-Relay-Grant";
const char relay_mark_grant_tag_header[] = "X-Relay-Grant-Tag";

/* Keeps a tag from being valid for a message between hosts. */
static const char tag_context[] = "agatevale relayed request";

static void append_field(text_t *input, const char *field);

bool
relay_mark_write_tag(wire_key_t key, const relay_mark_t *mark,
                     char tag[RELAY_TAG_TEXT_BYTES])
{
    static const char digits[] = "0123456789abcdef";
    uint8_t bytes[PEER_TAG_BYTES];
    text_t input = {0};
    bool computed;
    size_t i;

    if (key.count == 0) {
        return false;
    }
    append_field(&input, tag_context);
    append_field(&input, mark->host);
    append_field(&input, mark->request_id);
    append_field(&input, mark->path);
    if (mark->grant != NULL) {
        append_field(&input, mark->grant);
    }
    computed = wire_compute_tag(key, (const uint8_t *)input.bytes,
                                input.length, bytes);
    text_free(&input);
    for (i = 0; i < sizeof(bytes); i++) {
        tag[2 * i] = digits[bytes[i] >> 4];
        tag[2 * i + 1] = digits[bytes[i] & 0xf];
    }
    tag[RELAY_TAG_TEXT_BYTES - 1] = '\0';
    return computed;
}

bool
relay_mark_is_valid(wire_key_t key, const relay_mark_t *mark, const char *tag)
{
    char expected[RELAY_TAG_TEXT_BYTES];

    return strlen(tag) == RELAY_TAG_TEXT_BYTES - 1 &&
           relay_mark_write_tag(key, mark, expected) &&
           CRYPTO_memcmp(tag, expected, RELAY_TAG_TEXT_BYTES - 1) == 0;
}

/* The NUL is included: it separates the fields, which contain none. */
static void
append_field(text_t *input, const char *field)
{
    text_append(input, field, strlen(field) + 1);
}
