/* load_answer.c - reads what came as events of a session's history. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "regress/standin/load.h"

enum { GROW_EVENTS = 64 };

static void add_tokens(session_t *session, const json_t *choice,
                       uint32_t before);
static void add_end(session_t *session, bool named_other);
static void add_refusal(session_t *session, const json_t *error);
static void take_event(session_t *session, const json_t *json);
static void append_text(session_t *session, const char *text);

void
session_record(session_t *session, history_event_t event)
{
    if (session->event_count % GROW_EVENTS == 0) {
        session->events =
            realloc(session->events, (session->event_count + GROW_EVENTS) *
                                         sizeof(*session->events));
    }
    event.time_us = uv_hrtime() / 1000;
    session->events[session->event_count++] = event;
}

static void
append_text(session_t *session, const char *text)
{
    size_t length = strlen(text);

    session->text = realloc(session->text, session->text_bytes + length + 1);
    memcpy(session->text + session->text_bytes, text, length + 1);
    session->text_bytes += length;
    if (session->options->print) {
        fputs(text, stdout);
        fflush(stdout);
    }
}

static void
add_tokens(session_t *session, const json_t *choice, uint32_t before)
{
    const json_t *list = json_object_get(choice, "token_ids");
    history_event_t event = {.kind = HISTORY_PIECE,
                             .position = before,
                             .first_id = session->id_count,
                             .id_count = (uint32_t)json_array_size(list),
                             .named_other = session->event_named_other};
    json_t *id;
    size_t index;

    if (event.id_count == 0) {
        return;
    }
    session->ids = realloc(session->ids, (session->id_count + event.id_count) *
                                             sizeof(*session->ids));
    json_array_foreach(list, index, id)
    {
        session->ids[session->id_count++] = (uint32_t)json_integer_value(id);
    }
    session_expect(session);
    session->held += event.id_count;
    session_record(session, event);
}

static void
add_end(session_t *session, bool named_other)
{
    const char *text = session->text != NULL ? session->text : "";
    bool clean;

    session_expect(session);
    clean = session->finish != NULL &&
            strcmp(session->finish, session->expected.finish) == 0 &&
            strcmp(text, session->expected.text) == 0;

    session->ended = true;
    session_record(session, (history_event_t){.kind = HISTORY_END,
                                              .clean = clean,
                                              .named_other = named_other});
}

/* A refusal that another try may mend does not end the session. */
static void
add_refusal(session_t *session, const json_t *error)
{
    static const char *const lasting[] = {"harmful",      "invalid",
                                          "unauthorised", "unknown-model",
                                          "unknown-kind", "superseded"};
    const char *run = json_string_value(json_object_get(error, "run"));
    const char *kind = json_string_value(json_object_get(error, "kind"));
    history_event_t event = {.kind = HISTORY_REFUSED, .run = HISTORY_UNKNOWN};

    if (run != NULL && strcmp(run, "not-run") == 0) {
        event.run = HISTORY_NOT_RUN;
    }
    else if (run != NULL && strcmp(run, "ran") == 0) {
        event.run = HISTORY_RAN;
    }
    session_record(session, event);
    session->ended =
        !session->plan->idempotent ||
        (event.run == HISTORY_NOT_RUN && session->event_count == 1);
    for (size_t i = 0; i < sizeof(lasting) / sizeof(lasting[0]); i++) {
        session->ended |= kind != NULL && strcmp(kind, lasting[i]) == 0;
    }
    snprintf(session->refusal, sizeof(session->refusal), "%s",
             kind != NULL ? kind : "?");
    session->superseded = kind != NULL && strcmp(kind, "superseded") == 0;
    if (session->options->print) {
        fprintf(stderr, "refused: %s, %s\n", kind != NULL ? kind : "?",
                run != NULL ? run : "?");
    }
}

static void
take_event(session_t *session, const json_t *json)
{
    const json_t *choice = json_array_get(json_object_get(json, "choices"), 0);
    const json_t *text = json_object_get(choice, "text");
    const json_t *ids = json_object_get(choice, "token_ids");
    const char *finish =
        json_string_value(json_object_get(choice, "finish_reason"));

    if (text == NULL) {
        text = json_object_get(json_object_get(choice, "delta"), "content");
    }
    add_tokens(session, choice,
               session->event_position - (uint32_t)json_array_size(ids));
    if (json_string_length(text) > 0) {
        append_text(session, json_string_value(text));
    }
    if (finish != NULL) {
        session->finish = strcmp(finish, "stop") == 0 ? "stop" : "length";
    }
}

void
answer_line(session_t *session, const char *line)
{
    const char *name = session->plan->name;
    size_t length = strlen(name);
    json_t *json;

    if (strncmp(line, "id: ", 4) == 0) {
        session->event_named_other =
            strncmp(line + 4, name, length) != 0 || line[4 + length] != '.';
        if (!session->event_named_other) {
            session->event_position =
                (uint32_t)strtoul(line + 4 + length + 1, NULL, 10);
        }
        free(session->event_id);
        session->event_id = strdup(line + 4);
    }
    else if (strcmp(line, "event: error") == 0) {
        session->error_event = true;
    }
    else if (strcmp(line, "data: [DONE]") == 0) {
        add_end(session, session->event_named_other);
    }
    else if (strncmp(line, "data: ", 6) == 0) {
        json = json_loads(line + 6, 0, NULL);
        free(session->last_id);
        session->last_id = session->event_id;
        session->event_id = NULL;
        if (session->error_event) {
            add_refusal(session, json_object_get(json, "error"));
        }
        else {
            take_event(session, json);
        }
        session->error_event = false;
        json_decref(json);
    }
}

/* A body that is no event stream: a whole answer, or a refusal. */
void
answer_body(session_t *session)
{
    json_t *json = json_loadb(session->input, session->input_bytes, 0, NULL);
    const json_t *choice = json_array_get(json_object_get(json, "choices"), 0);
    const json_t *text = json_object_get(choice, "text");
    const char *id = json_string_value(json_object_get(json, "id"));
    const char *served = json_string_value(json_object_get(json, "path"));
    const char *finish =
        json_string_value(json_object_get(choice, "finish_reason"));

    session->event_named_other = false;
    if (session->status != 200) {
        add_refusal(session, json_object_get(json, "error"));
    }
    else if (session->plan->endpoint == LOAD_PLAIN) {
        session->finish = "stop";
        add_end(session,
                served == NULL || strstr(served, session->plan->tag) == NULL);
    }
    else {
        if (text == NULL) {
            text =
                json_object_get(json_object_get(choice, "message"), "content");
        }
        session->event_named_other =
            id == NULL || strchr(id, '-') == NULL ||
            strcmp(strchr(id, '-') + 1, session->plan->name) != 0;
        session->finish =
            finish != NULL && strcmp(finish, "stop") == 0 ? "stop" : "length";
        add_tokens(session, choice, 0);
        append_text(session, text != NULL ? json_string_value(text) : "");
        add_end(session, session->event_named_other);
    }
    json_decref(json);
}
