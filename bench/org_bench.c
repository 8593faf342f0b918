#include "org.h"
#include "quo.h"
#include "table.h"

/*
 * What a key check costs for each call and a usage limit for each start, with as
 * many organisations as today and a hundred times as many. Lines: name, value,
 * unit, baseline; the baseline is the value with as many as today.
 */

#define ROUNDS 200000
#define RUNS 5

static const guint sizes[] = {20, 2000};

/* Organisations with two keys each, all with a limit. */
static struct orgs *make(guint n)
{
	struct orgs *all = orgs_new();
	char text[32];
	guint i;

	for (i = 0; i < n; i++) {
		struct org *o;

		g_snprintf(text, sizeof(text), "org%u", i);
		o = org_new(text);
		g_snprintf(text, sizeof(text), "key-%u-first-0123456789", i);
		org_add_key(o, lstr_from(text));
		g_snprintf(text, sizeof(text), "key-%u-second-012345678", i);
		org_add_key(o, lstr_from(text));
		o->limit.cpu = 1000000;
		orgs_add(all, o);
	}
	return all;
}

/* The time of one lookup of a key, ns. */
static double key_ns(const struct orgs *all, guint n)
{
	char text[32];
	double from = bench_now_ms();
	guint found = 0;
	guint i;

	for (i = 0; i < ROUNDS; i++) {
		g_snprintf(text, sizeof(text), "key-%u-second-012345678",
			   i % n);
		found += orgs_by_key(all, lstr_from(text)) != NULL;
	}
	return found == ROUNDS ? (bench_now_ms() - from) * 1e6 / ROUNDS : -1;
}

/* The time of the checks and the account of one start and its end, ns. */
static double start_ns(struct quo *q, guint n)
{
	struct org_amount one = {.cpu = 1000, .mem_mb = 100};
	struct quo_use **uses = g_new(struct quo_use *, n);
	double from;
	guint i;

	for (i = 0; i < n; i++)
		uses[i] = g_ptr_array_index(quo_list(q), i);
	from = bench_now_ms();
	for (i = 0; i < ROUNDS; i++) {
		struct quo_use *u = uses[i % n];

		if (quo_may_start(u, &one, 1))
			quo_add(&u->proposed, &one);
		quo_sub(&u->proposed, &one);
		if (quo_may_commit(u, &one))
			quo_run_begins(u, &one);
		quo_run_ends(u, &one);
	}
	from = (bench_now_ms() - from) * 1e6 / ROUNDS;
	g_free(uses);
	return from;
}

int main(void)
{
	double base[2] = {0};
	size_t s;
	int r;

	for (s = 0; s < G_N_ELEMENTS(sizes); s++) {
		struct orgs *all = make(sizes[s]);
		struct quo *q = quo_new();
		double key = 1e12;
		double start = 1e12;

		quo_set_orgs(q, all);
		for (r = 0; r < RUNS; r++) {
			key = MIN(key, key_ns(all, sizes[s]));
			start = MIN(start, start_ns(q, sizes[s]));
		}
		base[0] = s ? base[0] : key;
		base[1] = s ? base[1] : start;
		printf("org_key_check_%u\t%.0f\tns\t%.0f\n", sizes[s], key,
		       base[0]);
		printf("org_limit_of_a_start_%u\t%.0f\tns\t%.0f\n", sizes[s],
		       start, base[1]);
		quo_free(q);
		orgs_free(all);
	}
	return 0;
}
