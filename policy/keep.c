/* keep.c - see keep.h. */
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <bsd/sys/tree.h>

#include "base/arena.h"
#include "policy/keep.h"
#include "policy/keep_tell.h"

typedef struct kept {
    record_t record; /* with first 0: the whole of it */
    size_t tokens_room;
    size_t text_room;
    size_t cuts_room;
    size_t bytes; /* as accounted */
    int64_t touched_us;
    bool over; /* finished, failed or forgotten */
    RB_ENTRY(kept) entry;
    TAILQ_ENTRY(kept) age;
} kept_t;
RB_HEAD(kept_tree, kept);
TAILQ_HEAD(kept_list, kept);

struct keep {
    size_t bytes_max;
    struct kept_tree records; /* by request */
    struct kept_list running; /* the longest without news first */
    struct kept_list over;
    keep_counters_t counters;
};

static int kept_compare(const kept_t *left, const kept_t *right);
static kept_t *find(const keep_t *keep, const request_name_t *request);
static kept_t *add(keep_t *keep, const request_name_t *request);
static void drop(keep_t *keep, kept_t *kept);
static void touch(keep_t *keep, kept_t *kept, int64_t now_us);
static void evict(keep_t *keep);
static void expire(keep_t *keep, struct kept_list *list, int64_t before_us);
static void set_string(char **to, const char *from);
static void *grow(void *items, size_t *room, size_t count, size_t size);
static bool agrees(const record_t *record, uint32_t base_text);
static bool text_before(const record_t *held, uint32_t first, u_int *cuts,
                        uint32_t *text);
static bool outranks(const record_t *held, const record_t *record);
static bool is_over(const record_t *record);
static void append(kept_t *kept, const record_t *record, u_int cuts,
                   uint32_t text);
static void set_head(kept_t *kept, const record_t *record);

RB_PROTOTYPE(kept_tree, kept, entry, kept_compare)
RB_GENERATE(kept_tree, kept, entry, kept_compare)

static int
kept_compare(const kept_t *left, const kept_t *right)
{
    const request_name_t *a = &left->record.request;
    const request_name_t *b = &right->record.request;
    int order = strcmp(a->key, b->key);

    return order != 0 ? order : strcmp(a->organisation, b->organisation);
}

keep_t *
keep_new(size_t bytes_max)
{
    keep_t *keep = xcalloc(1, sizeof(*keep));

    keep->bytes_max = bytes_max == 0 ? KEEP_BYTES : bytes_max;
    RB_INIT(&keep->records);
    TAILQ_INIT(&keep->running);
    TAILQ_INIT(&keep->over);
    return keep;
}

void
keep_free(keep_t *keep)
{
    kept_t *kept;

    while ((kept = RB_MIN(kept_tree, &keep->records)) != NULL) {
        drop(keep, kept);
    }
    free(keep);
}

static kept_t *
find(const keep_t *keep, const request_name_t *request)
{
    kept_t wanted;

    wanted.record.request = *request;
    return RB_FIND(kept_tree, (struct kept_tree *)&keep->records, &wanted);
}

const record_t *
keep_find(const keep_t *keep, const request_name_t *request)
{
    const kept_t *kept = find(keep, request);

    return kept == NULL ? NULL : &kept->record;
}

static kept_t *
add(keep_t *keep, const request_name_t *request)
{
    kept_t *kept = xcalloc(1, sizeof(*kept));
    record_t *held = &kept->record;

    held->request.organisation = xstrdup(request->organisation);
    held->request.key = xstrdup(request->key);
    held->owner = xstrdup("");
    held->runner = xstrdup("");
    held->stream_name = xstrdup("");
    RB_INSERT(kept_tree, &keep->records, kept);
    TAILQ_INSERT_TAIL(&keep->running, kept, age);
    keep->counters.records++;
    return kept;
}

static void
drop(keep_t *keep, kept_t *kept)
{
    RB_REMOVE(kept_tree, &keep->records, kept);
    TAILQ_REMOVE(kept->over ? &keep->over : &keep->running, kept, age);
    keep->counters.records--;
    keep->counters.bytes -= kept->bytes;
    xdr_free((xdrproc_t)xdr_record_t, (void *)&kept->record);
    free(kept);
}

static bool
is_over(const record_t *record)
{
    return record->state != RECORD_RUNNING;
}

/* Moves the record to the young end of its list and accounts for it. */
static void
touch(keep_t *keep, kept_t *kept, int64_t now_us)
{
    const record_t *held = &kept->record;

    TAILQ_REMOVE(kept->over ? &keep->over : &keep->running, kept, age);
    kept->over = is_over(held);
    TAILQ_INSERT_TAIL(kept->over ? &keep->over : &keep->running, kept, age);
    kept->touched_us = now_us;
    keep->counters.bytes -= kept->bytes;
    kept->bytes = sizeof(*kept) + strlen(held->request.organisation) +
                  strlen(held->request.key) + strlen(held->owner) +
                  strlen(held->runner) + strlen(held->stream_name) +
                  held->prompt_ids.prompt_ids_len * sizeof(uint32_t) +
                  kept->tokens_room * sizeof(uint32_t) + kept->text_room +
                  kept->cuts_room * sizeof(record_cut_t);
    keep->counters.bytes += kept->bytes;
}

static void
evict(keep_t *keep)
{
    kept_t *kept;

    while (keep->counters.bytes > keep->bytes_max) {
        kept = TAILQ_FIRST(&keep->over);
        if (kept != NULL) {
            keep->counters.evicted_finished++;
        }
        else {
            kept = TAILQ_FIRST(&keep->running);
            keep->counters.evicted_running++;
        }
        drop(keep, kept);
    }
}

static void
set_string(char **to, const char *from)
{
    if (strcmp(*to, from) != 0) {
        free(*to);
        *to = xstrdup(from);
    }
}

static void *
grow(void *items, size_t *room, size_t count, size_t size)
{
    if (count <= *room) {
        return items;
    }
    *room = count + count / 4;
    return xrealloc(items, *room, size);
}

/* Whether tokens, cuts and text tell one story, after base_text bytes. */
static bool
agrees(const record_t *record, uint32_t base_text)
{
    uint32_t position = record->first;
    uint32_t text = base_text;
    const record_cut_t *cut;
    u_int i;

    for (i = 0; i < record->cuts.cuts_len; i++) {
        cut = &record->cuts.cuts_val[i];
        if (cut->position <= position || cut->text_bytes < text) {
            return false;
        }
        position = cut->position;
        text = cut->text_bytes;
    }
    return position - record->first == record->token_ids.token_ids_len &&
           text - base_text == record->text.text_len;
}

/* Finds the cut at position first; false when nothing held ends there. */
static bool
text_before(const record_t *held, uint32_t first, u_int *cuts, uint32_t *text)
{
    u_int low = 0;
    u_int high = held->cuts.cuts_len;
    u_int middle;

    *cuts = 0;
    *text = 0;
    if (first == 0) {
        return true;
    }
    while (low < high) {
        middle = low + (high - low) / 2;
        if (held->cuts.cuts_val[middle].position < first) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low == held->cuts.cuts_len ||
        held->cuts.cuts_val[low].position != first) {
        return false;
    }
    *cuts = low + 1;
    *text = held->cuts.cuts_val[low].text_bytes;
    return true;
}

/*
 * Whether what is held fences the record that came.  An owner may not have
 * heard of the epoch that it was granted: the answer to its lookup can be
 * late or lost.
 */
static bool
outranks(const record_t *held, const record_t *record)
{
    if (strcmp(held->owner, record->owner) == 0) {
        return false;
    }
    if (held->epoch != record->epoch) {
        return held->epoch > record->epoch;
    }
    return strcmp(held->owner, record->owner) > 0;
}

/* Puts what came after the given cuts and text bytes of what is held. */
static void
append(kept_t *kept, const record_t *record, u_int cuts, uint32_t text)
{
    record_t *held = &kept->record;
    u_int tokens = record->first + record->token_ids.token_ids_len;
    u_int text_len = text + record->text.text_len;
    u_int cuts_len = cuts + record->cuts.cuts_len;

    held->token_ids.token_ids_val =
        grow(held->token_ids.token_ids_val, &kept->tokens_room, tokens,
             sizeof(uint32_t));
    held->text.text_val =
        grow(held->text.text_val, &kept->text_room, text_len, 1);
    held->cuts.cuts_val = grow(held->cuts.cuts_val, &kept->cuts_room, cuts_len,
                               sizeof(record_cut_t));
    if (record->token_ids.token_ids_len > 0) {
        memcpy(held->token_ids.token_ids_val + record->first,
               record->token_ids.token_ids_val,
               record->token_ids.token_ids_len * sizeof(uint32_t));
    }
    if (record->text.text_len > 0) {
        memcpy(held->text.text_val + text, record->text.text_val,
               record->text.text_len);
    }
    if (record->cuts.cuts_len > 0) {
        memcpy(held->cuts.cuts_val + cuts, record->cuts.cuts_val,
               record->cuts.cuts_len * sizeof(record_cut_t));
    }
    held->token_ids.token_ids_len = tokens;
    held->text.text_len = text_len;
    held->cuts.cuts_len = cuts_len;
}

static void
set_head(kept_t *kept, const record_t *record)
{
    record_t *held = &kept->record;
    u_int prompt_len = record->prompt_ids.prompt_ids_len;

    set_string(&held->owner, record->owner);
    set_string(&held->runner, record->runner);
    set_string(&held->stream_name, record->stream_name);
    held->fingerprint = record->fingerprint;
    held->owner_incarnation = record->owner_incarnation;
    if (record->epoch > held->epoch) {
        held->epoch = record->epoch;
    }
    held->state = record->state;
    held->idempotent = record->idempotent;
    held->stream_endpoint = record->stream_endpoint;
    held->stream_first = record->stream_first;
    held->base = record->base;
    held->attempt = record->attempt;
    held->finish = record->finish;
    if (prompt_len > 0) {
        held->prompt_ids.prompt_ids_val = xrealloc(
            held->prompt_ids.prompt_ids_val, prompt_len, sizeof(uint32_t));
        memcpy(held->prompt_ids.prompt_ids_val,
               record->prompt_ids.prompt_ids_val,
               prompt_len * sizeof(uint32_t));
        held->prompt_ids.prompt_ids_len = prompt_len;
    }
}

void
keep_record(keep_t *keep, int64_t now_us, const char *from,
            const record_t *record, order_list_t *orders)
{
    kept_t *kept = find(keep, &record->request);
    const record_t *held = kept == NULL ? NULL : &kept->record;
    uint32_t text = 0;
    u_int cuts = 0;

    if (held != NULL && outranks(held, record)) {
        keep->counters.fenced++;
        keep_tell_superseded(from, held, orders);
        return;
    }
    if (record->first > 0 &&
        (held == NULL || !text_before(held, record->first, &cuts, &text))) {
        keep->counters.gaps++;
        keep_tell_gap(from, record,
                      held == NULL ? 0 : held->token_ids.token_ids_len,
                      orders);
        return;
    }
    if (!agrees(record, text)) {
        keep->counters.malformed++;
        return;
    }
    if (kept == NULL) {
        kept = add(keep, &record->request);
    }
    append(kept, record, cuts, text);
    set_head(kept, record);
    keep->counters.taken++;
    if (record->state == RECORD_RUNNING) {
        keep_tell_held(from, &kept->record, orders);
    }
    touch(keep, kept, now_us);
    evict(keep);
}

void
keep_lookup(keep_t *keep, int64_t now_us, const char *from,
            const lookup_t *lookup, order_list_t *orders)
{
    kept_t *kept = find(keep, &lookup->request);
    record_t *held;

    keep->counters.lookups++;
    if (kept == NULL || kept->record.state == RECORD_FORGOTTEN) {
        keep_tell_found(from, lookup->ask, NULL, orders);
        return;
    }
    held = &kept->record;
    keep->counters.found++;
    if (held->state == RECORD_RUNNING && strcmp(held->owner, from) != 0) {
        held->epoch++;
        keep_tell_superseded(held->owner, held, orders);
        set_string(&held->owner, from);
        held->owner_incarnation = 0;
        keep->counters.taken_over++;
        touch(keep, kept, now_us);
    }
    keep_tell_found(from, lookup->ask, held, orders);
}

/* Drops those of a list, the oldest first, that were touched before. */
static void
expire(keep_t *keep, struct kept_list *list, int64_t before_us)
{
    kept_t *kept;
    kept_t *next;

    for (kept = TAILQ_FIRST(list); kept != NULL; kept = next) {
        next = TAILQ_NEXT(kept, age);
        if (kept->touched_us > before_us) {
            return;
        }
        keep->counters.expired++;
        drop(keep, kept);
    }
}

void
keep_timer(keep_t *keep, int64_t now_us)
{
    expire(keep, &keep->over, now_us - KEEP_FINISHED_US);
    expire(keep, &keep->running, now_us - KEEP_RUNNING_US);
}

int64_t
keep_due_us(const keep_t *keep)
{
    const kept_t *over = TAILQ_FIRST(&keep->over);
    const kept_t *running = TAILQ_FIRST(&keep->running);
    int64_t due_us = INT64_MAX;

    if (over != NULL) {
        due_us = over->touched_us + KEEP_FINISHED_US;
    }
    if (running != NULL && running->touched_us + KEEP_RUNNING_US < due_us) {
        due_us = running->touched_us + KEEP_RUNNING_US;
    }
    return due_us;
}

const keep_counters_t *
keep_counters(const keep_t *keep)
{
    return &keep->counters;
}
