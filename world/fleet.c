/* fleet.c - parses the operators' document. */
#include <stdlib.h>
#include <string.h>

#include "world/fleet.h"
#include "world/reader.h"

enum { STREAMS_MAX_LIMIT = 4096, STREAMS_MAX_DEFAULT = 64 };

static const char *const runner_kinds[] = {"engine", "service", NULL};

static const field_t runner_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"r1\"",
     .offset = offsetof(runner_t, name)},
    {.key = "address",
     .type = FIELD_ADDRESS,
     .required = true,
     .example = "address = \"127.0.0.1:9001\"",
     .offset = offsetof(runner_t, address)},
    {.key = "zone",
     .type = FIELD_NAME,
     .required = true,
     .example = "zone = \"north\"",
     .offset = offsetof(runner_t, zone)},
    {.key = "kind",
     .type = FIELD_ENUM,
     .required = true,
     .example = "kind = \"engine\"",
     .enum_names = runner_kinds,
     .offset = offsetof(runner_t, kind)},
    {.key = "models",
     .type = FIELD_MODEL_NAMES,
     .required = true,
     .example = "models = [\"planner-v3\"]",
     .offset = offsetof(runner_t, models),
     .count_offset = offsetof(runner_t, model_count)},
    {.key = "streams_max",
     .type = FIELD_UINT32,
     .example = "streams_max = 64",
     .min = 1,
     .max = STREAMS_MAX_LIMIT,
     .default_value = STREAMS_MAX_DEFAULT,
     .offset = offsetof(runner_t, streams_max)},
    {.key = "checks_fencing",
     .type = FIELD_BOOLEAN,
     .example = "checks_fencing = true",
     .offset = offsetof(runner_t, checks_fencing)},
};

static const table_schema_t runner_schema = {
    .title = "[[runner]]",
    .fields = runner_fields,
    .field_count = sizeof(runner_fields) / sizeof(runner_fields[0]),
    .struct_size = sizeof(runner_t),
    .line_offset = offsetof(runner_t, line),
};

static const field_t principal_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"tarawhiti\"",
     .offset = offsetof(organisation_t, name)},
    {.key = "key_sha256",
     .type = FIELD_DIGESTS,
     .required = true,
     .example = "key_sha256 = [\"<64 hex digits>\"]",
     .offset = offsetof(organisation_t, key_sha256),
     .count_offset = offsetof(organisation_t, key_count)},
};

static const table_schema_t organisation_schema = {
    .title = "[[organisation]]",
    .fields = principal_fields,
    .field_count = sizeof(principal_fields) / sizeof(principal_fields[0]),
    .struct_size = sizeof(organisation_t),
    .line_offset = offsetof(organisation_t, line),
};

static const table_schema_t team_schema = {
    .title = "[[team]]",
    .fields = principal_fields,
    .field_count = sizeof(principal_fields) / sizeof(principal_fields[0]),
    .struct_size = sizeof(organisation_t),
    .line_offset = offsetof(organisation_t, line),
};

static const table_schema_t operator_schema = {
    .title = "[[operator]]",
    .fields = principal_fields,
    .field_count = sizeof(principal_fields) / sizeof(principal_fields[0]),
    .struct_size = sizeof(organisation_t),
    .line_offset = offsetof(organisation_t, line),
};

static const field_t fleet_fields[] = {
    {.key = "runner",
     .type = FIELD_TABLE_ARRAY,
     .required = true,
     .example = "[[runner]]",
     .schema = &runner_schema,
     .offset = offsetof(fleet_t, runners),
     .count_offset = offsetof(fleet_t, runner_count)},
    {.key = "organisation",
     .type = FIELD_TABLE_ARRAY,
     .required = true,
     .example = "[[organisation]]",
     .schema = &organisation_schema,
     .offset = offsetof(fleet_t, organisations),
     .count_offset = offsetof(fleet_t, organisation_count)},
    {.key = "team",
     .type = FIELD_TABLE_ARRAY,
     .example = "[[team]]",
     .schema = &team_schema,
     .offset = offsetof(fleet_t, teams),
     .count_offset = offsetof(fleet_t, team_count)},
    {.key = "operator",
     .type = FIELD_TABLE_ARRAY,
     .example = "[[operator]]",
     .schema = &operator_schema,
     .offset = offsetof(fleet_t, operators),
     .count_offset = offsetof(fleet_t, operator_count)},
};

static const table_schema_t fleet_schema = {
    .title = "the operators' document",
    .fields = fleet_fields,
    .field_count = sizeof(fleet_fields) / sizeof(fleet_fields[0]),
    .struct_size = sizeof(fleet_t),
    .line_offset = offsetof(fleet_t, line),
};

static int
compare_runners(const void *left, const void *right)
{
    const runner_index_entry_t *a = left;
    const runner_index_entry_t *b = right;

    return strcmp(a->name, b->name);
}

static int
compare_credentials(const void *left, const void *right)
{
    const credential_t *a = left;
    const credential_t *b = right;

    return strcmp(a->sha256, b->sha256);
}

static int
check_runners(const reader_t *reader, const fleet_t *fleet)
{
    reader_value_t *values;
    const runner_t *runner;
    size_t i;

    values = arena_array(reader->arena, fleet->runner_count, sizeof(*values));
    for (i = 0; i < fleet->runner_count; i++) {
        runner = &fleet->runners[i];
        values[i] = (reader_value_t){runner->name, runner->line};
    }
    if (reader_check_unique(reader, "runner name", values,
                            fleet->runner_count) < 0) {
        return -1;
    }
    for (i = 0; i < fleet->runner_count; i++) {
        runner = &fleet->runners[i];
        values[i] = (reader_value_t){runner->address, runner->line};
    }
    return reader_check_unique(reader, "runner address", values,
                               fleet->runner_count);
}

static int
check_principal_names(const reader_t *reader, const char *description,
                      const organisation_t *principals, size_t count)
{
    reader_value_t *values =
        arena_array(reader->arena, count, sizeof(*values));
    size_t i;

    for (i = 0; i < count; i++) {
        values[i] = (reader_value_t){principals[i].name, principals[i].line};
    }
    return reader_check_unique(reader, description, values, count);
}

static size_t
count_keys(const organisation_t *principals, size_t count)
{
    size_t keys = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        keys += principals[i].key_count;
    }
    return keys;
}

static void
add_credentials(fleet_t *fleet, principal_kind_t kind,
                const organisation_t *principals, size_t count)
{
    size_t i;
    size_t k;

    for (i = 0; i < count; i++) {
        for (k = 0; k < principals[i].key_count; k++) {
            fleet->credentials[fleet->credential_count++] = (credential_t){
                .sha256 = principals[i].key_sha256[k],
                .name = principals[i].name,
                .kind = kind,
                .line = principals[i].line,
            };
        }
    }
}

/*
 * Builds the index of credentials by digest.  Rejects duplicate keys: a key
 * shared by two principals would give one of them access to the data of the
 * other.
 */
static int
index_credentials(const reader_t *reader, fleet_t *fleet)
{
    reader_value_t *values;
    size_t count;
    size_t i;

    count = count_keys(fleet->organisations, fleet->organisation_count) +
            count_keys(fleet->teams, fleet->team_count) +
            count_keys(fleet->operators, fleet->operator_count);
    fleet->credentials =
        arena_array(reader->arena, count, sizeof(*fleet->credentials));
    add_credentials(fleet, PRINCIPAL_ORGANISATION, fleet->organisations,
                    fleet->organisation_count);
    add_credentials(fleet, PRINCIPAL_TEAM, fleet->teams, fleet->team_count);
    add_credentials(fleet, PRINCIPAL_OPERATOR, fleet->operators,
                    fleet->operator_count);
    values = arena_array(reader->arena, count, sizeof(*values));
    for (i = 0; i < count; i++) {
        values[i] = (reader_value_t){fleet->credentials[i].sha256,
                                     fleet->credentials[i].line};
    }
    qsort(fleet->credentials, count, sizeof(*fleet->credentials),
          compare_credentials);
    return reader_check_unique(reader, "key_sha256", values, count);
}

static void
index_runners(arena_t *arena, fleet_t *fleet)
{
    size_t count = fleet->runner_count;
    size_t i;

    fleet->runners_by_name =
        arena_array(arena, count, sizeof(*fleet->runners_by_name));
    for (i = 0; i < count; i++) {
        fleet->runners_by_name[i].name = fleet->runners[i].name;
        fleet->runners_by_name[i].runner = &fleet->runners[i];
    }
    qsort(fleet->runners_by_name, count, sizeof(*fleet->runners_by_name),
          compare_runners);
}

static int
compare_strings(const void *left, const void *right)
{
    const char *const *a = left;
    const char *const *b = right;

    return strcmp(*a, *b);
}

static void
index_zones(arena_t *arena, fleet_t *fleet)
{
    size_t count = fleet->runner_count;
    size_t i;

    fleet->zones = arena_array(arena, count, sizeof(*fleet->zones));
    for (i = 0; i < count; i++) {
        fleet->zones[i] = fleet->runners[i].zone;
    }
    qsort(fleet->zones, count, sizeof(*fleet->zones), compare_strings);
    for (i = 0; i < count; i++) {
        if (i == 0 || strcmp(fleet->zones[i],
                             fleet->zones[fleet->zone_count - 1]) != 0) {
            fleet->zones[fleet->zone_count++] = fleet->zones[i];
        }
    }
}

static int
check_fleet(const reader_t *reader, fleet_t *fleet)
{
    if (check_runners(reader, fleet) < 0) {
        return -1;
    }
    if (check_principal_names(reader, "organisation", fleet->organisations,
                              fleet->organisation_count) < 0) {
        return -1;
    }
    if (check_principal_names(reader, "team", fleet->teams,
                              fleet->team_count) < 0) {
        return -1;
    }
    if (check_principal_names(reader, "operator", fleet->operators,
                              fleet->operator_count) < 0) {
        return -1;
    }
    return index_credentials(reader, fleet);
}

fleet_t *
fleet_parse(arena_t *arena, const char *name, const char *text, size_t length,
            err_t *err)
{
    reader_t reader = {.arena = arena, .name = name, .err = err};
    fleet_t *fleet;

    fleet = reader_parse_document(&reader, &fleet_schema, text, length);
    if (fleet == NULL || check_fleet(&reader, fleet) < 0) {
        return NULL;
    }
    index_runners(arena, fleet);
    index_zones(arena, fleet);
    return fleet;
}

const runner_t *
fleet_find_runner(const fleet_t *fleet, const char *name)
{
    const runner_index_entry_t key = {.name = name};
    const runner_index_entry_t *found;

    found = bsearch(&key, fleet->runners_by_name, fleet->runner_count,
                    sizeof(key), compare_runners);
    return found == NULL ? NULL : found->runner;
}

bool
runner_offers_model(const runner_t *runner, const char *model)
{
    size_t i;

    for (i = 0; i < runner->model_count; i++) {
        if (strcmp(runner->models[i], model) == 0) {
            return true;
        }
    }
    return false;
}

const credential_t *
fleet_find_credential(const fleet_t *fleet, const char *sha256)
{
    const credential_t key = {.sha256 = sha256};

    if (fleet->credential_count == 0) {
        return NULL;
    }
    return bsearch(&key, fleet->credentials, fleet->credential_count,
                   sizeof(key), compare_credentials);
}
