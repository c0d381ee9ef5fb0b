/*
 * organisation.h - who shows a key: an organisation, a team, an operator.
 */
#ifndef WORLD_ORGANISATION_H
#define WORLD_ORGANISATION_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
    PARTY_ORGANISATION,
    PARTY_TEAM,
    PARTY_OPERATOR,
} party_kind_t;

/* The keys' SHA-256 digests, 64 hexadecimal digits each. */
typedef struct {
    const char *name;
    const char **key_sha256;
    size_t key_count;
    uint32_t line; /* of the document */
} organisation_t;

typedef organisation_t team_t;
typedef organisation_t operator_t;

#endif
