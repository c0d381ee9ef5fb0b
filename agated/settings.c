/* settings.c - reads and checks the settings file, agated.toml. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "agated/settings.h"

enum {
    NAME_LENGTH_MAX = 63,
    PATH_LENGTH_MAX = 1023,
    BODY_DEFAULT_BYTES = 4 << 20,
    BODY_MIN_BYTES = 1 << 10,
    BODY_MAX_BYTES = 16 << 20,
    HEADER_TIMEOUT_DEFAULT_MS = 10000,
    HEADER_TIMEOUT_MIN_MS = 100,
    HEADER_TIMEOUT_MAX_MS = 600000,
    PLATFORM_TIMEOUT_DEFAULT_MS = 2000,
    PLATFORM_TIMEOUT_MIN_MS = 10,
    PLATFORM_TIMEOUT_MAX_MS = 60000,
    SESSIONS_DEFAULT = 4096,
    SESSIONS_MAX = 100000,
    QUEUE_WAIT_DEFAULT_MS = 10000,
    SILENCE_FLOOR_DEFAULT_MS = 250,
    SILENCE_CEILING_DEFAULT_MS = 3000,
    PREFILL_LIMIT_DEFAULT_MS = 3000,
    ORPHAN_GRACE_DEFAULT_MS = 30000,
    LIMIT_MAX_MS = 3600000,
    WATCH_DEFAULT_MS = 1000,
    WATCH_MAX_MS = 30000,
    WATCH_PAUSE_DEFAULT_MS = 200,
    /* 3 times the 0.3 s within which all hosts of a fleet start. */
    SETTLE_DEFAULT_MS = 1000,
    PRESENCE_DEFAULT_S = 6,
    PRESENCE_MAX_S = 600,
    REGISTRY_DEFAULT_MS = 2000,
    GRACE_DEFAULT_MS = 8000,
    /* Each takes two of the 4,096 descriptors that a process often has; the
     * rest is for idle callers, probes and the store. */
    REQUESTS_DEFAULT = 1200,
    DRAIN_DEFAULT_MS = 4000,
    RETRY_RATIO_DEFAULT_PERMILLE = 200,
    RETRY_FIXED_DEFAULT_PERMILLE = 20000,
    /* A tenth of the requests is enough to judge a version by. */
    CANARY_SHARE_DEFAULT_PERMILLE = 100,
    CANARY_SHARE_MAX_PERMILLE = 1000,
    CANARY_SLACK_DEFAULT = 50,
    CANARY_SLACK_MAX = 1000000,
    ROLLBACK_DEFAULT_MS = 5000,
    RETRY_WINDOW_DEFAULT_MS = 10000,
    RETRY_WINDOW_MAX_MS = 10000,
    ADDRESS_TTL_DEFAULT_S = 2,
    ADDRESS_TTL_MAX_S = 3600,
    MILLI_MAX = 1000000000,
    MEMORY_MAX_MB = 1 << 20,
    DESCRIPTORS_MAX = 1 << 20,
    SILENCE_MIN_MS = 10
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
static const char *const platform_kinds[] = {"etcd", "memory", "platform",
                                             NULL};

static const field_t listen_fields[] = {
    {.key = "address",
     .type = FIELD_ADDRESS,
     .offset = offsetof(settings_t, listen_address),
     .required = true,
     .remedy = "address = \"127.0.0.1:8080\""},
    {.key = "body_max_bytes",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, body_max_bytes),
     .min = BODY_MIN_BYTES,
     .max = BODY_MAX_BYTES,
     .remedy = "body_max_bytes = 4194304"},
    {.key = "header_timeout_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, header_timeout_ms),
     .min = HEADER_TIMEOUT_MIN_MS,
     .max = HEADER_TIMEOUT_MAX_MS,
     .remedy = "header_timeout_ms = 10000"},
};

static const field_t platform_fields[] = {
    {.key = "kind",
     .type = FIELD_CHOICE,
     .offset = offsetof(settings_t, platform_kind),
     .required = true,
     .remedy = "kind = \"etcd\", kind = \"memory\" or "
               "kind = \"platform\"",
     .choices = platform_kinds},
    {.key = "addresses",
     .type = FIELD_ADDRESSES,
     .offset = offsetof(settings_t, platform_addresses),
     .remedy = "addresses = [\"127.0.0.1:2379\"]"},
    {.key = "timeout_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, platform_timeout_ms),
     .min = PLATFORM_TIMEOUT_MIN_MS,
     .max = PLATFORM_TIMEOUT_MAX_MS,
     .remedy = "timeout_ms = 2000"},
    {.key = "fleet",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, fleet_file),
     .min = 1,
     .max = PATH_LENGTH_MAX,
     .remedy = "fleet = \"fleet.toml\""},
    {.key = "documents",
     .type = FIELD_STRINGS,
     .offset = offsetof(settings_t, document_files),
     .remedy = "documents = [\"service.toml\"]"},
};

static const field_t peers_fields[] = {
    {.key = "address",
     .type = FIELD_ADDRESS,
     .offset = offsetof(settings_t, peers_address),
     .required = true,
     .remedy = "address = \"127.0.0.1:8081\""},
    {.key = "key_file",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, peers_key_file),
     .required = true,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     .remedy = "key_file = \"peers.key\""},
    {.key = "hosts",
     .type = FIELD_NAMED_ADDRESSES,
     .offset = offsetof(settings_t, peers_hosts),
     .max = NAME_LENGTH_MAX,
     .remedy = "hosts = [\"entry-2=192.0.2.2:8081\"]"},
};

static const field_t limits_fields[] = {
    {.key = "sessions_max",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, sessions_max),
     .min = 1,
     .max = SESSIONS_MAX,
     .remedy = "sessions_max = 4096"},
    {.key = "queue_wait_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, queue_wait_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "queue_wait_ms = 10000"},
    {.key = "silence_floor_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, silence_floor_ms),
     .min = SILENCE_MIN_MS,
     .max = LIMIT_MAX_MS,
     .remedy = "silence_floor_ms = 250"},
    {.key = "silence_ceiling_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, silence_ceiling_ms),
     .min = SILENCE_MIN_MS,
     .max = LIMIT_MAX_MS,
     .remedy = "silence_ceiling_ms = 3000"},
    {.key = "prefill_limit_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, prefill_limit_ms),
     .min = SILENCE_MIN_MS,
     .max = LIMIT_MAX_MS,
     .remedy = "prefill_limit_ms = 3000"},
    {.key = "orphan_grace_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, orphan_grace_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "orphan_grace_ms = 30000"},
};

static const field_t admin_fields[] = {
    {.key = "key_sha256",
     .type = FIELD_DIGESTS,
     .offset = offsetof(settings_t, admin_keys),
     .required = true,
     .remedy = "key_sha256 = [\"<64 hexadecimal digits>\"]"},
};

static const field_t tls_fields[] = {
    {.key = "certificate",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, tls_certificate),
     .required = true,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     .remedy = "certificate = \"host.crt\""},
    {.key = "key",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, tls_key),
     .required = true,
     .min = 1,
     .max = PATH_LENGTH_MAX,
     .remedy = "key = \"host.key\""},
    {.key = "ca",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, tls_ca),
     .min = 1,
     .max = PATH_LENGTH_MAX,
     .remedy = "ca = \"fleet.crt\""},
};

static const field_t gateway_fields[] = {
    {.key = "readiness",
     .type = FIELD_ADDRESS,
     .offset = offsetof(settings_t, gateway.readiness_address),
     .remedy = "readiness = \"127.0.0.1:8090\""},
    {.key = "lookup",
     .type = FIELD_ADDRESS,
     .offset = offsetof(settings_t, gateway.lookup_address),
     .remedy = "lookup = \"127.0.0.1:8091\""},
    {.key = "metrics",
     .type = FIELD_ADDRESS,
     .offset = offsetof(settings_t, gateway.metrics_address),
     .remedy = "metrics = \"127.0.0.1:8092\""},
    {.key = "peers",
     .type = FIELD_ADDRESS,
     .offset = offsetof(settings_t, gateway.peer_address),
     .remedy = "peers = \"127.0.0.1:8093\""},
    {.key = "watch_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.watch_ms),
     .min = SILENCE_MIN_MS,
     .max = WATCH_MAX_MS,
     .remedy = "watch_ms = 1000"},
    {.key = "watch_pause_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.watch_pause_ms),
     .min = 0,
     .max = WATCH_MAX_MS,
     .remedy = "watch_pause_ms = 200"},
    {.key = "settle_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.settle_ms),
     .min = 0,
     .max = WATCH_MAX_MS,
     .remedy = "settle_ms = 1000"},
    {.key = "presence_s",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.presence_s),
     .min = 1,
     .max = PRESENCE_MAX_S,
     .remedy = "presence_s = 6"},
    {.key = "memory_mb",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.memory_mb),
     .min = 0,
     .max = MEMORY_MAX_MB,
     .remedy = "memory_mb = 256"},
    {.key = "descriptors_max",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.descriptors_max),
     .min = 0,
     .max = DESCRIPTORS_MAX,
     .remedy = "descriptors_max = 4096"},
    {.key = "revoke_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.revoke_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "revoke_ms = 5000"},
    {.key = "registry_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.registry_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "registry_ms = 2000"},
    {.key = "apply_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.apply_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "apply_ms = 2000"},
    {.key = "leave_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.leave_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "leave_ms = 2000"},
    {.key = "grace_s",
     .type = FIELD_MILLI,
     .offset = offsetof(settings_t, gateway.limits.grace_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "grace_s = 8"},
    {.key = "requests_max",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.requests_max),
     .min = 1,
     .max = SESSIONS_MAX,
     .remedy = "requests_max = 1200"},
    {.key = "drain_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.drain_ms),
     .min = 0,
     .max = LIMIT_MAX_MS,
     .remedy = "drain_ms = 4000"},
    {.key = "retry_ratio",
     .type = FIELD_MILLI,
     .offset = offsetof(settings_t, gateway.limits.retry_ratio_permille),
     .min = 0,
     .max = MILLI_MAX,
     .remedy = "retry_ratio = 0.2"},
    {.key = "retry_fixed",
     .type = FIELD_MILLI,
     .offset = offsetof(settings_t, gateway.limits.retry_fixed_permille),
     .min = 0,
     .max = MILLI_MAX,
     .remedy = "retry_fixed = 20"},
    {.key = "retry_window_s",
     .type = FIELD_MILLI,
     .offset = offsetof(settings_t, gateway.limits.retry_window_ms),
     .min = 1,
     .max = RETRY_WINDOW_MAX_MS,
     .remedy = "retry_window_s = 10"},
    {.key = "canary_share",
     .type = FIELD_MILLI,
     .offset = offsetof(settings_t, gateway.limits.canary_share_permille),
     .min = 0,
     .max = CANARY_SHARE_MAX_PERMILLE,
     .remedy = "canary_share = 0.1"},
    {.key = "canary_slack",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.canary_slack),
     .min = 0,
     .max = CANARY_SLACK_MAX,
     .remedy = "canary_slack = 50"},
    {.key = "rollback_ms",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.rollback_ms),
     .min = 1,
     .max = LIMIT_MAX_MS,
     .remedy = "rollback_ms = 5000"},
    {.key = "address_ttl_s",
     .type = FIELD_U32,
     .offset = offsetof(settings_t, gateway.limits.address_ttl_s),
     .min = 1,
     .max = ADDRESS_TTL_MAX_S,
     .remedy = "address_ttl_s = 2"},
};

static const field_t debug_fields[] = {
    {.key = "event_log",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, event_log),
     .min = 1,
     .max = PATH_LENGTH_MAX,
     .remedy = "event_log = \"events.xdr\""},
};

static const field_t fields[] = {
    {.key = "host",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, host),
     .required = true,
     .min = 1,
     .max = NAME_LENGTH_MAX,
     .remedy = "host = \"entry-1\""},
    {.key = "zone",
     .type = FIELD_STRING,
     .offset = offsetof(settings_t, zone),
     .required = true,
     .min = 1,
     .max = NAME_LENGTH_MAX,
     .remedy = "zone = \"north\""},
    {.key = "listen",
     .type = FIELD_TABLE,
     .required = true,
     .remedy = "a table [listen]",
     .fields = listen_fields,
     .field_count = COUNT(listen_fields)},
    {.key = "platform",
     .type = FIELD_TABLE,
     .required = true,
     .remedy = "a table [platform]",
     .fields = platform_fields,
     .field_count = COUNT(platform_fields)},
    {.key = "peers",
     .type = FIELD_TABLE,
     .required = false,
     .remedy = "a table [peers]",
     .fields = peers_fields,
     .field_count = COUNT(peers_fields)},
    {.key = "limits",
     .type = FIELD_TABLE,
     .required = false,
     .remedy = "a table [limits]",
     .fields = limits_fields,
     .field_count = COUNT(limits_fields)},
    {.key = "admin",
     .type = FIELD_TABLE,
     .remedy = "a table [admin]",
     .fields = admin_fields,
     .field_count = COUNT(admin_fields)},
    {.key = "tls",
     .type = FIELD_TABLE,
     .required = false,
     .remedy = "a table [tls]",
     .fields = tls_fields,
     .field_count = COUNT(tls_fields)},
    {.key = "gateway",
     .type = FIELD_TABLE,
     .required = false,
     .remedy = "a table [gateway]",
     .fields = gateway_fields,
     .field_count = COUNT(gateway_fields)},
    {.key = "debug",
     .type = FIELD_TABLE,
     .required = false,
     .remedy = "a table [debug]",
     .fields = debug_fields,
     .field_count = COUNT(debug_fields)},
};

static int check_combinations(const settings_t *settings, const char *name,
                              const toml_value_t *root, err_t *err);

int
settings_read(settings_t *settings, arena_t *arena, const char *path,
              err_t *err)
{
    size_t length;
    char *text = file_read(arena, path, &length, err);

    if (text == NULL) {
        return -1;
    }
    return settings_parse(settings, arena, path, text, length, err);
}

int
settings_parse(settings_t *settings, arena_t *arena, const char *name,
               const char *text, size_t length, err_t *err)
{
    toml_value_t *root = toml_parse(arena, name, text, length, err);

    if (root == NULL) {
        return -1;
    }
    *settings = (settings_t){
        .body_max_bytes = BODY_DEFAULT_BYTES,
        .header_timeout_ms = HEADER_TIMEOUT_DEFAULT_MS,
        .platform_timeout_ms = PLATFORM_TIMEOUT_DEFAULT_MS,
        .sessions_max = SESSIONS_DEFAULT,
        .queue_wait_ms = QUEUE_WAIT_DEFAULT_MS,
        .silence_floor_ms = SILENCE_FLOOR_DEFAULT_MS,
        .silence_ceiling_ms = SILENCE_CEILING_DEFAULT_MS,
        .prefill_limit_ms = PREFILL_LIMIT_DEFAULT_MS,
        .orphan_grace_ms = ORPHAN_GRACE_DEFAULT_MS,
        .gateway =
            {.watch_ms = WATCH_DEFAULT_MS,
             .watch_pause_ms = WATCH_PAUSE_DEFAULT_MS,
             .settle_ms = SETTLE_DEFAULT_MS,
             .presence_s = PRESENCE_DEFAULT_S,
             .limits = {.registry_ms = REGISTRY_DEFAULT_MS,
                        .grace_ms = GRACE_DEFAULT_MS,
                        .requests_max = REQUESTS_DEFAULT,
                        .drain_ms = DRAIN_DEFAULT_MS,
                        .retry_ratio_permille = RETRY_RATIO_DEFAULT_PERMILLE,
                        .retry_fixed_permille = RETRY_FIXED_DEFAULT_PERMILLE,
                        .retry_window_ms = RETRY_WINDOW_DEFAULT_MS,
                        .canary_share_permille = CANARY_SHARE_DEFAULT_PERMILLE,
                        .canary_slack = CANARY_SLACK_DEFAULT,
                        .rollback_ms = ROLLBACK_DEFAULT_MS,
                        .address_ttl_s = ADDRESS_TTL_DEFAULT_S}},
    };
    if (fields_read(arena, name, root, fields, COUNT(fields), settings, err) <
        0) {
        return -1;
    }
    settings->gateway_set = toml_get(root, "gateway") != NULL;
    settings->gateway.host = settings->host;
    settings->gateway.zone = settings->zone;
    settings->gateway.listen_address = settings->listen_address;
    return check_combinations(settings, name, root, err);
}

char *
file_read(arena_t *arena, const char *path, size_t *length, err_t *err)
{
    FILE *file = fopen(path, "re");
    char *text = NULL;
    long size;

    if (file == NULL) {
        (void)err_set(err, ERR_SYSTEM,
                      "%s:1: cannot open the file: %s: name a readable file",
                      path, strerror(errno));
        return NULL;
    }
    if (fseek(file, 0, SEEK_END) != 0 || (size = ftell(file)) < 0 ||
        fseek(file, 0, SEEK_SET) != 0) {
        (void)err_set(err, ERR_SYSTEM,
                      "%s:1: cannot read the file: name a regular file", path);
        goto done;
    }
    text = arena_alloc(arena, (size_t)size + 1);
    *length = fread(text, 1, (size_t)size, file);
done:
    (void)fclose(file);
    return text;
}

/* Checks settings that depend on each other. */
static int
check_combinations(const settings_t *settings, const char *name,
                   const toml_value_t *root, err_t *err)
{
    const toml_value_t *platform = toml_get(root, "platform");

    if (strcmp(settings->platform_kind, "etcd") == 0 &&
        settings->platform_addresses.count == 0) {
        return err_set(err, ERR_SETTINGS,
                       "%s:%u: kind \"etcd\" has no addresses: write "
                       "addresses = [\"127.0.0.1:2379\"]",
                       name, platform->line);
    }
    if (strcmp(settings->platform_kind, "platform") == 0 &&
        (settings->platform_addresses.count == 0 || !settings->gateway_set)) {
        return err_set(err, ERR_SETTINGS,
                       "%s:%u: kind \"platform\" lacks addresses or a table "
                       "[gateway]: write both",
                       name, platform->line);
    }
    if (settings->gateway_set &&
        strcmp(settings->platform_kind, "platform") != 0) {
        return err_set(err, ERR_SETTINGS,
                       "%s:%u: a table [gateway] needs another store: write "
                       "kind = \"platform\"",
                       name, platform->line);
    }
    if (strcmp(settings->platform_kind, "memory") == 0 &&
        settings->fleet_file == NULL) {
        return err_set(err, ERR_SETTINGS,
                       "%s:%u: kind \"memory\" has no fleet: write "
                       "fleet = \"fleet.toml\"",
                       name, platform->line);
    }
    if (settings->silence_floor_ms > settings->silence_ceiling_ms) {
        return err_set(err, ERR_SETTINGS,
                       "%s:%u: silence_floor_ms is above "
                       "silence_ceiling_ms: write a floor below the ceiling",
                       name, toml_get(root, "limits")->line);
    }
    return 0;
}
