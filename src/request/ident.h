#ifndef SP_IDENT_H
#define SP_IDENT_H

#include <stdint.h>

/*
 * Issuer of submission ids "<incarnation>-<counter>-<tag>" in an entry process.
 * The tag is a truncated HMAC-SHA256 of the rest, so issued ids need not be
 * stored and a client can't guess another client's id.
 */
struct ident;

#define ID_LEN	       46
#define ID_KEY_BYTES   32
#define ID_COUNTER_MAX 0xffffffffffffULL

enum id_check {
	ID_OWN,	   /* issued by this process */
	ID_OTHER,  /* well-formed, with the incarnation of another process */
	ID_FORGED, /* has this process's incarnation but was never issued */
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

/*
 * An id with a counter below the low-water mark never creates a job any more.
 * The mark never decreases.
 */
uint64_t id_low_water(const struct ident *ids);
void id_raise_low_water(struct ident *ids, uint64_t counter);

#endif
