#include "pac.h"

/*
 * Least time between two changes of a run's pace, ms: a figure covers the last
 * half second, and a change takes effect after a tenth.
 */
#define PAC_INTERVAL_MS 500
/*
 * Shares of the latency bound above which best-effort runs are slowed down, and
 * below which they are sped up again.
 */
#define PAC_HIGH 0.9
#define PAC_LOW 0.7
/* Increase of the pace in one step, percent; a decrease halves it. */
#define PAC_STEP_UP 15
/* Lowest pace of a run, percent; below it the run is paused. */
#define PAC_MIN 12

static bool pac_is_serving(const struct jtb_run *run);
static bool pac_is_best_effort(const struct jtb_run *run);
static double pac_worst_ratio(const struct jtb_worker *w);
static int pac_next_percent(int pace, double ratio);

/*
 * Adjusts the pace of a worker's best-effort runs to its newest figures. They
 * are halved until the serving runs are well below their bound, from full speed
 * to a pause within 2 s, and sped up in small steps: a bound that is exceeded
 * for a while costs the users of the serving tasks, whereas slower best-effort
 * runs cost nobody.
 */
void pac_update(struct jtb_worker *w, int64_t now_ms, const struct pac_ops *ops,
		void *arg)
{
	double worst = pac_worst_ratio(w);
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);
		int pace;

		if (!pac_is_best_effort(run) ||
		    now_ms - run->paced_ms < PAC_INTERVAL_MS)
			continue;
		pace = pac_next_percent(run->pace, worst);
		if (pace == run->pace)
			continue;
		run->paced_ms = now_ms;
		ops->pace(arg, run, pace);
	}
}

/* Whether a run serves callers and reports its tail latency. */
static bool pac_is_serving(const struct jtb_run *run)
{
	return run->job->spec.steps[run->step].tail_ms && run->figure >= 0 &&
	       run->percent >= 100;
}

/* Whether a run is a best-effort one that is not being stopped. */
static bool pac_is_best_effort(const struct jtb_run *run)
{
	return run->job->spec.steps[run->step].flags & JTB_FILLS && !run->stop;
}

/* Returns the highest ratio of tail latency to bound of any serving run. */
static double pac_worst_ratio(const struct jtb_worker *w)
{
	double ratio = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (pac_is_serving(run))
			ratio = MAX(ratio,
				    (double)run->figure /
					    run->job->spec.steps[run->step]
						    .tail_ms);
	}
	return ratio;
}

/*
 * Returns the next pace, percent, for the worst ratio of tail latency to bound.
 */
static int pac_next_percent(int pace, double ratio)
{
	if (ratio > PAC_HIGH)
		return pace / 2 < PAC_MIN ? 0 : pace / 2;
	if (ratio < PAC_LOW)
		return MIN(100, pace + PAC_STEP_UP);
	return pace;
}
