#include <string.h>

#include "process/status.h"
#include "runner.h"

/* Wrapping must keep the original message and must not overflow the buffer. */
START_TEST(wrap_keeps_cause)
{
	struct status st;
	char longest[2 * ST_MESSAGE_MAX];

	st_set(&st, ST_TIMEOUT, "no reply in %d ms", 5);
	ck_assert_int_eq(
	    st_wrap(&st, ST_UNAVAILABLE, "store read"), ST_UNAVAILABLE);
	ck_assert_str_eq(st.message, "store read: no reply in 5 ms");
	memset(longest, 'x', sizeof(longest) - 1);
	longest[sizeof(longest) - 1] = '\0';
	st_wrap(&st, ST_INTERNAL, "%s", longest);
	st_wrap(&st, ST_INTERNAL, "%s", longest);
	ck_assert_uint_lt(strlen(st.message), ST_MESSAGE_MAX);
}
END_TEST

TEST_MAIN("status", 0, wrap_keeps_cause)
