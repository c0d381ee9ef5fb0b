/* store_intake.c - see store_intake.h. */
#include <stdlib.h>
#include <string.h>

#include "base/revision.h"
#include "gateway/store_intake.h"

/* Largest patch that is received. */
enum { PATCH_BYTES_MAX = 2 << 20 };

struct store_intake {
    mirror_t *mirror;
    intake_apply_t apply;
    void *context;
    store_patch_t patch; /* that is being received; key NULL: none */
    uint8_t *bytes;
    size_t received;
    size_t room;
    intake_counters_t counters;
};

static void add_values(store_fetch_t *fetch, const kv_pair_t *pairs,
                       size_t count, bool after_position);
static int handle_piece(store_intake_t *intake, const store_piece_t *piece,
                        err_t *err);
static bool continues(const store_intake_t *intake,
                      const store_piece_t *piece);
static void begin(store_intake_t *intake, const store_patch_t *patch);
static int finish(store_intake_t *intake, err_t *err);
static void drop(store_intake_t *intake);

store_intake_t *
store_intake_new(mirror_t *mirror, intake_apply_t apply, void *context)
{
    store_intake_t *intake = xcalloc(1, sizeof(*intake));

    intake->mirror = mirror;
    intake->apply = apply;
    intake->context = context;
    return intake;
}

void
store_intake_free(store_intake_t *intake)
{
    if (intake != NULL) {
        drop(intake);
        free(intake);
    }
}

void
store_intake_write_fetch(const store_intake_t *intake, arena_t *arena,
                         store_fetch_t *fetch)
{
    size_t count;
    kv_pair_t *pairs = mirror_large_values(intake->mirror, arena, &count);

    fetch->after = mirror_revision(intake->mirror);
    fetch->seen = mirror_seen(intake->mirror);
    fetch->values.values_val =
        arena_array(arena, LINK_VALUES_MAX, sizeof(*fetch->values.values_val));
    add_values(fetch, pairs, count, true);
    add_values(fetch, pairs, count, false);
    if (intake->patch.key != NULL &&
        revision_same_era(intake->patch.revision, fetch->after)) {
        store_partial_t *partial = arena_alloc(arena, sizeof(*partial));

        *partial = (store_partial_t){.patch = intake->patch,
                                     .offset = (uint32_t)intake->received};
        fetch->partial.partial_len = 1;
        fetch->partial.partial_val = partial;
    }
}

/* Those after the position first: without them it would never be complete. The
 * others are bases of patches. */
static void
add_values(store_fetch_t *fetch, const kv_pair_t *pairs, size_t count,
           bool after_position)
{
    size_t i;

    for (i = 0; i < count && fetch->values.values_len < LINK_VALUES_MAX; i++) {
        if ((pairs[i].mod_revision > fetch->after) == after_position) {
            fetch->values.values_val[fetch->values.values_len] =
                (store_value_t){.key = (char *)(uintptr_t)pairs[i].key,
                                .revision = pairs[i].mod_revision};
            fetch->values.values_len++;
        }
    }
}

void
store_intake_apply_items(store_intake_t *intake, const store_item_t *items,
                         size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        const store_item_t *item = &items[i];
        kv_pair_t pair = {
            .key = item->key,
            .value = item->value.value_val,
            .value_bytes = item->value.value_len,
            .mod_revision = item->revision,
            .create_revision = item->removed ? 0 : item->revision,
        };

        if (!mirror_is_stale(intake->mirror, &pair)) {
            intake->apply(intake->context, &pair);
        }
    }
}

int
store_intake_handle(store_intake_t *intake, const store_parts_t *parts,
                    err_t *err)
{
    u_int i;

    store_intake_apply_items(intake, parts->items.items_val,
                             parts->items.items_len);
    mirror_advance_seen(intake->mirror, parts->seen);
    for (i = 0; i < parts->pieces.pieces_len; i++) {
        if (handle_piece(intake, &parts->pieces.pieces_val[i], err) < 0) {
            drop(intake);
            return -1;
        }
    }
    if (parts->complete) {
        mirror_advance(intake->mirror, parts->revision);
    }
    return 0;
}

bool
store_intake_is_final(const store_parts_t *parts, uint32_t contact_age_max_ms)
{
    bool changes = parts->items.items_len > 0 || parts->pieces.pieces_len > 0;

    return parts->contact_age_ms > contact_age_max_ms ? !changes
                                                      : parts->complete;
}

size_t
store_intake_pending(const store_intake_t *intake, size_t *patch_bytes)
{
    *patch_bytes = intake->patch.bytes;
    return intake->received;
}

const intake_counters_t *
store_intake_counters(const store_intake_t *intake)
{
    return &intake->counters;
}

static int
handle_piece(store_intake_t *intake, const store_piece_t *piece, err_t *err)
{
    if (!revision_same_era(piece->patch.revision,
                           mirror_revision(intake->mirror))) {
        return err_set(err, ERR_PROTOCOL,
                       "a patch of %s is from before the store was restored: "
                       "read the whole value",
                       piece->patch.key);
    }
    if (piece->patch.bytes > PATCH_BYTES_MAX || piece->bytes.bytes_len == 0 ||
        piece->bytes.bytes_len > piece->patch.bytes) {
        return err_set(err, ERR_LIMIT,
                       "a piece of %u bytes of a patch of %s with %u: read "
                       "the whole value",
                       piece->bytes.bytes_len, piece->patch.key,
                       piece->patch.bytes);
    }
    if (!continues(intake, piece)) {
        if (piece->offset != 0) {
            return err_set(err, ERR_PROTOCOL,
                           "a piece of a patch of %s does not follow the "
                           "previous one: read the whole value",
                           piece->patch.key);
        }
        begin(intake, &piece->patch);
    }
    if (piece->bytes.bytes_len > intake->patch.bytes - intake->received) {
        return err_set(err, ERR_PROTOCOL,
                       "a patch of %s is longer than stated: read the whole "
                       "value",
                       piece->patch.key);
    }
    if (intake->received + piece->bytes.bytes_len > intake->room) {
        intake->room = 2 * (intake->received + piece->bytes.bytes_len);
        intake->bytes = xrealloc(intake->bytes, intake->room, 1);
    }
    memcpy(intake->bytes + intake->received, piece->bytes.bytes_val,
           piece->bytes.bytes_len);
    intake->received += piece->bytes.bytes_len;
    return intake->received == intake->patch.bytes ? finish(intake, err) : 0;
}

static bool
continues(const store_intake_t *intake, const store_piece_t *piece)
{
    const store_patch_t *patch = &intake->patch;

    return patch->key != NULL && strcmp(patch->key, piece->patch.key) == 0 &&
           patch->base == piece->patch.base &&
           patch->revision == piece->patch.revision &&
           patch->digest == piece->patch.digest &&
           patch->bytes == piece->patch.bytes &&
           intake->received == piece->offset;
}

static void
begin(store_intake_t *intake, const store_patch_t *patch)
{
    drop(intake);
    intake->patch = *patch;
    intake->patch.key = xstrdup(patch->key);
}

/* A value that has come another way meanwhile is left alone. */
static int
finish(store_intake_t *intake, err_t *err)
{
    const store_patch_t *patch = &intake->patch;
    kv_pair_t pair = {.key = patch->key,
                      .mod_revision = patch->revision,
                      .create_revision = patch->revision};
    patch_t received;
    char *value;

    if (mirror_is_stale(intake->mirror, &pair)) {
        drop(intake);
        return 0;
    }
    received = (patch_t){.bytes = intake->bytes, .count = intake->received};
    intake->bytes = NULL;
    if (mirror_patch_value(intake->mirror, patch->key, patch->base,
                           patch->revision, received, &value,
                           &pair.value_bytes, err) < 0) {
        return -1;
    }
    pair.value = value;
    intake->counters.values++;
    intake->counters.patch_bytes += received.count;
    intake->counters.value_bytes += pair.value_bytes;
    intake->apply(intake->context, &pair);
    free(value);
    drop(intake);
    return 0;
}

static void
drop(store_intake_t *intake)
{
    free(intake->patch.key);
    free(intake->bytes);
    intake->patch = (store_patch_t){0};
    intake->bytes = NULL;
    intake->received = 0;
    intake->room = 0;
}
