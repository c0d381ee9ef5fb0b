/* script_order.c - orders as lines of a script; see script.h. */
#include <string.h>

#include "regress/script_private.h"

static char *
ids_text(arena_t *arena, const uint32_t *ids, u_int count)
{
    char *text = arena_strdup(arena, "");

    for (u_int i = 0; i < count; i++) {
        text = arena_printf(arena, "%s%s%u", text, i == 0 ? "" : ",", ids[i]);
    }
    return text;
}

static char *
open_text(arena_t *arena, const open_stream_action_t *open)
{
    return arena_printf(
        arena,
        "open stream=%llu body=%llu runner=%s name=%s model=%s "
        "endpoint=%d max_tokens=%u prompt=%s",
        (unsigned long long)open->stream, (unsigned long long)open->body,
        open->runner, open->stream_name, open->model, open->endpoint,
        open->max_tokens,
        ids_text(arena, open->prompt_ids.prompt_ids_val,
                 open->prompt_ids.prompt_ids_len));
}

static char *
give_text(arena_t *arena, const send_tokens_action_t *send_tokens)
{
    char *text = arena_strndup(arena, send_tokens->text.text_val,
                               send_tokens->text.text_len);

    for (char *c = text; *c != '\0'; c++) {
        *c = *c == ' ' ? '_' : *c;
    }
    return arena_printf(
        arena, "give caller=%llu position=%u ids=%s text=%s tail=%u+%u",
        (unsigned long long)send_tokens->caller, send_tokens->position,
        ids_text(arena, send_tokens->token_ids.token_ids_val,
                 send_tokens->token_ids.token_ids_len),
        text, send_tokens->tail_from, send_tokens->tail_ids.tail_ids_len);
}

static char *
claim_text(arena_t *arena, const claim_action_t *claim)
{
    char *text =
        arena_printf(arena, "claim batch=%llu mark=%s keys=",
                     (unsigned long long)claim->batch, claim->claim_holder);

    for (u_int i = 0; i < claim->keys.keys_len; i++) {
        text = arena_printf(arena, "%s%s%s", text, i == 0 ? "" : ",",
                            claim->keys.keys_val[i]);
    }
    return text;
}

static char *
release_text(arena_t *arena, const release_action_t *release)
{
    char *text =
        arena_printf(arena, "release mark=%s keys=", release->claim_holder);

    for (u_int i = 0; i < release->keys.keys_len; i++) {
        text = arena_printf(arena, "%s%s%s", text, i == 0 ? "" : ",",
                            release->keys.keys_val[i]);
    }
    return text;
}

static char *
refuse_text(arena_t *arena, const refuse_request_action_t *refuse)
{
    return arena_printf(arena,
                        "refuse caller=%llu refusal=%d run=%d retry_ms=%u",
                        (unsigned long long)refuse->caller, refuse->refusal,
                        refuse->run, refuse->retry_after_ms);
}

static char *
tell_text(arena_t *arena, const send_message_action_t *send_message)
{
    const message_t *message = &send_message->message;
    const record_t *record = &message->message_t_u.record;

    switch (message->kind) {
    case MESSAGE_RECORD:
        return arena_printf(
            arena, "tell host=%s record state=%d epoch=%u first=%u tokens=%u",
            send_message->host, record->state, record->epoch, record->first,
            record->token_ids.token_ids_len);
    case MESSAGE_LOOKUP:
        return arena_printf(arena, "tell host=%s lookup", send_message->host);
    case MESSAGE_LOOKUP_REPLY:
        return arena_printf(
            arena, "tell host=%s found=%d tokens=%u", send_message->host,
            message->message_t_u.found.found,
            message->message_t_u.found.record.token_ids.token_ids_len);
    case MESSAGE_SUPERSEDED:
        return arena_printf(arena, "tell host=%s superseded epoch=%u",
                            send_message->host,
                            message->message_t_u.superseded.epoch);
    default:
        return arena_printf(arena, "tell host=%s message=%d",
                            send_message->host, message->kind);
    }
}

char *
script_order(arena_t *arena, const action_t *action)
{
    const reattach_action_t *again = &action->action_t_u.reattach;
    const finish_action_t *finish = &action->action_t_u.finish;
    const reply_action_t *reply = &action->action_t_u.reply;

    switch (action->kind) {
    case ACTION_OPEN_STREAM:
        return open_text(arena, &action->action_t_u.open);
    case ACTION_REATTACH:
        return arena_printf(arena,
                            "reattach stream=%llu runner=%s name=%s after=%u",
                            (unsigned long long)again->stream, again->runner,
                            again->stream_name, again->after);
    case ACTION_CANCEL_STREAM:
        return arena_printf(
            arena, "cancel stream=%llu%s",
            (unsigned long long)action->action_t_u.cancel.stream,
            action->action_t_u.cancel.keep_stream ? " keep" : "");
    case ACTION_SEND_TOKENS:
        return give_text(arena, &action->action_t_u.send_tokens);
    case ACTION_FINISH:
        return arena_printf(
            arena, "finish caller=%llu finish=%d prompt=%u completion=%u",
            (unsigned long long)finish->caller, finish->finish,
            finish->prompt_tokens, finish->completion_tokens);
    case ACTION_REPLY:
        return arena_printf(arena, "reply caller=%llu status=%u body=%.*s",
                            (unsigned long long)reply->caller, reply->status,
                            (int)reply->body.body_len, reply->body.body_val);
    case ACTION_REFUSE:
        return refuse_text(arena, &action->action_t_u.refuse);
    case ACTION_FREE_BODY:
        return arena_printf(
            arena, "forget body=%llu",
            (unsigned long long)action->action_t_u.free_body.body);
    case ACTION_SEND_MESSAGE:
        return tell_text(arena, &action->action_t_u.send_message);
    case ACTION_CLAIM:
        return claim_text(arena, &action->action_t_u.claim);
    case ACTION_RELEASE:
        return release_text(arena, &action->action_t_u.release);
    case ACTION_SET_TIMER:
        return arena_printf(arena, "timer at_ms=%lld",
                            (long long)action->action_t_u.timer.at_us /
                                SCRIPT_US_PER_MS);
    case ACTION_LOG:
        return arena_printf(arena, "log %s", action->action_t_u.log.text);
    case ACTION_STOP:
        return arena_strdup(arena, "stop");
    case ACTION_RELAY:
        return arena_printf(
            arena, "relay caller=%llu host=%s",
            (unsigned long long)action->action_t_u.relay.caller,
            action->action_t_u.relay.host);
    }
    return arena_strdup(arena, "unknown");
}
