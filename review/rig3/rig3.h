#ifndef RIG3_H
#define RIG3_H

#include <gio/gio.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "log3.h"

/*
 * Starts a small deployment on loopback addresses: spjobd as entries and agents,
 * the store and the workers as stand-ins, each a process of its own.  Functions
 * that wait run the main loop.  A failure to set up ends the program with 2.
 */

#define RIG_MAX 32

struct rig_proc {
	GPid pid; /* 0: not running */
	char *argv[12];
	char *settings; /* path, or NULL */
	char *output;
};

struct rig_worker {
	struct rig_proc proc;
	char *id;
	char *zone;
	char *service;
	char *labels;
	int64_t cpu;
	int port, control_port, command_port;
};

struct rig {
	char *dir;
	bool trouble; /* false with TROUBLE=0 */
	int store_port, store_control_port;
	struct rig_proc store;
	struct rig_worker workers[RIG_MAX];
	struct rig_proc agents[RIG_MAX];
	int agent_port[RIG_MAX];
	struct rig_proc entries[RIG_MAX];
	int entry_port[RIG_MAX];
	int ready_port[RIG_MAX];
	int n_agents, n_entries;
};

extern struct rig rig;

struct rig_call {
	char *name;
	int status; /* 0: none yet, -1: no answer or a broken connection */
	bool done;
	char *text; /* whole answer */
	int64_t sent_ms, done_ms;
	void (*fn)(struct rig_call *call);
	void *ctx;
	/* private */
	GSocketConnection *conn;
	GCancellable *cancellable;
	char *request;
	GString *in;
	char buffer[4096];
	int port;
};

void rig_open(int argc, char **argv);
void rig_start_store(void);
/* Adds a worker, an agent beside it; both are started. */
int rig_add_worker(
    const char *zone, const char *service, const char *labels, int64_t cpu);
int rig_add_entry(const char *zone);
void rig_spawn(struct rig_proc *proc);
void rig_spawn_worker(struct rig_worker *worker);
void rig_signal(struct rig_proc *proc, int sig, const char *what);
/* Kills and reaps. */
void rig_kill(struct rig_proc *proc, const char *what);
/* Waits for its end; false after the time. */
bool rig_wait_end(struct rig_proc *proc, int64_t ms);
void rig_command(const struct rig_worker *worker, const char *text);
void rig_put(const char *key, const char *value);
void rig_remove(const char *key);
void rig_store_mode(const char *down);
void rig_sleep(int64_t ms);
bool rig_wait_call(struct rig_call *call, int64_t ms);
struct rig_call *rig_http(int port, const char *method, const char *host,
    const char *path, int64_t deadline_ms, const char *body);
void rig_drop(struct rig_call *call);
/* Ends all processes. */
void rig_close(void);
int rig_free_port(void);

#endif
