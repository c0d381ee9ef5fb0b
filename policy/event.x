/*
 * event.x - what a host's decisions take in and give out.
 *
 * node_step() takes an event_t and the time and appends order_t's.  Both
 * are XDR types so that a log of a host's events can be written, read and
 * replayed byte for byte.
 */
#ifdef RPC_HDR
%#include "world/generated/link.h"
#endif

const EVENT_BODY_MAX = 16777216;
const EVENT_TOKENS_MAX = 1048576;
const EVENT_ITEMS_MAX = 65536;

enum endpoint_t {
    ENDPOINT_COMPLETIONS = 0,
    ENDPOINT_CHAT = 1,
    ENDPOINT_SERVICE = 2
};

enum finish_t {
    FINISH_NONE = 0,
    FINISH_STOP = 1,
    FINISH_LENGTH = 2,
    FINISH_OTHER = 3
};

/* Whether a refused request was run. */
enum run_t {
    RUN_NOT_RUN = 0,
    RUN_UNKNOWN = 1,
    RUN_RAN = 2
};

enum event_kind_t {
    EVENT_START = 1,
    EVENT_CONFIG = 2,
    EVENT_REQUEST = 3,
    EVENT_CALLER_GONE = 4,
    EVENT_PIECE = 5,
    EVENT_END = 6,
    EVENT_LOSS = 7,
    EVENT_REPLY = 8,
    EVENT_PEER = 9,
    EVENT_CLAIMED = 10,
    EVENT_LOAD = 11,
    EVENT_HOSTS = 12,
    EVENT_TIMER = 13,
    EVENT_DRAIN = 14,
    EVENT_READY = 15
};

/* The host's own identity and limits; the first event of every log. */
struct start_event_t {
    name_t host;
    name_t zone;
    name_t address;
    uint64_t incarnation;
    uint64_t seed;
    uint32_t sessions_max;
    uint32_t queue_wait_ms;
    uint32_t silence_floor_ms;
    uint32_t silence_ceiling_ms;
    uint32_t prefill_limit_ms;
    uint32_t orphan_grace_ms;
};

/*
 * Where an engine's own stream of an answer is: the runner, the stream's
 * name there, the answer's position at its start, and the length of the
 * request's own prompt.  runner is empty where there is none.
 */
struct stream_place_t {
    name_t runner;
    name_t stream_name;
    uint32_t endpoint;
    uint32_t first;
    uint32_t prompt_tokens;
};

/*
 * A request from a caller.  caller names its connection and its body, which
 * the listener keeps until ORDER_FORGET.  credential is the SHA-256 of the
 * key it showed, in hexadecimal, or empty.
 */
struct request_event_t {
    uint64_t caller;
    name_t credential;
    name_t key;            /* Idempotency-Key, or a fresh random name */
    bool keyed;            /* the caller gave the key itself */
    bool resumes;          /* the caller gave a Last-Event-ID */
    uint32_t position;     /* tokens that it has received */
    uint32_t attempt;      /* that gave it the last of them; 0: not said */
    stream_place_t place;  /* of that attempt */
    uint64_t hash;         /* of all token ids up to position */
    uint32_t tail_from;    /* what its Last-Event-ID hands back: the ids */
    uint32_t tail_ids<1024>; /* of the tokens from here to position */
    endpoint_t endpoint;
    name_t model;          /* a plain service's name at ENDPOINT_SERVICE */
    name_t request_kind;   /* empty: the document's first */
    bool stream;
    uint32_t max_tokens;   /* 0: the engine's own limit */
    bool seeded;
    int64_t seed;
    uint64_t fingerprint;  /* hash of the content, never of the key */
    uint64_t prefix_hashes<64>; /* of growing prefixes of the prompt */
    opaque stop<1024>;     /* stop strings, each ended by a NUL */
};

struct caller_gone_event_t {
    uint64_t caller;
};

/*
 * Tokens from an engine.  position counts from the start of the attempt's
 * own output.  prompt_ids come with the first piece, or not at all.
 */
struct piece_event_t {
    uint64_t stream;
    uint32_t position;
    uint32_t prompt_ids<EVENT_TOKENS_MAX>;
    uint32_t token_ids<EVENT_TOKENS_MAX>;
    opaque text<EVENT_BODY_MAX>;
    finish_t finish;
};

/* The stream closed as its protocol says it should. */
struct end_event_t {
    uint64_t stream;
};

enum loss_kind_t {
    LOSS_NOT_SENT = 1,  /* no connection: nothing was sent */
    LOSS_RESET = 2,     /* the connection broke */
    LOSS_REFUSED = 3,   /* the backend answered that it did not run it */
    LOSS_FAILED = 4,    /* the backend answered with an error of its own */
    LOSS_GONE = 5,      /* reattaching: the backend knows no such stream */
    LOSS_INVALID = 6    /* the backend says that the request is wrong */
};

struct loss_event_t {
    uint64_t stream;
    loss_kind_t kind;
    uint32_t status;          /* of HTTP, or 0 */
    uint32_t retry_after_ms;
};

/* The whole answer of a plain service. */
struct reply_event_t {
    uint64_t stream;
    uint32_t status;
    name_t content_type;
    opaque body<EVENT_BODY_MAX>;
};

struct peer_event_t {
    name_t host;
    message_t message;
};

enum claim_result_t {
    CLAIM_WON = 0,     /* the claim stands and is ours */
    CLAIM_HELD = 1,    /* another attempt holds it */
    CLAIM_UNKNOWN = 2  /* the store did not answer */
};

struct claim_outcome_t {
    name_t key;
    claim_result_t result;
    name_t holder;     /* the mark in the store */
};

struct claimed_event_t {
    uint64_t batch;
    claim_outcome_t outcomes<128>;
};

/* A backend server's own report, or that it gave none. */
struct load_event_t {
    name_t runner;
    bool reached;
    uint32_t running;
    uint32_t waiting;
};

struct host_entry_t {
    name_t host;
    name_t zone;
    name_t address;       /* for callers, "ip:port" */
    name_t peer_address;
    uint64_t incarnation;
    bool leaving;
};

/* The platform's host list or its leases, as last seen. */
struct hosts_event_t {
    host_entry_t hosts<EVENT_ITEMS_MAX>;
};

union event_t switch (event_kind_t kind) {
case EVENT_START:
    start_event_t start;
case EVENT_CONFIG:
    config_t config;
case EVENT_REQUEST:
    request_event_t request;
case EVENT_CALLER_GONE:
    caller_gone_event_t caller_gone;
case EVENT_PIECE:
    piece_event_t piece;
case EVENT_END:
    end_event_t end;
case EVENT_LOSS:
    loss_event_t loss;
case EVENT_REPLY:
    reply_event_t reply;
case EVENT_PEER:
    peer_event_t peer;
case EVENT_CLAIMED:
    claimed_event_t claimed;
case EVENT_LOAD:
    load_event_t load;
case EVENT_HOSTS:
    hosts_event_t hosts;
case EVENT_TIMER:
    void;
case EVENT_DRAIN:
    void;
case EVENT_READY: /* all documents have been read from the platform */
    void;
};

enum order_kind_t {
    ORDER_OPEN = 1,
    ORDER_REATTACH = 2,
    ORDER_CANCEL = 3,
    ORDER_GIVE = 4,
    ORDER_FINISH = 5,
    ORDER_REPLY = 6,
    ORDER_REFUSE = 7,
    ORDER_FORGET = 8,
    ORDER_TELL = 9,
    ORDER_CLAIM = 10,
    ORDER_RELEASE = 11,
    ORDER_TIMER = 12,
    ORDER_LOG = 13,
    ORDER_STOP = 14,
    ORDER_RELAY = 15
};

/*
 * Start a stream.  body is the caller number whose request body to send;
 * with prompt_ids they take the place of its prompt and the endpoint is
 * completions.  Not to be started after not_after_us.
 */
struct open_order_t {
    uint64_t stream;
    uint64_t body;
    name_t runner;
    name_t address;
    name_t stream_name;
    name_t model;            /* the version or adapter to name to it */
    endpoint_t endpoint;
    uint32_t prompt_ids<EVENT_TOKENS_MAX>;
    uint32_t max_tokens;
    bool seeded;
    int64_t seed;
    int32_t priority;
    int64_t not_after_us;
};

/* Take up a stream of another number again, from a position on. */
struct reattach_order_t {
    uint64_t stream;
    name_t runner;
    name_t address;
    name_t stream_name;
    endpoint_t endpoint;
    uint32_t after;
};

/* keep: only close the connection; the backend goes on with its work. */
struct cancel_order_t {
    uint64_t stream;
    bool keep;
};

/*
 * More of the answer; position counts the tokens given after it.  tail_ids
 * are those from tail_from to position that no peer surely keeps; the event
 * id carries them, so that the caller hands them back when it reconnects.
 */
struct give_order_t {
    uint64_t caller;
    uint32_t position;
    uint32_t token_ids<EVENT_TOKENS_MAX>;
    opaque text<EVENT_BODY_MAX>;
    uint32_t attempt;
    stream_place_t place;
    uint64_t hash;
    uint32_t tail_from;
    uint32_t tail_ids<1024>;
};

struct finish_order_t {
    uint64_t caller;
    finish_t finish;
    uint32_t prompt_tokens;
    uint32_t completion_tokens;
};

struct reply_order_t {
    uint64_t caller;
    uint32_t status;
    name_t content_type;
    opaque body<EVENT_BODY_MAX>;
};

enum refusal_t {
    REFUSAL_UNAUTHORISED = 1,
    REFUSAL_UNKNOWN_MODEL = 2,
    REFUSAL_UNKNOWN_KIND = 3,
    REFUSAL_OVERLOADED = 4,
    REFUSAL_LEAVING = 5,
    REFUSAL_NO_RUNNER = 6,
    REFUSAL_STORE_UNREACHED = 7,
    REFUSAL_ALREADY_RAN = 8,
    REFUSAL_BACKEND_LOST = 9,
    REFUSAL_HARMFUL = 10,
    REFUSAL_SUPERSEDED = 11,
    REFUSAL_INVALID = 12,
    REFUSAL_BACKEND_FAILED = 13,
    REFUSAL_STARTING = 14
};

struct refuse_order_t {
    uint64_t caller;
    refusal_t refusal;
    run_t run;
    uint32_t status;         /* of HTTP where the backend gave one, or 0 */
    uint32_t retry_after_ms;
    string message<512>;
};

/* The body of this caller is no longer needed. */
struct forget_order_t {
    uint64_t body;
};

struct tell_order_t {
    name_t host;
    message_t message;
};

/* Create each key with our mark if it is absent; one transaction. */
struct claim_order_t {
    uint64_t batch;
    name_t mark;
    name_t keys<128>;
};

/* Delete each key if it still holds our mark. */
struct release_order_t {
    name_t mark;
    name_t keys<128>;
};

/* Give EVENT_TIMER at this time; replaces an earlier one. */
struct timer_order_t {
    int64_t at_us;
};

struct log_order_t {
    int32_t severity;
    string text<1024>;
};

/* Pass the whole request on to a peer and its answer back. */
struct relay_order_t {
    uint64_t caller;
    name_t host;
    name_t address;
};

union order_t switch (order_kind_t kind) {
case ORDER_OPEN:
    open_order_t open;
case ORDER_REATTACH:
    reattach_order_t reattach;
case ORDER_CANCEL:
    cancel_order_t cancel;
case ORDER_GIVE:
    give_order_t give;
case ORDER_FINISH:
    finish_order_t finish;
case ORDER_REPLY:
    reply_order_t reply;
case ORDER_REFUSE:
    refuse_order_t refuse;
case ORDER_FORGET:
    forget_order_t forget;
case ORDER_TELL:
    tell_order_t tell;
case ORDER_CLAIM:
    claim_order_t claim;
case ORDER_RELEASE:
    release_order_t release;
case ORDER_TIMER:
    timer_order_t timer;
case ORDER_LOG:
    log_order_t log;
case ORDER_STOP:
    void;
case ORDER_RELAY:
    relay_order_t relay;
};
