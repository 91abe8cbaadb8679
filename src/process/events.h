#ifndef SP_EVENTS_H
#define SP_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Structured log: one JSON object per line.  Writing never blocks: lines that
 * the descriptor does not accept at once are dropped and counted.  Lines of an
 * event type beyond lines_per_s are suppressed; the field left_out of its next
 * line holds their number.
 */
struct evt_options {
	const char *role;     /* borrowed until evt_close() */
	const char *node;     /* copied */
	int fd;		      /* made non-blocking */
	uint32_t lines_per_s; /* of one event type */
};

/* Lines written before this or after evt_close() are discarded. */
void evt_open(const struct evt_options *opts);
void evt_close(void);

/* A member of the JSON object, made by the functions below. */
struct evt_field {
	const char *name;
	enum { EVT_TEXT, EVT_INT, EVT_UINT, EVT_BOOL } type;
	union {
		const char *text; /* any bytes; NULL: empty */
		int64_t number;
		uint64_t unsigned_number;
		bool flag;
	};
};

static inline struct evt_field
evt_text(const char *name, const char *text)
{
	return (struct evt_field){.name = name, .type = EVT_TEXT, .text = text};
}

static inline struct evt_field
evt_int(const char *name, int64_t number)
{
	return (struct evt_field){
	    .name = name, .type = EVT_INT, .number = number};
}

static inline struct evt_field
evt_uint(const char *name, uint64_t number)
{
	return (struct evt_field){
	    .name = name, .type = EVT_UINT, .unsigned_number = number};
}

static inline struct evt_field
evt_bool(const char *name, bool flag)
{
	return (struct evt_field){.name = name, .type = EVT_BOOL, .flag = flag};
}

void evt_write_fields(
    const char *event, const struct evt_field *fields, size_t n_fields);
/* evt_write(EVENT, FIELD...) writes a line with at least one field. */
#define evt_write(event, ...)                                                  \
	evt_write_fields((event), (const struct evt_field[]){__VA_ARGS__},     \
	    sizeof((const struct evt_field[]){__VA_ARGS__}) /                  \
		sizeof(struct evt_field))
/* Numbers of lines suppressed by lines_per_s, and of lines lost in writing. */
uint64_t evt_suppressed(void);
uint64_t evt_dropped(void);

#endif
