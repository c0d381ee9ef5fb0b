/*
 * config.h - the parsed documents that are in force on this host.
 *
 * config_sync.h ensures that a key only moves to a higher revision.  A
 * document that cannot be parsed is rejected, and the former one stays in
 * force.
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
    arena_t arena; /* holds the parsed document */
    char *key;
    fleet_t *fleet;       /* NULL unless this is the operators' document */
    contract_t *contract; /* NULL unless this is a team's document */
    UT_hash_handle hh;
} config_entry_t;

typedef struct {
    config_entry_t *by_key;
} config_documents_t;

/*
 * Parses a document and puts it in force, or removes a deleted one.  Returns
 * -1 and sets *err if the document is invalid.
 */
int config_apply(config_documents_t *set, const config_t *config, err_t *err);
void config_free(config_documents_t *set);

/* Returns the operators' document, or NULL if none is in force. */
const fleet_t *config_fleet(const config_documents_t *set);

/*
 * Returns the contract under which the organisation may use the model or, with
 * service, the plain service of this name; NULL if there is none.
 */
const contract_t *config_find_contract(const config_documents_t *set,
                                       const char *organisation,
                                       const char *name, bool service);

#endif
