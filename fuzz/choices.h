#ifndef FUZZ_CHOICES_H
#define FUZZ_CHOICES_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Builds JSON from the bytes of an input, each of which chooses one of several
 * texts, so that a mutation of one byte changes one value of the document.
 */
struct choices {
	const uint8_t *data;
	size_t size;
};

/* The next byte, 0 at the end of the input. */
uint8_t cho_next(struct choices *in);
/* One of n texts. */
const char *cho_pick(struct choices *in, const char *const *texts, size_t n);
/*
 * Appends a value after the opening bracket or other values; name is that of a
 * member, or NULL in an array.  A value of NULL is left out.
 */
void cho_add(GString *out, const char *name, const char *value);

#endif
