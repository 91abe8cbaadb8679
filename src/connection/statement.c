#include <glib.h>
#include <string.h>

#include "connection/address.h"
#include "connection/statement.h"

static char *
text_to_wire(const char *text)
{
	return (char *)(text != NULL ? text : "");
}

void
stm_to_wire(const struct wp_worker *worker, run_statement *to)
{
	*to = (run_statement){
	    .incarnation = worker->born_ms,
	    .instance = text_to_wire(worker->instance),
	    .address = text_to_wire(worker->address),
	    .stated_ms = worker->clock_ms,
	    .draining = worker->draining,
	    .service = text_to_wire(worker->service),
	    .failure_domain = text_to_wire(worker->failure_domain),
	    .labels = {(uint32_t)worker->n_labels, (char **)worker->labels},
	    .capacity = {worker->capacity.cpu_milli, worker->capacity.memory_mb,
		worker->capacity.gpus},
	};
}

static bool
is_size_valid(int64_t size)
{
	return size >= 0 && size <= WP_SIZE_MAX;
}

static bool
is_name_valid(const char *name)
{
	return *name != '\0' && strlen(name) <= WP_NAME_MAX_BYTES;
}

static bool
is_valid(const run_statement *statement)
{
	return statement->incarnation > 0 &&
	       statement->incarnation <= (uint64_t)WP_BORN_MAX_MS &&
	       wp_id_is_valid(statement->instance) &&
	       addr_is_valid(statement->address) && statement->stated_ms >= 0 &&
	       statement->stated_ms <= WP_COUNT_MAX &&
	       is_name_valid(statement->service) &&
	       is_name_valid(statement->failure_domain) &&
	       statement->labels.labels_len <= WP_LABELS_MAX &&
	       is_size_valid(statement->capacity.cpu_milli) &&
	       is_size_valid(statement->capacity.memory_mb) &&
	       is_size_valid(statement->capacity.gpus);
}

bool
stm_from_wire(const run_statement *statement, struct wp_worker *to)
{
	if (!is_valid(statement))
		return false;
	*to = (struct wp_worker){
	    .instance = statement->instance,
	    .born_ms = statement->incarnation,
	    .clock_ms = statement->stated_ms,
	    .service = statement->service,
	    .address = statement->address,
	    .failure_domain = statement->failure_domain,
	    .draining = statement->draining,
	    .capacity = {statement->capacity.cpu_milli,
		statement->capacity.memory_mb, statement->capacity.gpus},
	    .labels = (const char *const *)statement->labels.labels_val,
	    .n_labels = statement->labels.labels_len,
	};
	return true;
}
