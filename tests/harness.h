#ifndef SP_HARNESS_H
#define SP_HARNESS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Runs the programs of the build directory (environment variable BUILD_DIR,
 * default "build") as real processes for one test.  Settings and logs go to
 * a directory below it that is kept only when the test fails.  All processes
 * are killed when the test process exits, even when it is killed itself.
 * Failures of the harness itself abort the test.
 */

/* Generous time-out for events that must happen. */
#define HN_LIMIT_MS 30000LL

/* A process that the harness started. */
struct hn_proc;

/* Starts a program of the build directory; argv ends with NULL. */
struct hn_proc *hn_start(const char *name, const char *const argv[]);
/* Restarts a process with the same arguments after its exit was waited for. */
void hn_restart(struct hn_proc *proc);
pid_t hn_pid(const struct hn_proc *proc); /* 0 once the exit was waited for */
void hn_signal(struct hn_proc *proc, int signo);
/* Sends SIGKILL and waits for the exit. */
void hn_kill(struct hn_proc *proc);
/*
 * Returns the exit status, 128 + signal number, or -1 when the process still
 * runs after limit_ms or was waited for before.
 */
int hn_wait_exit(struct hn_proc *proc, int64_t limit_ms);
/*
 * Returns true if the process's log contains the text.  Tests must not pass or
 * fail because of a log text.
 */
bool hn_log_contains(const struct hn_proc *proc, const char *text);
/*
 * Prints the lines of the process's log that contain one of the texts, for the
 * report of a failure; texts ends with NULL.
 */
void hn_print_log(const struct hn_proc *proc, const char *const *texts);

/*
 * Allocates a free port of 127.0.0.1.  Concurrent tests of one user get
 * different ports.
 */
uint16_t hn_port(void);
const char *hn_dir(void);
/* Writes a file in hn_dir() and returns its path; the harness owns it. */
const char *hn_write(const char *name, const char *text);
/* Formats like printf() into a string that the harness owns. */
const char *hn_str(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Kills all processes and removes hn_dir(); call when a test has passed. */
void hn_finish(void);

/* Runs the main loop for ms milliseconds. */
void hn_sleep(int64_t ms);
/* Runs the main loop until expr is true; evaluates to false on time-out. */
#define hn_wait_until(expr, limit_ms)                                          \
	({                                                                     \
		int64_t hn_end_ = hn_now_ms() + (limit_ms), hn_step_ = 1;      \
		bool hn_ok_;                                                   \
		while (!(hn_ok_ = (expr)) && hn_now_ms() < hn_end_) {          \
			hn_sleep(hn_step_);                                    \
			hn_step_ = hn_step_ < 20 ? hn_step_ + 1 : 20;          \
		}                                                              \
		hn_ok_;                                                        \
	})
int64_t hn_now_ms(void);

/* An HTTP exchange in progress or finished; the harness owns it. */
struct hn_http {
	bool done;
	int status; /* 0: no complete response */
	const char *body;
	size_t len;
	struct json_object *json; /* NULL when the body is not JSON */
	int64_t took_ms;
};

/* headers: "Name: value" strings, NULL-terminated, or NULL. */
struct hn_http *hn_http_start(const char *method, const char *url,
    const char *const headers[], const char *body);
/* Cancels an exchange by closing its connection. */
void hn_http_cancel(struct hn_http *http);
struct hn_http *hn_http_wait(struct hn_http *http, int64_t limit_ms);
/* Starts an exchange on a new connection, never reused, and waits for it. */
struct hn_http *hn_http(const char *method, const char *url, const char *body);

/*
 * Return the member of a JSON response at a path such as "a.b.0.c", or "" or -1
 * when it is missing.
 */
const char *hn_json_str(const struct hn_http *http, const char *path);
int64_t hn_json_int(const struct hn_http *http, const char *path);

#endif
