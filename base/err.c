/* err.c - fills in an error. */
#include <stdarg.h>
#include <stdio.h>

#include "base/err.h"

int
err_set(err_t *err, err_kind_t kind, const char *format, ...)
{
    va_list args;

    if (err == NULL) {
        return -1;
    }
    err->kind = kind;
    va_start(args, format);
    (void)vsnprintf(err->message, sizeof(err->message), format, args);
    va_end(args);
    return -1;
}
