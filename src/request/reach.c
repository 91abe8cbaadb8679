#include <glib.h>

#include "request/reach.h"

/*
 * For this long after the start of the process, a job is accepted although no
 * worker of its service has been described yet.
 */
#define STARTUP_GRACE_MS 3000

/*
 * Whether workers with the label that the step requires are about to be
 * connected.
 */
static bool
is_label_expected(const struct rch_query *query, const struct wk_step *step)
{
	size_t i;

	if (step->required_label == NULL || !query->workers_known)
		return false;
	for (i = 0; i < wks_count(query->workers); i++) {
		if (wks_has_label(
			wks_get(query->workers, i), step->required_label))
			return false;
	}
	return true;
}

static enum rch_result
check_step(
    const struct rch_query *query, const struct wk_step *step, int64_t now_ms)
{
	if (is_label_expected(query, step))
		return RCH_USABLE;
	switch (wks_check(query->workers, query->service, step, now_ms)) {
	case WKS_USABLE:
		return RCH_USABLE;
	case WKS_TOO_LARGE:
		return RCH_TOO_LARGE;
	case WKS_UNKNOWN:
		return query->age_ms < STARTUP_GRACE_MS ? RCH_EXPECTED
							: RCH_NONE;
	case WKS_NOT_USABLE:
		break;
	}
	return query->age_ms < query->startup_wait_ms ? RCH_EXPECTED : RCH_NONE;
}

enum rch_result
rch_check(const struct rch_query *query, int64_t now_ms)
{
	enum rch_result worst = RCH_USABLE;
	uint32_t i;

	for (i = 0; i < query->job->n_steps && worst <= RCH_EXPECTED; i++) {
		enum rch_result result =
		    check_step(query, &query->job->steps[i], now_ms);

		worst = MAX(worst, result);
	}
	return worst;
}
