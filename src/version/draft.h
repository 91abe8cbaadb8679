#ifndef SP_DRAFT_H
#define SP_DRAFT_H

#include "config.h"
#include "voters.h"

/* The document that a change turns its predecessor into; pure. */

enum drf_kind {
	DRF_APPLY, /* the operators' text */
	DRF_OUT,   /* out of service or back in */
	DRF_ENDED, /* a voter's process has ended */
	DRF_VOTER  /* nothing but the voter sets */
};

/* Members that a kind does not use are 0. */
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

/* Both ignore the domains and ended of the input. */
enum st_code drf_check(const struct drf_change *change,
    const struct vot_input *in, bool *noop, struct status *st);
char *drf_write(const struct drf_change *change, const struct vot_input *in,
    struct status *st);

#endif
