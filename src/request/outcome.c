#include <glib.h>
#include <string.h>

#include "request/outcome.h"

#define RESULT_OVERHEAD_BYTES 64 /* XDR size of the fixed fields */
#define HEADER_OVERHEAD_BYTES 16
/* Refusals above the record limit are kept up to this multiple of it. */
#define OVERFLOW_FACTOR 2
/* 120 process restarts a day leave a returning entry remembered for days. */
#define FORGOTTEN_MAX 1024

struct record {
	uint64_t seq;
	enum wire_state state;
	size_t bytes;
	struct wire_result result; /* when state is DONE */
};

struct entry {
	uint64_t incarnation;
	bool open;
	int64_t closed_ms; /* oldest forgotten first */
	uint64_t min_seq;
	uint64_t lost_below; /* unrecorded seqs below may have started */
	uint64_t max_accepted;
	uint64_t last_number; /* of the newest result */
	uint64_t sent;	      /* highest number sent on this connection */
	uint64_t highest_sent;
	uint64_t bytes;
	GHashTable *records; /* seq -> struct record */
	GQueue results;	     /* struct record, by number, ends at last_number */
};

/* What remains of an incarnation whose records were dropped. */
struct forgotten {
	uint64_t incarnation;
	uint64_t min_seq;
	uint64_t lost_below;
	uint64_t last_number;
};

struct out {
	struct out_options opts;
	GHashTable *entries; /* incarnation -> struct entry */
	GQueue forgotten;    /* struct forgotten, oldest first */
};

static void
record_free(gpointer data)
{
	struct record *rec = data;

	xdr_free((xdrproc_t)xdr_wire_result, &rec->result);
	g_free(rec);
}

static void
entry_free(gpointer data)
{
	struct entry *e = data;

	g_queue_clear(&e->results);
	g_hash_table_unref(e->records);
	g_free(e);
}

static struct entry *
find(const struct out *out, uint64_t entry)
{
	return g_hash_table_lookup(out->entries, &entry);
}

/* Makes an empty set of records; the limits are per entry incarnation. */
struct out *
out_new(const struct out_options *opts)
{
	struct out *out = g_new0(struct out, 1);

	out->opts = *opts;
	out->entries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, entry_free);
	g_queue_init(&out->forgotten);
	return out;
}

/* Frees every record. */
void
out_free(struct out *out)
{
	if (out == NULL)
		return;
	g_hash_table_unref(out->entries);
	g_queue_clear_full(&out->forgotten, g_free);
	g_free(out);
}

static void
forget(struct out *out, struct entry *e)
{
	struct forgotten *f = g_new0(struct forgotten, 1);

	f->incarnation = e->incarnation;
	f->last_number = e->last_number;
	f->lost_below = e->lost_below;
	if (g_hash_table_size(e->records) > 0)
		f->lost_below = MAX(e->lost_below, e->max_accepted + 1);
	f->min_seq = MAX(e->min_seq, f->lost_below);
	g_queue_push_tail(&out->forgotten, f);
	if (out->forgotten.length > FORGOTTEN_MAX)
		g_free(g_queue_pop_head(&out->forgotten));
	g_hash_table_remove(out->entries, &e->incarnation);
}

static void
recall(struct out *out, struct entry *e)
{
	GList *l;

	for (l = out->forgotten.head; l != NULL; l = l->next) {
		struct forgotten *f = l->data;

		if (f->incarnation != e->incarnation)
			continue;
		e->min_seq = f->min_seq;
		e->lost_below = f->lost_below;
		e->last_number = f->last_number;
		e->highest_sent = f->last_number;
		g_queue_delete_link(&out->forgotten, l);
		g_free(f);
		return;
	}
}

static void
forget_oldest_closed(struct out *out)
{
	struct entry *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, out->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *e = value;

		if (!e->open &&
		    (oldest == NULL || e->closed_ms < oldest->closed_ms))
			oldest = e;
	}
	if (oldest != NULL)
		forget(out, oldest);
}

/*
 * Notes a new connection to an entry incarnation.  Every unacknowledged
 * result is sent again on it.
 */
void
out_connected(struct out *out, uint64_t entry)
{
	struct entry *e = find(out, entry);

	if (e == NULL) {
		if (g_hash_table_size(out->entries) >= out->opts.max_entries)
			forget_oldest_closed(out);
		e = g_new0(struct entry, 1);
		e->incarnation = entry;
		e->records = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, record_free);
		g_queue_init(&e->results);
		recall(out, e);
		g_hash_table_insert(out->entries, &e->incarnation, e);
	}
	e->open = true;
	e->sent = e->last_number - e->results.length;
}

/* Notes that the connection is closed; the records stay. */
void
out_disconnected(struct out *out, uint64_t entry, int64_t now_ms)
{
	struct entry *e = find(out, entry);

	if (e == NULL)
		return;
	e->open = false;
	e->closed_ms = now_ms;
}

/*
 * Forgets an incarnation that was replaced.  Should it appear again, starts
 * that were recorded are reported as unknown, never as unseen.
 */
void
out_forget(struct out *out, uint64_t entry)
{
	struct entry *e = find(out, entry);

	if (e != NULL)
		forget(out, e);
}

static struct record *
record_new(struct entry *e, uint64_t seq)
{
	struct record *rec = g_new0(struct record, 1);

	rec->seq = seq;
	rec->state = WIRE_STATE_QUEUED;
	g_hash_table_insert(e->records, &rec->seq, rec);
	return rec;
}

static size_t
result_bytes(const struct wire_result *result)
{
	size_t bytes = RESULT_OVERHEAD_BYTES + result->body.wire_payload_len;
	u_int i;

	for (i = 0; i < result->headers.headers_len; i++) {
		const struct wire_header *h = &result->headers.headers_val[i];

		bytes +=
		    HEADER_OVERHEAD_BYTES + strlen(h->name) + strlen(h->value);
	}
	return bytes;
}

static void
record_done(struct entry *e, struct record *rec)
{
	rec->state = WIRE_STATE_DONE;
	rec->bytes = result_bytes(&rec->result);
	e->bytes += rec->bytes;
	e->last_number++;
	g_queue_push_tail(&e->results, rec);
}

static void
record_without_answer(struct entry *e, struct record *rec,
    enum wire_outcome outcome, enum wire_reason reason)
{
	memset(&rec->result, 0, sizeof(rec->result));
	rec->result.seq = rec->seq;
	rec->result.outcome = outcome;
	rec->result.reason = reason;
	record_done(e, rec);
}

static enum out_verdict
refuse(struct out *out, struct entry *e, uint64_t seq, enum wire_reason reason)
{
	if (g_hash_table_size(e->records) >=
	    OVERFLOW_FACTOR * out->opts.max_records)
		return OUT_OVERFLOW;
	record_without_answer(e, record_new(e, seq), WIRE_NOT_STARTED, reason);
	return OUT_REFUSED;
}

/*
 * Decides on a START.  A seq that is recorded is a duplicate; one below
 * min_seq is refused, as UNKNOWN when its record was lost.
 */
enum out_verdict
out_start(struct out *out, uint64_t entry, uint64_t seq)
{
	struct entry *e = find(out, entry);

	if (e == NULL)
		return OUT_OVERFLOW;
	if (g_hash_table_contains(e->records, &seq))
		return OUT_DUPLICATE;
	if (seq < e->lost_below)
		return OUT_DUPLICATE;
	if (seq < e->min_seq)
		return refuse(out, e, seq, WIRE_REASON_SEALED);
	if (g_hash_table_size(e->records) >= out->opts.max_records ||
	    e->bytes >= out->opts.max_bytes)
		return refuse(out, e, seq, WIRE_REASON_QUEUE_FULL);
	record_new(e, seq);
	e->max_accepted = MAX(e->max_accepted, seq);
	return OUT_ACCEPTED;
}

/* Notes that the call to the endpoint begins. */
void
out_running(struct out *out, uint64_t entry, uint64_t seq)
{
	struct entry *e = find(out, entry);
	struct record *rec =
	    e == NULL ? NULL : g_hash_table_lookup(e->records, &seq);

	if (rec != NULL && rec->state == WIRE_STATE_QUEUED)
		rec->state = WIRE_STATE_RUNNING;
}

/*
 * Records the result of a start.  An answer that does not fit within
 * max_bytes is dropped and reported as unknown.
 */
void
out_finish(struct out *out, uint64_t entry, struct wire_result *result)
{
	struct entry *e = find(out, entry);
	struct record *rec =
	    e == NULL ? NULL : g_hash_table_lookup(e->records, &result->seq);

	if (rec == NULL || rec->state == WIRE_STATE_DONE) {
		xdr_free((xdrproc_t)xdr_wire_result, result);
	} else if (result_bytes(result) > RESULT_OVERHEAD_BYTES &&
		   e->bytes + result_bytes(result) > out->opts.max_bytes) {
		xdr_free((xdrproc_t)xdr_wire_result, result);
		record_without_answer(
		    e, rec, WIRE_UNKNOWN, WIRE_REASON_TOO_LARGE);
	} else {
		rec->result = *result;
		record_done(e, rec);
	}
	memset(result, 0, sizeof(*result));
}

/* Records that a start that was accepted will not run. */
void
out_not_started(
    struct out *out, uint64_t entry, uint64_t seq, enum wire_reason reason)
{
	struct wire_result result = {
	    .seq = seq,
	    .outcome = WIRE_NOT_STARTED,
	    .reason = reason,
	};

	out_finish(out, entry, &result);
}

/*
 * Drops acknowledged results.  min_seq rises past each of them: an entry
 * sends its starts before it acknowledges a result of a later one.
 */
void
out_ack(struct out *out, uint64_t entry, uint64_t number)
{
	struct entry *e = find(out, entry);
	uint64_t first;

	if (e == NULL)
		return;
	number = MIN(number, e->highest_sent);
	first = e->last_number - e->results.length + 1;
	for (; first <= number && e->results.length > 0; first++) {
		struct record *rec = g_queue_pop_head(&e->results);

		e->min_seq = MAX(e->min_seq, rec->seq + 1);
		e->bytes -= rec->bytes;
		g_hash_table_remove(e->records, &rec->seq);
	}
	e->sent = MAX(e->sent, e->last_number - e->results.length);
}

/* Raises min_seq, so that no unrecorded lower seq can start any more. */
void
out_seal(struct out *out, uint64_t entry, uint64_t next_seq)
{
	struct entry *e = find(out, entry);

	if (e != NULL)
		e->min_seq = MAX(e->min_seq, next_seq);
}

/*
 * Returns the state of a seq.  One whose record was lost gets an UNKNOWN
 * result; one at or above min_seq is sealed first.
 */
enum wire_state
out_state(struct out *out, uint64_t entry, uint64_t seq)
{
	struct entry *e = find(out, entry);
	struct record *rec;

	if (e == NULL)
		return WIRE_STATE_RUNNING;
	rec = g_hash_table_lookup(e->records, &seq);
	if (rec == NULL && seq < e->lost_below) {
		rec = record_new(e, seq);
		record_without_answer(e, rec, WIRE_UNKNOWN, WIRE_REASON_BROKEN);
	}
	if (rec != NULL)
		return rec->state;
	e->min_seq = MAX(e->min_seq, seq + 1);
	return WIRE_STATE_UNSEEN;
}

/* Collects the next results to send; see the header. */
bool
out_batch(struct out *out, uint64_t entry, size_t max_bytes,
    struct wire_results_args *args)
{
	struct entry *e = find(out, entry);
	uint64_t acked;
	size_t bytes = 0, n = 0;
	GList *l, *first;

	if (e == NULL || !e->open || e->sent >= e->last_number)
		return false;
	acked = e->last_number - e->results.length;
	first = g_queue_peek_nth_link(&e->results, e->sent - acked);
	for (l = first; l != NULL && n < WIRE_BATCH_MAX; l = l->next) {
		struct record *rec = l->data;

		if (n > 0 && bytes + rec->bytes > max_bytes)
			break;
		bytes += rec->bytes;
		n++;
	}
	args->first_result = e->sent + 1;
	args->results.results_len = n;
	args->results.results_val = g_new(struct wire_result, n);
	for (l = first, n = 0; n < args->results.results_len; l = l->next)
		args->results.results_val[n++] =
		    ((struct record *)l->data)->result;
	e->sent += n;
	e->highest_sent = MAX(e->highest_sent, e->sent);
	return true;
}

/* Returns the number of records of an entry incarnation. */
size_t
out_record_count(const struct out *out, uint64_t entry)
{
	struct entry *e = find(out, entry);

	return e == NULL ? 0 : g_hash_table_size(e->records);
}

/* Returns the bytes of unacknowledged results of an entry incarnation. */
uint64_t
out_bytes(const struct out *out, uint64_t entry)
{
	struct entry *e = find(out, entry);

	return e == NULL ? 0 : e->bytes;
}

/* Runs fn for each entry incarnation with records; fn changes none. */
void
out_foreach(const struct out *out, out_entry_fn fn, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, out->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *e = value;

		if (g_hash_table_size(e->records) > 0)
			fn(e->incarnation, e->open ? -1 : e->closed_ms, ctx);
	}
}
