#ifndef CASEFILE_H
#define CASEFILE_H

#include <stddef.h>

/*
 * A file of plain-text test cases.  Each case has the form
 *   === name
 *   input lines
 *   --- expected
 *   expected lines
 */
struct text_case {
	char *name;
	char *input;
	char *expected; /* without trailing white space */
};

struct text_case *casefile_load(const char *path, size_t *n);

#endif
