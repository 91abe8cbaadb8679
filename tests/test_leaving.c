/*
 * Callers that leave before their job has ended, with real processes: each may
 * send its job to another entry 1.3 s later, so that its runs must end before.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/ptrace.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "deployment.h"
#include "rawhttp.h"
#include "runner.h"

#define TASK_MS "6000"
#define N_TASKS 2
/* For the entry to read the bytes, and to notice that they are no request. */
#define READ_MS 200
/* Less than the time after which a caller sends its job again. */
#define STOP_MS 1000

#define RESEND_MS 1300
/* Later than the lease of a run. */
#define LATE_STOP_MS 2500
/* Tasks that need the lease of every worker. */
#define OTHER_TASKS "9"
/* For the second submission of a job to start. */
#define START_MS 750

/* The estimate is one by which no run is too slow. */
#define JOB_OF(count)                                                          \
	"{\"spec\":\"" TASK_MS "\",\"best_effort\":true,\"steps\":["           \
	"{\"count\":" count ",\"cpu\":1000,\"mem_mb\":1,"                      \
	"\"estimate_ms\":300000}]}"
#define JOB JOB_OF("2")

/* What a caller sends after its request, before it closes the connection. */
struct later_bytes {
	const char *text;
	int n_times;
};

static const struct later_bytes later_bytes[] = {
    {"", 0},
    {"\r\n", 1},
    {"GET /q/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 1},
    /* More than the entry reads at once. */
    {"GET /q/ HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 1000},
};

static int64_t
count(const struct dpl *dpl, const char *name)
{
	return hn_json_int(dpl_control(dpl, "GET", "counts", NULL), name);
}

static void
send_text(int fd, const char *text)
{
	ck_assert_int_eq(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Sends a job to entry 0 and returns the connection. */
static int
send_job(const struct dpl *dpl, unsigned id)
{
	int fd = rh_connect(dpl->entry_port[0], HN_LIMIT_MS);

	send_text(fd, hn_str("POST /q/%016x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n\r\n%s",
			  id, strlen(JOB), JOB));
	return fd;
}

/* One call: the end of many small segments may not fit into the socket. */
static void
send_later_bytes(int fd, const struct later_bytes *bytes)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < bytes->n_times; i++)
		g_string_append(text, bytes->text);
	send_text(fd, text->str);
	g_string_free(text, TRUE);
}

/* Returns when the process does not run any more. */
static void
stop_process(struct hn_proc *proc)
{
	siginfo_t info;

	hn_signal(proc, SIGSTOP);
	ck_assert_int_eq(waitid(P_PID, (id_t)hn_pid(proc), &info, WSTOPPED), 0);
}

/*
 * Bytes after a request hid the end of its connection from the entry, which let
 * the job run on until its deadline.
 */
START_TEST(job_ends_when_caller_leaves_after_more_bytes)
{
	struct dpl dpl;
	unsigned i;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	for (i = 0; i < G_N_ELEMENTS(later_bytes); i++) {
		fd = send_job(&dpl, 0x100 + i);
		ck_assert(hn_wait_until(
		    count(&dpl, "running") == N_TASKS, HN_LIMIT_MS));
		send_later_bytes(fd, &later_bytes[i]);
		hn_sleep(READ_MS);
		ck_assert_int_eq(count(&dpl, "running"), N_TASKS);
		close(fd);
		ck_assert_msg(
		    hn_wait_until(count(&dpl, "running") == 0, STOP_MS),
		    "runs go on in row %u", i);
	}
	hn_finish();
}
END_TEST

/*
 * Bytes after a request hid from the entry, which was paused, that the caller
 * had left before the request was read, so that the job was started.
 */
START_TEST(job_of_caller_that_has_left_is_not_accepted)
{
	int64_t starts;
	struct dpl dpl;
	unsigned i;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	starts = count(&dpl, "starts");
	for (i = 0; i < G_N_ELEMENTS(later_bytes); i++) {
		stop_process(dpl.entry[0]);
		fd = send_job(&dpl, 0x200 + i);
		send_later_bytes(fd, &later_bytes[i]);
		close(fd);
		hn_signal(dpl.entry[0], SIGCONT);
		hn_sleep(READ_MS);
		ck_assert_msg(
		    count(&dpl, "starts") == starts, "started in row %u", i);
	}
	ck_assert(dpl_completes_job(&dpl, 0));
	hn_finish();
}
END_TEST

/* The thread of an entry that serves its callers. */
static pid_t
clients_thread(pid_t entry)
{
	g_autofree char *tasks = g_strdup_printf("/proc/%d/task", (int)entry);
	g_autoptr(GDir) dir = g_dir_open(tasks, 0, NULL);
	const char *name;

	ck_assert_ptr_nonnull(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path =
		    g_build_filename(tasks, name, "comm", NULL);
		g_autofree char *comm = NULL;

		if (g_file_get_contents(path, &comm, NULL, NULL) &&
		    strcmp(comm, "clients\n") == 0)
			return (pid_t)atoi(name);
	}
	ck_abort_msg("no thread of clients");
	return 0;
}

/* Stops one thread of a child process; the others go on. */
static void
stop_thread(pid_t thread)
{
	int status;

	ck_assert_int_eq(ptrace(PTRACE_SEIZE, thread, NULL, NULL), 0);
	ck_assert_int_eq(ptrace(PTRACE_INTERRUPT, thread, NULL, NULL), 0);
	ck_assert_int_eq(waitpid(thread, &status, __WALL), thread);
}

static void
continue_thread(pid_t thread)
{
	ck_assert_int_eq(ptrace(PTRACE_DETACH, thread, NULL, NULL), 0);
}

/* Times for which the thread is stopped. */
static const int pauses_ms[] = {420, 1000};

/*
 * Only the thread that serves the callers is paused when a caller leaves, and
 * the stops of the runs are carried out late.  The entry stated the time at
 * which it heard of it as that at which it gave the runs up, so that they were
 * still at work when the caller sent the job again.
 */
START_TEST(job_ends_when_caller_leaves_a_paused_thread)
{
	const unsigned id = 0x300;
	static const char *const headers[] = {
	    "Content-Type: application/json", "X-Deadline-Ms: 20000", NULL};
	struct hn_http *again;
	struct dpl dpl;
	pid_t thread;
	int fd;

	dpl_start(&dpl, &(struct dpl_options){0});
	thread = clients_thread(hn_pid(dpl.entry[0]));
	fd = send_job(&dpl, id);
	ck_assert(
	    hn_wait_until(count(&dpl, "running") == N_TASKS, HN_LIMIT_MS));
	hn_http_start("POST", dpl_url(&dpl, 1, hn_str("/q/%016x", id + 1)),
	    headers, JOB_OF(OTHER_TASKS));
	hn_sleep(READ_MS); /* until the others run */
	dpl_control(
	    &dpl, "GET", hn_str("mode?late_stops=%d", LATE_STOP_MS), NULL);
	stop_thread(thread);
	close(fd);
	hn_sleep(pauses_ms[_i]);
	continue_thread(thread);
	hn_sleep(RESEND_MS - pauses_ms[_i]);
	again = hn_http_start(
	    "POST", dpl_url(&dpl, 1, hn_str("/q/%016x", id)), headers, JOB);
	hn_sleep(START_MS);
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	ck_assert_int_ge(count(&dpl, "running"), N_TASKS);
	dpl_control(&dpl, "GET", "mode?late_stops=0", NULL);
	hn_http_wait(again, HN_LIMIT_MS);
	ck_assert_int_eq(count(&dpl, "twice"), 0);
	hn_finish();
}
END_TEST

ROWS_MAIN("leaving", 2 * HN_LIMIT_MS / 1000.0, G_N_ELEMENTS(pauses_ms),
    job_ends_when_caller_leaves_a_paused_thread,
    job_ends_when_caller_leaves_after_more_bytes,
    job_of_caller_that_has_left_is_not_accepted)
