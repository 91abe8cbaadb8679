#include <glib.h>
#include <string.h>

#include "harness.h"
#include "process/clock.h"
#include "runner.h"
#include "store_process.h"
#include "version/members.h"

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
start_member(uint64_t incarnation, const char *name)
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
	store = store_process_open(300);
	mems[0] = start_member(1, "e1");
	mems[1] = start_member(2, "e2");
}

static void
teardown(void)
{
	mem_free(mems[0]);
	mem_free(mems[1]);
	store_process_close(store);
}

static bool
await_list_size(const struct mem *mem, size_t n)
{
	size_t seen;

	return hn_wait_until((mem_list(mem, &seen), seen == n), 5000);
}

/*
 * Guards against entries that see different lists, and against a changed list
 * with the same digest.
 */
START_TEST(entries_find_each_other)
{
	uint64_t digest;

	setup();
	ck_assert(await_list_size(mems[0], 2) && await_list_size(mems[1], 2));
	ck_assert(mem_digest(mems[0]) == mem_digest(mems[1]));
	ck_assert_str_eq(mem_find(mems[0], 2)->name, "e2");
	ck_assert_ptr_null(mem_find(mems[0], 3));
	digest = mem_digest(mems[0]);
	mems[2] = start_member(3, "e3");
	ck_assert(await_list_size(mems[0], 3));
	ck_assert(digest != mem_digest(mems[0]));
	mem_free(mems[2]);
	teardown();
}
END_TEST

static void
on_deregistered(void *ctx)
{
	(*(int *)ctx)++;
}

/*
 * An entry that deregisters must leave the list at once, a killed one when its
 * lease expires.  Neither may count as certainly deregistered before a live
 * entry would have registered again.
 */
START_TEST(leaving_and_killed_entries)
{
	int deregistered = 0;

	setup();
	ck_assert(await_list_size(mems[0], 2) && await_list_size(mems[1], 2));
	mem_deregister(mems[1], on_deregistered, &deregistered);
	ck_assert(hn_wait_until(deregistered > 0, 1000));
	ck_assert_int_eq(deregistered, 1);
	ck_assert(await_list_size(mems[0], 1));
	ck_assert(!mem_is_deregistered(mems[0], 2, clk_now_ms()));
	mems[2] = start_member(3, "e3");
	ck_assert(await_list_size(mems[0], 2));
	mem_free(mems[2]);
	ck_assert(await_list_size(mems[0], 1));
	hn_sleep(2600);
	ck_assert(mem_is_deregistered(mems[0], 2, clk_now_ms()));
	ck_assert(!mem_is_deregistered(mems[0], 1, clk_now_ms()));
	teardown();
}
END_TEST

/*
 * A live entry that lost its lease must register again under the same
 * incarnation, and must not count as certainly deregistered meanwhile.
 */
START_TEST(entry_registers_again_after_lost_lease)
{
	setup();
	ck_assert(await_list_size(mems[0], 2) && await_list_size(mems[1], 2));
	changes = 0;
	store_process_control("expire");
	ck_assert(await_list_size(mems[0], 0));
	ck_assert(!mem_is_deregistered(mems[0], 2, clk_now_ms()));
	ck_assert(hn_wait_until(changes >= 2 && mem_is_registered(mems[0]) &&
				    mem_is_registered(mems[1]) &&
				    mem_find(mems[0], 1) != NULL &&
				    mem_find(mems[0], 2) != NULL,
	    3000));
	teardown();
}
END_TEST

/*
 * While the store does not answer, the last list must be kept and no entry may
 * count as certainly deregistered.
 */
START_TEST(list_survives_an_outage)
{
	setup();
	ck_assert(await_list_size(mems[0], 2));
	store_process_control("outage?mode=hang");
	hn_sleep(2000);
	ck_assert(await_list_size(mems[0], 2));
	ck_assert(!mem_is_deregistered(mems[0], 77, clk_now_ms()));
	store_process_control("outage?mode=off");
	changes = 0;
	hn_sleep(1500);
	ck_assert(await_list_size(mems[0], 2) && mem_is_registered(mems[0]));
	teardown();
}
END_TEST

TEST_MAIN("members", 0, entries_find_each_other, leaving_and_killed_entries,
    entry_registers_again_after_lost_lease, list_survives_an_outage)
