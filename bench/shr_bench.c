#include "sch.h"
#include "table.h"

/*
 * What shares of organisations add to a plan of each pool while all pools are
 * full: reading what runs for everyone, and the order of the jobs that wait.
 */

#define WORKERS 350
#define POOLS 20
#define ORGS 2000
#define JOBS 10000
#define STARTS 500 /* of a plan */
#define WORKER_CPU 64000 /* thousandths of a core */
#define PLAN_MS 1.0 /* of a plan of one of the pools */
#define STEP_MS 10.0 /* longest that a step of the loop may take */
#define WALL_MS 1000000
#define PLANS 50

static struct shr_input make_input(struct quo *quo, struct org_amount *size)
{
	struct shr_input in = {.usage = quo, .now_ms = 1000};
	int i;

	*size = (struct org_amount){.cpu = 6200, .mem_mb = 1000};
	in.total.cpu = (uint64_t)WORKERS * WORKER_CPU;
	in.total.mem_mb = (uint64_t)WORKERS * 256000;
	for (i = 0; i < ORGS; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "o%d", i);
		quo_run_begins(quo_use(quo, name), size);
		quo_add(&in.used, size);
	}
	return in;
}

/* Orders the jobs of one pool, of which the first ones start a task. */
static void order(struct shr *s, const struct shr_input *in,
		  const struct org_amount *size, int n)
{
	GPtrArray *list = quo_list(in->usage);
	struct quo_use *u;
	int i;

	shr_begin(s, in);
	for (i = 0; i < n; i++) {
		u = g_ptr_array_index(list, (guint)(i * 7919) % ORGS);
		shr_add(s, u, i < n / 10 ? 0 : 1, u);
	}
	for (i = 0; (u = shr_next(s)); i++) {
		if (i < STARTS)
			shr_charge(s, u, size);
		else
			shr_wait(s, u);
	}
	shr_end(s, "pool");
}

int main(void)
{
	struct org_amount size;
	struct quo *quo = quo_new();
	struct shr_input in = make_input(quo, &size);
	struct shr *s = shr_new(SHR_RECENT);
	double from = bench_now_ms();
	int i;

	for (i = 0; i < PLANS; i++) {
		in.now_ms += 20;
		order(s, &in, &size, JOBS / POOLS);
	}
	printf("shr/%d/plan-of-a-pool\t%.3f\tms\t%.1f\n", ORGS,
	       (bench_now_ms() - from) / PLANS, PLAN_MS);
	from = bench_now_ms();
	for (i = 0; i < PLANS; i++) {
		in.now_ms += 20;
		order(s, &in, &size, JOBS);
	}
	printf("shr/%d/all-jobs-in-one-pool\t%.3f\tms\t%.1f\n", ORGS,
	       (bench_now_ms() - from) / PLANS, STEP_MS);
	shr_free(s);
	quo_free(quo);
	return 0;
}
