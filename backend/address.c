/* address.c - see address.h. */
#include <stdio.h>
#include <string.h>

#include "backend/address.h"
#include "base/arena.h"

char *
address_url(const char *address, const char *path)
{
    static const char scheme[] = "http://";
    size_t size = sizeof(scheme) + strlen(address) + strlen(path);
    char *url = xcalloc(size, 1);

    (void)snprintf(url, size, "%s%s%s", scheme, address, path);
    return url;
}
