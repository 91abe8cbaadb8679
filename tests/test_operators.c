#include <gio/gio.h>
#include <string.h>

#include "entry_node.h"
#include "harness.h"
#include "process/log.h"
#include "request/operators.h"
#include "runner.h"
#include "store_process.h"

#define TEXT                                                                   \
	"{\"failure_domains\": [{\"name\": \"d1\", \"entries\": true}], "      \
	"\"services\": [{\"name\": \"club-desk\"}]}"

static struct entry_node node;
static struct ops *ops;
static const char *url, *text_path;

/* A run of spctl and its output. */
struct run {
	bool done;
	int status;
	char *out;
	char *err;
};

static void
add_status(struct json_object *status, void *ctx)
{
	(void)ctx;
	json_object_object_add(status, "agents", json_object_new_int(3));
}

static char *
metrics(void *ctx)
{
	(void)ctx;
	return g_strdup("# HELP starts Starts.\nstarts 5\n");
}

static void
setup(void)
{
	struct ops_options opts = {.listen = "127.0.0.1:0",
	    .add_status = add_status,
	    .metrics = metrics};
	struct status st;

	log_open("test", LOG_ERR);
	entry_node_start(&node, store_process_start(), 0x11, "d1", 7001);
	opts.chg = node.chg;
	opts.fresh = node.fresh;
	opts.rdr = node.rdr;
	opts.mem = node.mem;
	opts.self = node.self;
	ops = ops_new(&opts, &st);
	ck_assert_msg(ops != NULL, "%s", st.message);
	url = hn_str("http://127.0.0.1:%u", ops_port(ops));
	text_path = hn_write("text.json", TEXT);
	hn_sleep(300);
}

static void
teardown(void)
{
	ops_free(ops);
	entry_node_kill(&node);
	hn_sleep(20);
	hn_finish();
}

static void
on_exit_of_run(GObject *source, GAsyncResult *result, gpointer ctx)
{
	struct run *run = ctx;
	GSubprocess *process = G_SUBPROCESS(source);

	g_subprocess_communicate_utf8_finish(
	    process, result, &run->out, &run->err, NULL);
	run->status = g_subprocess_get_exit_status(process);
	run->done = true;
}

/* Runs spctl with a line of arguments; the entry's main loop keeps running. */
static struct run
spctl(const char *fmt, ...)
{
	struct run run = {0};
	const char *build = g_getenv("BUILD_DIR");
	char *args, *line, **argv;
	GSubprocess *process;
	va_list ap;

	va_start(ap, fmt);
	args = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	line = g_strdup_printf(
	    "%s/spctl %s", build != NULL ? build : "build", args);
	argv = g_strsplit(line, " ", -1);
	process = g_subprocess_newv((const char *const *)argv,
	    G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE,
	    NULL);
	ck_assert_ptr_nonnull(process);
	g_subprocess_communicate_utf8_async(
	    process, NULL, NULL, on_exit_of_run, &run);
	ck_assert(hn_wait_until(run.done, 20000));
	g_object_unref(process);
	g_strfreev(argv);
	g_free(line);
	g_free(args);
	return run;
}

static void
expect(struct run run, int status, const char *out, const char *err)
{
	ck_assert_msg(run.status == status, "exit status %d, out %s, err %s",
	    run.status, run.out, run.err);
	ck_assert_msg(strstr(run.out, out) != NULL, "out: %s", run.out);
	ck_assert_msg(strstr(run.err, err) != NULL, "err: %s", run.err);
	g_free(run.out);
	g_free(run.err);
}

/* spctl must exit with 0 only when its change is in force everywhere. */
START_TEST(success_only_in_force)
{
	setup();
	expect(spctl("--entry %s status", url), 0, "no configuration", "");
	expect(spctl("check %s", text_path), 0, "valid", "");
	expect(spctl("apply %s --entry %s", text_path, url), 0,
	    "version 1 is in force everywhere", "");
	expect(spctl("out failure_domain d1 --entry %s --wait-s 0", url), 3,
	    "version 2 is", "");
	expect(spctl("in failure_domain d1 --entry %s --json", url), 0,
	    "\"version\":3,\"state\":\"in_force\"", "");
	expect(spctl("config --entry %s", url), 0, "club-desk", "version 3");
	expect(spctl("status --entry %s", url), 0, "entry e in d1", "");
	expect(spctl("status --json --entry %s", url), 0, "\"agents\":3", "");
	expect(
	    spctl("counters --entry %s --json", url), 0, "{\"starts\":5}", "");
	expect(spctl("traces --entry %s", url), 0, "[]", "");
	teardown();
}
END_TEST

/* Every refusal must name its error code and change nothing. */
START_TEST(refused_commands_change_nothing)
{
	setup();
	expect(spctl("out service club-desk --entry %s", url), 1, "",
	    "not_found: no configuration");
	expect(spctl("apply %s --entry %s", text_path, url), 0, "", "");
	expect(
	    spctl("apply %s --expected-version 7 --entry %s", text_path, url),
	    1, "", "conflict: expected version 7");
	expect(spctl("out service no-desk --entry %s", url), 1, "",
	    "not_found: service \"no-desk\" is not in the configuration");
	expect(spctl("out service a/b --entry %s", url), 1, "",
	    "invalid: request:1:");
	expect(spctl("ended zz --entry %s", url), 1, "", "invalid");
	expect(spctl("out rack r1 --entry %s", url), 2, "", "expected");
	expect(spctl("out service --entry %s", url), 2, "", "expected KIND");
	expect(spctl("frobnicate"), 2, "", "unknown command");
	expect(spctl("status"), 2, "", "--entry is required");
	expect(spctl("check no-such-file"), 2, "", "no-such-file");
	ck_assert(g_file_set_contents(text_path, "{\"x\": 1}", -1, NULL));
	expect(spctl("check %s", text_path), 1, "", ":1:2: x: unknown key");
	expect(
	    spctl("apply %s --entry %s", text_path, url), 1, "", "unknown key");
	ck_assert_uint_eq(fresh_version(node.fresh), 1);
	teardown();
}
END_TEST

/* A dead entry must not stop an operator, and an outage of the store must be
 * reported with another error than a refused change. */
START_TEST(failover_and_outage)
{
	setup();
	expect(spctl("apply %s -e http://127.0.0.1:1 -e %s", text_path, url), 0,
	    "in force", "127.0.0.1:1");
	expect(spctl("status -e http://127.0.0.1:1"), 4, "", "no entry");
	expect(spctl("in service club-desk -e http://127.0.0.1:1"), 4, "",
	    "no entry");
	store_process_control("outage?mode=refuse");
	hn_sleep(100);
	expect(spctl("out service club-desk --entry %s", url), 1, "",
	    "store_unavailable");
	store_process_control("outage?mode=off");
	store_process_control("drop?writes=1");
	expect(spctl("out service club-desk --entry %s --change-id c9", url), 0,
	    "version 2", "");
	expect(spctl("out service club-desk --entry %s --change-id c9", url), 0,
	    "version 2", "");
	teardown();
}
END_TEST

TEST_MAIN("operators", 0, success_only_in_force,
    refused_commands_change_nothing, failover_and_outage)
