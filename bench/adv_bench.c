#include "adv.h"
#include "table.h"

/*
 * One look for what to ask of the service for advice, and one plan, while a
 * thousand jobs of queues with advice wait: first none of them has a ticket,
 * then all have some and no worker has room. Baselines are 10 ms, the longest
 * that a step of the loop may take.
 */

#define POOLS 5
#define WORKERS 350
#define JOBS 1000
#define TASKS 20
#define WORKER_CPU 16000 /* thousandths of a core */
#define STEP_MS 10.0
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

static bool ticketed(void *arg, const struct jtb_job *job, uint32_t turn,
		     uint32_t step, const struct jtb_worker *w)
{
	return adv_ticketed(arg, job, turn, step, w, WALL_MS);
}

static void starved(void *arg, const char *pool)
{
}

static void start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		  uint32_t attempt, struct jtb_worker *w)
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
		q->pool = g_strdup_printf("pool%d", i);
		q->attempts = 3;
		q->stretch = 1.5;
		q->slack_ms = 500;
		q->advised = true;
		q->advice_ms = 200;
		q->advice_each_ms = 5;
		jtb_config_add_queue(c, q);
	}
	pk_out_init(&o);
	jtb_put_config(&o, c);
	bench_apply(t, &o, 1);
	jtb_config_free(c);
}

/* Workers of all pools; full: nothing fits into them. */
static void put_workers(struct jtb *t, bool full)
{
	char *labels[] = {(char *)"kind-a", NULL};
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
			.cpu = full ? 0 : WORKER_CPU,
			.mem_mb = 64000,
		};

		jtb_put_worker(&o, &info);
		g_free(info.id);
		g_free(info.pool);
	}
	bench_apply(t, &o, WORKERS);
}

static void put_jobs(struct jtb *t)
{
	struct jtb_step step = {
		.count = TASKS, .cpu = 500, .mem_mb = 100, .estimate_ms = 3000};
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

/* Half of those named are approved, for each job in turn. */
static void answer_all(struct adv *a, struct sch_view *v)
{
	struct adv_ask ask;
	int n;
	guint i;

	for (n = 0; n < JOBS && adv_next(a, v, &ask); n++) {
		GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);

		for (i = 0; i < ask.workers->len; i += 2) {
			struct adv_row *row = g_new0(struct adv_row, 1);

			row->worker =
				g_strdup(g_ptr_array_index(ask.workers, i));
			row->ticket = g_strdup("ticket");
			g_ptr_array_add(rows, row);
		}
		adv_answered(a, &ask, rows, v->now_ms, v->now_ms);
		g_ptr_array_free(rows, TRUE);
		adv_ask_clear(&ask);
	}
}

static void measure(const char *what, bool tickets)
{
	struct jtb *t = jtb_new(NULL, NULL);
	struct adv *a = adv_new(t);
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v = {
		.jtb = t,
		.closed = closed,
		.wall_ms = WALL_MS,
		.now_ms = WALL_MS,
		.arg = a,
		.usable = usable,
		.leaving = leaving,
		.ticketed = ticketed,
		.start = start,
		.starved = starved,
	};
	struct adv_ask ask;
	double from;
	int i;

	put_config(t);
	put_workers(t, tickets);
	put_jobs(t);
	if (tickets)
		answer_all(a, &v);
	from = bench_now_ms();
	for (i = 0; i < LOOKS; i++) {
		/* after the pause of those that wanted nothing */
		v.now_ms += 1000;
		if (adv_next(a, &v, &ask))
			adv_ask_clear(&ask);
	}
	printf("adv/%d/%s-look\t%.3f\tms\t%.1f\n", WORKERS, what,
	       (bench_now_ms() - from) / LOOKS, STEP_MS);
	from = bench_now_ms();
	for (i = 0; i < LOOKS; i++)
		sch_plan(&v, "pool0");
	printf("adv/%d/%s-plan\t%.3f\tms\t%.1f\n", WORKERS, what,
	       (bench_now_ms() - from) / LOOKS, STEP_MS);
	g_hash_table_destroy(closed);
	adv_free(a);
	jtb_free(t);
}

int main(void)
{
	measure("without-tickets", false);
	measure("full", true);
	return 0;
}
