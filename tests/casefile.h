#ifndef CASEFILE_H
#define CASEFILE_H

#include <check.h>
#include <stddef.h>
#include <stdlib.h>

/*
 * Plain-text cases.  A case is
 *   === name
 *   input lines
 *   --- expected
 *   expected lines
 */
struct text_case {
	char *name;
	char *input;
	char *expected; /* without the last newline */
};

struct text_case *casefile_load(const char *path, size_t *n);
/*
 * Adds a looped test over all cases and runs the suite; returns the exit
 * status.  Inline, because the stand-ins link this library without check.
 */
static inline int
casefile_main(const char *suite_name, const TTest *const *tests, size_t n_tests,
    const TTest *case_test, size_t n_cases)
{
	Suite *suite = suite_create(suite_name);
	TCase *tc = tcase_create(suite_name);
	SRunner *runner;
	size_t i;
	int failed;

	for (i = 0; i < n_tests; i++)
		tcase_add_test(tc, tests[i]);
	if (case_test != NULL)
		tcase_add_loop_test(tc, case_test, 0, (int)n_cases);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
