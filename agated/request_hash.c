/* request_hash.c - prefix hashes and fingerprint of a generation request. */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "agated/request_body.h"

enum { PREFIX_BYTES = 1024, PREFIXES_MAX = 64 };

/* Fields that do not affect the response and are not in the fingerprint. */
static const char *const ignored_fields[] = {
    "stream",   "stream_options", "return_token_ids", "user", "priority",
    "metadata", "store",
};

void
request_hash_prefixes(request_parser_t *parser, const char *bytes,
                      size_t length)
{
    request_event_t *event = &parser->parsed->event;
    size_t count = length / PREFIX_BYTES;
    XXH3_state_t *state;
    uint64_t *hashes;
    size_t i;

    if (count == 0) {
        return;
    }
    count = count > PREFIXES_MAX ? PREFIXES_MAX : count;
    hashes = arena_array(parser->arena, count, sizeof(*hashes));
    state = XXH3_createState();
    if (state == NULL) {
        return;
    }
    (void)XXH3_64bits_reset(state);
    (void)XXH3_64bits_update(state, event->model, strlen(event->model) + 1);
    for (i = 0; i < count; i++) {
        (void)XXH3_64bits_update(state, bytes + i * PREFIX_BYTES,
                                 PREFIX_BYTES);
        hashes[i] = XXH3_64bits_digest(state);
    }
    (void)XXH3_freeState(state);
    event->prefix_hashes.prefix_hashes_len = (u_int)count;
    event->prefix_hashes.prefix_hashes_val = hashes;
}

void
request_hash_fingerprint(request_parser_t *parser)
{
    request_event_t *event = &parser->parsed->event;
    json_t *content = json_copy(parser->root);
    char *text;
    size_t i;

    for (i = 0; i < sizeof(ignored_fields) / sizeof(ignored_fields[0]); i++) {
        (void)json_object_del(content, ignored_fields[i]);
    }
    text = json_dumps(content, JSON_COMPACT | JSON_SORT_KEYS);
    if (text != NULL) {
        event->fingerprint = XXH3_64bits_withSeed(text, strlen(text),
                                                  (uint64_t)event->endpoint);
    }
    free(text);
    json_decref(content);
}
