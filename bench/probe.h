#ifndef SP_BENCH_PROBE_H
#define SP_BENCH_PROBE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "system.h"

/*
 * Support for benchmarks: output of results, resource usage of processes, and
 * an asynchronous HTTP client that reuses its connections.
 */

/*
 * Prints each result as a line "name value unit" or, with json, all of them
 * as one JSON array in results_end().
 */
void results_begin(bool json);
void report(const char *unit, double value, const char *name, ...)
    __attribute__((format(printf, 3, 4)));
void results_end(void);
/*
 * Reports median, mean, P99 and number of the values as <name>.median, .mean,
 * .p99 and .n.  Sorts the values.
 */
void report_distribution(const char *name, const char *unit, GArray *doubles);

/*
 * Resource usage of a process and totals of its metrics at one time: RPC bytes
 * in both directions, RPC bytes and records sent, calls to the store and tasks
 * started.  In a difference of two readings, at_s is the time between them.
 */
struct reading {
	double at_s, cpu_us, rss_kb;
	double bytes, bytes_out, records_out, store_calls, starts;
};
struct reading read_entry(struct sys *sys, int entry);
struct reading read_agent(struct sys *sys, int agent);
/* Returns after - before, except that rss_kb is that of after. */
struct reading reading_since(struct reading before, struct reading after);
/* Returns a value of metrics in the Prometheus text format; 0: not there. */
double metric_value(const char *text, const char *name);
/* Returns the answer of the agent's /metrics. */
const char *agent_metrics(struct sys *sys, int agent);

struct call {
	bool done;
	int status; /* 0: no complete answer */
	int64_t sent_us, ended_us;
	char *body; /* NUL-terminated */
};
typedef void (*call_fn)(struct call *call, void *ctx);
/*
 * Sends a request; on_done may be NULL.  The call must be freed, but only
 * after it is done.
 */
struct call *call_send(const char *method, const char *url, const char *body,
    call_fn on_done, void *ctx);
void call_free(struct call *call);

#endif
