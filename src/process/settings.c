#include <gio/gio.h>
#include <string.h>

#include "jsonc.h"
#include "log.h"
#include "settings.h"

#define KIB	  1024LL
#define MIB	  (1024 * KIB)
#define HOUR_MS	  3600000LL
#define MAX_PEERS 64

enum kind {
	NAME,
	ADDRESS,
	URL,
	SECRET,
	LEVEL,
	INT64,
	UINT32,
	UINT64,
	SEEDS,
	BOOL
};

/* A setting: its key, type, member of the struct, default and range. */
struct field {
	const char *key;
	enum kind kind;
	enum jsonc_need need;
	size_t offset;
	const char *default_text; /* default of a string */
	int64_t default_int;	  /* default of an integer */
	int64_t min;		  /* of an integer, or number of seeds */
	int64_t max;		  /* of an integer */
};

#define E(member) offsetof(struct set_entry, member)
#define A(member) offsetof(struct set_agent, member)
#define REQ	  JSONC_REQUIRED
#define OPT	  JSONC_OPTIONAL

/* clang-format off */
/* Defaults: memory, descriptors and times to receive a head and a body. */
#define LIMITS(AT, MEMORY_MB, MIN_MB, FDS, MIN_FDS, HEAD_MS, BODY_MS) \
    {"memory_mb", INT64, OPT, AT(limits.memory_mb), NULL, MEMORY_MB, MIN_MB, 1048576}, \
    {"max_fds", UINT32, OPT, AT(limits.max_fds), NULL, FDS, MIN_FDS, 1000000}, \
    {"max_connections", UINT32, OPT, AT(limits.max_connections), NULL, 0, 0, 100000}, \
    {"max_incomplete_kb", INT64, OPT, AT(limits.max_incomplete_kb), NULL, 0, 0, 16 * MIB}, \
    {"max_whole_kb", INT64, OPT, AT(limits.max_whole_kb), NULL, 0, 0, 16 * MIB}, \
    {"max_unsent_kb", INT64, OPT, AT(limits.max_unsent_kb), NULL, 0, 0, 16 * MIB}, \
    {"max_json_kb", INT64, OPT, AT(limits.max_json_kb), NULL, 0, 0, 16 * MIB}, \
    {"header_timeout_ms", INT64, OPT, AT(limits.header_timeout_ms), NULL, HEAD_MS, 100, HOUR_MS}, \
    {"body_timeout_ms", INT64, OPT, AT(limits.body_timeout_ms), NULL, BODY_MS, 100, HOUR_MS}, \
    {"idle_timeout_ms", INT64, OPT, AT(limits.idle_timeout_ms), NULL, 60000, 100, HOUR_MS}, \
    {"send_timeout_ms", INT64, OPT, AT(limits.send_timeout_ms), NULL, 30000, 100, HOUR_MS}

static const struct field entry_fields[] = {
    {"name", NAME, REQ, E(name), NULL, 0, 0, 0},
    {"failure_domain", NAME, REQ, E(failure_domain), NULL, 0, 0, 0},
    {"region", NAME, OPT, E(region), "", 0, 0, 0},
    {"listen", ADDRESS, REQ, E(listen), NULL, 0, 0, 0},
    {"operator_listen", ADDRESS, REQ, E(operator_listen), NULL, 0, 0, 0},
    {"rpc_listen", ADDRESS, REQ, E(rpc_listen), NULL, 0, 0, 0},
    {"rpc_address", ADDRESS, OPT, E(rpc_address), NULL, 0, 0, 0},
    {"operator_address", ADDRESS, OPT, E(operator_address), NULL, 0, 0, 0},
    {"store", URL, REQ, E(store), NULL, 0, 0, 0},
    {"cluster_key", SECRET, REQ, E(cluster_key), NULL, 0, 0, 0},
    {"peers", SEEDS, OPT, E(peers), NULL, 0, 0, 0},
    {"log_level", LEVEL, OPT, E(log_level), "info", 0, 0, 0},
    {"policy", NAME, OPT, E(policy), "earliest_finish", 0, 0, 0},
    {"freshness_ms", INT64, OPT, E(freshness_ms), NULL, 3000, 200, 10000},
    {"store_poll_ms", INT64, OPT, E(store_poll_ms), NULL, 500, 20, 5000},
    {"members_poll_ms", INT64, OPT, E(members_poll_ms), NULL, 1000, 20, 10000},
    {"lease_s", INT64, OPT, E(lease_s), NULL, 10, 1, 60},
    {"store_timeout_ms", INT64, OPT, E(store_timeout_ms), NULL, 1000, 50, 10000},
    {"silence_ms", INT64, OPT, E(silence_ms), NULL, 1500, 100, 10000},
    {"job_retention_s", INT64, OPT, E(job_retention_s), NULL, 600, 1, 86400},
    {"drain_timeout_ms", INT64, OPT, E(drain_timeout_ms), NULL, 30000, 0, HOUR_MS},
    {"max_jobs", UINT32, OPT, E(max_jobs), NULL, 100000, 1, 10000000},
    {"max_tasks", UINT32, OPT, E(max_tasks), NULL, 2000, 1, 100000},
    {"max_answer_bytes", UINT64, OPT, E(max_answer_bytes), NULL, 64 * MIB, KIB, 1024 * MIB},
    {"max_body_bytes", UINT64, OPT, E(max_body_bytes), NULL, 16 * MIB, KIB, 1024 * MIB},
    {"agent_queue", UINT32, OPT, E(agent_queue), NULL, 1, 0, 1000},
    {"trace_spans", UINT32, OPT, E(trace_spans), NULL, 4096, 0, 1000000},
    LIMITS(E, 1024, 64, 0, 0, 60000, 60000),
};

static const struct field agent_fields[] = {
    {"worker", NAME, REQ, A(worker), NULL, 0, 0, 0},
    {"failure_domain", NAME, REQ, A(failure_domain), NULL, 0, 0, 0},
    {"region", NAME, OPT, A(region), "", 0, 0, 0},
    {"rack", NAME, OPT, A(rack), "", 0, 0, 0},
    {"listen", ADDRESS, REQ, A(listen), NULL, 0, 0, 0},
    {"entries", SEEDS, REQ, A(entries), NULL, 0, 1, 0},
    {"cluster_key", SECRET, REQ, A(cluster_key), NULL, 0, 0, 0},
    {"log_level", LEVEL, OPT, A(log_level), "info", 0, 0, 0},
    {"freshness_ms", INT64, OPT, A(freshness_ms), NULL, 3000, 200, 10000},
    {"heartbeat_ms", INT64, OPT, A(heartbeat_ms), NULL, 500, 20, 5000},
    {"silence_ms", INT64, OPT, A(silence_ms), NULL, 1500, 100, 10000},
    {"drain_timeout_ms", INT64, OPT, A(drain_timeout_ms), NULL, 30000, 0, HOUR_MS},
    {"entry_connections", UINT32, OPT, A(entry_connections), NULL, 8, 1, 256},
    {"max_queue", UINT32, OPT, A(max_queue), NULL, 64, 0, 100000},
    {"max_answer_bytes", UINT64, OPT, A(max_answer_bytes), NULL, 1 * MIB, KIB, 1 * MIB},
    {"trace_spans", UINT32, OPT, A(trace_spans), NULL, 4096, 0, 1000000},
    LIMITS(A, 1024, 64, 0, 0, 60000, 60000),
};

#define J(member) offsetof(struct set_job, member)
#define JOB_COMMON \
    {"name", NAME, REQ, J(name), NULL, 0, 0, 0}, \
    {"failure_domain", NAME, REQ, J(failure_domain), NULL, 0, 0, 0}, \
    {"listen", ADDRESS, REQ, J(listen), NULL, 0, 0, 0}, \
    {"metrics_listen", ADDRESS, OPT, J(metrics_listen), NULL, 0, 0, 0}, \
    {"store", ADDRESS, REQ, J(store), NULL, 0, 0, 0}, \
    {"lease_ms", INT64, OPT, J(lease_ms), NULL, 1000, 100, 60000}, \
    {"drain_ms", INT64, OPT, J(drain_ms), NULL, 4500, 0, HOUR_MS}, \
    {"interference", BOOL, OPT, J(interference), NULL, 0, 0, 0}, \
    {"log_lines_per_s", UINT32, OPT, J(log_lines_per_s), NULL, 20, 0, 100000}, \
    {"cancelled_jobs", UINT32, OPT, J(cancelled_jobs), NULL, 100000, 1000, 1000000}, \
    LIMITS(J, 120, 16, 3075, 64, 10000, 30000)

static const struct field job_entry_fields[] = {
    JOB_COMMON,
    {"ready_listen", ADDRESS, REQ, J(ready_listen), NULL, 0, 0, 0},
    {"cross_rack_percent", INT64, OPT, J(cross_rack_percent), NULL, 150, 100, 10000},
    {"agent_connections", UINT32, OPT, J(agent_connections), NULL, 64, 1, 4096},
    {"order_by_objective", BOOL, OPT, J(order_by_objective), NULL, 0, 0, 0},
    {"wait_for_faster", BOOL, OPT, J(wait_for_faster), NULL, 0, 0, 0},
    {"learn_distributions", BOOL, OPT, J(learn_distributions), NULL, 0, 0, 0},
    {"refuse_by_wait", BOOL, OPT, J(refuse_by_wait), NULL, 0, 0, 0},
    {"startup_wait_ms", INT64, OPT, J(startup_wait_ms), NULL, 0, 0, 60000},
    {"max_open_tasks", UINT32, OPT, J(max_open_tasks), NULL, 100000, 1000, 10000000},
    {"max_runs", UINT32, OPT, J(max_runs), NULL, 512, 16, 4096},
};

static const struct field job_agent_fields[] = {
    JOB_COMMON,
    {"worker_listen", ADDRESS, REQ, J(worker_listen), NULL, 0, 0, 0},
    {"advertise", ADDRESS, OPT, J(advertise), NULL, 0, 0, 0},
    {"worker_heartbeat_ms", INT64, OPT, J(worker_heartbeat_ms), NULL, 1500, 100, 60000},
    {"max_runs", UINT32, OPT, J(max_runs), NULL, 512, 16, 4096},
    {"max_queued_starts", UINT32, OPT, J(max_queued_starts), NULL, 1024, 16, 4096},
};
/* clang-format on */

#define N_ENTRY	    (sizeof(entry_fields) / sizeof(entry_fields[0]))
#define N_AGENT	    (sizeof(agent_fields) / sizeof(agent_fields[0]))
#define N_JOB_ENTRY (sizeof(job_entry_fields) / sizeof(job_entry_fields[0]))
#define N_JOB_AGENT (sizeof(job_agent_fields) / sizeof(job_agent_fields[0]))

/* Tells whether s is "ip:port" or "[ipv6]:port". */
static bool
is_address(const char *s)
{
	const char *colon = strrchr(s, ':');
	GInetAddress *ip;
	guint64 port;
	char *host;

	if (colon == NULL || colon == s ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	if (s[0] == '[' && colon[-1] == ']')
		host = g_strndup(s + 1, (gsize)(colon - s) - 2);
	else
		host = g_strndup(s, (gsize)(colon - s));
	ip = g_inet_address_new_from_string(host);
	g_free(host);
	if (ip == NULL)
		return false;
	g_object_unref(ip);
	return true;
}

/* Returns an error text for a string of this kind, or NULL if it is valid. */
static const char *
string_error(enum kind kind, const char *s)
{
	switch (kind) {
	case ADDRESS:
		return is_address(s) ? NULL
				     : "expected \"ip:port\" with a numeric IP";
	case URL:
		return g_str_has_prefix(s, "http://") && is_address(s + 7)
			   ? NULL
			   : "expected \"http://ip:port\" with a numeric IP";
	case SECRET:
		return strlen(s) >= 8 && strlen(s) <= 128
			   ? NULL
			   : "expected 8 to 128 characters";
	case LEVEL:
		return log_level_parse(s) >= 0
			   ? NULL
			   : "expected err, warning, notice, info or debug";
	default:
		return NULL;
	}
}

static bool
read_string(const struct jsonc_node *root, const struct field *field,
    char **out, struct status *st)
{
	const char *error;

	g_free(*out);
	*out = g_strdup(field->default_text);
	if (field->kind == NAME)
		return jsonc_name(root, field->key, field->need, out, st);
	if (!jsonc_string(root, field->key, field->need, out, st))
		return false;
	error = *out == NULL ? NULL : string_error(field->kind, *out);
	if (error == NULL)
		return true;
	if (field->kind == SECRET)
		return jsonc_error(root, field->key, st, "%s", error);
	return jsonc_error(
	    root, field->key, st, "%s, got \"%.80s\"", error, *out);
}

static bool
read_seeds(const struct jsonc_node *root, const struct field *field,
    char ***out, struct status *st)
{
	guint i;

	*out = g_new0(char *, 1);
	if (!jsonc_strings(root, field->key, field->need, out, st))
		return false;
	for (i = 0; (*out)[i] != NULL; i++) {
		if (!is_address((*out)[i]))
			return jsonc_error(root, field->key, st,
			    "expected \"ip:port\" with a numeric IP, got "
			    "\"%.80s\" at index %u",
			    (*out)[i], i);
	}
	if (i < (guint)field->min || i > MAX_PEERS)
		return jsonc_error(root, field->key, st,
		    "expected %d to %d addresses, got %u", (int)field->min,
		    MAX_PEERS, i);
	return true;
}

static bool
read_int(const struct jsonc_node *root, const struct field *field, void *out,
    struct status *st)
{
	int64_t n = field->default_int;

	if (!jsonc_int(
		root, field->key, field->need, field->min, field->max, &n, st))
		return false;
	if (field->kind == UINT32)
		*(uint32_t *)out = (uint32_t)n;
	else
		*(int64_t *)out = n;
	return true;
}

static bool
read_bool(const struct jsonc_node *root, const struct field *field, bool *out,
    struct status *st)
{
	*out = field->default_int != 0;
	return jsonc_bool(root, field->key, field->need, out, st);
}

static bool
read_fields(const struct jsonc_node *root, const struct field *fields, size_t n,
    void *set, struct status *st)
{
	const char *keys[N_ENTRY + N_AGENT + 1] = {NULL};
	size_t i;
	bool ok;

	for (i = 0; i < n; i++)
		keys[i] = fields[i].key;
	ok = jsonc_check_keys(root, keys, st);
	for (i = 0; ok && i < n; i++) {
		void *out = (char *)set + fields[i].offset;

		if (fields[i].kind == SEEDS)
			ok = read_seeds(root, &fields[i], out, st);
		else if (fields[i].kind == BOOL)
			ok = read_bool(root, &fields[i], out, st);
		else if (fields[i].kind >= INT64)
			ok = read_int(root, &fields[i], out, st);
		else
			ok = read_string(root, &fields[i], out, st);
	}
	return ok;
}

static void
free_fields(const struct field *fields, size_t n, void *set)
{
	size_t i;

	for (i = 0; set != NULL && i < n; i++) {
		void *out = (char *)set + fields[i].offset;

		if (fields[i].kind == SEEDS)
			g_strfreev(*(char ***)out);
		else if (fields[i].kind < INT64)
			g_free(*(char **)out);
	}
	g_free(set);
}

/*
 * With a period above half of freshness_ms, a single missed poll or heartbeat
 * would make the configuration stale, and no task starts while it is stale.
 */
static bool
check_period(const struct jsonc_node *root, const char *key, int64_t period_ms,
    int64_t freshness_ms, struct status *st)
{
	if (2 * period_ms <= freshness_ms)
		return true;
	return jsonc_error(root, key, st,
	    "expected at most half of freshness_ms (%" G_GINT64_FORMAT
	    "), got %" G_GINT64_FORMAT,
	    freshness_ms, period_ms);
}

/*
 * Refuses a wildcard address.  Other processes can't connect to it.  Entries
 * on all machines would share it, and each would take the voters at that
 * address for former incarnations of itself.
 */
static bool
check_reachable(const struct jsonc_node *root, const char *key,
    const char *address, struct status *st)
{
	if (!g_str_has_prefix(address, "0.0.0.0:") &&
	    !g_str_has_prefix(address, "[::]:"))
		return true;
	return jsonc_error(root, key, st,
	    "expected the address that others use, got \"%s\"", address);
}

static bool
check_entry(
    const struct jsonc_node *root, struct set_entry *set, struct status *st)
{
	if (set->rpc_address == NULL)
		set->rpc_address = g_strdup(set->rpc_listen);
	if (set->operator_address == NULL)
		set->operator_address = g_strdup(set->operator_listen);
	return check_reachable(root, "rpc_address", set->rpc_address, st) &&
	       check_reachable(
		   root, "operator_address", set->operator_address, st) &&
	       check_period(root, "store_poll_ms", set->store_poll_ms,
		   set->freshness_ms, st);
}

struct set_entry *
set_entry_load(const char *path, struct status *st)
{
	struct set_entry *set;
	struct jsonc_node root;
	struct jsonc *doc;
	bool ok;

	doc = jsonc_load(path, st);
	if (doc == NULL)
		return NULL;
	set = g_new0(struct set_entry, 1);
	ok = jsonc_root(doc, &root, st) &&
	     read_fields(&root, entry_fields, N_ENTRY, set, st) &&
	     check_entry(&root, set, st);
	jsonc_free(doc);
	if (ok)
		return set;
	set_entry_free(set);
	return NULL;
}

struct set_agent *
set_agent_load(const char *path, struct status *st)
{
	struct set_agent *set;
	struct jsonc_node root;
	struct jsonc *doc;
	bool ok;

	doc = jsonc_load(path, st);
	if (doc == NULL)
		return NULL;
	set = g_new0(struct set_agent, 1);
	ok = jsonc_root(doc, &root, st) &&
	     read_fields(&root, agent_fields, N_AGENT, set, st) &&
	     check_period(&root, "heartbeat_ms", set->heartbeat_ms,
		 set->freshness_ms, st);
	jsonc_free(doc);
	if (ok)
		return set;
	set_agent_free(set);
	return NULL;
}

void
set_entry_free(struct set_entry *set)
{
	free_fields(entry_fields, N_ENTRY, set);
}

void
set_agent_free(struct set_agent *set)
{
	free_fields(agent_fields, N_AGENT, set);
}

static struct set_job *
load_job(
    const char *path, const struct field *fields, size_t n, struct status *st)
{
	struct set_job *set;
	struct jsonc_node root;
	struct jsonc *doc = jsonc_load(path, st);
	bool ok;

	if (doc == NULL)
		return NULL;
	set = g_new0(struct set_job, 1);
	ok = jsonc_root(doc, &root, st) &&
	     read_fields(&root, fields, n, set, st);
	jsonc_free(doc);
	if (ok)
		return set;
	set_job_free(set);
	return NULL;
}

struct set_job *
set_job_entry_load(const char *path, struct status *st)
{
	return load_job(path, job_entry_fields, N_JOB_ENTRY, st);
}

struct set_job *
set_job_agent_load(const char *path, struct status *st)
{
	return load_job(path, job_agent_fields, N_JOB_AGENT, st);
}

void
set_job_free(struct set_job *set)
{
	if (set == NULL)
		return;
	g_free(set->name);
	g_free(set->failure_domain);
	g_free(set->listen);
	g_free(set->ready_listen);
	g_free(set->worker_listen);
	g_free(set->advertise);
	g_free(set->metrics_listen);
	g_free(set->store);
	g_free(set);
}
