#ifndef SP_SUBSET_H
#define SP_SUBSET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Chooses the agents that an entry connects to.  With few agents these are all;
 * in a large fleet each entry takes a share, so that its cost does not grow
 * with the fleet.  The choice is by rendezvous hashing: it needs no agreement
 * between the entries, and an agent that joins or leaves changes few choices.
 * Holds no sockets and reads no clock.
 */
struct sub;

/* A registered agent and what its worker serves; strings are copied. */
struct sub_agent {
	const char *address;
	const char *service; /* "": no worker yet */
	const char *failure_domain;
	const char *const *labels; /* the first is the worker's kind */
	size_t n_labels;
};

enum sub_state {
	SUB_USABLE,
	SUB_CONNECTED, /* not usable now, but worth its connection */
	SUB_UNUSABLE
};

struct sub_options {
	const char *entry;	    /* name of the entry; copied */
	const char *failure_domain; /* of the entry; copied */
	/* Agents of a service that are chosen at least, if there are as many. */
	uint32_t size;
	enum sub_state (*state)(
	    const char *address, const char *failure_domain, void *ctx);
	void *ctx;
};

struct sub *sub_new(const struct sub_options *opts);
/* NULL is allowed. */
void sub_free(struct sub *sub);

/* Adds an agent or replaces its description. */
void sub_put(struct sub *sub, const struct sub_agent *agent);
void sub_remove(struct sub *sub, const char *address);
uint32_t sub_count(const struct sub *sub);

/*
 * Makes the next choices include agents whose workers have the label, although
 * the hash does not choose them.  Returns false when there is no such agent.
 */
bool sub_want_label(
    struct sub *sub, const char *service, const char *label, int64_t now_ms);
/*
 * Adapts the number of chosen agents to the mean number of entries that are
 * connected to each, so that with few entries no worker is out of reach.
 */
void sub_adapt(struct sub *sub, double mean_sessions);
/*
 * Returns the set of chosen addresses, to be freed by the caller; its keys are
 * valid until the next sub_put() or sub_remove().
 */
GHashTable *sub_choose(struct sub *sub, int64_t now_ms);

#endif
