/*
 * address.h - "ip:port" texts as socket addresses.
 *
 * Addresses are numbers only: "127.0.0.1:8080" or "[::1]:8080".
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include "base/err.h"

enum { ADDRESS_TEXT_BYTES = 64 };

/* Reads text into *out; -1 with *err set when it is no address. */
int address_parse(const char *text, struct sockaddr_storage *out, err_t *err);

bool address_is_loopback(const struct sockaddr_storage *address);

/* Writes the address as it would be parsed; text has ADDRESS_TEXT_BYTES. */
void address_format(const struct sockaddr *address, char *text);

#endif
