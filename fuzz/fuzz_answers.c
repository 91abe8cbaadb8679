/*
 * A worker's answers to starts, stops and holds.  What is accepted lies in range
 * and is what the worker sent; a malformed answer counts as none, and a list of
 * runs is whole or not there.
 */
#include <glib.h>
#include <string.h>

#include "fuzz/check.h"
#include "fuzz/choices.h"
#include "platform/workeranswer.h"
#include "process/fields.h"

/*
 * The input begins with the index of the status, and the kinds of the call and of
 * the body: JSON, or bytes that choose its values.
 */
#define HEADER_BYTES 2
#define IS_HOLD	     1
#define IS_CHOSEN    2

static const long codes[] = {200, 409, 200, 421, 400, 429, 503, 500, 0};

static struct json_object *
member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, name, &value);
	return value;
}

/* A number of the worker that was used as it is. */
static void
check_number(struct json_object *from, int64_t number, int64_t min, int64_t max)
{
	fz_check(json_object_is_type(from, json_type_int));
	fz_check(json_object_get_int64(from) == number);
	fz_check(number >= min && number <= max);
}

static void
check_text(struct json_object *from, const char *text, size_t min_bytes)
{
	size_t len = strlen(text);

	fz_check(json_object_is_type(from, json_type_string));
	fz_check((size_t)json_object_get_string_len(from) == len);
	fz_check(strcmp(json_object_get_string(from), text) == 0);
	fz_check(len >= min_bytes && len <= WP_NAME_MAX_BYTES);
	fz_check(g_utf8_validate(text, -1, NULL));
}

/* The verdict is that of the status, or none was understood. */
static void
check_verdict(const struct wp_answer *answer, const struct ph_answer *http)
{
	switch (answer->verdict) {
	case WP_DONE:
		fz_check(http->code == 200);
		break;
	case WP_STALE_RUN:
	case WP_DEADLINE_PASSED:
	case WP_FENCED:
		fz_check(http->code == 409 && answer->reason != NULL);
		break;
	case WP_REPLACED:
		fz_check(http->code == 421);
		break;
	case WP_REFUSED:
		fz_check(http->code >= 400 && http->code < 600);
		break;
	case WP_NO_ANSWER:
		break;
	}
}

static void
check_answer(const struct wp_answer *answer, const struct ph_answer *http)
{
	struct json_object *clock = member(http->body, "clock_ms");
	struct json_object *reason = member(http->body, "reason");
	bool is_used = answer->verdict == WP_DONE || http->code == 409;

	check_verdict(answer, http);
	if (answer->clock_ms != 0)
		check_number(clock, answer->clock_ms, 0, WP_COUNT_MAX);
	if (answer->reason != NULL)
		fz_check(strlen(answer->reason) <= WP_NAME_MAX_BYTES);
	if (!is_used || answer->verdict == WP_NO_ANSWER) {
		fz_check(answer->verdict != WP_NO_ANSWER || http->code != 200 ||
			 answer->clock_ms == 0);
		return;
	}
	/* Nothing of an accepted answer was out of range. */
	if (clock != NULL)
		check_number(clock, answer->clock_ms, 0, WP_COUNT_MAX);
	if (reason != NULL && http->code == 409)
		check_text(reason, answer->reason, 0);
}

static void
on_answer(const struct wp_answer *answer, void *ctx)
{
	check_answer(answer, ctx);
}

static void
check_running(struct json_object *row, const struct wp_running *run)
{
	check_text(json_object_array_get_idx(row, 0), run->task, 1);
	check_number(
	    json_object_array_get_idx(row, 1), run->run, 1, WP_COUNT_MAX);
	check_number(json_object_array_get_idx(row, 3), run->percent, 0,
	    PWA_MAX_PERCENT);
}

static void
check_ended(struct json_object *row, const struct wp_ended *end)
{
	const char *how =
	    json_object_get_string(json_object_array_get_idx(row, 3));

	check_number(
	    json_object_array_get_idx(row, 0), end->number, 1, WP_COUNT_MAX);
	check_text(json_object_array_get_idx(row, 1), end->task, 1);
	check_number(
	    json_object_array_get_idx(row, 2), end->run, 1, WP_COUNT_MAX);
	check_text(json_object_array_get_idx(row, 3), how, 0);
	fz_check(
	    (end->end_kind == WP_ENDED_DONE) == (strcmp(how, "done") == 0));
	fz_check(
	    (end->end_kind == WP_ENDED_FAILED) == (strcmp(how, "failed") == 0));
}

static void
check_lists(const struct wp_report *report, struct json_object *body)
{
	struct json_object *running = member(body, "running");
	struct json_object *ended = member(body, "ended");
	size_t i;

	fz_check(json_object_is_type(running, json_type_array));
	fz_check(json_object_is_type(ended, json_type_array));
	fz_check(json_object_array_length(running) == report->n_running);
	fz_check(json_object_array_length(ended) == report->n_ended);
	for (i = 0; i < report->n_running; i++)
		check_running(
		    json_object_array_get_idx(running, i), &report->running[i]);
	for (i = 0; i < report->n_ended; i++)
		check_ended(
		    json_object_array_get_idx(ended, i), &report->ended[i]);
}

static void
on_report(const struct wp_report *report, void *ctx)
{
	const struct ph_answer *http = ctx;

	check_answer(&report->answer, http);
	if (report->answer.verdict != WP_DONE) {
		fz_check(report->n_running == 0 && report->n_ended == 0);
		fz_check(report->born_ms == 0);
		return;
	}
	check_number(member(http->body, "clock_ms"), report->answer.clock_ms, 0,
	    WP_COUNT_MAX);
	check_number(member(http->body, "born"), (int64_t)report->born_ms, 1,
	    WP_BORN_MAX_MS);
	check_lists(report, http->body);
}

static const char *const numbers[] = {"5", "1", "7", NULL, "0", "-1", "10001",
    "9007199254740992", "9007199254740993", "4102444800001",
    "9223372036854775807", "99999999999999999999", "7.5", "\"7\"", "null"};
static const char *const texts[] = {"\"a\"", "\"b.0.1.17\"", "\"done\"",
    "\"failed\"", "\"lapsed\"", "\"old\"", "\"fence\"", "\"late\"", NULL,
    "\"\"", "\"done\\u0000x\"", "\"old\\u0000\"", "\"\\udc00\"", "\"\xff\"",
    "7", "null"};
static const char *const lists[] = {"[", "[", "[", NULL, "null", "{}", "[7,"};

/* A text may also be longer than any. */
static void
add_text(struct choices *in, GString *out, const char *name)
{
	g_autofree char *filler = g_strnfill(WP_NAME_MAX_BYTES, 'x');
	g_autofree char *too_long = g_strdup_printf("\"%s.\"", filler);
	uint8_t choice = cho_next(in);

	cho_add(out, name,
	    choice == UINT8_MAX ? too_long
				: texts[choice % G_N_ELEMENTS(texts)]);
}

static void
add_number(struct choices *in, GString *out, const char *name)
{
	cho_add(out, name, cho_pick(in, numbers, G_N_ELEMENTS(numbers)));
}

/* A row has up to four values that are read, and one that is not. */
static void
add_row(struct choices *in, GString *out, bool is_ended)
{
	if (out->str[out->len - 1] == ']')
		g_string_append_c(out, ',');
	g_string_append_c(out, '[');
	if (is_ended)
		add_number(in, out, NULL);
	add_text(in, out, NULL);
	add_number(in, out, NULL);
	add_text(in, out, NULL);
	if (!is_ended)
		add_number(in, out, NULL);
	g_string_append_c(out, ']');
}

static void
add_list(struct choices *in, GString *out, bool is_ended)
{
	const char *list = cho_pick(in, lists, G_N_ELEMENTS(lists));
	int n = cho_next(in) % 4;

	cho_add(out, is_ended ? "ended" : "running", list);
	if (list == NULL || *list != '[')
		return;
	if (list[1] != '\0' && n == 0)
		n = 1;
	while (n-- > 0)
		add_row(in, out, is_ended);
	g_string_append_c(out, ']');
}

/* An answer whose values are chosen by bytes. */
static struct json_object *
choose_body(struct choices *in, bool is_hold)
{
	g_autoptr(GString) out = g_string_new("{");

	add_number(in, out, "clock_ms");
	if (is_hold) {
		add_number(in, out, "born");
		add_list(in, out, false);
		add_list(in, out, true);
	}
	if (in->size > 0)
		add_text(in, out, "reason");
	g_string_append_c(out, '}');
	return fld_parse(out->str, out->len, NULL);
}

static struct json_object *
read_body(const uint8_t *data, size_t size, uint8_t kinds)
{
	struct choices in = {data, size};

	return kinds & IS_CHOSEN ? choose_body(&in, kinds & IS_HOLD)
				 : fld_parse((const char *)data, size, NULL);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct rfl refused = {.source = "worker_answer"};
	struct ph_answer http = {.st = {.message = "no answer"}};

	if (size < HEADER_BYTES)
		return 0;
	http.code = codes[data[0] % G_N_ELEMENTS(codes)];
	if (http.code != 0)
		http.body = read_body(
		    data + HEADER_BYTES, size - HEADER_BYTES, data[1]);
	if (data[1] & IS_HOLD)
		pwa_report(&http, &refused, on_report, &http);
	else
		pwa_answer(&http, &refused, on_answer, &http);
	json_object_put(http.body);
	return 0;
}
