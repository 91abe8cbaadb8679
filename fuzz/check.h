#ifndef FUZZ_CHECK_H
#define FUZZ_CHECK_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* Ends the process, which libFuzzer reports with the input, if not true. */
#define fz_check(condition)                                                    \
	do {                                                                   \
		if (!(condition)) {                                            \
			fprintf(stderr, "%s:%d: not true: %s\n", __FILE__,     \
			    __LINE__, #condition);                             \
			abort();                                               \
		}                                                              \
	} while (0)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
int LLVMFuzzerInitialize(int *argc, char ***argv);

#endif
