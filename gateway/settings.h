/*
 * settings.h - the [gateway] table of agated.toml(5).
 */
#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include <stdint.h>

/* Settings that may change while the process runs. */
typedef struct {
    uint32_t revoke_ms;    /* see forward_limits_t */
    uint32_t registry_ms;  /* see forward_limits_t */
    uint32_t apply_ms;     /* see forward_limits_t */
    uint32_t leave_ms;     /* see forward_limits_t */
    uint32_t grace_ms;     /* time allowed for a drain */
    uint32_t requests_max; /* concurrent requests */
    uint32_t drain_ms;     /* callers stop sending new requests within it */
    uint32_t retry_ratio_permille;
    uint32_t retry_fixed_permille; /* in requests: 150,000 are 150 */
    uint32_t retry_window_ms;
    uint32_t canary_share_permille; /* see rollout_limits_t */
    uint32_t canary_slack;
    uint32_t rollback_ms;
    uint32_t address_ttl_s; /* TTL of addresses in lookups */
} gateway_limits_t;

typedef struct {
    const char *host; /* this host's name */
    const char *zone;
    const char *listen_address;    /* callers' requests */
    const char *readiness_address; /* readiness checks; or NULL */
    const char *lookup_address;    /* address lookups; or NULL */
    const char *metrics_address;   /* or NULL */
    const char *peer_address;      /* other hosts' messages; or NULL */
    uint32_t watch_ms;       /* longest duration of a watch of the store */
    uint32_t watch_pause_ms; /* changes within it are returned by one call */
    uint32_t settle_ms;      /* wait while a starting fleet's hosts register */
    uint32_t presence_s;     /* TTL of a host's address entry in the store */
    uint32_t memory_mb;      /* of the host; 0: no budget applies */
    uint32_t descriptors_max; /* of the process; 0: not limited */
    gateway_limits_t limits;
} gateway_settings_t;

#endif
