/*
 * The operators' configuration in the platform's store: a queue that is found
 * has values in range, and what is refused has a reason.
 */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "fuzz/check.h"
#include "platform/config.h"
#include "version/mirror.h"

#define CONFIG_KEY     "op/config"
#define MAX_NAME_BYTES 1024
#define MAX_ATTEMPTS   1000000
#define MAX_STRETCH    1000000
#define MAX_TARGET_MS  INT64_C(1000000000)

static void
check_name(const char *name)
{
	fz_check(name != NULL && strlen(name) <= MAX_NAME_BYTES);
}

static void
check_queue(const struct rts_queue *queue)
{
	check_name(queue->name);
	check_name(queue->host);
	check_name(queue->prefix);
	check_name(queue->service);
	fz_check(queue->priority <= INT32_MAX);
	fz_check(queue->max_attempts <= MAX_ATTEMPTS);
	fz_check(isfinite(queue->stretch) && queue->stretch >= 0 &&
		 queue->stretch <= MAX_STRETCH);
	fz_check(queue->target_ms >= 0 && queue->target_ms <= MAX_TARGET_MS);
	fz_check(g_ascii_strcasecmp(queue->host, "h") == 0);
	fz_check(g_str_has_prefix("/q/", queue->prefix));
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autoptr(GHashTable) items = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GBytes) config = g_bytes_new(data, size);
	struct mir_item item = {.data = config, .revision = 1};
	struct status st = {.message = ""};
	const struct rts_queue *queue;
	struct rts *rts;

	g_hash_table_insert(items, (char *)CONFIG_KEY, &item);
	rts = pcfg_layout.routes(items, &st);
	if (rts == NULL) {
		fz_check(st.message[0] != '\0');
		return 0;
	}
	fz_check(rts_version(rts) >= 1);
	queue = rts_find(rts, "h", "/q/");
	if (queue != NULL)
		check_queue(queue);
	rts_unref(rts);
	return 0;
}
