/*
 * suspect.h - requests that kill the engines that run them.
 *
 * A request is known by its content's fingerprint, whatever key it bears.
 * The loss of a runner accuses every fingerprint that was on it, unless
 * several runners fell together; losses of enough different runners convict
 * a fingerprint, and a run to the end clears it.  Hosts tell each other.
 * The rules and their reasons are in docs/design/04-harmful-requests.md.
 */
#ifndef POLICY_SUSPECT_H
#define POLICY_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "world/generated/link.h"

typedef struct suspects suspects_t;

typedef struct {
    int64_t window_us;       /* losses this near each other are judged
                                together, when it is over */
    int64_t memory_us;       /* how long a loss counts */
    int64_t hold_us;         /* how long a conviction stands */
    uint32_t losses_max;     /* of different runners: may convict */
    uint32_t common_runners; /* lost in one window: accuse nobody */
} suspect_limits_t;

/* Those of docs/design/04-harmful-requests.md. */
extern const suspect_limits_t suspect_limits_usual;

/* A runner was lost while these requests of this host were on it. */
typedef struct {
    const char *runner;
    const char *zone;
    uint32_t zone_runners;  /* listed in that zone */
    uint32_t fleet_runners; /* listed at all */
    const uint64_t *fingerprints;
    const int64_t *ran_us; /* how long each had run there */
    size_t count;
} suspect_loss_t;

typedef enum {
    SUSPECT_FREE,    /* start it anywhere */
    SUSPECT_APART,   /* start it away from other suspects */
    SUSPECT_HELD,    /* not now: a loss of it is being judged, or another
                        copy of it runs */
    SUSPECT_REFUSED, /* convicted */
} suspect_verdict_t;

/* How well a runner's present company suits a suspect. */
typedef enum {
    COMPANY_NONE,     /* no other suspect is there */
    COMPANY_SUSPECTS, /* some are: better elsewhere */
    COMPANY_BARRED,   /* both are one loss short of conviction: never */
} suspect_company_t;

/* Watches from now_us on. */
suspects_t *suspects_new(int64_t now_us, const suspect_limits_t *limits);
void suspects_free(suspects_t *suspects);

/* A loss that this host saw; more for one runner in a window are joined. */
void suspects_loss(suspects_t *suspects, int64_t now_us,
                   const suspect_loss_t *loss);

/* What a peer told. */
void suspects_note(suspects_t *suspects, int64_t now_us,
                   const suspect_t *note);

/* A run of this content came to its proper end. */
void suspects_finished(suspects_t *suspects, uint64_t fingerprint);

/* Judges what is due and forgets what is old. */
void suspects_step(suspects_t *suspects, int64_t now_us);

/* When suspects_step() is next needed; INT64_MAX for never. */
int64_t suspects_due_us(const suspects_t *suspects);

/*
 * Whether it may start now, first or again.  copies counts other live
 * streams of the same content that this host has.
 */
suspect_verdict_t suspects_verdict(const suspects_t *suspects, int64_t now_us,
                                   uint64_t fingerprint, size_t copies);

/* Losses that count against it, those being judged included. */
uint32_t suspects_losses(const suspects_t *suspects, uint64_t fingerprint);

/* Whether the suspect suits a runner that has these others. */
suspect_company_t suspects_apart(const suspects_t *suspects,
                                 uint64_t fingerprint, const uint64_t *others,
                                 size_t count);

/* Whether a loss of this runner counts against it. */
bool suspects_lost_on(const suspects_t *suspects, uint64_t fingerprint,
                      const char *runner);

/* How long the conviction stands yet; 0 for none. */
int64_t suspects_held_us(const suspects_t *suspects, int64_t now_us,
                         uint64_t fingerprint);

/* The next note that every peer is to be told; false when none. */
bool suspects_next_note(suspects_t *suspects, suspect_t *note);

/* The next new conviction, whose live sessions end; false when none. */
bool suspects_next_convicted(suspects_t *suspects, uint64_t *fingerprint);

#endif
