/* store_lease.c - leases, and the end of their keys with them. */
#include <stdlib.h>

#include <sys/queue.h>

#include "regress/standin/store.h"

typedef struct lease {
    int64_t id;
    int64_t ttl_s;
    uint64_t lapses_ms;
    LIST_ENTRY(lease) link;
} lease_t;

static LIST_HEAD(, lease) leases = LIST_HEAD_INITIALIZER(leases);
static int64_t last_id = 7000;

static lease_t *find(int64_t id);
static void end(lease_t *lease);

static lease_t *
find(int64_t id)
{
    lease_t *lease;

    LIST_FOREACH(lease, &leases, link)
    {
        if (lease->id == id) {
            break;
        }
    }
    return lease;
}

bool
lease_exists(int64_t id)
{
    return find(id) != NULL;
}

json_t *
lease_grant(const json_t *request, uint64_t now_ms)
{
    lease_t *lease = calloc(1, sizeof(*lease));

    lease->id = ++last_id;
    lease->ttl_s = json_number(request, "TTL");
    lease->ttl_s = lease->ttl_s > 0 ? lease->ttl_s : 1;
    lease->lapses_ms = now_ms + (uint64_t)lease->ttl_s * 1000;
    LIST_INSERT_HEAD(&leases, lease, link);
    return json_pack("{s:o, s:o, s:o}", "header", kv_header(), "ID",
                     json_int64(lease->id), "TTL", json_int64(lease->ttl_s));
}

json_t *
lease_keepalive(const json_t *request, uint64_t now_ms)
{
    int64_t id = json_number(request, "ID");
    lease_t *lease = find(id);
    json_t *result =
        json_pack("{s:o, s:o}", "header", kv_header(), "ID", json_int64(id));

    if (lease != NULL) {
        lease->lapses_ms = now_ms + (uint64_t)lease->ttl_s * 1000;
        json_object_set_new(result, "TTL", json_int64(lease->ttl_s));
    }
    return json_pack("{s:o}", "result", result);
}

static void
end(lease_t *lease)
{
    int64_t id = lease->id;

    LIST_REMOVE(lease, link);
    free(lease);
    kv_delete_lease(id);
}

json_t *
lease_revoke(const json_t *request, const char **error)
{
    lease_t *lease = find(json_number(request, "ID"));

    if (lease == NULL) {
        *error = "etcdserver: requested lease not found";
        return NULL;
    }
    end(lease);
    return json_pack("{s:o}", "header", kv_header());
}

void
lease_expire(uint64_t now_ms)
{
    lease_t *lease = LIST_FIRST(&leases), *after;

    for (; lease != NULL; lease = after) {
        after = LIST_NEXT(lease, link);
        if (lease->lapses_ms <= now_ms) {
            end(lease);
        }
    }
}

void
lease_extend(uint64_t until_ms)
{
    lease_t *lease;

    LIST_FOREACH(lease, &leases, link)
    {
        lease->lapses_ms = until_ms + (uint64_t)lease->ttl_s * 1000;
    }
}
