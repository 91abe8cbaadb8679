#ifndef SP_RENDEZVOUS_H
#define SP_RENDEZVOUS_H

#include <stdint.h>

/*
 * Score of a pair for rendezvous hashing: each chooser takes the candidates
 * with the highest scores.  The same value in every process and version.
 */
uint64_t rdv_score(const char *chooser, const char *candidate);

#endif
