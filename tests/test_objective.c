#include "request/objective.h"
#include "runner.h"

/* A job that arrived at 0, with an objective of 200 ms and tasks of 60 ms. */
static const struct obj_job timely = {
    .start_by_ms = 140, .objective_by_ms = 200, .remaining_ms = 60};

/*
 * Load: a burst beyond the capacity of the fleet.  Guards against late jobs that
 * delay timely ones, and against jobs that turn late a moment too soon.
 */
START_TEST(late_jobs_come_after_timely_ones)
{
	struct obj_job begun = timely;

	begun.sent = true;
	ck_assert_int_eq(obj_turn_of(&timely, 140), OBJ_TIMELY);
	ck_assert_int_eq(obj_turn_of(&timely, 141), OBJ_LATE);
	ck_assert_int_eq(obj_turn_of(&begun, 141), OBJ_TIMELY);
	ck_assert_int_lt(OBJ_TIMELY, OBJ_LATE);
	ck_assert_int_eq(obj_turn_in_priority(&timely, 140), OBJ_TIMELY);
	ck_assert_int_eq(obj_turn_in_priority(&timely, 141), OBJ_LATE);
	ck_assert_int_eq(obj_turn_in_priority(&begun, 141), OBJ_TIMELY);
}
END_TEST

/* Guards against a suspected job that is placed before harmless ones. */
START_TEST(suspected_jobs_come_last)
{
	struct obj_job suspected = timely;

	suspected.suspected = suspected.sent = true;
	ck_assert_int_eq(obj_turn_of(&suspected, 0), OBJ_SUSPECTED);
	ck_assert_int_eq(obj_turn_in_priority(&suspected, 0), OBJ_SUSPECTED);
}
END_TEST

/*
 * Failure: estimates that are wrong.  One far too long makes the job late at
 * once and none too short keeps it timely after its objective.
 */
START_TEST(wrong_estimates_do_not_outlast_the_objective)
{
	struct obj_job job = timely;

	job.remaining_ms = 100000;
	ck_assert_int_eq(obj_turn_of(&job, 0), OBJ_LATE);
	job.remaining_ms = 0;
	ck_assert_int_eq(obj_turn_of(&job, 200), OBJ_TIMELY);
	ck_assert_int_eq(obj_turn_of(&job, 201), OBJ_LATE);
}
END_TEST

/* Guards against counting a job as overtaken by one of a higher priority. */
START_TEST(rank_is_by_priority_then_by_arrival)
{
	struct obj_rank first = {0, 20}, second = {1, 10}, third = {1, 20};

	ck_assert(obj_precedes(&first, &second));
	ck_assert(obj_precedes(&second, &third));
	ck_assert(!obj_precedes(&third, &second));
	ck_assert(!obj_precedes(&third, &third));
}
END_TEST

TEST_MAIN("objective", 0, late_jobs_come_after_timely_ones,
    suspected_jobs_come_last, wrong_estimates_do_not_outlast_the_objective,
    rank_is_by_priority_then_by_arrival)
