/*
 * guard.h - keeps callers' connections within the host's memory.
 *
 * Carries out the decisions of http/intake.h.  Private to front.c.  Without
 * memory_mb in the settings there is no guard, and all functions accept
 * guard == NULL and do nothing.
 */
#ifndef GATEWAY_GUARD_H
#define GATEWAY_GUARD_H

#include "gateway/gateway.h"
#include "http/accept.h"

typedef struct guard guard_t;

/*
 * Returns NULL if the settings have no budget.  connections and config belong
 * to the caller.
 */
guard_t *guard_new(gateway_t *gateway, connection_list_t *connections,
                   h2o_globalconf_t *config);
void guard_free(guard_t *guard);

/* Bounds the kernel's buffers; before the socket listens. */
void guard_limit_socket(const guard_t *guard, uv_tcp_t *socket);

/* Adds a connection that was just accepted, or closes it. */
void guard_add(guard_t *guard, accepted_connection_t *connection,
               bool service);

/* Sets the size to which bodies are limited when memory suffices. */
void guard_set_body_max(guard_t *guard, size_t body_max_bytes);

#endif
