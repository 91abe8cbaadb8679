#include <glib.h>
#include <string.h>

#include "process/clock.h"
#include "process/log.h"
#include "runner.h"
#include "store_process.h"
#include "version/etcd.h"
#include "version/reader.h"

static struct store_process *sp;
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

static bool
is_written(void *ctx)
{
	(void)ctx;
	return written;
}

static void
put(const char *document)
{
	written = false;
	store->ops->put(store, STORE_CONFIG_KEY, document, strlen(document), 0,
	    on_put, NULL);
	ck_assert(run_until(is_written, NULL, 2000));
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

static bool
holds(void *ctx)
{
	return fresh_version(fresh) == *(uint64_t *)ctx;
}

static void
setup(void)
{
	struct etcd_options opts = {.timeout_ms = 1000};
	struct rdr_options rdr_opts = {.poll_ms = 50};
	uint64_t version = 5;

	log_open("test", LOG_EMERG);
	sp = store_process_start();
	opts.url = store_process_url(sp);
	store = etcd_new(&opts);
	fresh = fresh_new(300);
	rdr_opts.store = store;
	rdr_opts.fresh = fresh;
	put_version(5);
	rdr = rdr_new(&rdr_opts);
	ck_assert(run_until(holds, &version, 2000));
}

static void
teardown(void)
{
	rdr_free(rdr);
	fresh_free(fresh);
	store->ops->free(store);
	run_for(20);
	store_process_stop(sp);
}

static bool
sees_low_age(void *ctx)
{
	int64_t age_ms = fresh_age_ms(fresh, clk_now_ms());

	return age_ms >= 0 && age_ms < *(int64_t *)ctx;
}

/* The store may have answered at any time since the read was sent, so the
 * age must never be less than the time that a read takes. */
START_TEST(age_counts_from_the_send)
{
	int64_t limit_ms = 100;

	setup();
	ck_assert(run_until(sees_low_age, &limit_ms, 1000));
	store_process_control(sp, "slow?ms=150");
	run_for(400);
	ck_assert(!run_until(sees_low_age, &limit_ms, 600));
	limit_ms = 250;
	ck_assert(run_until(sees_low_age, &limit_ms, 600));
	teardown();
}
END_TEST

/* A store that went back, lost the key or holds nonsense must neither change
 * nor confirm the configuration; a later version must heal it. */
START_TEST(bad_store_confirms_nothing)
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
		run_for(500);
		ck_assert_msg(fresh_version(fresh) == version, "%s", bad[i]);
		ck_assert_msg(
		    !fresh_is_current(fresh, clk_now_ms()), "%s", bad[i]);
		put_version(++version);
		ck_assert(run_until(holds, &version, 1000));
		ck_assert(fresh_is_current(fresh, clk_now_ms()));
	}
	teardown();
}
END_TEST

TEST_MAIN("reader", 0, age_counts_from_the_send, bad_store_confirms_nothing)
