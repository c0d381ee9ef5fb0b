/*
 * tls.h - the certificate that callers and operators see.
 */
#ifndef AGATED_TLS_H
#define AGATED_TLS_H

#include <openssl/ssl.h>

#include "base/err.h"

/*
 * A server's context with this certificate chain and key, both PEM files;
 * NULL with *err set when they cannot be used.  Offers HTTP/2 by ALPN.
 */
SSL_CTX *tls_context_new(const char *certificate, const char *key, err_t *err);

#endif
