/* address.c - addresses by number, as "ip:port" or "[ip]:port". */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "peer/private.h"

enum { IP_TEXT_BYTES = 64, PORT_MAX = 65535 };

int
address_parse(const char *text, struct sockaddr_storage *address, err_t *err)
{
    char ip[IP_TEXT_BYTES];
    const char *colon = strrchr(text, ':');
    const char *first = text;
    char *end = NULL;
    size_t length;
    long port = -1;
    int status;

    memset(address, 0, sizeof(*address));
    if (colon != NULL && colon[1] >= '0' && colon[1] <= '9') {
        port = strtol(colon + 1, &end, 10);
    }
    if (port < 0 || port > PORT_MAX || *end != '\0') {
        return err_set(err, ERR_SETTINGS,
                       "\"%s\" has no port: write \"ip:port\"", text);
    }
    length = (size_t)(colon - text);
    if (length >= 2 && text[0] == '[' && colon[-1] == ']') {
        first++;
        length -= 2;
    }
    if (length >= sizeof(ip)) {
        return err_set(err, ERR_SETTINGS,
                       "\"%s\" is too long: write \"ip:port\"", text);
    }
    memcpy(ip, first, length);
    ip[length] = '\0';
    if (first == text) {
        status = uv_ip4_addr(ip, (int)port, (struct sockaddr_in *)address);
    }
    else {
        status = uv_ip6_addr(ip, (int)port, (struct sockaddr_in6 *)address);
    }
    if (status != 0) {
        return err_set(err, ERR_SETTINGS,
                       "\"%s\" is no address by number: write \"ip:port\" "
                       "or \"[ip]:port\"",
                       text);
    }
    return 0;
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
