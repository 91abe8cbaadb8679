#include <glib.h>
#include <string.h>

#include "runner.h"
#include "version/fresh.h"

static struct cfg *
make_config(uint64_t version)
{
	struct cfg_parts parts = {.version = version,
	    .change_id = "c",
	    .text = "{\"failure_domains\": [], \"services\": []}"};
	char *document = cfg_write(&parts);
	struct status st;
	struct cfg *cfg = cfg_parse(document, strlen(document), &st);

	ck_assert_ptr_nonnull(cfg);
	g_free(document);
	return cfg;
}

static void
count_change(struct cfg *cfg, void *ctx)
{
	(void)cfg;
	(*(int *)ctx)++;
}

/* Guards against a lower version that replaces a higher one. */
START_TEST(version_never_falls)
{
	struct fresh *fresh = fresh_new(3000);
	struct cfg *five = make_config(5), *four = make_config(4);
	int changes = 0;

	fresh_on_changed(fresh, count_change, &changes);
	ck_assert_uint_eq(fresh_version(fresh), 0);
	fresh_update(fresh, five);
	fresh_update(fresh, four);
	fresh_update(fresh, five);
	ck_assert_uint_eq(fresh_version(fresh), 5);
	ck_assert_int_eq(changes, 1);
	fresh_free(fresh);
	cfg_unref(five);
	cfg_unref(four);
}
END_TEST

/*
 * Guards against task starts without a confirmation, with one for a higher
 * version than the one held, or with one older than the limit, and against an
 * older confirmation that moves the confirmation time back.
 */
START_TEST(age_counts_from_the_newest_confirmation)
{
	struct fresh *fresh = fresh_new(3000);
	struct cfg *five = make_config(5);

	fresh_confirm(fresh, 0, 1000);
	ck_assert(!fresh_is_current(fresh, 1000));
	fresh_free(fresh);
	fresh = fresh_new(3000);
	fresh_update(fresh, five);
	ck_assert_int_eq(fresh_age_ms(fresh, 1000), -1);
	fresh_confirm(fresh, 6, 1000);
	ck_assert(!fresh_is_current(fresh, 1000));
	fresh_confirm(fresh, 5, 1000);
	fresh_confirm(fresh, 5, 900);
	fresh_confirm(fresh, 4, 1500);
	ck_assert_int_eq(fresh_age_ms(fresh, 2000), 500);
	ck_assert(fresh_is_current(fresh, 4500));
	ck_assert(!fresh_is_current(fresh, 4501));
	fresh_free(fresh);
	cfg_unref(five);
}
END_TEST

TEST_MAIN(
    "fresh", 0, version_never_falls, age_counts_from_the_newest_confirmation)
