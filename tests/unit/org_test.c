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

/*
 * Guards against metrics that a name breaks, or that grow without bound, and
 * against a peak that falls with what runs.
 */
static void metrics_show_what_runs(void **state)
{
	struct orgs *all = orgs_new();
	struct quo *q = quo_new();
	struct org *org = org_with("a \"b\"\\", "the-key");
	struct org_amount amount = {.cpu = 1500, .mem_mb = 20, .gpus = 2};
	GString *out = g_string_new(NULL);
	struct quo_use *u;
	int i;

	org->limit = (struct org_amount){3000, 0, 4};
	orgs_add(all, org);
	quo_set_orgs(q, all);
	u = quo_use(q, "a \"b\"\\");
	quo_run_begins(u, &amount);
	quo_run_begins(u, &amount);
	quo_run_ends(u, &amount);
	u->refused = 3;
	quo_append_metrics(q, out);
#define SHOWS(metric, value)                              \
	assert_non_null(strstr(                           \
		out->str, "\nendive_organisation_" metric \
			  "{organisation=\"a \\\"b\\\"\\\\\"} " value "\n"))
	SHOWS("cores", "1.5");
	SHOWS("cores_max", "3");
	SHOWS("cores_peak", "3");
	SHOWS("memory_mb", "20");
	SHOWS("memory_mb_max", "0");
	SHOWS("gpus", "2");
	SHOWS("gpus_max", "4");
	SHOWS("runs", "1");
	SHOWS("refused_total", "3");
	assert_null(strstr(out->str, "the-key"));
	for (i = 0; i < 300; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "org%d", i);
		quo_use(q, name);
	}
	g_string_truncate(out, 0);
	quo_append_metrics(q, out);
	assert_non_null(strstr(out->str, "\"org98\""));
	assert_null(strstr(out->str, "\"org99\""));
	g_string_free(out, TRUE);
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
		cmocka_unit_test(metrics_show_what_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
