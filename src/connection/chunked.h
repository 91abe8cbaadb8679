#ifndef SP_CHUNKED_H
#define SP_CHUNKED_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decoder of the chunked transfer coding (RFC 9112 section 7.1).  libsoup
 * 3.2 takes a body that breaks off between two chunks for a whole one, so the
 * end is recognised here.  Zero-initialised before the first call.
 */
struct chk {
	int state;
	uint64_t left; /* of the current chunk */
	int digits;
};

enum chk_verdict { CHK_MORE, CHK_END, CHK_BAD };

/* Appends the data in these bytes to body. */
enum chk_verdict chk_feed(
    struct chk *chk, const char *bytes, size_t len, GByteArray *body);

#endif
