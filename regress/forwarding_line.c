/* forwarding_line.c - reads the words of a script's line. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <xxhash.h>

#include "regress/forwarding_private.h"

static char ids[WORDS_MAX][WORDS_MAX];

void
line_split(line_t *line, const char *text)
{
    char *rest = line->text;
    char *word;

    (void)snprintf(line->text, sizeof(line->text), "%s", text);
    line->count = 0;
    while ((word = strsep(&rest, " ")) != NULL && line->count < WORDS_MAX) {
        line->words[line->count] = word;
        line->count++;
    }
}

const char *
line_value(const line_t *line, const char *name)
{
    size_t length = strlen(name);
    size_t i;

    for (i = 0; i < line->count; i++) {
        if (strncmp(line->words[i], name, length) == 0 &&
            line->words[i][length] == '=') {
            return line->words[i] + length + 1;
        }
    }
    return NULL;
}

bool
line_has(const line_t *line, const char *word)
{
    size_t i;

    for (i = 0; i < line->count; i++) {
        if (strcmp(line->words[i], word) == 0) {
            return true;
        }
    }
    return false;
}

int64_t
line_number(const line_t *line, size_t word)
{
    ck_assert_msg(word < line->count, "%s: a number is missing",
                  line->words[0]);
    return strtoll(line->words[word], NULL, DECIMAL);
}

registration_t
line_registration(const line_t *line, size_t word, char *address)
{
    const char *name = line->words[word];
    const char *id = line_value(line, "as");
    const char *born = line_value(line, "born");
    const char *version = line_value(line, "version");
    static char zones[WORDS_MAX][2];
    static char services[WORDS_MAX][2];

    ck_assert_msg(strlen(name) == 3, "no runner: %s", name);
    (void)snprintf(zones[word], sizeof(zones[word]), "%c", name[1]);
    (void)snprintf(services[word], sizeof(services[word]), "%c", name[0]);
    (void)snprintf(address, ADDRESS_BYTES, "10.%d.%d.%c:80", name[0] - 'a',
                   name[1] - 'a', name[2]);
    (void)snprintf(ids[word], sizeof(ids[word]), "%s", id != NULL ? id : name);
    return (registration_t){
        .id = ids[word],
        .service = services[word],
        .address = address,
        .zone = zones[word],
        .version = version,
        .slots = 6,
        .draining = line_has(line, "draining"),
        .started_ms = born != NULL ? strtoll(born, NULL, DECIMAL) : 0,
    };
}

int64_t
line_time_us(const line_t *line, const char *name, int64_t at_ms)
{
    const char *value = line_value(line, name);

    return (value != NULL ? strtoll(value, NULL, DECIMAL) : at_ms) * US_PER_MS;
}

const runner_report_t *
line_report(const line_t *line)
{
    static const char *run;
    static runner_report_t report;
    const char *queued = line_value(line, "queued");
    const char *born = line_value(line, "born");

    run = line_value(line, "runs");
    report = (runner_report_t){
        .active = (uint32_t)strtoul(line_value(line, "active"), NULL, DECIMAL),
        .queued =
            queued != NULL ? (uint32_t)strtoul(queued, NULL, DECIMAL) : 0,
        .runs = &run,
        .run_count = run != NULL ? 1 : 0,
        .started_ms = born != NULL ? strtoll(born, NULL, DECIMAL) : 0,
    };
    return &report;
}

bool
line_counts(const line_t *line, const char *name, line_counts_t *counts)
{
    const char *text = line_value(line, name);
    char *rest;

    *counts = (line_counts_t){0};
    if (text == NULL) {
        return false;
    }
    counts->count = (uint32_t)strtoul(text, &rest, DECIMAL);
    ck_assert_msg(*rest == ':', "%s=%s: deliveries are missing", name, text);
    counts->deliveries = (uint32_t)strtoul(rest + 1, &rest, DECIMAL);
    while (*rest == ':' || *rest == ',') {
        size_t length = strcspn(rest + 1, ",");

        counts->runners[counts->runner_count] = XXH3_64bits(rest + 1, length);
        counts->runner_count++;
        rest += length + 1;
    }
    return true;
}

void
line_shares(const line_t *line, routing_t *routing)
{
    const char *text = line_value(line, "split");
    const char *name = line_value(line, "name");
    route_t *route = &routing->routes[0];

    if (name != NULL) {
        route->name = arena_strdup(&routing->arena, name);
    }
    if (text == NULL) {
        return;
    }
    route->shares =
        arena_array(&routing->arena, WORDS_MAX, sizeof(*route->shares));
    route->share_count = 0;
    while (*text != '\0') {
        traffic_share_t *share = &route->shares[route->share_count];
        char *rest;

        share->service = arena_strndup(&routing->arena, text, 1);
        share->weight = (uint32_t)strtoul(text + 2, &rest, DECIMAL);
        route->share_count++;
        text = *rest == ',' ? rest + 1 : rest;
    }
}

uint64_t
line_service(const line_t *line)
{
    const char *name = line_value(line, "service");

    return name != NULL ? XXH3_64bits(name, strlen(name)) : 0;
}

void
line_stream(const char *word, placement_t *item)
{
    const char *id = strstr(word, "/stream=");
    size_t length;

    if (id == NULL) {
        return;
    }
    id += strlen("/stream=");
    length = strcspn(id, ":");
    item->stream = XXH3_64bits(id, length);
    if (strcmp(id + length, ":-") != 0) {
        item->software = XXH3_64bits(id + length + 1, strlen(id + length + 1));
    }
}
