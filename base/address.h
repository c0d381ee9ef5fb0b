/*
 * address.h - parses and formats socket addresses written as "ip:port".
 *
 * Addresses are numeric: "127.0.0.1:8080" or "[::1]:8080".  Host names are not
 * resolved.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include "base/err.h"

enum { ADDRESS_TEXT_BYTES = 64 };

/* Parses text into *out.  Returns -1 with *err set if it is not an address. */
int address_parse(const char *text, struct sockaddr_storage *out, err_t *err);

bool address_is_loopback(const struct sockaddr_storage *address);

/*
 * Writes the address in the form that address_parse() reads.  text has room
 * for ADDRESS_TEXT_BYTES bytes.
 */
void address_format(const struct sockaddr *address, char *text);

#endif
