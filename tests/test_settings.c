#include <glib.h>
#include <string.h>

#include "harness.h"
#include "process/settings.h"
#include "runner.h"

static const char entry_base[] =
    "\"name\": \"e1\", \"failure_domain\": \"puget\",\n"
    "\"listen\": \"127.0.0.1:0\", \"operator_listen\": \"127.0.0.1:0\",\n"
    "\"rpc_listen\": \"127.0.0.1:0\", \"store\": \"http://127.0.0.1:1\",\n"
    "\"cluster_key\": \"0123456789\"";
static const char agent_base[] =
    "\"worker\": \"w1\", \"failure_domain\": \"puget\",\n"
    "\"listen\": \"127.0.0.1:0\", \"entries\": [\"127.0.0.1:1\"],\n"
    "\"cluster_key\": \"0123456789\"";

/* A bad setting must stop the daemon with a message that locates it. */
static char *
load(const char *name, const char *input)
{
	bool agent = g_str_has_prefix(name, "agent");
	char **parts = g_strsplit(input, "@BASE", -1);
	char *text = g_strjoinv(agent ? agent_base : entry_base, parts);
	const char *path = hn_write("settings.json", text);
	struct set_entry *entry = NULL;
	struct set_agent *worker = NULL;
	char *actual = NULL;
	struct status st;

	if (agent)
		worker = set_agent_load(path, &st);
	else
		entry = set_entry_load(path, &st);
	if (entry != NULL || worker != NULL) {
		actual = g_strdup("ok");
	} else {
		ck_assert(g_str_has_prefix(st.message, path));
		actual = g_strdup(st.message + strlen(path));
	}
	set_entry_free(entry);
	set_agent_free(worker);
	g_free(text);
	g_strfreev(parts);
	hn_finish();
	return actual;
}

/* A missing file must be reported, not treated as empty. */
START_TEST(missing_file_is_reported)
{
	struct status st;

	ck_assert_ptr_null(set_entry_load("no-such-file", &st));
	ck_assert_int_eq(st.code, ST_NOT_FOUND);
	ck_assert_ptr_nonnull(strstr(st.message, "no-such-file"));
}
END_TEST

CASES_MAIN("settings", load, missing_file_is_reported)
