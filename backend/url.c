/* url.c - builds the URLs of backend servers. */
#include <stdio.h>
#include <string.h>

#include "backend/url.h"
#include "base/arena.h"

char *
url_make(const char *address, const char *path)
{
    static const char scheme[] = "http://";
    size_t size = sizeof(scheme) + strlen(address) + strlen(path);
    char *url = xcalloc(size, 1);

    (void)snprintf(url, size, "%s%s%s", scheme, address, path);
    return url;
}
