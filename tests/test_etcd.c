#include <glib.h>
#include <string.h>

#include "process/clock.h"
#include "runner.h"
#include "store_process.h"
#include "version/etcd.h"

static struct store_process *sp;
static struct store *store;
static struct status last;
static int64_t number;
static char *data;
static size_t n_values, n_total;
static int done;

static bool
is_done(void *ctx)
{
	return done >= *(int *)ctx;
}

static enum st_code
wait_for(int calls)
{
	ck_assert(run_until(is_done, &calls, 5000));
	return last.code;
}

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
		number = values[0].mod_revision;
	done++;
}

static void
on_write(const struct status *st, int64_t mod_revision, void *ctx)
{
	(void)ctx;
	last = *st;
	number = mod_revision;
	done++;
}

static void
on_lease(const struct status *st, int64_t lease, int64_t ttl_s, void *ctx)
{
	(void)ttl_s;
	(void)ctx;
	last = *st;
	number = lease;
	done++;
}

static enum st_code
read_key(const char *key, int64_t min_mod_revision)
{
	done = 0;
	store->ops->read(store, key, min_mod_revision, on_read, NULL);
	return wait_for(1);
}

static enum st_code
swap(const char *key, int64_t mod_revision, const char *value)
{
	done = 0;
	store->ops->swap(
	    store, key, mod_revision, value, strlen(value), on_write, NULL);
	return wait_for(1);
}

static void
setup(void)
{
	struct etcd_options opts = {.timeout_ms = 300};

	sp = store_process_start();
	opts.url = store_process_url(sp);
	store = etcd_new(&opts);
}

static void
teardown(void)
{
	store->ops->free(store);
	run_for(20);
	store_process_stop(sp);
}

/* Of two writes for one revision only one may win; an unchanged key must be
 * told from a missing one. */
START_TEST(swap_and_read)
{
	int64_t first;

	setup();
	ck_assert_int_eq(read_key("k", 1), ST_OK);
	ck_assert_uint_eq(n_total, 0);
	ck_assert_int_eq(swap("k", 0, "one"), ST_OK);
	first = number;
	ck_assert_int_gt(first, 0);
	ck_assert_int_eq(swap("k", 0, "two"), ST_CONFLICT);
	ck_assert_int_eq(read_key("k", 0), ST_OK);
	ck_assert_str_eq(data, "one");
	ck_assert_int_eq(number, first);
	ck_assert_int_eq(read_key("k", first + 1), ST_OK);
	ck_assert_uint_eq(n_values, 0);
	ck_assert_uint_eq(n_total, 1);
	ck_assert_int_eq(swap("k", first, "two"), ST_OK);
	ck_assert_int_eq(read_key("k", first + 1), ST_OK);
	ck_assert_str_eq(data, "two");
	teardown();
}
END_TEST

/* A write whose reply is lost took effect, so it must not look refused. */
START_TEST(lost_reply_is_unknown)
{
	setup();
	store_process_control(sp, "drop?writes=1");
	ck_assert_int_eq(swap("k", 0, "one"), ST_UNKNOWN);
	ck_assert_int_eq(read_key("k", 0), ST_OK);
	ck_assert_str_eq(data, "one");
	teardown();
}
END_TEST

/* An outage must end each call in time, and the store must be used again
 * after it, also when its connections went silent. */
START_TEST(outages)
{
	setup();
	ck_assert_int_eq(swap("k", 0, "one"), ST_OK);
	store_process_control(sp, "outage?mode=hang");
	ck_assert_int_eq(read_key("k", 0), ST_TIMEOUT);
	ck_assert_int_eq(swap("k", number, "two"), ST_UNKNOWN);
	store_process_control(sp, "outage?mode=off");
	ck_assert_int_eq(read_key("k", 0), ST_OK);
	ck_assert_str_eq(data, "one");
	store_process_control(sp, "outage?mode=refuse");
	run_for(50);
	ck_assert_int_eq(read_key("k", 0), ST_UNAVAILABLE);
	ck_assert_int_eq(swap("k", number, "two"), ST_UNAVAILABLE);
	store_process_control(sp, "outage?mode=off");
	ck_assert_int_eq(read_key("k", 0), ST_OK);
	store_process_control(sp, "slow?ms=200");
	ck_assert_int_eq(read_key("k", 0), ST_OK);
	store_process_control(sp, "slow?ms=1000");
	ck_assert_int_eq(read_key("k", 0), ST_TIMEOUT);
	teardown();
}
END_TEST

/* A key under a lease must go with it, and a lost lease must be noticed. */
START_TEST(leases)
{
	int64_t lease;

	setup();
	done = 0;
	store->ops->grant(store, 1, on_lease, NULL);
	ck_assert_int_eq(wait_for(1), ST_OK);
	lease = number;
	store->ops->put(store, "p/a", "x", 1, lease, on_write, NULL);
	ck_assert_int_eq(wait_for(2), ST_OK);
	store->ops->read_prefix(store, "p/", on_read, NULL);
	ck_assert_int_eq(wait_for(3), ST_OK);
	ck_assert_uint_eq(n_values, 1);
	store->ops->keepalive(store, lease, on_lease, NULL);
	ck_assert_int_eq(wait_for(4), ST_OK);
	run_for(1500);
	store->ops->keepalive(store, lease, on_lease, NULL);
	ck_assert_int_eq(wait_for(5), ST_NOT_FOUND);
	store->ops->put(store, "p/a", "x", 1, lease, on_write, NULL);
	ck_assert_int_eq(wait_for(6), ST_NOT_FOUND);
	store->ops->read_prefix(store, "p/", on_read, NULL);
	ck_assert_int_eq(wait_for(7), ST_OK);
	ck_assert_uint_eq(n_values, 0);
	teardown();
}
END_TEST

/* After a cancellation the owner may be gone, so no callback may run. */
START_TEST(cancelled_call_is_silent)
{
	int ctx = 0;

	setup();
	done = 0;
	store->ops->read(store, "k", 0, on_read, &ctx);
	store->ops->cancel(store, &ctx);
	run_for(200);
	ck_assert_int_eq(done, 0);
	teardown();
}
END_TEST

TEST_MAIN("etcd", 0, swap_and_read, lost_reply_is_unknown, outages, leases,
    cancelled_call_is_silent)
