/* address.c - parses and formats socket addresses. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"

enum { PORT_MAX = 65535, DECIMAL_BASE = 10 };

static int parse_port(const char *text);

int
address_parse(const char *text, struct sockaddr_storage *out, err_t *err)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
    const char *input = text;
    const char *colon = strrchr(text, ':');
    char host[INET6_ADDRSTRLEN];
    size_t length = colon == NULL ? 0 : (size_t)(colon - text);
    int port = colon == NULL ? -1 : parse_port(colon + 1);
    bool bracketed = length > 2 && text[0] == '[' && text[length - 1] == ']';

    memset(out, 0, sizeof(*out));
    if (bracketed) {
        text++;
        length -= 2;
    }
    if (port < 0 || length == 0 || length >= sizeof(host)) {
        goto fail;
    }
    memcpy(host, text, length);
    host[length] = '\0';
    if (bracketed && inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons((uint16_t)port);
        return 0;
    }
    if (!bracketed && inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons((uint16_t)port);
        return 0;
    }
fail:
    return err_set(err, ERR_SETTINGS,
                   "\"%.64s\" is not an IP address with a port: write it like "
                   "\"127.0.0.1:8080\" or \"[::1]:8080\"",
                   input);
}

void
address_format(const struct sockaddr *address, char *text)
{
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
    const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
    char host[INET6_ADDRSTRLEN] = "";

    if (address->sa_family == AF_INET6) {
        (void)inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
        (void)snprintf(text, ADDRESS_TEXT_BYTES, "[%s]:%u", host,
                       ntohs(v6->sin6_port));
        return;
    }
    (void)inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
    (void)snprintf(text, ADDRESS_TEXT_BYTES, "%s:%u", host,
                   ntohs(v4->sin_port));
}

bool
address_is_loopback(const struct sockaddr_storage *address)
{
    const struct sockaddr_in *in4 = (const struct sockaddr_in *)address;
    const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)address;

    if (address->ss_family == AF_INET) {
        return ntohl(in4->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET;
    }
    return address->ss_family == AF_INET6 &&
           IN6_IS_ADDR_LOOPBACK(&in6->sin6_addr);
}

/* Returns the port, or -1 if text is not a port number. */
static int
parse_port(const char *text)
{
    char *end;
    long port;

    if (*text < '0' || *text > '9') {
        return -1;
    }
    errno = 0;
    port = strtol(text, &end, DECIMAL_BASE);
    if (errno != 0 || *end != '\0' || port > PORT_MAX) {
        return -1;
    }
    return (int)port;
}
