#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/cancelled.h"
#include "runner.h"

#define MAX_READ 100
#define MAX_JOBS 1000

static void *
start(void)
{
	return ccl_new(MAX_JOBS);
}

static void
end(void *ctx)
{
	ccl_free(ctx);
}

static void
read_rows(const struct ccl *ccl, uint64_t position, GString *actual)
{
	struct ccl_row rows[MAX_READ];
	size_t i, n = ccl_read(ccl, &position, rows, MAX_READ);

	for (i = 0; i < n; i++)
		g_string_append_printf(
		    actual, "%d@%d ", (int)rows[i].key, (int)rows[i].since_ms);
	g_string_append_printf(actual, "to:%d", (int)position);
}

static void
step(void *ctx, char **w, GString *actual)
{
	int64_t now_ms = atoi(w[1]);
	int i;

	if (strcmp(w[0], "add") == 0) {
		int64_t since_ms = w[3] == NULL ? now_ms : atoi(w[3]);

		g_string_append(actual,
		    ccl_add(ctx, strtoull(w[2], NULL, 10), since_ms, now_ms)
			? "new"
			: "known");
	} else if (strcmp(w[0], "has") == 0) {
		g_string_append(actual,
		    ccl_has(ctx, strtoull(w[2], NULL, 10), now_ms) ? "yes"
								   : "no");
	} else if (strcmp(w[0], "full") == 0) {
		g_string_append(
		    actual, ccl_is_full(ctx, now_ms) ? "yes" : "no");
	} else if (strcmp(w[0], "read") == 0) {
		read_rows(ctx, strtoull(w[1], NULL, 10), actual);
	} else if (strcmp(w[0], "fill") == 0) {
		for (i = 0; i < atoi(w[2]); i++)
			ck_assert(
			    ccl_add(ctx, (uint64_t)(1000 + i), now_ms, now_ms));
	} else {
		ck_abort_msg("unknown command %s", w[0]);
	}
}

/*
 * Guards against keys that differ between the requests of one job, or between
 * machines, and against two jobs with one key.
 */
START_TEST(keys_name_host_and_path)
{
	uint64_t key = ccl_key("127.0.0.1", "/q/00000000000000f1");

	ck_assert_uint_eq(key, UINT64_C(17438418662933661494));
	ck_assert_uint_eq(key, ccl_key("127.0.0.1:80", "/q/00000000000000f1"));
	ck_assert_uint_eq(
	    ccl_key("A.example", "/q/1"), ccl_key("a.EXAMPLE", "/q/1"));
	ck_assert_uint_eq(ccl_key(NULL, "/q/1"), ccl_key("", "/q/1"));
	ck_assert_uint_ne(ccl_key("a", "/q/1"), ccl_key("a", "/p/1"));
	ck_assert_uint_ne(ccl_key("a", "/q/1"), ccl_key("b", "/q/1"));
	ck_assert_uint_ne(ccl_key("a", "b/1"), ccl_key("ab", "/1"));
}
END_TEST

/*
 * Guards against a cancel that is forgotten before the job's last submission, or
 * remembered without bound, and against a peer that misses one.
 */
REPLAY_MAIN("cancelled", 0, start, end, step, keys_name_host_and_path)
