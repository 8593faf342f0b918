#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Interval between scans of all pending tasks, ms. */
#define HUB_PENDING_INTERVAL_MS 1000

static enum hld_reason hub_pending_worker_reason(void *arg,
						 const struct jtb_worker *w);
static enum hld_reason hub_pending_run_reason(void *arg,
					      const struct jtb_run *run);
static void hub_pending_log(void *arg, const struct jtb_job *job,
			    const struct jtb_name *n, enum hld_reason why,
			    int64_t reason_ms, int64_t pending_ms);

/*
 * Becomes leader: how long tasks have been pending under earlier leaders is not
 * known.
 */
void hub_pending_reset(struct hub *h)
{
	hld_clear(h->jtb);
	h->pending = (struct hld_sum){0};
	h->pending_checked_ms = tmr_now(h->tmr);
}

/* Scans from time to time for tasks that are due and not running. */
void hub_pending_tick(struct hub *h, int64_t now)
{
	GHashTable *closed;
	enum cpu_kind before;
	struct sch_view plan;
	struct hld_view v = {
		.sch = &plan,
		.worker_reason = hub_pending_worker_reason,
		.run = hub_pending_run_reason,
	};

	if (now - h->pending_checked_ms < HUB_PENDING_INTERVAL_MS)
		return;
	before = cpu_enter(CPU_UPKEEP);
	h->pending_checked_ms = now;
	closed = g_hash_table_new(g_str_hash, g_str_equal);
	v.moving = g_hash_table_new(g_str_hash, g_str_equal);
	v.upkeep = g_hash_table_new(g_str_hash, g_str_equal);
	upk_add_closed(h->upk, v.upkeep);
	flo_add_closed(h->flo, v.moving);
	upk_add_closed(h->upk, closed);
	flo_add_closed(h->flo, closed);
	hub_init_sch_view(h, closed, &plan);
	hld_scan_all(&v, &h->pending, hub_pending_log, h);
	g_hash_table_destroy(closed);
	g_hash_table_destroy(v.moving);
	g_hash_table_destroy(v.upkeep);
	cpu_leave(before);
}

/*
 * Returns why a worker may not be given work; a drain for upkeep or a move is
 * not reported here.
 */
static enum hld_reason hub_pending_worker_reason(void *arg,
						 const struct jtb_worker *w)
{
	static const enum hld_reason reasons[] = {
		[WKR_AVAILABLE] = HLD_NONE,
		[WKR_DRAINING] = HLD_DRAINING,
		[WKR_UNREACHABLE] = HLD_UNREACHABLE,
		[WKR_BACKED_OFF] = HLD_BACKED_OFF,
	};
	const struct hub *h = arg;

	return reasons[wkr_availability(h->wkr, w)];
}

/*
 * Returns the state of a run, since a task that has a run may be pending all
 * the same.
 */
static enum hld_reason hub_pending_run_reason(void *arg,
					      const struct jtb_run *run)
{
	static const enum hld_reason reasons[] = {
		[WKR_NEW] = HLD_ORDERED,    [WKR_SENT] = HLD_ORDERED,
		[WKR_ACCEPTED] = HLD_RUNS,  [WKR_OVER] = HLD_ENDING,
		[WKR_DROPPED] = HLD_ENDING,
	};
	const struct hub *h = arg;
	enum hld_reason why = reasons[run->phase];

	if (why == HLD_ENDING)
		return why;
	if (!wkr_is_reachable(h->wkr, run->worker))
		return HLD_LEASE_VALID;
	return jtb_run_is_stopping(run) ? HLD_STOPPING : why;
}

/*
 * Logs what keeps a task from running. A long-running task is always logged, as
 * all time that it does not run is lost; others are sampled.
 */
static void hub_pending_log(void *arg, const struct jtb_job *job,
			    const struct jtb_name *n, enum hld_reason why,
			    int64_t reason_ms, int64_t pending_ms)
{
	const struct hub *h = arg;
	const char *pool = jtb_pool_of(h->jtb, job);
	char task[JTB_ID_MAX + 40] = "all";

	if (n)
		jtb_name_format(n, task, sizeof(task));
	msg_job_at(__FILE__, __LINE__, MSG_HUB_HELD, job->spec.id,
		   n ? MSG_FAILURE : MSG_SAMPLED,
		   "job=%s task=%s queue=%s pool=%s why=%s why_ms=%" PRId64
		   " owed_ms=%" PRId64,
		   job->spec.id, task, job->spec.queue, pool ? pool : "none",
		   hld_name(why), reason_ms, pending_ms);
}
