#ifndef SP_WORKERSET_H
#define SP_WORKERSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/health.h"
#include "request/slowed.h"
#include "request/speed.h"
#include "request/work.h"

/*
 * The workers that an entry knows: their descriptions, their free capacity as
 * last reported, and their speed and health as learned from their tasks.  Holds
 * no sockets and reads no clock.
 */
struct wks;

/* What a worker reports of itself; strings are copied. */
struct wks_description {
	const char *name;
	uint64_t incarnation;
	const char *service;
	const char *failure_domain;
	const char *const *labels;
	size_t n_labels;
	struct wk_size capacity;
	bool draining;
	bool local;
};

/* Which tasks a worker is for, while crashes are known. */
enum wks_use {
	WKS_ALL,
	WKS_SUSPECTS, /* also for tasks suspected of crashing workers */
	WKS_RESERVED  /* only for these and for confined queues */
};

struct wks_worker {
	void *link; /* opaque, of the caller */
	char *name;
	char *service; /* NULL: never described */
	char *failure_domain;
	char **labels;
	uint64_t incarnation;
	struct wk_size capacity;
	struct wk_size room; /* reported, less starts sent since */
	bool described;
	bool accepting; /* takes starts, as last reported */
	bool draining;
	bool local;
	enum wks_use use;
	bool unflushed;		/* starts were sent since the last flush */
	int64_t last_usable_ms; /* last report of taking starts, 0: never */
	struct spd_worker speed;
	struct spd_worker *kind;
	uint32_t speed_class; /* in the current placement pass, see kinds.h */
	struct sld slowed;    /* queues slowed there, as last reported */
	uint32_t open;	      /* tasks sent that have no outcome */
	struct hlt health;
};

/* Result of a search for a worker of a service that could run a step. */
enum wks_availability {
	WKS_USABLE,	/* one can now, or probably soon */
	WKS_NOT_USABLE, /* some could run it, but none is usable */
	WKS_TOO_LARGE,	/* the step needs more than any known worker has */
	WKS_UNKNOWN	/* no worker of the service has been described */
};

struct wks *wks_new(void);
void wks_free(struct wks *set);

struct wks_worker *wks_add(struct wks *set, void *link);
void wks_remove(struct wks *set, struct wks_worker *worker);
void wks_describe(struct wks *set, struct wks_worker *worker,
    const struct wks_description *description);
void wks_set_room(struct wks_worker *worker, const struct wk_size *room,
    bool accepting, int64_t now_ms);
/* Sets the function that says whether a failure domain is out of service. */
void wks_set_out_check(
    struct wks *set, bool (*is_out)(const char *domain, void *ctx), void *ctx);

size_t wks_count(const struct wks *set);
struct wks_worker *wks_get(const struct wks *set, size_t i);
/* Whether tasks may be sent to the worker now. */
bool wks_is_usable(const struct wks *set, const struct wks_worker *worker,
    const char *service);
/* Whether the worker is of the service, and neither draining nor out. */
bool wks_is_in_service(const struct wks *set, const struct wks_worker *worker,
    const char *service);
/*
 * Whether the worker could run a task of the step with all its capacity free.
 */
bool wks_could_run(const struct wks_worker *worker, const struct wk_step *step);
enum wks_availability wks_check(const struct wks *set, const char *service,
    const struct wk_step *step, int64_t now_ms);
bool wks_has_label(const struct wks_worker *worker, const char *label);

#endif
