#ifndef SP_OPERATORS_H
#define SP_OPERATORS_H

#include <json-c/json.h>
#include <stdint.h>

#include "process/status.h"
#include "version/change.h"
#include "version/fresh.h"
#include "version/members.h"
#include "version/reader.h"

/* HTTP interface of an entry for operators; see docs/design.md, section 7. */
struct ops;

struct ops_options {
	const char *listen; /* "ip:port"; port 0 picks a free one */
	struct chg *chg;    /* these objects must outlive the ops */
	struct fresh *fresh;
	struct rdr *rdr;
	struct mem *mem;
	struct mem_entry self; /* strings must outlive the ops */
	/* Adds the state of agents and queues to GET /v1/status. */
	void (*add_status)(struct json_object *status, void *ctx);
	/* Results are freed with g_free(). */
	char *(*metrics)(void *ctx);
	char *(*traces)(const char *trace_id, void *ctx);
	void *ctx;
};

/* Returns NULL and sets *st on error.  Each callback may be NULL. */
struct ops *ops_new(const struct ops_options *opts, struct status *st);
/* Requests in progress get no answer, but their changes go on. */
void ops_free(struct ops *ops);
uint16_t ops_port(const struct ops *ops);

#endif
