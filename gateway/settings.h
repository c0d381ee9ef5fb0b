/*
 * settings.h - the [gateway] table of agated.toml(5).
 */
#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include <stdint.h>

/* What may change while the process runs. */
typedef struct {
    uint32_t revoke_ms;    /* see forward_limits_t */
    uint32_t registry_ms;  /* see forward_limits_t */
    uint32_t grace_ms;     /* a leaving host has this long */
    uint32_t requests_max; /* under way at a time */
    uint32_t drain_ms;     /* callers have stopped coming by then */
    uint32_t retry_ratio_permille;
    uint32_t retry_fixed_permille; /* of requests: 150,000 are 150 */
    uint32_t retry_window_ms;
    uint32_t address_ttl_s; /* callers may keep an address so long */
} gateway_limits_t;

typedef struct {
    const char *host; /* this host's name */
    const char *zone;
    const char *listen_address;    /* callers' requests */
    const char *readiness_address; /* whether to send callers here; or NULL */
    const char *lookup_address;    /* which addresses to use; or NULL */
    const char *metrics_address;   /* or NULL */
    const char *peer_address;      /* other hosts' messages; or NULL */
    uint32_t watch_ms; /* a watch of the store returns at least so often */
    uint32_t watch_pause_ms; /* changes within it come in one call */
    uint32_t settle_ms;  /* the hosts of a fleet that starts register in it */
    uint32_t presence_s; /* a host that is silent for longer is not named */
    gateway_limits_t limits;
} gateway_settings_t;

#endif
