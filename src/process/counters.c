#include <stdbool.h>
#include <string.h>

#include "counters.h"

struct sample {
	char *name;
	char *help;
	size_t family_len; /* length of the name without labels */
	bool is_gauge;
	int64_t value;
};

struct ctr_registry {
	GTree *samples; /* name to struct sample; families contiguous */
};

static size_t
family_len(const char *name)
{
	return strcspn(name, "{");
}

/*
 * Orders by family first, then by labels.  The exposition format requires the
 * samples of a family to be contiguous, but in byte order "a_b" sorts between
 * "a" and "a{".
 */
static gint
compare_names(gconstpointer left, gconstpointer right, gpointer data)
{
	const char *a = left, *b = right;
	size_t alen = family_len(a), blen = family_len(b);
	int cmp = memcmp(a, b, MIN(alen, blen));

	(void)data;
	if (cmp != 0)
		return cmp;
	if (alen != blen)
		return alen < blen ? -1 : 1;
	return strcmp(a + alen, b + blen);
}

static void
sample_free(gpointer data)
{
	struct sample *s = data;

	g_free(s->name);
	g_free(s->help);
	g_free(s);
}

struct ctr_registry *
ctr_new(void)
{
	struct ctr_registry *reg = g_new0(struct ctr_registry, 1);

	reg->samples = g_tree_new_full(compare_names, NULL, NULL, sample_free);
	return reg;
}

void
ctr_free(struct ctr_registry *reg)
{
	if (reg == NULL)
		return;
	g_tree_unref(reg->samples);
	g_free(reg);
}

static int64_t *
find_or_add(
    struct ctr_registry *reg, const char *name, const char *help, bool is_gauge)
{
	struct sample *s = g_tree_lookup(reg->samples, name);

	if (s != NULL)
		return &s->value;
	s = g_new0(struct sample, 1);
	s->name = g_strdup(name);
	s->help = g_strdup(help != NULL ? help : "");
	s->family_len = family_len(name);
	s->is_gauge = is_gauge;
	g_tree_insert(reg->samples, s->name, s);
	return &s->value;
}

int64_t *
ctr_counter(struct ctr_registry *reg, const char *name, const char *help)
{
	return find_or_add(reg, name, help, false);
}

int64_t *
ctr_gauge(struct ctr_registry *reg, const char *name, const char *help)
{
	return find_or_add(reg, name, help, true);
}

static void
append_help(GString *out, const char *help)
{
	for (; *help != '\0'; help++) {
		if (*help == '\\')
			g_string_append(out, "\\\\");
		else if (*help == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *help);
	}
}

struct exposition {
	GString *out;
	const struct sample *previous;
};

static gboolean
append_sample(gpointer key, gpointer value, gpointer data)
{
	struct exposition *exp = data;
	const struct sample *s = value, *prev = exp->previous;
	int len = (int)s->family_len;

	(void)key;
	if (prev == NULL || prev->family_len != s->family_len ||
	    memcmp(prev->name, s->name, s->family_len) != 0) {
		g_string_append_printf(exp->out, "# HELP %.*s ", len, s->name);
		append_help(exp->out, s->help);
		g_string_append_printf(exp->out, "\n# TYPE %.*s %s\n", len,
		    s->name, s->is_gauge ? "gauge" : "counter");
	}
	g_string_append_printf(
	    exp->out, "%s %" G_GINT64_FORMAT "\n", s->name, s->value);
	exp->previous = s;
	return FALSE;
}

char *
ctr_text(const struct ctr_registry *reg)
{
	struct exposition exp = {.out = g_string_new(NULL)};

	g_tree_foreach(reg->samples, append_sample, &exp);
	return g_string_free(exp.out, FALSE);
}
