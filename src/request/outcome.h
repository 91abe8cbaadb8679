#ifndef SP_OUTCOME_H
#define SP_OUTCOME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "connection/wire_xdr.h"

/*
 * Records of the starts that entries sent to this agent, by entry
 * incarnation and seq.  A seq that was accepted once is from then on either
 * recorded or below min_seq, so it is never accepted again.
 */
struct out;

struct out_options {
	uint32_t max_records; /* accepted and not acknowledged, per entry */
	uint64_t max_bytes;   /* unacknowledged answers, per entry */
	uint32_t max_entries; /* incarnations with records */
};

enum out_verdict {
	OUT_ACCEPTED,
	OUT_DUPLICATE, /* recorded before; nothing to do */
	OUT_REFUSED,   /* a NOT_STARTED result was recorded */
	OUT_OVERFLOW   /* no room even for a refusal: close the connection */
};

struct out *out_new(const struct out_options *opts);
void out_free(struct out *out);

/* A connection to this entry incarnation opened or closed. */
void out_connected(struct out *out, uint64_t entry);
void out_disconnected(struct out *out, uint64_t entry, int64_t now_ms);
/* The incarnation ended: forgets it.  Its queued starts must not run. */
void out_forget(struct out *out, uint64_t entry);

enum out_verdict out_start(struct out *out, uint64_t entry, uint64_t seq);
void out_running(struct out *out, uint64_t entry, uint64_t seq);
/* Takes over the contents of result, which is zeroed. */
void out_finish(struct out *out, uint64_t entry, struct wire_result *result);
void out_not_started(
    struct out *out, uint64_t entry, uint64_t seq, enum wire_reason reason);
/* Drops the results up to and including this number. */
void out_ack(struct out *out, uint64_t entry, uint64_t number);

/* Refuses from now on every unrecorded seq below next_seq. */
void out_seal(struct out *out, uint64_t entry, uint64_t next_seq);
/* State of a seq after out_seal(). */
enum wire_state out_state(struct out *out, uint64_t entry, uint64_t seq);

/*
 * Fills args with the next results that this connection has not carried, at
 * most max_bytes of them but at least one; false when there are none.  The
 * array is freed with g_free(), its contents stay with out.
 */
bool out_batch(struct out *out, uint64_t entry, size_t max_bytes,
    struct wire_results_args *args);

/* Starts not finished and results not acknowledged. */
size_t out_record_count(const struct out *out, uint64_t entry);
uint64_t out_bytes(const struct out *out, uint64_t entry);
/* closed_ms is -1 while a connection is open. */
typedef void (*out_entry_fn)(uint64_t entry, int64_t closed_ms, void *ctx);
void out_foreach(const struct out *out, out_entry_fn fn, void *ctx);

#endif
