#ifndef SP_RUNNER_H
#define SP_RUNNER_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "casefile.h"
#include "replay.h"

/*
 * For programs that bound the memory of processes: the address sanitizer keeps
 * up to 256 MB of freed memory in each, which would count as held.
 */
static inline void
limit_asan_quarantine(void)
{
	setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1);
}

static inline int
run_tcase(const char *name, TCase *tc, double limit_s)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	if (limit_s > 0)
		tcase_set_timeout(tc, limit_s);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs the tests of one program, each in its own process. */
static inline int
run_tests(const char *name, const TTest *const *tests, size_t n, double limit_s)
{
	TCase *tc = tcase_create(name);
	size_t i;

	for (i = 0; i < n; i++)
		tcase_add_test(tc, tests[i]);
	return run_tcase(name, tc, limit_s);
}

/* Rows of a table that run at once; most of their time they wait. */
#define TABLE_JOBS 4

static inline int
run_rows(const char *name, const TTest *test, int first, int n, int step,
    double limit_s)
{
	TCase *tc = tcase_create(name);
	int i;

	for (i = first; i < n; i += step)
		tcase_add_loop_test(tc, test, i, i + 1);
	return run_tcase(name, tc, limit_s);
}

/*
 * Runs one test for each row of a table, with the row's index in _i.  The
 * environment variable SCENARIO selects a single row by its number.
 */
static inline int
run_table(const char *name, const TTest *test, int n, double limit_s)
{
	const char *only = getenv("SCENARIO");
	pid_t jobs[TABLE_JOBS];
	int i, status, red = 0;

	if (only != NULL)
		return run_rows(name, test, atoi(only), n, n, limit_s);
	fflush(stdout);
	for (i = 0; i < TABLE_JOBS; i++) {
		jobs[i] = fork();
		if (jobs[i] == 0)
			exit(run_rows(name, test, i, n, TABLE_JOBS, limit_s));
	}
	for (i = 0; i < TABLE_JOBS; i++) {
		if (jobs[i] < 0 || waitpid(jobs[i], &status, 0) < 0 ||
		    status != 0)
			red = EXIT_FAILURE;
	}
	return red;
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

/* The tests, then the first once for each row, with its index in _i. */
static inline int
run_with_rows(const char *name, const TTest *const *tests, size_t n_tests,
    int n_rows, double limit_s)
{
	TCase *tc = tcase_create(name);
	size_t i;

	tcase_add_loop_test(tc, tests[0], 0, n_rows);
	for (i = 1; i < n_tests; i++)
		tcase_add_test(tc, tests[i]);
	return run_tcase(name, tc, limit_s);
}

/* Defines main() for a test of n_rows rows and the tests named. */
#define ROWS_MAIN(name, limit_s, n_rows, ...)                                  \
	int main(void)                                                         \
	{                                                                      \
		const TTest *const tests[] = {__VA_ARGS__};                    \
                                                                               \
		return run_with_rows(name, tests,                              \
		    sizeof(tests) / sizeof(tests[0]), n_rows, limit_s);        \
	}

/*
 * Defines main() for the traces of tests/cases/NAME.txt, one test for each
 * case, and the tests named.  The functions are those of struct replay.
 */
#define REPLAY_MAIN(name, limit_s, start, end, step, ...)                      \
	START_TEST(one_case)                                                   \
	{                                                                      \
		static const struct replay replay = {start, end, step};        \
		char *error =                                                  \
		    replay_case("tests/cases/" name ".txt", &replay, _i);      \
                                                                               \
		ck_assert_msg(error == NULL, "%s", error);                     \
	}                                                                      \
	END_TEST                                                               \
	ROWS_MAIN(name, limit_s, replay_count("tests/cases/" name ".txt"),     \
	    one_case, ##__VA_ARGS__)

/*
 * Defines main() for the text cases of tests/cases/NAME.txt, one test each,
 * and the tests named.  run(name, input) returns what the case gave, to be
 * freed with g_free().
 */
#define CASES_MAIN(suite, run, ...)                                            \
	static struct text_case *text_cases;                                   \
	static size_t n_cases;                                                 \
                                                                               \
	START_TEST(text_case)                                                  \
	{                                                                      \
		const struct text_case *tc = &text_cases[_i];                  \
		char *actual = run(tc->name, tc->input);                       \
                                                                               \
		ck_assert_msg(strcmp(actual, tc->expected) == 0,               \
		    "%s: got \"%s\", expected \"%s\"", tc->name, actual,       \
		    tc->expected);                                             \
		g_free(actual);                                                \
	}                                                                      \
	END_TEST                                                               \
                                                                               \
	static int load_cases(void)                                            \
	{                                                                      \
		text_cases =                                                   \
		    casefile_load("tests/cases/" suite ".txt", &n_cases);      \
		return (int)n_cases;                                           \
	}                                                                      \
	ROWS_MAIN(suite, 0, load_cases(), text_case, ##__VA_ARGS__)

#endif
