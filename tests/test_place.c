#include "policy_replay.h"
#include "runner.h"

/* Each case file says which failure it guards against. */
START_TEST(replay_cases)
{
	int files;

	ck_assert_int_eq(policy_replay_all("place-", &files), 0);
	ck_assert_int_gt(files, 0);
}
END_TEST

TEST_MAIN("place", 0, replay_cases)
