/*
 * client.c - which host is at the other end of a connection on loopback.
 *
 * Hosts pass the addresses of runners on to each other, so that an address
 * does not tell who uses it.  The kernel names the socket of a connection's
 * other end, and /proc the process that has it.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <err.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/soak/soak.h"

enum { PATH_BYTES = 64, REPLY_BYTES = 4096 };

typedef struct {
    struct nlmsghdr head;
    struct inet_diag_req_v2 body;
} question_t;

static uint32_t socket_inode(uint16_t from, uint16_t to);
static bool has_socket(int process, uint32_t inode);

size_t
client_host(uint16_t from, uint16_t to)
{
    uint32_t inode = socket_inode(from, to);
    size_t i;

    for (i = 0; inode != 0 && i < hosts_count(); i++) {
        if (host_process(i) > 0 && has_socket(host_process(i), inode)) {
            return i;
        }
    }
    return SOAK_HOSTS_MAX;
}

/* 0: there is none any more. */
static uint32_t
socket_inode(uint16_t from, uint16_t to)
{
    static int diag = -1;
    question_t question = {
        .head = {.nlmsg_len = sizeof(question),
                 .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                 .nlmsg_flags = NLM_F_REQUEST},
        .body = {.sdiag_family = AF_INET,
                 .sdiag_protocol = IPPROTO_TCP,
                 .idiag_states = UINT32_MAX,
                 .id = {.idiag_sport = htons(from),
                        .idiag_dport = htons(to),
                        .idiag_src = {htonl(INADDR_LOOPBACK)},
                        .idiag_dst = {htonl(INADDR_LOOPBACK)},
                        .idiag_cookie = {INET_DIAG_NOCOOKIE,
                                         INET_DIAG_NOCOOKIE}}},
    };
    _Alignas(struct nlmsghdr) char reply[REPLY_BYTES];
    const struct nlmsghdr *head = (const struct nlmsghdr *)reply;
    const struct inet_diag_msg *found = NLMSG_DATA(head);
    ssize_t length;

    if (diag < 0) {
        diag = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    }
    if (diag < 0 || send(diag, &question, sizeof(question), 0) < 0) {
        err(1, "the kernel does not name sockets: run without PARTITION");
    }
    length = recv(diag, reply, sizeof(reply), 0);
    if (length < (ssize_t)NLMSG_LENGTH(sizeof(*found)) ||
        head->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
        return 0;
    }
    return found->idiag_inode;
}

static bool
has_socket(int process, uint32_t inode)
{
    char path[PATH_BYTES];
    char name[PATH_BYTES];
    char wanted[PATH_BYTES];
    const struct dirent *entry;
    bool found = false;
    DIR *dir;

    (void)snprintf(path, sizeof(path), "/proc/%d/fd", process);
    (void)snprintf(wanted, sizeof(wanted), "socket:[%u]", inode);
    dir = opendir(path);
    while (!found && dir != NULL && (entry = readdir(dir)) != NULL) {
        ssize_t length =
            readlinkat(dirfd(dir), entry->d_name, name, sizeof(name) - 1);

        name[length > 0 ? length : 0] = '\0';
        found = strcmp(name, wanted) == 0;
    }
    if (dir != NULL) {
        (void)closedir(dir);
    }
    return found;
}
