#include "flo_int.h"

/* What comes to each pool while a VM that is fetched now is on its way. */

static void flo_rate_job(struct flo *f, const struct jtb_job *job,
			 int64_t wall);
static double flo_coming(const struct flo_pool *p);

/*
 * Adds to each pool's load what jobs that are still to come will need: a VM
 * that is fetched is there after the time of a move, when what waits now mostly
 * still waits and more has come.
 */
void flo_rate(struct flo *f, int64_t now, int64_t wall)
{
	GPtrArray *live = jtb_live(f->jtb);
	int64_t passed = MIN(now - f->ticked_ms, FLO_RATE_MS);
	uint64_t newest = f->seen;
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

		if (job->seq < f->seen)
			break;
		newest = MAX(newest, job->seq + 1);
		flo_rate_job(f, job, wall);
	}
	f->seen = newest;
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->grows = p->rate > p->rate_slow * FLO_GROWS &&
			   p->rate_jobs > FLO_RATE_JOBS;
		p->load += flo_coming(p);
	}
}

/* Takes a new job into the rate of its pool. */
static void flo_rate_job(struct flo *f, const struct jtb_job *job, int64_t wall)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(f->jtb), job->spec.queue);
	struct flo_pool *p;

	/* for a new leader all jobs are new, also those of long ago */
	if (!q || sch_lasts(job) || wall - job->accepted_ms > FLO_RATE_MS)
		return;
	p = flo_pool_at(f, q->pool);
	p->rate += job->core_seconds * 1000 / FLO_RATE_MS;
	p->rate_jobs += 1;
	p->chain_ms += (job->critical_path_ms - p->chain_ms) * FLO_CHAIN_SHARE;
}

/*
 * Cores that jobs will have at once which come until a VM that is fetched now
 * is there. Of long ones that is a part of what they need in all: they come
 * over less time than they stay.
 */
static double flo_coming(const struct flo_pool *p)
{
	double ahead = MAX(0, p->rate - p->rate_slow) * FLO_AHEAD;
	double sure = p->rate_jobs / (p->rate_jobs + FLO_RATE_JOBS);
	double share =
		p->chain_ms > FLO_FETCH_MS ? FLO_FETCH_MS / p->chain_ms : 1;

	return (p->rate + ahead) * sure * share;
}
