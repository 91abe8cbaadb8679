#ifndef SP_DRAFT_H
#define SP_DRAFT_H

#include "config.h"
#include "voters.h"

/*
 * Builds the document that results from a change to the current one.  The
 * functions are pure: they keep no state and do no I/O.
 */

enum drf_kind {
	DRF_APPLY, /* replaces the operators' text */
	DRF_OUT,   /* takes out of service or back in */
	DRF_ENDED, /* marks a voter's process as ended */
	DRF_VOTER  /* changes only the voter sets */
};

/* Fields that a kind does not use are 0. */
struct drf_change {
	enum drf_kind kind;
	const char *change_id;
	uint64_t expected_version;
	const char *text;
	enum cfg_kind out_kind;
	const char *name;
	bool out;
	uint64_t incarnation;
};

/* Both functions ignore in->domains and in->ended. */
enum st_code drf_check(const struct drf_change *change,
    const struct vot_input *in, bool *noop, struct status *st);
char *drf_write(const struct drf_change *change, const struct vot_input *in,
    struct status *st);

#endif
