#include <glib.h>
#include <string.h>

#include "runner.h"
#include "version/config.h"

static const char text[] =
    "{\"failure_domains\": [{\"name\": \"puget\", \"entries\": true},\n"
    "  {\"name\": \"inland\", \"region\": \"pnw\"}],\n"
    " \"services\": [{\"name\": \"club-desk\", \"depends_on\": [\"ledger\"],\n"
    "    \"max_cores\": 64},\n"
    "  {\"name\": \"ledger\", \"depends_on\": [\"bank\"]},\n"
    "  {\"name\": \"bank\", \"external\": true}],\n"
    " \"teams\": [{\"name\": \"t1\", \"max_in_flight\": 7}],\n"
    " \"limits\": {\"max_queue\": 9, \"max_cores\": 2}}";

/*
 * Guards against an invalid operators' text that is accepted, or refused
 * without the place of the error.
 */
static char *
check_text(const char *name, const char *input)
{
	struct status st = {.message = "ok"};
	bool ok = cfg_check_text("t", input, strlen(input), &st);

	ck_assert_msg(ok == (strcmp(st.message, "ok") == 0), "%s", name);
	return g_strdup(st.message);
}

static struct cfg *
make_config(const struct cfg_out *outs, size_t n_outs)
{
	struct cfg_voter voters[] = {
	    {.failure_domain = "puget", .incarnation = 0xfedcba9876543210}};
	struct cfg_voter_set set = {voters, 1};
	struct cfg_parts parts = {.version = 12,
	    .change_id = "change-1",
	    .text = text,
	    .outs = outs,
	    .n_outs = n_outs,
	    .voter_sets = &set,
	    .n_voter_sets = 1};
	char *document = cfg_write(&parts);
	struct status st;
	struct cfg *cfg = cfg_parse(document, strlen(document), &st);

	ck_assert_msg(cfg != NULL, "%s", st.message);
	g_free(document);
	return cfg;
}

/* Guards against a part of a document that is not written or not read back. */
START_TEST(document_round_trip)
{
	struct cfg_out out = {CFG_WORKER, "w7"};
	struct cfg *cfg = make_config(&out, 1);
	const struct cfg_service *service = cfg_service(cfg, "club-desk");
	size_t n;

	ck_assert_uint_eq(cfg_version(cfg), 12);
	ck_assert_str_eq(cfg_change_id(cfg), "change-1");
	ck_assert_str_eq(cfg_text(cfg), text);
	ck_assert(cfg_is_out(cfg, CFG_WORKER, "w7"));
	ck_assert(!cfg_is_out(cfg, CFG_SERVICE, "w7"));
	ck_assert_uint_eq(service->max_cores, 64);
	ck_assert_uint_eq(service->max_queue, 9);
	ck_assert_uint_eq(cfg_service(cfg, "bank")->max_cores, 2);
	ck_assert_uint_eq(cfg_team(cfg, "t1")->max_in_flight, 7);
	ck_assert_ptr_null(cfg_team(cfg, "t2"));
	ck_assert(cfg_domains(cfg, &n)[0].entries);
	ck_assert_uint_eq(n, 2);
	ck_assert_uint_eq(cfg_voter_sets(cfg), 1);
	ck_assert(cfg_voters(cfg, 0, &n)[0].incarnation == 0xfedcba9876543210);
	cfg_unref(cfg);
}
END_TEST

static bool
is_live(const char *service, void *ctx)
{
	return g_strv_contains(ctx, service);
}

/*
 * Guards against starting a task while a direct or indirect dependency of its
 * service is out of service or not live.
 */
START_TEST(blocked_by_dependencies)
{
	const char *ledger[] = {"ledger", NULL}, *none[] = {NULL};
	struct cfg_out out = {CFG_SERVICE, "bank"};
	struct cfg *cfg = make_config(NULL, 0);

	ck_assert_ptr_null(cfg_blocked_by(cfg, "club-desk", is_live, ledger));
	ck_assert_str_eq(
	    cfg_blocked_by(cfg, "club-desk", is_live, none), "ledger");
	cfg_unref(cfg);
	cfg = make_config(&out, 1);
	ck_assert_str_eq(
	    cfg_blocked_by(cfg, "club-desk", is_live, ledger), "bank");
	cfg_unref(cfg);
}
END_TEST

/* Guards against adopting parts of a malformed document. */
START_TEST(malformed_documents)
{
	const char *bad[] = {"", "{}", "[]",
	    "{\"version\": 0, \"change_id\": \"\", \"text\": \"\", "
	    "\"out\": [], \"voter_sets\": []}",
	    "{\"version\": 1, \"change_id\": \"\", \"text\": \"{}\", "
	    "\"out\": [], \"voter_sets\": []}",
	    "{\"version\": 1, \"change_id\": \"\", \"text\": "
	    "\"{\\\"failure_domains\\\":[],\\\"services\\\":[]}\", "
	    "\"out\": [], \"voter_sets\": [[{\"incarnation\": \"0\"}]]}"};
	struct status st;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_ptr_null(cfg_parse(bad[i], strlen(bad[i]), &st));
}
END_TEST

CASES_MAIN("config", check_text, document_round_trip, blocked_by_dependencies,
    malformed_documents)
