/*
 * tls.h - TLS server context from certificate and key files.
 */
#ifndef AGATED_TLS_H
#define AGATED_TLS_H

#include <openssl/ssl.h>

#include "base/err.h"

/*
 * Returns a server context with the given certificate chain and private key,
 * both PEM files, or NULL with *err set if they cannot be used.  Offers HTTP/2
 * by ALPN.
 */
SSL_CTX *tls_context_new(const char *certificate, const char *key, err_t *err);

#endif
