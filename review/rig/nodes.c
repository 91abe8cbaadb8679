#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define READY_MS    40000
#define FIRST_ENTRY "entry-0"

/* The limits of the small sites' machines. */
#define ENTRY_MEMORY_MB 260
#define ENTRY_MAX_FDS	4100
#define AGENT_MEMORY_MB 128
#define AGENT_MAX_FDS	4096

struct node entries[RIG_ENTRIES], agents[RIG_WORKERS];
int64_t (*nodes_delay_ms)(void);
static char *folder;
static uint16_t store_port;
static bool started;

/* A placeholder of the templates, and what it stands for. */
struct field {
	const char *name;
	char *value;
};

static char *
fill(const char *template, const struct field *fields)
{
	g_autofree char *path = g_build_filename("deploy", template, NULL);
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		rig_fail("%s is missing", path);
	for (; fields->name != NULL; fields++) {
		GString *out = g_string_new(text);

		g_string_replace(out, fields->name, fields->value, 0);
		g_free(text);
		text = g_string_free(out, FALSE);
	}
	if (strstr(text, "{{") != NULL)
		rig_fail("unknown field in %s: %s", path, strstr(text, "{{"));
	return text;
}

/* Adds the setting of the address under which entries reach the agent. */
static char *
advertise_proxy(struct node *node, char *text)
{
	struct json_object *settings = json_tokener_parse(text);
	g_autofree char *address = NULL;
	struct json_object *listen;
	const char *colon;

	g_free(text);
	if (!json_object_object_get_ex(settings, "listen", &listen))
		rig_fail("no address in the settings of %s", node->name);
	colon = strchr(json_object_get_string(listen), ':');
	node->link = proxy_new((uint16_t)atoi(colon + 1));
	proxy_slow_down(node->link, FIRST_ENTRY, nodes_delay_ms);
	address = g_strdup_printf("127.0.0.1:%u", proxy_port(node->link));
	json_object_object_add(
	    settings, "advertise", json_object_new_string(address));
	text = g_strdup(json_object_to_json_string(settings));
	json_object_put(settings);
	return text;
}

static void
write_settings(struct node *node, const char *zone)
{
	bool is_entry = strcmp(node->role, "entry") == 0;
	struct field fields[] = {
	    {"{{node_name|json}}", g_strdup_printf("\"%s\"", node->name)},
	    {"{{zone|json}}", g_strdup_printf("\"%s\"", zone)},
	    {"{{listen_addrs.front|json}}",
		g_strdup_printf("\"127.0.0.1:%u\"", node->front_port)},
	    {"{{listen_addrs.ready|json}}",
		g_strdup_printf("\"127.0.0.1:%u\"", node->ready_port)},
	    {"{{listen_addrs.control|json}}",
		g_strdup_printf("\"127.0.0.1:%u\"", node->control_port)},
	    {"{{platform.address|json}}",
		g_strdup_printf("\"127.0.0.1:%u\"", store_port)},
	    {"{{ip}}", g_strdup("127.0.0.1")},
	    {"{{internal_port_range.0}}",
		g_strdup_printf("%u", rig_free_port())},
	    {"{{internal_port_range.1}}",
		g_strdup_printf("%u", rig_free_port())},
	    {"{{bounds.max_hold_ms}}",
		g_strdup_printf("%d", BOUND_MAX_HOLD_MS)},
	    {"{{limits.memory_mb}}",
		g_strdup_printf(
		    "%d", is_entry ? ENTRY_MEMORY_MB : AGENT_MEMORY_MB)},
	    {"{{limits.max_fds}}",
		g_strdup_printf(
		    "%d", is_entry ? ENTRY_MAX_FDS : AGENT_MAX_FDS)},
	    {NULL, NULL},
	};
	g_autofree char *template = g_strdup_printf("%s.json.in", node->role);
	g_autofree char *text = fill(template, fields);
	int i;

	if (nodes_delay_ms != NULL && strcmp(node->role, "agent") == 0)
		text = advertise_proxy(node, g_steal_pointer(&text));
	node->settings = g_strdup_printf("%s/%s.json", folder, node->name);
	node->log = g_strdup_printf("%s/%s.log", folder, node->name);
	if (!g_file_set_contents(node->settings, text, -1, NULL))
		rig_fail("can't write %s", node->settings);
	for (i = 0; fields[i].name != NULL; i++)
		g_free(fields[i].value);
}

/* The command of the deploy file, with the settings in the environment. */
void
node_start(struct node *node)
{
	pid_t pid = fork();

	if (pid < 0)
		rig_fail("fork: %s", strerror(errno));
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("SEQUOIAPLANK_NODE_FILE", node->settings, 1);
		if (freopen(node->log, "a", stdout) == NULL ||
		    freopen(node->log, "a", stderr) == NULL)
			_exit(RIG_NOT_RUN);
		execl("target/spjobd", "target/spjobd", node->role, NULL);
		_exit(RIG_NOT_RUN);
	}
	node->pid = pid;
	node->alive = true;
	rec_line("%s: starts, process %d", node->name, (int)pid);
}

void
node_kill(struct node *node)
{
	if (!node->alive)
		return;
	kill(node->pid, SIGKILL);
	waitpid(node->pid, NULL, 0);
	node->alive = false;
	if (started)
		rec_line("%s: killed", node->name);
}

bool
node_has_ended(struct node *node, int *status)
{
	if (!node->alive || waitpid(node->pid, status, WNOHANG) != node->pid)
		return false;
	node->alive = false;
	return true;
}

static void
configure(void)
{
	store_put("op/config",
	    "{\"version\":3,\"routes\":[{\"name\":\"desk\",\"host\":\"" RIG_HOST
	    "\",\"prefix\":\"" RIG_PREFIX "\",\"service\":\"" RIG_SERVICE
	    "\",\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,"
	    "\"target_completion_ms\":60,\"timeout_ms\":30000}],"
	    "\"services\":[{\"name\":\"" RIG_SERVICE
	    "\",\"rejects_overload\":false}],"
	    "\"limits\":{\"max_body_bytes\":262144}}");
}

/* A job that occupies every worker for a moment. */
static bool
completes_job(const struct node *entry)
{
	static unsigned n;
	g_autofree char *path =
	    g_strdup_printf(RIG_PREFIX "%016x", 0xa0000000U + n++);
	g_autofree char *body = client_job("60:9000", 33, 9000, 60);
	struct call *call =
	    client_send(entry->front_port, "POST", path, body, 1500);

	return client_wait(call, 2500) && call->status == 200;
}

static void
await_jobs(void)
{
	int64_t until_ms = rec_now_ms() + READY_MS;
	int i;

	for (i = 0; i < RIG_ENTRIES; i++) {
		while (!completes_job(&entries[i])) {
			if (rec_now_ms() > until_ms)
				rig_fail("%s runs no jobs", entries[i].name);
			rig_sleep(200);
		}
	}
	for (i = 0; i < RIG_WORKERS; i++) {
		while (workers[i].n_starts == 0) {
			if (rec_now_ms() > until_ms)
				rig_fail("worker %d got no task", i);
			completes_job(&entries[i % RIG_ENTRIES]);
		}
	}
}

void
nodes_start(void)
{
	GError *error = NULL;
	int i;

	folder = g_dir_make_tmp("sequoiaplank-review-XXXXXX", &error);
	if (folder == NULL)
		rig_fail("temporary folder: %s", error->message);
	store_port = store_start();
	configure();
	started = true;
	for (i = 0; i < RIG_WORKERS; i++) {
		g_autofree char *zone = g_strdup_printf("z%d", i % 3);

		agents[i].role = "agent";
		g_snprintf(
		    agents[i].name, sizeof(agents[i].name), "agent-%d", i);
		agents[i].control_port = rig_free_port();
		write_settings(&agents[i], zone);
		node_start(&agents[i]);
	}
	for (i = 0; i < RIG_ENTRIES; i++) {
		g_autofree char *zone = g_strdup_printf("z%d", i);

		entries[i].role = "entry";
		g_snprintf(
		    entries[i].name, sizeof(entries[i].name), "entry-%d", i);
		entries[i].front_port = rig_free_port();
		entries[i].ready_port = rig_free_port();
		write_settings(&entries[i], zone);
		node_start(&entries[i]);
	}
	rig_sleep(500);
	for (i = 0; i < RIG_WORKERS; i++) {
		worker_init(i, agents[i].control_port);
		workers[i].link = proxy_new(agents[i].control_port);
		worker_boot(&workers[i]);
	}
	await_jobs();
	rig_sleep(3500);
	rec_line("the deployment is ready and was calm for 3.5 s");
}

static void
remove_files(struct node *node)
{
	if (node->settings == NULL)
		return;
	unlink(node->settings);
	if (getenv("KEEP_LOGS") == NULL)
		unlink(node->log);
}

void
nodes_end(void)
{
	int i;

	started = false;
	for (i = 0; i < RIG_ENTRIES; i++) {
		node_kill(&entries[i]);
		remove_files(&entries[i]);
	}
	for (i = 0; i < RIG_WORKERS; i++) {
		node_kill(&agents[i]);
		remove_files(&agents[i]);
	}
	if (folder != NULL)
		rmdir(folder);
}
