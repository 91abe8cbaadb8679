#ifndef RIG_H
#define RIG_H

#include <gio/gio.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A small deployment on loopback for the cases of the review: the platform's
 * store, clients and workers as one process, and spjobd processes that are
 * started with the commands and templates of the deploy folder.
 */

#define RIG_ENTRIES    3
#define RIG_WORKERS    11
#define RIG_HOST       "desk.example"
#define RIG_PREFIX     "/desk/"
#define RIG_SERVICE    "desk"
#define RIG_WORKER_CPU 32000

/* Bounds of the users' small sites, in milliseconds. */
#define BOUND_HEARTBEAT_MS    1500
#define BOUND_MAX_HOLD_MS     1000
#define BOUND_STOP_TIMEOUT_MS 50
#define BOUND_DRAIN_MS	      2000
#define BOUND_CANCEL_MS	      3000
#define BOUND_RESEND_MS	      1300

#define WORKER_LATE_MS 2000

enum rig_exit { RIG_HELD = 0, RIG_BROKEN = 1, RIG_NOT_RUN = 2 };

/* record.c */
void rec_open(const char *folder);
void rec_line(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* A line that says how a rule was broken. */
void rec_broken(const char *format, ...) G_GNUC_PRINTF(1, 2);
int rec_n_broken(void);
int64_t rec_now_ms(void);
void rec_close(enum rig_exit code);
/* Runs the main loop for that time. */
void rig_sleep(int64_t ms);
/* Ends the case with RIG_NOT_RUN. */
void rig_fail(const char *format, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;
uint16_t rig_free_port(void);

/* proxy.c: a TCP proxy whose path can be cut */
struct proxy;
struct proxy *proxy_new(uint16_t target_port);
uint16_t proxy_port(const struct proxy *proxy);
/* Holds back all bytes and new connections until proxy_heal(). */
void proxy_cut(struct proxy *proxy);
/*
 * New connections pass at once; bytes that were held back follow lag_ms later,
 * as TCP repeats them with a growing pause.
 */
void proxy_heal(struct proxy *proxy, int64_t lag_ms);
/*
 * What clients send is delayed on connections, the first bytes of which contain
 * the mark.  The order of bytes is kept.
 */
void proxy_slow_down(
    struct proxy *proxy, const char *mark, int64_t (*delay_ms)(void));
/* New connections are reset, or no longer. */
void proxy_reset_new(struct proxy *proxy, bool reset);

/* store.c */
uint16_t store_start(void);
void store_put(const char *key, const char *text);

/* worker.c */
struct run {
	char *task;
	int64_t number;
	char *spec;
	size_t spec_len;
	int64_t cpu;
	int64_t length_ms;
	int64_t worked_ms;
	int64_t started_ms;
	int64_t stop_at_ms; /* 0: no stop was ordered */
	struct worker *worker;
};

struct worker {
	int index;
	char id[16];
	uint16_t app_port;
	uint16_t control_port; /* of its agent */
	struct proxy *link;    /* its path to the agent, or NULL */
	bool up;
	bool cut; /* calls to it are not answered */
	/* Stops get no answer and are carried out WORKER_LATE_MS later. */
	bool stops_are_late;
	bool draining;
	int64_t drain_acked_ms; /* 0: not yet */
	bool delete_acked;
	int64_t born_ms;
	int64_t clock_base_ms; /* monotonic time of its start */
	int64_t seq;
	int64_t fence;
	int64_t deadline_ms; /* of the lease, on its clock; 0: none */
	int64_t n_ends;
	int64_t n_starts;
	int64_t n_orders, n_late; /* starts and stops; those that came late */
	GPtrArray *runs;	  /* struct run */
	GPtrArray *holds;	  /* struct hold */
	struct json_object *ended;
	GHashTable *sealed; /* task to highest run number ended or stopped */
	SoupSession *session;
	guint beat_id;
};

extern struct worker workers[RIG_WORKERS];
/* Called for every start of a task. */
extern void (*worker_on_start)(struct worker *w, const struct run *run);

void worker_init(int index, uint16_t control_port);
/* Starts the worker's process, also again under the same id. */
void worker_boot(struct worker *w);
/* The process ends, with all that runs on it. */
void worker_end(struct worker *w);
/* Says now that it is draining. */
void worker_drain(struct worker *w);
/* Deregisters; delete_acked tells when that was answered. */
void worker_send_delete(struct worker *w);
const struct run *worker_find_task(const struct worker *w, const char *task);

/* nodes.c */
struct node {
	char name[24];
	const char *role; /* entry or agent */
	char *settings;	  /* path */
	char *log;	  /* path */
	GPid pid;
	bool alive;
	uint16_t front_port, ready_port, control_port;
	struct proxy *link; /* of an agent: the path to it, or NULL */
};

extern struct node entries[RIG_ENTRIES], agents[RIG_WORKERS];
/*
 * If set before nodes_start(), entries reach the agents through proxies, and
 * what the first entry sends to them is delayed by what this returns.
 */
extern int64_t (*nodes_delay_ms)(void);

/* Starts the store, all processes and workers, and waits until jobs run. */
void nodes_start(void);
void node_kill(struct node *node);
void node_start(struct node *node);
/* Whether the process has ended by itself; *status is that of waitpid(). */
bool node_has_ended(struct node *node, int *status);
void nodes_end(void);

/* client.c */
struct call {
	int status; /* 0: no answer (yet), -1: broken connection */
	bool done;
	char *answer;
	int64_t sent_ms, done_ms;
};

/* Sends a request on a connection of its own; freed with the process. */
struct call *client_send(uint16_t port, const char *method, const char *path,
    const char *body, int64_t deadline_ms);
/*
 * Sends a POST without reading the answer.  In chunks, the body has no
 * Content-Length, as HTTP/1.1 allows.
 */
void client_send_raw(
    uint16_t port, const char *path, const char *body, bool in_chunks);
bool client_wait(struct call *call, int64_t ms);
/* A best-effort job of one step. */
char *client_job(const char *spec, int count, int cpu, int estimate_ms);

#endif
