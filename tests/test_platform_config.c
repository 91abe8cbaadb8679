/*
 * The operators' configuration in the platform's store, which must not send a
 * queue to another service than it names.
 */
#include <glib.h>
#include <string.h>

#include "platform/config.h"
#include "runner.h"
#include "version/mirror.h"

#define CONFIG_KEY "op/config"

/* Returns the service of the queue at host "h", or why there is none. */
static char *
service_of(const char *config, size_t len)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GBytes) data = g_bytes_new(config, len);
	struct mir_item item = {.data = data, .revision = 1};
	struct status st = {.message = ""};
	const struct rts_queue *queue;
	struct rts *rts;
	char *service;

	g_hash_table_insert(items, (char *)CONFIG_KEY, &item);
	rts = pcfg_layout.routes(items, &st);
	g_hash_table_unref(items);
	if (rts == NULL)
		return g_strdup(st.message);
	queue = rts_find(rts, "h", "/q/");
	service = g_strdup(queue == NULL ? "no queue" : queue->service);
	rts_unref(rts);
	return service;
}

#define CONFIG(route) "{\"version\":1,\"routes\":[" route "]}"
#define ROUTE(service)                                                         \
	"{\"host\":\"h\",\"prefix\":\"/q/\",\"service\":\"" service "\"}"

#define ROUTE_WITH(member)                                                     \
	"{\"host\":\"h\",\"prefix\":\"/q/\",\"service\":\"desk\"," member "}"

static const struct {
	const char *config;
	const char *service; /* or the reason */
} rows[] = {
    {CONFIG(ROUTE("desk")), "desk"},
    {CONFIG(ROUTE("desk\\u0000x")), "no queue"},
    {CONFIG(ROUTE("\\ud800")), "no queue"},
    {CONFIG(ROUTE("desk\\u0000x") "," ROUTE("desk")), "desk"},
    {CONFIG("{\"host\":\"h\\u0000x\",\"prefix\":\"/q/\",\"service\":\"s\"}"),
	"no queue"},
    {CONFIG("{\"host\":\"h\",\"prefix\":\"/q/\",\"service\":\"a\","
	    "\"service\":\"b\"}"),
	"an object has two members of one name"},
    {CONFIG("{\"host\":\"h\",\"prefix\":\"/q/\",\"service\":\"a\","
	    "\"service\\u0000\":\"b\"}"),
	"a name has U+0000"},
    {CONFIG(ROUTE_WITH("\"priority\":-1")), "no queue"},
    {CONFIG(ROUTE_WITH("\"priority\":4294967296")), "no queue"},
    {CONFIG(ROUTE_WITH("\"max_attempts\":0")), "desk"},
    {CONFIG(ROUTE_WITH("\"max_attempts\":4294967296")), "no queue"},
    {CONFIG(ROUTE_WITH("\"max_attempts\":\"3\"")), "no queue"},
    {CONFIG(ROUTE_WITH("\"target_completion_ms\":-60")), "no queue"},
    {CONFIG(ROUTE_WITH("\"target_completion_ms\":9223372036854775807")),
	"no queue"},
    {CONFIG(ROUTE_WITH("\"stretch\":-1")), "no queue"},
    {CONFIG(ROUTE_WITH("\"stretch\":1e300")), "no queue"},
    {CONFIG(ROUTE_WITH("\"stretch\":NaN")), "no queue"},
    {CONFIG(ROUTE_WITH("\"stretch\":1.6,\"max_attempts\":4,\"priority\":2,"
		       "\"target_completion_ms\":60,\"name\":\"r\"")),
	"desk"},
    {CONFIG(ROUTE_WITH("\"stretch\":2")), "desk"},
    {CONFIG(ROUTE_WITH("\"priority\":-1") "," ROUTE("desk")), "desk"},
    {"{\"version\":0,\"routes\":[]}", "field \"version\": number out of range"},
    {"{\"version\":1,\"limits\":{\"max_body_bytes\":-1},\"routes\":[]}",
	"field \"max_body_bytes\": number out of range"},
    {"{\"version\":1,\"limits\":{\"header_timeout_ms\":-1},\"routes\":[]}",
	"field \"header_timeout_ms\": number out of range"},
    {"{\"version\":1,\"limits\":{\"max_header_bytes\":0,"
     "\"header_timeout_ms\":0,\"idle_timeout_ms\":15000},\"routes\":[" ROUTE(
	 "desk") "]}",
	"desk"},
    {CONFIG(ROUTE("desk")) "x", "unexpected character"},
    {CONFIG(ROUTE("desk")) "\n", "desk"},
    {"{\"version\":1,\"routes\":[", "the document is not complete"},
    {"{\"version\":1}", "configuration lacks routes"},
    {"{\"routes\":[]}", "field \"version\": missing"},
};

START_TEST(one_configuration)
{
	g_autofree char *got =
	    service_of(rows[_i].config, strlen(rows[_i].config));

	ck_assert_msg(strcmp(got, rows[_i].service) == 0,
	    "%s: got \"%s\", expected \"%s\"", rows[_i].config, got,
	    rows[_i].service);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("platform_config");

	tcase_add_loop_test(tc, one_configuration, 0, (int)G_N_ELEMENTS(rows));
	return run_tcase("platform_config", tc, 0);
}
