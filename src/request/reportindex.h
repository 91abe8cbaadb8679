#ifndef SP_REPORTINDEX_H
#define SP_REPORTINDEX_H

#include <stdbool.h>
#include <stdint.h>

#include "connection/workerport.h"

/* The runs that a report lists, by their numbers; refers to the report. */
struct rpi;

struct rpi *rpi_new(const struct wp_report *report);
void rpi_free(struct rpi *rpi);
bool rpi_lists(const struct rpi *rpi, const char *task, int64_t run);

#endif
