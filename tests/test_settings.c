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

static const char job_entry_base[] =
    "\"name\": \"e1\", \"failure_domain\": \"puget\",\n"
    "\"listen\": \"127.0.0.1:0\", \"ready_listen\": \"127.0.0.1:0\",\n"
    "\"store\": \"127.0.0.1:1\"";
static const char job_agent_base[] =
    "\"name\": \"a1\", \"failure_domain\": \"puget\",\n"
    "\"listen\": \"127.0.0.1:0\", \"worker_listen\": \"127.0.0.1:0\",\n"
    "\"store\": \"127.0.0.1:1\"";

static const char *
base_of(const char *name)
{
	if (g_str_has_prefix(name, "job entry"))
		return job_entry_base;
	if (g_str_has_prefix(name, "job agent"))
		return job_agent_base;
	return g_str_has_prefix(name, "agent") ? agent_base : entry_base;
}

/* Loads a settings file for the program that the case title starts with. */
static struct status
load_file(const char *name, const char *path)
{
	struct status st = {.code = ST_OK};

	if (g_str_has_prefix(name, "job entry"))
		set_job_free(set_job_entry_load(path, &st));
	else if (g_str_has_prefix(name, "job agent"))
		set_job_free(set_job_agent_load(path, &st));
	else if (g_str_has_prefix(name, "agent"))
		set_agent_free(set_agent_load(path, &st));
	else
		set_entry_free(set_entry_load(path, &st));
	return st;
}

/* An invalid setting must be refused with a message that locates it. */
static char *
load(const char *name, const char *input)
{
	char **parts = g_strsplit(input, "@BASE", -1);
	char *text = g_strjoinv(base_of(name), parts);
	const char *path = hn_write("settings.json", text);
	struct status st = load_file(name, path);
	char *actual = g_strdup("ok");

	if (st.code != ST_OK) {
		ck_assert(g_str_has_prefix(st.message, path));
		g_free(actual);
		actual = g_strdup(st.message + strlen(path));
	}
	g_free(text);
	g_strfreev(parts);
	hn_finish();
	return actual;
}

/* A missing file must be an error, not an empty settings file. */
START_TEST(missing_file_is_reported)
{
	struct status st;

	ck_assert_ptr_null(set_entry_load("no-such-file", &st));
	ck_assert_int_eq(st.code, ST_NOT_FOUND);
	ck_assert_ptr_nonnull(strstr(st.message, "no-such-file"));
}
END_TEST

CASES_MAIN("settings", load, missing_file_is_reported)
