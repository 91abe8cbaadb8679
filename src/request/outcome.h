#ifndef SP_OUTCOME_H
#define SP_OUTCOME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/wire_xdr.h"

/*
 * An agent's records of the task starts that entries sent to it, by entry
 * incarnation and sequence number (seq), and of their results until the entry
 * acknowledges them.  A seq that was accepted stays recorded or is below
 * min_seq, so it is never accepted twice.
 */
struct out;

struct out_options {
	uint32_t max_records; /* accepted and not acknowledged, per entry */
	uint64_t max_bytes;   /* unacknowledged results, per entry */
	/* Above it, the records of the longest disconnected are dropped. */
	uint32_t max_entries;
};

enum out_verdict {
	OUT_ACCEPTED,
	OUT_DUPLICATE, /* received before; to be ignored */
	OUT_REFUSED,   /* a NOT_STARTED result was recorded */
	OUT_OVERFLOW   /* not even a refusal fits: close the connection */
};

struct out *out_new(const struct out_options *opts);
void out_free(struct out *out);

/* A connection to this entry incarnation was opened or closed. */
void out_connected(struct out *out, uint64_t entry);
void out_disconnected(struct out *out, uint64_t entry, int64_t now_ms);
/*
 * Drops the records of an incarnation that has exited; its queued starts must
 * not run any more.
 */
void out_forget(struct out *out, uint64_t entry);

enum out_verdict out_start(struct out *out, uint64_t entry, uint64_t seq);
/* The call to the endpoint begins. */
void out_running(struct out *out, uint64_t entry, uint64_t seq);
/* Takes ownership of the contents of result and zeroes it. */
void out_finish(struct out *out, uint64_t entry, struct wire_result *result);
void out_not_started(
    struct out *out, uint64_t entry, uint64_t seq, enum wire_reason reason);
/* The entry acknowledged the results up to and including this number. */
void out_ack(struct out *out, uint64_t entry, uint64_t number);

/* From now on, starts with an unrecorded seq below next_seq are refused. */
void out_seal(struct out *out, uint64_t entry, uint64_t next_seq);
/*
 * Returns the state of a seq; an unseen one can't start any more.  For an entry
 * that never connected, or whose records were dropped, the state is
 * WIRE_STATE_RUNNING: the seq can't be sealed, and its start may have been
 * accepted before the records were dropped.
 */
enum wire_state out_state(struct out *out, uint64_t entry, uint64_t seq);

/*
 * Fills args with the next results not yet sent on the open connection: at
 * least one, and further ones up to max_bytes in all.  Returns false if there
 * are none.  The caller frees the array with g_free(); out owns its contents.
 */
bool out_batch(struct out *out, uint64_t entry, size_t max_bytes,
    struct wire_results_args *args);

/* Returns the number of unfinished starts and unacknowledged results. */
size_t out_record_count(const struct out *out, uint64_t entry);
/* Returns the size of the unacknowledged results. */
uint64_t out_bytes(const struct out *out, uint64_t entry);
/* closed_ms is -1 while a connection is open. */
typedef void (*out_entry_fn)(uint64_t entry, int64_t closed_ms, void *ctx);
void out_foreach(const struct out *out, out_entry_fn fn, void *ctx);

#endif
