/* seed.c - loads documents from files into the in-memory store. */
#include <string.h>

#include "agated/agated.h"
#include "base/log.h"
#include "base/toml.h"

static void put_document(kv_t *platform, const char *key, const char *text,
                         size_t length);
static void on_document_put(void *context, kv_result_t result,
                            int64_t revision, const kv_swap_result_t *answers,
                            size_t count);
static int put_service_document(daemon_t *daemon, arena_t *arena,
                                const char *path, err_t *err);

int
seed_memory_store(daemon_t *daemon, err_t *err)
{
    const settings_t *settings = daemon->settings;
    arena_t arena = {0};
    size_t length;
    size_t i;
    int result = -1;
    char *text = file_read(&arena, settings->fleet_file, &length, err);

    if (text == NULL) {
        goto done;
    }
    put_document(daemon->platform, "/agatevale/fleet", text, length);
    for (i = 0; i < settings->document_files.count; i++) {
        const char *path = settings->document_files.items[i];

        if (put_service_document(daemon, &arena, path, err) < 0) {
            goto done;
        }
    }
    result = 0;
done:
    arena_free(&arena);
    return result;
}

static int
put_service_document(daemon_t *daemon, arena_t *arena, const char *path,
                     err_t *err)
{
    size_t length;
    char *text = file_read(arena, path, &length, err);
    const toml_value_t *root;
    const toml_value_t *service;

    if (text == NULL) {
        return -1;
    }
    root = toml_parse(arena, path, text, length, err);
    if (root == NULL) {
        return -1;
    }
    service = toml_get(root, "service");
    if (service == NULL || service->type != TOML_STRING) {
        return err_set(err, ERR_DOCUMENT,
                       "%s:1: service is missing: write service = \"name\"",
                       path);
    }
    put_document(
        daemon->platform,
        arena_printf(arena, "/agatevale/services/%s", service->string), text,
        length);
    return 0;
}

static void
put_document(kv_t *platform, const char *key, const char *text, size_t length)
{
    kv_op_t op = {
        .verb = KV_PUT, .key = key, .value = text, .value_bytes = length};
    kv_swap_t swap = {.key = key, .ops = &op, .op_count = 1};

    platform->ops->swap(platform, &swap, 1, on_document_put, NULL);
}

static void
on_document_put(void *context, kv_result_t result, int64_t revision,
                const kv_swap_result_t *answers, size_t count)
{
    if (result != KV_OK || !answers[0].succeeded) {
        log_line(LOG_ERR,
                 "document not stored: name each service in one file only");
    }
}
