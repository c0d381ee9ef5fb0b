/*
 * organisation.h - principals that authenticate with a key.
 */
#ifndef WORLD_ORGANISATION_H
#define WORLD_ORGANISATION_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
    PRINCIPAL_ORGANISATION,
    PRINCIPAL_TEAM,
    PRINCIPAL_OPERATOR,
} principal_kind_t;

typedef struct {
    const char *name;
    const char **key_sha256; /* 64 hexadecimal digits each */
    size_t key_count;
    uint32_t line; /* in the document */
} organisation_t;

typedef organisation_t team_t;
typedef organisation_t operator_t;

#endif
