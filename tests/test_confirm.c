#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "request/confirm.h"
#include "runner.h"

struct test {
	struct cfm *cfm;
	GString *out;
};

static void
on_ask(uint64_t relay, uint64_t key, void *ctx)
{
	struct test *t = ctx;

	g_string_append_printf(t->out, "ask:%d#%d ", (int)relay, (int)key);
}

static void
on_write(const uint64_t *keys, size_t n, void *ctx)
{
	struct test *t = ctx;
	size_t i;

	g_string_append(t->out, "write");
	for (i = 0; i < n; i++)
		g_string_append_printf(t->out, "#%d", (int)keys[i]);
	g_string_append_c(t->out, ' ');
}

static void
on_decided(void *waiter, bool confirmed, void *ctx)
{
	struct test *t = ctx;

	g_string_append_printf(t->out, "%s:%d ",
	    confirmed ? "confirmed" : "refused", GPOINTER_TO_INT(waiter));
}

static void
drop(void *waiter)
{
	(void)waiter;
}

static void *
start(void)
{
	struct test *t = g_new0(struct test, 1);
	struct cfm_options opts = {on_ask, on_write, on_decided, drop, t};

	t->cfm = cfm_new(&opts);
	return t;
}

static void
end(void *ctx)
{
	struct test *t = ctx;

	cfm_free(t->cfm);
	g_free(t);
}

static void
step(void *ctx, char **w, GString *actual)
{
	struct test *t = ctx;
	int a = w[1] == NULL ? 0 : atoi(w[1]);
	int b = a == 0 || w[2] == NULL ? 0 : atoi(w[2]);

	t->out = actual;
	if (strcmp(w[0], "agents") == 0)
		cfm_set_agents(t->cfm, (uint32_t)a);
	else if (strcmp(w[0], "up") == 0)
		for (; a <= b; a++)
			cfm_relay_up(t->cfm, (uint64_t)a);
	else if (strcmp(w[0], "down") == 0)
		cfm_relay_down(t->cfm, (uint64_t)a);
	else if (strcmp(w[0], "needed") == 0)
		g_string_append_printf(actual, "%u", cfm_needed(t->cfm));
	else if (strcmp(w[0], "begin") == 0)
		cfm_begin(t->cfm, (uint64_t)b, GINT_TO_POINTER(atoi(w[3])), a);
	else if (strcmp(w[0], "known") == 0)
		cfm_known(t->cfm, (uint64_t)a, (uint64_t)b);
	else if (strcmp(w[0], "stored") == 0)
		cfm_stored(t->cfm, g_strcmp0(w[2], "ok") == 0, a);
	else if (strcmp(w[0], "tick") == 0)
		cfm_tick(t->cfm, a);
	else
		ck_abort_msg("unknown command %s", w[0]);
	g_strchomp(actual->str);
	actual->len = strlen(actual->str);
}

/* Guards against a cancel that is acknowledged although an entry misses it. */
REPLAY_MAIN("confirm", 0, start, end, step)
