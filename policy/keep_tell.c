/* keep_tell.c - see keep_tell.h. */
#include <string.h>

#include "policy/keep_tell.h"

void
keep_tell_superseded(const char *host, const record_t *held,
                     order_list_t *orders)
{
    tell_order_t *telling = &orders_add(orders, ORDER_TELL)->order_t_u.tell;
    superseded_t *superseded = &telling->message.message_t_u.superseded;
    arena_t *arena = &orders->arena;

    telling->host = arena_strdup(arena, host);
    telling->message.kind = MESSAGE_SUPERSEDED;
    superseded->request.organisation =
        arena_strdup(arena, held->request.organisation);
    superseded->request.key = arena_strdup(arena, held->request.key);
    superseded->epoch = held->epoch;
}

static void
tell_position(const char *host, message_kind_t kind, const record_t *record,
              uint32_t held, order_list_t *orders)
{
    tell_order_t *telling = &orders_add(orders, ORDER_TELL)->order_t_u.tell;
    record_gap_t *position = &telling->message.message_t_u.record_gap;
    arena_t *arena = &orders->arena;

    telling->host = arena_strdup(arena, host);
    telling->message.kind = kind;
    position->request.organisation =
        arena_strdup(arena, record->request.organisation);
    position->request.key = arena_strdup(arena, record->request.key);
    position->epoch = record->epoch;
    position->held = held;
}

void
keep_tell_gap(const char *host, const record_t *record, uint32_t held,
              order_list_t *orders)
{
    tell_position(host, MESSAGE_RECORD_GAP, record, held, orders);
}

void
keep_tell_held(const char *host, const record_t *held, order_list_t *orders)
{
    tell_position(host, MESSAGE_RECORD_HELD, held,
                  held->token_ids.token_ids_len, orders);
}

/* The answer outlives the record: it is copied. */
void
keep_tell_found(const char *host, uint64_t ask, const record_t *held,
                order_list_t *orders)
{
    tell_order_t *telling = &orders_add(orders, ORDER_TELL)->order_t_u.tell;
    found_t *found = &telling->message.message_t_u.found;
    arena_t *arena = &orders->arena;
    record_t *copy = &found->record;

    telling->host = arena_strdup(arena, host);
    telling->message.kind = MESSAGE_FOUND;
    found->ask = ask;
    found->found = held != NULL;
    if (held == NULL) {
        copy->request.organisation = "";
        copy->request.key = "";
        copy->owner = "";
        copy->runner = "";
        copy->stream_name = "";
        copy->state = RECORD_FORGOTTEN;
        return;
    }
    *copy = *held;
    copy->request.organisation =
        arena_strdup(arena, held->request.organisation);
    copy->request.key = arena_strdup(arena, held->request.key);
    copy->owner = arena_strdup(arena, held->owner);
    copy->runner = arena_strdup(arena, held->runner);
    copy->stream_name = arena_strdup(arena, held->stream_name);
    copy->prompt_ids.prompt_ids_val =
        arena_memdup(arena, held->prompt_ids.prompt_ids_val,
                     held->prompt_ids.prompt_ids_len * sizeof(uint32_t));
    copy->token_ids.token_ids_val =
        arena_memdup(arena, held->token_ids.token_ids_val,
                     held->token_ids.token_ids_len * sizeof(uint32_t));
    copy->text.text_val =
        arena_memdup(arena, held->text.text_val, held->text.text_len);
    copy->cuts.cuts_val =
        arena_memdup(arena, held->cuts.cuts_val,
                     held->cuts.cuts_len * sizeof(record_cut_t));
}
