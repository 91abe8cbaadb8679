#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "casefile.h"
#include "process/settings.h"

static struct text_case *cases;

static const char entry_base[] =
    "\"name\": \"e1\", \"failure_domain\": \"puget\",\n"
    "\"listen\": \"127.0.0.1:0\", \"operator_listen\": \"127.0.0.1:0\",\n"
    "\"rpc_listen\": \"127.0.0.1:0\", \"store\": \"http://127.0.0.1:1\",\n"
    "\"cluster_key\": \"0123456789\"";
static const char agent_base[] =
    "\"worker\": \"w1\", \"failure_domain\": \"puget\",\n"
    "\"listen\": \"127.0.0.1:0\", \"entries\": [\"127.0.0.1:1\"],\n"
    "\"cluster_key\": \"0123456789\"";

/* Loads a text through a file; the message names that file. */
static void
load(const char *text, bool agent, struct status *st)
{
	char *path = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
	struct set_entry *entry = NULL;
	struct set_agent *worker = NULL;
	char *rest;

	ck_assert_int_ge(fd, 0);
	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	if (agent)
		worker = set_agent_load(path, st);
	else
		entry = set_entry_load(path, st);
	if (entry == NULL && worker == NULL) {
		ck_assert(g_str_has_prefix(st->message, path));
		rest = g_strdup(st->message + strlen(path));
		g_strlcpy(st->message, rest, sizeof(st->message));
		g_free(rest);
	} else {
		g_strlcpy(st->message, "ok", sizeof(st->message));
	}
	set_entry_free(entry);
	set_agent_free(worker);
	g_unlink(path);
	g_free(path);
}

/* A bad setting must stop the daemon with a message that locates it. */
START_TEST(settings_are_checked)
{
	const struct text_case *tc = &cases[_i];
	bool agent = g_str_has_prefix(tc->name, "agent");
	char **parts = g_strsplit(tc->input, "@BASE", -1);
	char *text = g_strjoinv(agent ? agent_base : entry_base, parts);
	struct status st;

	load(text, agent, &st);
	ck_assert_msg(strcmp(st.message, tc->expected) == 0,
	    "%s: got \"%s\", expected \"%s\"", tc->name, st.message,
	    tc->expected);
	g_free(text);
	g_strfreev(parts);
}
END_TEST

/* A missing file must be reported, not treated as empty. */
START_TEST(missing_file_is_reported)
{
	struct status st;

	ck_assert_ptr_null(set_entry_load("no-such-file", &st));
	ck_assert_int_eq(st.code, ST_NOT_FOUND);
	ck_assert_ptr_nonnull(strstr(st.message, "no-such-file"));
}
END_TEST

int
main(void)
{
	const TTest *tests[] = {missing_file_is_reported};
	size_t n;

	cases = casefile_load("tests/cases/settings.txt", &n);
	return casefile_main("settings", tests, 1, settings_are_checked, n);
}
