/*
 * response.h - writes a response in the OpenAI formats.
 *
 * A streamed response consists of server-sent events, each with an id
 * (position.h); any other response is one JSON object.  These functions only
 * append to a buffer; exchange.c sends it.
 */
#ifndef AGATED_RESPONSE_H
#define AGATED_RESPONSE_H

#include <stdbool.h>
#include <stdint.h>

#include "agated/position.h"
#include "base/text.h"
#include "policy/generated/event.h"

/*
 * The state of one response.  Members that are not set before the first call
 * are zero.  Strings are not copied.
 */
typedef struct {
    const char *name;  /* the request's name, without the organisation */
    const char *model; /* as in the request */
    endpoint_t endpoint;
    bool stream;
    bool token_ids;     /* return_token_ids was requested */
    bool include_usage; /* include_usage was requested for a stream */
    bool resumed;       /* the caller has received the first part */
    int64_t created_s;
    uint32_t position;
    const position_key_t *position_key;
    text_t event_id; /* of the last event; empty before the first */
    bool started;    /* the first event has been written */
    text_t buffered_text;
    text_t buffered_ids;
} response_t;

void response_free(response_t *response);

/* Adds tokens: appends an event to out if streamed, else buffers them. */
void response_add_tokens(response_t *response,
                         const send_tokens_action_t *tokens, text_t *out);

/* Appends the final events, or the complete JSON object. */
void response_finish(response_t *response, const finish_action_t *finish,
                     text_t *out);

/*
 * Appends a refusal: an event named error if the stream has started, else the
 * JSON object.
 */
void response_add_refusal(response_t *response,
                          const refuse_request_action_t *refuse, text_t *out);

/* Appends the JSON object of a refusal. */
void refusal_write_json(const refuse_request_action_t *refuse, text_t *out);

/* Returns the default HTTP status of a refusal. */
uint32_t refusal_status(refusal_t refusal);

/*
 * Returns a refusal of a request that was not run.  The message is not copied;
 * status 0 stands for the default status.
 */
refuse_request_action_t refusal_new(refusal_t refusal, uint32_t status,
                                    char *message);

#endif
