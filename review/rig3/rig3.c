#include <arpa/inet.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "rig3.h"

#define HEARTBEAT_MS 1500

struct rig rig;

static const char *spjobd = "target/spjobd";
static const char *bin = "review/build-3";

static G_GNUC_NORETURN void
fail(const char *what)
{
	rec("can't run: %s", what);
	fprintf(stderr, "rig3: %s\n", what);
	rig_close();
	exit(2);
}

int
rig_free_port(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int port;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) < 0)
		fail("no free port");
	port = ntohs(a.sin_port);
	close(fd);
	return port;
}

void
rig_open(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	char t0[32];

	if (argc < 2) {
		fprintf(stderr, "usage: %s RECORD\n", argv[0]);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	unlink(argv[1]);
	snprintf(t0, sizeof(t0), "%lld", (long long)steady_ms());
	setenv("RIG3_RECORD", argv[1], 1);
	setenv("RIG3_T0", t0, 1);
	rig.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig.dir = g_dir_make_tmp("rig3-XXXXXX", NULL);
	if (rig.dir == NULL)
		fail("no temporary folder");
	rec("begins, TROUBLE=%d", rig.trouble);
}

void
rig_spawn(struct rig_proc *proc)
{
	int fd;

	proc->pid = fork();
	if (proc->pid < 0)
		fail("fork");
	if (proc->pid > 0)
		return;
	if (proc->settings != NULL)
		setenv("SEQUOIAPLANK_NODE_FILE", proc->settings, 1);
	fd = open(proc->output, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, 1);
	dup2(fd, 2);
	signal(SIGPIPE, SIG_DFL);
	execv(proc->argv[0], proc->argv);
	_exit(127);
}

static char *
in_dir(const char *format, int i)
{
	g_autofree char *name = g_strdup_printf(format, i);

	return g_build_filename(rig.dir, name, NULL);
}

/* Waits until something listens. */
static void
await_port(int port)
{
	int64_t until_ms = steady_ms() + 10000;
	struct sockaddr_in a = {.sin_family = AF_INET};

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)port);
	while (steady_ms() < until_ms) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		bool ok = connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0;

		close(fd);
		if (ok)
			return;
		g_usleep(10000);
	}
	fail("a process does not listen");
}

void
rig_start_store(void)
{
	int i = 0;

	rig.store_port = rig_free_port();
	rig.store_control_port = rig_free_port();
	rig.store.argv[i++] = g_build_filename(bin, "store3", NULL);
	rig.store.argv[i++] = g_strdup_printf("%d", rig.store_port);
	rig.store.argv[i++] = g_strdup_printf("%d", rig.store_control_port);
	rig.store.output = in_dir("store%d.log", 0);
	rig_spawn(&rig.store);
	await_port(rig.store_control_port);
}

void
rig_spawn_worker(struct rig_worker *worker)
{
	struct rig_proc *proc = &worker->proc;
	int i = 0;

	while (proc->argv[i] != NULL)
		g_clear_pointer(&proc->argv[i++], g_free);
	i = 0;
	proc->argv[i++] = g_build_filename(bin, "worker3", NULL);
	proc->argv[i++] = g_strdup(worker->id);
	proc->argv[i++] = g_strdup_printf("%d", worker->port);
	proc->argv[i++] = g_strdup_printf("%d", worker->control_port);
	proc->argv[i++] = g_strdup(worker->zone);
	proc->argv[i++] = g_strdup(worker->service);
	proc->argv[i++] = g_strdup(worker->labels);
	proc->argv[i++] = g_strdup_printf("%lld", (long long)worker->cpu);
	proc->argv[i++] = g_strdup_printf("%d", worker->command_port);
	rig_spawn(proc);
}

static void
write_settings(struct rig_proc *proc, const char *text)
{
	if (!g_file_set_contents(proc->settings, text, -1, NULL))
		fail("settings can't be written");
}

int
rig_add_worker(
    const char *zone, const char *service, const char *labels, int64_t cpu)
{
	int n = rig.n_agents++;
	struct rig_worker *worker = &rig.workers[n];
	struct rig_proc *agent = &rig.agents[n];
	g_autofree char *text = NULL;

	worker->id = g_strdup_printf("w%d", n);
	worker->zone = g_strdup(zone);
	worker->service = g_strdup(service);
	worker->labels = g_strdup(labels);
	worker->cpu = cpu;
	worker->port = rig_free_port();
	worker->control_port = rig_free_port();
	worker->command_port = rig_free_port();
	worker->proc.output = in_dir("worker%d.log", n);
	rig.agent_port[n] = rig_free_port();
	agent->argv[0] = g_strdup(spjobd);
	agent->argv[1] = g_strdup("agent");
	agent->settings = in_dir("agent%d.json", n);
	agent->output = in_dir("agent%d.log", n);
	/* As deploy/agent-platform.json.in. */
	text = g_strdup_printf(
	    "{\"name\":\"a%d\",\"failure_domain\":\"%s\","
	    "\"listen\":\"127.0.0.1:%d\",\"worker_listen\":\"127.0.0.1:%d\","
	    "\"metrics_listen\":\"127.0.0.1:%d\",\"store\":\"127.0.0.1:%d\","
	    "\"lease_ms\":1000,\"drain_ms\":4500,\"worker_heartbeat_ms\":%d,"
	    "\"interference\":true,\"memory_mb\":128,\"max_fds\":4096}",
	    n, zone, rig.agent_port[n], worker->control_port, rig_free_port(),
	    rig.store_port, HEARTBEAT_MS);
	write_settings(agent, text);
	rig_spawn(agent);
	await_port(worker->control_port);
	rig_spawn_worker(worker);
	return n;
}

int
rig_add_entry(const char *zone)
{
	int n = rig.n_entries++;
	struct rig_proc *entry = &rig.entries[n];
	g_autofree char *text = NULL;

	rig.entry_port[n] = rig_free_port();
	rig.ready_port[n] = rig_free_port();
	entry->argv[0] = g_strdup(spjobd);
	entry->argv[1] = g_strdup("entry");
	entry->settings = in_dir("entry%d.json", n);
	entry->output = in_dir("entry%d.log", n);
	/* As deploy/entry.json.in. */
	text = g_strdup_printf(
	    "{\"name\":\"e%d\",\"failure_domain\":\"%s\","
	    "\"listen\":\"127.0.0.1:%d\",\"ready_listen\":\"127.0.0.1:%d\","
	    "\"metrics_listen\":\"127.0.0.1:%d\",\"store\":\"127.0.0.1:%d\","
	    "\"lease_ms\":1000,\"drain_ms\":5500,\"order_by_objective\":true,"
	    "\"wait_for_faster\":true,\"learn_distributions\":true,"
	    "\"refuse_by_wait\":true,\"startup_wait_ms\":3000,"
	    "\"interference\":true,\"memory_mb\":260,\"max_fds\":4100}",
	    n, zone, rig.entry_port[n], rig.ready_port[n], rig_free_port(),
	    rig.store_port);
	write_settings(entry, text);
	rig_spawn(entry);
	await_port(rig.entry_port[n]);
	return n;
}

void
rig_signal(struct rig_proc *proc, int sig, const char *what)
{
	rec("signal %s to %s", g_strsignal(sig), what);
	if (proc->pid > 0)
		kill(proc->pid, sig);
}

void
rig_kill(struct rig_proc *proc, const char *what)
{
	rec("kill %s", what);
	if (proc->pid <= 0)
		return;
	kill(proc->pid, SIGKILL);
	waitpid(proc->pid, NULL, 0);
	proc->pid = 0;
}

bool
rig_wait_end(struct rig_proc *proc, int64_t ms)
{
	int64_t until_ms = steady_ms() + ms;
	int status;

	while (proc->pid > 0 && steady_ms() < until_ms) {
		if (waitpid(proc->pid, &status, WNOHANG) == proc->pid) {
			rec("process %d ended, status %d", proc->pid, status);
			proc->pid = 0;
		} else {
			rig_sleep(10);
		}
	}
	return proc->pid <= 0;
}

void
rig_command(const struct rig_worker *worker, const char *text)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)worker->command_port);
	if (sendto(fd, text, strlen(text), 0, (struct sockaddr *)&a,
		sizeof(a)) < 0)
		rec("command not sent: %s", text);
	close(fd);
}

static void
finish_call(struct rig_call *call, int status)
{
	if (call->done)
		return;
	call->done = true;
	call->status = status;
	call->done_ms = steady_ms();
	call->text = g_string_free(call->in, FALSE);
	call->in = NULL;
	if (call->conn != NULL)
		g_io_stream_close(G_IO_STREAM(call->conn), NULL, NULL);
	if (call->name != NULL)
		rec("client %s gets %d %.200s", call->name, status,
		    strstr(call->text, "\r\n\r\n") == NULL
			? ""
			: strstr(call->text, "\r\n\r\n") + 4);
	if (call->fn != NULL)
		call->fn(call);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct rig_call *call = data;
	gssize n =
	    g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	int status = -1;

	if (call->done)
		return;
	if (n > 0) {
		g_string_append_len(call->in, call->buffer, n);
		g_input_stream_read_async(G_INPUT_STREAM(source), call->buffer,
		    sizeof(call->buffer), G_PRIORITY_DEFAULT, call->cancellable,
		    on_read, call);
		return;
	}
	if (sscanf(call->in->str, "HTTP/1.1 %d", &status) != 1)
		status = -1;
	finish_call(call, status);
}

static void
on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	struct rig_call *call = data;

	if (!g_output_stream_write_all_finish(
		G_OUTPUT_STREAM(source), result, NULL, NULL)) {
		finish_call(call, -1);
		return;
	}
	g_input_stream_read_async(
	    g_io_stream_get_input_stream(G_IO_STREAM(call->conn)), call->buffer,
	    sizeof(call->buffer), G_PRIORITY_DEFAULT, call->cancellable,
	    on_read, call);
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct rig_call *call = data;

	call->conn = g_socket_client_connect_finish(
	    G_SOCKET_CLIENT(source), result, NULL);
	if (call->conn == NULL || call->done) {
		finish_call(call, -1);
		return;
	}
	g_output_stream_write_all_async(
	    g_io_stream_get_output_stream(G_IO_STREAM(call->conn)),
	    call->request, strlen(call->request), G_PRIORITY_DEFAULT,
	    call->cancellable, on_written, call);
}

/* The call is never freed, so that late callbacks find it. */
struct rig_call *
rig_http(int port, const char *method, const char *host, const char *path,
    int64_t deadline_ms, const char *body)
{
	struct rig_call *call = g_new0(struct rig_call, 1);
	GSocketClient *client = g_socket_client_new();
	GString *request = g_string_new(NULL);

	g_string_append_printf(request,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", method, path,
	    host);
	if (deadline_ms > 0)
		g_string_append_printf(
		    request, "X-Deadline-Ms: %lld\r\n", (long long)deadline_ms);
	if (body != NULL)
		g_string_append_printf(request,
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n",
		    strlen(body));
	g_string_append_printf(request, "\r\n%s", body == NULL ? "" : body);
	call->request = g_string_free(request, FALSE);
	call->in = g_string_new(NULL);
	call->port = port;
	call->cancellable = g_cancellable_new();
	call->sent_ms = steady_ms();
	g_socket_client_set_enable_proxy(client, FALSE);
	g_socket_client_connect_to_host_async(client, "127.0.0.1",
	    (guint16)port, call->cancellable, on_connected, call);
	g_object_unref(client);
	return call;
}

/* The client leaves. */
void
rig_drop(struct rig_call *call)
{
	if (call->done)
		return;
	finish_call(call, -1);
	g_cancellable_cancel(call->cancellable);
}

static gboolean
on_slept(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

void
rig_sleep(int64_t ms)
{
	bool slept = false;

	g_timeout_add((guint)ms, on_slept, &slept);
	while (!slept)
		g_main_context_iteration(NULL, TRUE);
}

bool
rig_wait_call(struct rig_call *call, int64_t ms)
{
	int64_t until_ms = steady_ms() + ms;

	while (!call->done && steady_ms() < until_ms)
		rig_sleep(5);
	return call->done;
}

static void
control(const char *method, const char *path, const char *body)
{
	struct rig_call *call =
	    rig_http(rig.store_control_port, method, "store", path, 0, body);

	if (!rig_wait_call(call, 5000) || call->status != 200)
		fail("the store does not answer");
}

void
rig_put(const char *key, const char *value)
{
	g_autofree char *path = g_strdup_printf("/key?key=%s", key);

	control("PUT", path, value);
}

void
rig_remove(const char *key)
{
	g_autofree char *path = g_strdup_printf("/key?key=%s", key);

	control("DELETE", path, NULL);
}

void
rig_store_mode(const char *down)
{
	g_autofree char *path = g_strdup_printf("/mode?down=%s", down);

	control("GET", path, NULL);
}

static void
end_proc(struct rig_proc *proc)
{
	if (proc->pid <= 0)
		return;
	kill(proc->pid, SIGKILL);
	waitpid(proc->pid, NULL, 0);
	proc->pid = 0;
}

void
rig_close(void)
{
	const char *name;
	GDir *dir;
	int i;

	for (i = 0; i < rig.n_entries; i++)
		end_proc(&rig.entries[i]);
	for (i = 0; i < rig.n_agents; i++) {
		end_proc(&rig.agents[i]);
		end_proc(&rig.workers[i].proc);
	}
	end_proc(&rig.store);
	if (getenv("RIG3_KEEP") != NULL) {
		fprintf(stderr, "kept: %s\n", rig.dir);
		return;
	}
	dir = rig.dir == NULL ? NULL : g_dir_open(rig.dir, 0, NULL);
	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path = g_build_filename(rig.dir, name, NULL);

		unlink(path);
	}
	if (dir != NULL) {
		g_dir_close(dir);
		rmdir(rig.dir);
	}
}
