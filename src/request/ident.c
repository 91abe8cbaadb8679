#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "request/ident.h"

#define TAG_BYTES	8
#define INCARNATION_HEX 16
#define COUNTER_HEX	12
#define TAG_HEX		(2 * TAG_BYTES)
#define COUNTER_POS	(INCARNATION_HEX + 1)
#define TAG_POS		(COUNTER_POS + COUNTER_HEX + 1)
#define SHA256_BYTES	32

struct ident {
	uint64_t incarnation;
	uint64_t next;
	uint64_t low_water;
	uint8_t key[ID_KEY_BYTES];
};

/* Makes an issuer with a fixed incarnation and key, for tests. */
struct ident *
id_new(uint64_t incarnation, const uint8_t key[ID_KEY_BYTES])
{
	struct ident *ids = g_new0(struct ident, 1);

	ids->incarnation = incarnation;
	ids->next = 1;
	memcpy(ids->key, key, ID_KEY_BYTES);
	return ids;
}

static void
random_bytes(void *out, size_t len)
{
	if (getrandom(out, len, 0) != (ssize_t)len)
		g_error("getrandom failed");
}

/* Makes an issuer with a random incarnation, never 0, and a random key. */
struct ident *
id_new_random(void)
{
	uint8_t key[ID_KEY_BYTES];
	uint64_t incarnation = 0;

	random_bytes(key, sizeof(key));
	while (incarnation == 0)
		random_bytes(&incarnation, sizeof(incarnation));
	return id_new(incarnation, key);
}

void
id_free(struct ident *ids)
{
	g_free(ids);
}

uint64_t
id_incarnation(const struct ident *ids)
{
	return ids->incarnation;
}

static void
format_prefix(uint64_t incarnation, uint64_t counter, char *out)
{
	snprintf(out, TAG_POS + 1,
	    "%016" G_GINT64_MODIFIER "x-%012" G_GINT64_MODIFIER "x-",
	    incarnation, counter);
}

static void
format_tag(const struct ident *ids, const char *prefix, char *out)
{
	uint8_t digest[SHA256_BYTES];
	gsize len = sizeof(digest);
	GHmac *hmac;
	int i;

	hmac = g_hmac_new(G_CHECKSUM_SHA256, ids->key, sizeof(ids->key));
	g_hmac_update(hmac, (const guchar *)prefix, TAG_POS);
	g_hmac_get_digest(hmac, digest, &len);
	g_hmac_unref(hmac);
	for (i = 0; i < TAG_BYTES; i++)
		snprintf(out + 2 * (size_t)i, 3, "%02x", digest[i]);
}

void
id_mint(struct ident *ids, char out[ID_LEN + 1])
{
	if (ids->next > ID_COUNTER_MAX)
		g_error("submission ids exhausted");
	format_prefix(ids->incarnation, ids->next++, out);
	format_tag(ids, out, out + TAG_POS);
}

static bool
parse_hex(const char *text, int digits, uint64_t *value)
{
	int i;

	*value = 0;
	for (i = 0; i < digits; i++) {
		/* Lower case only: the job table compares ids as text. */
		if (!g_ascii_isdigit(text[i]) &&
		    !(text[i] >= 'a' && text[i] <= 'f'))
			return false;
		*value = *value << 4 | (uint64_t)g_ascii_xdigit_value(text[i]);
	}
	return true;
}

/* Takes constant time, which doesn't reveal where a guessed tag differs. */
static bool
tags_equal(const char *a, const char *b)
{
	unsigned diff = 0;
	int i;

	for (i = 0; i < TAG_HEX; i++)
		diff |= (unsigned char)a[i] ^ (unsigned char)b[i];
	return diff == 0;
}

/* Classifies an id; parts is set unless the id is malformed. */
enum id_check
id_check(const struct ident *ids, const char *id, struct id_parts *parts)
{
	char tag[TAG_HEX + 1];
	uint64_t ignored;

	if (strnlen(id, ID_LEN + 1) != ID_LEN || id[INCARNATION_HEX] != '-' ||
	    id[TAG_POS - 1] != '-' ||
	    !parse_hex(id, INCARNATION_HEX, &parts->incarnation) ||
	    !parse_hex(id + COUNTER_POS, COUNTER_HEX, &parts->counter) ||
	    !parse_hex(id + TAG_POS, TAG_HEX, &ignored))
		return ID_MALFORMED;
	if (parts->incarnation != ids->incarnation)
		return ID_OTHER;
	format_tag(ids, id, tag);
	if (!tags_equal(tag, id + TAG_POS) || parts->counter == 0 ||
	    parts->counter >= ids->next)
		return ID_FORGED;
	return ID_OWN;
}

/* Returns the counter below which ids without a job record have expired. */
uint64_t
id_low_water(const struct ident *ids)
{
	return ids->low_water;
}

void
id_raise_low_water(struct ident *ids, uint64_t counter)
{
	if (counter > ids->low_water)
		ids->low_water = counter;
}
