#include "fuzz.h"
#include "plt_int.h"

/* A key that is read is one that a configuration may hold, found or not. */
static void one(struct lstr input)
{
	static struct orgs *all;
	struct lstr key;

	if (!all) {
		struct org *o = org_new("org");

		org_add_key(o, LSTR("x6pwawxdmdejk7f92bqu"));
		all = orgs_new();
		g_assert_cmpint(orgs_add(all, o), ==, ORG_VALID);
	}
	if (plt_key(input, &key) != HUB_KEY_VALID) {
		g_assert_cmpuint(key.len, ==, 0);
		return;
	}
	g_assert_true(org_key_is_valid(key));
	g_assert_true(key.p + key.len == input.p + input.len);
	g_assert_true(!orgs_by_key(all, key) ||
		      lstr_eq(key, LSTR("x6pwawxdmdejk7f92bqu")));
}

FUZZ_MAIN("credentials", one, 200000)
