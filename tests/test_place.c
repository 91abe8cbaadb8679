#include <check.h>
#include <stdlib.h>

#include "policy_replay.h"

/* Each case file says which failure it guards against. */
START_TEST(replay_cases)
{
	int files;

	ck_assert_int_eq(policy_replay_all("place-", &files), 0);
	ck_assert_int_gt(files, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("place");
	TCase *tc = tcase_create("place");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, replay_cases);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
