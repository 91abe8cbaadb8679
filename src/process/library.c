#include <glib.h>
#include <signal.h>
#include <sys/resource.h>

#include "process/agent.h"
#include "process/entry.h"
#include "process/log.h"
#include "process/settings.h"
#include "sequoiaplank.h"
#include "version/config.h"

_Static_assert(SP_MESSAGE_MAX == ST_MESSAGE_MAX, "messages must fit");

const char *
sp_version(void)
{
	return "0.1.0";
}

static enum sp_result
set_result(struct sp_error *error, enum sp_result result, const char *message)
{
	if (error != NULL)
		g_strlcpy(error->message, message, SP_MESSAGE_MAX);
	return result;
}

enum sp_result
sp_text_check(
    const char *name, const char *text, size_t len, struct sp_error *error)
{
	struct status st;

	if (!cfg_check_text(name, text, len, &st))
		return set_result(error, SP_INVALID, st.message);
	return set_result(error, SP_OK, "");
}

enum sp_result
sp_entry_check(const char *path, struct sp_error *error)
{
	struct status st;
	struct set_entry *set = set_entry_load(path, &st);

	if (set == NULL)
		return set_result(error, SP_INVALID, st.message);
	set_entry_free(set);
	return set_result(error, SP_OK, "");
}

enum sp_result
sp_agent_check(const char *path, struct sp_error *error)
{
	struct status st;
	struct set_agent *set = set_agent_load(path, &st);

	if (set == NULL)
		return set_result(error, SP_INVALID, st.message);
	set_agent_free(set);
	return set_result(error, SP_OK, "");
}

/* Connections need more file descriptors than the usual soft limit. */
static void
raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static void
prepare_process(const char *program, const char *level)
{
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	log_open(program, log_level_parse(level));
}

enum sp_result
sp_entry_run(const char *path, struct sp_error *error)
{
	struct status st;
	struct set_entry *set = set_entry_load(path, &st);
	struct entry *entry;
	enum sp_result result = SP_OK;

	if (set == NULL)
		return set_result(error, SP_INVALID, st.message);
	prepare_process("spentryd", set->log_level);
	entry = entry_new(set, &st);
	if (entry == NULL) {
		set_entry_free(set);
		return set_result(error, SP_UNAVAILABLE, st.message);
	}
	log_line(LOG_NOTICE, "entry %s in %s serves callers at %s", set->name,
	    set->failure_domain, set->listen);
	if (!entry_run(entry))
		result = SP_INTERRUPTED;
	entry_free(entry);
	set_entry_free(set);
	return set_result(
	    error, result, result == SP_OK ? "" : "requests were cut off");
}

enum sp_result
sp_agent_run(const char *path, struct sp_error *error)
{
	struct status st;
	struct set_agent *set = set_agent_load(path, &st);
	struct agent *agent;
	enum sp_result result = SP_OK;

	if (set == NULL)
		return set_result(error, SP_INVALID, st.message);
	prepare_process("spagentd", set->log_level);
	agent = agent_new(set, &st);
	if (agent == NULL) {
		set_agent_free(set);
		return set_result(error, SP_UNAVAILABLE, st.message);
	}
	log_line(LOG_NOTICE, "agent of worker %s in %s listens on %s",
	    set->worker, set->failure_domain, set->listen);
	if (!agent_run(agent))
		result = SP_INTERRUPTED;
	agent_free(agent);
	set_agent_free(set);
	return set_result(
	    error, result, result == SP_OK ? "" : "tasks were cut off");
}
