/*
 * forwarding.h - a forward_t in a test: events as short lines, orders as text.
 *
 * A script is a list of lines; each is a time in ms, an event, and the orders
 * that it must give.  Runners are named as in "ra1": the service's letter
 * (r engines, s plain), the zone's letter, a digit; their address is
 * 10.0.ZONE.DIGIT:80.  Requests are numbered by the script.
 *
 * Events:
 *   request N stream|safe|unsafe|missing [key=K] [deadline=MS] [after=ID]
 *        [content=C]          those with the same content ask the same
 *        [parts=P,...]        the parts of its prompt that others may share
 *        [resumes=ID]         the request that began its stream
 *        [relayed]            by another host
 *        [grant=ATTEMPTS:DELIVERIES[:RUNNER,...]]
 *                             what that host grants, and who received it
 *        [table=REVISION]      the routing table of that host
 *        [service=NAME]       where that host sends it
 *        [connected=MS]        when its connection stood, else now
 *   gone N
 *   head N ATTEMPT STATUS [stranger] [not-run] [refused] [leaving]
 *        [text]
 *        [used=RUNS:DELIVERIES[:RUNNER,...]]
 *                             text: its body is no event stream;
 *                             refused: by the host that it was relayed to;
 *                             used: what that host has used
 *        [table=REVISION]      the routing table of that host
 *   event N ATTEMPT ID
 *   whole N ATTEMPT | broken N ATTEMPT | unsent N ATTEMPT | invalid N ATTEMPT
 *   probed RUNNER yes|no|silent [leaving] [asked=MS]
 *        [active=N [queued=N] [runs=ID] [born=MS]]
 *                             its outcome, and what it reports; asked: when
 *                             the probe was started, else now
 *   copied N ATTEMPT [name=NAME]
 *   runner RUNNER [draining] [born=MS] [as=ID] [version=V]
 *                             as: another id, its address
 *   drop RUNNER
 *   list RUNNER... [version=V]  the whole registry, without records
 *   routing VERSION [split=SERVICE:WEIGHT,...] [name=NAME]
 *                             the table of forwarding_routing(); split: the
 *                             services of the first route; name: its name
 *   contact [revision=N] [source=NAME] [age=MS]
 *                             the table is in force now, or was MS ago
 *   bound APPLY LEAVE         the limits on the age of the view, in ms
 *   lost-store                a call to the store has failed
 *   regained                  the store answers after failed calls
 *   restored                  it is an older copy; a list follows
 *   hosts N
 *   fleet HOST...             all hosts; named as in "ha2", a is the zone
 *   peer HOST gone|RUNNER/SESSION[/reading][/stream=ID:VERSION]... [stale]
 * [number=N] [isolated] [use=REQUESTS:REPEATS] [moved=RUNNER] [leaves=RUNNER]
 *                             what another host has; stale: it lacks the
 *                             store; number: of its message, else the time;
 *                             use: of the engines' retry budget; moved: its
 *                             first note says that RUNNER has moved,
 *                             or leaves
 *   record versions/SERVICE|streams/HOST rev=N
 *        [VERSION[:REQUEST,...[@SERVICE]]]... [gone]
 *                             what the store has; rev: revision of the key;
 *                             gone: it has been removed
 *   written KEY ok|conflict|failed rev=N [VERSION[:REQUEST,...]]... [gone]
 *                             how a write of a record has ended
 *   order SERVICE to=VERSION duration=MS rev=N | order SERVICE gone
 *                             an order to move a service to a version
 *   status SERVICE STATE to=VERSION rev=N | status SERVICE gone
 *                             its status in the store; STATE is in_progress,
 *                             completed or rolled_back
 *   status-written SERVICE ok|conflict|failed [STATE to=VERSION rev=N]
 *                             how a write of a status has ended
 *   phase SERVICE [phase=PHASE order=N elapsed=MS rev=N]
 *                             the record of a rollout in the store
 *   phase-written SERVICE ok|conflict|failed [phase=...]
 *                             how a write of that record has ended
 *   told HOST SERVICE order=N [elapsed=MS] [bad]
 *                             what another host tells of a rollout
 *   share PERMILLE SLACK      the limits on what a new version may get
 *   revoke MS                 the settings' limit has changed to this
 *   drain
 *   timer
 */
#ifndef REGRESS_FORWARDING_H
#define REGRESS_FORWARDING_H

#include <stddef.h>
#include <stdint.h>

#include "forward/forward.h"

enum { FORWARDING_TEXT_BYTES = 4096 };

typedef struct {
    int64_t at_ms;
    const char *event;
    const char *orders; /* "" for none; NULL: not compared */
} forwarding_line_t;

typedef struct {
    const char *name;
    const forwarding_line_t *lines;
    size_t count;
} forwarding_script_t;

/* A table of lines as a script with its name. */
#define FORWARDING_SCRIPT(lines)                                              \
    {                                                                         \
#lines, lines, sizeof(lines) / sizeof((lines)[0])                     \
    }

/* The first lines of a script: one engine a zone, and one plain runner. */
#define FORWARDING_OPENED                                                     \
    {0, "routing 1", ""}, {0, "contact", ""}, {0, "hosts 1", ""},             \
    {                                                                         \
        0, "list ra1 rb1 rc1 sa1", ""                                         \
    }

/* Runs the script on a fresh forward_t; fails the test where orders differ. */
void forwarding_play(const forwarding_script_t *script);

/* The same, step by step; the text is valid until the next call. */
forward_t *forwarding_open(void);
forward_t *forwarding_open_host(const char *host);
const char *forwarding_do(forward_t *forward, int64_t at_ms,
                          const char *event);

/* The log lines that the last event gave, each ended by a line end. */
const char *forwarding_lines(void);

/* Two routes to engines and two to a plain service; keys "k1" and "k2". */
routing_t *forwarding_routing(int64_t version);

/* The limits of these hosts, but for the age limit of the routing table. */
forward_limits_t forwarding_limits(uint32_t revoke_ms);

#endif
