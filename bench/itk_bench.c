#include <stdio.h>

#include "itk.h"
#include "table.h"

/*
 * A submission to the intake of a leader with 10,000 jobs waiting, of 2,000
 * organisations that all have a limit, the dearest case; and the count of all
 * of them, which the leader's tick makes. The baselines are 20 us a submission
 * and 10 ms, the longest that a step of the loop may take.
 */

#define JOBS 10000
#define ORGS 2000
#define ASKED 2000
#define ASK_US 20.0
#define COUNT_MS 10.0

static char ids[JOBS + ASKED][16];
static char orgs[ORGS][16];

static bool none_stored(void *arg, const char *id)
{
	return false;
}

static struct itk_job job(int i)
{
	return (struct itk_job){
		.id = ids[i],
		.pool = "p",
		.org = orgs[i * 7 % ORGS],
		.weight = 1 + i * 7 % ORGS % 5,
		.limit_cores = 1000,
		.core_s = 1 + i % 13,
		.bytes = 5000,
	};
}

static void count(struct itk *k)
{
	int i;

	itk_count_begin(k);
	itk_count_pool(k, "p",
		       &(struct itk_capacity){
			       .cores = 16000, .used = 16000, .load = 30000});
	for (i = 0; i < JOBS; i++) {
		struct itk_job j = job(i);

		itk_count_job(k, &j);
	}
	itk_count_end(k, none_stored, NULL, 1000);
}

int main(void)
{
	struct itk *k = itk_new(itk_way("organisation"), itk_bounds(1 << 30));
	const struct itk_need need = {
		.known = true, .chain_ms = 500, .limit_ms = 2000};
	int refused = 0;
	double from;
	int i;

	for (i = 0; i < JOBS + ASKED; i++)
		snprintf(ids[i], sizeof(ids[i]), "%x", i);
	for (i = 0; i < ORGS; i++)
		snprintf(orgs[i], sizeof(orgs[i]), "org%d", i);
	from = bench_now_ms();
	count(k);
	printf("itk/%d/count\t%.3f\tms\t%.1f\n", JOBS, bench_now_ms() - from,
	       COUNT_MS);
	from = bench_now_ms();
	for (i = JOBS; i < JOBS + ASKED; i++) {
		struct itk_job j = job(i);

		if (itk_refuses(itk_decide(k, &j, &need, 1000).why))
			refused++;
		else
			itk_join(k, &j);
	}
	printf("itk/%d/submission\t%.3f\tus\t%.1f\n", JOBS,
	       (bench_now_ms() - from) * 1000 / ASKED, ASK_US);
	fprintf(stderr, "itk_bench: %d of %d refused\n", refused, ASKED);
	itk_free(k);
	return 0;
}
