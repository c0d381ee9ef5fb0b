/*
 * err.h - error kinds and messages returned by failing functions.
 *
 * A function that can fail takes an err_t * as its last argument and returns a
 * negative value or NULL on failure.  The message names the problem and the
 * remedy: "what is wrong: remedy".
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <stdint.h>

#define ERR_MESSAGE_BYTES 320

typedef enum {
    ERR_NONE,
    ERR_SETTINGS,  /* invalid settings file or command line */
    ERR_DOCUMENT,  /* invalid document of a team or the operators */
    ERR_SYSTEM,    /* a system call failed */
    ERR_PROTOCOL,  /* the remote end violated the protocol */
    ERR_CONFLICT,  /* concurrent change by someone else */
    ERR_UNREACHED, /* no response; the call may have taken effect */
    ERR_LIMIT,     /* a limit is exceeded */
    ERR_NOT_FOUND, /* the object does not exist */
} err_kind_t;

typedef struct {
    err_kind_t kind;
    char message[ERR_MESSAGE_BYTES];
} err_t;

/*
 * Fills in *err, unless err is NULL, and returns -1, so that a function can
 * end with: return err_set(err, ERR_SETTINGS, "...");
 */
int err_set(err_t *err, err_kind_t kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
