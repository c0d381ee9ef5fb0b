/*
 * event.x - the events that node_step() processes and its actions.
 *
 * An event_t is an input of a host's state machine, an action_t is an output.
 * Both are XDR types so that the events of a host can be logged and replayed
 * byte for byte.
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

enum finish_reason_t {
    FINISH_NONE = 0,
    FINISH_STOP = 1,
    FINISH_LENGTH = 2,
    FINISH_OTHER = 3
};

/* Whether a backend server has executed a refused request. */
enum execution_t {
    RUN_NOT_RUN = 0,
    RUN_UNKNOWN = 1,
    RUN_RAN = 2
};

enum event_kind_t {
    EVENT_START = 1,
    EVENT_CONFIG = 2,
    EVENT_REQUEST = 3,
    EVENT_CALLER_DISCONNECTED = 4,
    EVENT_CHUNK = 5,
    EVENT_STREAM_END = 6,
    EVENT_LOSS = 7,
    EVENT_REPLY = 8,
    EVENT_PEER_MESSAGE = 9,
    EVENT_CLAIM_RESULTS = 10,
    EVENT_LOAD = 11,
    EVENT_HOST_LIST = 12,
    EVENT_TIMER = 13,
    EVENT_DRAIN = 14,
    EVENT_CONFIG_READ = 15,
    EVENT_PEER_LOST = 16
};

/* Identity and limits of this host; the first event of every event log. */
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
 * The location of a stream at an engine, for reattaching to it: the runner,
 * the name of the stream there, the position in the answer at which the stream
 * starts, and the number of tokens of the original prompt.  runner is empty if
 * there is no such stream.
 */
struct stream_location_t {
    name_t runner;
    name_t stream_name;
    uint32_t endpoint;
    uint32_t first;
    uint32_t prompt_tokens;
};

/*
 * A request from a caller.  caller identifies the connection and the request
 * body, which the listener keeps until ACTION_FREE_BODY.  credential is the
 * hexadecimal SHA-256 of the API key in the request, or empty.
 */
struct request_event_t {
    uint64_t caller;
    name_t credential;
    name_t key;            /* Idempotency-Key, or a new random name */
    bool has_key;            /* the request has an Idempotency-Key */
    bool has_event_id;          /* the request has a Last-Event-ID */
    uint32_t position;     /* tokens that the caller has received */
    uint32_t attempt;      /* source of the last of them; 0: unknown */
    stream_location_t location;  /* of that attempt */
    uint64_t hash;         /* of all token ids before position */
    uint32_t tail_from;    /* position of the first of tail_ids */
    uint32_t tail_ids<1024>; /* token ids in the Last-Event-ID */
    endpoint_t endpoint;
    name_t model;          /* or plain service, with ENDPOINT_SERVICE */
    name_t request_kind;   /* empty: the first kind of the document */
    bool stream;
    uint32_t max_tokens;   /* 0: the engine's own limit */
    bool has_seed;
    int64_t seed;
    uint64_t fingerprint;  /* hash of the content, without the key */
    uint64_t prefix_hashes<64>; /* of prompt prefixes of increasing length */
    opaque stop<1024>;     /* stop strings, each terminated by a NUL */
};

struct caller_disconnected_event_t {
    uint64_t caller;
};

/*
 * Tokens from an engine.  position counts from the start of the output of
 * this attempt.  Only the first chunk may have prompt_ids.
 */
struct chunk_event_t {
    uint64_t stream;
    uint32_t position;
    uint32_t prompt_ids<EVENT_TOKENS_MAX>;
    uint32_t token_ids<EVENT_TOKENS_MAX>;
    opaque text<EVENT_BODY_MAX>;
    finish_reason_t finish;
};

/* The stream ended regularly, as its protocol prescribes. */
struct stream_end_event_t {
    uint64_t stream;
};

enum loss_kind_t {
    LOSS_NOT_SENT = 1,  /* no connection: nothing was sent */
    LOSS_RESET = 2,     /* the connection was lost */
    LOSS_REFUSED = 3,   /* the backend responded that it did not execute it */
    LOSS_FAILED = 4,    /* the backend responded with an internal error */
    LOSS_STREAM_UNKNOWN = 5, /* reattaching: the backend lacks the stream */
    LOSS_INVALID = 6,   /* the backend rejected the request as invalid */
    LOSS_UNREACHED = 7  /* reattaching: no connection in time, none refused */
};

/* A stream failed before its end. */
struct loss_event_t {
    uint64_t stream;
    loss_kind_t kind;
    uint32_t status;          /* HTTP status, or 0 */
    uint32_t retry_after_ms;
};

/* The complete response of a plain service. */
struct reply_event_t {
    uint64_t stream;
    uint32_t status;
    name_t content_type;
    opaque body<EVENT_BODY_MAX>;
};

struct peer_message_event_t {
    name_t host;
    message_t message;
};

/* The connection to a host broke; the host may have ended, or not. */
struct peer_lost_event_t {
    name_t host;
};

enum claim_result_t {
    CLAIM_WON = 0,     /* this host holds the claim */
    CLAIM_HELD_BY_OTHER = 1,    /* another attempt holds the claim */
    CLAIM_UNKNOWN = 2  /* the store did not respond */
};

struct claim_outcome_t {
    name_t key;
    claim_result_t result;
    name_t holder;     /* the claim_holder of the holder, as stored */
};

struct claim_results_event_t {
    uint64_t batch;
    claim_outcome_t outcomes<128>;
};

/* A load report of a backend server; reached is false if it failed. */
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
    name_t peer_address;  /* for other hosts; empty: not of this fleet */
    uint64_t incarnation;
    bool leaving;
};

/* The current host list of the platform or of the leases in the store. */
struct host_list_event_t {
    host_entry_t hosts<EVENT_ITEMS_MAX>;
};

union event_t switch (event_kind_t kind) {
case EVENT_START:
    start_event_t start;
case EVENT_CONFIG:
    config_t config;
case EVENT_REQUEST:
    request_event_t request;
case EVENT_CALLER_DISCONNECTED:
    caller_disconnected_event_t caller_disconnected;
case EVENT_CHUNK:
    chunk_event_t chunk;
case EVENT_STREAM_END:
    stream_end_event_t end;
case EVENT_LOSS:
    loss_event_t loss;
case EVENT_REPLY:
    reply_event_t reply;
case EVENT_PEER_MESSAGE:
    peer_message_event_t peer;
case EVENT_CLAIM_RESULTS:
    claim_results_event_t claim_results;
case EVENT_LOAD:
    load_event_t load;
case EVENT_HOST_LIST:
    host_list_event_t hosts;
case EVENT_TIMER:
    void;
case EVENT_DRAIN:
    void;
case EVENT_CONFIG_READ: /* all documents have been read from the store */
    void;
case EVENT_PEER_LOST:
    peer_lost_event_t peer_lost;
};

enum action_kind_t {
    ACTION_OPEN_STREAM = 1,
    ACTION_REATTACH = 2,
    ACTION_CANCEL_STREAM = 3,
    ACTION_SEND_TOKENS = 4,
    ACTION_FINISH = 5,
    ACTION_REPLY = 6,
    ACTION_REFUSE = 7,
    ACTION_FREE_BODY = 8,
    ACTION_SEND_MESSAGE = 9,
    ACTION_CLAIM = 10,
    ACTION_RELEASE = 11,
    ACTION_SET_TIMER = 12,
    ACTION_LOG = 13,
    ACTION_STOP = 14,
    ACTION_RELAY = 15
};

/*
 * Starts a stream, unless start_deadline_us has passed.  body is the caller
 * whose request body is sent.  If there are prompt_ids, they replace the
 * prompt in it, and the endpoint is completions.
 */
struct open_stream_action_t {
    uint64_t stream;
    uint64_t body;
    name_t runner;
    name_t address;
    name_t stream_name;
    name_t model;            /* version or adapter, as the runner names it */
    endpoint_t endpoint;
    uint32_t prompt_ids<EVENT_TOKENS_MAX>;
    uint32_t max_tokens;
    bool has_seed;
    int64_t seed;
    int32_t priority;
    int64_t start_deadline_us;
};

/*
 * Reattaches to a stream that an engine still runs, under a new stream number,
 * and requests its tokens after position after.
 */
struct reattach_action_t {
    uint64_t stream;
    name_t runner;
    name_t address;
    name_t stream_name;
    endpoint_t endpoint;
    uint32_t after;
};

/*
 * Closes the connection of a stream and, unless keep_stream is set, cancels
 * the stream at the backend.
 */
struct cancel_stream_action_t {
    uint64_t stream;
    bool keep_stream;
};

/*
 * Sends tokens to the caller.  position is the number of tokens sent, these
 * included.  tail_ids are the token ids from tail_from to position that no
 * replica has confirmed.  The event id contains them, so that the caller
 * returns them in Last-Event-ID when it reconnects.
 */
struct send_tokens_action_t {
    uint64_t caller;
    uint32_t position;
    uint32_t token_ids<EVENT_TOKENS_MAX>;
    opaque text<EVENT_BODY_MAX>;
    uint32_t attempt;
    stream_location_t location;
    uint64_t hash;
    uint32_t tail_from;
    uint32_t tail_ids<1024>;
};

struct finish_action_t {
    uint64_t caller;
    finish_reason_t finish;
    uint32_t prompt_tokens;
    uint32_t completion_tokens;
};

struct reply_action_t {
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

struct refuse_request_action_t {
    uint64_t caller;
    refusal_t refusal;
    execution_t run;
    uint32_t status;         /* HTTP status of the backend, or 0 */
    uint32_t retry_after_ms;
    string message<512>;
};

/* Frees the request body of this caller. */
struct free_body_action_t {
    uint64_t body;
};

/* Sends a message to another host. */
struct send_message_action_t {
    name_t host;
    message_t message;
};

/* Creates all absent keys with this claim_holder in a single transaction. */
struct claim_action_t {
    uint64_t batch;
    name_t claim_holder;
    name_t keys<128>;
};

/* Deletes each key that still holds this claim_holder. */
struct release_action_t {
    name_t claim_holder;
    name_t keys<128>;
};

/* Requests EVENT_TIMER at this time, in place of any former request. */
struct set_timer_action_t {
    int64_t at_us;
};

struct log_action_t {
    int32_t severity;
    string text<1024>;
};

/* Proxies the request to another host and its response to the caller. */
struct relay_action_t {
    uint64_t caller;
    name_t host;
    name_t address;
};

union action_t switch (action_kind_t kind) {
case ACTION_OPEN_STREAM:
    open_stream_action_t open;
case ACTION_REATTACH:
    reattach_action_t reattach;
case ACTION_CANCEL_STREAM:
    cancel_stream_action_t cancel;
case ACTION_SEND_TOKENS:
    send_tokens_action_t send_tokens;
case ACTION_FINISH:
    finish_action_t finish;
case ACTION_REPLY:
    reply_action_t reply;
case ACTION_REFUSE:
    refuse_request_action_t refuse;
case ACTION_FREE_BODY:
    free_body_action_t free_body;
case ACTION_SEND_MESSAGE:
    send_message_action_t send_message;
case ACTION_CLAIM:
    claim_action_t claim;
case ACTION_RELEASE:
    release_action_t release;
case ACTION_SET_TIMER:
    set_timer_action_t timer;
case ACTION_LOG:
    log_action_t log;
case ACTION_STOP:
    void;
case ACTION_RELAY:
    relay_action_t relay;
};
