/* links.c - the links between hosts and runners, and what befalls them. */
#include "regress/soak/soak.h"

enum {
    /* What a link has held back is delivered in this time after it.  Uploads
     * that no longer fit into the sockets wait for probes of TCP, too. */
    HELD_MS = 500,
    HELD_UPLOAD_MS = SOAK_CALM_MS,
};

typedef struct {
    link_mode_t mode;
    uint64_t cut_ms; /* the last cut began then; 0: none has */
    uint64_t healed_ms;
} links_t;

static links_t links[SOAK_HOSTS_MAX];

static uint64_t
held_ms(void)
{
    return soak_plays(SOAK_UPLOADS) ? HELD_UPLOAD_MS : HELD_MS;
}

static void
set_mode(size_t host, link_mode_t mode)
{
    size_t i;

    links[host].mode = mode;
    for (i = 0; i < runners_count(); i++) {
        proxy_set_host_mode(runner_proxy(i), host, mode);
    }
}

void
links_cut(size_t host, link_mode_t mode)
{
    links[host].cut_ms = soak_now_ms();
    set_mode(host, mode);
}

void
links_heal(size_t host)
{
    links[host].healed_ms = soak_now_ms();
    set_mode(host, LINK_PASSES);
}

uint64_t
links_cut_ms(size_t host)
{
    return links[host].mode == LINK_PASSES ? links[host].healed_ms
                                           : soak_now_ms();
}

uint64_t
links_harmed_ms(size_t host, size_t runner)
{
    uint64_t cut_ms = links_cut_ms(host);
    uint64_t now_ms = soak_now_ms();
    uint64_t silent_ms = runner_silent_until_ms(runner);

    silent_ms = silent_ms < now_ms ? silent_ms : now_ms;
    return cut_ms > silent_ms ? cut_ms : silent_ms;
}

uint64_t
links_sent_ms(size_t host, size_t runner)
{
    uint64_t now_ms = soak_now_ms();
    uint64_t sent_ms = now_ms;

    if (links[host].mode == LINK_PASSES && links[host].healed_ms > 0 &&
        now_ms < links[host].healed_ms + held_ms()) {
        sent_ms = links[host].cut_ms;
    }
    if (runner_silent_ms(runner) > 0 &&
        now_ms < runner_silent_until_ms(runner) + held_ms() &&
        runner_silent_ms(runner) < sent_ms) {
        sent_ms = runner_silent_ms(runner);
    }
    return sent_ms;
}
