#include <glib.h>
#include <string.h>

#include "process/clock.h"
#include "runner.h"
#include "store_process.h"
#include "version/etcd.h"
#include "version/members.h"

static struct store_process *sp;
static struct store *store;
static struct mem *mems[3];
static int changes;

static void
on_changed(void *ctx)
{
	(void)ctx;
	changes++;
}

static struct mem *
join(uint64_t incarnation, const char *name)
{
	struct mem_options opts = {.store = store,
	    .self = {incarnation, name, "puget", "127.0.0.1:1", "127.0.0.1:2"},
	    .lease_s = 1,
	    .poll_ms = 50,
	    .on_changed = on_changed};

	return mem_new(&opts);
}

static void
setup(void)
{
	struct etcd_options opts = {.timeout_ms = 300};

	sp = store_process_start();
	opts.url = store_process_url(sp);
	store = etcd_new(&opts);
	mems[0] = join(1, "e1");
	mems[1] = join(2, "e2");
}

static void
teardown(void)
{
	mem_free(mems[0]);
	mem_free(mems[1]);
	store->ops->free(store);
	run_for(20);
	store_process_stop(sp);
}

struct wanted {
	const struct mem *mem;
	size_t n;
};

static bool
has_entries(void *ctx)
{
	const struct wanted *wanted = ctx;
	size_t n;

	mem_list(wanted->mem, &n);
	return n == wanted->n;
}

static bool
see(const struct mem *mem, size_t n)
{
	struct wanted wanted = {mem, n};

	return run_until(has_entries, &wanted, 5000);
}

/* Every entry must see the same list, and a changed one must show. */
START_TEST(entries_find_each_other)
{
	uint64_t digest;

	setup();
	ck_assert(see(mems[0], 2) && see(mems[1], 2));
	ck_assert(mem_digest(mems[0]) == mem_digest(mems[1]));
	ck_assert_str_eq(mem_find(mems[0], 2)->name, "e2");
	ck_assert_ptr_null(mem_find(mems[0], 3));
	digest = mem_digest(mems[0]);
	mems[2] = join(3, "e3");
	ck_assert(see(mems[0], 3));
	ck_assert(digest != mem_digest(mems[0]));
	mem_free(mems[2]);
	teardown();
}
END_TEST

static bool
is_left(void *ctx)
{
	return *(int *)ctx > 0;
}

static void
on_left(void *ctx)
{
	(*(int *)ctx)++;
}

/* A leaving entry must vanish at once, a dead one with its lease; only then,
 * and after the time to register again, is it gone. */
START_TEST(leaving_and_dying)
{
	int left = 0;

	setup();
	ck_assert(see(mems[0], 2) && see(mems[1], 2));
	mem_leave(mems[1], on_left, &left);
	ck_assert(run_until(is_left, &left, 1000));
	ck_assert_int_eq(left, 1);
	ck_assert(see(mems[0], 1));
	ck_assert(!mem_is_gone(mems[0], 2, clk_now_ms()));
	mems[2] = join(3, "e3");
	ck_assert(see(mems[0], 2));
	mem_free(mems[2]);
	ck_assert(see(mems[0], 1));
	run_for(2600);
	ck_assert(mem_is_gone(mems[0], 2, clk_now_ms()));
	ck_assert(!mem_is_gone(mems[0], 1, clk_now_ms()));
	teardown();
}
END_TEST

static bool
both_back(void *ctx)
{
	(void)ctx;
	return changes >= 2 && mem_is_registered(mems[0]) &&
	       mem_is_registered(mems[1]) && mem_find(mems[0], 1) != NULL &&
	       mem_find(mems[0], 2) != NULL;
}

/* A live entry whose lease was lost must register again under the same
 * incarnation, and must not be taken for gone meanwhile. */
START_TEST(lost_lease_is_replaced)
{
	setup();
	ck_assert(see(mems[0], 2) && see(mems[1], 2));
	changes = 0;
	store_process_control(sp, "expire");
	ck_assert(see(mems[0], 0));
	ck_assert(!mem_is_gone(mems[0], 2, clk_now_ms()));
	ck_assert(run_until(both_back, NULL, 3000));
	teardown();
}
END_TEST

/* While the store is silent the last list must stay, and nobody is gone. */
START_TEST(list_survives_an_outage)
{
	setup();
	ck_assert(see(mems[0], 2));
	store_process_control(sp, "outage?mode=hang");
	run_for(2000);
	ck_assert(see(mems[0], 2));
	ck_assert(!mem_is_gone(mems[0], 77, clk_now_ms()));
	store_process_control(sp, "outage?mode=off");
	changes = 0;
	run_for(1500);
	ck_assert(see(mems[0], 2) && mem_is_registered(mems[0]));
	teardown();
}
END_TEST

TEST_MAIN("members", 0, entries_find_each_other, leaving_and_dying,
    lost_lease_is_replaced, list_survives_an_outage)
