#ifndef SP_ODD_HEARTBEAT_H
#define SP_ODD_HEARTBEAT_H

#include "deployment.h"

/*
 * Heartbeats of another writer than the worker that they speak of.  They tell its
 * true capacity: under its id, start and next number an agent has to believe it.
 */

#define OHB_INSTANCES_PATH "/sequoiaplank/instances/"

struct ohb_row {
	const char *name;
	const char *id; /* NULL: the worker's */
	const char *born;
	int64_t born_later_ms; /* than the worker, if born is NULL */
	const char *address;   /* NULL: the worker's */
	const char *seq;       /* NULL: above the worker's */
	const char *clock_ms;  /* NULL: the worker's */
	const char *rest;      /* further fields */
	const char *service;   /* NULL: that of the worker */
	int capacity_milli;    /* 0: that of the worker */
};

extern const struct ohb_row ohb_rows[];
extern const int ohb_n_rows;

/* Does not wait for the agent's answer. */
struct hn_http *ohb_send(
    const struct dpl *dpl, int worker, const struct ohb_row *row);

#endif
