/* intake.c - which connections a host may keep; see intake.h. */
#include <stdlib.h>

#include "http/intake.h"

enum {
    BYTES_PER_MB = 1 << 20,
    US_PER_S = 1000000,
    /* The rest is for the process itself, runners, the store, other hosts,
     * kernel buffers and the copies that growing buffers need. */
    HELD_SHARE = 4,
    KERNEL_SHARE = 4,
    RESPONSES_SHARE = 8,
    RESPONSES_DEFAULT_BYTES = 128 << 20,
    /* A prompt of 8,200 tokens takes about 40 KB. */
    RESERVED_BODY_BYTES = 64 << 10,
    /* A head of the legal 16 KB, and a few KB of body. */
    SERVICE_MAX_BYTES = 24 << 10,
    /* 32 KB carry 200 Mbit/s over a round trip of 1.3 ms. */
    KERNEL_BUFFER_BYTES = 32 << 10,
    /* Linux doubles the size for its own overhead. */
    KERNEL_FACTOR = 2,
    /* User memory of an idle connection of h2o: buffers and pools. */
    CONNECTION_BYTES = 12 << 10,
    /* MaxFds includes 200 for files; the others are for the listeners, the
     * store, other hosts and service connections. */
    DESCRIPTORS_RESERVED = 300,
    /* A connection and the one to a runner. */
    DESCRIPTORS_PER_REQUEST = 2,
    SERVICE_CONNECTIONS_RESERVED = 64,
    CONNECTIONS_MIN = 16,
    /* A sender that stops is closed after 4 s: outages of the network last
     * 1.2 s, and a head may take 3 s. */
    RATE_MIN_BYTES_PER_S = 2048,
    BURST_BYTES = 4 * RATE_MIN_BYTES_PER_S,
};

static int compare_peers(const void *a, const void *b);
static bool is_worse(const intake_connection_t *a,
                     const intake_connection_t *b);

intake_limits_t
intake_limits_of(uint32_t memory_mb, uint32_t descriptors_max)
{
    size_t memory_bytes = (size_t)memory_mb * BYTES_PER_MB;
    intake_limits_t limits = {
        .held_max_bytes = memory_bytes / HELD_SHARE,
        .reserved_body_bytes = RESERVED_BODY_BYTES,
        .service_max_bytes = SERVICE_MAX_BYTES,
        .kernel_buffer_bytes = KERNEL_BUFFER_BYTES,
        .connections_max = (uint32_t)(memory_bytes / KERNEL_SHARE /
                                      (KERNEL_BUFFER_BYTES * KERNEL_FACTOR +
                                       CONNECTION_BYTES)),
    };

    if (descriptors_max > 0) {
        uint32_t free_descriptors =
            descriptors_max > DESCRIPTORS_RESERVED
                ? descriptors_max - DESCRIPTORS_RESERVED
                : 0;

        if (limits.connections_max >
            free_descriptors / DESCRIPTORS_PER_REQUEST) {
            limits.connections_max =
                free_descriptors / DESCRIPTORS_PER_REQUEST;
        }
    }
    if (limits.connections_max < CONNECTIONS_MIN) {
        limits.connections_max = CONNECTIONS_MIN;
    }
    return limits;
}

size_t
intake_responses_max_bytes(uint32_t memory_mb)
{
    return memory_mb > 0 ? (size_t)memory_mb * BYTES_PER_MB / RESPONSES_SHARE
                         : (size_t)RESPONSES_DEFAULT_BYTES;
}

void
intake_open(intake_connection_t *connection, uint32_t peer_address,
            bool service, int64_t now_us)
{
    *connection = (intake_connection_t){
        .peer_address = peer_address,
        .service = service,
        .sample = {.receiving = true},
        .updated_us = now_us,
        .credit_bytes = BURST_BYTES,
    };
}

/* An idle connection, and one whose request a runner works on, owe nothing. */
intake_decision_t
intake_update(intake_connection_t *connection, const intake_limits_t *limits,
              const intake_sample_t *sample, int64_t now_us)
{
    uint64_t moved_bytes =
        sample->moved_bytes - connection->sample.moved_bytes;
    bool receives = sample->receiving && sample->held_bytes > 0;
    int64_t elapsed_us = now_us - connection->updated_us;
    int64_t due_bytes = elapsed_us * RATE_MIN_BYTES_PER_S / US_PER_S;

    connection->sample = *sample;
    connection->credit_bytes +=
        moved_bytes < BURST_BYTES ? (int64_t)moved_bytes : BURST_BYTES;
    if (connection->credit_bytes > BURST_BYTES ||
        !(receives || sample->sending)) {
        connection->credit_bytes = BURST_BYTES;
    }
    /* Time in which less than a byte is due is carried over. */
    if (due_bytes > 0 || !(receives || sample->sending)) {
        connection->updated_us = now_us;
    }
    if (connection->service &&
        sample->held_bytes > limits->service_max_bytes && sample->receiving) {
        return INTAKE_SERVICE;
    }
    if (!receives && !sample->sending) {
        return INTAKE_KEEP;
    }
    connection->credit_bytes -= due_bytes;
    if (connection->credit_bytes >= 0) {
        return INTAKE_KEEP;
    }
    return sample->sending ? INTAKE_SLOW_READER : INTAKE_SLOW_SENDER;
}

bool
intake_admits(const intake_limits_t *limits, uint32_t count, bool service)
{
    return count < limits->connections_max +
                       (service ? SERVICE_CONNECTIONS_RESERVED : 0);
}

size_t
intake_body_max_bytes(const intake_limits_t *limits, size_t held_bytes,
                      size_t max_bytes)
{
    size_t room_bytes = held_bytes < limits->held_max_bytes
                            ? limits->held_max_bytes - held_bytes
                            : 0;

    if (room_bytes < limits->reserved_body_bytes) {
        room_bytes = limits->reserved_body_bytes;
    }
    return room_bytes < max_bytes ? room_bytes : max_bytes;
}

intake_connection_t *
intake_victim(intake_connection_t **connections, size_t count)
{
    intake_connection_t *victim = NULL;
    size_t victim_peer_bytes = 0;
    size_t start;
    size_t end;

    qsort(connections, count, sizeof(intake_connection_t *), compare_peers);
    for (start = 0; start < count; start = end) {
        intake_connection_t *worst = NULL;
        size_t peer_bytes = 0;

        for (end = start; end < count && connections[end]->peer_address ==
                                             connections[start]->peer_address;
             end++) {
            intake_connection_t *connection = connections[end];

            if (connection->closing || !connection->sample.receiving) {
                continue;
            }
            peer_bytes += connection->sample.held_bytes + CONNECTION_BYTES;
            if (worst == NULL || is_worse(connection, worst)) {
                worst = connection;
            }
        }
        if (worst != NULL &&
            (victim == NULL || peer_bytes > victim_peer_bytes)) {
            victim = worst;
            victim_peer_bytes = peer_bytes;
        }
    }
    return victim;
}

const char *
intake_decision_name(intake_decision_t decision)
{
    static const char *const names[INTAKE_DECISIONS] = {
        [INTAKE_KEEP] = "keep",
        [INTAKE_MEMORY] = "memory",
        [INTAKE_SERVICE] = "service-size",
        [INTAKE_SLOW_SENDER] = "slow-sender",
        [INTAKE_SLOW_READER] = "slow-reader",
        [INTAKE_CONNECTIONS] = "connections",
    };

    return names[decision];
}

static int
compare_peers(const void *a, const void *b)
{
    const intake_connection_t *left = *(intake_connection_t *const *)a;
    const intake_connection_t *right = *(intake_connection_t *const *)b;

    return (left->peer_address > right->peer_address) -
           (left->peer_address < right->peer_address);
}

static bool
is_worse(const intake_connection_t *a, const intake_connection_t *b)
{
    if (a->sample.held_bytes != b->sample.held_bytes) {
        return a->sample.held_bytes > b->sample.held_bytes;
    }
    return a->credit_bytes < b->credit_bytes;
}
