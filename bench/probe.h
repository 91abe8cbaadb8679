#ifndef SP_BENCH_PROBE_H
#define SP_BENCH_PROBE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "system.h"

/* Figures, readings of processes and an HTTP client with kept connections. */

/* Prints "name value unit", or keeps it for the JSON of figures_end(). */
void figures_begin(bool json);
void figure(const char *unit, double value, const char *name, ...)
    __attribute__((format(printf, 3, 4)));
void figures_end(void);
/* Prints P50, mean and P99 as <name>.median, .mean and .p99; n as .n. */
void figure_spread(const char *name, const char *unit, GArray *doubles);

/* One reading of a process; a difference of two is taken per second. */
struct reading {
	double at_s, cpu_us, rss_kb;
	double bytes, bytes_out, records_out, store_calls, starts;
};
struct reading read_entry(struct sys *sys, int entry);
struct reading read_agent(struct sys *sys, int agent);
/* after - before, rss_kb as it was after. */
struct reading reading_since(struct reading before, struct reading after);
double metric(const char *text, const char *name); /* 0 when missing */
const char *agent_metrics(struct sys *sys, int agent);

struct call {
	bool done;
	int status; /* 0: no whole answer */
	int64_t sent_us, ended_us;
	char *body; /* NUL-terminated */
};
typedef void (*call_fn)(struct call *call, void *ctx);
/* on_done may be NULL; the caller frees the call once done. */
struct call *call_send(const char *method, const char *url, const char *body,
    call_fn on_done, void *ctx);
void call_free(struct call *call);

#endif
