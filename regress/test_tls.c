/* test_tls.c - TLS towards callers, and a certificate that is replaced. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include "regress/host.h"

enum { ENOUGH_MS = 20000, KEY_BITS = 2048, VALID_S = 3600, FILES = 4 };

static const char *const files[FILES] = {"test_tls.crt", "test_tls.key",
                                         "test_tls_2.crt", "test_tls_2.key"};

static void make_pair(const char *certificate, const char *key);
static void copy_file(const char *from, const char *to);
static host_reply_t ask(uv_loop_t *loop, http_client_t *client,
                        const host_t *host, const char *scheme,
                        const char *ca_file);

START_TEST(test_certificates)
{
    uv_loop_t loop;
    host_t host;
    http_client_t *client;
    host_reply_t reply;
    err_t err = {0};
    size_t i;

    make_pair(files[0], files[1]);
    make_pair(files[2], files[3]);
    copy_file(files[0], "test_tls_old.crt");
    (void)uv_loop_init(&loop);
    host_start(&host, &loop, 1,
               "[tls]\ncertificate = \"test_tls.crt\"\nkey = "
               "\"test_tls.key\"\n");
    client = http_client_new(&loop);
    reply = ask(&loop, client, &host, "https", files[0]);
    ck_assert_int_eq(reply.result, HTTP_DONE);
    ck_assert_uint_eq(reply.status, 200);
    text_free(&reply.body);
    /* Neither a stranger's certificate nor a plain connection goes. */
    reply = ask(&loop, client, &host, "https", files[2]);
    ck_assert_int_ne(reply.result, HTTP_DONE);
    text_free(&reply.body);
    reply = ask(&loop, client, &host, "http", NULL);
    ck_assert_int_ne(reply.result, HTTP_DONE);
    text_free(&reply.body);
    /* A certificate without its key changes nothing. */
    copy_file(files[2], files[0]);
    ck_assert_int_eq(listener_reload(host.daemon.listener, &err), -1);
    ck_assert_ptr_nonnull(
        strstr(err.message, "test_tls.key:1: no key of this certificate: "));
    reply = ask(&loop, client, &host, "https", "test_tls_old.crt");
    ck_assert_int_eq(reply.result, HTTP_DONE);
    text_free(&reply.body);
    /* With its key, it takes the old one's place. */
    copy_file(files[3], files[1]);
    ck_assert_int_eq(listener_reload(host.daemon.listener, &err), 0);
    reply = ask(&loop, client, &host, "https", files[2]);
    ck_assert_int_eq(reply.result, HTTP_DONE);
    text_free(&reply.body);
    reply = ask(&loop, client, &host, "https", "test_tls_old.crt");
    ck_assert_int_ne(reply.result, HTTP_DONE);
    text_free(&reply.body);
    host_stop(&host);
    http_client_free(client);
    while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {
    }
    ck_assert_int_eq(uv_loop_close(&loop), 0);
    for (i = 0; i < FILES; i++) {
        (void)unlink(files[i]);
    }
    (void)unlink("test_tls_old.crt");
}
END_TEST

/* Each call has a connection of its own, and so a handshake. */
static host_reply_t
ask(uv_loop_t *loop, http_client_t *client, const host_t *host,
    const char *scheme, const char *ca_file)
{
    char url[256];
    host_reply_t reply = {0};
    http_request_t request = {.method = "GET",
                              .url = url,
                              .connect_timeout_ms = ENOUGH_MS,
                              .timeout_ms = ENOUGH_MS,
                              .fresh_connection = true,
                              .ca_file = ca_file};

    (void)snprintf(url, sizeof(url), "%s://%s/healthz", scheme,
                   host_address(host));
    host_ask(loop, client, &request, &reply);
    return reply;
}

/* A certificate of 127.0.0.1 that is its own authority. */
static void
make_pair(const char *certificate, const char *key)
{
    EVP_PKEY *pair = EVP_RSA_gen(KEY_BITS);
    X509 *x509 = X509_new();
    X509_NAME *name = X509_get_subject_name(x509);
    X509_EXTENSION *address =
        X509V3_EXT_conf_nid(NULL, NULL, NID_subject_alt_name, "IP:127.0.0.1");
    FILE *file;

    ck_assert_ptr_nonnull(pair);
    (void)ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
    (void)X509_gmtime_adj(X509_getm_notBefore(x509), -VALID_S);
    (void)X509_gmtime_adj(X509_getm_notAfter(x509), VALID_S);
    (void)X509_set_pubkey(x509, pair);
    (void)X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                                     (const unsigned char *)certificate, -1,
                                     -1, 0);
    (void)X509_set_issuer_name(x509, name);
    (void)X509_set_version(x509, X509_VERSION_3);
    (void)X509_add_ext(x509, address, -1);
    ck_assert_int_gt(X509_sign(x509, pair, EVP_sha256()), 0);
    file = fopen(certificate, "we");
    ck_assert_int_eq(PEM_write_X509(file, x509), 1);
    (void)fclose(file);
    file = fopen(key, "we");
    ck_assert_int_eq(
        PEM_write_PrivateKey(file, pair, NULL, NULL, 0, NULL, NULL), 1);
    (void)fclose(file);
    X509_EXTENSION_free(address);
    X509_free(x509);
    EVP_PKEY_free(pair);
}

static void
copy_file(const char *from, const char *to)
{
    arena_t arena = {0};
    size_t length;
    const char *text = file_read(&arena, from, &length, NULL);
    FILE *file = fopen(to, "we");

    ck_assert_uint_eq(fwrite(text, 1, length, file), length);
    (void)fclose(file);
    arena_free(&arena);
}

int
main(void)
{
    Suite *suite = suite_create("tls");
    TCase *tcase = tcase_create("tls");
    SRunner *runner;
    int failed;

    tcase_set_timeout(tcase, 2.0 * ENOUGH_MS / 1000);
    tcase_add_test(tcase, test_certificates);
    suite_add_tcase(suite, tcase);
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
