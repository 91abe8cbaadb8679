#ifndef SP_CHUNKED_H
#define SP_CHUNKED_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decoder of the chunked transfer coding (RFC 9112 section 7.1).  It is needed
 * because libsoup 3.2 accepts a body that is truncated between two chunks as
 * complete.  Zero-initialised before the first call.
 */
struct chk {
	int state;
	uint64_t left; /* bytes of the current chunk */
	int digits;    /* of the current chunk size */
};

enum chk_verdict { CHK_MORE, CHK_END, CHK_BAD };

/* Decodes bytes and appends the data to body; ignores bytes after the end. */
enum chk_verdict chk_feed(
    struct chk *chk, const char *bytes, size_t len, GByteArray *body);

#endif
