/*
 * settings.h - reads and checks the settings file, agated.toml.
 *
 * See agated.toml(5).  Numbers carry their unit in their names.
 */
#ifndef AGATED_SETTINGS_H
#define AGATED_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/fields.h"
#include "gateway/settings.h"

typedef struct {
    const char *host;
    const char *zone;
    /* [listen] */
    const char *listen_address;
    uint32_t body_max_bytes;
    uint32_t header_timeout_ms;
    /* [platform] */
    const char *platform_kind;
    field_list_t platform_addresses;
    uint32_t platform_timeout_ms;
    const char *fleet_file;
    field_list_t document_files;
    /* [peers] */
    const char *peers_address; /* NULL: no peers */
    const char *peers_key_file;
    field_list_t peers_hosts; /* "name=ip:port"; contacted at startup */
    /* [limits] */
    uint32_t sessions_max;
    uint32_t queue_wait_ms;
    uint32_t silence_floor_ms;
    uint32_t silence_ceiling_ms;
    uint32_t prefill_limit_ms;
    uint32_t orphan_grace_ms;
    /* [admin] */
    field_list_t admin_keys; /* SHA-256 in hexadecimal */
    /* [tls] */
    const char *tls_certificate;
    const char *tls_key;
    const char *tls_ca; /* for relays to other hosts; NULL: system CAs */
    /* [gateway]: forwards requests by the operators' routes */
    bool gateway_set;
    gateway_settings_t gateway;
    /* [debug] */
    const char *event_log;
} settings_t;

/*
 * Reads and checks the file; allocates strings in arena.  Returns -1 with *err
 * set if the file cannot be read or a setting is invalid.
 */
int settings_read(settings_t *settings, arena_t *arena, const char *path,
                  err_t *err);

/* Like settings_read(), from memory; name is the file name in messages. */
int settings_parse(settings_t *settings, arena_t *arena, const char *name,
                   const char *text, size_t length, err_t *err);

/* Returns the contents of a file in arena, or NULL with *err set. */
char *file_read(arena_t *arena, const char *path, size_t *length, err_t *err);

#endif
