#ifndef SP_VOTERS_H
#define SP_VOTERS_H

#include <glib.h>

#include "config.h"
#include "members.h"

/* Voter sets of the document that follows another one; pure. */

typedef bool (*vot_is_gone_fn)(uint64_t incarnation, void *ctx);

struct vot_input {
	const struct cfg *base; /* NULL: the first document */
	bool base_accepted;
	const struct cfg_domain *domains; /* of the text to come */
	size_t n_domains;
	const struct mem_entry *members; /* registered entries */
	size_t n_members;
	const struct mem_entry *self;
	uint64_t ended;		/* incarnation declared as ended; 0: none */
	vot_is_gone_fn is_gone; /* registration certainly gone */
	void *ctx;
};

struct vot_sets {
	GPtrArray *sets; /* GArray of struct cfg_voter, strings borrowed */
	bool replaced;	 /* the last set differs from that of base */
	bool names_self; /* this entry is new in the last set */
	bool marked;	 /* voters are marked as ended that were not */
};

/* Strings are borrowed from the input; vot_free() frees the result. */
void vot_next(const struct vot_input *in, struct vot_sets *out);
void vot_free(struct vot_sets *sets);

#endif
