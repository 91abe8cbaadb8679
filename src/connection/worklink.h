#ifndef SP_WORKLINK_H
#define SP_WORKLINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "process/status.h"

/*
 * The entry's connection to one agent of a worker that runs tasks under
 * leases.  It is reestablished when it fails.  Starts do not outlast their
 * connection: the agent stops the runs of a connection that closed or timed
 * out.
 */
struct wlk;

struct wlk_options {
	const char *address; /* "ip:port"; copied */
	const char *name;    /* of this entry; outlives the link */
	uint64_t incarnation;
	/* Fills a heartbeat to send; its array is borrowed. */
	void (*fill_heartbeat)(struct run_heartbeat_args *args, void *ctx);
	/* Until when this process has noticed that its callers left. */
	int64_t (*noticed_ms)(void *ctx);
	void (*worker)(
	    struct wlk *link, const struct run_worker_args *args, void *ctx);
	void (*update)(
	    struct wlk *link, const struct run_update_args *args, void *ctx);
	void (*crash)(
	    struct wlk *link, const struct run_crash_args *args, void *ctx);
	/*
	 * The agent knows of cancelled jobs.  Runs first of all on a connection;
	 * is_new: the agent's process is another one than on the last.
	 */
	void (*cancelled)(struct wlk *link,
	    const struct run_cancelled_args *args, bool is_new, void *ctx);
	/* The answer to wlk_tell_cancelled(). */
	void (*cancels_known)(struct wlk *link,
	    const struct run_cancels_known_args *args, void *ctx);
	/* NULL: not of interest. */
	void (*interference)(struct wlk *link,
	    const struct run_interference_args *args, void *ctx);
	void (*closed)(struct wlk *link, const struct status *why, void *ctx);
	void *ctx;
};

struct wlk *wlk_new(const struct wlk_options *opts);
/* If the link is open, closed() runs before this returns. */
void wlk_free(struct wlk *link);

const char *wlk_address(const struct wlk *link);
bool wlk_is_open(const struct wlk *link);
/* CLOCK_BOOTTIME when the link was last open, or else was created. */
int64_t wlk_last_open_ms(const struct wlk *link);
/*
 * Queues a start until wlk_flush().  False when the link is not open, this
 * process was suspended for longer than the agent waits, or the agent takes no
 * more starts before its next update.
 */
bool wlk_start(struct wlk *link, const run_start *start, GBytes *spec);
void wlk_cancel(struct wlk *link, uint64_t seq);
/* Tells the agent, and by it other entries, of cancelled jobs. */
void wlk_tell_cancelled(
    struct wlk *link, const run_cancelled *jobs, uint32_t n);
void wlk_send_interference(
    struct wlk *link, const struct run_interference_args *args);
/* Sends the queued starts and cancels. */
void wlk_flush(struct wlk *link);
/* Sends a heartbeat at once, because its content has changed. */
void wlk_send_heartbeat(struct wlk *link);
/*
 * Sends a heartbeat if one is due, or reconnects if this process was suspended.
 * To be called several times per heartbeat interval.  All links share the
 * caller's timer, since timers of their own would wake up the process for each
 * link separately.
 */
void wlk_tick(struct wlk *link);
/* Closes the connection and opens a new one. */
void wlk_reconnect(struct wlk *link, const char *why);

#endif
