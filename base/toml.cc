/* toml.cc - parses TOML with toml++ and converts it to the values of toml.h.
 */
#include <toml++/toml.h>

#include <algorithm>
#include <cstring>
#include <vector>

extern "C" {
#include "base/toml.h"
}

static toml_value_t *convert(arena_t *arena, const toml::node &node);

static void
append(toml_value_t *parent, toml_value_t ***tail, toml_value_t *child)
{
    if (*tail == nullptr) {
        *tail = &parent->children;
    }
    **tail = child;
    *tail = &child->next;
}

static void
convert_table(arena_t *arena, const toml::table &table, toml_value_t *value)
{
    std::vector<toml_value_t *> children;
    toml_value_t **tail = nullptr;

    for (auto &&[key, node] : table) {
        toml_value_t *child = convert(arena, node);
        child->key = arena_strndup(arena, key.str().data(), key.str().size());
        child->line = key.source().begin.line;
        children.push_back(child);
    }
    /* toml++ sorts by key; restore the order of the file. */
    std::stable_sort(children.begin(), children.end(),
                     [](const toml_value_t *a, const toml_value_t *b) {
                         return a->line < b->line;
                     });
    for (toml_value_t *child : children) {
        append(value, &tail, child);
    }
}

static void
convert_array(arena_t *arena, const toml::array &array, toml_value_t *value)
{
    toml_value_t **tail = nullptr;

    for (auto &&node : array) {
        append(value, &tail, convert(arena, node));
    }
}

static toml_value_t *
convert(arena_t *arena, const toml::node &node)
{
    auto *value =
        static_cast<toml_value_t *>(arena_alloc(arena, sizeof(toml_value_t)));

    value->line = node.source().begin.line;
    if (auto *table = node.as_table()) {
        value->type = TOML_TABLE;
        convert_table(arena, *table, value);
    }
    else if (auto *array = node.as_array()) {
        value->type = TOML_ARRAY;
        convert_array(arena, *array, value);
    }
    else if (auto *string = node.as_string()) {
        value->type = TOML_STRING;
        value->string =
            arena_strndup(arena, string->get().data(), string->get().size());
    }
    else if (auto *integer = node.as_integer()) {
        value->type = TOML_INTEGER;
        value->integer = integer->get();
    }
    else if (auto *number = node.as_floating_point()) {
        value->type = TOML_FLOAT;
        value->number = number->get();
    }
    else if (auto *boolean = node.as_boolean()) {
        value->type = TOML_BOOLEAN;
        value->boolean = boolean->get();
    }
    else {
        value->type = TOML_OTHER;
    }
    return value;
}

extern "C" toml_value_t *
toml_parse(arena_t *arena, const char *name, const char *text, size_t length,
           err_t *err)
{
    try {
        toml::table root = toml::parse(std::string_view(text, length));
        return convert(arena, root);
    } catch (const toml::parse_error &error) {
        (void)err_set(err, ERR_SETTINGS, "%s:%u: %s: write valid TOML here",
                      name, static_cast<unsigned>(error.source().begin.line),
                      std::string(error.description()).c_str());
        return nullptr;
    }
}

extern "C" toml_value_t *
toml_get(const toml_value_t *table, const char *key)
{
    toml_value_t *child;

    if (table == nullptr || table->type != TOML_TABLE) {
        return nullptr;
    }
    for (child = table->children; child != nullptr; child = child->next) {
        if (strcmp(child->key, key) == 0) {
            return child;
        }
    }
    return nullptr;
}
