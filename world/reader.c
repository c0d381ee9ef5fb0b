/* reader.c - decodes a TOML document into structs, as a schema describes. */
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

static int read_table(const reader_t *reader, const table_schema_t *schema,
                      const toml_value_t *table, void *record);

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
        return "an array";
    case TOML_STRING:
        return "a string";
    case TOML_INTEGER:
        return "an integer";
    case TOML_FLOAT:
        return "a float";
    case TOML_BOOLEAN:
        return "a boolean";
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

/* Callers use memcpy; all pointer types have the same representation. */
static void *
member_at(void *record, size_t offset)
{
    return (char *)record + offset;
}

static void
store_string(void *record, const field_t *field, const char *string)
{
    memcpy(member_at(record, field->offset), &string, sizeof(string));
}

static void
store_array(void *record, const field_t *field, void *array, size_t count)
{
    memcpy(member_at(record, field->offset), &array, sizeof(array));
    memcpy(member_at(record, field->count_offset), &count, sizeof(count));
}

static int
check_name(const reader_t *reader, const field_t *field,
           const toml_value_t *value, const char *punctuation)
{
    const char *c;

    if (value->string[0] == '\0') {
        return reader_fail(reader, value->line, "%s is empty: write %s",
                           field->key, field->example);
    }
    if (strlen(value->string) > NAME_BYTES_MAX) {
        return reader_fail(reader, value->line,
                           "%s is longer than %d bytes: write a shorter one",
                           field->key, NAME_BYTES_MAX);
    }
    for (c = value->string; *c != '\0'; c++) {
        if (isalnum((unsigned char)*c) || strchr(punctuation, *c) != NULL) {
            continue;
        }
        return reader_fail(reader, value->line,
                           "%s contains a character other than letters, "
                           "digits and %s: write %s",
                           field->key, punctuation, field->example);
    }
    return 0;
}

static int
read_name(const reader_t *reader, const field_t *field,
          const toml_value_t *value, const char *punctuation, void *record)
{
    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    /* An empty string means the same as omitting an optional name. */
    if (value->string[0] == '\0' && !field->required) {
        return 0;
    }
    if (check_name(reader, field, value, punctuation) < 0) {
        return -1;
    }
    store_string(record, field, value->string);
    return 0;
}

/* Accepts "ip:port" and "[ip]:port".  Host names are not resolved. */
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
             const toml_value_t *value, void *record)
{
    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    if (!is_address(value->string)) {
        return reader_fail(reader, value->line,
                           "%s is not an IP address with a port: write %s",
                           field->key, field->example);
    }
    store_string(record, field, value->string);
    return 0;
}

static int
read_uint32(const reader_t *reader, const field_t *field,
            const toml_value_t *value, void *record)
{
    uint32_t count;

    if (check_type(reader, field, value, TOML_INTEGER) < 0) {
        return -1;
    }
    if (value->integer < field->min || value->integer > field->max) {
        return reader_fail(reader, value->line,
                           "%s = %lld is out of range: write a number from "
                           "%u to %u",
                           field->key, (long long)value->integer, field->min,
                           field->max);
    }
    count = (uint32_t)value->integer;
    memcpy(member_at(record, field->offset), &count, sizeof(count));
    return 0;
}

static int
read_boolean(const reader_t *reader, const field_t *field,
             const toml_value_t *value, void *record)
{
    if (check_type(reader, field, value, TOML_BOOLEAN) < 0) {
        return -1;
    }
    memcpy(member_at(record, field->offset), &value->boolean,
           sizeof(value->boolean));
    return 0;
}

static int
read_enum(const reader_t *reader, const field_t *field,
          const toml_value_t *value, void *record)
{
    char list[KEY_LIST_BYTES] = "";
    uint32_t index;
    size_t used = 0;

    if (check_type(reader, field, value, TOML_STRING) < 0) {
        return -1;
    }
    for (index = 0; field->enum_names[index] != NULL; index++) {
        if (strcmp(field->enum_names[index], value->string) == 0) {
            memcpy(member_at(record, field->offset), &index, sizeof(index));
            return 0;
        }
        used += (size_t)snprintf(list + used, sizeof(list) - used, "%s\"%s\"",
                                 index == 0 ? "" : " or ",
                                 field->enum_names[index]);
    }
    return reader_fail(reader, value->line, "unknown %s \"%.40s\": write %s",
                       field->key, value->string, list);
}

static size_t
count_children(const toml_value_t *value)
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
                       "%s is not the SHA-256 digest of a key: write its %d "
                       "hexadecimal digits in lower case",
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
read_string_array(const reader_t *reader, const field_t *field,
                  const toml_value_t *value, void *record)
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
    strings =
        arena_array(reader->arena, count_children(value), sizeof(*strings));
    for (child = value->children; child != NULL; child = child->next) {
        if (check_element(reader, field, child) < 0) {
            return -1;
        }
        strings[count++] = child->string;
    }
    store_array(record, field, strings, count);
    return 0;
}

static int
read_table_array(const reader_t *reader, const field_t *field,
                 const toml_value_t *value, void *record)
{
    const toml_value_t *child;
    size_t count = 0;
    char *items;

    if (value->type != TOML_ARRAY || value->children == NULL) {
        return reader_fail(reader, value->line,
                           "%s is not an array of tables: write %s above "
                           "each",
                           field->key, field->example);
    }
    items = arena_array(reader->arena, count_children(value),
                        field->schema->struct_size);
    for (child = value->children; child != NULL; child = child->next) {
        if (child->type != TOML_TABLE) {
            return reader_fail(reader, child->line,
                               "%s is not an array of tables: write %s above "
                               "each",
                               field->key, field->example);
        }
        if (read_table(reader, field->schema, child,
                       items + count * field->schema->struct_size) < 0) {
            return -1;
        }
        count++;
    }
    store_array(record, field, items, count);
    return 0;
}

static int
read_field(const reader_t *reader, const field_t *field,
           const toml_value_t *value, void *record)
{
    switch (field->type) {
    case FIELD_NAME:
        return read_name(reader, field, value, "._-", record);
    case FIELD_MODEL_NAME:
        return read_name(reader, field, value, "._-/:@", record);
    case FIELD_ADDRESS:
        return read_address(reader, field, value, record);
    case FIELD_UINT32:
        return read_uint32(reader, field, value, record);
    case FIELD_BOOLEAN:
        return read_boolean(reader, field, value, record);
    case FIELD_ENUM:
        return read_enum(reader, field, value, record);
    case FIELD_MODEL_NAMES:
    case FIELD_DIGESTS:
        return read_string_array(reader, field, value, record);
    case FIELD_TABLE_ARRAY:
        break;
    }
    return read_table_array(reader, field, value, record);
}

static void
store_default(const field_t *field, void *record)
{
    bool flag = field->default_value != 0;

    if (field->type == FIELD_UINT32) {
        memcpy(member_at(record, field->offset), &field->default_value,
               sizeof(field->default_value));
    }
    else if (field->type == FIELD_BOOLEAN) {
        memcpy(member_at(record, field->offset), &flag, sizeof(flag));
    }
    else if (field->type == FIELD_NAME || field->type == FIELD_MODEL_NAME) {
        store_string(record, field, "");
    }
}

static int
report_unknown_key(const reader_t *reader, const table_schema_t *schema,
                   const toml_value_t *value)
{
    char list[KEY_LIST_BYTES] = "";
    size_t used = 0;
    size_t i;

    for (i = 0; i < schema->field_count && used < sizeof(list); i++) {
        used += (size_t)snprintf(list + used, sizeof(list) - used, "%s%s",
                                 i == 0 ? "" : ", ", schema->fields[i].key);
    }
    return reader_fail(reader, value->line,
                       "unknown key \"%.40s\" in %s: write one of %s",
                       value->key, schema->title, list);
}

static int
check_keys_known(const reader_t *reader, const table_schema_t *schema,
                 const toml_value_t *table)
{
    const toml_value_t *child;
    size_t i;

    for (child = table->children; child != NULL; child = child->next) {
        for (i = 0; i < schema->field_count; i++) {
            if (strcmp(schema->fields[i].key, child->key) == 0) {
                break;
            }
        }
        if (i == schema->field_count) {
            return report_unknown_key(reader, schema, child);
        }
    }
    return 0;
}

static int
read_table(const reader_t *reader, const table_schema_t *schema,
           const toml_value_t *table, void *record)
{
    const toml_value_t *value;
    const field_t *field;

    if (check_keys_known(reader, schema, table) < 0) {
        return -1;
    }
    memcpy(member_at(record, schema->line_offset), &table->line,
           sizeof(table->line));
    for (field = schema->fields; field < schema->fields + schema->field_count;
         field++) {
        store_default(field, record);
        value = toml_get(table, field->key);
        if (value == NULL && field->required) {
            return reader_fail(reader, table->line, "%s has no %s: write %s",
                               schema->title, field->key, field->example);
        }
        if (value != NULL && read_field(reader, field, value, record) < 0) {
            return -1;
        }
    }
    return 0;
}

void *
reader_parse_document(const reader_t *reader, const table_schema_t *schema,
                      const char *text, size_t length)
{
    toml_value_t *root;
    void *record;

    root = toml_parse(reader->arena, reader->name, text, length, reader->err);
    if (root == NULL) {
        if (reader->err != NULL) {
            reader->err->kind = ERR_DOCUMENT;
        }
        return NULL;
    }
    record = arena_alloc(reader->arena, schema->struct_size);
    if (read_table(reader, schema, root, record) < 0) {
        return NULL;
    }
    return record;
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
reader_check_unique(const reader_t *reader, const char *description,
                    reader_value_t *values, size_t count)
{
    size_t i;

    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(*values), compare_values);
    for (i = 1; i < count; i++) {
        if (strcmp(values[i - 1].value, values[i].value) == 0) {
            return reader_fail(reader, values[i].line,
                               "%s \"%.64s\" is already on line %u: write "
                               "another or remove one",
                               description, values[i].value,
                               values[i - 1].line);
        }
    }
    return 0;
}
