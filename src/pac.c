#include "pac.h"

/*
 * Least time between two changes on one worker, ms: a figure is of the last
 * half second, and a change shows after a tenth.
 */
#define PAC_EVERY_MS 500
/* Shares of the bound from which on work is slowed down, and let go again. */
#define PAC_HIGH 0.9
#define PAC_LOW 0.7
/* A step up, percent; a step down halves. */
#define PAC_UP 15
/* Below this a run stands still instead, percent. */
#define PAC_STILL 12

static bool pac_serves(const struct jtb_run *run);
static bool pac_fills(const struct jtb_run *run);
static double pac_worst(const struct jtb_worker *w);
static int pac_next(int pace, double worst);

/*
 * Looks at a worker's newest figures. What fills is halved until what serves is
 * well below its bound, from full speed to standing still in 2 s, and given
 * back in small steps: a bound that is missed for a while costs the users of
 * what serves, filling a little less costs nobody.
 */
void pac_look(struct jtb_worker *w, int64_t now_ms, const struct pac_ops *ops,
	      void *arg)
{
	double worst = pac_worst(w);
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);
		int pace;

		if (!pac_fills(run) ||
		    now_ms - run->pace_changed_ms < PAC_EVERY_MS)
			continue;
		pace = pac_next(run->pace, worst);
		if (pace == run->pace)
			continue;
		run->pace_changed_ms = now_ms;
		ops->pace(arg, run, pace);
	}
}

/* Whether a run answers callers. */
static bool pac_serves(const struct jtb_run *run)
{
	return run->job->spec.steps[run->step].slo_ms &&
	       run->metric_value >= 0 && run->percent >= 100;
}

/* Whether a run fills what others leave. */
static bool pac_fills(const struct jtb_run *run)
{
	return run->job->spec.steps[run->step].flags & JTB_BEST_EFFORT &&
	       !run->stop_wanted;
}

/* The highest share of its bound that any serving run has reached. */
static double pac_worst(const struct jtb_worker *w)
{
	double worst = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (pac_serves(run))
			worst = MAX(
				worst,
				(double)run->metric_value /
					run->job->spec.steps[run->step].slo_ms);
	}
	return worst;
}

/* The pace that follows, percent, by the worst tail of what serves. */
static int pac_next(int pace, double worst)
{
	if (worst > PAC_HIGH)
		return pace / 2 < PAC_STILL ? 0 : pace / 2;
	if (worst < PAC_LOW)
		return MIN(100, pace + PAC_UP);
	return pace;
}
