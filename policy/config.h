/*
 * config.h - the documents in force on this host, parsed.
 *
 * spread.h sees to it that a key only moves to a higher revision.  A text
 * that does not parse stays out of force: what was in force before goes on.
 */
#ifndef POLICY_CONFIG_H
#define POLICY_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/arena.h"
#include "base/err.h"
#include "world/contract.h"
#include "world/fleet.h"
#include "world/generated/link.h"

#define CONFIG_FLEET_KEY "/agatevale/fleet"
#define CONFIG_SERVICES_PREFIX "/agatevale/services/"

typedef struct {
    arena_t arena; /* of the parsed document */
    char *key;
    fleet_t *fleet;       /* NULL: not the operators' document */
    contract_t *contract; /* NULL: not a team's document */
    UT_hash_handle hh;
} config_entry_t;

typedef struct {
    config_entry_t *by_key;
} config_set_t;

/* Puts the document in force; -1 with *err set when it does not parse. */
int config_take(config_set_t *set, const config_t *config, err_t *err);
void config_free(config_set_t *set);

/* The operators' document in force, or NULL. */
const fleet_t *config_fleet(const config_set_t *set);

/* The contract under which the organisation is served the name, or NULL. */
const contract_t *config_serving(const config_set_t *set,
                                 const char *organisation, const char *name,
                                 bool service);

#endif
