#ifndef SP_WORKLINK_H
#define SP_WORKLINK_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/run_xdr.h"
#include "process/status.h"

/*
 * The entry's connection to one agent, replaced when it fails.  Nothing that
 * was sent on a former connection counts after it: the agent ends the runs
 * of a connection that closes or goes silent.
 */
struct wlk;

struct wlk_options {
	const char *address; /* "ip:port"; copied */
	const char *name;    /* of this entry; outlives the link */
	uint64_t incarnation;
	/* Fills the heartbeat; its array is borrowed. */
	void (*fill_heartbeat)(struct run_heartbeat_args *args, void *ctx);
	void (*worker)(
	    struct wlk *link, const struct run_worker_args *args, void *ctx);
	void (*update)(
	    struct wlk *link, const struct run_update_args *args, void *ctx);
	void (*closed)(struct wlk *link, const struct status *why, void *ctx);
	void *ctx;
};

struct wlk *wlk_new(const struct wlk_options *opts);
/* closed() runs before this returns if the link is open. */
void wlk_free(struct wlk *link);

const char *wlk_address(const struct wlk *link);
bool wlk_is_open(const struct wlk *link);
/* When the link was last open, or made (CLOCK_BOOTTIME). */
int64_t wlk_alive_ms(const struct wlk *link);
/* False when the connection can't be trusted with a start; it closes. */
bool wlk_start(struct wlk *link, const run_start *start, const char *spec);
void wlk_cancel(struct wlk *link, uint64_t seq);
/* Sends the starts and cancels since the last call. */
void wlk_flush(struct wlk *link);
/* Sends a heartbeat now, for news. */
void wlk_send_heartbeat(struct wlk *link);
/*
 * To be called several times as often as heartbeats are due.  The links share
 * the caller's timer: each timer of its own would wake the process apart.
 */
void wlk_tick(struct wlk *link);
/* Closes the connection and makes a new one. */
void wlk_reconnect(struct wlk *link, const char *why);

#endif
