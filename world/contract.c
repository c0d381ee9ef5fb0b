/* contract.c - see contract.h. */
#include <string.h>

#include "world/contract.h"
#include "world/reader.h"

enum { WEIGHT_MAX = 1000, OBJECTIVE_MAX_MS = 3600000 };

static const char *const weighs_names[] = {"resume-latency", "extra-work",
                                           NULL};
static const char *const urgency_names[] = {"interactive", "normal", "batch",
                                            NULL};

static const field_t model_fields[] = {
    {.key = "name",
     .type = FIELD_MODEL,
     .required = true,
     .example = "name = \"planner\"",
     .offset = offsetof(model_t, name)},
    {.key = "version",
     .type = FIELD_MODEL,
     .required = true,
     .example = "version = \"planner-v3\"",
     .offset = offsetof(model_t, version)},
    {.key = "adapter",
     .type = FIELD_MODEL,
     .example = "adapter = \"planner-nz\"",
     .offset = offsetof(model_t, adapter)},
};

static const shape_t model_shape = {
    .title = "[[model]]",
    .fields = model_fields,
    .field_count = sizeof(model_fields) / sizeof(model_fields[0]),
    .bytes = sizeof(model_t),
    .line_offset = offsetof(model_t, line),
};

static const field_t plain_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"bay-slots\"",
     .offset = offsetof(plain_t, name)},
};

static const shape_t plain_shape = {
    .title = "[[plain]]",
    .fields = plain_fields,
    .field_count = sizeof(plain_fields) / sizeof(plain_fields[0]),
    .bytes = sizeof(plain_t),
    .line_offset = offsetof(plain_t, line),
};

static const field_t served_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"tarawhiti\"",
     .offset = offsetof(served_t, name)},
    {.key = "weight",
     .type = FIELD_COUNT,
     .example = "weight = 3",
     .least = 1,
     .most = WEIGHT_MAX,
     .fallback = 1,
     .offset = offsetof(served_t, weight)},
};

static const shape_t served_shape = {
    .title = "[[organisation]]",
    .fields = served_fields,
    .field_count = sizeof(served_fields) / sizeof(served_fields[0]),
    .bytes = sizeof(served_t),
    .line_offset = offsetof(served_t, line),
};

static const field_t kind_fields[] = {
    {.key = "name",
     .type = FIELD_NAME,
     .required = true,
     .example = "name = \"plan\"",
     .offset = offsetof(request_kind_t, name)},
    {.key = "urgency",
     .type = FIELD_CHOICE,
     .required = true,
     .example = "urgency = \"normal\"",
     .choices = urgency_names,
     .offset = offsetof(request_kind_t, urgency)},
    {.key = "idempotent",
     .type = FIELD_FLAG,
     .required = true,
     .example = "idempotent = true",
     .offset = offsetof(request_kind_t, idempotent)},
    {.key = "first_token_objective_ms",
     .type = FIELD_COUNT,
     .example = "first_token_objective_ms = 430",
     .least = 1,
     .most = OBJECTIVE_MAX_MS,
     .offset = offsetof(request_kind_t, first_token_objective_ms)},
    {.key = "token_gap_objective_ms",
     .type = FIELD_COUNT,
     .example = "token_gap_objective_ms = 43",
     .least = 1,
     .most = OBJECTIVE_MAX_MS,
     .offset = offsetof(request_kind_t, token_gap_objective_ms)},
};

static const shape_t kind_shape = {
    .title = "[[kind]]",
    .fields = kind_fields,
    .field_count = sizeof(kind_fields) / sizeof(kind_fields[0]),
    .bytes = sizeof(request_kind_t),
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
     .type = FIELD_CHOICE,
     .required = true,
     .example = "weighs = \"resume-latency\"",
     .choices = weighs_names,
     .offset = offsetof(contract_t, weighs)},
    {.key = "model",
     .type = FIELD_TABLES,
     .example = "[[model]]",
     .shape = &model_shape,
     .offset = offsetof(contract_t, models),
     .count_offset = offsetof(contract_t, model_count)},
    {.key = "plain",
     .type = FIELD_TABLES,
     .example = "[[plain]]",
     .shape = &plain_shape,
     .offset = offsetof(contract_t, plains),
     .count_offset = offsetof(contract_t, plain_count)},
    {.key = "organisation",
     .type = FIELD_TABLES,
     .required = true,
     .example = "[[organisation]]",
     .shape = &served_shape,
     .offset = offsetof(contract_t, organisations),
     .count_offset = offsetof(contract_t, organisation_count)},
    {.key = "kind",
     .type = FIELD_TABLES,
     .required = true,
     .example = "[[kind]]",
     .shape = &kind_shape,
     .offset = offsetof(contract_t, kinds),
     .count_offset = offsetof(contract_t, kind_count)},
};

static const shape_t contract_shape = {
    .title = "the document",
    .fields = contract_fields,
    .field_count = sizeof(contract_fields) / sizeof(contract_fields[0]),
    .bytes = sizeof(contract_t),
    .line_offset = offsetof(contract_t, line),
};

static reader_value_t *
values_new(const reader_t *reader, size_t count)
{
    return arena_array(reader->arena, count, sizeof(reader_value_t));
}

static int
check_models(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values = values_new(reader, contract->model_count);
    size_t i;

    if (contract->model_count == 0 && contract->plain_count == 0) {
        return reader_fail(reader, contract->line,
                           "the document serves nothing: write a [[model]] "
                           "or a [[plain]]");
    }
    for (i = 0; i < contract->model_count; i++) {
        values[i] = (reader_value_t){contract->models[i].name,
                                     contract->models[i].line};
    }
    return reader_unique(reader, "model", values, contract->model_count);
}

static int
check_plains(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values = values_new(reader, contract->plain_count);
    size_t i;

    for (i = 0; i < contract->plain_count; i++) {
        values[i] = (reader_value_t){contract->plains[i].name,
                                     contract->plains[i].line};
    }
    return reader_unique(reader, "plain", values, contract->plain_count);
}

static int
check_organisations(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values = values_new(reader, contract->organisation_count);
    size_t i;

    for (i = 0; i < contract->organisation_count; i++) {
        values[i] = (reader_value_t){contract->organisations[i].name,
                                     contract->organisations[i].line};
    }
    return reader_unique(reader, "organisation", values,
                         contract->organisation_count);
}

static int
check_kinds(const reader_t *reader, const contract_t *contract)
{
    reader_value_t *values = values_new(reader, contract->kind_count);
    size_t i;

    for (i = 0; i < contract->kind_count; i++) {
        values[i] =
            (reader_value_t){contract->kinds[i].name, contract->kinds[i].line};
    }
    return reader_unique(reader, "kind", values, contract->kind_count);
}

contract_t *
contract_parse(arena_t *arena, const char *name, const char *text,
               size_t length, err_t *err)
{
    reader_t reader = {.arena = arena, .name = name, .err = err};
    contract_t *contract;

    contract = reader_parse(&reader, &contract_shape, text, length);
    if (contract == NULL || check_models(&reader, contract) < 0 ||
        check_plains(&reader, contract) < 0 ||
        check_organisations(&reader, contract) < 0 ||
        check_kinds(&reader, contract) < 0) {
        return NULL;
    }
    return contract;
}

const served_t *
contract_serves(const contract_t *contract, const char *organisation)
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
contract_model(const contract_t *contract, const char *name)
{
    size_t i;

    for (i = 0; i < contract->model_count; i++) {
        if (strcmp(contract->models[i].name, name) == 0) {
            return &contract->models[i];
        }
    }
    return NULL;
}

const plain_t *
contract_plain(const contract_t *contract, const char *name)
{
    size_t i;

    for (i = 0; i < contract->plain_count; i++) {
        if (strcmp(contract->plains[i].name, name) == 0) {
            return &contract->plains[i];
        }
    }
    return NULL;
}

const request_kind_t *
contract_kind(const contract_t *contract, const char *name)
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
shared_name(const contract_t *a, const contract_t *b)
{
    size_t i;

    for (i = 0; i < a->model_count; i++) {
        if (contract_model(b, a->models[i].name) != NULL) {
            return a->models[i].name;
        }
    }
    for (i = 0; i < a->plain_count; i++) {
        if (contract_plain(b, a->plains[i].name) != NULL) {
            return a->plains[i].name;
        }
    }
    return NULL;
}

bool
contract_clash(const contract_t *a, const contract_t *b,
               const char **organisation, const char **what)
{
    size_t i;

    if (strcmp(a->service, b->service) == 0) {
        return false;
    }
    *what = shared_name(a, b);
    if (*what == NULL) {
        return false;
    }
    for (i = 0; i < a->organisation_count; i++) {
        if (contract_serves(b, a->organisations[i].name) != NULL) {
            *organisation = a->organisations[i].name;
            return true;
        }
    }
    return false;
}
