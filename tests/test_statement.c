#include <string.h>

#include "connection/statement.h"
#include "runner.h"

static const char *const labels[] = {"a", "r1"};
static const struct wp_worker worker = {
    .instance = "i-1",
    .born_ms = 7,
    .clock_ms = 5,
    .service = "desk",
    .address = "127.0.0.1:80",
    .failure_domain = "z",
    .draining = true,
    .capacity = {1, 2, 3},
    .labels = labels,
    .n_labels = 2,
};

/* A restarted agent must get back what the former process has told. */
START_TEST(worker_is_unchanged_on_the_way)
{
	struct wp_worker back;
	run_statement wire;

	stm_to_wire(&worker, &wire);
	ck_assert(stm_from_wire(&wire, &back));
	ck_assert(wp_worker_serves_as(&worker, &back));
	ck_assert_str_eq(back.instance, worker.instance);
	ck_assert_str_eq(back.address, worker.address);
	ck_assert_uint_eq(back.born_ms, worker.born_ms);
	ck_assert_int_eq(back.clock_ms, worker.clock_ms);
}
END_TEST

/* An agent without a worker says so with empty strings, not with none. */
START_TEST(no_worker_is_encoded)
{
	struct wp_worker none = {.clock_ms = -1}, back;
	run_statement wire;

	stm_to_wire(&none, &wire);
	ck_assert_str_eq(wire.instance, "");
	ck_assert_str_eq(wire.service, "");
	ck_assert(!stm_from_wire(&wire, &back));
}
END_TEST

/* Values out of range would overflow, or name a worker that can't be. */
START_TEST(values_out_of_range_name_no_worker)
{
	struct wp_worker back;
	run_statement wire;

#define REFUSES(change)                                                        \
	do {                                                                   \
		stm_to_wire(&worker, &wire);                                   \
		change;                                                        \
		ck_assert_msg(!stm_from_wire(&wire, &back), #change);          \
	} while (0)
	REFUSES(wire.incarnation = 0);
	REFUSES(wire.incarnation = (uint64_t)WP_BORN_MAX_MS + 1);
	REFUSES(wire.stated_ms = -1);
	REFUSES(wire.stated_ms = WP_COUNT_MAX + 1);
	REFUSES(wire.instance = (char *)"a b");
	REFUSES(wire.instance = (char *)"");
	REFUSES(wire.address = (char *)"127.0.0.1");
	REFUSES(wire.service = (char *)"");
	REFUSES(wire.failure_domain = (char *)"");
	REFUSES(wire.capacity.cpu_milli = -1);
	REFUSES(wire.capacity.memory_mb = WP_SIZE_MAX + 1);
	REFUSES(wire.capacity.gpus = INT64_MIN);
#undef REFUSES
}
END_TEST

TEST_MAIN("statement", 0, worker_is_unchanged_on_the_way, no_worker_is_encoded,
    values_out_of_range_name_no_worker)
