/* diff.c - prints the differences between two texts by lines. */
#include <stdio.h>
#include <string.h>

#include "agatectl/agatectl.h"

enum { CONTEXT_LINES = 3, LINES_MAX = 4000 };

typedef struct {
    const char *start;
    size_t length;
} line_t;

typedef struct {
    line_t *lines;
    size_t count;
} lines_t;

/* An output line; the marker is ' ', '-' or '+'. */
typedef struct {
    char marker;
    line_t line;
} edit_t;

static lines_t split_lines(arena_t *arena, const char *text);
static bool lines_equal(const line_t *a, const line_t *b);
static size_t compute_edits(arena_t *arena, const lines_t *from,
                            const lines_t *to, edit_t *edits);
static void print_edits(const edit_t *edits, size_t count);
static bool is_near_change(const edit_t *edits, size_t count, size_t at);

bool
diff_print(arena_t *arena, const char *from_name, const char *from,
           const char *to_name, const char *to)
{
    lines_t from_lines = split_lines(arena, from);
    lines_t to_lines = split_lines(arena, to);
    edit_t *edits;
    size_t count;

    if (strcmp(from, to) == 0) {
        return false;
    }
    if (from_lines.count > LINES_MAX || to_lines.count > LINES_MAX) {
        (void)printf("%s and %s differ\n", from_name, to_name);
        return true;
    }
    edits =
        arena_array(arena, from_lines.count + to_lines.count, sizeof(*edits));
    count = compute_edits(arena, &from_lines, &to_lines, edits);
    (void)printf("--- %s\n+++ %s\n", from_name, to_name);
    print_edits(edits, count);
    return true;
}

static lines_t
split_lines(arena_t *arena, const char *text)
{
    lines_t lines = {0};
    const char *at;

    for (at = text; *at != '\0'; at++) {
        lines.count += *at == '\n' || at[1] == '\0' ? 1 : 0;
    }
    lines.lines = arena_array(arena, lines.count, sizeof(line_t));
    lines.count = 0;
    for (at = text; *at != '\0';) {
        line_t *line = &lines.lines[lines.count];

        line->start = at;
        line->length = strcspn(at, "\n");
        at += line->length;
        at += *at == '\n' ? 1 : 0;
        lines.count++;
    }
    return lines;
}

static bool
lines_equal(const line_t *a, const line_t *b)
{
    return a->length == b->length &&
           memcmp(a->start, b->start, a->length) == 0;
}

/*
 * Computes the edits by dynamic programming: lcs_lengths holds the length of
 * the longest common subsequence of each pair of suffixes.
 */
static size_t
compute_edits(arena_t *arena, const lines_t *from, const lines_t *to,
              edit_t *edits)
{
    size_t rows = from->count + 1;
    size_t columns = to->count + 1;
    uint32_t *lcs_lengths =
        arena_array(arena, rows * columns, sizeof(*lcs_lengths));
    size_t count = 0;
    size_t i;
    size_t j;

    for (i = from->count; i-- > 0;) {
        for (j = to->count; j-- > 0;) {
            uint32_t down = lcs_lengths[(i + 1) * columns + j];
            uint32_t right = lcs_lengths[i * columns + j + 1];

            lcs_lengths[i * columns + j] =
                lines_equal(&from->lines[i], &to->lines[j])
                    ? lcs_lengths[(i + 1) * columns + j + 1] + 1
                : down > right ? down
                               : right;
        }
    }
    i = 0;
    j = 0;
    while (i < from->count || j < to->count) {
        if (i < from->count && j < to->count &&
            lines_equal(&from->lines[i], &to->lines[j])) {
            edits[count++] = (edit_t){' ', from->lines[i]};
            i++;
            j++;
        }
        else if (j == to->count ||
                 (i < from->count && lcs_lengths[(i + 1) * columns + j] >=
                                         lcs_lengths[i * columns + j + 1])) {
            edits[count++] = (edit_t){'-', from->lines[i]};
            i++;
        }
        else {
            edits[count++] = (edit_t){'+', to->lines[j]};
            j++;
        }
    }
    return count;
}

static void
print_edits(const edit_t *edits, size_t count)
{
    bool lines_skipped = false;
    size_t i;

    for (i = 0; i < count; i++) {
        if (!is_near_change(edits, count, i)) {
            lines_skipped = true;
            continue;
        }
        if (lines_skipped) {
            (void)printf("...\n");
            lines_skipped = false;
        }
        (void)printf("%c%.*s\n", edits[i].marker, (int)edits[i].line.length,
                     edits[i].line.start);
    }
}

static bool
is_near_change(const edit_t *edits, size_t count, size_t at)
{
    size_t first = at > CONTEXT_LINES ? at - CONTEXT_LINES : 0;
    size_t i;

    for (i = first; i < count && i <= at + CONTEXT_LINES; i++) {
        if (edits[i].marker != ' ') {
            return true;
        }
    }
    return false;
}
