/*
 * A spec on its way from the caller to the worker.  The input writes a text as
 * JSON, in every legal form of escape and in some illegal ones, and knows the
 * bytes that it stands for.  The worker is told these bytes, or the job is
 * refused.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "connection/startspecs.h"
#include "fuzz/check.h"
#include "platform/job.h"
#include "platform/worker.h"

#define MAX_SPEC_BYTES 4000
#define MAX_CODE_POINT 0x10ffffu
#define OUTSIDE_BMP    0x10000u

/* A text as it is written, and what it stands for. */
struct text {
	GString *json;
	GString *bytes;
	uint32_t
	    high; /* escaped surrogate that waits for its other half, or 0 */
	bool is_valid;
};

static void
end_escape(struct text *t)
{
	if (t->high != 0)
		t->is_valid = false;
	t->high = 0;
}

static bool
is_surrogate(uint32_t code_point)
{
	return code_point >= 0xd800 && code_point <= 0xdfff;
}

static void
add_unit(struct text *t, uint32_t unit, bool upper_case)
{
	g_string_append_printf(
	    t->json, upper_case ? "\\u%04X" : "\\u%04x", unit);
	if (unit >= 0xdc00 && unit <= 0xdfff && t->high != 0) {
		g_string_append_unichar(t->bytes,
		    OUTSIDE_BMP + ((t->high - 0xd800) << 10) + (unit - 0xdc00));
		t->high = 0;
		return;
	}
	end_escape(t);
	if (unit >= 0xd800 && unit <= 0xdbff)
		t->high = unit;
	else if (is_surrogate(unit))
		t->is_valid = false;
	else if (unit == 0)
		g_string_append_c(t->bytes, '\0');
	else
		g_string_append_unichar(t->bytes, unit);
}

static void
add_short_escape(struct text *t, uint8_t byte)
{
	static const char letters[] = "\"\\/bfnrt";
	static const char stands_for[] = "\"\\/\b\f\n\r\t";
	size_t i = byte % (sizeof(letters) - 1);

	end_escape(t);
	g_string_append_c(t->json, '\\');
	g_string_append_c(t->json, letters[i]);
	g_string_append_c(t->bytes, stands_for[i]);
}

/* A character as itself; surrogates become bytes that are no UTF-8. */
static void
add_raw(struct text *t, uint32_t code_point)
{
	char utf8[6];
	int len;

	code_point %= MAX_CODE_POINT + 1;
	if (code_point < ' ' || code_point == '"' || code_point == '\\')
		code_point = 'x';
	end_escape(t);
	if (is_surrogate(code_point))
		t->is_valid = false;
	len = g_unichar_to_utf8(code_point, utf8);
	g_string_append_len(t->json, utf8, len);
	g_string_append_len(t->bytes, utf8, len);
}

/* Uses up to 4 bytes of the input; returns how many. */
static size_t
add_one(struct text *t, const uint8_t *in, size_t size)
{
	uint32_t value = 0;
	size_t i;

	for (i = 1; i < 4 && i < size; i++)
		value = value * 256 + in[i];
	switch (in[0] % 6) {
	case 0:
		add_raw(t, value & 0x7f);
		return 2;
	case 1:
		add_unit(t, value & 0xffff, in[0] & 0x80);
		return 4;
	case 2: /* likely half of a pair */
		add_unit(t, 0xd800 + (value & 0x7ff), in[0] & 0x80);
		return 4;
	case 3:
		add_short_escape(t, (uint8_t)value);
		return 2;
	case 4:
		add_raw(t, value);
		return 4;
	default:
		add_unit(t, 0, false);
		return 1;
	}
}

/* The spec as the worker reads it; the caller frees the string. */
static GString *
send_to_worker(GBytes *spec)
{
	g_autoptr(GPtrArray) specs = ssp_new();
	g_autofree run_spec *wire = NULL;
	g_autoptr(GPtrArray) received = NULL;
	run_start_args args = {0};
	run_start_args decoded = {0};
	struct wp_start start = {.task = "task", .run = 1};
	struct json_object *body, *read, *value = NULL;
	char *record;
	GString *got;
	u_int len;
	XDR xdrs;

	ssp_add(specs, spec);
	wire = ssp_to_wire(specs);
	args.specs.specs_len = specs->len;
	args.specs.specs_val = wire;
	len = (u_int)xdr_sizeof((xdrproc_t)xdr_run_start_args, &args);
	record = malloc(len);
	xdrmem_create(&xdrs, record, len, XDR_ENCODE);
	fz_check(xdr_run_start_args(&xdrs, &args));
	xdr_destroy(&xdrs);
	xdrmem_create(&xdrs, record, len, XDR_DECODE);
	fz_check(xdr_run_start_args(&xdrs, &decoded));
	xdr_destroy(&xdrs);
	received = ssp_from_wire(&decoded);
	xdr_free((xdrproc_t)xdr_run_start_args, (char *)&decoded);
	free(record);
	fz_check(received->len == 1);
	start.spec = received->pdata[0];
	body = pwk_encode_start(&start);
	read = json_tokener_parse(
	    json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN));
	fz_check(json_object_object_get_ex(read, "spec", &value));
	got = g_string_new_len(
	    json_object_get_string(value), json_object_get_string_len(value));
	json_object_put(read);
	json_object_put(body);
	return got;
}

static void
check_job(const struct text *t)
{
	g_autofree char *document = g_strdup_printf(
	    "{\"spec\":\"%s\",\"best_effort\":true,\"steps\":[{\"count\":1}]}",
	    t->json->str);
	struct status st = {.code = ST_OK};
	struct wk_job *job = pjob_decode("id", document, strlen(document), &st);
	GString *got;

	if (!t->is_valid || t->bytes->len > MAX_SPEC_BYTES) {
		fz_check(job == NULL && st.code == ST_INVALID);
		return;
	}
	fz_check(job != NULL);
	got = send_to_worker(job->spec);
	fz_check(g_string_equal(got, t->bytes));
	g_string_free(got, TRUE);
	wk_job_free(job);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct text t = {.json = g_string_new(NULL),
	    .bytes = g_string_new(NULL),
	    .is_valid = true};
	size_t used;

	while (size > 0) {
		used = MIN(add_one(&t, data, size), size);
		data += used;
		size -= used;
	}
	end_escape(&t);
	check_job(&t);
	g_string_free(t.json, TRUE);
	g_string_free(t.bytes, TRUE);
	return 0;
}
