/*
 * address.h - addresses of backend servers as URLs.
 */
#ifndef BACKEND_ADDRESS_H
#define BACKEND_ADDRESS_H

/* "http://ADDRESS" and path; to be freed. */
char *address_url(const char *address, const char *path);

#endif
