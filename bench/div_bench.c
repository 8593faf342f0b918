#include "flo_int.h"
#include "table.h"

/*
 * What the division of VMs costs the leader: 350 VMs, 20 pools that all want
 * more, 10,000 jobs that wait. The baseline is 1 ms.
 */

#define POOLS 20
#define VMS 350
#define JOBS 10000
#define ROUNDS 100
#define PLAN_MS 1.0
#define WALL_MS 1000000

static void order(void *arg, const char *vm, const char *pool)
{
}

static void stop(void *arg, struct jtb_run *run, const char *why)
{
}

static bool no_run(void *arg, const struct jtb_run *run)
{
	return false;
}

static bool any(void *arg, const struct jtb_worker *w)
{
	return true;
}

static bool no_vm(void *arg, const char *vm)
{
	return false;
}

static void put_config(struct jtb *t)
{
	struct jtb_config *c = jtb_config_new();
	struct pk_out o;
	int i;

	c->version = 1;
	c->document = g_bytes_new("doc", 3);
	for (i = 0; i < POOLS; i++) {
		struct jtb_pool *p = g_new0(struct jtb_pool, 1);
		struct jtb_queue *q = g_new0(struct jtb_queue, 1);

		p->name = g_strdup_printf("pool%d", i);
		jtb_config_add_pool(c, p);
		q->name = g_strdup_printf("queue%d", i);
		q->host = g_strdup("h");
		q->prefix = g_strdup_printf("/%d/", i);
		q->pool = g_strdup(p->name);
		q->attempts = 3;
		q->stretch = 1.5;
		q->slack_ms = 500;
		jtb_config_add_queue(c, q);
	}
	pk_out_init(&o);
	jtb_put_config(&o, c);
	bench_apply(t, &o, 1);
	jtb_config_free(c);
}

/* Lists VMs, most of them in the first pool, and puts a worker on each. */
static void put_vms(struct jtb *t, struct vms *v)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	char *labels[] = {NULL};
	struct pk_out o;
	int i;

	pk_out_init(&o);
	for (i = 0; i < VMS; i++) {
		struct vms_vm *vm = g_new0(struct vms_vm, 1);
		struct jtb_worker_info info = {
			.addr = (char *)"127.0.0.1:1",
			.zone = (char *)"z",
			.labels = labels,
			.cpu = 16000,
			.mem_mb = 64000,
		};

		vm->name = g_strdup_printf("machine-%05x", i * 7919);
		vm->pool = g_strdup_printf("pool%d", i < 100 ? i % POOLS : 0);
		vm->worker = g_strdup_printf("i-%010x", i * 7919);
		vm->state = VMS_UP;
		vm->cpu = 16000;
		vm->mem_mb = 64000;
		g_ptr_array_add(list, vm);
		info.id = vm->worker;
		info.pool = vm->pool;
		jtb_put_worker(&o, &info);
	}
	bench_apply(t, &o, VMS);
	vms_put_list(v, list, WALL_MS);
}

/* Submits jobs to all queues; a third of them are late. */
static void put_jobs(struct jtb *t)
{
	struct jtb_step step = {
		.count = 8, .cpu = 1000, .mem_mb = 100, .estimate_ms = 1000};
	struct pk_out o;
	int i;

	pk_out_init(&o);
	for (i = 0; i < JOBS; i++) {
		g_autofree char *queue = g_strdup_printf("queue%d", i % POOLS);
		struct jtb_spec s = {.queue = queue,
				     .text = (char *)"",
				     .steps = &step,
				     .n_steps = 1};

		g_snprintf(s.id, sizeof(s.id), "j%d", i);
		jtb_put_job(&o, &s, WALL_MS - (i % 3 ? 600 : 2000));
	}
	bench_apply(t, &o, JOBS);
}

/* Times what the division adds to a tick. */
static void measure(struct flo *f)
{
	double from;
	guint given = 0;
	int i;

	from = bench_now_ms();
	for (i = 0; i < ROUNDS; i++) {
		GArray *pairs = flo_divide(f, true, WALL_MS);

		given += f->division.planned;
		g_array_free(pairs, TRUE);
	}
	printf("div/%d/%d-pools/%d-jobs\t%.3f\tms\t%.1f\n", VMS, POOLS, JOBS,
	       (bench_now_ms() - from) / ROUNDS, PLAN_MS);
	fprintf(stderr, "div_bench: %u VMs given by each plan\n",
		given / ROUNDS);
}

int main(void)
{
	static const struct flo_ops ops = {.order = order,
					   .stop = stop,
					   .may_stop = no_run,
					   .is_reachable = any,
					   .is_pinned = no_vm};
	struct event_base *base = event_base_new();
	struct tmr *tmr = tmr_new_manual(WALL_MS);
	struct jtb *t = jtb_new(NULL, NULL);
	struct vms *v = vms_new(&(struct vms_config){.base = base, .tmr = tmr},
				NULL, NULL);
	struct flo *f = flo_new(t, v, &ops, NULL);

	put_config(t);
	put_vms(t, v);
	put_jobs(t);
	f->wall_ms = WALL_MS;
	flo_measure_pools(f, WALL_MS, WALL_MS);
	measure(f);
	flo_free(f);
	vms_free(v);
	jtb_free(t);
	tmr_free(tmr);
	event_base_free(base);
	return 0;
}
