/*
 * metric.h - counters, gauges and histograms, in Prometheus' text format.
 *
 * A family has a name, a help line and label names; each combination of
 * label values is a series of its own.  Series are made on first use and
 * kept, up to METRIC_SERIES_MAX a family; values beyond that are counted in
 * one series whose labels are all "other", so that no caller can grow the
 * set.  Not for use by several threads.
 */
#ifndef BASE_METRIC_H
#define BASE_METRIC_H

#include <stddef.h>
#include <stdint.h>

#include "base/text.h"

enum {
    METRIC_LABELS_MAX = 4,
    METRIC_BOUNDS_MAX = 24,
    METRIC_SERIES_MAX = 4096,
};

typedef struct metric_set metric_set_t;
typedef struct metric_family metric_family_t;
typedef struct metric metric_t;

typedef enum { METRIC_COUNTER, METRIC_GAUGE, METRIC_HISTOGRAM } metric_kind_t;

/* What a family is made of; everything is copied. */
typedef struct {
    metric_kind_t kind;
    const char *name; /* with its unit; counters end in "_total" */
    const char *help;
    const char *labels[METRIC_LABELS_MAX]; /* up to the first NULL */
    /* METRIC_HISTOGRAM: upper bounds, rising; +Inf is added. */
    double bounds[METRIC_BOUNDS_MAX];
    size_t bound_count;
} metric_spec_t;

metric_set_t *metric_set_new(void);
void metric_set_free(metric_set_t *set);

/* A new family, written in the order in which families were made. */
metric_family_t *metric_family_new(metric_set_t *set,
                                   const metric_spec_t *spec);

/*
 * The series with these label values, one for each label of the family.
 * It stays valid as long as the set.
 */
metric_t *metric_series(metric_family_t *family, const char *const *values);

/* METRIC_COUNTER. */
void metric_add(metric_t *metric, uint64_t count);

/* METRIC_GAUGE. */
void metric_set_value(metric_t *metric, double value);

/* METRIC_HISTOGRAM. */
void metric_observe(metric_t *metric, double value);

/* Appends everything, as Content-Type "text/plain; version=0.0.4". */
void metric_write(const metric_set_t *set, text_t *text);

#endif
