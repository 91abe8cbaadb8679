#ifndef CASEFILE_H
#define CASEFILE_H

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

#endif
