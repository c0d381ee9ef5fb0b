/* tls.c - TLS server context from certificate and key files. */
#include <h2o.h>

#include <openssl/err.h>

#include "agated/tls.h"

static const char *first_openssl_error(void);
static int load_certificate(SSL_CTX *context, const char *certificate,
                            const char *key, err_t *err);

SSL_CTX *
tls_context_new(const char *certificate, const char *key, err_t *err)
{
    SSL_CTX *context = SSL_CTX_new(TLS_server_method());

    if (context == NULL) {
        (void)err_set(err, ERR_SYSTEM,
                      "TLS cannot be initialised: check the OpenSSL library");
        return NULL;
    }
    (void)SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    (void)SSL_CTX_set_options(context, SSL_OP_NO_COMPRESSION |
                                           SSL_OP_CIPHER_SERVER_PREFERENCE);
    if (load_certificate(context, certificate, key, err) < 0) {
        SSL_CTX_free(context);
        return NULL;
    }
    h2o_ssl_register_alpn_protocols(context, h2o_http2_alpn_protocols);
    return context;
}

static int
load_certificate(SSL_CTX *context, const char *certificate, const char *key,
                 err_t *err)
{
    ERR_clear_error();
    if (SSL_CTX_use_certificate_chain_file(context, certificate) != 1) {
        return err_set(err, ERR_SETTINGS,
                       "%s:1: no certificate: %s: name a PEM file with the "
                       "certificate and its chain",
                       certificate, first_openssl_error());
    }
    if (SSL_CTX_use_PrivateKey_file(context, key, SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(context) != 1) {
        return err_set(err, ERR_SETTINGS,
                       "%s:1: no key of this certificate: %s: name the PEM "
                       "file with its private key",
                       key, first_openssl_error());
    }
    return 0;
}

/* Returns the first error; OpenSSL has no text for system errors. */
static const char *
first_openssl_error(void)
{
    const char *reason = ERR_reason_error_string(ERR_get_error());

    return reason == NULL ? "it cannot be read" : reason;
}
