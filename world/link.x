/*
 * link.x - what hosts tell each other.
 *
 * Types only: peer/ carries a message as the argument of one remote
 * procedure, policy/ makes and reads it.
 */

const LINK_NAME_MAX = 128;
const LINK_TEXT_MAX = 1048576;
const LINK_TOKENS_MAX = 1048576;
const LINK_ITEMS_MAX = 4096;
const LINK_NEWS_MAX = 16;
const LINK_BUCKETS = 64;
const LINK_PLACEMENTS_MAX = 40;
const LINK_BUDGETS_MAX = 8;
const LINK_NOTES_MAX = 12;

typedef string name_t<LINK_NAME_MAX>;

enum message_kind_t {
    MESSAGE_HEARTBEAT = 1,
    MESSAGE_RECORD = 2,
    MESSAGE_LOOKUP = 3,
    MESSAGE_FOUND = 4,
    MESSAGE_SUPERSEDED = 5,
    MESSAGE_CONFIG = 6,
    MESSAGE_CONFIG_DIGEST = 7,
    MESSAGE_SUSPECT = 8,
    MESSAGE_RECORD_GAP = 9,
    MESSAGE_RECORD_HELD = 10,
    MESSAGE_PLACEMENTS = 11,
    MESSAGE_STORE_ASK = 12,
    MESSAGE_STORE_TELL = 13
};

/*
 * What a host has found out about a third one.  beat is the highest
 * heartbeat number of that incarnation that accuser had heard: what is said
 * with a higher one wins.  The addresses are "" in accusations.
 */
enum news_state_t {
    NEWS_LIVE = 1,
    NEWS_SUSPECT = 2,
    NEWS_DEAD = 3,
    NEWS_LEAVING = 4
};

struct news_t {
    name_t host;
    name_t accuser;
    name_t zone;
    name_t address;
    name_t peer_address;
    uint64_t incarnation;
    uint64_t beat;
    news_state_t state;
};

/*
 * The state of the sender, and the configuration it has in force: the
 * highest revision it holds, and a hash over all its keys and revisions.
 * beat counts its heartbeats.  answer asks for a heartbeat in return.
 */
struct heartbeat_t {
    uint64_t incarnation;
    uint64_t beat;
    bool answer;
    bool leaving;
    uint32_t sessions;
    int64_t config_revision;
    uint64_t config_hash;
    name_t zone;
    name_t address;       /* for callers; "" where not known */
    name_t peer_address;
    news_t news<LINK_NEWS_MAX>;
};

/*
 * A request is named by its organisation and by the caller's key or by a
 * name that the first host made for it.
 */
struct request_name_t {
    name_t organisation;
    name_t key;
};

/* How far a record's request has come. */
enum record_state_t {
    RECORD_RUNNING = 1,
    RECORD_FINISHED = 2,
    RECORD_FAILED = 3,
    RECORD_FORGOTTEN = 4
};

/*
 * What a peer keeps for a session, so that another host can go on with it
 * after its host is lost.  The token ids and the text from token position
 * first on are appended to those held; ends gives, for each piece, the
 * position and the text length after it, both counted from the answer's
 * start.  The text before base is not known to the owner.
 */
struct record_cut_t {
    uint32_t position;
    uint32_t text_bytes;
};

struct record_t {
    request_name_t request;
    uint64_t fingerprint;
    name_t owner;
    uint64_t owner_incarnation;
    uint32_t epoch;
    record_state_t state;
    bool idempotent;
    name_t runner;
    name_t stream_name;
    uint32_t stream_endpoint;
    uint32_t stream_first;
    uint32_t attempt;
    uint32_t prompt_ids<LINK_TOKENS_MAX>;
    uint32_t base;
    uint32_t first;
    uint32_t token_ids<LINK_TOKENS_MAX>;
    opaque text<LINK_TEXT_MAX>;
    record_cut_t cuts<LINK_TOKENS_MAX>;
    uint32_t finish;
};

/* Asks for the record of a request; the asker becomes its owner. */
struct lookup_t {
    uint64_t ask;
    request_name_t request;
};

/* The answer to a lookup: found is false when there is no such record. */
struct found_t {
    uint64_t ask;
    bool found;
    record_t record;
};

/* Tells a former owner that a newer attempt has the request. */
struct superseded_t {
    request_name_t request;
    uint32_t epoch;
};

/*
 * Tells an owner that its keeper holds so many tokens of this epoch; as
 * MESSAGE_RECORD_GAP, that it misses part of the record and wants all from
 * there on.
 */
struct record_gap_t {
    request_name_t request;
    uint32_t epoch;
    uint32_t held;
};

/* One key of the operators' configuration. */
struct config_t {
    name_t key;
    int64_t revision;
    bool deleted;
    opaque text<LINK_TEXT_MAX>;
};

/* The revision of each key that the sender has in force. */
struct config_revision_t {
    name_t key;
    int64_t revision;
};

/*
 * Anti-entropy in three steps: hashes of 64 groups of keys; the revisions
 * in the groups that differ; the keys that the first host lacks.
 */
enum config_digest_kind_t {
    DIGEST_HASHES = 1,
    DIGEST_REVISIONS = 2,
    DIGEST_WANTED = 3
};

struct config_digest_t {
    config_digest_kind_t kind;
    uint64_t hashes<LINK_BUCKETS>;
    config_revision_t revisions<LINK_ITEMS_MAX>;
};

/*
 * A content's fingerprint was present at the loss of a runner.  loss names
 * the runner by a hash (upper 32 bits) and says how long the content had run
 * there, in ms (lower 32 bits).
 */
struct suspect_t {
    uint64_t fingerprint;
    uint64_t loss;
    bool convicted;
    bool withdrawn;
};

/*
 * A stream that the sender has at a runner, which is named by a hash of its
 * id.  session is a hash of what its prompt has in common with later
 * requests; reading: its first event has not come.
 */
struct placement_t {
    uint64_t runner;
    uint64_t session;
    uint32_t prompt_tokens;
    bool reading;
};

/*
 * What the sender had of requests for a service, which is named by a hash,
 * and of repeats, within the window of the retry budget.
 */
struct budget_use_t {
    uint64_t service;
    uint32_t requests;
    uint32_t repeats;
};

/*
 * What a host that forwards by routes has found out: of a request that may
 * crash runners, or that a runner, named by a hash of its id, is not at its
 * address any more.
 */
enum note_kind_t {
    NOTE_SUSPECT = 1,
    NOTE_MOVED = 2
};

union finding_t switch (note_kind_t kind) {
case NOTE_SUSPECT:
    suspect_t suspect;
case NOTE_MOVED:
    uint64_t runner;
};

/* number rises from note to note of one incarnation of the sender. */
struct note_t {
    uint64_t number;
    finding_t finding;
};

/*
 * All streams of the sender; number rises with each message of one
 * incarnation, so that an older one is known.  What does not fit is left out.
 * contact_age_ms: so long ago the sender's routing table was known to be in
 * force.  notes are its newest ones, told again in case a message was lost.
 */
struct placements_t {
    uint64_t incarnation;
    uint64_t number;
    uint32_t contact_age_ms;
    placement_t items<LINK_PLACEMENTS_MAX>;
    budget_use_t budgets<LINK_BUDGETS_MAX>;
    note_t notes<LINK_NOTES_MAX>;
};

/* Asks what changed in the store after a revision. */
struct store_ask_t {
    uint64_t number;
    int64_t after;
};

/* One key of the store. */
struct store_item_t {
    name_t key;
    int64_t revision;
    bool removed;
    opaque value<LINK_TEXT_MAX>;
};

/*
 * The answer to an ask: all changes up to revision, or known is false and
 * the store has to be read.  contact_age_ms: so long before it was sent, the
 * sender knew of every change.
 */
struct store_tell_t {
    uint64_t number;
    bool known;
    int64_t revision;
    uint32_t contact_age_ms;
    store_item_t items<LINK_ITEMS_MAX>;
};

union message_t switch (message_kind_t kind) {
case MESSAGE_HEARTBEAT:
    heartbeat_t heartbeat;
case MESSAGE_RECORD:
    record_t record;
case MESSAGE_LOOKUP:
    lookup_t lookup;
case MESSAGE_FOUND:
    found_t found;
case MESSAGE_SUPERSEDED:
    superseded_t superseded;
case MESSAGE_CONFIG:
    config_t config;
case MESSAGE_CONFIG_DIGEST:
    config_digest_t config_digest;
case MESSAGE_SUSPECT:
    suspect_t suspect;
case MESSAGE_RECORD_GAP:
    record_gap_t record_gap;
case MESSAGE_RECORD_HELD:
    record_gap_t record_held;
case MESSAGE_PLACEMENTS:
    placements_t placements;
case MESSAGE_STORE_ASK:
    store_ask_t store_ask;
case MESSAGE_STORE_TELL:
    store_tell_t store_tell;
};
