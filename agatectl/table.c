/* table.c - prints JSON objects as a table with aligned columns. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "agatectl/agatectl.h"

enum { CELL_BYTES = 160, COLUMN_GAP_CHARS = 2, COLUMNS_MAX = 16 };

static void format_cell(const json_t *row, const table_column_t *column,
                        char *cell);

void
table_print(const json_t *rows, const table_column_t *columns, size_t count)
{
    size_t widths[COLUMNS_MAX] = {0};
    char cell[CELL_BYTES];
    size_t row;
    size_t i;

    for (i = 0; i < count; i++) {
        widths[i] = strlen(columns[i].heading);
        for (row = 0; row < json_array_size(rows); row++) {
            format_cell(json_array_get(rows, row), &columns[i], cell);
            if (strlen(cell) > widths[i]) {
                widths[i] = strlen(cell);
            }
        }
    }
    for (i = 0; i < count; i++) {
        (void)printf("%-*s",
                     (int)(i + 1 < count ? widths[i] + COLUMN_GAP_CHARS : 0),
                     columns[i].heading);
    }
    (void)printf("\n");
    for (row = 0; row < json_array_size(rows); row++) {
        for (i = 0; i < count; i++) {
            format_cell(json_array_get(rows, row), &columns[i], cell);
            (void)printf(
                "%-*s",
                (int)(i + 1 < count ? widths[i] + COLUMN_GAP_CHARS : 0), cell);
        }
        (void)printf("\n");
    }
}

static void
format_cell(const json_t *row, const table_column_t *column, char *cell)
{
    const json_t *value = json_object_get(row, column->member);

    if (json_is_integer(value)) {
        (void)snprintf(cell, CELL_BYTES, "%" JSON_INTEGER_FORMAT,
                       json_integer_value(value));
    }
    else if (json_is_real(value)) {
        (void)snprintf(cell, CELL_BYTES, "%.4g", json_real_value(value));
    }
    else if (json_is_boolean(value)) {
        (void)snprintf(cell, CELL_BYTES, "%s",
                       json_is_true(value) ? "yes" : "no");
    }
    else {
        const char *string = json_string_value(value);

        (void)snprintf(cell, CELL_BYTES, "%s",
                       string == NULL || *string == '\0' ? "-" : string);
    }
}
