/*
 * url.h - addresses of backend servers as URLs.
 */
#ifndef BACKEND_URL_H
#define BACKEND_URL_H

/* "http://ADDRESS" and path; to be freed. */
char *url_make(const char *address, const char *path);

#endif
