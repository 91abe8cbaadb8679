#include <fcntl.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "harness.h"
#include "process/clock.h"

/* Below the kernel's range of ephemeral ports for outgoing connections. */
#define PORT_FIRST 12000
#define PORT_LAST  32000

struct hn_proc {
	char *name;
	char *log;
	char **argv;
	GSubprocess *sub;
	pid_t pid;
};

struct exchange {
	struct hn_http public;
	SoupMessage *msg;
	GCancellable *cancel;
	GBytes *bytes;
	int64_t start_ms;
};

static char *run_dir;
static GPtrArray *procs;
static GPtrArray *strings;
static GPtrArray *exchanges;
static SoupSession *session;

static void
abort_test(const char *what, const char *why)
{
	fprintf(stderr, "harness: %s: %s\n", what, why);
	abort();
}

static const char *
build_dir(void)
{
	const char *build = getenv("BUILD_DIR");

	return build != NULL ? build : "build";
}

static void
init_harness(void)
{
	if (run_dir != NULL)
		return;
	run_dir = g_build_filename(build_dir(), "run-XXXXXX", NULL);
	if (g_mkdtemp(run_dir) == NULL)
		abort_test(run_dir, g_strerror(errno));
	procs = g_ptr_array_new();
	strings = g_ptr_array_new_with_free_func(g_free);
	exchanges = g_ptr_array_new();
	session = soup_session_new_with_options("timeout", 120, "max-conns",
	    1000, "max-conns-per-host", 1000, NULL);
}

/* Creates the directory on first use. */
const char *
hn_dir(void)
{
	init_harness();
	return run_dir;
}

/* The string is freed by hn_finish(). */
const char *
hn_str(const char *fmt, ...)
{
	va_list ap;
	char *s;

	init_harness();
	va_start(ap, fmt);
	s = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(strings, s);
	return s;
}

const char *
hn_write(const char *name, const char *text)
{
	const char *path = hn_str("%s/%s", hn_dir(), name);

	if (!g_file_set_contents(path, text, -1, NULL))
		abort_test(path, "cannot write the file");
	return path;
}

static bool
port_is_free(uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
	bool ok;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	close(fd);
	return ok;
}

/*
 * Allocates ports in ascending order and wraps around at PORT_LAST.  The last
 * allocated port is kept in a file shared by all build directories, since tests
 * of several build directories may run at the same time.
 */
uint16_t
hn_port(void)
{
	char *path = g_strdup_printf(
	    "%s/sequoiaplank-ports-%u", g_get_tmp_dir(), getuid());
	int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	uint16_t port = 0;

	if (fd < 0 || flock(fd, LOCK_EX) != 0)
		abort_test(path, g_strerror(errno));
	if (pread(fd, &port, sizeof(port), 0) != sizeof(port))
		port = PORT_FIRST;
	do {
		port = port < PORT_FIRST || port >= PORT_LAST ? PORT_FIRST
							      : port + 1;
	} while (!port_is_free(port));
	if (pwrite(fd, &port, sizeof(port), 0) != sizeof(port))
		abort_test(path, g_strerror(errno));
	close(fd);
	g_free(path);
	return port;
}

/* Makes the kernel kill the child when the test process dies for any reason. */
static void
die_with_parent(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void
hn_restart(struct hn_proc *proc)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	GError *error = NULL;
	int fd =
	    open(proc->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	if (proc->pid != 0 || fd < 0)
		abort_test(proc->name,
		    "still running, or its log file cannot be opened");
	g_subprocess_launcher_take_stderr_fd(launcher, fd);
	g_subprocess_launcher_take_stdout_fd(launcher, dup(fd));
	g_subprocess_launcher_set_child_setup(
	    launcher, die_with_parent, NULL, NULL);
	g_clear_object(&proc->sub);
	proc->sub = g_subprocess_launcher_spawnv(
	    launcher, (const char *const *)proc->argv, &error);
	if (proc->sub == NULL)
		abort_test(proc->name, error->message);
	g_object_unref(launcher);
	proc->pid = (pid_t)atoi(g_subprocess_get_identifier(proc->sub));
}

/* Output goes to NAME.log in hn_dir(). */
struct hn_proc *
hn_start(const char *name, const char *const argv[])
{
	struct hn_proc *proc = g_new0(struct hn_proc, 1);

	init_harness();
	proc->name = g_strdup(name);
	proc->log = g_strdup_printf("%s/%s.log", run_dir, name);
	proc->argv = g_strdupv((char **)argv);
	g_free(proc->argv[0]);
	proc->argv[0] = g_build_filename(build_dir(), argv[0], NULL);
	g_ptr_array_add(procs, proc);
	hn_restart(proc);
	return proc;
}

pid_t
hn_pid(const struct hn_proc *proc)
{
	return proc->pid;
}

/* Does nothing once the exit status was collected: the id may be reused. */
void
hn_signal(struct hn_proc *proc, int signo)
{
	if (proc->pid != 0)
		kill(proc->pid, signo);
}

int
hn_wait_exit(struct hn_proc *proc, int64_t limit_ms)
{
	int status;

	if (proc->pid == 0)
		return -1;
	if (!hn_wait_until(
		g_subprocess_get_identifier(proc->sub) == NULL, limit_ms))
		return -1;
	status = g_subprocess_get_if_exited(proc->sub)
		     ? g_subprocess_get_exit_status(proc->sub)
		     : 128 + g_subprocess_get_term_sig(proc->sub);
	proc->pid = 0;
	return status;
}

void
hn_kill(struct hn_proc *proc)
{
	hn_signal(proc, SIGKILL);
	hn_wait_exit(proc, HN_LIMIT_MS);
}

bool
hn_log_contains(const struct hn_proc *proc, const char *text)
{
	char *log = NULL;
	bool found;

	g_file_get_contents(proc->log, &log, NULL, NULL);
	found = log != NULL && strstr(log, text) != NULL;
	g_free(log);
	return found;
}

void
hn_print_log(const struct hn_proc *proc, const char *const *texts)
{
	g_autofree char *log = NULL;
	g_auto(GStrv) lines = NULL;
	int i, k;

	if (!g_file_get_contents(proc->log, &log, NULL, NULL))
		return;
	lines = g_strsplit(log, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		for (k = 0; texts[k] != NULL; k++) {
			if (strstr(lines[i], texts[k]) == NULL)
				continue;
			puts(lines[i]);
			break;
		}
	}
}

static void
free_exchange(struct exchange *ex)
{
	g_clear_object(&ex->msg);
	g_clear_object(&ex->cancel);
	g_clear_pointer(&ex->bytes, g_bytes_unref);
	json_object_put(ex->public.json);
	g_free(ex);
}

static void
remove_dir(void)
{
	GDir *d = g_dir_open(run_dir, 0, NULL);
	const char *name;

	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		char *path = g_build_filename(run_dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (d != NULL)
		g_dir_close(d);
	g_rmdir(run_dir);
}

static bool
all_exchanges_done(void)
{
	guint i;

	for (i = 0; i < exchanges->len; i++) {
		if (!((struct exchange *)exchanges->pdata[i])->public.done)
			return false;
	}
	return true;
}

/* Cancels open exchanges, kills every process and frees all memory. */
void
hn_finish(void)
{
	guint i;

	if (run_dir == NULL)
		return;
	for (i = 0; i < exchanges->len; i++)
		hn_http_cancel(exchanges->pdata[i]);
	for (i = 0; i < procs->len; i++)
		hn_kill(procs->pdata[i]);
	hn_wait_until(all_exchanges_done(), HN_LIMIT_MS);
	for (i = 0; i < procs->len; i++) {
		struct hn_proc *proc = procs->pdata[i];

		g_object_unref(proc->sub);
		g_strfreev(proc->argv);
		g_free(proc->name);
		g_free(proc->log);
		g_free(proc);
	}
	for (i = 0; i < exchanges->len; i++)
		free_exchange(exchanges->pdata[i]);
	g_ptr_array_unref(procs);
	g_ptr_array_unref(exchanges);
	g_ptr_array_unref(strings);
	g_clear_object(&session);
	remove_dir();
	g_clear_pointer(&run_dir, g_free);
}

/* Monotonic clock that hn_wait_until() uses. */
int64_t
hn_now_ms(void)
{
	return clk_now_ms();
}

static gboolean
on_sleep_timeout(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop, so that HTTP exchanges proceed during the sleep. */
void
hn_sleep(int64_t ms)
{
	bool expired = false;

	g_timeout_add(ms, on_sleep_timeout, &expired);
	while (!expired)
		g_main_context_iteration(NULL, TRUE);
}

static void
on_response(GObject *source, GAsyncResult *result, gpointer data)
{
	struct exchange *ex = data;
	struct hn_http *http = &ex->public;
	gsize len = 0;
	char *text;

	ex->bytes = soup_session_send_and_read_finish(
	    SOUP_SESSION(source), result, NULL);
	http->took_ms = clk_now_ms() - ex->start_ms;
	http->body = "";
	if (ex->bytes != NULL) {
		http->status = (int)soup_message_get_status(ex->msg);
		g_bytes_get_data(ex->bytes, &len);
		text = g_malloc(len + 1);
		memcpy(text, g_bytes_get_data(ex->bytes, NULL), len);
		text[len] = '\0';
		g_ptr_array_add(strings, text);
		http->body = text;
		http->len = len;
		http->json = json_tokener_parse(text);
	}
	http->done = true;
}

struct hn_http *
hn_http_start(const char *method, const char *url, const char *const headers[],
    const char *body)
{
	struct exchange *ex = g_new0(struct exchange, 1);
	bool chunked = headers != NULL &&
		       g_strv_contains(headers, "Transfer-Encoding: chunked");
	GBytes *bytes;
	char **field;

	init_harness();
	ex->start_ms = clk_now_ms();
	ex->cancel = g_cancellable_new();
	ex->msg = soup_message_new(method, url);
	if (ex->msg == NULL)
		abort_test(url, "invalid URL");
	/* libsoup may resend a request when a reused connection fails. */
	soup_message_add_flags(ex->msg, SOUP_MESSAGE_NEW_CONNECTION);
	soup_message_headers_append(
	    soup_message_get_request_headers(ex->msg), "Connection", "close");
	for (; headers != NULL && *headers != NULL; headers++) {
		field = g_strsplit(*headers, ": ", 2);
		soup_message_headers_append(
		    soup_message_get_request_headers(ex->msg), field[0],
		    field[1]);
		g_strfreev(field);
	}
	if (body != NULL) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    ex->msg, "application/json", bytes);
		g_bytes_unref(bytes);
		/* The length that was set just now goes before the header. */
		if (chunked)
			soup_message_headers_set_encoding(
			    soup_message_get_request_headers(ex->msg),
			    SOUP_ENCODING_CHUNKED);
	}
	g_ptr_array_add(exchanges, ex);
	soup_session_send_and_read_async(
	    session, ex->msg, G_PRIORITY_DEFAULT, ex->cancel, on_response, ex);
	return &ex->public;
}

/* Does nothing when the exchange has finished. */
void
hn_http_cancel(struct hn_http *http)
{
	if (!http->done)
		g_cancellable_cancel(((struct exchange *)http)->cancel);
}

/* Cancels the exchange on time-out, which leaves its status at 0. */
struct hn_http *
hn_http_wait(struct hn_http *http, int64_t limit_ms)
{
	if (!hn_wait_until(http->done, limit_ms)) {
		hn_http_cancel(http);
		hn_wait_until(http->done, HN_LIMIT_MS);
	}
	return http;
}

struct hn_http *
hn_http(const char *method, const char *url, const char *body)
{
	return hn_http_wait(
	    hn_http_start(method, url, NULL, body), 2 * HN_LIMIT_MS);
}

static struct json_object *
find_member(const struct hn_http *http, const char *path)
{
	struct json_object *obj = http->json;
	char **keys = g_strsplit(path, ".", -1);
	int i;

	for (i = 0; keys[i] != NULL && obj != NULL; i++) {
		if (json_object_is_type(obj, json_type_array))
			obj = json_object_array_get_idx(obj, atoi(keys[i]));
		else
			obj = json_object_object_get(obj, keys[i]);
	}
	g_strfreev(keys);
	return obj;
}

const char *
hn_json_str(const struct hn_http *http, const char *path)
{
	struct json_object *obj = find_member(http, path);

	return obj != NULL ? json_object_get_string(obj) : "";
}

int64_t
hn_json_int(const struct hn_http *http, const char *path)
{
	struct json_object *obj = find_member(http, path);

	return obj != NULL ? json_object_get_int64(obj) : -1;
}
