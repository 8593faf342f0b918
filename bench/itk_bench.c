#include <stdio.h>

#include "hub_int.h"
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

static void put_config(struct jtb *t)
{
	struct jtb_config *c = jtb_config_new();
	struct jtb_pool *p = g_new0(struct jtb_pool, 1);
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);
	struct pk_out o;
	int i;

	c->version = 1;
	c->document = g_bytes_new("doc", 3);
	p->name = g_strdup("p");
	jtb_config_add_pool(c, p);
	q->name = g_strdup("q");
	q->host = g_strdup("h");
	q->prefix = g_strdup("/");
	q->pool = g_strdup("p");
	q->attempts = 3;
	q->stretch = 1.5;
	q->slack_ms = 500;
	jtb_config_add_queue(c, q);
	for (i = 0; i < ORGS; i++) {
		struct org *org = org_new(orgs[i]);

		org->limit.cpu = 1000000;
		org->weight = 1;
		jtb_config_add_org(c, org);
	}
	pk_out_init(&o);
	jtb_put_config(&o, c);
	bench_apply(t, &o, 1);
	jtb_config_free(c);
}

static bool is_reachable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static bool is_pinned(void *arg, const char *vm)
{
	return false;
}

static void put_vm(struct vms *v)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	struct vms_vm *vm = g_new0(struct vms_vm, 1);

	vm->name = g_strdup("vm");
	vm->pool = g_strdup("p");
	vm->worker = g_strdup("w");
	vm->cpu = 16000000;
	vm->mem_mb = 64000000;
	g_ptr_array_add(list, vm);
	vms_put_list(v, list, 100000);
}

static struct jtb_spec spec(int i, struct jtb_step *steps)
{
	struct jtb_spec s = {.queue = (char *)"q",
			     .text = (char *)"",
			     .org = orgs[i * 7 % ORGS],
			     .steps = steps,
			     .n_steps = 2};

	g_strlcpy(s.id, ids[i], sizeof(s.id));
	return s;
}

/* The same through the leader's code, with a table of jobs. */
static void leader(void)
{
	struct jtb_step steps[] = {
		{.count = 8, .cpu = 3000, .estimate_ms = 1000},
		{.count = 8, .cpu = 3000, .estimate_ms = 1000, .after = 1},
	};
	static const struct flo_ops ops = {.is_reachable = is_reachable,
					   .is_pinned = is_pinned};
	struct event_base *base = event_base_new();
	struct hub h = {.tmr = tmr_new_manual(100000),
			.jtb = jtb_new(NULL, NULL),
			.est = est_new(),
			.calls = g_hash_table_new(NULL, NULL),
			.itk = itk_new(itk_way("organisation"),
				       itk_bounds(1 << 30))};
	struct pk_out o;
	double from;
	int i;

	h.vms = vms_new(&(struct vms_config){.base = base, .tmr = h.tmr}, NULL,
			NULL);
	h.flo = flo_new(h.jtb, h.vms, &ops, NULL);
	put_config(h.jtb);
	put_vm(h.vms);
	for (i = 0; i < 40; i++)
		est_learn(h.est, "q", 1000, 1000);
	pk_out_init(&o);
	for (i = 0; i < JOBS; i++) {
		struct jtb_spec s = spec(i, steps);

		jtb_put_job(&o, &s, hub_wall_ms());
	}
	bench_apply(h.jtb, &o, JOBS);
	flo_tick(h.flo, 100000, hub_wall_ms());
	hub_intake_tick(&h, 100000);
	from = bench_now_ms();
	hub_intake_tick(&h, 100000);
	printf("itk/%d/leader-count\t%.3f\tms\t%.1f\n", JOBS,
	       bench_now_ms() - from, COUNT_MS);
	from = bench_now_ms();
	for (i = JOBS; i < JOBS + ASKED; i++) {
		struct jtb_spec s = spec(i, steps);

		hub_intake_refuse(&h, NULL, &s);
	}
	printf("itk/%d/leader-submission\t%.3f\tus\t%.1f\n", JOBS,
	       (bench_now_ms() - from) * 1000 / ASKED, ASK_US);
	flo_free(h.flo);
	vms_free(h.vms);
	itk_free(h.itk);
	g_hash_table_destroy(h.calls);
	est_free(h.est);
	jtb_free(h.jtb);
	tmr_free(h.tmr);
	event_base_free(base);
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
	leader();
	return 0;
}
