#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/fields.h"
#include "version/config.h"

#define REQUEST_TIMEOUT_S 8 /* an entry retries a change for up to 4 s */
#define POLL_INTERVAL_US  200000UL
#define MAX_WAIT_S	  3600

enum exit_code {
	EXIT_IN_FORCE = 0,
	EXIT_REFUSED = 1,
	EXIT_USAGE = 2,
	EXIT_PENDING = 3,
	EXIT_UNREACHABLE = 4
};

struct command {
	const char *name;
	const char *args;
	const char *doc;
	int min_args;
	int max_args;
	enum exit_code (*run)(char **args);
};

static GPtrArray *entries;
static bool as_json;
static int64_t wait_s = 10;
static int64_t expected_version = -1;
static char *change_id;
static SoupSession *session;

enum {
	OPT_ENTRY = 'e',
	OPT_JSON = 'j',
	OPT_WAIT = 'w',
	OPT_EXPECTED = 'x',
	OPT_CHANGE_ID = 'i'
};

static const struct argp_option options[] = {
    {"entry", OPT_ENTRY, "URL", 0,
	"Operators' address of an entry, http://ip:port; may be repeated, the "
	"next one is asked when one gives no answer",
	0},
    {"json", OPT_JSON, NULL, 0, "Print the answer as one line of JSON", 0},
    {"wait-s", OPT_WAIT, "SECONDS", 0,
	"How long a change waits until it is in force everywhere (10)", 0},
    {"expected-version", OPT_EXPECTED, "N", 0,
	"apply: the version that the text was made from (the current one)", 0},
    {"change-id", OPT_CHANGE_ID, "ID", 0,
	"Repeats an earlier change whose outcome is unknown", 0},
    {0}};

static void
print_json(struct json_object *reply)
{
	puts(json_object_to_json_string_ext(reply, JSON_C_TO_STRING_PLAIN));
}

static const char *
get_string(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) || value == NULL)
		return "";
	return json_object_get_string(value);
}

static int64_t
get_int(struct json_object *object, const char *key)
{
	struct json_object *value;

	json_object_object_get_ex(object, key, &value);
	return json_object_get_int64(value);
}

/*
 * Sends a request to one entry and returns the body of the answer.  Returns
 * NULL if there is none; *code is then 0 if the connection was refused, and 504
 * if the request may have arrived.
 */
static char *
send_to_entry(const char *entry, const char *method, const char *path,
    const char *body, unsigned *code)
{
	char *uri = g_strconcat(entry, path, NULL), *text = NULL;
	SoupMessage *msg = soup_message_new(method, uri);
	GError *error = NULL;
	GBytes *bytes;

	if (body != NULL) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    msg, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	bytes = soup_session_send_and_read(session, msg, NULL, &error);
	if (bytes == NULL) {
		fprintf(stderr, "spctl: %s: %s\n", entry, error->message);
		*code = g_error_matches(
			    error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
			    ? 0
			    : 504;
		g_error_free(error);
	} else {
		*code = soup_message_get_status(msg);
		text = g_strndup(
		    g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
		g_bytes_unref(bytes);
	}
	g_object_unref(msg);
	g_free(uri);
	return text;
}

/*
 * Sends a request to the entries in turn until one gives a final answer.  The
 * statuses 503 (store unavailable) and 504 (outcome of a change unknown) are
 * not final: another entry may be able to make the change.  Repeating a change
 * is safe, since a change id takes effect only once.
 */
static char *
send_to_any(
    const char *method, const char *path, const char *body, unsigned *code)
{
	char *text = NULL, *last = NULL;
	unsigned last_code = 0;
	guint i;

	if (entries->len == 0) {
		fprintf(stderr, "spctl: --entry is required\n");
		exit(EXIT_USAGE);
	}
	for (i = 0; i < entries->len; i++) {
		text = send_to_entry(
		    g_ptr_array_index(entries, i), method, path, body, code);
		if (text != NULL && *code != 503 && *code != 504)
			break;
		if (text != NULL) {
			/* A later 503 must not hide an unknown outcome. */
			if (last_code != 504) {
				g_free(last);
				last = text;
				last_code = *code;
			} else {
				g_free(text);
			}
			text = NULL;
		} else if (body != NULL && *code == 504) {
			g_free(last);
			last = NULL;
			last_code = 504;
		}
	}
	if (text == NULL) {
		*code = last_code;
		return last;
	}
	g_free(last);
	return text;
}

static enum exit_code
report_no_answer(unsigned code)
{
	if (code != 504) {
		fprintf(stderr, "spctl: no entry answers\n");
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr,
	    "spctl: no answer, the outcome is unknown; repeat with "
	    "--change-id %s\n",
	    change_id);
	return EXIT_PENDING;
}

/* Prints an error answer and returns its exit code. */
static enum exit_code
print_refusal(unsigned code, const char *text)
{
	struct json_object *reply = fld_parse(text, strlen(text), NULL);

	if (as_json && reply != NULL)
		print_json(reply);
	else if (json_object_is_type(reply, json_type_object))
		fprintf(stderr, "spctl: %s: %s\n", get_string(reply, "error"),
		    get_string(reply, "message"));
	else
		fprintf(stderr, "spctl: HTTP status %u\n", code);
	if (code == 504)
		fprintf(stderr,
		    "spctl: the outcome is unknown; repeat with "
		    "--change-id %s\n",
		    change_id);
	json_object_put(reply);
	return code == 504 ? EXIT_PENDING : EXIT_REFUSED;
}

/*
 * Gets a JSON object.  On failure prints an error, sets *result to the exit
 * code and returns NULL.
 */
static struct json_object *
get_object(const char *path, enum exit_code *result)
{
	struct json_object *reply;
	unsigned code = 0;
	char *text = send_to_any("GET", path, NULL, &code);

	*result = EXIT_IN_FORCE;
	if (text == NULL) {
		*result = report_no_answer(code);
		return NULL;
	}
	reply = code == 200 ? fld_parse(text, strlen(text), NULL) : NULL;
	if (!json_object_is_type(reply, json_type_object)) {
		json_object_put(reply);
		reply = NULL;
		*result = print_refusal(code, text);
	}
	g_free(text);
	return reply;
}

/* Prints in one line whether a version is in force and which voters lack it. */
static enum exit_code
print_progress(struct json_object *reply)
{
	struct json_object *missing = NULL, *voter;
	const char *state = get_string(reply, "state");
	bool in_force = strcmp(state, "in_force") == 0;
	size_t i;

	if (as_json) {
		print_json(reply);
		return in_force ? EXIT_IN_FORCE : EXIT_PENDING;
	}
	if (get_int(reply, "version") == 0) {
		puts("no configuration was applied yet");
		return EXIT_PENDING;
	}
	printf("version %s ", get_string(reply, "version"));
	if (in_force) {
		puts("is in force everywhere");
		return EXIT_IN_FORCE;
	}
	if (strcmp(state, "accepted") == 0)
		printf("is accepted, in force everywhere in %s ms",
		    get_string(reply, "remaining_ms"));
	else
		printf("is pending");
	json_object_object_get_ex(reply, "missing", &missing);
	for (i = 0; missing != NULL && i < json_object_array_length(missing);
	     i++) {
		voter = json_object_array_get_idx(missing, i);
		printf("%s%s (%s%s%s%s)", i == 0 ? ", not yet held by " : ", ",
		    get_string(voter, "failure_domain"),
		    get_string(voter, "incarnation"),
		    get_string(voter, "name")[0] != '\0' ? ", " : "",
		    get_string(voter, "name"),
		    strcmp(get_string(voter, "registered"), "true") == 0
			? ""
			: ", not registered");
	}
	putchar('\n');
	return EXIT_PENDING;
}

/* Polls until a version is in force or wait_s has passed. */
static enum exit_code
wait_in_force(struct json_object *reply)
{
	gint64 end = g_get_monotonic_time() + wait_s * G_USEC_PER_SEC;
	enum exit_code result;
	char path[64];

	snprintf(path, sizeof(path), "/v1/config/status?version=%s",
	    get_string(reply, "version"));
	while (strcmp(get_string(reply, "state"), "in_force") != 0 &&
	       g_get_monotonic_time() < end) {
		struct json_object *next;

		g_usleep(POLL_INTERVAL_US);
		next = get_object(path, &result);
		if (next == NULL)
			continue;
		json_object_put(reply);
		reply = next;
	}
	result = print_progress(reply);
	json_object_put(reply);
	return result;
}

/* Sends a change, waits until it is in force, and frees body. */
static enum exit_code
send_change(const char *method, const char *path, struct json_object *body)
{
	struct json_object *reply;
	enum exit_code result;
	unsigned code = 0;
	char *text;

	if (change_id == NULL)
		change_id = g_uuid_string_random();
	json_object_object_add(
	    body, "change_id", json_object_new_string(change_id));
	text =
	    send_to_any(method, path, json_object_to_json_string(body), &code);
	json_object_put(body);
	if (text == NULL)
		return report_no_answer(code);
	reply = code == 200 ? fld_parse(text, strlen(text), NULL) : NULL;
	if (json_object_is_type(reply, json_type_object)) {
		result = wait_in_force(reply);
	} else {
		result = print_refusal(code, text);
		json_object_put(reply);
	}
	g_free(text);
	return result;
}

/*
 * Reads and checks an operators' text.  On failure prints an error and returns
 * NULL.
 */
static char *
read_text(const char *path, enum exit_code *result)
{
	GError *error = NULL;
	struct status st;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		fprintf(stderr, "spctl: %s\n", error->message);
		g_error_free(error);
		*result = EXIT_USAGE;
		return NULL;
	}
	if (cfg_check_text(path, text, len, &st)) {
		*result = EXIT_IN_FORCE;
		return text;
	}
	fprintf(stderr, "spctl: %s\n", st.message);
	*result = EXIT_REFUSED;
	g_free(text);
	return NULL;
}

static enum exit_code
run_check(char **args)
{
	enum exit_code result;
	char *text = read_text(args[0], &result);

	if (text != NULL)
		puts(as_json ? "{\"valid\":true}" : "the text is valid");
	g_free(text);
	return result;
}

static enum exit_code
run_apply(char **args)
{
	struct json_object *current, *body;
	enum exit_code result;
	char *text = read_text(args[0], &result);

	if (text == NULL)
		return result;
	if (expected_version < 0) {
		current = get_object("/v1/config", &result);
		if (current == NULL) {
			g_free(text);
			return result;
		}
		expected_version = get_int(current, "version");
		json_object_put(current);
	}
	body = json_object_new_object();
	json_object_object_add(
	    body, "expected_version", json_object_new_int64(expected_version));
	json_object_object_add(body, "text", json_object_new_string(text));
	g_free(text);
	return send_change("PUT", "/v1/config", body);
}

static enum exit_code
set_out(char **args, bool out)
{
	struct json_object *body;
	enum cfg_kind kind;

	if (!cfg_kind_parse(args[0], &kind)) {
		fprintf(stderr,
		    "spctl: expected failure_domain, worker or service, got "
		    "\"%s\"\n",
		    args[0]);
		return EXIT_USAGE;
	}
	body = json_object_new_object();
	json_object_object_add(body, "kind", json_object_new_string(args[0]));
	json_object_object_add(body, "name", json_object_new_string(args[1]));
	json_object_object_add(body, "out", json_object_new_boolean(out));
	return send_change("POST", "/v1/out", body);
}

static enum exit_code
run_out(char **args)
{
	return set_out(args, true);
}

static enum exit_code
run_in(char **args)
{
	return set_out(args, false);
}

static enum exit_code
run_ended(char **args)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(
	    body, "incarnation", json_object_new_string(args[0]));
	return send_change("POST", "/v1/ended", body);
}

static void
print_outs(struct json_object *config)
{
	struct json_object *outs = NULL, *out;
	size_t i;

	json_object_object_get_ex(config, "out", &outs);
	for (i = 0; outs != NULL && i < json_object_array_length(outs); i++) {
		out = json_object_array_get_idx(outs, i);
		printf("out of service: %s %s\n", get_string(out, "kind"),
		    get_string(out, "name"));
	}
}

static enum exit_code
run_status(char **args)
{
	struct json_object *reply, *config = NULL, *list = NULL, *entry;
	enum exit_code result;
	size_t i;

	(void)args;
	reply = get_object("/v1/status", &result);
	if (reply == NULL)
		return result;
	if (as_json) {
		print_json(reply);
		json_object_put(reply);
		return EXIT_IN_FORCE;
	}
	json_object_object_get_ex(reply, "config", &config);
	printf("entry %s in %s, configuration %s, confirmed %s ms ago, "
	       "store read %s ms ago\n",
	    get_string(reply, "entry"), get_string(reply, "failure_domain"),
	    strcmp(get_string(config, "current"), "true") == 0 ? "current"
							       : "stale",
	    get_string(config, "age_ms"), get_string(config, "store_age_ms"));
	print_progress(config);
	print_outs(config);
	json_object_object_get_ex(reply, "entries", &list);
	for (i = 0; list != NULL && i < json_object_array_length(list); i++) {
		entry = json_object_array_get_idx(list, i);
		printf("registered entry %s in %s, incarnation %s, %s\n",
		    get_string(entry, "name"),
		    get_string(entry, "failure_domain"),
		    get_string(entry, "incarnation"),
		    get_string(entry, "operator_address"));
	}
	json_object_put(reply);
	return EXIT_IN_FORCE;
}

static enum exit_code
run_config(char **args)
{
	struct json_object *reply;
	enum exit_code result;

	(void)args;
	reply = get_object("/v1/config", &result);
	if (reply == NULL)
		return result;
	if (as_json) {
		print_json(reply);
	} else {
		/*
		 * Standard output gets only the text, so that it can be edited
		 * and applied.
		 */
		fprintf(stderr, "version %s\n", get_string(reply, "version"));
		fputs(get_string(reply, "text"), stdout);
	}
	json_object_put(reply);
	return EXIT_IN_FORCE;
}

/* Prints the body of an answer unchanged. */
static enum exit_code
print_get(const char *path)
{
	unsigned code = 0;
	enum exit_code result = EXIT_IN_FORCE;
	char *text = send_to_any("GET", path, NULL, &code);

	if (text == NULL)
		return report_no_answer(code);
	if (code != 200)
		result = print_refusal(code, text);
	else
		printf("%s%s", text, g_str_has_suffix(text, "\n") ? "" : "\n");
	g_free(text);
	return result;
}

static enum exit_code
run_traces(char **args)
{
	enum exit_code result;
	char *path;

	if (args[0] == NULL)
		return print_get("/v1/traces");
	path = g_strconcat("/v1/traces?trace_id=", args[0], NULL);
	result = print_get(path);
	g_free(path);
	return result;
}

/* Prints "name value" lines as one JSON object. */
static void
print_counters(const char *text)
{
	struct json_object *object = json_object_new_object();
	char **lines = g_strsplit(text, "\n", -1);
	size_t i;

	for (i = 0; lines[i] != NULL; i++) {
		char *value = strrchr(lines[i], ' ');

		if (lines[i][0] == '#' || value == NULL)
			continue;
		*value++ = '\0';
		json_object_object_add(object, lines[i],
		    json_object_new_int64(g_ascii_strtoll(value, NULL, 10)));
	}
	print_json(object);
	json_object_put(object);
	g_strfreev(lines);
}

static enum exit_code
run_counters(char **args)
{
	unsigned code = 0;
	char *text;

	(void)args;
	if (!as_json)
		return print_get("/metrics");
	text = send_to_any("GET", "/metrics", NULL, &code);
	if (text == NULL)
		return report_no_answer(code);
	print_counters(text);
	g_free(text);
	return EXIT_IN_FORCE;
}

static const struct command commands[] = {
    {"check", "FILE", "Checks an operators' text without sending it.", 1, 1,
	run_check},
    {"apply", "FILE", "Replaces the operators' text.", 1, 1, run_apply},
    {"out", "KIND NAME",
	"Takes a failure_domain, worker or service out of service.", 2, 2,
	run_out},
    {"in", "KIND NAME", "Brings a failure_domain, worker or service back in.",
	2, 2, run_in},
    {"ended", "INCARNATION",
	"States that the process of a voter has ended for good.", 1, 1,
	run_ended},
    {"status", "", "Shows an entry, its configuration and the entries.", 0, 0,
	run_status},
    {"config", "", "Prints the operators' text.", 0, 0, run_config},
    {"traces", "[TRACE-ID]", "Prints finished spans as JSON.", 0, 1,
	run_traces},
    {"counters", "", "Prints the counters of an entry.", 0, 0, run_counters},
};

static error_t
parse_number(const char *arg, int64_t min, int64_t max, int64_t *out,
    struct argp_state *state)
{
	gint64 n;

	if (!g_ascii_string_to_signed(arg, 10, min, max, &n, NULL))
		argp_error(state, "expected a number from %ld to %ld, got %s",
		    (long)min, (long)max, arg);
	*out = n;
	return 0;
}

static error_t
parse_common(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case OPT_ENTRY:
		if (!g_str_has_prefix(arg, "http://") ||
		    !g_uri_is_valid(arg, G_URI_FLAGS_NONE, NULL))
			argp_error(
			    state, "expected http://ip:port, got %s", arg);
		g_ptr_array_add(entries,
		    g_strndup(arg, strlen(arg) - g_str_has_suffix(arg, "/")));
		return 0;
	case OPT_JSON:
		as_json = true;
		return 0;
	case OPT_WAIT:
		return parse_number(arg, 0, MAX_WAIT_S, &wait_s, state);
	case OPT_EXPECTED:
		return parse_number(
		    arg, 0, INT64_MAX, &expected_version, state);
	case OPT_CHANGE_ID:
		g_free(change_id);
		change_id = g_strdup(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* The command given, and its arguments. */
static char *command_args[3];
static const struct command *command;

static error_t
parse_args(int key, char *arg, struct argp_state *state)
{
	if (key == ARGP_KEY_ARG) {
		if (state->arg_num >= (unsigned)command->max_args)
			argp_error(state, "too many arguments");
		command_args[state->arg_num] = arg;
		return 0;
	}
	if (key == ARGP_KEY_END && state->arg_num < (unsigned)command->min_args)
		argp_error(state, "expected %s", command->args);
	return parse_common(key, arg, state);
}

static error_t
parse_top(int key, char *arg, struct argp_state *state)
{
	struct argp argp = {options, parse_args, NULL, NULL, NULL, NULL, NULL};
	char *name;
	size_t i;

	if (key == ARGP_KEY_NO_ARGS)
		argp_usage(state);
	if (key != ARGP_KEY_ARG)
		return parse_common(key, arg, state);
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, arg) == 0)
			command = &commands[i];
	}
	if (command == NULL)
		argp_error(state, "unknown command %s", arg);
	argp.args_doc = command->args;
	argp.doc = command->doc;
	name = g_strconcat("spctl ", command->name, NULL);
	state->argv[state->next - 1] = name;
	argp_parse(&argp, state->argc - state->next + 1,
	    &state->argv[state->next - 1], 0, NULL, NULL);
	state->next = state->argc;
	return 0;
}

int
main(int argc, char **argv)
{
	GString *doc = g_string_new("Operates sequoiaplank.\vCommands:\n");
	struct argp argp = {options, parse_top, "COMMAND [ARGUMENT...]", NULL,
	    NULL, NULL, NULL};
	enum exit_code result;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(doc, "  %s %s: %s\n", commands[i].name,
		    commands[i].args, commands[i].doc);
	g_string_append(doc,
	    "\nExit status: 0 done and in force everywhere, 1 refused, "
	    "2 usage, 3 pending or outcome unknown, 4 no entry answers.");
	argp.doc = doc->str;
	argp_err_exit_status = EXIT_USAGE;
	entries = g_ptr_array_new_with_free_func(g_free);
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, NULL);
	session = soup_session_new_with_options(
	    "timeout", REQUEST_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	result = command->run(command_args);
	g_object_unref(session);
	g_ptr_array_free(entries, TRUE);
	g_string_free(doc, TRUE);
	g_free(change_id);
	return result;
}
