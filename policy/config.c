/* config.c - parses and looks up documents; see config.h. */
#include <stdlib.h>
#include <string.h>

#include "policy/config.h"

static void remove_entry(config_documents_t *set, config_entry_t *entry);
static config_entry_t *find_or_add_entry(config_documents_t *set,
                                         const char *key);
static int parse_document(config_entry_t *entry, const config_t *config,
                          err_t *err);

int
config_apply(config_documents_t *set, const config_t *config, err_t *err)
{
    config_entry_t *entry = find_or_add_entry(set, config->key);

    if (!config->deleted) {
        return parse_document(entry, config, err);
    }
    entry->contract = NULL;
    entry->fleet = NULL;
    arena_free(&entry->arena);
    return 0;
}

void
config_free(config_documents_t *set)
{
    config_entry_t *entry;
    config_entry_t *next;

    HASH_ITER(hh, set->by_key, entry, next)
    {
        remove_entry(set, entry);
    }
}

const fleet_t *
config_fleet(const config_documents_t *set)
{
    config_entry_t *entry;

    HASH_FIND_STR(set->by_key, CONFIG_FLEET_KEY, entry);
    return entry == NULL ? NULL : entry->fleet;
}

const contract_t *
config_find_contract(const config_documents_t *set, const char *organisation,
                     const char *name, bool service)
{
    const config_entry_t *entry;

    for (entry = set->by_key; entry != NULL; entry = entry->hh.next) {
        const contract_t *contract = entry->contract;

        if (contract == NULL ||
            contract_find_organisation(contract, organisation) == NULL) {
            continue;
        }
        if (service ? contract_find_plain_service(contract, name) != NULL
                    : contract_find_model(contract, name) != NULL) {
            return contract;
        }
    }
    return NULL;
}

static void
remove_entry(config_documents_t *set, config_entry_t *entry)
{
    /* The analyzer does not model how uthash updates the list head. */
    HASH_DEL(set->by_key, entry); /* NOLINT(clang-analyzer-unix.Malloc) */
    arena_free(&entry->arena);
    free(entry->key);
    free(entry);
}

static config_entry_t *
find_or_add_entry(config_documents_t *set, const char *key)
{
    config_entry_t *entry;

    HASH_FIND_STR(set->by_key, key, entry);
    if (entry != NULL) {
        return entry;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->key = xstrdup(key);
    HASH_ADD_KEYPTR(hh, set->by_key, entry->key, strlen(entry->key), entry);
    return entry;
}

/* On an error the entry keeps its former document. */
static int
parse_document(config_entry_t *entry, const config_t *config, err_t *err)
{
    arena_t arena = {0};
    fleet_t *fleet = NULL;
    contract_t *contract = NULL;

    if (strcmp(entry->key, CONFIG_FLEET_KEY) == 0) {
        fleet = fleet_parse(&arena, entry->key, config->text.text_val,
                            config->text.text_len, err);
    }
    else if (strncmp(entry->key, CONFIG_SERVICES_PREFIX,
                     strlen(CONFIG_SERVICES_PREFIX)) == 0) {
        contract = contract_parse(&arena, entry->key, config->text.text_val,
                                  config->text.text_len, err);
    }
    else {
        return err_set(err, ERR_DOCUMENT,
                       "%s: no such document: use " CONFIG_FLEET_KEY
                       " or a key under " CONFIG_SERVICES_PREFIX,
                       entry->key);
    }
    if (fleet == NULL && contract == NULL) {
        arena_free(&arena);
        return -1;
    }
    arena_free(&entry->arena);
    entry->arena = arena;
    entry->fleet = fleet;
    entry->contract = contract;
    return 0;
}
