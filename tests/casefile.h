#ifndef CASEFILE_H
#define CASEFILE_H

#include <check.h>
#include <stddef.h>

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
/* Adds a looped test over all cases and runs the suite; exit status. */
int casefile_main(const char *suite_name, const TTest *const *tests,
    size_t n_tests, const TTest *case_test, size_t n_cases);

#endif
