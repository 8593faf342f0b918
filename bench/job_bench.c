#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "job.h"

/*
 * Job decisions at the two-year size: 9,200 workers in 160 pools, 58 teams,
 * 100,000 jobs waiting. Baselines are the limits: 4,300 ms until urgent work
 * starts, of which stop and reply by the worker take the most; 10 ms for the
 * longest step of the loop.
 */

#define WORKERS 9200
#define POOLS 160
#define TEAMS 58
#define WAITING 100000
#define URGENT 1000
#define FLOOD 10000
#define STEP 32
#define LEASE_MS 3600000

/* Processor time: others on the machine don't count. */
static double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void line(const char *what, double value, const char *unit,
		 double baseline)
{
	printf("job/%d/%s\t%.4f\t%s\t%.1f\n", WORKERS, what, value, unit,
	       baseline);
}

static struct jobs *table(struct job_out *out)
{
	struct job_config c = {
		.waiting_max = 4 * WAITING,
		.oldest_every = 8,
		.stops_max = 2,
		.suspect_after = 3,
		.margin_ms = 2000,
	};
	struct job_size capacity = {16000, 64000, 2};
	struct job_size quota = {10000000, 40000000, 10000};
	struct jobs *j = jobs_new(&c);
	int i;

	for (i = 0; i < POOLS; i++)
		job_set_pool(j, i);
	for (i = 0; i < TEAMS; i++)
		job_set_team(j, i, &quota);
	for (i = 0; i < WORKERS; i++) {
		job_set_worker(j, i, i % POOLS, &capacity, out);
		job_renew_lease(j, i, LEASE_MS);
	}
	return j;
}

static struct job_spec spec(uint64_t id, enum job_class cls)
{
	return (struct job_spec){
		.id = id,
		.pool = (int)(id * 7 % POOLS),
		.team = (int)(id * 13 % TEAMS),
		.cls = cls,
		.size = {4000, 8000, 0},
		.idempotent = true,
		.checkpoints = true,
	};
}

/* Steps until nothing is left; the longest one. */
static double run(struct jobs *j, int64_t now, struct job_out *out)
{
	double longest = 0;
	double at;
	bool done;

	do {
		at = now_ms();
		done = job_schedule(j, now, STEP, out);
		longest = MAX(longest, now_ms() - at);
	} while (!done);
	return longest;
}

static double submit(struct jobs *j, uint64_t from, uint64_t n,
		     enum job_class cls, struct job_out *out)
{
	double at = now_ms();
	struct job_spec s;
	uint64_t i;

	for (i = from; i < from + n; i++) {
		s = spec(i, cls);
		if (job_submit(j, &s, 0, out) != JOB_OK)
			exit(1);
	}
	return (now_ms() - at) * 1e3 / (double)n;
}

/* One urgent job: submitted, stops sent, reply, started; decisions only. */
static void bench_urgent(struct jobs *j, struct job_out *out)
{
	double worst = 0;
	double sum = 0;
	double at;
	struct job_status s;
	struct job_order act;
	uint64_t id;
	guint i;

	for (id = 1000000; id < 1000000 + URGENT; id++) {
		job_out_clear(out);
		at = now_ms();
		submit(j, id, 1, JOB_URGENT, out);
		run(j, 2, out);
		for (i = 0; i < out->urgent->len; i++) {
			act = g_array_index(out->urgent, struct job_order, i);
			if (act.kind == JOB_ORDER_STOP)
				job_report_end(j, act.job, act.attempt,
					       JOB_STOPPED, true, out);
		}
		run(j, 3, out);
		at = now_ms() - at;
		if (!job_status(j, id, &s) || s.state != JOB_RUNNING)
			exit(1);
		worst = MAX(worst, at);
		sum += at;
	}
	line("urgent_decision_mean", sum / URGENT, "ms", 4300);
	line("urgent_decision_worst", worst, "ms", 4300);
}

static void bench_flood(struct jobs *j, struct job_out *out)
{
	double at = now_ms();
	uint64_t id;

	job_out_clear(out);
	for (id = 50000; id < 50000 + FLOOD; id++)
		job_cancel(j, id, out);
	line("cancel_mean", (now_ms() - at) * 1e3 / FLOOD, "us", 0);
	line("cancel_answered", out->outcomes->len, "jobs", FLOOD);
}

int main(void)
{
	struct job_out out;
	struct jobs *j;
	struct mallinfo2 before = mallinfo2();
	struct mallinfo2 after;
	struct pk_out o;
	double at;

	job_out_init(&out);
	j = table(&out);
	line("submit_mean",
	     submit(j, 1, WAITING + 4 * WORKERS, JOB_ARCHIVE, &out), "us", 0);
	line("longest_step_filling", run(j, 1, &out), "ms", 10);
	line("running", job_count(j, JOB_RUNNING), "jobs", 4 * WORKERS);
	line("waiting", job_count(j, JOB_WAITING), "jobs", WAITING);
	after = mallinfo2();
	line("memory", (double)(after.uordblks - before.uordblks) / (1 << 20),
	     "MB", 64);
	bench_urgent(j, &out);
	bench_flood(j, &out);
	at = now_ms();
	job_schedule(j, 4, STEP, &out);
	line("idle_step", now_ms() - at, "ms", 10);
	at = now_ms();
	pk_out_init(&o);
	jobs_pack(j, &o);
	line("pack", now_ms() - at, "ms", 0);
	line("packed", (double)o.buf.size / (1 << 20), "MB", 0);
	pk_out_done(&o);
	jobs_free(j);
	job_out_done(&out);
	return 0;
}
