/* base64.c - base64 encoding and decoding with OpenSSL. */
#include <limits.h>
#include <string.h>

#include <openssl/evp.h>

#include "kv/base64.h"

enum {
    BASE64_GROUP_BYTES = 3,
    BASE64_GROUP_CHARACTERS = 4,
    BASE64_PADDING_MAX = 2,
};

char *
base64_encode(arena_t *arena, const void *bytes, size_t length)
{
    size_t groups = (length + BASE64_GROUP_BYTES - 1) / BASE64_GROUP_BYTES;
    char *text = arena_alloc(arena, groups * BASE64_GROUP_CHARACTERS + 1);

    (void)EVP_EncodeBlock((unsigned char *)text, bytes, (int)length);
    return text;
}

char *
base64_decode(arena_t *arena, const char *text, size_t *length)
{
    static const char alphabet[] = "abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+/";
    size_t size = strlen(text);
    size_t digits = strspn(text, alphabet);
    size_t padding = strspn(text + digits, "=");
    char *bytes;

    if (size % BASE64_GROUP_CHARACTERS != 0 || size > INT_MAX ||
        digits + padding != size || padding > BASE64_PADDING_MAX) {
        return NULL;
    }
    bytes = arena_alloc(
        arena, size / BASE64_GROUP_CHARACTERS * BASE64_GROUP_BYTES + 1);
    (void)EVP_DecodeBlock((unsigned char *)bytes, (const unsigned char *)text,
                          (int)size);
    *length = size / BASE64_GROUP_CHARACTERS * BASE64_GROUP_BYTES - padding;
    bytes[*length] = '\0';
    return bytes;
}
