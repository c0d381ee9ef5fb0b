/* answer.c - the generated answer to one request. */
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "policy/answer.h"

enum { INITIAL_CAPACITY = 64, HASH_SHIFT = 29 };

static const uint64_t hash_multiplier = 0x9e3779b97f4a7c15U;

static void append_tokens(answer_t *answer, const answer_segment_t *segment);
static void append_text(answer_t *answer, const answer_segment_t *segment);
static void append_boundary(answer_t *answer);
static bool may_write(const answer_t *answer, uint32_t attempt);
static void fence_other_writers(answer_t *answer, uint32_t attempt);
static bool find_stop_string(answer_t *answer);
static void truncate_text(answer_t *answer, uint32_t text_bytes);
static bool is_stop_string_prefix(const answer_t *answer, uint32_t from);
static uint32_t grow_capacity(uint32_t capacity, uint32_t needed);

void
answer_init(answer_t *answer, const char *stop_strings, uint32_t stop_bytes)
{
    memset(answer, 0, sizeof(*answer));
    answer->stop_strings = stop_strings;
    answer->stop_bytes = stop_bytes;
}

void
answer_free(answer_t *answer)
{
    free(answer->token_ids);
    free(answer->text);
    free(answer->boundaries);
    memset(answer, 0, sizeof(*answer));
}

void
answer_add_writer(answer_t *answer, uint32_t attempt, bool concurrent)
{
    if (!concurrent) {
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
answer_revoke_writer(answer_t *answer, uint32_t attempt)
{
    for (size_t i = 0; i < ANSWER_WRITERS_MAX; i++) {
        if (answer->writers[i] == attempt) {
            answer->writers[i] = 0;
        }
    }
}

append_result_t
answer_append(answer_t *answer, uint32_t attempt,
              const answer_segment_t *segment)
{
    if (!may_write(answer, attempt)) {
        return APPEND_FENCED;
    }
    if (answer->finish != FINISH_NONE) {
        return APPEND_ENDED;
    }
    if (segment->position < answer->token_count) {
        return APPEND_DUPLICATE;
    }
    if (segment->position > answer->token_count) {
        return APPEND_GAP;
    }
    fence_other_writers(answer, attempt);
    append_tokens(answer, segment);
    append_text(answer, segment);
    if (segment->token_count > 0 || segment->text_bytes > 0) {
        append_boundary(answer);
    }
    if (find_stop_string(answer)) {
        answer_end(answer, FINISH_STOP);
    }
    else if (segment->finish != FINISH_NONE) {
        answer_end(answer, segment->finish);
    }
    return APPEND_DONE;
}

void
answer_restore(answer_t *answer, const answer_snapshot_t *snapshot)
{
    answer_segment_t segment = {
        .token_ids = snapshot->token_ids,
        .token_count = snapshot->token_count,
        .text = snapshot->text,
        .text_bytes = snapshot->text_bytes,
    };

    append_tokens(answer, &segment);
    append_text(answer, &segment);
    if (snapshot->boundary_count > 0) {
        answer->boundary_capacity = snapshot->boundary_count;
        answer->boundaries =
            xrealloc(answer->boundaries, snapshot->boundary_count,
                     sizeof(record_boundary_t));
        memcpy(answer->boundaries, snapshot->boundaries,
               snapshot->boundary_count * sizeof(record_boundary_t));
        answer->boundary_count = snapshot->boundary_count;
    }
    if (find_stop_string(answer)) {
        answer_end(answer, FINISH_STOP);
    }
}

void
answer_restore_tail(answer_t *answer, const uint32_t *token_ids,
                    uint32_t count)
{
    answer_segment_t segment = {.token_ids = token_ids, .token_count = count};

    append_tokens(answer, &segment);
    append_boundary(answer);
    answer->scanned_bytes = answer->text_bytes;
    answer->ready_boundary = answer->boundary_count;
    answer->first_boundary = answer->boundary_count;
}

void
answer_end(answer_t *answer, finish_reason_t finish)
{
    answer->finish = finish;
    answer->ready_boundary = answer->boundary_count;
}

int64_t
answer_boundary_at(const answer_t *answer, uint32_t position)
{
    uint32_t low = 0;
    uint32_t high = answer->boundary_count;

    if (position == 0) {
        return 0;
    }
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (answer->boundaries[middle].position < position) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low < answer->boundary_count &&
        answer->boundaries[low].position == position) {
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
        hash = (hash ^ answer->token_ids[i]) * hash_multiplier;
        hash ^= hash >> HASH_SHIFT;
    }
    return hash;
}

record_boundary_t
answer_boundary(const answer_t *answer, uint32_t number)
{
    record_boundary_t start = {0, 0};

    return number == 0 ? start : answer->boundaries[number - 1];
}

static bool
may_write(const answer_t *answer, uint32_t attempt)
{
    return attempt != 0 &&
           (answer->writers[0] == attempt || answer->writers[1] == attempt);
}

static void
fence_other_writers(answer_t *answer, uint32_t attempt)
{
    answer->writers[0] = attempt;
    answer->writers[1] = 0;
}

static void
append_tokens(answer_t *answer, const answer_segment_t *segment)
{
    uint32_t needed = answer->token_count + segment->token_count;

    if (segment->token_count == 0) {
        return;
    }
    if (needed > answer->token_capacity) {
        answer->token_capacity = grow_capacity(answer->token_capacity, needed);
        answer->token_ids = xrealloc(answer->token_ids, answer->token_capacity,
                                     sizeof(uint32_t));
    }
    memcpy(answer->token_ids + answer->token_count, segment->token_ids,
           segment->token_count * sizeof(uint32_t));
    answer->token_count = needed;
}

static void
append_text(answer_t *answer, const answer_segment_t *segment)
{
    uint32_t needed = answer->text_bytes + segment->text_bytes;

    if (segment->text_bytes == 0) {
        return;
    }
    if (needed > answer->text_capacity) {
        answer->text_capacity = grow_capacity(answer->text_capacity, needed);
        answer->text = xrealloc(answer->text, answer->text_capacity, 1);
    }
    memcpy(answer->text + answer->text_bytes, segment->text,
           segment->text_bytes);
    answer->text_bytes = needed;
}

static void
append_boundary(answer_t *answer)
{
    record_boundary_t *boundary;

    if (answer->boundary_count == answer->boundary_capacity) {
        answer->boundary_capacity = grow_capacity(answer->boundary_capacity,
                                                  answer->boundary_count + 1);
        answer->boundaries =
            xrealloc(answer->boundaries, answer->boundary_capacity,
                     sizeof(record_boundary_t));
    }
    boundary = &answer->boundaries[answer->boundary_count];
    boundary->position = answer->token_count;
    boundary->text_bytes = answer->text_bytes;
    answer->boundary_count++;
}

/*
 * Searches the text that has not been scanned yet for the earliest stop
 * string.  If there is one, truncates the text before it and returns true.
 * Otherwise makes all segments ready that end before the first place where
 * a stop string may have begun.
 */
static bool
find_stop_string(answer_t *answer)
{
    uint32_t at = answer->scanned_bytes;

    if (answer->stop_bytes == 0) {
        answer->ready_boundary = answer->boundary_count;
        return false;
    }
    for (; at < answer->text_bytes; at++) {
        const char *stop = answer->stop_strings;
        const char *end = answer->stop_strings + answer->stop_bytes;

        for (; stop < end; stop += strlen(stop) + 1) {
            size_t length = strlen(stop);

            if (length > 0 && length <= answer->text_bytes - at &&
                memcmp(answer->text + at, stop, length) == 0) {
                truncate_text(answer, at);
                return true;
            }
        }
        if (is_stop_string_prefix(answer, at)) {
            break;
        }
    }
    answer->scanned_bytes = at;
    while (answer->ready_boundary < answer->boundary_count &&
           answer->boundaries[answer->ready_boundary].text_bytes <= at) {
        answer->ready_boundary++;
    }
    return false;
}

/* Truncates the text; segments that extended further keep their tokens. */
static void
truncate_text(answer_t *answer, uint32_t text_bytes)
{
    answer->text_bytes = text_bytes;
    for (uint32_t i = answer->boundary_count; i > 0; i--) {
        if (answer->boundaries[i - 1].text_bytes <= text_bytes) {
            return;
        }
        answer->boundaries[i - 1].text_bytes = text_bytes;
    }
}

/* Returns whether all text after from is the prefix of a stop string. */
static bool
is_stop_string_prefix(const answer_t *answer, uint32_t from)
{
    size_t length = answer->text_bytes - from;
    const char *stop = answer->stop_strings;
    const char *end = answer->stop_strings + answer->stop_bytes;

    for (; stop < end; stop += strlen(stop) + 1) {
        if (length < strlen(stop) &&
            memcmp(answer->text + from, stop, length) == 0) {
            return true;
        }
    }
    return false;
}

static uint32_t
grow_capacity(uint32_t capacity, uint32_t needed)
{
    uint32_t larger = capacity == 0 ? INITIAL_CAPACITY : capacity * 2;

    return larger > needed ? larger : needed;
}
