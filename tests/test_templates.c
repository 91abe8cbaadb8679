/*
 * The templates in deploy/, which the platform fills with the fields of a
 * machine, and the sources that fill or repeat them for a test or a case.
 */
#include <ftw.h>
#include <glib.h>
#include <string.h>

#include "harness.h"
#include "process/settings.h"
#include "runner.h"

#define FOLDER	    "deploy"
#define SUFFIX	    ".json.in"
#define PLACEHOLDER "\\{\\{([^}|]*)(\\|json)?\\}\\}"
#define SETTING	    "\"([a-z_]+)\":"

/* A field that the platform fills in, and a value of it as JSON. */
struct field {
	const char *name;
	const char *value;
};

/* All fields of the platform's settings that hold one value. */
static const struct field fields[] = {
    {"node_name", "\"entry-1\""},
    {"role", "\"entry\""},
    {"machine_class", "\"front\""},
    {"ip", "\"127.0.0.1\""},
    {"zone", "\"puget\""},
    {"region", "\"pnw\""},
    {"listen_addrs.front", "\"127.0.0.1:8161\""},
    {"listen_addrs.ready", "\"127.0.0.1:8167\""},
    {"listen_addrs.control", "\"127.0.0.1:8166\""},
    {"internal_port_range.0", "7720"},
    {"internal_port_range.1", "7735"},
    {"bootstrap", "true"},
    {"in_tolerance", "false"},
    {"limits.cpu_share", "0.25"},
    {"limits.cores", "1"},
    {"limits.memory_mb", "260"},
    {"limits.max_fds", "4100"},
    {"limits.link_mbps", "1000.0"},
    {"limits.disk_mb", "0"},
    {"discovery", "\"local\""},
    {"entry", "\"vip\""},
    {"heartbeat_ms", "1500"},
    {"fault_tolerance.machines", "2"},
    {"fault_tolerance.zones", "1"},
    {"fault_tolerance.regions", "0"},
    {"bounds.seed_lag_s", "3"},
    {"bounds.reuse_after_s", "2"},
    {"bounds.stability_window_ms", "3000"},
    {"bounds.ack_ms", "4000"},
    {"bounds.catch_up_s", "4"},
    {"bounds.drain_ms", "2000"},
    {"bounds.grace_s", "6"},
    {"bounds.loss_slack_ms", "200"},
    {"bounds.config_apply_ms", "2000"},
    {"bounds.rollback_slack_ms", "250"},
    {"bounds.max_stretch_ms", "5000"},
    {"bounds.cold_overage", "1.5"},
    {"bounds.cold_slack", "5"},
    {"bounds.evacuate_ms", "5000"},
    {"bounds.recovery_s", "12"},
    {"bounds.max_hold_ms", "1000"},
    {"bounds.stop_timeout_ms", "50"},
    {"bounds.gang_timeout_ms", "3000"},
    {"bounds.cancel_ms", "3000"},
    {"bounds.visible_ms", "3000"},
    {"bounds.early_ms", "250"},
    {"bounds.finish_s", "14"},
    {"bounds.status_s", "120"},
    {"bounds.cross_rack_factor", "1.5"},
    {"bounds.checkpoint_s", "1"},
    {"bounds.restore_ms", "600"},
    {"bounds.notice_ms", "4500"},
    {"bounds.move_s", "1.5"},
    {"bounds.maintenance_s", "2"},
    {"bounds.fencing_enforced", "false"},
    {"bounds.lease_ms", "3000"},
    {"bounds.thaw_ms", "300"},
    {"bounds.pace_ms", "100"},
    {"bounds.harm_ms", "4000"},
    {"bounds.resend_ms", "1300"},
    {"orders", "\"call\""},
    {"advice", "\"127.0.0.1:8169\""},
    {"platform.address", "\"127.0.0.1:8170\""},
    {"platform.form", "\"kv\""},
    {"platform.writes_per_s", "400"},
    {"platform.reads_per_s", "2000"},
    {"platform.history_s", "20"},
    {"platform.value_bytes", "1048576"},
    {"platform.min_ttl_ms", "1000"},
    {"cloud.address", "\"127.0.0.1:8171\""},
    {"cloud.rate_per_s", "60.0"},
    {"cloud.duties", "\"\""},
    {"cloud.duty_per_s", "60.0"},
};

/* How a source makes settings out of a template. */
enum form {
	FILLS,	 /* looks for placeholders, which stand in it as texts */
	REPEATS, /* writes the settings out, after "As deploy/TEMPLATE" */
	NEITHER	 /* only names it */
};

static const struct writer {
	const char *source;
	enum form form;
	const char *templates[3];
} writers[] = {
    {"review/rig/nodes.c", FILLS, {"entry" SUFFIX, "agent" SUFFIX}},
    {"review/rig3/rig3.c", REPEATS, {"entry" SUFFIX, "agent-platform" SUFFIX}},
    /* Its processes have options in place of settings. */
    {"sim/fleet.c", NEITHER, {NULL}},
    {"tests/test_templates.c", NEITHER, {NULL}},
};

/* Folders whose sources may make settings out of a template. */
static const char *const source_folders[] = {
    "review", "sim", "tests", "bench", "tools"};

/* Filling a template. */

struct filling {
	int empty; /* the placeholder that is left empty; -1: none */
	int n;	   /* placeholders met so far */
	int line;  /* of the one that was left empty */
	GString *unknown;
};

static const char *
find_value(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (strcmp(fields[i].name, name) == 0)
			return fields[i].value;
	}
	return NULL;
}

static int
count_lines(const char *text, gsize len)
{
	int n = 1;

	for (; len > 0; len--)
		n += *text++ == '\n';
	return n;
}

static gboolean
fill_one(const GMatchInfo *info, GString *out, gpointer data)
{
	struct filling *filling = data;
	g_autofree char *name = g_match_info_fetch(info, 1);
	g_autofree char *as_json = g_match_info_fetch(info, 2);
	const char *value = find_value(name);
	int at = 0;

	g_match_info_fetch_pos(info, 0, &at, NULL);
	if (value == NULL)
		g_string_append_printf(filling->unknown, " {{%s}}", name);
	else if (filling->n == filling->empty)
		filling->line =
		    count_lines(g_match_info_get_string(info), (gsize)at);
	else if (value[0] == '"' && as_json[0] == '\0')
		g_string_append_len(out, value + 1, (gssize)strlen(value) - 2);
	else
		g_string_append(out, value);
	filling->n++;
	return FALSE;
}

static char *
fill(const char *text, struct filling *filling)
{
	g_autoptr(GRegex) regex = g_regex_new(PLACEHOLDER, 0, 0, NULL);

	filling->unknown = g_string_new("");
	return g_regex_replace_eval(
	    regex, text, -1, 0, 0, fill_one, filling, NULL);
}

static char *
read_file(const char *path)
{
	char *text = NULL;

	ck_assert_msg(
	    g_file_get_contents(path, &text, NULL, NULL), "%s: no file", path);
	return text;
}

/* Returns what the program of the template says of these settings. */
static struct status
load(const char *template, const char *settings)
{
	const char *path = hn_write("settings.json", settings);
	struct status st = {.code = ST_OK};

	if (g_str_has_prefix(template, "entry"))
		set_job_free(set_job_entry_load(path, &st));
	else
		set_job_free(set_job_agent_load(path, &st));
	if (st.code != ST_OK) {
		ck_assert(g_str_has_prefix(st.message, path));
		memmove(st.message, st.message + strlen(path),
		    strlen(st.message) - strlen(path) + 1);
	}
	hn_finish();
	return st;
}

/* The templates. */

static GPtrArray *templates;

static char *
read_template(const char *name)
{
	g_autofree char *path = g_build_filename(FOLDER, name, NULL);

	return read_file(path);
}

/*
 * Guards against a template that asks for a field that the platform does not
 * have, or with a setting that the program does not know: nothing would start.
 */
START_TEST(template_is_accepted)
{
	const char *name = templates->pdata[_i];
	g_autofree char *text = read_template(name);
	struct filling filling = {.empty = -1};
	g_autofree char *settings = fill(text, &filling);
	struct status st;

	ck_assert_msg(filling.unknown->len == 0,
	    "%s asks for fields that the platform does not have:%s", name,
	    filling.unknown->str);
	ck_assert_msg(
	    strstr(settings, "{{") == NULL, "%s: a placeholder is left", name);
	st = load(name, settings);
	ck_assert_msg(st.code == ST_OK, "%s%s", name, st.message);
	g_string_free(filling.unknown, TRUE);
}
END_TEST

/*
 * Guards against a process that starts with a setting for which the platform had
 * no value: it is refused with the line.
 */
START_TEST(missing_value_is_refused)
{
	const char *name = templates->pdata[_i];
	g_autofree char *text = read_template(name);
	struct filling filling = {.empty = -1};
	int k, n;

	g_free(fill(text, &filling));
	n = filling.n;
	for (k = 0; k < n; k++) {
		struct filling one = {.empty = k};
		g_autofree char *settings = fill(text, &one);
		g_autofree char *line = NULL;
		struct status st = load(name, settings);

		line = g_strdup_printf(":%d:", one.line);
		ck_assert_msg(
		    st.code != ST_OK && g_str_has_prefix(st.message, line),
		    "%s without a value in line %d: \"%s\"", name, one.line,
		    st.code == ST_OK ? "accepted" : st.message);
		g_string_free(one.unknown, TRUE);
	}
	g_string_free(filling.unknown, TRUE);
}
END_TEST

/* The sources that fill or repeat them. */

/* What the source writes of the template's settings. */
static char *
part_of_source(const char *text, const char *template)
{
	g_autofree char *marker =
	    g_strdup_printf("As " FOLDER "/%s.", template);
	const char *start = strstr(text, marker);

	ck_assert_msg(start != NULL, "no comment \"%s\"", marker);
	return g_strndup(start, strcspn(start, ";"));
}

/* Each match of the pattern in the template must stand in the source. */
static void
check_source(const struct writer *writer, const char *template)
{
	bool fills = writer->form == FILLS;
	g_autoptr(GRegex) regex =
	    g_regex_new(fills ? PLACEHOLDER : SETTING, 0, 0, NULL);
	g_autofree char *text = read_template(template);
	g_autofree char *source = read_file(writer->source);
	g_autofree char *part =
	    fills ? g_strdup(source) : part_of_source(source, template);
	g_autoptr(GMatchInfo) info = NULL;

	g_regex_match(regex, text, 0, &info);
	for (; g_match_info_matches(info); g_match_info_next(info, NULL)) {
		g_autofree char *match = g_match_info_fetch(info, 0);
		g_autofree char *escaped = g_strescape(match, NULL);
		g_autofree char *literal =
		    fills ? g_strdup_printf("\"%s\"", match)
			  : g_strdup(escaped);

		ck_assert_msg(strstr(part, literal) != NULL,
		    "%s does not know %s of %s/%s", writer->source, match,
		    FOLDER, template);
	}
}

/*
 * Guards against cases that no longer start since a template got a field that
 * what plays them does not fill (review/1 to 5 after 83b2079).
 */
START_TEST(source_knows_its_templates)
{
	const struct writer *writer = &writers[_i];
	const char *const *template = writer->templates;

	for (; *template != NULL; template ++)
		check_source(writer, *template);
}
END_TEST

static bool
is_listed(const char *path)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(writers); i++) {
		if (strcmp(writers[i].source, path) == 0)
			return true;
	}
	return false;
}

static int
check_file(const char *path, const struct stat *st, int type, struct FTW *at)
{
	g_autofree char *text = NULL;

	(void)st;
	(void)at;
	if (type != FTW_F ||
	    !(g_str_has_suffix(path, ".c") || g_str_has_suffix(path, ".h") ||
		g_str_has_suffix(path, ".sh") ||
		g_str_has_prefix(path, "tools/")))
		return 0;
	text = read_file(path);
	ck_assert_msg(strstr(text, SUFFIX) == NULL || is_listed(path),
	    "%s names a template: list here how it makes settings of it", path);
	return 0;
}

/* Guards against a source that fills templates and is checked by no test. */
START_TEST(sources_are_listed)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(source_folders); i++)
		ck_assert_int_eq(
		    nftw(source_folders[i], check_file, 16, FTW_PHYS), 0);
}
END_TEST

static void
list_templates(void)
{
	g_autoptr(GDir) dir = g_dir_open(FOLDER, 0, NULL);
	const char *name;

	templates = g_ptr_array_new_with_free_func(g_free);
	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		if (g_str_has_suffix(name, SUFFIX))
			g_ptr_array_add(templates, g_strdup(name));
	}
}

int
main(void)
{
	TCase *tc = tcase_create("templates");
	int failed;

	list_templates();
	if (templates->len == 0)
		return EXIT_FAILURE;
	tcase_add_loop_test(tc, template_is_accepted, 0, (int)templates->len);
	tcase_add_loop_test(
	    tc, missing_value_is_refused, 0, (int)templates->len);
	tcase_add_loop_test(
	    tc, source_knows_its_templates, 0, (int)G_N_ELEMENTS(writers));
	tcase_add_test(tc, sources_are_listed);
	failed = run_tcase("templates", tc, 0);
	g_ptr_array_unref(templates);
	return failed;
}
