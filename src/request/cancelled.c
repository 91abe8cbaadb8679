#include <glib.h>
#include <string.h>

#include "request/cancelled.h"

/* Rows are dropped from the array when so many have expired. */
#define COMPACT_ROWS 1024
/* FNV-1a: processes of all machines must make the same keys. */
#define FNV_BASIS UINT64_C(14695981039346656037)
#define FNV_PRIME UINT64_C(1099511628211)

struct ccl {
	uint32_t max;
	GHashTable *keys;  /* set of uint64_t, in rows */
	GArray *rows;	   /* struct ccl_row */
	guint first;	   /* index of the oldest row that is remembered */
	uint64_t position; /* of rows[0] */
};

struct ccl *
ccl_new(uint32_t max)
{
	struct ccl *ccl = g_new0(struct ccl, 1);

	ccl->max = max;
	ccl->keys = g_hash_table_new(NULL, NULL);
	ccl->rows = g_array_new(FALSE, FALSE, sizeof(struct ccl_row));
	return ccl;
}

void
ccl_free(struct ccl *ccl)
{
	if (ccl == NULL)
		return;
	g_hash_table_unref(ccl->keys);
	g_array_unref(ccl->rows);
	g_free(ccl);
}

static uint64_t
hash_byte(uint64_t hash, char byte)
{
	return (hash ^ (unsigned char)byte) * FNV_PRIME;
}

uint64_t
ccl_key(const char *host, const char *path)
{
	uint64_t key = FNV_BASIS;
	size_t i;

	for (i = 0; host != NULL && host[i] != '\0' && host[i] != ':'; i++)
		key = hash_byte(key, g_ascii_tolower(host[i]));
	/* So that no host and path run into another pair. */
	key = hash_byte(key, '\0');
	for (i = 0; path[i] != '\0'; i++)
		key = hash_byte(key, path[i]);
	return key == 0 ? 1 : key;
}

/* Pointers have 64 bits on all machines that the programs are built for. */
static gpointer
pointer_of(uint64_t key)
{
	G_STATIC_ASSERT(sizeof(gpointer) == sizeof(uint64_t));
	return (gpointer)(uintptr_t)key;
}

static const struct ccl_row *
row_at(const struct ccl *ccl, guint i)
{
	return &g_array_index(ccl->rows, struct ccl_row, i);
}

uint32_t
ccl_count(const struct ccl *ccl)
{
	return ccl->rows->len - ccl->first;
}

static void
expire(struct ccl *ccl, int64_t now_ms)
{
	while (ccl_count(ccl) > 0) {
		const struct ccl_row *oldest = row_at(ccl, ccl->first);

		if (now_ms - oldest->since_ms <= CCL_KEEP_MS &&
		    ccl_count(ccl) / 2 <= ccl->max)
			break;
		g_hash_table_remove(ccl->keys, pointer_of(oldest->key));
		ccl->first++;
	}
	if (ccl->first < COMPACT_ROWS || ccl->first < ccl->rows->len / 2)
		return;
	g_array_remove_range(ccl->rows, 0, ccl->first);
	ccl->position += ccl->first;
	ccl->first = 0;
}

bool
ccl_add(struct ccl *ccl, uint64_t key, int64_t since_ms, int64_t now_ms)
{
	struct ccl_row row = {key, MIN(since_ms, now_ms)};

	if (now_ms - row.since_ms > CCL_KEEP_MS || ccl_has(ccl, key, now_ms))
		return false;
	g_hash_table_add(ccl->keys, pointer_of(key));
	g_array_append_val(ccl->rows, row);
	expire(ccl, now_ms);
	return true;
}

bool
ccl_has(struct ccl *ccl, uint64_t key, int64_t now_ms)
{
	expire(ccl, now_ms);
	return g_hash_table_contains(ccl->keys, pointer_of(key));
}

bool
ccl_is_full(struct ccl *ccl, int64_t now_ms)
{
	expire(ccl, now_ms);
	return ccl_count(ccl) >= ccl->max;
}

uint64_t
ccl_position(const struct ccl *ccl)
{
	return ccl->position + ccl->rows->len;
}

size_t
ccl_read(
    const struct ccl *ccl, uint64_t *position, struct ccl_row *rows, size_t max)
{
	uint64_t first = ccl->position + ccl->first;
	uint64_t from = CLAMP(*position, first, ccl_position(ccl));
	size_t n = MIN(max, (size_t)(ccl_position(ccl) - from));

	if (n > 0)
		memcpy(rows, row_at(ccl, (guint)(from - ccl->position)),
		    n * sizeof(*rows));
	*position = from + n;
	return n;
}
