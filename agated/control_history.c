/* control_history.c - former revisions of documents: listing and pruning. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agated/control.h"
#include "base/log.h"

enum { HISTORY_MAX = 64, PRUNE_MAX = 64, DECIMAL = 10 };

static const char history_prefix[] = "/agatevale/history/";

static void on_history_read(void *context, kv_result_t result,
                            int64_t revision, const kv_pair_t *pairs,
                            size_t count);
static void on_prune_read(void *context, kv_result_t result, int64_t revision,
                          const kv_pair_t *pairs, size_t count);
static void on_pruned(void *context, kv_result_t result, int64_t revision,
                      const kv_swap_result_t *answers, size_t count);

void
control_list_history(control_call_t *call)
{
    kv_t *platform = call->daemon->platform;
    arena_t *arena = &call->arena;
    const char *name = call->service == NULL ? "fleet" : call->service;
    const node_config_view_t *config = control_find_document(
        call, arena_printf(arena, "/agatevale/services/%s", name));

    if (call->role == ROLE_TEAM &&
        (config == NULL || !control_may_read(call, config))) {
        control_error(call, CONTROL_NOT_FOUND, "not-found", "not-run",
                      "there is no such service: list the services");
        return;
    }
    platform->ops->range(platform,
                         arena_printf(arena, "%s%s/", history_prefix, name),
                         true, on_history_read, call);
}

void
history_prune(daemon_t *daemon, const char *name)
{
    kv_t *platform = daemon->platform;
    arena_t arena = {0};
    char *prefix = arena_printf(&arena, "%s%s/", history_prefix, name);

    platform->ops->range(platform, prefix, true, on_prune_read, platform);
    arena_free(&arena);
}

char *
history_key(arena_t *arena, const char *name, int64_t replaced)
{
    return arena_printf(arena, "%s%s/%020" PRId64, history_prefix, name,
                        replaced);
}

static void
on_history_read(void *context, kv_result_t result, int64_t revision,
                const kv_pair_t *pairs, size_t count)
{
    control_call_t *call = context;
    text_t json = {0};
    size_t i;

    if (result != KV_OK) {
        control_error(call, CONTROL_UNAVAILABLE, "store-unreached", "not-run",
                      "the store did not answer: retry later");
        return;
    }
    text_puts(&json, "{\"history\":[");
    for (i = 0; i < count; i++) {
        const char *slash = strrchr(pairs[i].key, '/');

        text_printf(&json,
                    "%s{\"revision\":%" PRId64 ",\"replaced\":%lld,\"text\":",
                    i > 0 ? "," : "", pairs[i].mod_revision,
                    strtoll(slash + 1, NULL, DECIMAL));
        text_json(&json, pairs[i].value, pairs[i].value_bytes);
        text_puts(&json, "}");
    }
    text_puts(&json, "]}");
    control_respond(call, CONTROL_OK, &json);
}

/* Keys sort by revision, so the oldest entries come first. */
static void
on_prune_read(void *context, kv_result_t result, int64_t revision,
              const kv_pair_t *pairs, size_t count)
{
    kv_t *platform = context;
    kv_op_t ops[PRUNE_MAX];
    kv_swap_t swaps[PRUNE_MAX];
    size_t excess = count > HISTORY_MAX ? count - HISTORY_MAX : 0;
    size_t i;

    if (result != KV_OK || excess == 0) {
        return;
    }
    excess = excess > PRUNE_MAX ? PRUNE_MAX : excess;
    for (i = 0; i < excess; i++) {
        ops[i] = (kv_op_t){.verb = KV_DELETE, .key = pairs[i].key};
        swaps[i] = (kv_swap_t){.key = pairs[i].key,
                               .mod_revision = pairs[i].mod_revision,
                               .ops = &ops[i],
                               .op_count = 1};
    }
    platform->ops->swap(platform, swaps, excess, on_pruned, NULL);
}

/* Entries that remain are deleted after the next change. */
static void
on_pruned(void *context, kv_result_t result, int64_t revision,
          const kv_swap_result_t *answers, size_t count)
{
    log_line(LOG_DEBUG, "history pruned result=%d count=%zu", (int)result,
             count);
}
