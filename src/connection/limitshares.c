#include <glib.h>

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
#define UNSENT_SHARE	 8
#define WIDE_SHARE	 16
#define JSON_SHARE	 8

/* Holds a worker's heartbeat of 4 MiB and requests beside it. */
#define MIN_INCOMPLETE_KB 5120
/* Holds the largest job, of 256 steps that each name all before them. */
#define MIN_JSON_KB 6144

/* Returns the setting, or the share of the memory if it is 0. */
static uint64_t
bytes_of(const struct lsh_options *opts, int64_t setting_kb, int64_t share,
    int64_t min_kb)
{
	int64_t kb = MAX(opts->memory_mb * KB_PER_MB / share, min_kb);

	return (uint64_t)(setting_kb > 0 ? setting_kb : kb) * BYTES_PER_KB;
}

static uint32_t
max_connections(const struct lsh_options *opts)
{
	if (opts->max_connections > 0)
		return opts->max_connections;
	return (uint32_t)MIN(opts->max_fds / FDS_PER_CONNECTION,
	    opts->memory_mb * CONNECTIONS_PER_MB);
}

void
lsh_start(const struct lsh_options *opts)
{
	struct cnl_options limits = {
	    .max_connections = max_connections(opts),
	    .max_incomplete_bytes = bytes_of(opts, opts->max_incomplete_kb,
		INCOMPLETE_SHARE, MIN_INCOMPLETE_KB),
	    .max_whole_bytes =
		bytes_of(opts, opts->max_whole_kb, WHOLE_SHARE, 0),
	    .max_unsent_bytes =
		bytes_of(opts, opts->max_unsent_kb, UNSENT_SHARE, 0),
	    .max_wide_bytes = bytes_of(opts, 0, WIDE_SHARE, 0),
	    .times = opts->times,
	    .counters = opts->counters,
	};

	cnl_start(&limits);
	jtx_set_max_memory(
	    bytes_of(opts, opts->max_json_kb, JSON_SHARE, MIN_JSON_KB));
}
