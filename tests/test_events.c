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

	evt_write("job", "\"job\":\"%s\",\"ms_held\":%d", "ab", 7);
	line = json_tokener_parse(read_all(fd));
	ck_assert_ptr_nonnull(line);
	ck_assert(json_object_object_get_ex(line, "event", &value));
	ck_assert_str_eq(json_object_get_string(value), "job");
	ck_assert(json_object_object_get_ex(line, "ms_held", &value));
	ck_assert_int_eq(json_object_get_int(value), 7);
	json_object_put(line);
}
END_TEST

/* Lines beyond the limit of their type must be suppressed and counted. */
START_TEST(event_types_are_rate_limited)
{
	int fd = open_pipe(LINES_PER_S);
	int i, n = 0;
	char *p;

	for (i = 0; i < 3 * LINES_PER_S; i++)
		evt_write("job", "\"i\":%d", i);
	evt_write("store", "\"i\":%d", i);
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
	int i;

	for (i = 0; i < 5000; i++)
		evt_write("job", "\"text\":\"%0100d\"", i);
	ck_assert_int_gt((int)evt_dropped(), 0);
	read_all(fd);
	evt_write("job", "\"last\":true");
	ck_assert_ptr_nonnull(strstr(read_all(fd), "\"last\":true"));
}
END_TEST

/* A line that exceeds the buffer must be dropped, not truncated. */
START_TEST(long_line_is_dropped)
{
	int fd = open_pipe(LINES_PER_S);
	g_autofree char *text = g_strnfill(5000, 'x');

	evt_write("job", "\"text\":\"%s\"", text);
	ck_assert_str_eq(read_all(fd), "");
	ck_assert_int_eq((int)evt_dropped(), 1);
}
END_TEST

TEST_MAIN("events", 0, line_is_json, event_types_are_rate_limited,
    full_pipe_does_not_block, long_line_is_dropped)
