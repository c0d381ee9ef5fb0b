/* store_lease.c - leases, and the end of their keys with them. */
#include <stdlib.h>

#include <uthash.h>

#include "regress/standin/store.h"

typedef struct {
    int64_t id;
    int64_t ttl_s;
    uint64_t lapses_ms;
    UT_hash_handle hh;
} lease_t;

static lease_t *leases;
static int64_t last_id = 7000;

static lease_t *find(int64_t id);
static void end(lease_t *lease);

static lease_t *
find(int64_t id)
{
    lease_t *lease;

    HASH_FIND(hh, leases, &id, sizeof(id), lease);
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
    HASH_ADD(hh, leases, id, sizeof(lease->id), lease);
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

    HASH_DEL(leases, lease);
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
    lease_t *lease, *after;

    HASH_ITER(hh, leases, lease, after)
    {
        if (lease->lapses_ms <= now_ms) {
            end(lease);
        }
    }
}

void
lease_extend(uint64_t until_ms)
{
    lease_t *lease, *after;

    HASH_ITER(hh, leases, lease, after)
    {
        lease->lapses_ms = until_ms + (uint64_t)lease->ttl_s * 1000;
    }
}
