/*
 * gateway_host.h - a gateway in a test: its store in memory, runners that
 * give canned bytes, and a caller that sends and gets raw bytes.
 */
#ifndef REGRESS_GATEWAY_HOST_H
#define REGRESS_GATEWAY_HOST_H

#include <stdbool.h>
#include <stddef.h>

#include "gateway/gateway.h"
#include "regress/canned.h"
#include "regress/fixture.h"

enum { GATEWAY_RUNNERS_MAX = 4, GATEWAY_PORTS = 5 };

/* The key that hosts share. */
#define GATEWAY_HOST_PEER_KEY                                                 \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

typedef struct {
    fixture_t fixture;
    gateway_settings_t settings;
    gateway_t gateway;
    canned_t *runners[GATEWAY_RUNNERS_MAX];
    size_t runner_count;
    char listen_address[64];
    char readiness_address[64];
    char lookup_address[64];
    char metrics_address[64];
    char peer_address[64];
    int port_fds[GATEWAY_PORTS]; /* keep the addresses from others */
} gateway_host_t;

/*
 * Starts a gateway.  It knows its routes and the shared key once it has
 * settled.
 */
void gateway_host_open(gateway_host_t *host);
/* The same with a budget; see agated.toml(5). */
void gateway_host_open_limited(gateway_host_t *host, uint32_t memory_mb,
                               uint32_t descriptors_max);
void gateway_host_close(gateway_host_t *host);

/* Adds a runner of a service ("engine" or "plain") in a zone. */
void gateway_host_runner(gateway_host_t *host, const char *id,
                         const char *service, const char *zone,
                         const canned_reply_t *replies, size_t count);

/* Creates or replaces a key of the store. */
void gateway_host_put(gateway_host_t *host, const char *key,
                      const char *value);

/* Lets the loop run until the gateway knows routes and runners. */
void gateway_host_settle(gateway_host_t *host);

/* A caller's connection. */
typedef struct raw_caller raw_caller_t;

raw_caller_t *raw_caller_new(gateway_host_t *host, const char *address);
void raw_caller_send(raw_caller_t *caller, const char *bytes);
/* Runs the loop until what came holds text, or the connection ended. */
bool raw_caller_wait(raw_caller_t *caller, const char *text);
/* Runs the loop until the connection has ended. */
void raw_caller_wait_end(raw_caller_t *caller);
/* All bytes that came, ended by a NUL. */
const char *raw_caller_bytes(const raw_caller_t *caller);
/* Closes its side and frees it; the loop must run once more. */
void raw_caller_free(raw_caller_t *caller);

#endif
