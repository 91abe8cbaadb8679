#ifndef SP_LIMITSHARES_H
#define SP_LIMITSHARES_H

#include <stdint.h>

#include "connection/intake.h"
#include "process/counters.h"

/*
 * The limits on what clients may take, as shares of the resources of a process.
 * Together the shares of memory stay below three quarters of it.
 */
struct lsh_options {
	int64_t memory_mb; /* of the process */
	uint32_t max_fds;  /* descriptors of the process */
	/* In place of a share; 0: the share. */
	uint32_t max_connections;
	int64_t max_incomplete_kb;
	int64_t max_whole_kb;
	int64_t max_unsent_kb;
	int64_t max_json_kb;
	struct itk_times times;
	struct ctr_registry *counters; /* borrowed until cnl_stop() */
};

/* Puts the limits into force; see cnl_start() and jtx_set_max_memory(). */
void lsh_start(const struct lsh_options *opts);

#endif
