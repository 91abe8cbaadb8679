#include "connection/cancelwire.h"
#include "connection/peerclock.h"

bool
ccw_are_valid(const run_cancelled_args *args)
{
	uint32_t i;

	for (i = 0; i < args->jobs.jobs_len; i++) {
		const run_cancelled *job = &args->jobs.jobs_val[i];

		if (job->key == 0 || job->age_ms < 0 ||
		    job->age_ms > PCL_MAX_MS)
			return false;
	}
	return true;
}
