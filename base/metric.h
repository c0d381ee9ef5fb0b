/*
 * metric.h - counters, gauges and histograms in the Prometheus text format.
 *
 * A family has a name, a help line and label names.  Each combination of label
 * values is a separate series.  A series is created on first use and kept, up
 * to METRIC_SERIES_MAX per family.  Further combinations share one series
 * whose labels are all "other", so that label values from callers cannot grow
 * the set without bound.  The functions are not thread-safe.
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

/* The definition of a family; copied by metric_family_new(). */
typedef struct {
    metric_kind_t kind;
    const char *name; /* includes the unit; counters end in "_total" */
    const char *help;
    const char *labels[METRIC_LABELS_MAX]; /* up to the first NULL */
    /* METRIC_HISTOGRAM: ascending upper bounds, without +Inf. */
    double bounds[METRIC_BOUNDS_MAX];
    size_t bound_count;
} metric_spec_t;

metric_set_t *metric_set_new(void);
void metric_set_free(metric_set_t *set);

/* Adds a family.  Families are written in the order of their creation. */
metric_family_t *metric_family_new(metric_set_t *set,
                                   const metric_spec_t *spec);

/*
 * Returns the series with these label values, one for each label of the
 * family.  It stays valid until the set is freed.
 */
metric_t *metric_series(metric_family_t *family, const char *const *values);

/* Adds to a METRIC_COUNTER. */
void metric_add(metric_t *metric, uint64_t count);

/* Sets a METRIC_GAUGE. */
void metric_set_value(metric_t *metric, double value);

/* Adds an observation to a METRIC_HISTOGRAM. */
void metric_observe(metric_t *metric, double value);

/* Appends all families, as Content-Type "text/plain; version=0.0.4". */
void metric_write(const metric_set_t *set, text_t *text);

#endif
