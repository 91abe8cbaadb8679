#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <unistd.h>

#include "process/events.h"
#include "runner.h"

#define LINES_PER_S 5

static int
open_pipe(uint32_t lines_per_s)
{
	struct evt_options opts = {
	    .role = "entry",
	    .node = "n1",
	    .lines_per_s = lines_per_s,
	};
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	opts.fd = fds[1];
	evt_open(&opts);
	return fds[0];
}

static char *
read_all(int fd)
{
	static char text[1 << 20];
	ssize_t n;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	n = read(fd, text, sizeof(text) - 1);
	text[n < 0 ? 0 : n] = '\0';
	return text;
}

/* A line must be one valid JSON object with the event type and all fields. */
START_TEST(line_is_json)
{
	int fd = open_pipe(LINES_PER_S);
	struct json_object *line, *value;

	evt_write("job", evt_text("job", "ab"), evt_int("ms_held", 7));
	line = json_tokener_parse(read_all(fd));
	ck_assert_ptr_nonnull(line);
	ck_assert(json_object_object_get_ex(line, "event", &value));
	ck_assert_str_eq(json_object_get_string(value), "job");
	ck_assert(json_object_object_get_ex(line, "ms_held", &value));
	ck_assert_int_eq(json_object_get_int(value), 7);
	json_object_put(line);
}
END_TEST

/*
 * A quote in the name of a queue or in the reason of a peer broke the line, so
 * that a search by job id missed it.
 */
START_TEST(any_text_is_escaped)
{
	static const struct {
		const char *text, *expected;
	} rows[] = {
	    {"a\"b\\c", "a\"b\\c"},
	    {"tab\t, line\n, bell\a, del\177",
		"tab\t, line\n, bell\a, del\177"},
	    {"z\303\274rich", "z\303\274rich"},
	    {"cut \303", "cut \357\277\275"},
	    {"\377\376", "\357\277\275\357\277\275"},
	    {"%s%n", "%s%n"},
	    {"", ""},
	    {NULL, ""},
	};
	int fd = open_pipe(1000);
	struct json_object *line, *value;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *text;

		evt_write("job", evt_text("reason", rows[i].text),
		    evt_uint("last", UINT64_MAX), evt_int("least", INT64_MIN));
		text = read_all(fd);
		ck_assert_ptr_eq(strchr(text, '\n'), text + strlen(text) - 1);
		line = json_tokener_parse(text);
		ck_assert_msg(line != NULL, "%s", text);
		ck_assert(json_object_object_get_ex(line, "reason", &value));
		ck_assert_str_eq(
		    json_object_get_string(value), rows[i].expected);
		ck_assert(json_object_object_get_ex(line, "last", &value));
		ck_assert(json_object_get_uint64(value) == UINT64_MAX);
		json_object_put(line);
	}
}
END_TEST

/* Lines beyond the limit of their type must be suppressed and counted. */
START_TEST(event_types_are_rate_limited)
{
	int fd = open_pipe(LINES_PER_S);
	int i, n = 0;
	char *p;

	for (i = 0; i < 3 * LINES_PER_S; i++)
		evt_write("job", evt_int("i", i));
	evt_write("store", evt_int("i", i));
	for (p = read_all(fd); (p = strchr(p, '\n')) != NULL; p++)
		n++;
	/* The lines may fall into two seconds. */
	ck_assert_int_ge(n, LINES_PER_S + 1);
	ck_assert_int_le(n, 2 * LINES_PER_S + 1);
	ck_assert_int_eq((int)evt_suppressed(), 3 * LINES_PER_S + 1 - n);
}
END_TEST

/* A full pipe must not block the process; later lines must be complete. */
START_TEST(full_pipe_does_not_block)
{
	int fd = open_pipe(1000000);
	g_autofree char *text = g_strnfill(100, 'x');
	int i;

	for (i = 0; i < 5000; i++)
		evt_write("job", evt_text("text", text));
	ck_assert_int_gt((int)evt_dropped(), 0);
	read_all(fd);
	evt_write("job", evt_bool("last", true));
	ck_assert_ptr_nonnull(strstr(read_all(fd), "\"last\":true"));
}
END_TEST

/* A line that exceeds the buffer must be dropped, not truncated. */
START_TEST(long_line_is_dropped)
{
	int fd = open_pipe(LINES_PER_S);
	g_autofree char *text = g_strnfill(5000, 'x');

	evt_write("job", evt_text("text", text));
	ck_assert_str_eq(read_all(fd), "");
	ck_assert_int_eq((int)evt_dropped(), 1);
}
END_TEST

TEST_MAIN("events", 0, line_is_json, any_text_is_escaped,
    event_types_are_rate_limited, full_pipe_does_not_block,
    long_line_is_dropped)
