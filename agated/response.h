/*
 * response.h - one answer's orders as bytes in the OpenAI formats.
 *
 * A streamed answer is server-sent events, each with an id (position.h);
 * a whole one is a JSON object.  Writes bytes only: the caller's task sends
 * them.
 */
#ifndef AGATED_RESPONSE_H
#define AGATED_RESPONSE_H

#include <stdbool.h>
#include <stdint.h>

#include "agated/position.h"
#include "base/text.h"
#include "policy/generated/event.h"

/* Zeroed but for what is set before the first call; strings are kept. */
typedef struct {
    const char *name;  /* the request's name, without the organisation */
    const char *model; /* as the caller named it */
    endpoint_t endpoint;
    bool stream;
    bool token_ids; /* the caller asked return_token_ids */
    bool usage;     /* a stream whose caller asked include_usage */
    bool resumed;   /* the caller has the answer's beginning already */
    int64_t created_s;
    uint32_t position;
    const position_key_t *position_key;
    text_t event_id;  /* of the last event; empty: none yet */
    bool started; /* the first event has been written */
    text_t buffered_text;
    text_t buffered_ids;
} response_t;

void response_free(response_t *response);

/* Takes more of the answer; a streamed one appends an event to out. */
void response_add_tokens(response_t *response, const send_tokens_action_t *tokens,
                   text_t *out);

/* Appends the end: the last events, or the whole answer. */
void response_finish(response_t *response, const finish_action_t *finish,
                     text_t *out);

/* Appends a refusal: an event named error, or the JSON object alone. */
void response_add_refusal(response_t *response,
                     const refuse_request_action_t *refuse, text_t *out);

/* Appends the JSON object of a refusal. */
void refusal_json(const refuse_request_action_t *refuse, text_t *out);

/* The HTTP status that a refusal of this kind has unless it names one. */
uint32_t refusal_status(refusal_t refusal);

/* A refusal that the daemon makes itself, of a request that was not run. */
refuse_request_action_t refusal_new(refusal_t refusal, uint32_t status,
                                    char *message);

#endif
