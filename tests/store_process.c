#include <glib.h>

#include "harness.h"
#include "store_process.h"
#include "version/etcd.h"

static const char *control_url;

/* Starts the stand-in and waits until it answers. */
const char *
store_process_start(void)
{
	uint16_t port = hn_port(), control = hn_port();

	hn_start("store",
	    (const char *[]){"standin_store", "--port", hn_str("%u", port),
		"--control-port", hn_str("%u", control), NULL});
	control_url = hn_str("http://127.0.0.1:%u/control", control);
	if (!hn_wait_until(
		hn_http("GET", hn_str("%s/counts", control_url), NULL)
			->status == 200,
		HN_LIMIT_MS))
		g_error("standin_store does not serve");
	return hn_str("http://127.0.0.1:%u", port);
}

/* Changes the behaviour of the stand-in. */
void
store_process_control(const char *request)
{
	const char *url = hn_str("%s/%s", control_url, request);

	if (hn_http("POST", url, NULL)->status != 200)
		g_error("control request %s failed", url);
}

/* Starts the stand-in and returns a client of it. */
struct store *
store_process_open(int64_t timeout_ms)
{
	struct etcd_options opts = {
	    .url = store_process_start(), .timeout_ms = timeout_ms};

	return etcd_new(&opts);
}

/* Frees the client, lets its last calls end, and stops the stand-in. */
void
store_process_close(struct store *store)
{
	store->ops->free(store);
	hn_sleep(20);
	hn_finish();
}
