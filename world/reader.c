/* reader.c - see reader.h. */
#include <arpa/inet.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world/reader.h"

enum { NAME_BYTES_MAX = 128, DIGEST_DIGITS = 64, PORT_MAX = 65535 };
enum { ADDRESS_BYTES = 64, KEY_LIST_BYTES = 200 };

_Static_assert(sizeof(field_type_t) == sizeof(uint32_t),
               "FIELD_CHOICE stores an enum as a uint32_t");

static int read_table(const reader_t *reader, const shape_t *shape,
                      const toml_value_t *table, void *into);

int
reader_fail(const reader_t *reader, uint32_t line, const char *format, ...)
{
    char text[ERR_MESSAGE_BYTES];
    va_list args;

    va_start(args, format);
    (void)vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    return err_set(reader->err, ERR_DOCUMENT, "%s:%u: %s", reader->name, line,
                   text);
}

static const char *
type_name(toml_type_t type)
{
    switch (type) {
    case TOML_TABLE:
        return "a table";
    case TOML_ARRAY:
        return "a list";
    case TOML_STRING:
        return "a string";
    case TOML_INTEGER:
        return "a whole number";
    case TOML_FLOAT:
        return "a fraction";
    case TOML_BOOLEAN:
        return "true or false";
    case TOML_OTHER:
        break;
    }
    return "a date or a time";
}

static int
check_type(const reader_t *reader, const field_t *field,
           const toml_value_t *value, toml_type_t type)
{
    if (value->type == type) {
        return 0;
    }
    return reader_fail(reader, value->line, "%s is %s, not %s: write %s",
                       field->key, type_name(value->type), type_name(type),
                       field->example);
}

/* The struct's member; pointers of every type have one representation. */
static void *
member(void *into, size_t offset)
{
    return (char *)into + offset;
}

static void
store_string(void *into, const field_t *field, const char *string)
{
    memcpy(member(into, field->offset), &string, sizeof(string));
}

static void
store_array(void *into, const field_t *field, void *array, size_t count)
{
    memcpy(member(into, field->offset), &array, sizeof(array));
    memcpy(member(into, field->count_offset), &count, sizeof(count));
}

static int
check_name(const reader_t *reader, const field_t *field,
           const toml_value_t *value, const char *extra)
{
    const char *at;

    if (value->string[0] == '\0') {
        return reader_fail(reader, value->line, "%s is empty: write %s",
                           field->key, field->example);
    }
    if (strlen(value->string) > NAME_BYTES_MAX) {
        return reader_fail(reader, value->line,
                           "%s is longer than %d bytes: write a shorter one",
                           field->key, NAME_BYTES_MAX);
    }
    for (at = value->string; *at != '\0'; at++) {
        if (isalnum((unsigned char)*at) || strchr(extra, *at) != NULL) {
            continue;
        }
        return reader_fail(reader, value->line,
                           "%s holds a character other than letters, digits "
                           "and %s: write %s",
                           field->key, extra, field->example);
    }
    return 0;
}

static int
read_name(const reader_t *reader, const field_t *field,
          const toml_value_t *value, const char *extra, void *into)
{
    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    /* An optional name may be given as empty, which is to leave it out. */
    if (value->string[0] == '\0' && !field->required) {
        return 0;
    }
    if (check_name(reader, field, value, extra) < 0) {
        return -1;
    }
    store_string(into, field, value->string);
    return 0;
}

/* Splits "ip:port" or "[ip]:port"; the address has to be a number. */
static bool
is_address(const char *text)
{
    char host[ADDRESS_BYTES];
    unsigned char binary[sizeof(struct in6_addr)];
    const char *colon = strrchr(text, ':');
    char *end;
    size_t length;
    long port;

    if (colon == NULL || !isdigit((unsigned char)colon[1])) {
        return false;
    }
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || port < 1 || port > PORT_MAX) {
        return false;
    }
    length = (size_t)(colon - text);
    if (length < 2 || length >= sizeof(host)) {
        return false;
    }
    if (text[0] == '[' && text[length - 1] == ']') {
        memcpy(host, text + 1, length - 2);
        host[length - 2] = '\0';
        return inet_pton(AF_INET6, host, binary) == 1;
    }
    memcpy(host, text, length);
    host[length] = '\0';
    return inet_pton(AF_INET, host, binary) == 1;
}

static int
read_address(const reader_t *reader, const field_t *field,
             const toml_value_t *value, void *into)
{
    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    if (!is_address(value->string)) {
        return reader_fail(reader, value->line,
                           "%s is no IP address with a port: write %s",
                           field->key, field->example);
    }
    store_string(into, field, value->string);
    return 0;
}

static int
read_count(const reader_t *reader, const field_t *field,
           const toml_value_t *value, void *into)
{
    uint32_t count;

    if (check_type(reader, field, value, TOML_INTEGER) < 0) {
        return -1;
    }
    if (value->integer < field->least || value->integer > field->most) {
        return reader_fail(reader, value->line,
                           "%s = %lld is out of range: write a number from "
                           "%u to %u",
                           field->key, (long long)value->integer, field->least,
                           field->most);
    }
    count = (uint32_t)value->integer;
    memcpy(member(into, field->offset), &count, sizeof(count));
    return 0;
}

static int
read_flag(const reader_t *reader, const field_t *field,
          const toml_value_t *value, void *into)
{
    if (check_type(reader, field, value, TOML_BOOLEAN) < 0) {
        return -1;
    }
    memcpy(member(into, field->offset), &value->boolean,
           sizeof(value->boolean));
    return 0;
}

static int
read_choice(const reader_t *reader, const field_t *field,
            const toml_value_t *value, void *into)
{
    char list[KEY_LIST_BYTES] = "";
    uint32_t index;
    size_t used = 0;

    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    for (index = 0; field->choices[index] != NULL; index++) {
        if (strcmp(field->choices[index], value->string) == 0) {
            memcpy(member(into, field->offset), &index, sizeof(index));
            return 0;
        }
        used +=
            (size_t)snprintf(list + used, sizeof(list) - used, "%s\"%s\"",
                             index == 0 ? "" : " or ", field->choices[index]);
    }
    return reader_fail(reader, value->line, "unknown %s \"%.40s\": write %s",
                       field->key, value->string, list);
}

static size_t
child_count(const toml_value_t *value)
{
    const toml_value_t *child;
    size_t count = 0;

    for (child = value->children; child != NULL; child = child->next) {
        count++;
    }
    return count;
}

static int
check_digest(const reader_t *reader, const field_t *field,
             const toml_value_t *value)
{
    if (strlen(value->string) == DIGEST_DIGITS &&
        strspn(value->string, "0123456789abcdef") == DIGEST_DIGITS) {
        return 0;
    }
    return reader_fail(reader, value->line,
                       "%s is no SHA-256 of a key: write its %d hexadecimal "
                       "digits in small letters",
                       field->key, DIGEST_DIGITS);
}

static int
check_element(const reader_t *reader, const field_t *field,
              const toml_value_t *value)
{
    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    if (field->type == FIELD_DIGESTS) {
        return check_digest(reader, field, value);
    }
    return check_name(reader, field, value, "._-/:@");
}

static int
read_strings(const reader_t *reader, const field_t *field,
             const toml_value_t *value, void *into)
{
    const toml_value_t *child;
    const char **strings;
    size_t count = 0;

    if (check_type(reader, field, value, TOML_ARRAY) < 0) {
        return -1;
    }
    if (field->required && value->children == NULL) {
        return reader_fail(reader, value->line, "%s is empty: write %s",
                           field->key, field->example);
    }
    strings = arena_array(reader->arena, child_count(value), sizeof(*strings));
    for (child = value->children; child != NULL; child = child->next) {
        if (check_element(reader, field, child) < 0) {
            return -1;
        }
        strings[count++] = child->string;
    }
    store_array(into, field, strings, count);
    return 0;
}

static int
read_tables(const reader_t *reader, const field_t *field,
            const toml_value_t *value, void *into)
{
    const toml_value_t *child;
    size_t count = 0;
    char *items;

    if (value->type != TOML_ARRAY || value->children == NULL) {
        return reader_fail(reader, value->line,
                           "%s is no list of tables: write %s above each",
                           field->key, field->example);
    }
    items =
        arena_array(reader->arena, child_count(value), field->shape->bytes);
    for (child = value->children; child != NULL; child = child->next) {
        if (child->type != TOML_TABLE) {
            return reader_fail(reader, child->line,
                               "%s is no list of tables: write %s above each",
                               field->key, field->example);
        }
        if (read_table(reader, field->shape, child,
                       items + count * field->shape->bytes) < 0) {
            return -1;
        }
        count++;
    }
    store_array(into, field, items, count);
    return 0;
}

static int
read_field(const reader_t *reader, const field_t *field,
           const toml_value_t *value, void *into)
{
    switch (field->type) {
    case FIELD_NAME:
        return read_name(reader, field, value, "._-", into);
    case FIELD_MODEL:
        return read_name(reader, field, value, "._-/:@", into);
    case FIELD_ADDRESS:
        return read_address(reader, field, value, into);
    case FIELD_COUNT:
        return read_count(reader, field, value, into);
    case FIELD_FLAG:
        return read_flag(reader, field, value, into);
    case FIELD_CHOICE:
        return read_choice(reader, field, value, into);
    case FIELD_MODELS:
    case FIELD_DIGESTS:
        return read_strings(reader, field, value, into);
    case FIELD_TABLES:
        break;
    }
    return read_tables(reader, field, value, into);
}

static void
store_fallback(const field_t *field, void *into)
{
    bool flag = field->fallback != 0;

    if (field->type == FIELD_COUNT) {
        memcpy(member(into, field->offset), &field->fallback,
               sizeof(field->fallback));
    }
    else if (field->type == FIELD_FLAG) {
        memcpy(member(into, field->offset), &flag, sizeof(flag));
    }
    else if (field->type == FIELD_NAME || field->type == FIELD_MODEL) {
        store_string(into, field, "");
    }
}

static int
refuse_unknown(const reader_t *reader, const shape_t *shape,
               const toml_value_t *value)
{
    char list[KEY_LIST_BYTES] = "";
    size_t used = 0;
    size_t i;

    for (i = 0; i < shape->field_count && used < sizeof(list); i++) {
        used += (size_t)snprintf(list + used, sizeof(list) - used, "%s%s",
                                 i == 0 ? "" : ", ", shape->fields[i].key);
    }
    return reader_fail(reader, value->line,
                       "unknown key \"%.40s\" in %s: write one of %s",
                       value->key, shape->title, list);
}

static int
check_known(const reader_t *reader, const shape_t *shape,
            const toml_value_t *table)
{
    const toml_value_t *child;
    size_t i;

    for (child = table->children; child != NULL; child = child->next) {
        for (i = 0; i < shape->field_count; i++) {
            if (strcmp(shape->fields[i].key, child->key) == 0) {
                break;
            }
        }
        if (i == shape->field_count) {
            return refuse_unknown(reader, shape, child);
        }
    }
    return 0;
}

static int
read_table(const reader_t *reader, const shape_t *shape,
           const toml_value_t *table, void *into)
{
    const toml_value_t *value;
    const field_t *field;

    if (check_known(reader, shape, table) < 0) {
        return -1;
    }
    memcpy(member(into, shape->line_offset), &table->line,
           sizeof(table->line));
    for (field = shape->fields; field < shape->fields + shape->field_count;
         field++) {
        store_fallback(field, into);
        value = toml_get(table, field->key);
        if (value == NULL && field->required) {
            return reader_fail(reader, table->line, "%s has no %s: write %s",
                               shape->title, field->key, field->example);
        }
        if (value != NULL && read_field(reader, field, value, into) < 0) {
            return -1;
        }
    }
    return 0;
}

void *
reader_parse(const reader_t *reader, const shape_t *shape, const char *text,
             size_t length)
{
    toml_value_t *root;
    void *into;

    root = toml_parse(reader->arena, reader->name, text, length, reader->err);
    if (root == NULL) {
        if (reader->err != NULL) {
            reader->err->kind = ERR_DOCUMENT;
        }
        return NULL;
    }
    into = arena_alloc(reader->arena, shape->bytes);
    if (read_table(reader, shape, root, into) < 0) {
        return NULL;
    }
    return into;
}

static int
compare_values(const void *left, const void *right)
{
    const reader_value_t *a = left;
    const reader_value_t *b = right;
    int order = strcmp(a->value, b->value);

    if (order != 0) {
        return order;
    }
    return (a->line > b->line) - (a->line < b->line);
}

int
reader_unique(const reader_t *reader, const char *what, reader_value_t *values,
              size_t count)
{
    size_t i;

    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(*values), compare_values);
    for (i = 1; i < count; i++) {
        if (strcmp(values[i - 1].value, values[i].value) == 0) {
            return reader_fail(reader, values[i].line,
                               "%s \"%.64s\" stands on line %u already: "
                               "write another or remove one",
                               what, values[i].value, values[i - 1].line);
        }
    }
    return 0;
}
