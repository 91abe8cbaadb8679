#include <glib.h>

#include "connection/intake.h"
#include "runner.h"

#define MAX_CONNS	 8
#define MAX_BYTES	 ((uint64_t)1000)
#define MAX_WHOLE_BYTES	 ((uint64_t)100000)
#define LARGE_BYTES	 ((uint64_t)30000) /* twice that when it is whole */
#define MAX_UNSENT_BYTES ((uint64_t)1000)
#define STALLED_MS	 200 /* after the last input */
#define RANDOM_ENDS	 40
#define RANDOM_OPS	 200000

/* One end of a connection; why: ITK_N_REASONS while it is not to be closed. */
struct end {
	struct itk_conn *conn;
	enum itk_reason why;
	bool stays;
	uint64_t unsent; /* what a look at the connection shows */
};

static struct end ends[RANDOM_ENDS];
static int64_t now_ms;

static bool
on_close(void *owner, enum itk_reason why, void *ctx)
{
	struct end *end = owner;

	(void)ctx;
	if (end->stays)
		return false;
	end->why = why;
	return true;
}

static uint64_t
unsent_bytes(void *owner, void *ctx)
{
	const struct end *end = owner;

	(void)ctx;
	return end->unsent;
}

static struct itk *
new_itk(void)
{
	struct itk_options opts = {
	    .max_connections = MAX_CONNS,
	    .max_incomplete_bytes = MAX_BYTES,
	    .max_whole_bytes = MAX_WHOLE_BYTES,
	    .max_unsent_bytes = MAX_UNSENT_BYTES,
	    .times = {.head_ms = 1000,
		.body_ms = 2000,
		.idle_ms = 3000,
		.send_ms = 4000},
	    .close = on_close,
	    .unsent = unsent_bytes,
	};

	now_ms = 1000;
	return itk_new(&opts);
}

static bool
open_end(struct itk *itk, int i)
{
	ends[i] = (struct end){.why = ITK_N_REASONS};
	ends[i].conn = itk_open(itk, &ends[i], now_ms);
	return ends[i].conn != NULL;
}

static void
receive(int i, uint64_t bytes)
{
	itk_received(ends[i].conn, bytes, now_ms);
	itk_incomplete(ends[i].conn, now_ms);
}

/* Writes bytes to an end that then has so many of all that it was sent. */
static void
send_to(int i, uint64_t bytes, uint64_t unsent)
{
	ends[i].unsent = unsent;
	itk_sent(ends[i].conn, bytes, now_ms);
}

static void
close_all(struct itk *itk)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		if (ends[i].conn != NULL)
			itk_close(ends[i].conn);
		ends[i].conn = NULL;
	}
	ck_assert_uint_eq(itk_n_connections(itk), 0);
	ck_assert_uint_eq(itk_incomplete_bytes(itk), 0);
	ck_assert_uint_eq(itk_whole_bytes(itk), 0);
	ck_assert_uint_eq(itk_unsent_bytes(itk), 0);
	itk_free(itk);
}

/* Returns the only end that is to be closed, -1 if there is none. */
static int
closed_end(enum itk_reason why)
{
	int i, closed = -1;

	for (i = 0; i < RANDOM_ENDS; i++) {
		if (ends[i].conn == NULL || ends[i].why == ITK_N_REASONS)
			continue;
		ck_assert_int_eq(ends[i].why, why);
		ck_assert_int_eq(closed, -1);
		closed = i;
	}
	return closed;
}

/*
 * A small request that is on its way, an earlier large one and a link must
 * outlive a flood; of the flood, the request that began last is closed.
 */
START_TEST(bytes_are_taken_from_latest_large)
{
	struct itk *itk = new_itk();
	int i;

	for (i = 0; i < 6; i++)
		ck_assert(open_end(itk, i));
	itk_make_link(ends[0].conn);
	itk_set_incomplete(ends[0].conn, 300, now_ms);
	receive(1, 200);
	receive(3, 240);
	receive(2, 240);
	receive(4, 10);
	now_ms += STALLED_MS;
	receive(5, 200); /* larger than the others' mean, but not stalled */
	ck_assert_int_eq(closed_end(ITK_BYTES), 2);
	ck_assert_uint_eq(itk_incomplete_bytes(itk), 950);
	close_all(itk);
}
END_TEST

/* One large request among equal ones was closed for all of them. */
START_TEST(flood_of_equal_requests_goes_first)
{
	struct itk *itk = new_itk();
	int i;

	for (i = 0; i < 6; i++) {
		ck_assert(open_end(itk, i));
		receive(i, i < 5 ? 160 : 1);
	}
	now_ms += STALLED_MS;
	receive(5, 250);
	ck_assert_int_eq(closed_end(ITK_BYTES), 4);
	close_all(itk);
}
END_TEST

/* A whole request was counted as if it were incomplete. */
START_TEST(whole_request_does_not_count)
{
	struct itk *itk = new_itk();

	ck_assert(open_end(itk, 0));
	receive(0, 100);
	itk_head_done(ends[0].conn, now_ms);
	receive(0, 800);
	ck_assert_uint_eq(itk_incomplete_bytes(itk), 900);
	itk_received(ends[0].conn, 500, now_ms);
	itk_request_done(ends[0].conn);
	itk_incomplete(ends[0].conn, now_ms);
	ck_assert_uint_eq(itk_incomplete_bytes(itk), 0);
	ck_assert_int_eq(closed_end(ITK_BYTES), -1);
	close_all(itk);
}
END_TEST

/* A body that was only read to answer 413 was counted, and closed before. */
START_TEST(discarded_body_does_not_count)
{
	struct itk *itk = new_itk();

	ck_assert(open_end(itk, 0));
	receive(0, 100);
	itk_head_done(ends[0].conn, now_ms);
	itk_discard(ends[0].conn);
	receive(0, 2 * MAX_BYTES);
	ck_assert_uint_eq(itk_incomplete_bytes(itk), 0);
	itk_next_request(ends[0].conn, now_ms);
	receive(0, 100);
	ck_assert_uint_eq(itk_incomplete_bytes(itk), 100);
	ck_assert_int_eq(closed_end(ITK_BYTES), -1);
	close_all(itk);
}
END_TEST

/*
 * Silent connections must not keep callers out, the first of them goes first;
 * links, and connections that wait for an answer or were just used, stay.
 */
START_TEST(room_is_made_by_silent_connections)
{
	static const int order[] = {4, 5, 3, 2};
	struct itk *itk = new_itk();
	int i;

	for (i = 0; i < MAX_CONNS; i++, now_ms++)
		ck_assert(open_end(itk, i));
	itk_make_link(ends[0].conn);
	itk_request_done(ends[1].conn);
	itk_request_done(ends[2].conn);
	itk_next_request(ends[2].conn, now_ms);
	receive(3, 10);
	now_ms += STALLED_MS;
	receive(6, 10);
	receive(7, 10);
	for (i = 0; i < (int)G_N_ELEMENTS(order); i++) {
		ck_assert_int_eq(ends[order[i]].why, ITK_N_REASONS);
		ck_assert(open_end(itk, MAX_CONNS + i));
		ck_assert_int_eq(ends[order[i]].why, ITK_CONNECTIONS);
	}
	ck_assert(!open_end(itk, 2 * MAX_CONNS));
	ck_assert_uint_eq(itk_n_connections(itk), MAX_CONNS);
	close_all(itk);
}
END_TEST

/* The times have a begin each, and spare links and used connections. */
START_TEST(times_are_bounded)
{
	struct itk *itk = new_itk();
	int i;

	for (i = 0; i < 5; i++)
		ck_assert(open_end(itk, i));
	itk_make_link(ends[0].conn);
	now_ms += 2900; /* idle, but no longer than 3 s */
	itk_tick(itk, now_ms);
	receive(1, 1);
	receive(2, 1);
	itk_head_done(ends[2].conn, now_ms);
	ends[3].stays = true;
	now_ms += 500;
	itk_tick(itk, now_ms);
	ck_assert_int_eq(ends[4].why, ITK_IDLE_TIME);
	now_ms += 600;
	itk_tick(itk, now_ms);
	ck_assert_int_eq(ends[1].why, ITK_HEAD_TIME);
	ck_assert_int_eq(ends[2].why, ITK_N_REASONS);
	now_ms += 1000;
	itk_tick(itk, now_ms);
	ck_assert_int_eq(ends[2].why, ITK_BODY_TIME);
	ck_assert_int_eq(ends[3].why, ITK_N_REASONS);
	ck_assert_int_eq(ends[0].why, ITK_N_REASONS);
	close_all(itk);
}
END_TEST

static void
random_step(struct itk *itk, GRand *rand)
{
	int i = g_rand_int_range(rand, 0, RANDOM_ENDS);
	struct end *end = &ends[i];

	if (end->conn == NULL) {
		open_end(itk, i);
		return;
	}
	switch (g_rand_int_range(rand, 0, 6)) {
	case 0:
		itk_close(end->conn);
		end->conn = NULL;
		break;
	case 1:
		itk_head_done(end->conn, now_ms);
		break;
	case 2:
		itk_request_done(end->conn);
		break;
	case 3:
		itk_next_request(end->conn, now_ms);
		break;
	case 4:
		send_to(i, 300, (uint64_t)g_rand_int_range(rand, 0, 900));
		break;
	default:
		receive(i, (uint64_t)g_rand_int_range(rand, 1, 400));
	}
}

/* Headers count with the memory that they take once they are parsed. */
START_TEST(headers_count_as_parsed)
{
	struct itk *itk = new_itk();
	int i;

	for (i = 0; i < 3; i++)
		open_end(itk, i);
	receive(0, 100);
	itk_received(ends[1].conn, 100, now_ms);
	itk_set_headers(ends[1].conn, 5);
	itk_incomplete(ends[1].conn, now_ms);
	ck_assert_uint_gt(itk_incomplete_bytes(itk), 300);
	itk_received(ends[2].conn, 100, now_ms);
	itk_set_headers(ends[2].conn, 50);
	itk_incomplete(ends[2].conn, now_ms);
	ck_assert_int_eq(closed_end(ITK_BYTES), 2);
	close_all(itk);
}
END_TEST

static bool
complete(struct itk *itk, int i, uint64_t bytes)
{
	open_end(itk, i);
	itk_received(ends[i].conn, bytes, now_ms);
	itk_head_done(ends[i].conn, now_ms);
	return itk_request_done(ends[i].conn);
}

/* A crowd of large whole requests must not keep out small ones. */
START_TEST(large_requests_leave_room)
{
	struct itk *itk = new_itk();

	ck_assert(complete(itk, 0, LARGE_BYTES));
	ck_assert(!complete(itk, 1, LARGE_BYTES));
	ck_assert_uint_le(itk_whole_bytes(itk), 2 * LARGE_BYTES);
	ck_assert(complete(itk, 2, 100));
	/* The one that was refused has another try when the first is answered. */
	itk_next_request(ends[0].conn, now_ms);
	itk_next_request(ends[1].conn, now_ms);
	itk_received(ends[1].conn, LARGE_BYTES, now_ms);
	ck_assert(itk_request_done(ends[1].conn));
	close_all(itk);
}
END_TEST

/* A lone request is served, even if it is above the bound. */
START_TEST(lone_request_is_served)
{
	struct itk *itk = new_itk();

	ck_assert(complete(itk, 0, 2 * MAX_WHOLE_BYTES));
	ck_assert(!complete(itk, 1, 100));
	close_all(itk);
}
END_TEST

/* Once its body is freed, a large request is as small as its head. */
START_TEST(freed_body_does_not_count)
{
	struct itk *itk = new_itk();

	open_end(itk, 0);
	itk_received(ends[0].conn, 100, now_ms);
	itk_head_done(ends[0].conn, now_ms);
	itk_received(ends[0].conn, LARGE_BYTES, now_ms);
	ck_assert(itk_request_done(ends[0].conn));
	itk_body_freed(ends[0].conn);
	ck_assert_uint_lt(itk_whole_bytes(itk), LARGE_BYTES);
	ck_assert(complete(itk, 1, LARGE_BYTES));
	close_all(itk);
}
END_TEST

/* Callers that read are never closed for those that do not. */
START_TEST(unread_answers_are_bounded)
{
	struct itk *itk = new_itk();
	int i;

	for (i = 0; i < 3; i++)
		ck_assert(complete(itk, i, 100));
	for (i = 0; i < 100; i++)
		send_to(0, 900, 0);
	send_to(1, 500, 500);
	send_to(2, 400, 400);
	ck_assert_int_eq(closed_end(ITK_N_REASONS), -1);
	send_to(2, 300, 700);
	ck_assert_int_eq(closed_end(ITK_UNSENT), 2);
	ck_assert_uint_le(itk_unsent_bytes(itk), MAX_UNSENT_BYTES);
	close_all(itk);
}
END_TEST

/* Links between processes are closed only when callers are not enough. */
START_TEST(links_are_closed_last)
{
	struct itk *itk = new_itk();

	ck_assert(complete(itk, 0, 100));
	open_end(itk, 1);
	itk_make_link(ends[1].conn);
	itk_set_queue(ends[1].conn, 900);
	send_to(0, 200, 200);
	ck_assert_int_eq(closed_end(ITK_UNSENT), 0);
	ck_assert_uint_eq(itk_unsent_bytes(itk), 900);
	ends[0].why = ITK_N_REASONS;
	itk_set_queue(ends[1].conn, MAX_UNSENT_BYTES + 1);
	ck_assert_int_eq(closed_end(ITK_UNSENT), 1);
	close_all(itk);
}
END_TEST

/*
 * An answer of which nothing is taken ends; a job that waits does not, also after
 * a 100 Continue.
 */
START_TEST(unread_answer_has_time)
{
	struct itk *itk = new_itk();

	ck_assert(complete(itk, 0, 100));
	open_end(itk, 1);
	itk_received(ends[1].conn, 100, now_ms);
	itk_head_done(ends[1].conn, now_ms);
	send_to(1, 25, 0);
	ck_assert(itk_request_done(ends[1].conn));
	send_to(0, 10, 10);
	now_ms += 4000;
	itk_tick(itk, now_ms);
	ck_assert_int_eq(closed_end(ITK_N_REASONS), -1);
	now_ms++;
	itk_tick(itk, now_ms);
	ck_assert_int_eq(closed_end(ITK_SEND_TIME), 0);
	close_all(itk);
}
END_TEST

/* Whatever the order of events, the bounds hold after each. */
START_TEST(bounds_hold_in_any_order)
{
	struct itk *itk = new_itk();
	GRand *rand = g_rand_new_with_seed(1);
	int n;

	for (n = 0; n < RANDOM_OPS; n++) {
		now_ms += g_rand_int_range(rand, 0, 40);
		random_step(itk, rand);
		itk_tick(itk, now_ms);
		ck_assert_uint_le(itk_n_connections(itk), MAX_CONNS);
		ck_assert_uint_le(itk_incomplete_bytes(itk), MAX_BYTES);
		ck_assert_uint_le(itk_unsent_bytes(itk), MAX_UNSENT_BYTES);
		ck_assert_uint_le(itk_whole_bytes(itk), MAX_WHOLE_BYTES);
	}
	g_rand_free(rand);
	close_all(itk);
}
END_TEST

TEST_MAIN("intake", 0, bytes_are_taken_from_latest_large,
    flood_of_equal_requests_goes_first, whole_request_does_not_count,
    discarded_body_does_not_count, headers_count_as_parsed,
    large_requests_leave_room, lone_request_is_served,
    freed_body_does_not_count, unread_answers_are_bounded,
    links_are_closed_last, unread_answer_has_time,
    room_is_made_by_silent_connections, times_are_bounded,
    bounds_hold_in_any_order)
