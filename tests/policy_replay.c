#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "policy_replay.h"
#include "request/eject.h"
#include "request/place.h"

#define CASES "tests/cases"

struct worker {
	char *name;
	uint32_t id;
	int64_t run_ms; /* of "serve" */
	bool fails;
	int64_t given; /* starts in the last "serve" */
};

struct flight {
	struct worker *worker;
	int64_t end_ms;
};

struct replay {
	const char *file;
	int line;
	char **words;
	struct place *place;
	struct eject *eject;
	GPtrArray *workers;
	int64_t now_ms;
	int failed;
};

static void
differs(struct replay *r, const char *what, const char *got)
{
	r->failed++;
	fprintf(stderr, "%s:%d: %s: got %s\n", r->file, r->line, what, got);
}

/* A line that can't be run stops the test program. */
static void
malformed(const struct replay *r, const char *what)
{
	g_error("%s:%d: malformed line: %s", r->file, r->line, what);
}

static void
expect_number(struct replay *r, const char *what, int64_t want, int64_t got)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, got);
	if (want != got)
		differs(r, what, text);
}

/* Value of the word "key=value" of the current line. */
static const char *
text_of(const struct replay *r, const char *key, const char *otherwise)
{
	size_t len = strlen(key);
	int i;

	for (i = 1; r->words[i] != NULL; i++) {
		if (strncmp(r->words[i], key, len) == 0 &&
		    r->words[i][len] == '=')
			return r->words[i] + len + 1;
	}
	return otherwise;
}

static int64_t
number_of(const struct replay *r, const char *key, int64_t otherwise)
{
	const char *text = text_of(r, key, NULL);

	return text == NULL ? otherwise : g_ascii_strtoll(text, NULL, 10);
}

static bool
flag_of(const struct replay *r, const char *flag)
{
	return g_strv_contains((const char *const *)r->words + 1, flag);
}

static const char *
word(const struct replay *r, guint i)
{
	if (g_strv_length(r->words) <= i)
		malformed(r, r->words[0]);
	return r->words[i];
}

static struct worker *
worker_of(const struct replay *r)
{
	const char *name = word(r, 1);
	guint i;

	for (i = 0; i < r->workers->len; i++) {
		struct worker *w = r->workers->pdata[i];

		if (strcmp(w->name, name) == 0)
			return w;
	}
	malformed(r, name);
	return NULL;
}

static struct worker *
worker_by_id(const struct replay *r, uint32_t id)
{
	guint i;

	for (i = 0; i < r->workers->len; i++) {
		struct worker *w = r->workers->pdata[i];

		if (w->id == id)
			return w;
	}
	return NULL;
}

static void
worker_free(gpointer data)
{
	struct worker *w = data;

	g_free(w->name);
	g_free(w);
}

static struct place_task
task_of(const struct replay *r)
{
	struct place_task task = {.service = text_of(r, "service", "s"),
	    .declared_ms = number_of(r, "declared", 0),
	    .cores = (uint32_t)number_of(r, "cores", 1),
	    .memory_mb = (uint64_t)number_of(r, "memory", 1)};

	return task;
}

static void
do_options(struct replay *r)
{
	struct place_options opts = {
	    .failure_domain = text_of(r, "domain", "a"),
	    .ahead = (uint32_t)number_of(r, "ahead", 0),
	    .seed = (uint32_t)number_of(r, "seed", 1),
	    .prefer_local = flag_of(r, "prefer_local")};

	if (!place_policy_parse(
		text_of(r, "policy", "least_wait"), &opts.policy))
		malformed(r, "policy");
	place_free(r->place);
	r->place = place_new(&opts);
}

static void
do_add(struct replay *r)
{
	struct place_worker pw = {.name = word(r, 1),
	    .failure_domain = text_of(r, "domain", "a"),
	    .service = text_of(r, "service", "s"),
	    .slots = (uint32_t)number_of(r, "slots", 8),
	    .cores = (uint32_t)number_of(r, "cores", 8),
	    .memory_mb = (uint64_t)number_of(r, "memory", 1000)};
	struct worker *w = g_new0(struct worker, 1);

	w->name = g_strdup(pw.name);
	w->id = place_add(r->place, &pw, r->now_ms);
	w->run_ms = number_of(r, "run", 100);
	w->fails = flag_of(r, "fails");
	ej_add(r->eject, w->id, pw.service);
	g_ptr_array_add(r->workers, w);
}

static void
do_report(struct replay *r)
{
	struct place_load load = {.slots = (uint32_t)number_of(r, "slots", 8),
	    .busy = (uint32_t)number_of(r, "busy", 0),
	    .queued = (uint32_t)number_of(r, "queued", 0),
	    .draining = flag_of(r, "draining")};

	place_report(r->place, worker_of(r)->id, &load,
	    (uint32_t)number_of(r, "outstanding", 0), r->now_ms);
}

static struct worker *
start(struct replay *r, const struct place_task *task)
{
	struct worker *w;
	guint i;

	for (i = 0; i < r->workers->len; i++) {
		w = r->workers->pdata[i];
		if (ej_is_ejected(r->eject, w->id))
			place_set_usable(r->place, w->id,
			    ej_may_start(r->eject, w->id, r->now_ms));
		else if (w->run_ms > 0)
			place_set_usable(r->place, w->id, true);
	}
	w = worker_by_id(r, place_choose(r->place, task, r->now_ms));
	if (w == NULL)
		return NULL;
	place_dispatched(r->place, w->id, task, r->now_ms);
	ej_started(r->eject, w->id, r->now_ms);
	return w;
}

static void
do_choose(struct replay *r)
{
	struct place_task task = task_of(r);
	struct worker *w = start(r, &task);
	const char *got = w == NULL ? "none" : w->name;

	if (strcmp(got, word(r, 1)) != 0)
		differs(r, "choose", got);
}

static void
finish(struct replay *r, struct worker *w, enum place_outcome outcome,
    int64_t run_ms)
{
	struct place_task task = task_of(r);

	place_finished(
	    r->place, w->id, &task, outcome, run_ms * 1000, r->now_ms);
	if (outcome == PLACE_NOT_STARTED)
		ej_not_started(r->eject, w->id);
	else
		ej_outcome(r->eject, w->id, outcome == PLACE_FAILED, r->now_ms);
}

static void
do_finish(struct replay *r)
{
	struct worker *w = worker_of(r);
	int64_t n = number_of(r, "times", 1);
	enum place_outcome outcome = flag_of(r, "failed") ? PLACE_FAILED
				     : flag_of(r, "not_started")
					 ? PLACE_NOT_STARTED
					 : PLACE_OK;

	while (n-- > 0)
		finish(r, w, outcome, number_of(r, "run", 100));
}

static void
land(struct replay *r, GArray *flights)
{
	guint i = 0;

	while (i < flights->len) {
		struct flight f = g_array_index(flights, struct flight, i);

		if (f.end_ms > r->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(flights, i);
		finish(r, f.worker, f.worker->fails ? PLACE_FAILED : PLACE_OK,
		    f.worker->run_ms);
	}
}

/* A task every gap ms, each ending when its worker says; none waits. */
static void
do_serve(struct replay *r)
{
	GArray *flights = g_array_new(FALSE, FALSE, sizeof(struct flight));
	struct place_task task = task_of(r);
	int64_t n = number_of(r, "tasks", 100);
	guint i;

	for (i = 0; i < r->workers->len; i++)
		((struct worker *)r->workers->pdata[i])->given = 0;
	for (; n > 0 || flights->len > 0; n--) {
		struct flight f = {0};

		place_begin_pass(r->place, r->now_ms);
		f.worker = n > 0 ? start(r, &task) : NULL;
		if (f.worker != NULL) {
			f.worker->given++;
			f.end_ms = r->now_ms + f.worker->run_ms;
			g_array_append_val(flights, f);
		}
		r->now_ms += number_of(r, "gap", 10);
		land(r, flights);
	}
	g_array_unref(flights);
}

static void
do_given(struct replay *r)
{
	int64_t given = worker_of(r)->given;

	if (given < number_of(r, "min", 0) ||
	    given > number_of(r, "max", INT64_MAX))
		expect_number(r, "given", -1, given);
}

static void
do_set(struct replay *r)
{
	struct worker *w = worker_of(r);

	w->run_ms = number_of(r, "run", w->run_ms);
	if (flag_of(r, "ok") || flag_of(r, "fails"))
		w->fails = flag_of(r, "fails");
}

static void
do_usable(struct replay *r)
{
	bool usable = !flag_of(r, "no");

	place_set_usable(r->place, worker_of(r)->id, usable);
	worker_of(r)->run_ms = usable ? 100 : 0;
}

static void
do_remove(struct replay *r)
{
	struct worker *w = worker_of(r);

	place_remove(r->place, w->id);
	ej_remove(r->eject, w->id);
	g_ptr_array_remove(r->workers, w);
}

static void
do_ask(struct replay *r)
{
	struct place_task task = task_of(r);
	const char *what = word(r, 1);
	int64_t want = g_ascii_strtoll(word(r, 2), NULL, 10);
	int64_t got = -2;

	if (strcmp(what, "can_ever_run") == 0)
		got = place_can_ever_run(r->place, &task);
	else if (strcmp(what, "wait_ms") == 0)
		got = place_expected_wait_ms(r->place, task.service,
		    (uint32_t)number_of(r, "waiting", 0), r->now_ms);
	else if (strcmp(what, "free_slots") == 0)
		got = place_free_slots(r->place, task.service);
	else if (strcmp(what, "live") == 0)
		got = place_has_live_worker(r->place, task.service);
	else if (strcmp(what, "room") == 0)
		got = place_has_capacity(r->place, task.service);
	else if (strcmp(what, "run_ms") == 0)
		got = place_expected_run_us(r->place, &task) / 1000;
	else if (strcmp(what, "next_ms") == 0)
		got = ej_next_ms(r->eject, r->now_ms);
	expect_number(r, what, want, got);
}

static void
do_started(struct replay *r)
{
	ej_started(r->eject, worker_of(r)->id, r->now_ms);
}

static void
do_may_start(struct replay *r)
{
	expect_number(r, "may_start", !flag_of(r, "no"),
	    ej_may_start(r->eject, worker_of(r)->id, r->now_ms));
}

static void
do_at(struct replay *r)
{
	r->now_ms = g_ascii_strtoll(word(r, 1), NULL, 10);
}

static void
do_pass(struct replay *r)
{
	place_begin_pass(r->place, r->now_ms);
}

static void
run_line(struct replay *r)
{
	static const struct {
		const char *name;
		void (*fn)(struct replay *r);
	} commands[] = {{"options", do_options}, {"add", do_add},
	    {"remove", do_remove}, {"report", do_report}, {"usable", do_usable},
	    {"choose", do_choose}, {"finish", do_finish}, {"set", do_set},
	    {"serve", do_serve}, {"given", do_given}, {"ask", do_ask},
	    {"started", do_started}, {"may_start", do_may_start}, {"at", do_at},
	    {"pass", do_pass}};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, r->words[0]) == 0) {
			commands[i].fn(r);
			return;
		}
	}
	malformed(r, r->words[0]);
}

static int
replay_file(const char *path)
{
	struct replay r = {.file = path, .eject = ej_new()};
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("%s: not readable", path);
	lines = g_strsplit(text, "\n", -1);
	r.workers = g_ptr_array_new_with_free_func(worker_free);
	for (r.line = 1; lines[r.line - 1] != NULL; r.line++) {
		char *line = g_strstrip(lines[r.line - 1]);

		if (line[0] == '\0' || line[0] == '#')
			continue;
		r.words = g_strsplit(line, " ", -1);
		run_line(&r);
		g_strfreev(r.words);
	}
	g_ptr_array_unref(r.workers);
	place_free(r.place);
	ej_free(r.eject);
	g_strfreev(lines);
	g_free(text);
	return r.failed;
}

int
policy_replay_all(const char *prefix, int *files)
{
	GDir *dir = g_dir_open(CASES, 0, NULL);
	const char *name;
	int failed = 0;

	*files = 0;
	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path;

		if (!g_str_has_prefix(name, prefix))
			continue;
		path = g_build_filename(CASES, name, NULL);
		failed += replay_file(path);
		g_free(path);
		(*files)++;
	}
	g_clear_pointer(&dir, g_dir_close);
	return failed;
}
