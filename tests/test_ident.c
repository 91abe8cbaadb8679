#include <string.h>

#include "request/ident.h"
#include "runner.h"

static const uint8_t key[ID_KEY_BYTES] = {1, 2, 3};
static const uint8_t other_key[ID_KEY_BYTES] = {1, 2, 4};

/* Two callers must never get the same id; each must be recognized as issued. */
START_TEST(issued_ids_differ_and_are_own)
{
	struct ident *ids = id_new(0x1122334455667788ULL, key);
	char a[ID_LEN + 1], b[ID_LEN + 1];
	struct id_parts parts;

	id_mint(ids, a);
	id_mint(ids, b);
	ck_assert_str_ne(a, b);
	ck_assert_uint_eq(strlen(a), ID_LEN);
	ck_assert_int_eq(id_check(ids, b, &parts), ID_OWN);
	ck_assert_uint_eq(parts.incarnation, 0x1122334455667788ULL);
	ck_assert_uint_eq(parts.counter, 2);
	id_free(ids);
}
END_TEST

/* An id with any changed character must be invalid. */
START_TEST(every_changed_character_is_refused)
{
	struct ident *ids = id_new(0x1122334455667788ULL, key);
	char id[ID_LEN + 1], bad[ID_LEN + 1];
	struct id_parts parts;
	size_t i, j;

	for (i = 0; i < 20; i++)
		id_mint(ids, id);
	for (i = 0; i < ID_LEN; i++) {
		for (j = 0; j < 5; j++) {
			memcpy(bad, id, sizeof(bad));
			bad[i] = "0f-AZ"[j];
			if (bad[i] == id[i])
				continue;
			ck_assert_int_ne(id_check(ids, bad, &parts), ID_OWN);
		}
	}
	ck_assert_int_eq(id_check(ids, "", &parts), ID_MALFORMED);
	memcpy(bad, id, sizeof(bad));
	bad[ID_LEN - 1] = '\0';
	ck_assert_int_eq(id_check(ids, bad, &parts), ID_MALFORMED);
	id_free(ids);
}
END_TEST

/* An id of an earlier process must not be taken for one of this process. */
START_TEST(ids_of_other_process_or_key)
{
	struct ident *a = id_new(1, key), *b = id_new(2, key);
	struct ident *c = id_new(1, other_key), *late = id_new(1, key);
	char id[ID_LEN + 1], ignored[ID_LEN + 1];
	struct id_parts parts;

	id_mint(a, id);
	ck_assert_int_eq(id_check(b, id, &parts), ID_OTHER);
	ck_assert_uint_eq(parts.incarnation, 1);
	id_mint(c, ignored);
	ck_assert_int_eq(id_check(c, id, &parts), ID_FORGED);
	/* The tag is right, but this issuer has not used the counter yet. */
	ck_assert_int_eq(id_check(late, id, &parts), ID_FORGED);
	id_free(a);
	id_free(b);
	id_free(c);
	id_free(late);
}
END_TEST

/* With a lowered mark, an id whose record was dropped could run twice. */
START_TEST(low_water_only_rises)
{
	struct ident *ids = id_new_random();

	ck_assert_uint_ne(id_incarnation(ids), 0);
	id_raise_low_water(ids, 10);
	id_raise_low_water(ids, 5);
	ck_assert_uint_eq(id_low_water(ids), 10);
	id_free(ids);
}
END_TEST

TEST_MAIN("ident", 0, issued_ids_differ_and_are_own,
    every_changed_character_is_refused, ids_of_other_process_or_key,
    low_water_only_rises)
