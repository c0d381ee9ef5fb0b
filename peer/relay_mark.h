/*
 * relay_mark.h - headers of a request that one host relays to another.
 *
 * The mark names the relaying host.  A host does not relay a request that has
 * one, which prevents relay loops.  Where callers could set the header
 * themselves, a tag proves that a host with the shared key has set it.
 */
#ifndef PEER_RELAY_MARK_H
#define PEER_RELAY_MARK_H

#include <stdbool.h>

#include "peer/wire.h"

/* Two hexadecimal digits for each byte, and a NUL. */
enum { RELAY_TAG_TEXT_BYTES = 2 * PEER_TAG_BYTES + 1 };

/* The name of the relaying host, and the tag; the grant, and the tag of a mark
 * that covers it. */
extern const char relay_mark_host_header[];
extern const char relay_mark_tag_header[];
extern const char relay_mark_grant_header[];
extern const char relay_mark_grant_tag_header[];
/* relay_mark_host_header in lower case. */
extern const char relay_mark_host_header_lower[];

/* What a tag covers. */
typedef struct {
    const char *host; /* that relays the request */
    const char *request_id;
    const char *path;  /* with the query */
    const char *grant; /* what the other host may use; NULL: not covered */
} relay_mark_t;

/* Returns false if there is no key. */
bool relay_mark_write_tag(wire_key_t key, const relay_mark_t *mark,
                          char tag[RELAY_TAG_TEXT_BYTES]);

/* Returns whether the tag is valid; false if there is no key. */
bool relay_mark_is_valid(wire_key_t key, const relay_mark_t *mark,
                         const char *tag);

#endif
