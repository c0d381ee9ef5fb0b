/* contract.c - parses the document that a team writes for a service. */
#include <string.h>

#include "world/contract.h"
#include "world/reader.h"

enum { WEIGHT_MAX = 1000, OBJECTIVE_MAX_MS = 3600000 };

static const char *const recovery_goal_names[] = {"resume-latency",
                                                  "extra-work", NULL};
static const char *const urgency_names[] = {"interactive", "normal", "batch",
                                            NULL};

static const field_t model_fields[] = {
    {.key = "name",
     .type = FIELD_MODEL_NAME,
     .required = true,
     .example = "name = \"planner\"",
     .offset = offsetof(model_t, name)},
    {.key = "version",
     .type = FIELD_MODEL_NAME,
     .required = true,
     .example = "version = \"planner-v3\"",
     .offset = offsetof(model_t, version)},
    {.key = "adapter",
     .type = FIELD_MODEL_NAME,
     .example = "adapter = \"planner-nz\"",
     .offset = offsetof(model_t, adapter)},
};

static const table_schema_t model_schema = {
    .title = "[[model]]",
    .fields = model_fields,
    .field_count = sizeof(model_fields) / sizeof(model_fields[0]),
    .struct_size = sizeof(model_t),
    .line_offset = offsetof(model_t, line),
};

static const field_t plain_service_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"bay-slots\"",
     .offset = offsetof(plain_service_t, name)},
};

static const table_schema_t plain_service_schema = {
    .title = "[[plain]]",
    .fields = plain_service_fields,
    .field_count =
        sizeof(plain_service_fields) / sizeof(plain_service_fields[0]),
    .struct_size = sizeof(plain_service_t),
    .line_offset = offsetof(plain_service_t, line),
};

static const field_t served_organisation_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"tarawhiti\"",
     .offset = offsetof(served_organisation_t, name)},
    {.key = "weight",
     .type = FIELD_UINT32,
     .example = "weight = 3",
     .min = 1,
     .max = WEIGHT_MAX,
     .default_value = 1,
     .offset = offsetof(served_organisation_t, weight)},
};

static const table_schema_t served_organisation_schema = {
    .title = "[[organisation]]",
    .fields = served_organisation_fields,
    .field_count = sizeof(served_organisation_fields) /
                   sizeof(served_organisation_fields[0]),
    .struct_size = sizeof(served_organisation_t),
    .line_offset = offsetof(served_organisation_t, line),
};

static const field_t kind_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"plan\"",
     .offset = offsetof(request_kind_t, name)},
    {.key = "urgency",
     .type = FIELD_ENUM,
     .required = true,
     .example = "urgency = \"normal\"",
     .enum_names = urgency_names,
     .offset = offsetof(request_kind_t, urgency)},
    {.key = "idempotent",
     .type = FIELD_BOOLEAN,
     .required = true,
     .example = "idempotent = true",
     .offset = offsetof(request_kind_t, idempotent)},
    {.key = "first_token_objective_ms",
     .type = FIELD_UINT32,
     .example = "first_token_objective_ms = 430",
     .min = 1,
     .max = OBJECTIVE_MAX_MS,
     .offset = offsetof(request_kind_t, first_token_objective_ms)},
    {.key = "token_gap_objective_ms",
     .type = FIELD_UINT32,
     .example = "token_gap_objective_ms = 43",
     .min = 1,
     .max = OBJECTIVE_MAX_MS,
     .offset = offsetof(request_kind_t, token_gap_objective_ms)},
};

static const table_schema_t kind_schema = {
    .title = "[[kind]]",
    .fields = kind_fields,
    .field_count = sizeof(kind_fields) / sizeof(kind_fields[0]),
    .struct_size = sizeof(request_kind_t),
    .line_offset = offsetof(request_kind_t, line),
};

static const field_t contract_fields[] = {
    {.key = "service",
     .type = FIELD_NAME,
     .required = true,
     .example = "service = \"maintenance-plans\"",
     .offset = offsetof(contract_t, service)},
    {.key = "team",
     .type = FIELD_NAME,
     .required = true,
     .example = "team = \"planning\"",
     .offset = offsetof(contract_t, team)},
    {.key = "weighs",
     .type = FIELD_ENUM,
     .required = true,
     .example = "weighs = \"resume-latency\"",
     .enum_names = recovery_goal_names,
     .offset = offsetof(contract_t, recovery_goal)},
    {.key = "model",
     .type = FIELD_TABLE_ARRAY,
     .example = "[[model]]",
     .schema = &model_schema,
     .offset = offsetof(contract_t, models),
     .count_offset = offsetof(contract_t, model_count)},
    {.key = "plain",
     .type = FIELD_TABLE_ARRAY,
     .example = "[[plain]]",
     .schema = &plain_service_schema,
     .offset = offsetof(contract_t, plain_services),
     .count_offset = offsetof(contract_t, plain_service_count)},
    {.key = "organisation",
     .type = FIELD_TABLE_ARRAY,
     .required = true,
     .example = "[[organisation]]",
     .schema = &served_organisation_schema,
     .offset = offsetof(contract_t, organisations),
     .count_offset = offsetof(contract_t, organisation_count)},
    {.key = "kind",
     .type = FIELD_TABLE_ARRAY,
     .required = true,
     .example = "[[kind]]",
     .schema = &kind_schema,
     .offset = offsetof(contract_t, kinds),
     .count_offset = offsetof(contract_t, kind_count)},
};

static const table_schema_t contract_schema = {
    .title = "the document",
    .fields = contract_fields,
    .field_count = sizeof(contract_fields) / sizeof(contract_fields[0]),
    .struct_size = sizeof(contract_t),
    .line_offset = offsetof(contract_t, line),
};

static reader_value_t *
alloc_values(const reader_t *reader, size_t count)
{
    return arena_array(reader->arena, count, sizeof(reader_value_t));
}

static int
check_models(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values = alloc_values(reader, contract->model_count);
    size_t i;

    if (contract->model_count == 0 && contract->plain_service_count == 0) {
        return reader_fail(reader, contract->line,
                           "the document defines no model or plain service: "
                           "write a [[model]] or a [[plain]]");
    }
    for (i = 0; i < contract->model_count; i++) {
        values[i] = (reader_value_t){contract->models[i].name,
                                     contract->models[i].line};
    }
    return reader_check_unique(reader, "model", values, contract->model_count);
}

static int
check_plain_services(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values =
        alloc_values(reader, contract->plain_service_count);
    size_t i;

    for (i = 0; i < contract->plain_service_count; i++) {
        values[i] = (reader_value_t){contract->plain_services[i].name,
                                     contract->plain_services[i].line};
    }
    return reader_check_unique(reader, "plain", values,
                               contract->plain_service_count);
}

static int
check_organisations(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values =
        alloc_values(reader, contract->organisation_count);
    size_t i;

    for (i = 0; i < contract->organisation_count; i++) {
        values[i] = (reader_value_t){contract->organisations[i].name,
                                     contract->organisations[i].line};
    }
    return reader_check_unique(reader, "organisation", values,
                               contract->organisation_count);
}

static int
check_kinds(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values = alloc_values(reader, contract->kind_count);
    size_t i;

    for (i = 0; i < contract->kind_count; i++) {
        values[i] =
            (reader_value_t){contract->kinds[i].name, contract->kinds[i].line};
    }
    return reader_check_unique(reader, "kind", values, contract->kind_count);
}

contract_t *
contract_parse(arena_t *arena, const char *name, const char *text,
               size_t length, err_t *err)
{
    reader_t reader = {.arena = arena, .name = name, .err = err};
    contract_t *contract;

    contract = reader_parse_document(&reader, &contract_schema, text, length);
    if (contract == NULL || check_models(&reader, contract) < 0 ||
        check_plain_services(&reader, contract) < 0 ||
        check_organisations(&reader, contract) < 0 ||
        check_kinds(&reader, contract) < 0) {
        return NULL;
    }
    return contract;
}

const served_organisation_t *
contract_find_organisation(const contract_t *contract,
                           const char *organisation)
{
    size_t i;

    for (i = 0; i < contract->organisation_count; i++) {
        if (strcmp(contract->organisations[i].name, organisation) == 0) {
            return &contract->organisations[i];
        }
    }
    return NULL;
}

const model_t *
contract_find_model(const contract_t *contract, const char *name)
{
    size_t i;

    for (i = 0; i < contract->model_count; i++) {
        if (strcmp(contract->models[i].name, name) == 0) {
            return &contract->models[i];
        }
    }
    return NULL;
}

const plain_service_t *
contract_find_plain_service(const contract_t *contract, const char *name)
{
    size_t i;

    for (i = 0; i < contract->plain_service_count; i++) {
        if (strcmp(contract->plain_services[i].name, name) == 0) {
            return &contract->plain_services[i];
        }
    }
    return NULL;
}

const request_kind_t *
contract_find_kind(const contract_t *contract, const char *name)
{
    size_t i;

    if (name[0] == '\0') {
        return &contract->kinds[0];
    }
    for (i = 0; i < contract->kind_count; i++) {
        if (strcmp(contract->kinds[i].name, name) == 0) {
            return &contract->kinds[i];
        }
    }
    return NULL;
}

static const char *
find_common_name(const contract_t *a, const contract_t *b)
{
    size_t i;

    for (i = 0; i < a->model_count; i++) {
        if (contract_find_model(b, a->models[i].name) != NULL) {
            return a->models[i].name;
        }
    }
    for (i = 0; i < a->plain_service_count; i++) {
        if (contract_find_plain_service(b, a->plain_services[i].name) !=
            NULL) {
            return a->plain_services[i].name;
        }
    }
    return NULL;
}

bool
contract_conflicts(const contract_t *a, const contract_t *b,
                   const char **organisation, const char **common_name)
{
    size_t i;

    if (strcmp(a->service, b->service) == 0) {
        return false;
    }
    *common_name = find_common_name(a, b);
    if (*common_name == NULL) {
        return false;
    }
    for (i = 0; i < a->organisation_count; i++) {
        if (contract_find_organisation(b, a->organisations[i].name) != NULL) {
            *organisation = a->organisations[i].name;
            return true;
        }
    }
    return false;
}
