/*
 * generate.h - what the stand-in engines generate: pure, no input or output.
 *
 * Token ids 0 to 255 are the bytes of a prompt; ids from 256 on are output.
 * The next token is a function of the model's name and every id before it,
 * prompt and output alike, so an engine that is given the prompt and the
 * output so far goes on with the same sequence, and a token that is lost or
 * doubled changes all that follow.
 *
 * "LENGTH=n" in the prompt sets after how many output tokens the stop token
 * comes; without it, one token in about 5,000 is the stop token.
 */
#ifndef REGRESS_STANDIN_GENERATE_H
#define REGRESS_STANDIN_GENERATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    GENERATE_STOP = 256,        /* end of text */
    GENERATE_FIRST_HALF = 257,  /* 64 ids: the start of a character */
    GENERATE_SECOND_HALF = 321, /* 64 ids: the rest of that character */
    GENERATE_WORD = 385,        /* 4096 ids: a space and a short word */
    GENERATE_WORD_COUNT = 4096,
    GENERATE_HALF_COUNT = 64,
    GENERATE_TEXT_BYTES = 24,
};

typedef struct {
    uint64_t hash;
    uint32_t last;
    uint32_t output_count; /* output ids fed so far */
    uint32_t length;       /* from the directive; 0: none */
    uint32_t matched;      /* bytes of the directive seen */
} generate_t;

/* Starts a context for the model (by name). */
void generate_init(generate_t *generate, const char *model);

/* Appends one id to the context. */
void generate_feed(generate_t *generate, uint32_t id);

/* Appends a text of the prompt: each byte is an id. */
void generate_feed_text(generate_t *generate, const char *text);

/* The id that follows the context; feed it to go on. */
uint32_t generate_next(const generate_t *generate);

/*
 * A first output id that differs with the salt, as an unseeded engine's
 * does: two generations of one prompt then differ in every token.
 */
uint32_t generate_first(const generate_t *generate, uint64_t salt);

/*
 * The text of an output id, ended by a NUL, in text[GENERATE_TEXT_BYTES];
 * empty for the stop token and for the first half of a character, whose
 * whole text comes with the second half.
 */
void generate_text(uint32_t id, char *text);

#endif
