/* answer.c - see answer.h. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "policy/answer.h"

enum { GROW_START = 64, HASH_SHIFT = 29 };

static const uint64_t hash_factor = 0x9e3779b97f4a7c15U;

static void append_tokens(answer_t *answer, const answer_unit_t *unit);
static void append_text(answer_t *answer, const answer_unit_t *unit);
static void append_cut(answer_t *answer);
static bool may_write(const answer_t *answer, uint32_t attempt);
static void take_over(answer_t *answer, uint32_t attempt);
static bool find_stop(answer_t *answer);
static void truncate_text(answer_t *answer, uint32_t text_bytes);
static bool ends_in_stop_prefix(const answer_t *answer, uint32_t from);
static uint32_t grown(uint32_t capacity, uint32_t needed);

void
answer_init(answer_t *answer, const char *stop, uint32_t stop_bytes)
{
    memset(answer, 0, sizeof(*answer));
    answer->stop = stop;
    answer->stop_bytes = stop_bytes;
}

void
answer_free(answer_t *answer)
{
    free(answer->token_ids);
    free(answer->text);
    free(answer->cuts);
    memset(answer, 0, sizeof(*answer));
}

void
answer_admit(answer_t *answer, uint32_t attempt, bool beside)
{
    if (!beside) {
        answer->writers[1] = 0;
        answer->writers[0] = attempt;
        return;
    }
    if (answer->writers[0] == 0) {
        answer->writers[0] = attempt;
        return;
    }
    answer->writers[1] = attempt;
}

void
answer_fence(answer_t *answer, uint32_t attempt)
{
    for (size_t i = 0; i < ANSWER_WRITERS; i++) {
        if (answer->writers[i] == attempt) {
            answer->writers[i] = 0;
        }
    }
}

append_result_t
answer_append(answer_t *answer, uint32_t attempt, const answer_unit_t *unit)
{
    if (!may_write(answer, attempt)) {
        return APPEND_FENCED;
    }
    if (answer->finish != FINISH_NONE) {
        return APPEND_ENDED;
    }
    if (unit->position < answer->token_count) {
        return APPEND_REPEATED;
    }
    if (unit->position > answer->token_count) {
        return APPEND_AHEAD;
    }
    take_over(answer, attempt);
    append_tokens(answer, unit);
    append_text(answer, unit);
    if (unit->token_count > 0 || unit->text_bytes > 0) {
        append_cut(answer);
    }
    if (find_stop(answer)) {
        answer_end(answer, FINISH_STOP);
    }
    else if (unit->finish != FINISH_NONE) {
        answer_end(answer, unit->finish);
    }
    return APPEND_DONE;
}

void
answer_restore(answer_t *answer, const answer_copy_t *copy)
{
    answer_unit_t unit = {
        .token_ids = copy->token_ids,
        .token_count = copy->token_count,
        .text = copy->text,
        .text_bytes = copy->text_bytes,
    };

    append_tokens(answer, &unit);
    append_text(answer, &unit);
    if (copy->cut_count > 0) {
        answer->cut_capacity = copy->cut_count;
        answer->cuts =
            xrealloc(answer->cuts, copy->cut_count, sizeof(record_cut_t));
        memcpy(answer->cuts, copy->cuts,
               copy->cut_count * sizeof(record_cut_t));
        answer->cut_count = copy->cut_count;
    }
    if (find_stop(answer)) {
        answer_end(answer, FINISH_STOP);
    }
}

void
answer_restore_tail(answer_t *answer, const uint32_t *token_ids,
                    uint32_t count)
{
    answer_unit_t unit = {.token_ids = token_ids, .token_count = count};

    append_tokens(answer, &unit);
    append_cut(answer);
    answer->scanned_bytes = answer->text_bytes;
    answer->ready_cuts = answer->cut_count;
    answer->first_cut = answer->cut_count;
}

void
answer_end(answer_t *answer, finish_t finish)
{
    answer->finish = finish;
    answer->ready_cuts = answer->cut_count;
}

int64_t
answer_cut_at(const answer_t *answer, uint32_t position)
{
    uint32_t low = 0;
    uint32_t high = answer->cut_count;

    if (position == 0) {
        return 0;
    }
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (answer->cuts[middle].position < position) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low < answer->cut_count && answer->cuts[low].position == position) {
        return (int64_t)low + 1;
    }
    return -1;
}

uint64_t
answer_hash(const answer_t *answer, uint32_t from, uint32_t to,
            uint64_t before)
{
    uint64_t hash = before;

    for (uint32_t i = from; i < to; i++) {
        hash = (hash ^ answer->token_ids[i]) * hash_factor;
        hash ^= hash >> HASH_SHIFT;
    }
    return hash;
}

record_cut_t
answer_cut(const answer_t *answer, uint32_t number)
{
    record_cut_t start = {0, 0};

    return number == 0 ? start : answer->cuts[number - 1];
}

static bool
may_write(const answer_t *answer, uint32_t attempt)
{
    return attempt != 0 &&
           (answer->writers[0] == attempt || answer->writers[1] == attempt);
}

static void
take_over(answer_t *answer, uint32_t attempt)
{
    answer->writers[0] = attempt;
    answer->writers[1] = 0;
}

static void
append_tokens(answer_t *answer, const answer_unit_t *unit)
{
    uint32_t needed = answer->token_count + unit->token_count;

    if (unit->token_count == 0) {
        return;
    }
    if (needed > answer->token_capacity) {
        answer->token_capacity = grown(answer->token_capacity, needed);
        answer->token_ids = xrealloc(answer->token_ids, answer->token_capacity,
                                     sizeof(uint32_t));
    }
    memcpy(answer->token_ids + answer->token_count, unit->token_ids,
           unit->token_count * sizeof(uint32_t));
    answer->token_count = needed;
}

static void
append_text(answer_t *answer, const answer_unit_t *unit)
{
    uint32_t needed = answer->text_bytes + unit->text_bytes;

    if (unit->text_bytes == 0) {
        return;
    }
    if (needed > answer->text_capacity) {
        answer->text_capacity = grown(answer->text_capacity, needed);
        answer->text = xrealloc(answer->text, answer->text_capacity, 1);
    }
    memcpy(answer->text + answer->text_bytes, unit->text, unit->text_bytes);
    answer->text_bytes = needed;
}

static void
append_cut(answer_t *answer)
{
    record_cut_t *cut;

    if (answer->cut_count == answer->cut_capacity) {
        answer->cut_capacity =
            grown(answer->cut_capacity, answer->cut_count + 1);
        answer->cuts =
            xrealloc(answer->cuts, answer->cut_capacity, sizeof(record_cut_t));
    }
    cut = &answer->cuts[answer->cut_count];
    cut->position = answer->token_count;
    cut->text_bytes = answer->text_bytes;
    answer->cut_count++;
}

/*
 * Looks for the earliest stop string in the text that has not been looked
 * at.  Found: the text ends before it.  Not found: units from the first
 * possible start of a stop string on stay held back.
 */
static bool
find_stop(answer_t *answer)
{
    uint32_t at = answer->scanned_bytes;

    if (answer->stop_bytes == 0) {
        answer->ready_cuts = answer->cut_count;
        return false;
    }
    for (; at < answer->text_bytes; at++) {
        const char *stop = answer->stop;
        const char *end = answer->stop + answer->stop_bytes;

        for (; stop < end; stop += strlen(stop) + 1) {
            size_t length = strlen(stop);

            if (length > 0 && length <= answer->text_bytes - at &&
                memcmp(answer->text + at, stop, length) == 0) {
                truncate_text(answer, at);
                return true;
            }
        }
        if (ends_in_stop_prefix(answer, at)) {
            break;
        }
    }
    answer->scanned_bytes = at;
    while (answer->ready_cuts < answer->cut_count &&
           answer->cuts[answer->ready_cuts].text_bytes <= at) {
        answer->ready_cuts++;
    }
    return false;
}

/* Ends the text here; units that reached beyond keep their tokens. */
static void
truncate_text(answer_t *answer, uint32_t text_bytes)
{
    answer->text_bytes = text_bytes;
    for (uint32_t i = answer->cut_count; i > 0; i--) {
        if (answer->cuts[i - 1].text_bytes <= text_bytes) {
            return;
        }
        answer->cuts[i - 1].text_bytes = text_bytes;
    }
}

/* Whether all text from here on is the beginning of a stop string. */
static bool
ends_in_stop_prefix(const answer_t *answer, uint32_t from)
{
    size_t rest = answer->text_bytes - from;
    const char *stop = answer->stop;
    const char *end = answer->stop + answer->stop_bytes;

    for (; stop < end; stop += strlen(stop) + 1) {
        if (rest < strlen(stop) &&
            memcmp(answer->text + from, stop, rest) == 0) {
            return true;
        }
    }
    return false;
}

static uint32_t
grown(uint32_t capacity, uint32_t needed)
{
    uint32_t larger = capacity == 0 ? GROW_START : capacity * 2;

    return larger > needed ? larger : needed;
}
