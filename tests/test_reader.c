#include <glib.h>
#include <string.h>

#include "harness.h"
#include "process/clock.h"
#include "process/log.h"
#include "runner.h"
#include "store_process.h"
#include "version/reader.h"

static struct store *store;
static struct fresh *fresh;
static struct rdr *rdr;
static bool written;

static void
on_put(const struct status *st, int64_t mod_revision, void *ctx)
{
	(void)mod_revision;
	(void)ctx;
	ck_assert_int_eq(st->code, ST_OK);
	written = true;
}

static void
put(const char *document)
{
	written = false;
	store->ops->put(store, STORE_CONFIG_KEY, document, strlen(document), 0,
	    on_put, NULL);
	ck_assert(hn_wait_until(written, 2000));
}

static void
put_version(uint64_t version)
{
	struct cfg_parts parts = {.version = version,
	    .change_id = "c",
	    .text = "{\"failure_domains\": [], \"services\": []}"};
	char *document = cfg_write(&parts);

	put(document);
	g_free(document);
}

static void
setup(void)
{
	struct rdr_options rdr_opts = {.poll_ms = 50};

	log_open("test", LOG_EMERG);
	store = store_process_open(1000);
	fresh = fresh_new(300);
	rdr_opts.store = store;
	rdr_opts.fresh = fresh;
	put_version(5);
	rdr = rdr_new(&rdr_opts);
	ck_assert(hn_wait_until(fresh_version(fresh) == 5, 2000));
}

static void
teardown(void)
{
	rdr_free(rdr);
	fresh_free(fresh);
	store_process_close(store);
}

static bool
await_age_below(int64_t limit_ms, int64_t timeout_ms)
{
	return hn_wait_until(fresh_age_ms(fresh, clk_now_ms()) >= 0 &&
				 fresh_age_ms(fresh, clk_now_ms()) < limit_ms,
	    timeout_ms);
}

/*
 * Guards against an age that counts from the answer to a read: the store may
 * have evaluated the read right after it was sent, so the age must be at least
 * the time that the read took.
 */
START_TEST(age_counts_from_the_send)
{
	setup();
	ck_assert(await_age_below(100, 1000));
	store_process_control("slow?ms=150");
	hn_sleep(400);
	ck_assert(!await_age_below(100, 600));
	ck_assert(await_age_below(250, 600));
	teardown();
}
END_TEST

/*
 * Guards against a configuration that is changed or confirmed by a store that
 * returns an older version, a malformed document or no key.  A valid document
 * with a higher version must be adopted afterwards.
 */
START_TEST(invalid_store_data_confirms_nothing)
{
	const char *bad[] = {"older", "nonsense", "removed"};
	uint64_t version = 5;
	size_t i;

	setup();
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		if (i == 0)
			put_version(version - 1);
		else if (i == 1)
			put("{\"version\": 99}");
		else
			store->ops->remove(
			    store, STORE_CONFIG_KEY, on_put, NULL);
		hn_sleep(500);
		ck_assert_msg(fresh_version(fresh) == version, "%s", bad[i]);
		ck_assert_msg(
		    !fresh_is_current(fresh, clk_now_ms()), "%s", bad[i]);
		put_version(++version);
		ck_assert(hn_wait_until(fresh_version(fresh) == version, 1000));
		ck_assert(fresh_is_current(fresh, clk_now_ms()));
	}
	teardown();
}
END_TEST

TEST_MAIN(
    "reader", 0, age_counts_from_the_send, invalid_store_data_confirms_nothing)
