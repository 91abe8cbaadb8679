#ifndef SP_ENTRYCONFIG_H
#define SP_ENTRYCONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "process/status.h"
#include "version/keyspace.h"
#include "version/routes.h"

/*
 * A dead connection to the store is detected when a watch times out.  With
 * this limit a configuration change still takes effect within the 2 s that
 * operators are promised.
 */
#define ECF_STORE_WATCH_MS 1500

/* Within this time a new configuration is in force everywhere. */
#define ECF_CURRENT_MS 2000

/*
 * What an entry knows of the operators' configuration: a copy of their keys in
 * the store, with the queues and the failure domains that are out of service.
 */
struct ecf;

/* The operators' keys in the store and the functions that parse them. */
struct ecf_layout {
	const char *operators_prefix;
	const char *out_prefix; /* of those that out() reads */
	/* NULL when the items hold no valid configuration. */
	struct rts *(*routes)(GHashTable *items, struct status *st);
	/* Whether the items hold the configuration that was written first. */
	bool (*is_first)(GHashTable *items);
	/* Failure domains out of service; freed with g_strfreev(). */
	char **(*out)(GHashTable *items);
};

struct ecf_options {
	const struct ks *ks;		 /* borrowed */
	const struct ecf_layout *layout; /* borrowed */
	/*
	 * The configuration or the failure domains may have changed; first:
	 * this is the first valid configuration.
	 */
	void (*changed)(bool first, void *ctx);
	void *ctx;
};

struct ecf *ecf_new(const struct ecf_options *opts);
/* NULL is allowed. */
void ecf_free(struct ecf *ecf);

/* NULL until a valid configuration was read; valid until the next change. */
const struct rts *ecf_routes(const struct ecf *ecf);
bool ecf_is_out(const struct ecf *ecf, const char *domain);
/* Ends with NULL; valid until the next change. */
char **ecf_out_domains(const struct ecf *ecf);
/* Revision of the store that the copy shows. */
int64_t ecf_revision(const struct ecf *ecf);
/* Time since the store has confirmed the copy; -1: there is none. */
int64_t ecf_age_ms(const struct ecf *ecf);

/*
 * Whether this process has seen each configuration that was in force in the last
 * for_ms, as far as the store had told by ECF_CURRENT_MS ago.
 */
bool ecf_has_seen_all(const struct ecf *ecf, int64_t for_ms);

/* Logs that the store can be reached again, or why it can't. */
void ecf_log_store(const char *copy, bool reachable, const struct status *st,
    int64_t revision);

#endif
