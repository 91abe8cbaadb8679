#include <glib.h>

#include "oddheartbeat.h"

/* Where the worker's own value stands in a row. */
#define OWN 0

/* The fields that the review's foreign heartbeat leaves out are in REST. */
#define REST ",\"version\":\"v1\",\"slots\":8,\"labels\":[\"a\"]"
#define HIGH "1000000000000"

const struct ohb_row ohb_rows[] = {
    {"start beyond 64 bits and port out of range", "x", "99999999999999999999",
	0, "127.0.0.1:99999", NULL, NULL, REST, NULL, 0},
    {"start beyond 64 bits", "x", "99999999999999999999", 0, NULL, NULL, NULL,
	REST, NULL, 0},
    {"address that no port listens on", "x", "1999999999999", 0, "127.0.0.1:1",
	NULL, NULL, REST, NULL, 0},
    {"unknown id at the worker's address", "x", NULL, 1000, NULL, NULL, NULL,
	REST, NULL, 0},
    {"later start under the worker's id", NULL, NULL, 1000, NULL, NULL, NULL,
	REST, NULL, 0},
    {"worker's id at another address", NULL, NULL, OWN, "127.0.0.1:1", HIGH,
	NULL, REST, NULL, 0},
    {"high number without further fields", NULL, NULL, OWN, NULL, HIGH, NULL,
	"", NULL, 0},
    {"high number", NULL, NULL, OWN, NULL, HIGH, NULL, REST, NULL, 0},
    {"high number and time", NULL, NULL, OWN, NULL, HIGH, HIGH, REST, NULL, 0},
    {"number beyond 64 bits", NULL, NULL, OWN, NULL, "99999999999999999999",
	NULL, REST, NULL, 0},
};

const int ohb_n_rows = G_N_ELEMENTS(ohb_rows);

static const char *
text_or(const char *text, const char *otherwise)
{
	return text == NULL ? otherwise : text;
}

struct hn_http *
ohb_send(const struct dpl *dpl, int worker, const struct ohb_row *row)
{
	struct hn_http *own =
	    dpl_control(dpl, "GET", hn_str("worker?index=%d", worker), NULL);
	const char *born = hn_str(
	    "%" G_GINT64_FORMAT, hn_json_int(own, "born") + row->born_later_ms);
	const char *address =
	    hn_str("127.0.0.1:%d", (int)hn_json_int(own, "app_port"));
	const char *seq =
	    hn_str("%" G_GINT64_FORMAT, hn_json_int(own, "seq") + 1);
	const char *clock_ms =
	    hn_str("%" G_GINT64_FORMAT, hn_json_int(own, "clock_ms"));

	return hn_http_start("PUT",
	    hn_str("http://127.0.0.1:%u" OHB_INSTANCES_PATH "%s",
		dpl->control_port[worker],
		text_or(row->id, hn_json_str(own, "id"))),
	    NULL,
	    hn_str("{\"service\":\"%s\",\"address\":\"%s\","
		   "\"zone\":\"z%d\",\"state\":\"ready\","
		   "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,"
		   "\"mem_mb\":4096,\"gpu\":0},\"clock_ms\":%s,\"seq\":%s,"
		   "\"born\":%s%s}",
		text_or(row->service, "desk"), text_or(row->address, address),
		worker,
		row->capacity_milli == OWN
		    ? (int)hn_json_int(own, "capacity_milli")
		    : row->capacity_milli,
		text_or(row->clock_ms, clock_ms), text_or(row->seq, seq),
		text_or(row->born, born), row->rest));
}
