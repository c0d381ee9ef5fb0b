/* spread.c - ways of reports to all hosts; see spread.h. */
#include <string.h>

#include "forward/spread.h"

enum {
    /* In a smaller zone each host gets the report directly. */
    ZONE_HOSTS_MIN = 4,
    /* So do the hosts of further zones. */
    ZONES_MAX = 32,
};

typedef struct {
    const char *name;
    size_t hosts; /* in the whole zone */
    size_t seen;  /* so far */
} zone_t;

static size_t count_zones(const spread_host_t *hosts, size_t count,
                          zone_t *zones);
static zone_t *find_zone(zone_t *zones, size_t count, const char *name);

void
spread_plan_report(spread_host_t *hosts, size_t count, const char *own_zone,
                   uint64_t turn)
{
    zone_t zones[ZONES_MAX];
    size_t zone_count = count_zones(hosts, count, zones);
    size_t i;

    for (i = 0; i < count; i++) {
        zone_t *zone = find_zone(zones, zone_count, hosts[i].zone);

        hosts[i].how = SPREAD_DIRECT;
        if (zone == NULL || zone->hosts < ZONE_HOSTS_MIN ||
            strcmp(zone->name, own_zone) == 0) {
            continue;
        }
        hosts[i].how =
            zone->seen == turn % zone->hosts ? SPREAD_ON : SPREAD_NONE;
        zone->seen++;
    }
}

void
spread_plan_relay(spread_host_t *hosts, size_t count, const char *own_zone,
                  const char *origin)
{
    size_t i;

    for (i = 0; i < count; i++) {
        hosts[i].how = strcmp(hosts[i].zone, own_zone) == 0 &&
                               strcmp(hosts[i].name, origin) != 0
                           ? SPREAD_DIRECT
                           : SPREAD_NONE;
    }
}

static size_t
count_zones(const spread_host_t *hosts, size_t count, zone_t *zones)
{
    size_t zone_count = 0;
    size_t i;

    for (i = 0; i < count; i++) {
        zone_t *zone = find_zone(zones, zone_count, hosts[i].zone);

        if (zone == NULL && zone_count < ZONES_MAX) {
            zone = &zones[zone_count];
            *zone = (zone_t){.name = hosts[i].zone};
            zone_count++;
        }
        if (zone != NULL) {
            zone->hosts++;
        }
    }
    return zone_count;
}

static zone_t *
find_zone(zone_t *zones, size_t count, const char *name)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (strcmp(zones[i].name, name) == 0) {
            return &zones[i];
        }
    }
    return NULL;
}
