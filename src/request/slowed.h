#ifndef SP_SLOWED_H
#define SP_SLOWED_H

#include <stddef.h>
#include <stdint.h>

/*
 * The queues whose runs a worker slows at present, as its agent has reported
 * them: usually none.  Plain data, zero is empty.
 */
#define SLD_MAX 16

struct sld_row {
	char *queue;
	uint32_t permille; /* above 1000 */
};

struct sld {
	struct sld_row *rows;
	size_t n;
};

/* Replaces all rows by those with a valid factor, at most SLD_MAX. */
void sld_set(struct sld *sld, const struct sld_row *rows, size_t n);
void sld_clear(struct sld *sld);
/* Run time of the queue's tasks over that without other runs, at least 1. */
double sld_factor(const struct sld *sld, const char *queue);

#endif
