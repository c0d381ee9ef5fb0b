/* metric.c - counts metrics and writes them as Prometheus text. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <uthash.h>

#include "base/arena.h"
#include "base/metric.h"

enum { SIGNIFICANT_DIGITS = 12, KEY_SEPARATOR = '\x1f' };

struct metric {
    metric_family_t *family;
    char *key; /* hash key: the joined label values */
    char *values[METRIC_LABELS_MAX];
    uint64_t count; /* counter value, or number of observations */
    double value;   /* gauge value, or sum of observations */
    uint64_t *buckets;
    UT_hash_handle hh;
};

struct metric_family {
    arena_t arena;
    metric_spec_t spec;
    size_t label_count;
    metric_t *series; /* in order of creation */
    metric_t *other;
    STAILQ_ENTRY(metric_family) link;
};

struct metric_set {
    STAILQ_HEAD(, metric_family) families;
};

metric_set_t *
metric_set_new(void)
{
    metric_set_t *set = xcalloc(1, sizeof(*set));

    STAILQ_INIT(&set->families);
    return set;
}

void
metric_set_free(metric_set_t *set)
{
    metric_family_t *family;
    metric_family_t *next;

    if (set == NULL) {
        return;
    }
    for (family = STAILQ_FIRST(&set->families); family != NULL;
         family = next) {
        next = STAILQ_NEXT(family, link);
        HASH_CLEAR(hh, family->series);
        arena_free(&family->arena);
        free(family);
    }
    free(set);
}

metric_family_t *
metric_family_new(metric_set_t *set, const metric_spec_t *spec)
{
    metric_family_t *family = xcalloc(1, sizeof(*family));
    size_t i;

    family->spec = *spec;
    family->spec.name = arena_strdup(&family->arena, spec->name);
    family->spec.help = arena_strdup(&family->arena, spec->help);
    for (i = 0; i < METRIC_LABELS_MAX && spec->labels[i] != NULL; i++) {
        family->spec.labels[i] = arena_strdup(&family->arena, spec->labels[i]);
    }
    family->label_count = i;
    STAILQ_INSERT_TAIL(&set->families, family, link);
    return family;
}

static char *
join_values(const metric_family_t *family, const char *const *values)
{
    text_t text = {0};
    const char separator = KEY_SEPARATOR;
    size_t i;

    for (i = 0; i < family->label_count; i++) {
        text_puts(&text, values[i]);
        text_append(&text, &separator, 1);
    }
    text_append(&text, "", 1);
    return text.bytes;
}

static metric_t *
add_series(metric_family_t *family, const char *key, const char *const *values)
{
    metric_t *metric = arena_alloc(&family->arena, sizeof(*metric));
    size_t i;

    metric->family = family;
    metric->key = arena_strdup(&family->arena, key);
    for (i = 0; i < family->label_count; i++) {
        metric->values[i] = arena_strdup(&family->arena, values[i]);
    }
    metric->buckets = arena_array(&family->arena, family->spec.bound_count + 1,
                                  sizeof(uint64_t));
    HASH_ADD_KEYPTR(hh, family->series, metric->key, strlen(metric->key),
                    metric);
    return metric;
}

static metric_t *
find_other_series(metric_family_t *family)
{
    static const char *const values[METRIC_LABELS_MAX] = {"other", "other",
                                                          "other", "other"};
    char *key;

    if (family->other == NULL) {
        key = join_values(family, values);
        family->other = add_series(family, key, values);
        free(key);
    }
    return family->other;
}

metric_t *
metric_series(metric_family_t *family, const char *const *values)
{
    char *key = join_values(family, values);
    metric_t *metric;

    HASH_FIND_STR(family->series, key, metric);
    if (metric == NULL && HASH_COUNT(family->series) >= METRIC_SERIES_MAX) {
        metric = find_other_series(family);
    }
    if (metric == NULL) {
        metric = add_series(family, key, values);
    }
    free(key);
    return metric;
}

void
metric_add(metric_t *metric, uint64_t count)
{
    metric->count += count;
}

void
metric_set_value(metric_t *metric, double value)
{
    metric->value = value;
}

void
metric_observe(metric_t *metric, double value)
{
    const metric_spec_t *spec = &metric->family->spec;
    size_t i = 0;

    while (i < spec->bound_count && value > spec->bounds[i]) {
        i++;
    }
    metric->buckets[i]++;
    metric->count++;
    metric->value += value;
}

static void
write_escaped(text_t *text, const char *value)
{
    const char *at;

    for (at = value; *at != '\0'; at++) {
        if (*at == '\n') {
            text_puts(text, "\\n");
            continue;
        }
        if (*at == '\\' || *at == '"') {
            text_puts(text, "\\");
        }
        text_append(text, at, 1);
    }
}

/* Writes the labels in braces; bound is the upper bound of a bucket or NULL.
 */
static void
write_labels(text_t *text, const metric_t *metric, const char *bound)
{
    const metric_family_t *family = metric->family;
    const char *prefix = "{";
    size_t i;

    for (i = 0; i < family->label_count; i++) {
        text_printf(text, "%s%s=\"", prefix, family->spec.labels[i]);
        write_escaped(text, metric->values[i]);
        text_puts(text, "\"");
        prefix = ",";
    }
    if (bound != NULL) {
        text_printf(text, "%sle=\"%s\"", prefix, bound);
        prefix = ",";
    }
    if (prefix[0] == ',') {
        text_puts(text, "}");
    }
}

static void
write_bucket(text_t *text, const metric_t *metric, const char *bound,
             uint64_t count)
{
    text_printf(text, "%s_bucket", metric->family->spec.name);
    write_labels(text, metric, bound);
    text_printf(text, " %" PRIu64 "\n", count);
}

static void
write_histogram(text_t *text, const metric_t *metric)
{
    const metric_spec_t *spec = &metric->family->spec;
    char bound[32];
    uint64_t count = 0;
    size_t i;

    for (i = 0; i < spec->bound_count; i++) {
        count += metric->buckets[i];
        (void)snprintf(bound, sizeof(bound), "%.*g", SIGNIFICANT_DIGITS,
                       spec->bounds[i]);
        write_bucket(text, metric, bound, count);
    }
    write_bucket(text, metric, "+Inf", metric->count);
    text_printf(text, "%s_sum", spec->name);
    write_labels(text, metric, NULL);
    text_printf(text, " %.*g\n%s_count", SIGNIFICANT_DIGITS, metric->value,
                spec->name);
    write_labels(text, metric, NULL);
    text_printf(text, " %" PRIu64 "\n", metric->count);
}

static void
write_metric(text_t *text, const metric_t *metric)
{
    const metric_spec_t *spec = &metric->family->spec;

    if (spec->kind == METRIC_HISTOGRAM) {
        write_histogram(text, metric);
        return;
    }
    text_puts(text, spec->name);
    write_labels(text, metric, NULL);
    if (spec->kind == METRIC_COUNTER) {
        text_printf(text, " %" PRIu64 "\n", metric->count);
    }
    else {
        text_printf(text, " %.*g\n", SIGNIFICANT_DIGITS, metric->value);
    }
}

void
metric_write(const metric_set_t *set, text_t *text)
{
    static const char *const kinds[] = {"counter", "gauge", "histogram"};
    const metric_family_t *family;
    const metric_t *metric;

    STAILQ_FOREACH(family, &set->families, link)
    {
        text_printf(text, "# HELP %s %s\n# TYPE %s %s\n", family->spec.name,
                    family->spec.help, family->spec.name,
                    kinds[family->spec.kind]);
        for (metric = family->series; metric != NULL;
             metric = metric->hh.next) {
            write_metric(text, metric);
        }
    }
}
