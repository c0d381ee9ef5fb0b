/* host.c - see host.h. */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agated/request.h"
#include "regress/flaky.h"
#include "regress/host.h"

struct host_call {
    http_sink_t sink; /* first: reports come by it */
    bool done;
    host_reply_t reply;
};

static void start(host_t *host, uv_loop_t *loop, int engine_port,
                  const char *more, bool flaky);
static void on_head(http_sink_t *sink, uint32_t status,
                    const char *content_type, uint32_t retry_after_ms);
static void on_body(http_sink_t *sink, const char *bytes, size_t length);
static void on_done(http_sink_t *sink, http_result_t result);
static char *make_fleet(arena_t *arena, int port);

static const http_sink_ops_t sink_ops = {
    .head = on_head, .body = on_body, .done = on_done};

void
host_start(host_t *host, uv_loop_t *loop, int engine_port, const char *more)
{
    start(host, loop, engine_port, more, false);
}

void
host_start_flaky(host_t *host, uv_loop_t *loop, int engine_port,
                 const char *more)
{
    start(host, loop, engine_port, more, true);
}

static void
start(host_t *host, uv_loop_t *loop, int engine_port, const char *more,
      bool flaky)
{
    const char *digest;
    const char *name;
    char *text;
    err_t err = {0};

    (void)signal(SIGPIPE, SIG_IGN);
    memset(host, 0, sizeof(*host));
    host->fleet = make_fleet(&host->arena, engine_port);
    host->service = host_file(&host->arena, HOST_SERVICE("planning", "3"));
    text = arena_printf(&host->arena,
                        "host = \"a1\"\nzone = \"north\"\n[listen]\n"
                        "address = \"127.0.0.1:0\"\nheader_timeout_ms = 1000\n"
                        "[platform]\n"
                        "kind = \"memory\"\nfleet = \"%s\"\n"
                        "documents = [\"%s\"]\n%s",
                        host->fleet, host->service, more);
    ck_assert_msg(settings_parse(&host->settings, &host->arena, "f", text,
                                 strlen(text), &err) == 0,
                  "%s", err.message);
    /* Event ids are sealed with this key. */
    host->settings.peers_key_file = REGRESS_DIR "/golden/peers.key";
    host->daemon.settings = &host->settings;
    host->daemon.loop = loop;
    ck_assert_msg(daemon_open(&host->daemon, &err) == 0, "%s", err.message);
    if (flaky) {
        host->daemon.platform = flaky_new(loop, host->daemon.platform);
    }
    daemon_start(&host->daemon);
    digest = host_digest(&host->arena, "Bearer team-key");
    while (node_role(dispatch_node(host->daemon.dispatch), digest, &name) !=
           ROLE_TEAM) {
        (void)uv_run(loop, UV_RUN_ONCE);
    }
}

const char *
host_address(const host_t *host)
{
    return listener_address(host->daemon.listener);
}

void
host_stop(host_t *host)
{
    listener_stop(host->daemon.listener);
    (void)uv_run(host->daemon.loop, UV_RUN_DEFAULT);
    daemon_close(&host->daemon);
    (void)unlink(host->fleet);
    (void)unlink(host->service);
    arena_free(&host->arena);
}

void
host_ask(uv_loop_t *loop, http_client_t *client, const http_request_t *request,
         host_reply_t *reply)
{
    host_await(loop, host_call(client, request), reply);
}

host_call_t *
host_call(http_client_t *client, const http_request_t *request)
{
    host_call_t *call = xcalloc(1, sizeof(*call));

    call->sink.ops = &sink_ops;
    (void)http_start(client, request, &call->sink);
    return call;
}

void
host_await(uv_loop_t *loop, host_call_t *call, host_reply_t *reply)
{
    while (!call->done) {
        (void)uv_run(loop, UV_RUN_ONCE);
    }
    *reply = call->reply;
    text_append(&reply->body, "", 1);
    free(call);
}

/* In the directory that the test runs in. */
char *
host_file(arena_t *arena, const char *text)
{
    char *path = arena_strdup(arena, "test_host.XXXXXX");
    int fd = mkstemp(path);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, text, strlen(text)), (int)strlen(text));
    (void)close(fd);
    return path;
}

const char *
host_digest(arena_t *arena, const char *authorization)
{
    char *credential = arena_alloc(arena, CREDENTIAL_BYTES);

    hash_bearer_key(authorization, credential);
    return credential;
}

static char *
make_fleet(arena_t *arena, int port)
{
    return host_file(
        arena,
        arena_printf(arena,
                     "[[runner]]\nname = \"r1\"\naddress = \"127.0.0.1:%d\"\n"
                     "zone = \"north\"\nkind = \"engine\"\n"
                     "models = [\"planner-v3\"]\n"
                     "[[organisation]]\nname = \"tarawhiti\"\n"
                     "key_sha256 = [\"%s\"]\n"
                     "[[team]]\nname = \"planning\"\nkey_sha256 = [\"%s\"]\n"
                     "[[operator]]\nname = \"ops\"\nkey_sha256 = [\"%s\"]\n",
                     port, host_digest(arena, "Bearer org-key"),
                     host_digest(arena, "Bearer team-key"),
                     host_digest(arena, "Bearer ops-key")));
}

static void
on_head(http_sink_t *sink, uint32_t status, const char *content_type,
        uint32_t retry_after_ms)
{
    host_call_t *call = (host_call_t *)sink;

    call->reply.status = status;
    call->reply.retry_after_ms = retry_after_ms;
}

static void
on_body(http_sink_t *sink, const char *bytes, size_t length)
{
    text_append(&((host_call_t *)sink)->reply.body, bytes, length);
}

static void
on_done(http_sink_t *sink, http_result_t result)
{
    host_call_t *call = (host_call_t *)sink;

    call->reply.result = result;
    call->done = true;
}
