/* fields.c - reads a TOML table into a struct. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/address.h"
#include "base/fields.h"

enum { KEY_LIST_BYTES = 200, DIGEST_DIGITS = 64 };

/* The context shared by the functions that read a field. */
typedef struct {
    arena_t *arena;
    const char *file;
    err_t *err;
} reader_t;

static const field_t *find_field(const field_t *fields, size_t count,
                                 const char *key);
static int report_unknown_key(reader_t *reader, const toml_value_t *child,
                              const field_t *fields, size_t count);
static int read_field(reader_t *reader, const field_t *field,
                      const toml_value_t *value, void *out);
static int read_string(reader_t *reader, const field_t *field,
                       const toml_value_t *value, void *out);
static int read_choice(reader_t *reader, const field_t *field,
                       const toml_value_t *value, void *out);
static int read_list(reader_t *reader, const field_t *field,
                     const toml_value_t *value, void *out);
static int read_number(reader_t *reader, const field_t *field,
                       const toml_value_t *value, void *out);
static int read_milli(reader_t *reader, const field_t *field,
                      const toml_value_t *value, void *out);
static int read_address(reader_t *reader, const field_t *field,
                        const toml_value_t *value);
static int read_named_address(reader_t *reader, const field_t *field,
                              const toml_value_t *value);
static int read_digest(reader_t *reader, const field_t *field,
                       const toml_value_t *value);
static int report_wrong_type(reader_t *reader, const field_t *field,
                             const toml_value_t *value);
static const char *type_name(toml_type_t type);

int
fields_read(arena_t *arena, const char *file, const toml_value_t *table,
            const field_t *fields, size_t count, void *out, err_t *err)
{
    reader_t reader = {.arena = arena, .file = file, .err = err};
    const toml_value_t *child;
    size_t i;

    for (child = table->children; child != NULL; child = child->next) {
        const field_t *field = find_field(fields, count, child->key);

        if (field == NULL) {
            return report_unknown_key(&reader, child, fields, count);
        }
        if (read_field(&reader, field, child, out) < 0) {
            return -1;
        }
    }
    for (i = 0; i < count; i++) {
        if (fields[i].required && toml_get(table, fields[i].key) == NULL) {
            return err_set(err, ERR_SETTINGS, "%s:%u: %s is missing: write %s",
                           file, table->line > 0 ? table->line : 1,
                           fields[i].key, fields[i].remedy);
        }
    }
    return 0;
}

static const field_t *
find_field(const field_t *fields, size_t count, const char *key)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

static int
report_unknown_key(reader_t *reader, const toml_value_t *child,
                   const field_t *fields, size_t count)
{
    char keys[KEY_LIST_BYTES] = "";
    size_t used = 0;
    size_t i;

    for (i = 0; i < count && used < sizeof(keys); i++) {
        int length = snprintf(keys + used, sizeof(keys) - used, "%s%s",
                              i == 0 ? "" : ", ", fields[i].key);

        used += length > 0 ? (size_t)length : 0;
    }
    return err_set(reader->err, ERR_SETTINGS,
                   "%s:%u: unknown key \"%.64s\": remove it or write one of "
                   "%s",
                   reader->file, child->line, child->key, keys);
}

static int
read_field(reader_t *reader, const field_t *field, const toml_value_t *value,
           void *out)
{
    switch (field->type) {
    case FIELD_STRING:
    case FIELD_ADDRESS:
        return read_string(reader, field, value, out);
    case FIELD_CHOICE:
        return read_choice(reader, field, value, out);
    case FIELD_STRINGS:
    case FIELD_ADDRESSES:
    case FIELD_NAMED_ADDRESSES:
    case FIELD_DIGESTS:
        return read_list(reader, field, value, out);
    case FIELD_U32:
        return read_number(reader, field, value, out);
    case FIELD_MILLI:
        return read_milli(reader, field, value, out);
    case FIELD_BOOL:
        if (value->type != TOML_BOOLEAN) {
            return report_wrong_type(reader, field, value);
        }
        memcpy((char *)out + field->offset, &value->boolean, sizeof(bool));
        return 0;
    case FIELD_TABLE:
        if (value->type != TOML_TABLE) {
            return report_wrong_type(reader, field, value);
        }
        return fields_read(reader->arena, reader->file, value, field->fields,
                           field->field_count, out, reader->err);
    }
    return -1;
}

static int
read_string(reader_t *reader, const field_t *field, const toml_value_t *value,
            void *out)
{
    const char *text = value->string;

    if (value->type != TOML_STRING) {
        return report_wrong_type(reader, field, value);
    }
    if (field->type == FIELD_ADDRESS &&
        read_address(reader, field, value) < 0) {
        return -1;
    }
    if (field->type == FIELD_STRING && ((int64_t)strlen(text) < field->min ||
                                        (int64_t)strlen(text) > field->max)) {
        return err_set(reader->err, ERR_SETTINGS,
                       "%s:%u: %s has %zu characters: write %" PRId64
                       " to %" PRId64 " of them, like %s",
                       reader->file, value->line, field->key, strlen(text),
                       field->min, field->max, field->remedy);
    }
    memcpy((char *)out + field->offset, &text, sizeof(text));
    return 0;
}

static int
read_choice(reader_t *reader, const field_t *field, const toml_value_t *value,
            void *out)
{
    const char *const *choice;

    if (value->type != TOML_STRING) {
        return report_wrong_type(reader, field, value);
    }
    for (choice = field->choices; *choice != NULL; choice++) {
        if (strcmp(*choice, value->string) == 0) {
            memcpy((char *)out + field->offset, choice, sizeof(*choice));
            return 0;
        }
    }
    return err_set(reader->err, ERR_SETTINGS,
                   "%s:%u: %s is \"%.64s\", which is no choice: write %s",
                   reader->file, value->line, field->key, value->string,
                   field->remedy);
}

static int
read_list(reader_t *reader, const field_t *field, const toml_value_t *value,
          void *out)
{
    field_list_t list = {0};
    const toml_value_t *child;

    if (value->type != TOML_ARRAY) {
        return report_wrong_type(reader, field, value);
    }
    for (child = value->children; child != NULL; child = child->next) {
        list.count++;
    }
    list.items = arena_array(reader->arena, list.count, sizeof(*list.items));
    list.count = 0;
    for (child = value->children; child != NULL; child = child->next) {
        if (child->type != TOML_STRING) {
            return report_wrong_type(reader, field, child);
        }
        if (field->type == FIELD_ADDRESSES &&
            read_address(reader, field, child) < 0) {
            return -1;
        }
        if (field->type == FIELD_NAMED_ADDRESSES &&
            read_named_address(reader, field, child) < 0) {
            return -1;
        }
        if (field->type == FIELD_DIGESTS &&
            read_digest(reader, field, child) < 0) {
            return -1;
        }
        list.items[list.count] = child->string;
        list.count++;
    }
    memcpy((char *)out + field->offset, &list, sizeof(list));
    return 0;
}

static int
read_number(reader_t *reader, const field_t *field, const toml_value_t *value,
            void *out)
{
    uint32_t number;

    if (value->type != TOML_INTEGER) {
        return report_wrong_type(reader, field, value);
    }
    if (value->integer < field->min || value->integer > field->max) {
        return err_set(reader->err, ERR_SETTINGS,
                       "%s:%u: %s = %" PRId64
                       " is out of range: write %" PRId64 " to %" PRId64
                       ", like %s",
                       reader->file, value->line, field->key, value->integer,
                       field->min, field->max, field->remedy);
    }
    number = (uint32_t)value->integer;
    memcpy((char *)out + field->offset, &number, sizeof(number));
    return 0;
}

static int
read_named_address(reader_t *reader, const field_t *field,
                   const toml_value_t *value)
{
    const char *equals = strchr(value->string, '=');
    struct sockaddr_storage address;

    if (equals == NULL || equals == value->string ||
        equals - value->string > field->max ||
        address_parse(equals + 1, &address, NULL) < 0) {
        return err_set(reader->err, ERR_SETTINGS,
                       "%s:%u: %s has \"%.64s\", which is no name and "
                       "address: write %s",
                       reader->file, value->line, field->key, value->string,
                       field->remedy);
    }
    return 0;
}

static int
read_milli(reader_t *reader, const field_t *field, const toml_value_t *value,
           void *out)
{
    double number =
        value->type == TOML_FLOAT ? value->number : (double)value->integer;
    uint32_t milli;

    if (value->type != TOML_FLOAT && value->type != TOML_INTEGER) {
        return report_wrong_type(reader, field, value);
    }
    if (!(number * 1000 >= (double)field->min &&
          number * 1000 <= (double)field->max)) {
        return err_set(reader->err, ERR_SETTINGS,
                       "%s:%u: %s is %g: write a number from %g to %g",
                       reader->file, value->line, field->key, number,
                       (double)field->min / 1000, (double)field->max / 1000);
    }
    milli = (uint32_t)(number * 1000 + 0.5);
    memcpy((char *)out + field->offset, &milli, sizeof(milli));
    return 0;
}

static int
read_address(reader_t *reader, const field_t *field, const toml_value_t *value)
{
    struct sockaddr_storage address;

    if (address_parse(value->string, &address, NULL) < 0) {
        return err_set(reader->err, ERR_SETTINGS,
                       "%s:%u: \"%.64s\" in %s is no IP number with a port: "
                       "write %s",
                       reader->file, value->line, value->string, field->key,
                       field->remedy);
    }
    return 0;
}

static int
read_digest(reader_t *reader, const field_t *field, const toml_value_t *value)
{
    if (strlen(value->string) == DIGEST_DIGITS &&
        strspn(value->string, "0123456789abcdef") == DIGEST_DIGITS) {
        return 0;
    }
    return err_set(reader->err, ERR_SETTINGS,
                   "%s:%u: an entry of %s is no SHA-256: write %s",
                   reader->file, value->line, field->key, field->remedy);
}

static int
report_wrong_type(reader_t *reader, const field_t *field,
                  const toml_value_t *value)
{
    return err_set(reader->err, ERR_SETTINGS,
                   "%s:%u: %s holds %s, which does not fit: write %s",
                   reader->file, value->line, field->key,
                   type_name(value->type), field->remedy);
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
    return "a date or time";
}
