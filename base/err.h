/*
 * err.h - the error that is passed down and filled in by whoever fails.
 *
 * A function that can fail takes a last argument err_t * and returns a
 * negative value or NULL on failure.  The message says what is wrong and
 * what to do about it: "what is wrong: remedy".
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <stdint.h>

#define ERR_MESSAGE_BYTES 320

typedef enum {
    ERR_NONE,
    ERR_SETTINGS,  /* a settings file or a command line is wrong */
    ERR_DOCUMENT,  /* a team's or the operators' document is wrong */
    ERR_SYSTEM,    /* a system call failed */
    ERR_PROTOCOL,  /* the other side broke the protocol */
    ERR_CONFLICT,  /* somebody else changed it first */
    ERR_UNREACHED, /* no answer; whether it took effect is unknown */
    ERR_LIMIT,     /* a stated limit is exceeded */
    ERR_NOT_FOUND, /* it does not exist */
} err_kind_t;

typedef struct {
    err_kind_t kind;
    char message[ERR_MESSAGE_BYTES];
} err_t;

/*
 * Fills in *err (which may be NULL) and returns -1, so that callers can
 * write: return err_set(err, ERR_SETTINGS, "...");
 */
int err_set(err_t *err, err_kind_t kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
