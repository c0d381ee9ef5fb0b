/* generate.c - what the stand-in engines generate. */
#include <bsd/string.h>
#include <string.h>

#include "regress/standin/generate.h"

enum {
    HALF_ONE_IN = 16,
    STOP_ONE_IN = 5000,
    SYLLABLES = 16,
    LENGTH_MAX = 1000000,
};

static const char directive[] = "LENGTH=";

static uint64_t mix(uint64_t value);
static void scan_directive(generate_t *generate, uint32_t id);

static uint64_t
mix(uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9u;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

void
generate_init(generate_t *generate, const char *model)
{
    memset(generate, 0, sizeof(*generate));
    for (; *model != '\0'; model++) {
        generate->hash = mix(generate->hash * 31 + (unsigned char)*model + 1);
    }
}

static void
scan_directive(generate_t *generate, uint32_t id)
{
    const uint32_t whole = sizeof(directive) - 1;

    if (generate->matched == whole) {
        if (id >= '0' && id <= '9' && generate->length < LENGTH_MAX) {
            generate->length = generate->length * 10 + (id - '0');
            return;
        }
        generate->matched = 0;
    }
    if (id == (unsigned char)directive[generate->matched]) {
        generate->matched++;
    }
    else {
        generate->matched = id == (unsigned char)directive[0];
    }
    if (generate->matched == whole) {
        generate->length = 0;
    }
}

void
generate_feed(generate_t *generate, uint32_t id)
{
    generate->hash = mix(generate->hash + 0x9e3779b97f4a7c15u + id);
    generate->last = id;
    if (id >= GENERATE_STOP) {
        generate->output_count++;
    }
    else {
        scan_directive(generate, id);
    }
}

void
generate_feed_text(generate_t *generate, const char *text)
{
    for (; *text != '\0'; text++) {
        generate_feed(generate, (unsigned char)*text);
    }
}

uint32_t
generate_next(const generate_t *generate)
{
    uint64_t value = mix(generate->hash ^ 0x5851f42d4c957f2du);
    uint32_t last = generate->last;

    if (last >= GENERATE_FIRST_HALF && last < GENERATE_SECOND_HALF) {
        return last + GENERATE_HALF_COUNT;
    }
    if (generate->length > 0 && generate->output_count >= generate->length) {
        return GENERATE_STOP;
    }
    if (generate->length == 0 && value % STOP_ONE_IN == 0) {
        return GENERATE_STOP;
    }
    value = mix(value);
    if (value % HALF_ONE_IN == 0) {
        return GENERATE_FIRST_HALF +
               (uint32_t)(mix(value) % GENERATE_HALF_COUNT);
    }
    return GENERATE_WORD + (uint32_t)(mix(value) % GENERATE_WORD_COUNT);
}

uint32_t
generate_first(const generate_t *generate, uint64_t salt)
{
    return GENERATE_WORD +
           (uint32_t)(mix(generate->hash + mix(salt)) % GENERATE_WORD_COUNT);
}

void
generate_text(uint32_t id, char *text)
{
    static const char *const syllables[SYLLABLES] = {
        "ka", "to", "mi", "re", "su", "no", "ha",  "li",
        "pe", "du", "wa", "ge", "fo", "ri", "ban", "zel"};
    uint32_t index;

    text[0] = '\0';
    if (id >= GENERATE_SECOND_HALF && id < GENERATE_WORD) {
        /* The letters from U+3041 on, of three bytes each. */
        index = 0x3041 + id - GENERATE_SECOND_HALF;
        text[0] = (char)(0xe0 | (index >> 12));
        text[1] = (char)(0x80 | ((index >> 6) & 0x3f));
        text[2] = (char)(0x80 | (index & 0x3f));
        text[3] = '\0';
        return;
    }
    if (id < GENERATE_WORD || id >= GENERATE_WORD + GENERATE_WORD_COUNT) {
        return;
    }
    index = id - GENERATE_WORD;
    strlcpy(text, " ", GENERATE_TEXT_BYTES);
    strlcat(text, syllables[index % SYLLABLES], GENERATE_TEXT_BYTES);
    strlcat(text, syllables[index / SYLLABLES % SYLLABLES],
            GENERATE_TEXT_BYTES);
    strlcat(text, syllables[index / SYLLABLES / SYLLABLES],
            GENERATE_TEXT_BYTES);
}
