/*
 * url.h - builds the URLs of backend servers.
 */
#ifndef BACKEND_URL_H
#define BACKEND_URL_H

/* Returns "http://", address and path; it must be freed. */
char *url_make(const char *address, const char *path);

#endif
