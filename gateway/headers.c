/* headers.c - lists of HTTP header fields; see dialect.h. */
#include <string.h>
#include <strings.h>

#include "gateway/dialect.h"

void
headers_add(headers_t *headers, arena_t *arena, header_t header)
{
    headers->items = arena_grow_array(arena, headers->items, headers->count,
                                      &headers->size, sizeof(*headers->items));
    headers->items[headers->count] = header;
    headers->count++;
}

void
headers_add_strings(headers_t *headers, arena_t *arena, const char *name,
                    const char *value)
{
    headers_add(headers, arena,
                (header_t){.name = name,
                           .name_bytes = strlen(name),
                           .value = value,
                           .value_bytes = strlen(value)});
}

const header_t *
headers_find(const headers_t *headers, const char *name)
{
    size_t length = strlen(name);
    size_t i;

    for (i = 0; i < headers->count; i++) {
        if (headers->items[i].name_bytes == length &&
            strncasecmp(headers->items[i].name, name, length) == 0) {
            return &headers->items[i];
        }
    }
    return NULL;
}

void
headers_remove(headers_t *headers, const char *name)
{
    while (headers_find(headers, name) != NULL) {
        headers_remove_first(headers, name);
    }
}

void
headers_remove_first(headers_t *headers, const char *name)
{
    const header_t *header = headers_find(headers, name);
    size_t at;

    if (header == NULL) {
        return;
    }
    at = (size_t)(header - headers->items);
    headers->count--;
    memmove(&headers->items[at], &headers->items[at + 1],
            (headers->count - at) * sizeof(*headers->items));
}

bool
header_is_hop_by_hop(const char *name, size_t length)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};
    size_t i;

    for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strlen(names[i]) == length &&
            strncasecmp(names[i], name, length) == 0) {
            return true;
        }
    }
    return false;
}

const char **
headers_format_lines(arena_t *arena, const headers_t *headers,
                     const char *host)
{
    const char **lines =
        arena_array(arena, headers->count + 2, sizeof(*lines));
    size_t i;

    lines[0] = arena_printf(arena, "Host: %s", host);
    for (i = 0; i < headers->count; i++) {
        const header_t *header = &headers->items[i];

        /* libcurl sends a header with an empty value if it ends in ";". */
        lines[i + 1] =
            header->value_bytes > 0
                ? arena_printf(arena, "%.*s: %.*s", (int)header->name_bytes,
                               header->name, (int)header->value_bytes,
                               header->value)
                : arena_printf(arena, "%.*s;", (int)header->name_bytes,
                               header->name);
    }
    return lines;
}
