#ifndef SP_ENTRYSET_H
#define SP_ENTRYSET_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/entrylink.h"

/*
 * The connections of an agent to entries.  Selects at most max_links entries by
 * rendezvous hashing, those of the agent's failure domain first, from the lists
 * that the entries send.  Seed addresses are dialled too while no connected
 * entry has sent a list.
 */
struct es;

/* Whether a link may be closed without losing unacknowledged results. */
typedef bool (*es_idle_fn)(uint64_t entry, void *ctx);

struct es_options {
	const char *const *seeds; /* NULL-terminated; outlives the set */
	const char *worker;	  /* outlives the set */
	const char *failure_domain;
	uint32_t max_links;
	struct el_options link; /* for every link, apart from its address */
	es_idle_fn is_idle;
	void *ctx;
};

struct es *es_new(const struct es_options *opts);
void es_free(struct es *es);
/*
 * Repeats the selection in the next iteration of the main loop; to be called
 * when a list of entries or the state of a link has changed.
 */
void es_reselect(struct es *es);
/* The open link to an entry incarnation, or NULL. */
struct el *es_find(const struct es *es, uint64_t entry);
/* Whether the list of any connected entry has this incarnation. */
bool es_is_listed(const struct es *es, uint64_t entry);
uint32_t es_open_links(const struct es *es);
typedef void (*es_link_fn)(struct el *el, void *ctx);
/* Calls fn for each link, whether open or not. */
void es_each(const struct es *es, es_link_fn fn, void *ctx);

#endif
