#include "sch.h"
#include "table.h"

/*
 * One plan of a pool whose VMs are full while jobs wait: the work that a
 * leader does again whenever a run of the pool ends. Baselines are 10 ms, the
 * longest that a step of the loop may take.
 */

#define POOLS 5
#define QUEUES 5000
#define WORKERS 350
#define JOBS 1000
#define TASKS 400
#define WORKER_CPU 32000 /* thousandths of a core */
#define STEP_MS 10.0
#define WALL_MS 1000000
#define PLANS 20

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

static void put_config_of(struct jtb *t, int pools, int queues)
{
	struct jtb_config *c = jtb_config_new();
	struct pk_out o;
	int i;

	c->version = 1;
	c->document = g_bytes_new("doc", 3);
	for (i = 0; i < pools; i++) {
		struct jtb_pool *p = g_new0(struct jtb_pool, 1);

		p->name = g_strdup_printf("pool%d", i);
		jtb_config_add_pool(c, p);
	}
	for (i = 0; i < queues; i++) {
		struct jtb_queue *q = g_new0(struct jtb_queue, 1);

		/* those that jobs come to stand at the end */
		q->name = g_strdup_printf("queue%d", queues - 1 - i);
		q->host = g_strdup("h");
		q->prefix = g_strdup_printf("/%d/", i);
		q->pool = g_strdup_printf("pool%d", (queues - 1 - i) % pools);
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

static void put_workers_of(struct jtb *t, int pools, int workers)
{
	static const char *const zones[] = {"a", "b", "c", "d", "e"};
	char *labels[] = {(char *)"kind-a", NULL};
	struct pk_out o;
	int i;

	pk_out_init(&o);
	for (i = 0; i < workers; i++) {
		struct jtb_worker_info info = {
			.id = g_strdup_printf("i-%d", i),
			.pool = g_strdup_printf("pool%d", i % pools),
			.addr = (char *)"127.0.0.1:1",
			.zone = (char *)zones[i / pools % 5],
			.labels = labels,
			.cpu = WORKER_CPU,
			.mem_mb = 64000,
		};

		jtb_put_worker(&o, &info);
		g_free(info.id);
		g_free(info.pool);
	}
	bench_apply(t, &o, workers);
}

static void put_jobs(struct jtb *t, uint32_t per_worker, const char *label)
{
	struct jtb_step step = {.count = TASKS,
				.cpu = 500,
				.mem_mb = 100,
				.estimate_ms = 3000,
				.max_per_worker = per_worker,
				.label = (char *)label};
	struct pk_out o;
	int i;

	pk_out_init(&o);
	for (i = 0; i < JOBS; i++) {
		char queue[24];
		struct jtb_spec s = {.queue = queue,
				     .text = (char *)"",
				     .steps = &step,
				     .n_steps = 1};

		g_snprintf(s.id, sizeof(s.id), "j%d", i);
		g_snprintf(queue, sizeof(queue), "queue%d", i % POOLS);
		jtb_put_job(&o, &s, WALL_MS);
	}
	bench_apply(t, &o, JOBS);
}

/* Hands one job of eight tasks in. */
static void put_one_job(struct jtb *t)
{
	struct jtb_step step = {
		.count = 8, .cpu = 500, .mem_mb = 100, .estimate_ms = 800};
	struct jtb_spec s = {.id = "one",
			     .queue = (char *)"queue0",
			     .text = (char *)"",
			     .steps = &step,
			     .n_steps = 1};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_job(&o, &s, WALL_MS);
	bench_apply(t, &o, 1);
}

static void measure(const char *what, uint32_t per_worker, const char *label)
{
	struct jtb *t = jtb_new(NULL, NULL);
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v = {
		.jtb = t,
		.closed = closed,
		.wall_ms = WALL_MS,
		.now_ms = WALL_MS,
		.usable = usable,
		.upkeep_due = leaving,
		.start = start,
		.unschedulable = starved,
	};
	double from;
	double first;
	int i;

	put_config_of(t, POOLS, QUEUES);
	put_workers_of(t, POOLS, WORKERS);
	put_jobs(t, per_worker, label);
	from = bench_now_ms();
	sch_plan(&v, "pool0");
	first = bench_now_ms() - from;
	from = bench_now_ms();
	for (i = 0; i < PLANS; i++)
		sch_plan(&v, "pool0");
	printf("sch/%d/%s-first\t%.3f\tms\t%.1f\n", WORKERS, what, first,
	       STEP_MS);
	printf("sch/%d/%s-again\t%.3f\tms\t%.1f\n", WORKERS, what,
	       (bench_now_ms() - from) / PLANS, STEP_MS);
	g_hash_table_destroy(closed);
	jtb_free(t);
}

/*
 * A plan of all pools in which one job came, as a leader makes it for each
 * arrival: what it costs beyond the job must not grow with pools times workers.
 */
static void measure_fleet(int pools, int workers)
{
	struct jtb *t = jtb_new(NULL, NULL);
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_totals totals;
	struct sch_view v = {
		.jtb = t,
		.closed = closed,
		.totals = &totals,
		.shares = shr_new(SHR_RECENT),
		.domains = dom_find_way(DOM_DEFAULT),
		.wall_ms = WALL_MS,
		.now_ms = WALL_MS,
		.usable = usable,
		.upkeep_due = leaving,
		.start = start,
		.unschedulable = starved,
	};
	char pool[16];
	double from;
	int i;
	int k;

	put_config_of(t, pools, pools);
	put_workers_of(t, pools, workers);
	put_one_job(t);
	from = bench_now_ms();
	for (k = 0; k < PLANS; k++) {
		sch_sum_workers(t, &totals);
		for (i = 0; i < pools; i++) {
			g_snprintf(pool, sizeof(pool), "pool%d", i);
			sch_plan(&v, pool);
		}
	}
	printf("sch/%d-pools/%d/plan-all\t%.3f\tms\t%.1f\n", pools, workers,
	       (bench_now_ms() - from) / PLANS, STEP_MS);
	shr_free(v.shares);
	g_hash_table_destroy(closed);
	jtb_free(t);
}

int main(void)
{
	static const int sizes[] = {1000, 6000, 9200};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		measure_fleet(5, sizes[i]);
		measure_fleet(160, sizes[i]);
	}
	measure("plan-any", 0, NULL);
	measure("plan-apart", 2, NULL);
	measure("plan-nobody", 0, "kind-none");
	return 0;
}
