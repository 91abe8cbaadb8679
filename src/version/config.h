#ifndef SP_CONFIG_H
#define SP_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * One version of the configuration document: the text that operators edit, what
 * they have taken out of service, the voter sets, and the latest changes.
 * Immutable and reference counted.
 */
struct cfg;

enum cfg_kind { CFG_FAILURE_DOMAIN, CFG_WORKER, CFG_SERVICE };

/* Limits are 0 when the text does not set them. */
struct cfg_service {
	const char *name;
	const char *const *depends_on; /* NULL-terminated */
	bool external;
	uint32_t max_in_flight;
	uint32_t max_queue;
	uint32_t max_cores;
	uint64_t max_memory_mb;
};

struct cfg_team {
	const char *name;
	uint32_t max_in_flight;
};

/*
 * The entry incarnation that votes for a failure domain: a majority of the
 * voters must hold a version before it counts as accepted.
 */
struct cfg_voter {
	const char *failure_domain;
	uint64_t incarnation;
	const char *address; /* RPC; "" if unknown */
	/* Its process is known to have ended, so it can't vote any more. */
	bool ended;
};

/* A change by operators; the document lists the latest CFG_CHANGES_MAX. */
struct cfg_change {
	const char *change_id;
	uint64_t version; /* created by the change */
};

#define CFG_CHANGES_MAX	   16
#define CFG_CHANGE_ID_MAX  128
#define CFG_VOTER_SETS_MAX 64

struct cfg_out {
	enum cfg_kind kind;
	const char *name;
};

struct cfg_domain {
	const char *name;
	const char *region; /* empty: not set */
	bool entries;	    /* holds entries, so it has a voter */
};

struct cfg_voter_set {
	const struct cfg_voter *voters;
	size_t n;
};

/* The parts of a document, from which cfg_write() writes it. */
struct cfg_parts {
	uint64_t version;
	const char *change_id;
	const char *text;
	const struct cfg_out *outs;
	size_t n_outs;
	const struct cfg_voter_set *voter_sets;
	size_t n_voter_sets;
	const struct cfg_change *changes; /* oldest first */
	size_t n_changes;
};

/* Returns the document as JSON; the caller frees it with g_free(). */
char *cfg_write(const struct cfg_parts *parts);
const char *cfg_kind_name(enum cfg_kind kind);
bool cfg_kind_parse(const char *name, enum cfg_kind *kind);

/* Parses a stored document; NULL on error. */
struct cfg *cfg_parse(const char *document, size_t len, struct status *st);
/* Checks an operators' text; error messages refer to it by name. */
bool cfg_check_text(
    const char *name, const char *text, size_t len, struct status *st);
struct cfg *cfg_ref(struct cfg *cfg);
void cfg_unref(struct cfg *cfg);

/* Pointers returned by the functions below are valid as long as cfg. */
uint64_t cfg_version(const struct cfg *cfg);
const char *cfg_document(const struct cfg *cfg, size_t *len);
const char *cfg_text(const struct cfg *cfg);
const char *cfg_change_id(const struct cfg *cfg);
bool cfg_is_out(const struct cfg *cfg, enum cfg_kind kind, const char *name);
const struct cfg_service *cfg_services(const struct cfg *cfg, size_t *n);
const struct cfg_service *cfg_service(const struct cfg *cfg, const char *name);
const struct cfg_team *cfg_team(const struct cfg *cfg, const char *name);
const struct cfg_domain *cfg_domains(const struct cfg *cfg, size_t *n);
const struct cfg_change *cfg_changes(const struct cfg *cfg, size_t *n);
/* Version created by a change; 0: not among the changes listed. */
uint64_t cfg_change_version(const struct cfg *cfg, const char *change_id);
const struct cfg_out *cfg_outs(const struct cfg *cfg, size_t *n);
size_t cfg_voter_sets(const struct cfg *cfg);
const struct cfg_voter *cfg_voters(
    const struct cfg *cfg, size_t set, size_t *n);

typedef bool (*cfg_is_live_fn)(const char *service, void *ctx);
/*
 * Returns the first service that blocks the given one: the service itself if it
 * is out of service, or a direct or indirect dependency that is out of service
 * or is neither external nor live.  NULL if nothing blocks it.
 */
const char *cfg_blocked_by(const struct cfg *cfg, const char *service,
    cfg_is_live_fn is_live, void *ctx);

#endif
