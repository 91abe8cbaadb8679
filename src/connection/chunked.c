#include "connection/chunked.h"

#define SIZE_DIGITS_MAX 8 /* chunks below 4 GiB */

enum state {
	SIZE,
	EXTENSION,
	SIZE_LF,
	DATA,
	DATA_CR,
	DATA_LF,
	TRAILER_START,
	TRAILER,
	TRAILER_LF,
	END_LF,
	ENDED,
	BAD
};

static enum state
after_size(struct chk *chk, char c)
{
	if (g_ascii_isxdigit(c)) {
		chk->left = chk->left * 16 + g_ascii_xdigit_value(c);
		return ++chk->digits > SIZE_DIGITS_MAX ? BAD : SIZE;
	}
	if (chk->digits == 0)
		return BAD;
	if (c == '\r')
		return SIZE_LF;
	return c == ';' || c == ' ' || c == '\t' ? EXTENSION : BAD;
}

static enum state
next_state(struct chk *chk, char c)
{
	switch ((enum state)chk->state) {
	case SIZE:
		return after_size(chk, c);
	case EXTENSION:
		return c == '\r' ? SIZE_LF : EXTENSION;
	case SIZE_LF:
		if (c != '\n')
			return BAD;
		chk->digits = 0;
		return chk->left == 0 ? TRAILER_START : DATA;
	case DATA_CR:
		return c == '\r' ? DATA_LF : BAD;
	case DATA_LF:
		return c == '\n' ? SIZE : BAD;
	case TRAILER_START:
		return c == '\r' ? END_LF : TRAILER;
	case TRAILER:
		return c == '\r' ? TRAILER_LF : TRAILER;
	case TRAILER_LF:
		return c == '\n' ? TRAILER_START : BAD;
	case END_LF:
		return c == '\n' ? ENDED : BAD;
	case DATA:
	case ENDED:
	case BAD:
		break;
	}
	return BAD;
}

enum chk_verdict
chk_feed(struct chk *chk, const char *bytes, size_t len, GByteArray *body)
{
	size_t i = 0, n;

	while (i < len && chk->state != ENDED && chk->state != BAD) {
		if (chk->state != DATA) {
			chk->state = (int)next_state(chk, bytes[i++]);
			continue;
		}
		n = MIN(len - i, chk->left);
		g_byte_array_append(body, (const guint8 *)bytes + i, n);
		i += n;
		chk->left -= n;
		if (chk->left == 0)
			chk->state = DATA_CR;
	}
	if (chk->state == BAD)
		return CHK_BAD;
	return chk->state == ENDED ? CHK_END : CHK_MORE;
}
