/* record_send.c - sends the record store's messages to other hosts. */
#include <string.h>

#include "policy/record_send.h"

void
record_send_superseded(const char *host, const record_t *stored,
                       action_list_t *actions)
{
    send_message_action_t *send_message =
        &actions_append(actions, ACTION_SEND_MESSAGE)->action_t_u.send_message;
    superseded_t *superseded = &send_message->message.message_t_u.superseded;
    arena_t *arena = &actions->arena;

    send_message->host = arena_strdup(arena, host);
    send_message->message.kind = MESSAGE_SUPERSEDED;
    superseded->request.organisation =
        arena_strdup(arena, stored->request.organisation);
    superseded->request.key = arena_strdup(arena, stored->request.key);
    superseded->epoch = stored->epoch;
}

static void
send_position(const char *host, message_kind_t kind, const record_t *record,
              uint32_t stored_tokens, action_list_t *actions)
{
    send_message_action_t *send_message =
        &actions_append(actions, ACTION_SEND_MESSAGE)->action_t_u.send_message;
    record_position_t *gap = &send_message->message.message_t_u.record_gap;
    arena_t *arena = &actions->arena;

    send_message->host = arena_strdup(arena, host);
    send_message->message.kind = kind;
    gap->request.organisation =
        arena_strdup(arena, record->request.organisation);
    gap->request.key = arena_strdup(arena, record->request.key);
    gap->epoch = record->epoch;
    gap->stored_tokens = stored_tokens;
}

void
record_send_gap(const char *host, const record_t *record,
                uint32_t stored_tokens, action_list_t *actions)
{
    send_position(host, MESSAGE_RECORD_GAP, record, stored_tokens, actions);
}

void
record_send_ack(const char *host, const record_t *stored,
                action_list_t *actions)
{
    send_position(host, MESSAGE_RECORD_ACK, stored,
                  stored->token_ids.token_ids_len, actions);
}

/* Copies the record, which may be freed before the action is carried out. */
void
record_send_found(const char *host, uint64_t query_id, const record_t *stored,
                  action_list_t *actions)
{
    send_message_action_t *send_message =
        &actions_append(actions, ACTION_SEND_MESSAGE)->action_t_u.send_message;
    lookup_reply_t *found = &send_message->message.message_t_u.found;
    arena_t *arena = &actions->arena;
    record_t *copy = &found->record;

    send_message->host = arena_strdup(arena, host);
    send_message->message.kind = MESSAGE_LOOKUP_REPLY;
    found->query_id = query_id;
    found->found = stored != NULL;
    if (stored == NULL) {
        copy->request.organisation = "";
        copy->request.key = "";
        copy->owner = "";
        copy->runner = "";
        copy->stream_name = "";
        copy->state = RECORD_DISCARDED;
        return;
    }
    *copy = *stored;
    copy->request.organisation =
        arena_strdup(arena, stored->request.organisation);
    copy->request.key = arena_strdup(arena, stored->request.key);
    copy->owner = arena_strdup(arena, stored->owner);
    copy->runner = arena_strdup(arena, stored->runner);
    copy->stream_name = arena_strdup(arena, stored->stream_name);
    copy->prompt_ids.prompt_ids_val =
        arena_memdup(arena, stored->prompt_ids.prompt_ids_val,
                     stored->prompt_ids.prompt_ids_len * sizeof(uint32_t));
    copy->token_ids.token_ids_val =
        arena_memdup(arena, stored->token_ids.token_ids_val,
                     stored->token_ids.token_ids_len * sizeof(uint32_t));
    copy->text.text_val =
        arena_memdup(arena, stored->text.text_val, stored->text.text_len);
    copy->boundary_list.boundary_list_val = arena_memdup(
        arena, stored->boundary_list.boundary_list_val,
        stored->boundary_list.boundary_list_len * sizeof(record_boundary_t));
}
