/*
 * engine.h - the stand-in engine: generations, and the way they are sent.
 */
#ifndef REGRESS_STANDIN_ENGINE_H
#define REGRESS_STANDIN_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "regress/standin/generate.h"
#include "regress/standin/server.h"

enum {
    ENGINE_NAME_BYTES = 160,
    ENGINE_MODEL_BYTES = 64,
    ENGINE_TAG_BYTES = 96
};

typedef struct {
    uint32_t port;
    uint32_t token_us;
    uint32_t prefill_us_per_token;
    uint32_t batch; /* streams that generate at once */
    uint32_t cache_blocks;
    bool vary;          /* unseeded generations differ in their first token */
    const char *models; /* names, with commas between */
    const char *journal;
} engine_options_t;

typedef enum {
    GENERATION_WAITING,
    GENERATION_RUNNING,
    GENERATION_DONE,
} generation_state_t;

/* One generation; it outlives the connection that asked for it. */
typedef struct generation generation_t;
struct generation {
    generation_t *next;
    char id[ENGINE_NAME_BYTES];
    char model[ENGINE_MODEL_BYTES];
    char tag[ENGINE_TAG_BYTES]; /* what "REQUEST=..." in the prompt says */
    bool chat;
    bool return_token_ids;
    bool has_seed;
    bool crashes; /* the process aborts at its fifth token */
    generation_state_t state;
    int64_t priority;
    uint32_t max_tokens;
    uint32_t *prompt_ids;
    uint32_t prompt_count;
    uint32_t *output_ids;
    uint32_t output_count;
    const char *finish;
    generate_t generate;
    uint64_t due_us;     /* when the next token is there */
    uint64_t since_us;   /* when it lost its connection, or was done */
    server_conn_t *conn; /* NULL: none is bound */
    bool streamed;
    uint32_t sent_count; /* pieces given to conn */
};

/* engine_cache.c: the bounded cache of prompt prefixes. */
void cache_init(uint32_t blocks_max);
/* Returns how many of the ids were cached; afterwards all are. */
uint32_t cache_prompt(const uint32_t *ids, uint32_t count);

/* engine_send.c: pieces and whole answers in the published format. */
void send_pieces(generation_t *generation);
void send_whole(generation_t *generation);
void send_error(server_conn_t *conn, int status, const char *message);
void send_json(server_conn_t *conn, json_t *json);

/* engine_request.c: makes a generation of a body; NULL when it is wrong. */
generation_t *request_parse(const server_request_t *request, bool chat);

#endif
