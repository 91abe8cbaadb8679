#include <glib.h>
#include <string.h>

#include "harness.h"
#include "runner.h"
#include "store_process.h"

/* The commands are listed in tests/cases/etcd.txt. */

static struct store *store;
static struct status last;
static int64_t last_number, kept_number; /* revision or lease */
static char *data;
static size_t n_values, n_total;
static int done;

static void
on_read(const struct status *st, const struct store_value *values, size_t n,
    size_t total, void *ctx)
{
	(void)ctx;
	last = *st;
	n_values = n;
	n_total = total;
	g_free(data);
	data = n > 0 ? g_strndup(values[0].data, values[0].len) : NULL;
	if (n > 0)
		last_number = values[0].mod_revision;
	done++;
}

static void
on_write(const struct status *st, int64_t mod_revision, void *ctx)
{
	(void)ctx;
	last = *st;
	last_number = mod_revision;
	done++;
}

static void
on_lease(const struct status *st, int64_t lease, int64_t ttl_s, void *ctx)
{
	(void)ttl_s;
	on_write(st, lease, ctx);
}

static void *
start(void)
{
	store = store_process_open(300);
	return store;
}

static void
end(void *ctx)
{
	store_process_close(ctx);
}

static int64_t
parse_number(const char *word)
{
	if (strcmp(word, "last") == 0)
		return last_number;
	if (strcmp(word, "kept") == 0)
		return kept_number;
	return strcmp(word, "kept+1") == 0 ? kept_number + 1 : atoi(word);
}

/*
 * Runs a command that calls the store; returns false if it is another command.
 */
static bool
run_store_command(char **words)
{
	const struct store_ops *ops = store->ops;
	const char *key = words[1];

	if (strcmp(words[0], "read") == 0)
		ops->read(store, key, parse_number(words[2]), on_read, NULL);
	else if (strcmp(words[0], "prefix") == 0)
		ops->read_prefix(store, key, on_read, NULL);
	else if (strcmp(words[0], "swap") == 0)
		ops->compare_and_swap(store, key, parse_number(words[2]),
		    words[3], strlen(words[3]), on_write, NULL);
	else if (strcmp(words[0], "put") == 0)
		ops->put(store, key, words[3], strlen(words[3]),
		    parse_number(words[2]), on_write, NULL);
	else if (strcmp(words[0], "grant") == 0)
		ops->grant(store, parse_number(key), on_lease, NULL);
	else if (strcmp(words[0], "keepalive") == 0)
		ops->keepalive(store, parse_number(key), on_lease, NULL);
	else
		return false;
	return true;
}

static void
step(void *ctx, char **words, GString *actual)
{
	(void)ctx;
	done = 0;
	n_values = n_total = 0;
	if (run_store_command(words)) {
		ck_assert(hn_wait_until(done > 0, 5000));
		ck_assert_int_eq(done, 1);
		g_string_append(actual, st_name(last.code));
		if (n_total > 0)
			g_string_append_printf(
			    actual, " %zu of %zu", n_values, n_total);
		if (n_values > 0)
			g_string_append_printf(actual, ": %s", data);
	} else if (strcmp(words[0], "keep") == 0) {
		kept_number = last_number;
	} else if (strcmp(words[0], "same") == 0) {
		ck_assert_int_gt(kept_number, 0);
		ck_assert_int_eq(last_number, kept_number);
	} else if (strcmp(words[0], "store") == 0) {
		store_process_control(words[1]);
	} else if (strcmp(words[0], "sleep") == 0) {
		hn_sleep(atoi(words[1]));
	} else {
		ck_abort_msg("command %s", words[0]);
	}
}

/*
 * Guards against a callback after cancel(), when its context may be freed
 * already.
 */
START_TEST(cancelled_call_runs_no_callback)
{
	int ctx = 0;

	start();
	done = 0;
	store->ops->read(store, "k", 0, on_read, &ctx);
	store->ops->cancel(store, &ctx);
	hn_sleep(200);
	ck_assert_int_eq(done, 0);
	end(store);
}
END_TEST

REPLAY_MAIN("etcd", 0, start, end, step, cancelled_call_runs_no_callback)
