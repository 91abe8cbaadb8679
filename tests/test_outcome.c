#include <stdlib.h>
#include <string.h>

#include "request/outcome.h"
#include "runner.h"

#define MAX_RECORDS 4
#define MAX_BYTES   4096

static const char *const outcomes[] = {"done", "not_started", "unknown"};
static const char *const states[] = {"unseen", "queued", "running", "done"};
static const char *const verdicts[] = {
    "accepted", "duplicate", "refused", "overflow"};

static void *
start(void)
{
	struct out_options opts = {MAX_RECORDS, MAX_BYTES, 2};

	return out_new(&opts);
}

static void
end(void *ctx)
{
	out_free(ctx);
}

static void
finish(struct out *out, uint64_t entry, uint64_t seq, size_t bytes)
{
	struct wire_result result = {.seq = seq, .status = 200};

	if (bytes > 0) {
		result.body.wire_payload_val = calloc(1, bytes);
		result.body.wire_payload_len = bytes;
	}
	out_finish(out, entry, &result);
}

static void
batch(struct out *out, uint64_t entry, size_t max_bytes, GString *actual)
{
	struct wire_results_args args;
	u_int i;

	if (!out_batch(out, entry, max_bytes, &args)) {
		g_string_append(actual, "none");
		return;
	}
	g_string_append_printf(actual, "%d:", (int)args.first_result);
	for (i = 0; i < args.results.results_len; i++) {
		struct wire_result *r = &args.results.results_val[i];

		g_string_append_printf(
		    actual, " %d-%s", (int)r->seq, outcomes[r->outcome]);
		if (r->reason != WIRE_REASON_NONE)
			g_string_append_printf(actual, "-%d", r->reason);
	}
	g_free(args.results.results_val);
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct out *out = ctx;
	uint64_t entry = strtoull(words[1], NULL, 10);
	uint64_t n = words[2] == NULL ? 0 : strtoull(words[2], NULL, 10);
	const char *command = words[0];

	if (strcmp(command, "open") == 0)
		out_connected(out, entry);
	else if (strcmp(command, "close") == 0)
		out_disconnected(out, entry, (int64_t)n);
	else if (strcmp(command, "gone") == 0)
		out_forget(out, entry);
	else if (strcmp(command, "start") == 0)
		g_string_append(actual, verdicts[out_start(out, entry, n)]);
	else if (strcmp(command, "running") == 0)
		out_running(out, entry, n);
	else if (strcmp(command, "done") == 0)
		finish(out, entry, n,
		    words[3] == NULL ? 0 : strtoul(words[3], NULL, 10));
	else if (strcmp(command, "return") == 0)
		out_not_started(out, entry, n, WIRE_REASON_WITHDRAWN);
	else if (strcmp(command, "ack") == 0)
		out_ack(out, entry, n);
	else if (strcmp(command, "seal") == 0)
		out_seal(out, entry, n);
	else if (strcmp(command, "state") == 0)
		g_string_append(actual, states[out_state(out, entry, n)]);
	else if (strcmp(command, "batch") == 0)
		batch(out, entry, n == 0 ? MAX_BYTES : n, actual);
	else if (strcmp(command, "records") == 0)
		g_string_append_printf(
		    actual, "%zu", out_record_count(out, entry));
	else
		ck_abort_msg("command %s", command);
}

/*
 * Guards against a second start of a seq under any interleaving: random
 * deliveries, duplicates, lost connections, acknowledgements and seals.  A
 * seq that was reported as not started or unseen must not have run.
 */
START_TEST(random_interleavings)
{
	enum { SEQS = 400, STEPS = 4000, ROUNDS = 200 };
	struct out_options opts = {8, MAX_BYTES, 1};
	GRand *rand = g_rand_new_with_seed(1);
	int round, i;

	for (round = 0; round < ROUNDS; round++) {
		char accepted[SEQS + 1] = {0}, denied[SEQS + 1] = {0};
		char settled[SEQS + 1] = {0};
		struct out *out = out_new(&opts);
		struct wire_results_args args;
		uint64_t next = 1, seq, highest = 0;
		u_int j;

		out_connected(out, 1);
		for (i = 0; i < STEPS; i++) {
			seq =
			    (uint64_t)g_rand_int_range(rand, 1, (int)next + 1);
			switch (g_rand_int_range(rand, 0, 8)) {
			case 0: /* a new start, or a late copy of any */
				if (next < SEQS)
					next++;
				/* FALLTHROUGH */
			case 1:
				if (out_start(out, 1, seq) != OUT_ACCEPTED)
					break;
				ck_assert(!accepted[seq] && !denied[seq]);
				accepted[seq] = 1;
				out_running(out, 1, seq);
				break;
			case 2:
				if (accepted[seq])
					finish(out, 1, seq, 16);
				break;
			case 3:
				if (!out_batch(out, 1, MAX_BYTES, &args))
					break;
				for (j = 0; j < args.results.results_len; j++) {
					struct wire_result *r =
					    &args.results.results_val[j];

					if (r->outcome == WIRE_NOT_STARTED) {
						ck_assert(!accepted[r->seq] ||
							  settled[r->seq]);
						denied[r->seq] = 1;
					}
					settled[r->seq] = 1;
				}
				highest = args.first_result +
					  args.results.results_len - 1;
				g_free(args.results.results_val);
				break;
			case 4:
				out_ack(out, 1, highest);
				break;
			case 5:
				out_disconnected(out, 1, i);
				out_connected(out, 1);
				break;
			case 6: /* another incarnation pushes this one out */
				if (g_rand_int_range(rand, 0, 10) > 0)
					break;
				out_disconnected(out, 1, i);
				out_connected(out, 2);
				out_disconnected(out, 2, i);
				out_connected(out, 1);
				break;
			default:
				out_seal(out, 1, next);
				if (out_state(out, 1, seq) != WIRE_STATE_UNSEEN)
					break;
				ck_assert(!accepted[seq] || settled[seq]);
				denied[seq] = 1;
			}
		}
		out_free(out);
	}
	g_rand_free(rand);
}
END_TEST

/* A trace fails when a start could happen twice or a result is lost. */
REPLAY_MAIN("outcome", 0, start, end, step, random_interleavings)
