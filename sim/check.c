#include <stdarg.h>
#include <string.h>

#include "sim/check.h"
#include "sim/loop.h"

/* What a fault holds up may go on for so long after its end. */
#define AFTERMATH_MS 500

struct note {
	int64_t at_ms;
	char *name; /* of the task or job; NULL: the fleet's */
	char *text;
};

struct job {
	uint32_t n_submitted;
	uint32_t n_refused;
	bool started;
	int64_t cancelled_ms; /* acknowledged first, 0: not */
};

static struct {
	bool recording;
	GPtrArray *notes;  /* struct note */
	GHashTable *jobs;  /* id to struct job */
	GHashTable *tasks; /* name of a running task to its number of runs */
	int64_t disturbed_until_ms;
	struct sck_violation violation;
} check;

static void
note_free(gpointer data)
{
	struct note *note = data;

	g_free(note->name);
	g_free(note->text);
	g_free(note);
}

void
sck_reset(bool recording)
{
	if (check.jobs == NULL) {
		check.notes = g_ptr_array_new_with_free_func(note_free);
		check.jobs = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		check.tasks = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
	}
	g_ptr_array_set_size(check.notes, 0);
	g_hash_table_remove_all(check.jobs);
	g_hash_table_remove_all(check.tasks);
	check.recording = recording;
	check.disturbed_until_ms = 0;
	memset(&check.violation, 0, sizeof(check.violation));
}

const char *
sck_rule_name(enum sck_rule rule)
{
	static const char *const names[] = {[SCK_KEPT] = "none",
	    [SCK_TWICE] = "TWICE",
	    [SCK_LIMIT] = "LIMIT",
	    [SCK_REFUSED] = "REFUSED",
	    [SCK_UNASKED] = "UNASKED"};

	return names[rule];
}

const struct sck_violation *
sck_violation(void)
{
	return &check.violation;
}

void
sck_note(const char *name, const char *format, ...)
{
	struct note *note;
	va_list ap;

	if (!check.recording)
		return;
	note = g_new0(struct note, 1);
	note->at_ms = slp_now_ms();
	note->name = g_strdup(name);
	va_start(ap, format);
	note->text = g_strdup_vprintf(format, ap);
	va_end(ap);
	g_ptr_array_add(check.notes, note);
}

static bool
concerns(const struct note *note, const char *task)
{
	size_t len;

	if (note->name == NULL)
		return true;
	len = strlen(note->name);
	return strncmp(note->name, task, len) == 0 &&
	       (task[len] == '\0' || task[len] == '.');
}

void
sck_print_story(FILE *to, const char *task, uint32_t max_lines)
{
	g_autoptr(GPtrArray) chosen = g_ptr_array_new();
	guint i;

	for (i = 0; i < check.notes->len; i++) {
		if (concerns(check.notes->pdata[i], task))
			g_ptr_array_add(chosen, check.notes->pdata[i]);
	}
	i = chosen->len > max_lines ? chosen->len - max_lines : 0;
	for (; i < chosen->len; i++) {
		const struct note *note = chosen->pdata[i];

		fprintf(to, "%8" G_GINT64_FORMAT " %-22s %s\n", note->at_ms,
		    note->name == NULL ? "-" : note->name, note->text);
	}
}

static void
break_rule(enum sck_rule rule, const char *task, const char *text)
{
	struct sck_violation *v = &check.violation;

	if (v->rule != SCK_KEPT)
		return;
	v->rule = rule;
	v->at_ms = slp_now_ms();
	g_strlcpy(v->task, task, sizeof(v->task));
	g_strlcpy(v->text, text, sizeof(v->text));
	sck_note(task, "%s broken: %s", sck_rule_name(rule), text);
}

/* name is that of the job or of one of its tasks. */
static struct job *
find_job(const char *name)
{
	g_autofree char *id = g_strndup(name, strcspn(name, "."));
	struct job *job = g_hash_table_lookup(check.jobs, id);

	if (job == NULL) {
		job = g_new0(struct job, 1);
		g_hash_table_insert(check.jobs, g_steal_pointer(&id), job);
	}
	return job;
}

static void
check_refused(const char *name)
{
	const struct job *job = find_job(name);

	if (job->started && job->n_refused == job->n_submitted)
		break_rule(SCK_REFUSED, name, "every submission was refused");
}

void
sck_submitted(const char *name)
{
	find_job(name)->n_submitted++;
}

void
sck_refused(const char *name)
{
	find_job(name)->n_refused++;
}

void
sck_cancel_acknowledged(const char *name)
{
	struct job *job = find_job(name);

	if (job->cancelled_ms == 0)
		job->cancelled_ms = slp_now_ms();
}

void
sck_disturbed(int64_t lasts_ms)
{
	check.disturbed_until_ms = MAX(
	    check.disturbed_until_ms, slp_now_ms() + lasts_ms + AFTERMATH_MS);
}

static void
check_unasked(const char *task)
{
	const struct job *job = find_job(task);
	int64_t now_ms = slp_now_ms();

	if (job->cancelled_ms != 0 &&
	    now_ms - job->cancelled_ms > SCK_CANCEL_MS &&
	    now_ms - check.disturbed_until_ms > SCK_IN_TOUCH_MS)
		break_rule(SCK_UNASKED, task, "its job was cancelled");
}

void
sck_job_over(const char *name)
{
	check_refused(name);
}

static guint
n_runs(const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(check.tasks, task));
}

static void
set_n_runs(const char *task, guint n)
{
	if (n == 0)
		g_hash_table_remove(check.tasks, task);
	else
		g_hash_table_replace(
		    check.tasks, g_strdup(task), GUINT_TO_POINTER(n));
}

void
sck_run_started(
    const char *task, uint32_t worker, int64_t used, int64_t capacity)
{
	g_autofree char *text = NULL;

	find_job(task)->started = true;
	if (n_runs(task) > 0) {
		text = g_strdup_printf("second run began on worker %u", worker);
		break_rule(SCK_TWICE, task, text);
	}
	set_n_runs(task, n_runs(task) + 1);
	if (used > capacity) {
		g_free(text);
		text = g_strdup_printf("worker %u has %d of %d in use", worker,
		    (int)used, (int)capacity);
		break_rule(SCK_LIMIT, task, text);
	}
	check_refused(task);
	check_unasked(task);
}

void
sck_run_ended(const char *task)
{
	set_n_runs(task, n_runs(task) - 1);
}
