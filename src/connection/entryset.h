#ifndef SP_ENTRYSET_H
#define SP_ENTRYSET_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/entrylink.h"

/*
 * The links of an agent: connects to at most max_links entries, chosen by
 * rendezvous hashing from the entry lists in replies, entries of the agent's
 * failure domain first.  Seeds are dialled while no entry is connected.
 */
struct es;

/* Whether a link may be closed now without losing results. */
typedef bool (*es_idle_fn)(uint64_t entry, void *ctx);

struct es_options {
	const char *const *seeds; /* NULL-terminated; outlives the set */
	const char *worker;	  /* outlives the set */
	const char *failure_domain;
	uint32_t max_links;
	struct el_options link; /* address is set for each link */
	es_idle_fn is_idle;
	void *ctx;
};

struct es *es_new(const struct es_options *opts);
void es_free(struct es *es);
/* Chooses again in the next loop iteration; call when a list changed. */
void es_reselect(struct es *es);
/* The open link to an entry incarnation, or NULL. */
struct el *es_find(const struct es *es, uint64_t entry);
bool es_is_listed(const struct es *es, uint64_t entry);
uint32_t es_open_links(const struct es *es);
typedef void (*es_link_fn)(struct el *el, void *ctx);
void es_each(const struct es *es, es_link_fn fn, void *ctx);

#endif
