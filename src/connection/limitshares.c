#include <glib.h>
#include <sys/resource.h>

#include "connection/connlimit.h"
#include "connection/limitshares.h"
#include "process/jsontext.h"

#define BYTES_PER_KB 1024
#define KB_PER_MB    1024

#define FDS_PER_CONNECTION 2
/* A connection takes some 12 KB beside its input, and up to 12 KB of unread. */
#define CONNECTIONS_PER_MB 13

/* Parts of the memory; input that is not whole takes up to twice its bytes. */
#define INCOMPLETE_SHARE 16
#define WHOLE_SHARE	 8
#define UNSENT_SHARE	 16
#define WIDE_SHARE	 16
#define JSON_SHARE	 16

/* Holds the largest job, of 256 steps that each name all before them. */
#define MIN_JSON_KB 6144

/* Returns the setting, or the share of the memory if it is 0. */
static uint64_t
bytes_of(const struct set_limits *set, int64_t setting_kb, int64_t share,
    int64_t min_kb)
{
	int64_t kb = MAX(set->memory_mb * KB_PER_MB / share, min_kb);

	return (uint64_t)(setting_kb > 0 ? setting_kb : kb) * BYTES_PER_KB;
}

static int64_t
max_fds(const struct set_limits *set)
{
	struct rlimit limit;

	if (set->max_fds > 0)
		return set->max_fds;
	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur > G_MAXINT32)
		return G_MAXINT32;
	return (int64_t)limit.rlim_cur;
}

static uint32_t
max_connections(const struct set_limits *set)
{
	if (set->max_connections > 0)
		return set->max_connections;
	return (uint32_t)MIN(max_fds(set) / FDS_PER_CONNECTION,
	    set->memory_mb * CONNECTIONS_PER_MB);
}

void
lsh_start(const struct set_limits *set, int64_t max_message_kb,
    struct ctr_registry *counters)
{
	struct cnl_options limits = {
	    .max_connections = max_connections(set),
	    .max_incomplete_bytes = bytes_of(set, set->max_incomplete_kb,
		INCOMPLETE_SHARE, max_message_kb + max_message_kb / 4),
	    .max_whole_bytes = bytes_of(set, set->max_whole_kb, WHOLE_SHARE, 0),
	    .max_unsent_bytes =
		bytes_of(set, set->max_unsent_kb, UNSENT_SHARE, 0),
	    .max_wide_bytes = bytes_of(set, 0, WIDE_SHARE, 0),
	    .times = {.head_ms = set->header_timeout_ms,
		.body_ms = set->body_timeout_ms,
		.idle_ms = set->idle_timeout_ms,
		.send_ms = set->send_timeout_ms},
	    .counters = counters,
	};

	cnl_start(&limits);
	jtx_set_max_memory(
	    bytes_of(set, set->max_json_kb, JSON_SHARE, MIN_JSON_KB));
}
