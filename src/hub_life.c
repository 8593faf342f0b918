#include "hub_int.h"

#include <inttypes.h>

#include "lif.h"
#include "msg.h"

/* Reports that are refused, and workers that start again under their ids. */

static const struct {
	enum hub_count count;
	const char *why;
} hub_report_faults[HUB_REPORT_FAULTS] = {
	[HUB_REPORT_UNREADABLE] = {HUB_REPORTS_UNREADABLE, "unreadable"},
	[HUB_REPORT_UNKNOWN] = {HUB_REPORTS_UNKNOWN, "state-or-pool-unknown"},
};

static const enum hub_count hub_life_counts[LIF_KINDS] = {
	[LIF_EARLIER] = HUB_REPORTS_EARLIER,
	[LIF_MISSING] = HUB_REPORTS_NO_START,
	[LIF_DAMAGED] = HUB_REPORTS_BAD_START,
	[LIF_AHEAD] = HUB_REPORTS_BAD_START,
};

/* Refuses a report that names no worker to use. */
void hub_refuse_report(struct hub *h, struct hub_call *c, const char *id,
		       enum hub_report_fault why)
{
	h->counts[hub_report_faults[why].count]++;
	msg(MSG_HUB_REPORT_REFUSED, "worker=%s why=%s", id,
	    hub_report_faults[why].why);
	hub_answer_status(h, c, 400);
}

/*
 * Judges which lifetime of a worker a report is of; w may be NULL. Returns
 * false if the report was answered: it names no worker to use, or comes late
 * from a process that is over, which needs nothing but a confirmation.
 */
bool hub_judge_lifetime(struct hub *h, struct hub_call *c,
			const struct jtb_worker *w,
			const struct jtb_worker_info *info,
			hub_resume_fn resume)
{
	enum lif lif = lif_judge(w ? w->info.started_ms : 0, info->started_ms,
				 hub_wall_ms());

	if (lif_is_valid(lif))
		return true;
	h->counts[hub_life_counts[lif]]++;
	msg(MSG_HUB_REPORT_REFUSED,
	    "worker=%s addr=%s why=%s started_ms=%" PRId64 " known_ms=%" PRId64,
	    info->id, info->addr, lif_name(lif), info->started_ms,
	    w ? w->info.started_ms : 0);
	if (lif == LIF_EARLIER)
		resume(h, c);
	else
		hub_answer_status(h, c, 400);
	return false;
}

/* Whether a report is the first of a known worker's next lifetime. */
bool hub_is_restart(const struct jtb_worker *w,
		    const struct jtb_worker_info *info)
{
	return w && w->info.started_ms && info->started_ms > w->info.started_ms;
}

/*
 * Proposes a worker's next lifetime. Nothing is sent to the worker, read of it
 * or concluded about it before that is in the table: it would be about either
 * of two processes.
 */
void hub_propose_restart(struct hub *h, struct jtb_worker *w,
			 const struct jtb_worker_info *info)
{
	struct evd_moment m = hub_evd_moment(h);
	GArray *kept;
	struct jtb_blame b;

	if (w->restart_proposed)
		return;
	kept = wkr_reachable_runs(w);
	w->restart_proposed = true;
	evd_set(EVD_RESTARTED, m.now_ms, &m, &w->removal_evidence);
	adv_forget_worker(h->adv, info->id);
	if (w->info.draining)
		jtb_blame_init(&b);
	else
		crs_record_loss(h->crs, w, true, m.now_ms, &b);
	h->counts[HUB_RESTARTS]++;
	msg(MSG_HUB_RESTART,
	    "worker=%s addr=%s pool=%s runs=%u kept=%u suspects=%u "
	    "started_ms=%" PRId64 " before_ms=%" PRId64,
	    info->id, info->addr, info->pool, w->runs->len, kept->len,
	    b.suspects->len, info->started_ms, w->info.started_ms);
	jtb_put_worker_restarted(hub_append_command(h), info, kept, &b,
				 hub_wall_ms());
	jtb_blame_clear(&b);
	g_array_free(kept, TRUE);
}
