#ifndef SP_OPERATORS_H
#define SP_OPERATORS_H

#include <json-c/json.h>
#include <stdint.h>

#include "process/status.h"
#include "version/change.h"
#include "version/fresh.h"
#include "version/members.h"
#include "version/reader.h"

/* Operators' HTTP of an entry, see section 7 of docs/design.md. */
struct ops;

struct ops_options {
	const char *listen; /* "ip:port"; port 0 picks a free one */
	struct chg *chg;    /* all objects must outlive the ops */
	struct fresh *fresh;
	struct rdr *rdr;
	struct mem *mem;
	struct mem_entry self; /* strings must outlive the ops */
	/* Adds what the entry knows (agents, queues) to GET /v1/status. */
	void (*add_status)(struct json_object *status, void *ctx);
	char *(*metrics)(void *ctx);			  /* g_free()d */
	char *(*traces)(const char *trace_id, void *ctx); /* g_free()d */
	void *ctx;
};

/* NULL on error; any of the callbacks may be NULL. */
struct ops *ops_new(const struct ops_options *opts, struct status *st);
/* Requests in progress get no answer; their changes go on. */
void ops_free(struct ops *ops);
uint16_t ops_port(const struct ops *ops);

#endif
