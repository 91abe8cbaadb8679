#include <glib.h>
#include <string.h>

#include "request/outcome.h"

#define RESULT_OVERHEAD_BYTES 64 /* XDR size of the fixed fields */
#define HEADER_OVERHEAD_BYTES 16
/* Above max_records, refusals are recorded up to this multiple of it. */
#define REFUSAL_RECORDS_FACTOR 2
/* At 120 process restarts a day, an incarnation is remembered for 8 days. */
#define MAX_FORGOTTEN_ENTRIES 1024

struct record {
	uint64_t seq;
	enum wire_state state;
	size_t bytes;
	struct wire_result result; /* when state is DONE */
};

struct entry {
	uint64_t incarnation;
	bool open;
	int64_t closed_ms;   /* when the connection closed */
	uint64_t min_seq;    /* unrecorded seqs below are refused */
	uint64_t lost_below; /* unrecorded seqs below may have started */
	uint64_t max_accepted;
	uint64_t last_number;  /* of the newest result */
	uint64_t sent;	       /* highest number sent on this connection */
	uint64_t highest_sent; /* highest number sent on any connection */
	uint64_t bytes;	       /* of the unacknowledged results */
	GHashTable *records;   /* seq -> struct record */
	GQueue results; /* unacknowledged struct record, up to last_number */
};

/* State kept of an incarnation whose records were dropped. */
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
find_entry(const struct out *out, uint64_t entry)
{
	return g_hash_table_lookup(out->entries, &entry);
}

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
forget_entry(struct out *out, struct entry *e)
{
	struct forgotten *f = g_new0(struct forgotten, 1);

	f->incarnation = e->incarnation;
	f->last_number = e->last_number;
	f->lost_below = e->lost_below;
	if (g_hash_table_size(e->records) > 0)
		f->lost_below = MAX(e->lost_below, e->max_accepted + 1);
	f->min_seq = MAX(e->min_seq, f->lost_below);
	g_queue_push_tail(&out->forgotten, f);
	if (out->forgotten.length > MAX_FORGOTTEN_ENTRIES)
		g_free(g_queue_pop_head(&out->forgotten));
	g_hash_table_remove(out->entries, &e->incarnation);
}

static void
restore_forgotten(struct out *out, struct entry *e)
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
		forget_entry(out, oldest);
}

/* Every unacknowledged result will be sent again on the new connection. */
void
out_connected(struct out *out, uint64_t entry)
{
	struct entry *e = find_entry(out, entry);

	if (e == NULL) {
		if (g_hash_table_size(out->entries) >= out->opts.max_entries)
			forget_oldest_closed(out);
		e = g_new0(struct entry, 1);
		e->incarnation = entry;
		e->records = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, record_free);
		g_queue_init(&e->results);
		restore_forgotten(out, e);
		g_hash_table_insert(out->entries, &e->incarnation, e);
	}
	e->open = true;
	e->sent = e->last_number - e->results.length;
}

/* Keeps the records, since the entry may connect again. */
void
out_disconnected(struct out *out, uint64_t entry, int64_t now_ms)
{
	struct entry *e = find_entry(out, entry);

	if (e == NULL)
		return;
	e->open = false;
	e->closed_ms = now_ms;
}

/*
 * If the incarnation connects again after all, starts whose records were
 * dropped are reported as unknown, never as unseen.
 */
void
out_forget(struct out *out, uint64_t entry)
{
	struct entry *e = find_entry(out, entry);

	if (e != NULL)
		forget_entry(out, e);
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
queue_result(struct entry *e, struct record *rec)
{
	rec->state = WIRE_STATE_DONE;
	rec->bytes = result_bytes(&rec->result);
	e->bytes += rec->bytes;
	e->last_number++;
	g_queue_push_tail(&e->results, rec);
}

static void
queue_result_without_answer(struct entry *e, struct record *rec,
    enum wire_outcome outcome, enum wire_reason reason)
{
	memset(&rec->result, 0, sizeof(rec->result));
	rec->result.seq = rec->seq;
	rec->result.outcome = outcome;
	rec->result.reason = reason;
	queue_result(e, rec);
}

static enum out_verdict
record_refusal(
    struct out *out, struct entry *e, uint64_t seq, enum wire_reason reason)
{
	if (g_hash_table_size(e->records) >=
	    REFUSAL_RECORDS_FACTOR * out->opts.max_records)
		return OUT_OVERFLOW;
	queue_result_without_answer(
	    e, record_new(e, seq), WIRE_NOT_STARTED, reason);
	return OUT_REFUSED;
}

/*
 * Decides on a received START.  A recorded seq is a duplicate, as is one whose
 * record was dropped, since it may have run.  Others below min_seq are refused.
 */
enum out_verdict
out_start(struct out *out, uint64_t entry, uint64_t seq)
{
	struct entry *e = find_entry(out, entry);

	if (e == NULL)
		return OUT_OVERFLOW;
	if (g_hash_table_contains(e->records, &seq))
		return OUT_DUPLICATE;
	if (seq < e->lost_below)
		return OUT_DUPLICATE;
	if (seq < e->min_seq)
		return record_refusal(out, e, seq, WIRE_REASON_SEALED);
	if (g_hash_table_size(e->records) >= out->opts.max_records ||
	    e->bytes >= out->opts.max_bytes)
		return record_refusal(out, e, seq, WIRE_REASON_QUEUE_FULL);
	record_new(e, seq);
	e->max_accepted = MAX(e->max_accepted, seq);
	return OUT_ACCEPTED;
}

void
out_running(struct out *out, uint64_t entry, uint64_t seq)
{
	struct entry *e = find_entry(out, entry);
	struct record *rec =
	    e == NULL ? NULL : g_hash_table_lookup(e->records, &seq);

	if (rec != NULL && rec->state == WIRE_STATE_QUEUED)
		rec->state = WIRE_STATE_RUNNING;
}

/*
 * Records the result of a start.  If the answer does not fit within max_bytes
 * it is dropped and the outcome becomes unknown.
 */
void
out_finish(struct out *out, uint64_t entry, struct wire_result *result)
{
	struct entry *e = find_entry(out, entry);
	struct record *rec =
	    e == NULL ? NULL : g_hash_table_lookup(e->records, &result->seq);

	if (rec == NULL || rec->state == WIRE_STATE_DONE) {
		xdr_free((xdrproc_t)xdr_wire_result, result);
	} else if (result_bytes(result) > RESULT_OVERHEAD_BYTES &&
		   e->bytes + result_bytes(result) > out->opts.max_bytes) {
		xdr_free((xdrproc_t)xdr_wire_result, result);
		queue_result_without_answer(
		    e, rec, WIRE_UNKNOWN, WIRE_REASON_TOO_LARGE);
	} else {
		rec->result = *result;
		queue_result(e, rec);
	}
	memset(result, 0, sizeof(*result));
}

/* Records that an accepted start will never run. */
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
 * Drops acknowledged results and raises min_seq above their seqs.  This refuses
 * no new start, since an entry sends every start before it acknowledges the
 * result of one with a higher seq.
 */
void
out_ack(struct out *out, uint64_t entry, uint64_t number)
{
	struct entry *e = find_entry(out, entry);
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

void
out_seal(struct out *out, uint64_t entry, uint64_t next_seq)
{
	struct entry *e = find_entry(out, entry);

	if (e != NULL)
		e->min_seq = MAX(e->min_seq, next_seq);
}

/*
 * A seq whose record was dropped gets an UNKNOWN result.  An unseen seq at or
 * above min_seq is sealed, so that the reported state stays true.
 */
enum wire_state
out_state(struct out *out, uint64_t entry, uint64_t seq)
{
	struct entry *e = find_entry(out, entry);
	struct record *rec;

	if (e == NULL)
		return WIRE_STATE_RUNNING;
	rec = g_hash_table_lookup(e->records, &seq);
	if (rec == NULL && seq < e->lost_below) {
		rec = record_new(e, seq);
		queue_result_without_answer(
		    e, rec, WIRE_UNKNOWN, WIRE_REASON_BROKEN);
	}
	if (rec != NULL)
		return rec->state;
	e->min_seq = MAX(e->min_seq, seq + 1);
	return WIRE_STATE_UNSEEN;
}

bool
out_batch(struct out *out, uint64_t entry, size_t max_bytes,
    struct wire_results_args *args)
{
	struct entry *e = find_entry(out, entry);
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

size_t
out_record_count(const struct out *out, uint64_t entry)
{
	struct entry *e = find_entry(out, entry);

	return e == NULL ? 0 : g_hash_table_size(e->records);
}

uint64_t
out_bytes(const struct out *out, uint64_t entry)
{
	struct entry *e = find_entry(out, entry);

	return e == NULL ? 0 : e->bytes;
}

/* Runs fn for each incarnation that has records; fn must not change any. */
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
