#ifndef SP_IDENT_H
#define SP_IDENT_H

#include <stdint.h>

/*
 * Submission ids "<incarnation>-<counter>-<tag>" of one entry process.  The
 * tag is a truncated HMAC-SHA256, so minted ids need no storage and no other
 * client can guess one.
 */
struct ident;

#define ID_LEN	       46
#define ID_KEY_BYTES   32
#define ID_COUNTER_MAX 0xffffffffffffULL

enum id_check {
	ID_OWN,	   /* minted by this process */
	ID_OTHER,  /* well formed, of another incarnation */
	ID_FORGED, /* own incarnation, but never minted */
	ID_MALFORMED
};

struct id_parts {
	uint64_t incarnation;
	uint64_t counter;
};

struct ident *id_new(uint64_t incarnation, const uint8_t key[ID_KEY_BYTES]);
struct ident *id_new_random(void);
void id_free(struct ident *ids);

uint64_t id_incarnation(const struct ident *ids);
void id_mint(struct ident *ids, char out[ID_LEN + 1]);
enum id_check id_check(
    const struct ident *ids, const char *id, struct id_parts *parts);

/* Ids with a lower counter never start any more; the mark only rises. */
uint64_t id_low_water(const struct ident *ids);
void id_raise_low_water(struct ident *ids, uint64_t counter);

#endif
