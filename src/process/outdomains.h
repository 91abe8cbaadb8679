#ifndef SP_OUTDOMAINS_H
#define SP_OUTDOMAINS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/entryconfig.h"
#include "version/keyspace.h"

/*
 * The failure domains out of service, as an agent knows them.  Entries tell it
 * with their heartbeats, and how old their copy is.  While no entry has a copy
 * that the store has confirmed lately, the agent keeps one of its own.
 */
struct odm;

struct odm_options {
	const struct ks *ks;		 /* borrowed */
	const struct ecf_layout *layout; /* borrowed */
	void (*changed)(void *ctx);
	void *ctx;
};

/* What an entry tells. */
struct odm_news {
	int64_t revision; /* of the store, 0: the entry has no copy */
	char *const *domains;
	size_t n_domains;
	int64_t confirmed_ms; /* by the store, on this clock; 0: unknown */
};

struct odm *odm_new(const struct odm_options *opts);
/* Stop the store client first.  NULL is allowed. */
void odm_free(struct odm *odm);

void odm_tell(struct odm *odm, const struct odm_news *news);
/* To be called periodically; begins and ends the reading of the store. */
void odm_tick(struct odm *odm);

bool odm_is_out(const struct odm *odm, const char *domain);
/*
 * Whether the domains are known well enough to start tasks: the store has
 * confirmed them, here or to an entry, within ODM_MAX_AGE_MS.
 */
bool odm_is_known(const struct odm *odm);
/* Revision of the store that the domains are of; 0: none. */
int64_t odm_revision(const struct odm *odm);

/*
 * While the store is out of reach of all, the last known domains hold for this
 * long: operators can't reach a store that is down either.
 */
#define ODM_MAX_AGE_MS 60000

#endif
