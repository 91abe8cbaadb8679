/*
 * Runs one job of 100 tasks through a small system of real processes and
 * prints a summary of the answer.  Called by tools/demo.
 */
#include <stdio.h>
#include <stdlib.h>

#include "system.h"

#define N_TASKS	 100
#define LIMIT_MS 45000

static int
fail(const char *what, const struct hn_http *http)
{
	fprintf(stderr, "demo: %s: %d %.300s\n", what,
	    http != NULL ? http->status : 0, http != NULL ? http->body : "");
	return EXIT_FAILURE;
}

static bool
apply_text(struct sys *sys)
{
	struct hn_proc *spctl = hn_start(
	    "spctl", (const char *[]){"spctl", "--entry",
			 hn_str("http://127.0.0.1:%u", sys->entry[0].operators),
			 "apply", hn_write("text.json", sys->text), NULL});

	return hn_wait_exit(spctl, LIMIT_MS) == 0;
}

static void
print_summary(struct sys *sys, const struct hn_http *http, const char *id,
    const int64_t *before)
{
	int i;

	printf("job %s: %s, %d results in %d ms\n", id,
	    hn_json_str(http, "state"),
	    (int)json_object_array_length(
		json_object_object_get(http->json, "results")),
	    (int)http->took_ms);
	for (i = 0; i < sys->opts.agents; i++)
		printf("  %s in %s ran %d tasks\n", sys->agent[i].name,
		    sys->agent[i].domain,
		    (int)(sys_endpoint_starts(sys, i) - before[i]));
}

int
main(void)
{
	struct sys sys;
	struct hn_http *http;
	const char *id;
	int64_t before[4];
	int i, code = EXIT_SUCCESS;

	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("starting a store stand-in, 2 entries and 4 workers in 2 "
	       "failure domains\n");
	sys_launch(&sys,
	    &(struct sys_options){.entries = 2, .agents = 4, .domains = 2});
	printf("applying the configuration with spctl\n");
	if (!apply_text(&sys))
		code = fail("spctl apply", NULL);
	if (code == EXIT_SUCCESS) {
		sys_wait_ready(&sys);
		for (i = 0; i < 4; i++)
			before[i] = sys_endpoint_starts(&sys, i);
		id = sys_new_job_id(&sys, 0);
		printf("submitting %d tasks of 100 ms\n", N_TASKS);
		http = hn_http_wait(sys_submit(&sys, 0, id,
					sys_body(N_TASKS, "{\"run_ms\":100}")),
		    LIMIT_MS);
		if (http->status == 200)
			print_summary(&sys, http, id, before);
		else
			code = fail("job", http);
	}
	hn_finish();
	return code;
}
