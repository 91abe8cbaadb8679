#include <string.h>

#include "request/admit.h"
#include "runner.h"

/* The commands are listed in tests/cases/admit.txt. */

struct world {
	struct admit *adm;
	struct cfg *cfg;
	struct place *place;
	struct adm_snapshot snapshot;
	uint32_t worker;
};

static const char text[] =
    "{\"failure_domains\": [{\"name\": \"x\", \"entries\": true}],"
    " \"services\": [{\"name\": \"s\", \"depends_on\": [\"d\"]},"
    " {\"name\": \"d\"}, {\"name\": \"limited\", \"max_in_flight\": 10,"
    " \"max_queue\": 5, \"max_cores\": 4, \"max_memory_mb\": 100},"
    " {\"name\": \"gone\"}],"
    " \"teams\": [{\"name\": \"t\"}, {\"name\": \"q\","
    " \"max_in_flight\": 10}]}";

static bool
is_live(const char *service, void *ctx)
{
	(void)ctx;
	return strcmp(service, "gone") != 0;
}

static void
configure(struct world *w, const char *out)
{
	struct cfg_out mark = {CFG_SERVICE, out};
	struct cfg_parts parts = {.version = 1,
	    .change_id = "c",
	    .text = text,
	    .outs = &mark,
	    .n_outs = out != NULL ? 1 : 0};
	char *document = cfg_write(&parts);
	struct status st;

	cfg_unref(w->cfg);
	w->cfg = cfg_parse(document, strlen(document), &st);
	ck_assert_msg(w->cfg != NULL, "%s", st.message);
	w->snapshot.cfg = w->cfg;
	g_free(document);
}

static void *
start(void)
{
	struct place_options opts = {
	    .policy = PLACE_LEAST_WAIT, .failure_domain = "x"};
	struct place_worker worker = {.name = "w",
	    .failure_domain = "x",
	    .service = "s",
	    .slots = 1,
	    .cores = 8,
	    .memory_mb = 1000};
	struct world *w = g_new0(struct world, 1);

	w->adm = adm_new();
	w->place = place_new(&opts);
	place_add(w->place, &worker, 0);
	w->snapshot.config_confirmed = true;
	w->snapshot.live_entries = 1;
	w->snapshot.is_live = is_live;
	w->snapshot.place = w->place;
	configure(w, NULL);
	return w;
}

static void
end(void *ctx)
{
	struct world *w = ctx;

	adm_free(w->adm);
	place_free(w->place);
	cfg_unref(w->cfg);
	g_free(w);
}

static void
check(struct world *w, char **words, GString *actual)
{
	struct adm_request request = {.service = words[1],
	    .team = words[2],
	    .n_tasks = (uint32_t)atoi(words[3]),
	    .deadline_ms = 1000};
	struct status why;
	enum ref_code code;

	if (words[4] != NULL) {
		request.cores = (uint32_t)atoi(words[4]);
		request.memory_mb = (uint64_t)atoi(words[5]);
	}
	w->snapshot.service_live = is_live(words[1], NULL);
	code = adm_check(w->adm, &w->snapshot, &request, &why);
	if (code == REF_NONE) {
		adm_acquire(w->adm, words[1], words[2], request.n_tasks);
		g_string_append(actual, "ok");
		return;
	}
	/* Nothing is queued yet, whatever the reason of a refusal. */
	ck_assert_str_eq(ref_ran(code), "not_run");
	g_string_append(actual, ref_name(code));
}

static void
step(void *ctx, char **words, GString *actual)
{
	struct world *w = ctx;

	if (strcmp(words[0], "ask") == 0)
		check(w, words, actual);
	else if (strcmp(words[0], "end") == 0)
		adm_release(
		    w->adm, words[1], words[2], (uint32_t)atoi(words[3]));
	else if (strcmp(words[0], "out") == 0)
		configure(w, words[1]);
	else if (strcmp(words[0], "entries") == 0)
		w->snapshot.live_entries = (uint32_t)atoi(words[1]);
	else if (strcmp(words[0], "waiting") == 0)
		w->snapshot.waiting = (uint32_t)atoi(words[1]);
	else if (strcmp(words[0], "wait_ms") == 0)
		w->snapshot.expected_wait_ms = atoi(words[1]);
	else if (strcmp(words[0], "stale") == 0)
		w->snapshot.config_confirmed = false;
}

/* Each case says which failure it guards against. */
REPLAY_MAIN("admit", 0, start, end, step)
