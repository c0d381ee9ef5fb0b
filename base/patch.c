/* patch.c - see patch.h. */
#include <stdlib.h>

#include <zstd.h>

#include "base/arena.h"
#include "base/patch.h"

enum {
    LEVEL = 3,
    WINDOW_LOG_MIN = 17,
    WINDOW_LOG_MAX = 24, /* 16 MB: memory that a patch can make us use */
};

static int window_log(size_t bytes);

patch_t
patch_make(const char *base, size_t base_bytes, const char *value,
           size_t value_bytes)
{
    ZSTD_CCtx *context = ZSTD_createCCtx();
    size_t room = ZSTD_compressBound(value_bytes);
    patch_t patch = {.bytes = xcalloc(1, room)};

    if (context == NULL) {
        abort();
    }
    (void)ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
    (void)ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
    (void)ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog,
                                 window_log(base_bytes + value_bytes));
    /* Finds a match anywhere in the base. */
    (void)ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching,
                                 1);
    if (base_bytes > 0) {
        (void)ZSTD_CCtx_refPrefix(context, base, base_bytes);
    }
    patch.count =
        ZSTD_compress2(context, patch.bytes, room, value, value_bytes);
    if (ZSTD_isError(patch.count)) {
        abort(); /* only lack of memory can fail it */
    }
    (void)ZSTD_freeCCtx(context);
    patch.bytes = xrealloc(patch.bytes, patch.count + 1, 1);
    return patch;
}

int
patch_apply(const char *base, size_t base_bytes, const uint8_t *patch,
            size_t patch_bytes, size_t max_bytes, char **value,
            size_t *value_bytes, err_t *err)
{
    unsigned long long stated = ZSTD_getFrameContentSize(patch, patch_bytes);
    ZSTD_DCtx *context;
    size_t made;

    if (stated == ZSTD_CONTENTSIZE_ERROR ||
        stated == ZSTD_CONTENTSIZE_UNKNOWN) {
        return err_set(err, ERR_PROTOCOL,
                       "a patch of %zu bytes has no valid head: read the "
                       "whole value",
                       patch_bytes);
    }
    if (stated > max_bytes) {
        return err_set(err, ERR_LIMIT,
                       "a patch makes a value of %llu bytes: at most %zu are "
                       "allowed",
                       stated, max_bytes);
    }
    context = ZSTD_createDCtx();
    *value = xcalloc(1, (size_t)stated + 1);
    if (context == NULL) {
        abort();
    }
    (void)ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_LOG_MAX);
    if (base_bytes > 0) {
        (void)ZSTD_DCtx_refPrefix(context, base, base_bytes);
    }
    made = ZSTD_decompressDCtx(context, *value, (size_t)stated, patch,
                               patch_bytes);
    (void)ZSTD_freeDCtx(context);
    if (ZSTD_isError(made) || made != stated) {
        free(*value);
        *value = NULL;
        return err_set(err, ERR_PROTOCOL,
                       "a patch does not fit (%s): read the whole value",
                       ZSTD_isError(made) ? ZSTD_getErrorName(made)
                                          : "wrong size");
    }
    *value_bytes = made;
    return 0;
}

static int
window_log(size_t bytes)
{
    int log = WINDOW_LOG_MIN;

    while (log < WINDOW_LOG_MAX && ((size_t)1 << log) < bytes) {
        log++;
    }
    return log;
}
