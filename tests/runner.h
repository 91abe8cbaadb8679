#ifndef SP_RUNNER_H
#define SP_RUNNER_H

#include <check.h>
#include <stdlib.h>

/* Runs the tests of one program, each in its own process. */
static inline int
run_tests(const char *name, const TTest *const *tests, size_t n, double limit_s)
{
	Suite *suite = suite_create(name);
	TCase *tc = tcase_create(name);
	SRunner *runner;
	size_t i;
	int failed;

	if (limit_s > 0)
		tcase_set_timeout(tc, limit_s);
	for (i = 0; i < n; i++)
		tcase_add_test(tc, tests[i]);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Defines main() for the tests named; limit_s 0 keeps check's default. */
#define TEST_MAIN(name, limit_s, ...)                                          \
	int main(void)                                                         \
	{                                                                      \
		const TTest *const tests[] = {__VA_ARGS__};                    \
                                                                               \
		return run_tests(                                              \
		    name, tests, sizeof(tests) / sizeof(tests[0]), limit_s);   \
	}

#endif
