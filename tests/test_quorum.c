#include <glib.h>
#include <string.h>

#include "runner.h"
#include "version/quorum.h"

#define MAX_DOCS 16

/* Replays one trace: see the head of tests/cases/quorum.txt. */
struct trace {
	struct cfg *docs[MAX_DOCS];
	GHashTable *observers; /* name -> struct observer */
	struct observer *observer;
	GString *out;
};

struct observer {
	struct quo *quo;
	struct cfg *held;
	uint64_t incarnation;
};

/* The bytes of a name of up to 8 characters make its incarnation. */
static uint64_t
incarnation_of(const char *name)
{
	uint64_t n = 0;

	memcpy(&n, name, MIN(strlen(name), sizeof(n)));
	return n;
}

static void
observer_free(void *p)
{
	struct observer *observer = p;

	quo_free(observer->quo);
	g_free(observer);
}

static void
select_observer(struct trace *t, const char *name)
{
	t->observer = g_hash_table_lookup(t->observers, name);
	if (t->observer != NULL)
		return;
	t->observer = g_new0(struct observer, 1);
	t->observer->quo = quo_new(3000);
	t->observer->incarnation = incarnation_of(name);
	g_hash_table_insert(t->observers, g_strdup(name), t->observer);
}

/* Defines a document: "doc 2 A,B,C A1,B,C"; a voter "X!" has ended. */
static void
define_document(struct trace *t, char **words)
{
	struct cfg_voter voters[64];
	struct cfg_voter_set sets[8];
	struct cfg_parts parts = {.change_id = "c",
	    .text = "{\"failure_domains\": [], \"services\": []}",
	    .voter_sets = sets};
	size_t n = 0, i, j;
	struct status st;
	char *document;

	parts.version = strtoull(words[1], NULL, 10);
	for (i = 2; words[i] != NULL; i++) {
		char **names = g_strsplit(words[i], ",", -1);

		sets[i - 2].voters = &voters[n];
		sets[i - 2].n = g_strv_length(names);
		for (j = 0; names[j] != NULL; j++, n++) {
			memset(&voters[n], 0, sizeof(voters[n]));
			voters[n].failure_domain = "d";
			voters[n].ended = g_str_has_suffix(names[j], "!");
			names[j][strcspn(names[j], "!")] = '\0';
			voters[n].incarnation = incarnation_of(names[j]);
		}
		g_strfreev(names);
	}
	parts.n_voter_sets = i - 2;
	document = cfg_write(&parts);
	t->docs[parts.version] = cfg_parse(document, strlen(document), &st);
	ck_assert_msg(t->docs[parts.version] != NULL, "%s", st.message);
	g_free(document);
}

/*
 * Adds an answer: "answer B 5 store=never at=1000", from a process that holds
 * document 5.
 */
static void
add_answer(struct trace *t, char **words)
{
	struct quo_answer answer = {.incarnation = incarnation_of(words[1]),
	    .version = strtoull(words[2], NULL, 10),
	    .store_age_ms = -1};

	if (strcmp(words[3], "store=never") != 0)
		answer.store_age_ms = strtoll(words[3] + 6, NULL, 10);
	answer.as_of_ms = strtoll(words[4] + 3, NULL, 10);
	answer.may_vote =
	    quo_may_vote(t->docs[answer.version], answer.incarnation);
	quo_answer(t->observer->quo, &answer, answer.as_of_ms);
}

static void
print_confirmation(struct trace *t, char **words)
{
	struct quo_confirmation confirmation = quo_confirm(
	    t->observer->quo, t->observer->held, strtoll(words[1], NULL, 10));

	if (confirmation.confirmed)
		g_string_append_printf(t->out, "confirmed %d as of %d\n",
		    (int)confirmation.version, (int)confirmation.as_of_ms);
	else
		g_string_append(t->out, "nothing\n");
}

static void
print_accepted(struct trace *t, char **words)
{
	uint64_t version = strtoull(words[1], NULL, 10);
	struct cfg_voter missing[16];
	size_t i, n;
	char name[9];
	bool accepted = quo_accepted(
	    t->observer->quo, t->observer->held, version, missing, 16, &n);

	g_string_append(t->out, accepted ? "accepted" : "pending");
	for (i = 0; i < n; i++) {
		memset(name, 0, sizeof(name));
		memcpy(name, &missing[i].incarnation, 8);
		g_string_append_printf(t->out, " %s", name);
	}
	g_string_append_c(t->out, '\n');
}

static void
run_line(struct trace *t, const char *line)
{
	char **words = g_strsplit(line, " ", -1);

	if (strcmp(words[0], "doc") == 0)
		define_document(t, words);
	else if (strcmp(words[0], "at") == 0)
		select_observer(t, words[1]);
	else if (strcmp(words[0], "hold") == 0)
		t->observer->held = t->docs[atoi(words[1])];
	else if (strcmp(words[0], "answer") == 0)
		add_answer(t, words);
	else if (strcmp(words[0], "confirm") == 0)
		print_confirmation(t, words);
	else if (strcmp(words[0], "accepted") == 0)
		print_accepted(t, words);
	else
		ck_abort_msg("unknown line: %s", line);
	g_strfreev(words);
}

/*
 * Guards against a configuration that is confirmed, or a version that is
 * accepted, without the answers that this requires.
 */
static char *
run_trace(const char *name, const char *input)
{
	char **lines = g_strsplit(input, "\n", -1);
	struct trace t = {.out = g_string_new(NULL)};
	size_t i;

	(void)name;
	t.observers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, observer_free);
	select_observer(&t, "O");
	for (i = 0; lines[i] != NULL; i++) {
		if (lines[i][0] != '#' && lines[i][0] != '\0')
			run_line(&t, lines[i]);
	}
	for (i = 0; i < MAX_DOCS; i++)
		cfg_unref(t.docs[i]);
	g_hash_table_destroy(t.observers);
	g_strfreev(lines);
	return g_strchomp(g_string_free(t.out, FALSE));
}

CASES_MAIN("quorum", run_trace)
