#ifndef SP_VOTERS_H
#define SP_VOTERS_H

#include <glib.h>

#include "config.h"
#include "members.h"

/*
 * Computes the voter sets of the document that follows another one.  vot_next()
 * is pure: it keeps no state and does no I/O.
 */

typedef bool (*vot_is_deregistered_fn)(uint64_t incarnation, void *ctx);

struct vot_input {
	const struct cfg *base; /* NULL: the first document */
	bool base_accepted;
	const struct cfg_domain *domains; /* of the next document's text */
	size_t n_domains;
	const struct mem_entry *members; /* registered entries */
	size_t n_members;
	const struct mem_entry *self;
	/* incarnation that operators declare as ended; 0: none */
	uint64_t ended;
	vot_is_deregistered_fn is_deregistered; /* see mem_is_deregistered() */
	void *ctx;
};

struct vot_sets {
	GPtrArray *sets;  /* GArray of struct cfg_voter, strings borrowed */
	bool replaced;	  /* the last set differs from that of base */
	bool adds_self;	  /* the last set newly contains this entry */
	bool marks_ended; /* some voters are newly marked as ended */
};

/* Strings are borrowed from the input; vot_free() frees the result. */
void vot_next(const struct vot_input *in, struct vot_sets *out);
void vot_free(struct vot_sets *sets);

#endif
