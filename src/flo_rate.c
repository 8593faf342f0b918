#include "flo_int.h"

/*
 * Estimates the load that new jobs will add to each pool while a VM that is
 * fetched now is being moved.
 */

static void flo_add_job_rate(struct flo *f, const struct jtb_job *job,
			     int64_t wall);
static double flo_expected_cores(const struct flo_pool *p);

/*
 * Updates the rates of new jobs and adds the expected load to each pool's load.
 * A fetched VM arrives after the time of a move; most of what waits now still
 * waits then, and more jobs have arrived.
 */
void flo_update_rates(struct flo *f, int64_t now, int64_t wall)
{
	GPtrArray *live = jtb_live(f->jtb);
	int64_t passed = MIN(now - f->ticked_ms, FLO_RATE_MS);
	uint64_t newest = f->next_seq;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);
		double keep = 1 - (double)passed / FLO_RATE_MS;

		p->rate_slow += (p->rate - p->rate_slow) * (double)passed /
				FLO_RATE_SLOW_MS;
		p->rate *= keep;
		p->rate_jobs *= keep;
	}
	for (i = live->len; i > 0; i--) {
		const struct jtb_job *job = g_ptr_array_index(live, i - 1);

		if (job->seq < f->next_seq)
			break;
		newest = MAX(newest, job->seq + 1);
		flo_add_job_rate(f, job, wall);
	}
	f->next_seq = newest;
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->growing = p->rate > p->rate_slow * FLO_GROWTH_FACTOR &&
			     p->rate_jobs > FLO_RATE_MIN_JOBS;
		p->load += flo_expected_cores(p);
		p->in_time += flo_expected_cores(p);
	}
}

/*
 * Adds a new job to the rate of its pool, unless its organisation's limit is
 * used up by the jobs before it.
 */
static void flo_add_job_rate(struct flo *f, const struct jtb_job *job,
			     int64_t wall)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(f->jtb), job->spec.queue);
	struct flo_pool *p;

	/* For a new leader all jobs are new, also those accepted long ago. */
	if (!q || sch_is_long_running(job) ||
	    wall - job->accepted_ms > FLO_RATE_MS ||
	    quo_free_cores(job->use) == 0)
		return;
	p = flo_get_pool(f, q->pool);
	p->rate += job->core_seconds * 1000 / FLO_RATE_MS;
	p->rate_jobs += 1;
	p->chain_ms += (job->critical_path_ms - p->chain_ms) * FLO_CHAIN_SHARE;
}

/*
 * Returns the cores that jobs arriving until a VM fetched now is there will
 * occupy at that time. For jobs with chains longer than that time, it is only
 * part of what they need in all: they arrive over less time than they run.
 */
static double flo_expected_cores(const struct flo_pool *p)
{
	double ahead = MAX(0, p->rate - p->rate_slow) * FLO_TREND_FACTOR;
	double sure = p->rate_jobs / (p->rate_jobs + FLO_RATE_MIN_JOBS);
	double share =
		p->chain_ms > FLO_FETCH_MS ? FLO_FETCH_MS / p->chain_ms : 1;

	return (p->rate + ahead) * sure * share;
}
