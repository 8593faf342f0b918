#include "hld.h"
#include "table.h"

/*
 * One look of a leader at all that is owed, which it does once a second: 400
 * workers in five pools, 40,000 tasks in jobs of as many, of few sizes or of
 * all. Baseline is 1 ms.
 */

#define POOLS 5
#define WORKERS 400
#define TASKS 40000
#define WORKER_CPU 32000 /* thousandths of a core */
#define STEP_MS 1.0
#define WALL_MS 1000000
#define LOOKS 20

static bool usable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static bool leaving(void *arg, const struct jtb_worker *w)
{
	return false;
}

static void starved(void *arg, const char *pool)
{
}

static void start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		  uint32_t attempt, struct jtb_worker *w)
{
	jtb_propose_start(job, n, w);
}

static enum hld_reason bar(void *arg, const struct jtb_worker *w)
{
	return HLD_NONE;
}

static enum hld_reason run(void *arg, const struct jtb_run *r)
{
	return HLD_RUNS;
}

static void tell(void *arg, const struct jtb_job *job, const struct jtb_name *n,
		 enum hld_reason why, int64_t reason_ms, int64_t pending_ms)
{
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
		jtb_config_add_queue(c, q);
	}
	pk_out_init(&o);
	jtb_put_config(&o, c);
	bench_apply(t, &o, 1);
	jtb_config_free(c);
}

static void put_workers(struct jtb *t)
{
	char *labels[] = {NULL};
	struct pk_out o;
	int i;

	pk_out_init(&o);
	for (i = 0; i < WORKERS; i++) {
		struct jtb_worker_info info = {
			.id = g_strdup_printf("i-%d", i),
			.pool = g_strdup_printf("pool%d", i % POOLS),
			.addr = (char *)"127.0.0.1:1",
			.zone = (char *)"z",
			.labels = labels,
			.cpu = WORKER_CPU,
			.mem_mb = 64000,
		};

		jtb_put_worker(&o, &info);
		g_free(info.id);
		g_free(info.pool);
	}
	bench_apply(t, &o, WORKERS);
}

static void put_jobs(struct jtb *t, uint32_t each, uint32_t sizes,
		     uint32_t flags)
{
	struct pk_out o;
	uint32_t i;

	pk_out_init(&o);
	for (i = 0; i < TASKS / each; i++) {
		struct jtb_step step = {.count = each,
					.cpu = 1000 + i % sizes,
					.mem_mb = 100,
					.estimate_ms = 3000,
					.flags = flags};
		char queue[24];
		struct jtb_spec s = {.queue = queue,
				     .text = (char *)"",
				     .steps = &step,
				     .n_steps = 1};

		g_snprintf(s.id, sizeof(s.id), "j%u", i);
		g_snprintf(queue, sizeof(queue), "queue%u", i % POOLS);
		jtb_put_job(&o, &s, WALL_MS);
	}
	bench_apply(t, &o, TASKS / each);
}

static void measure(const char *what, uint32_t each, uint32_t sizes,
		    uint32_t flags)
{
	struct jtb *t = jtb_new(NULL, NULL);
	GHashTable *none = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view sch = {
		.jtb = t,
		.closed = none,
		.wall_ms = WALL_MS,
		.now_ms = WALL_MS,
		.usable = usable,
		.upkeep_due = leaving,
		.start = start,
		.unschedulable = starved,
	};
	struct hld_view v = {
		.sch = &sch,
		.moving = none,
		.upkeep = none,
		.worker_reason = bar,
		.run = run,
	};
	struct hld_sum sum = {0};
	char pool[16];
	double from;
	int i;

	put_config(t);
	put_workers(t);
	put_jobs(t, each, sizes, flags);
	for (i = 0; i < POOLS; i++) {
		g_snprintf(pool, sizeof(pool), "pool%d", i);
		sch_plan(&sch, pool);
	}
	from = bench_now_ms();
	for (i = 0; i < LOOKS; i++) {
		sch.now_ms += 1000;
		hld_scan_all(&v, &sum, tell, NULL);
	}
	printf("hld/%d/%s\t%.3f\tms\t%.1f\n", WORKERS, what,
	       (bench_now_ms() - from) / LOOKS, STEP_MS);
	g_hash_table_destroy(none);
	jtb_free(t);
}

int main(void)
{
	measure("look-wide", 400, 1, 0);
	measure("look-narrow", 10, 1, 0);
	measure("look-sizes", 10, TASKS, 0);
	measure("look-lasting", 400, 1, JTB_LONG_RUNNING);
	return 0;
}
