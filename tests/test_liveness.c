#include "connection/liveness.h"
#include "runner.h"

/* A single lost call must not take a worker out of use. */
START_TEST(lost_call_counts_as_silence_only_after_a_while)
{
	struct lvn lvn = {0};

	lvn_adopt(&lvn, 1000);
	ck_assert(!lvn_is_unanswered(&lvn));
	lvn_missed(&lvn, 1010, 1040);
	lvn_missed(&lvn, 1200, 1230);
	ck_assert(lvn_is_unanswered(&lvn));
	ck_assert(!lvn_is_silent(&lvn, 1260));
	ck_assert(lvn_is_silent(&lvn, 1261));
	lvn_answered(&lvn, 1240, 1262);
	ck_assert(!lvn_is_unanswered(&lvn));
	ck_assert(!lvn_is_silent(&lvn, 5000));
}
END_TEST

/*
 * Starts went to a worker that had crashed: its last answer was recent enough
 * for it to be ready.
 */
START_TEST(unanswered_worker_is_answering_shortly_after_another_answer)
{
	struct lvn lvn = {0};

	lvn_adopt(&lvn, 1000);
	lvn_report(&lvn, 1000);
	ck_assert(lvn_is_answering(&lvn, 1500));
	lvn_missed(&lvn, 1000, 1030);
	ck_assert(lvn_is_answering(&lvn, 1060));
	ck_assert(!lvn_is_answering(&lvn, 1061));
	ck_assert(!lvn_is_silent(&lvn, 1061));
	lvn_report(&lvn, 1070);
	ck_assert(lvn_is_answering(&lvn, 9000));
}
END_TEST

/* Only reports show that the worker still has the runs it was given. */
START_TEST(answers_to_other_calls_are_no_reports)
{
	struct lvn lvn = {0};

	lvn_adopt(&lvn, 1000);
	lvn_answered(&lvn, 1600, 1610);
	ck_assert(lvn_has_reported(&lvn, 1700));
	ck_assert(!lvn_has_reported(&lvn, 1701));
	ck_assert_int_eq(lvn.heard_ms, 1610);
	lvn_report(&lvn, 1710);
	ck_assert(lvn_has_reported(&lvn, 1711));
}
END_TEST

/* Runs that ended were noticed late, since long polls went on being lost. */
START_TEST(missed_call_is_remembered_after_the_next_answer)
{
	struct lvn lvn = {0};

	lvn_adopt(&lvn, 10);
	ck_assert(!lvn_misses_calls(&lvn, 10));
	lvn_missed(&lvn, 10, 40);
	lvn_answered(&lvn, 50, 55);
	ck_assert(lvn_misses_calls(&lvn, 3039));
	ck_assert(!lvn_misses_calls(&lvn, 3040));
}
END_TEST

/* The next incarnation is not taken for silent by calls to the former one. */
START_TEST(another_incarnation_begins_without_unanswered_calls)
{
	struct lvn lvn = {0};

	lvn_adopt(&lvn, 1000);
	lvn_missed(&lvn, 1000, 1030);
	lvn_adopt(&lvn, 2000);
	ck_assert(!lvn_is_silent(&lvn, 2000));
	ck_assert(lvn_has_reported(&lvn, 2000));
}
END_TEST

TEST_MAIN("liveness", 0, lost_call_counts_as_silence_only_after_a_while,
    unanswered_worker_is_answering_shortly_after_another_answer,
    answers_to_other_calls_are_no_reports,
    missed_call_is_remembered_after_the_next_answer,
    another_incarnation_begins_without_unanswered_calls)
