/*
 * Heartbeats of workers: what is accepted lies in range, whole and without
 * U+0000, and what is refused has a reason and is not applied.
 */
#include <string.h>

#include "connection/address.h"
#include "fuzz/check.h"
#include "platform/heartbeat.h"

#define ID "w1"

static void
check_size(int64_t size)
{
	fz_check(size >= 0 && size <= WP_SIZE_MAX);
}

static void
check_name(const char *name, size_t min_bytes)
{
	fz_check(name != NULL);
	fz_check(
	    strlen(name) >= min_bytes && strlen(name) <= WP_NAME_MAX_BYTES);
}

static void
check_worker(const struct wp_worker *worker, void *ctx)
{
	size_t i;

	fz_check(strcmp(worker->instance, ID) == 0);
	fz_check(worker->born_ms >= 1 && worker->born_ms <= WP_BORN_MAX_MS);
	fz_check(worker->seq >= 0 && worker->seq <= WP_COUNT_MAX);
	fz_check(worker->clock_ms >= 0 && worker->clock_ms <= WP_COUNT_MAX);
	check_size(worker->capacity.cpu_milli);
	check_size(worker->capacity.memory_mb);
	check_size(worker->capacity.gpus);
	check_name(worker->service, 1);
	check_name(worker->failure_domain, 1);
	fz_check(addr_is_valid(worker->address));
	fz_check(worker->n_labels <= WP_LABELS_MAX);
	for (i = 0; i < worker->n_labels; i++)
		check_name(worker->labels[i], 0);
	++*(int *)ctx;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct status st = {.message = ""};
	int n_applied = 0;
	bool accepted = phb_decode(
	    ID, (const char *)data, size, check_worker, &n_applied, &st);

	fz_check(n_applied == accepted);
	fz_check(accepted || st.message[0] != '\0');
	return 0;
}
