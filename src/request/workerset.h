#ifndef SP_WORKERSET_H
#define SP_WORKERSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/health.h"
#include "request/speed.h"
#include "request/work.h"

/*
 * The workers that an entry knows: what they say of themselves, their room as
 * last reported, and what their tasks say of their speed and health.  Holds
 * no sockets and reads no clock.
 */
struct wks;

/* What a worker says of itself; strings are copied. */
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

struct wks_worker {
	void *link; /* of the caller */
	char *name;
	char *service; /* NULL: never described */
	char *failure_domain;
	char **labels;
	uint64_t incarnation;
	struct wk_size capacity;
	struct wk_size room; /* reported, less what was sent since */
	bool described;
	bool accepting;
	bool draining;
	bool local;
	bool unflushed;
	int64_t usable_ms; /* when it last took tasks, 0: never */
	struct spd_worker speed;
	struct spd_worker *kind;
	uint32_t open; /* tasks sent and without an outcome */
	struct hlt health;
};

/* Whether the workers of a service could run a step. */
enum wks_answer {
	WKS_USABLE,    /* one can now or, as it seems, soon */
	WKS_NONE,      /* none that could run it is usable */
	WKS_TOO_LARGE, /* the step asks more than any known worker has */
	WKS_UNKNOWN    /* no worker of the service was ever described */
};

struct wks *wks_new(void);
void wks_free(struct wks *set);

struct wks_worker *wks_add(struct wks *set, void *link);
/* Frees the worker. */
void wks_remove(struct wks *set, struct wks_worker *worker);
void wks_describe(struct wks *set, struct wks_worker *worker,
    const struct wks_description *description);
void wks_set_room(struct wks_worker *worker, const struct wk_size *room,
    bool accepting, int64_t now_ms);
/* Whether a failure domain is out of service. */
void wks_set_out_check(
    struct wks *set, bool (*is_out)(const char *domain, void *ctx), void *ctx);

size_t wks_count(const struct wks *set);
struct wks_worker *wks_get(const struct wks *set, size_t i);
/* Whether tasks may be sent to the worker now. */
bool wks_is_usable(const struct wks *set, const struct wks_worker *worker,
    const char *service);
/* Whether the worker could run a task of the step when it has the room. */
bool wks_could_run(const struct wks_worker *worker, const struct wk_step *step);
enum wks_answer wks_check(const struct wks *set, const char *service,
    const struct wk_step *step, int64_t now_ms);
bool wks_has_label(const struct wks_worker *worker, const char *label);

#endif
