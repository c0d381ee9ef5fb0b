/* address.c - which addresses are loopback ones. */
#include <arpa/inet.h>

#include "peer/private.h"

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
