#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* How often all that is owed is looked at, ms. */
#define HUB_HELD_MS 1000

static enum hld_reason hub_held_bar(void *arg, const struct jtb_worker *w);
static enum hld_reason hub_held_run(void *arg, const struct jtb_run *run);
static void hub_held_tell(void *arg, const struct jtb_job *job,
			  const struct jtb_name *n, enum hld_reason why,
			  int64_t why_ms, int64_t owed_ms);

/* We lead: what an earlier leader saw of waits isn't known. */
void hub_held_lead(struct hub *h)
{
	hld_forget(h->jtb);
	h->held = (struct hld_sum){0};
	h->held_ms = tmr_now(h->tmr);
}

/* Looks from time to time at what is owed and doesn't run. */
void hub_held_tick(struct hub *h, int64_t now)
{
	GHashTable *closed;
	enum cpu_kind before;
	struct sch_view plan;
	struct hld_view v = {
		.sch = &plan,
		.bar = hub_held_bar,
		.run = hub_held_run,
	};

	if (now - h->held_ms < HUB_HELD_MS)
		return;
	before = cpu_enter(CPU_UPKEEP);
	h->held_ms = now;
	closed = g_hash_table_new(g_str_hash, g_str_equal);
	v.moving = g_hash_table_new(g_str_hash, g_str_equal);
	v.upkeep = g_hash_table_new(g_str_hash, g_str_equal);
	upk_add_closed(h->upk, v.upkeep);
	flo_add_closed(h->flo, v.moving);
	upk_add_closed(h->upk, closed);
	flo_add_closed(h->flo, closed);
	hub_view(h, closed, &plan);
	hld_look(&v, &h->held, hub_held_tell, h);
	g_hash_table_destroy(closed);
	g_hash_table_destroy(v.moving);
	g_hash_table_destroy(v.upkeep);
	cpu_leave(before);
}

/* Why a worker may not be given work, but for being emptied. */
static enum hld_reason hub_held_bar(void *arg, const struct jtb_worker *w)
{
	static const enum hld_reason bars[] = {
		[WKR_FREE] = HLD_NONE,
		[WKR_DRAINS] = HLD_DRAINING,
		[WKR_UNHEARD] = HLD_UNREACHED,
		[WKR_SHUNNED] = HLD_SHUNNED,
	};
	const struct hub *h = arg;

	return bars[wkr_bar(h->wkr, w)];
}

/* How a run stands: a task that has one may be owed all the same. */
static enum hld_reason hub_held_run(void *arg, const struct jtb_run *run)
{
	static const enum hld_reason phases[] = {
		[WKR_NEW] = HLD_ORDERED,    [WKR_SENT] = HLD_ORDERED,
		[WKR_ON] = HLD_RUNS,	    [WKR_OVER] = HLD_ENDING,
		[WKR_DROPPED] = HLD_ENDING,
	};
	const struct hub *h = arg;
	enum hld_reason why = phases[run->phase];

	if (why == HLD_ENDING)
		return why;
	if (!wkr_reached(h->wkr, run->worker))
		return HLD_SILENT;
	return jtb_leaves(run) ? HLD_STOPPING : why;
}

/*
 * Tells what holds something back: of work that lasts always, as each moment
 * without it is lost, of the rest as much as the log takes.
 */
static void hub_held_tell(void *arg, const struct jtb_job *job,
			  const struct jtb_name *n, enum hld_reason why,
			  int64_t why_ms, int64_t owed_ms)
{
	const struct hub *h = arg;
	const char *pool = jtb_pool_of(h->jtb, job);
	char task[JTB_ID_MAX + 40] = "all";

	if (n)
		jtb_name_text(n, task, sizeof(task));
	msg_job_at(__FILE__, __LINE__, MSG_HUB_HELD, job->spec.id,
		   n ? MSG_FAILURE : MSG_SAMPLED,
		   "job=%s task=%s queue=%s pool=%s why=%s why_ms=%" PRId64
		   " owed_ms=%" PRId64,
		   job->spec.id, task, job->spec.queue, pool ? pool : "none",
		   hld_name(why), why_ms, owed_ms);
}
