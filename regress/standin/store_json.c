/* store_json.c - fields of the etcd v3 JSON mapping. */
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#include "regress/standin/store.h"

enum { FIELD_BYTES = 64 };

json_t *
json_field(const json_t *object, const char *snake)
{
    json_t *found = json_object_get(object, snake);
    char camel[FIELD_BYTES];
    size_t at = 0;

    if (found != NULL) {
        return found;
    }
    for (; *snake != '\0' && at + 1 < sizeof(camel); snake++) {
        if (*snake == '_') {
            snake++;
            camel[at++] = (char)toupper((unsigned char)*snake);
        }
        else {
            camel[at++] = *snake;
        }
    }
    camel[at] = '\0';
    return json_object_get(object, camel);
}

int64_t
json_number(const json_t *object, const char *snake)
{
    json_t *field = json_field(object, snake);

    if (json_is_string(field)) {
        return strtoll(json_string_value(field), NULL, 10);
    }
    return json_integer_value(field);
}

const char *
json_text(const json_t *object, const char *snake)
{
    const char *text = json_string_value(json_field(object, snake));

    return text != NULL ? text : "";
}

json_t *
json_int64(int64_t value)
{
    return json_sprintf("%lld", (long long)value);
}

blob_t
json_blob(const json_t *object, const char *snake)
{
    const char *text = json_text(object, snake);
    size_t length = strlen(text);
    blob_t blob = {calloc(1, length + 4), 0};
    int decoded;

    decoded = EVP_DecodeBlock((unsigned char *)blob.bytes,
                              (const unsigned char *)text, (int)length);
    if (decoded <= 0) {
        return blob;
    }
    blob.length = (size_t)decoded;
    while (length > 0 && text[length - 1] == '=') {
        length--;
        blob.length--;
    }
    blob.bytes[blob.length] = '\0';
    return blob;
}
