#include "request/rendezvous.h"

/* FNV-1a with a final mix. */
uint64_t
rdv_score(const char *a, const char *b)
{
	uint64_t hash = 0xcbf29ce484222325ULL;

	for (; *a != '\0'; a++)
		hash = (hash ^ (unsigned char)*a) * 0x100000001b3ULL;
	hash = (hash ^ 0xff) * 0x100000001b3ULL;
	for (; *b != '\0'; b++)
		hash = (hash ^ (unsigned char)*b) * 0x100000001b3ULL;
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdULL;
	hash ^= hash >> 33;
	return hash;
}
