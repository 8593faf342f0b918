#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "quo.h"

static struct org *org_with(const char *name, const char *key)
{
	struct org *o = org_new(name);

	org_add_key(o, lstr_from(key));
	return o;
}

static void key_belongs_to_one_organisation(void **state)
{
	struct orgs *all = orgs_new();

	assert_int_equal(orgs_add(all, org_with("a", "k1")), ORG_VALID);
	assert_int_equal(orgs_add(all, org_with("b", "k1")), ORG_SAME_KEY);
	assert_int_equal(orgs_add(all, org_with("a", "k2")), ORG_SAME_NAME);
	assert_int_equal(orgs_add(all, org_with("", "k2")), ORG_BAD_NAME);
	assert_int_equal(orgs_add(all, org_with("b", "")), ORG_BAD_KEY);
	assert_int_equal(orgs_add(all, org_with("b", "a b")), ORG_BAD_KEY);
	assert_int_equal(orgs_add(all, org_with("b", "k2")), ORG_VALID);
	assert_int_equal(orgs_count(all), 2);
	assert_string_equal(orgs_by_key(all, LSTR("k2"))->name, "b");
	assert_null(orgs_by_key(all, LSTR("k3")));
	assert_null(orgs_by_key(all, LSTR("k1\n")));
	orgs_free(all);
}

/* A digest in a log tells keys apart and shows nothing of them. */
static void digest_shows_no_key(void **state)
{
	char a[ORG_DIGEST_TEXT];
	char b[ORG_DIGEST_TEXT];

	org_key_digest(LSTR("secret-1"), a);
	org_key_digest(LSTR("secret-2"), b);
	assert_int_equal(strlen(a), ORG_DIGEST_TEXT - 1);
	assert_string_not_equal(a, b);
	org_key_digest(LSTR("secret-1"), b);
	assert_string_equal(a, b);
}

/* Each part of a limit holds on its own, and 0 limits nothing. */
static void each_part_of_a_limit_holds(void **state)
{
	static const struct {
		struct org_amount limit, used, each;
		uint32_t n;
		bool fits;
	} cases[] = {
		{{1000, 0, 0}, {900, 0, 0}, {100, 9999, 9}, 1, true},
		{{1000, 0, 0}, {901, 0, 0}, {100, 0, 0}, 1, false},
		{{0, 50, 0}, {0, 40, 0}, {9999, 10, 0}, 1, true},
		{{0, 50, 0}, {0, 41, 0}, {0, 10, 0}, 1, false},
		{{0, 0, 2}, {0, 0, 2}, {1, 1, 0}, 1, true},
		{{0, 0, 2}, {0, 0, 1}, {0, 0, 1}, 2, false},
		{{1000, 0, 0}, {0, 0, 0}, {400, 0, 0}, 2, true},
		{{1000, 0, 0}, {0, 0, 0}, {400, 0, 0}, 3, false},
		{{1000, 0, 0}, {2000, 0, 0}, {0, 0, 0}, 0, false},
		{{0, 0, 0}, {2000, 5, 5}, {5000, 5, 5}, 9, true},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct org *org = org_new("a");
		struct quo_use use = {.org = org, .running = cases[i].used};

		org->limit = cases[i].limit;
		assert_int_equal(quo_may_start(&use, &cases[i].each,
					       cases[i].n),
				 cases[i].fits);
		org_free(org);
	}
}

/*
 * Guards against work beyond a limit in a burst: what is proposed counts beside
 * what runs, and only what runs counts as a start is committed.
 */
static void proposed_starts_count(void **state)
{
	struct orgs *all = orgs_new();
	struct quo *q = quo_new();
	struct quo_use *u = quo_use(q, "a");
	struct org *org = org_with("a", "k");
	struct org_amount one = {.cpu = 1000};

	org->limit.cpu = 2000;
	orgs_add(all, org);
	assert_true(quo_may_start(u, &one, 9));
	quo_set_orgs(q, all);
	assert_false(quo_may_start(u, &one, 3));
	quo_add(&u->running, &one);
	quo_add(&u->proposed, &one);
	assert_false(quo_may_start(u, &one, 1));
	assert_true(quo_may_commit(u, &one));
	quo_clear_proposed(q);
	assert_true(quo_may_start(u, &one, 1));
	assert_false(quo_is_over(u));
	org->limit.cpu = 500;
	assert_true(quo_is_over(u));
	assert_false(quo_ever_fits(org, &one, 1));
	quo_clear(q);
	assert_false(quo_is_over(u));
	quo_free(q);
	orgs_free(all);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(key_belongs_to_one_organisation),
		cmocka_unit_test(digest_shows_no_key),
		cmocka_unit_test(each_part_of_a_limit_holds),
		cmocka_unit_test(proposed_starts_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
