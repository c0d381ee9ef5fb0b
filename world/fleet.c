/* fleet.c - see fleet.h. */
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
     .type = FIELD_CHOICE,
     .required = true,
     .example = "kind = \"engine\"",
     .choices = runner_kinds,
     .offset = offsetof(runner_t, kind)},
    {.key = "models",
     .type = FIELD_MODELS,
     .required = true,
     .example = "models = [\"planner-v3\"]",
     .offset = offsetof(runner_t, models),
     .count_offset = offsetof(runner_t, model_count)},
    {.key = "streams_max",
     .type = FIELD_COUNT,
     .example = "streams_max = 64",
     .least = 1,
     .most = STREAMS_MAX_LIMIT,
     .fallback = STREAMS_MAX_DEFAULT,
     .offset = offsetof(runner_t, streams_max)},
    {.key = "checks_fencing",
     .type = FIELD_FLAG,
     .example = "checks_fencing = true",
     .offset = offsetof(runner_t, checks_fencing)},
};

static const shape_t runner_shape = {
    .title = "[[runner]]",
    .fields = runner_fields,
    .field_count = sizeof(runner_fields) / sizeof(runner_fields[0]),
    .bytes = sizeof(runner_t),
    .line_offset = offsetof(runner_t, line),
};

static const field_t party_fields[] = {
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

static const shape_t organisation_shape = {
    .title = "[[organisation]]",
    .fields = party_fields,
    .field_count = sizeof(party_fields) / sizeof(party_fields[0]),
    .bytes = sizeof(organisation_t),
    .line_offset = offsetof(organisation_t, line),
};

static const shape_t team_shape = {
    .title = "[[team]]",
    .fields = party_fields,
    .field_count = sizeof(party_fields) / sizeof(party_fields[0]),
    .bytes = sizeof(organisation_t),
    .line_offset = offsetof(organisation_t, line),
};

static const shape_t operator_shape = {
    .title = "[[operator]]",
    .fields = party_fields,
    .field_count = sizeof(party_fields) / sizeof(party_fields[0]),
    .bytes = sizeof(organisation_t),
    .line_offset = offsetof(organisation_t, line),
};

static const field_t fleet_fields[] = {
    {.key = "runner",
     .type = FIELD_TABLES,
     .required = true,
     .example = "[[runner]]",
     .shape = &runner_shape,
     .offset = offsetof(fleet_t, runners),
     .count_offset = offsetof(fleet_t, runner_count)},
    {.key = "organisation",
     .type = FIELD_TABLES,
     .required = true,
     .example = "[[organisation]]",
     .shape = &organisation_shape,
     .offset = offsetof(fleet_t, organisations),
     .count_offset = offsetof(fleet_t, organisation_count)},
    {.key = "team",
     .type = FIELD_TABLES,
     .example = "[[team]]",
     .shape = &team_shape,
     .offset = offsetof(fleet_t, teams),
     .count_offset = offsetof(fleet_t, team_count)},
    {.key = "operator",
     .type = FIELD_TABLES,
     .example = "[[operator]]",
     .shape = &operator_shape,
     .offset = offsetof(fleet_t, operators),
     .count_offset = offsetof(fleet_t, operator_count)},
};

static const shape_t fleet_shape = {
    .title = "the operators' document",
    .fields = fleet_fields,
    .field_count = sizeof(fleet_fields) / sizeof(fleet_fields[0]),
    .bytes = sizeof(fleet_t),
    .line_offset = offsetof(fleet_t, line),
};

static int
compare_runners(const void *left, const void *right)
{
    const runner_entry_t *a = left;
    const runner_entry_t *b = right;

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
    if (reader_unique(reader, "runner name", values, fleet->runner_count) <
        0) {
        return -1;
    }
    for (i = 0; i < fleet->runner_count; i++) {
        runner = &fleet->runners[i];
        values[i] = (reader_value_t){runner->address, runner->line};
    }
    return reader_unique(reader, "runner address", values,
                         fleet->runner_count);
}

static int
check_parties(const reader_t *reader, const char *what,
              const organisation_t *parties, size_t count)
{
    reader_value_t *values =
        arena_array(reader->arena, count, sizeof(*values));
    size_t i;

    for (i = 0; i < count; i++) {
        values[i] = (reader_value_t){parties[i].name, parties[i].line};
    }
    return reader_unique(reader, what, values, count);
}

static size_t
key_count(const organisation_t *parties, size_t count)
{
    size_t keys = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        keys += parties[i].key_count;
    }
    return keys;
}

static void
add_credentials(fleet_t *fleet, party_kind_t kind,
                const organisation_t *parties, size_t count)
{
    size_t i;
    size_t k;

    for (i = 0; i < count; i++) {
        for (k = 0; k < parties[i].key_count; k++) {
            fleet->credentials[fleet->credential_count++] = (credential_t){
                .sha256 = parties[i].key_sha256[k],
                .name = parties[i].name,
                .kind = kind,
                .line = parties[i].line,
            };
        }
    }
}

/* A key that stood for two parties would answer one with the other's. */
static int
index_credentials(const reader_t *reader, fleet_t *fleet)
{
    reader_value_t *values;
    size_t count;
    size_t i;

    count = key_count(fleet->organisations, fleet->organisation_count) +
            key_count(fleet->teams, fleet->team_count) +
            key_count(fleet->operators, fleet->operator_count);
    fleet->credentials =
        arena_array(reader->arena, count, sizeof(*fleet->credentials));
    add_credentials(fleet, PARTY_ORGANISATION, fleet->organisations,
                    fleet->organisation_count);
    add_credentials(fleet, PARTY_TEAM, fleet->teams, fleet->team_count);
    add_credentials(fleet, PARTY_OPERATOR, fleet->operators,
                    fleet->operator_count);
    values = arena_array(reader->arena, count, sizeof(*values));
    for (i = 0; i < count; i++) {
        values[i] = (reader_value_t){fleet->credentials[i].sha256,
                                     fleet->credentials[i].line};
    }
    qsort(fleet->credentials, count, sizeof(*fleet->credentials),
          compare_credentials);
    return reader_unique(reader, "key_sha256", values, count);
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
    if (check_parties(reader, "organisation", fleet->organisations,
                      fleet->organisation_count) < 0) {
        return -1;
    }
    if (check_parties(reader, "team", fleet->teams, fleet->team_count) < 0) {
        return -1;
    }
    if (check_parties(reader, "operator", fleet->operators,
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

    fleet = reader_parse(&reader, &fleet_shape, text, length);
    if (fleet == NULL || check_fleet(&reader, fleet) < 0) {
        return NULL;
    }
    index_runners(arena, fleet);
    index_zones(arena, fleet);
    return fleet;
}

const runner_t *
fleet_runner(const fleet_t *fleet, const char *name)
{
    const runner_entry_t wanted = {.name = name};
    const runner_entry_t *found;

    found = bsearch(&wanted, fleet->runners_by_name, fleet->runner_count,
                    sizeof(wanted), compare_runners);
    return found == NULL ? NULL : found->runner;
}

bool
runner_has(const runner_t *runner, const char *model)
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
fleet_credential(const fleet_t *fleet, const char *sha256)
{
    const credential_t wanted = {.sha256 = sha256};

    if (fleet->credential_count == 0) {
        return NULL;
    }
    return bsearch(&wanted, fleet->credentials, fleet->credential_count,
                   sizeof(wanted), compare_credentials);
}
