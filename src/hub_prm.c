#include "hub_int.h"

#include "msg.h"

static void hub_prm_stop(void *arg, struct jtb_run *run, const char *why);
static void hub_prm_decided(void *arg, const char *pool,
			    const struct prm_result *r);

/* Stops what has to make room for work of queues that go first. */
void hub_prm_tick(struct hub *h, int64_t now)
{
	struct prm_view v = {
		.jtb = h->jtb,
		.closed = g_hash_table_new(g_str_hash, g_str_equal),
		.now_ms = now,
		.wall_ms = hub_wall_ms(),
		.arg = h,
		.usable = hub_worker_usable,
		.stop = hub_prm_stop,
		.decided = hub_prm_decided,
	};

	upk_add_closed(h->upk, v.closed);
	flo_add_closed(h->flo, v.closed);
	prm_plan(h->prm, &v);
	g_hash_table_destroy(v.closed);
}

/* Stops a run; its task is planned again when it has ended. */
static void hub_prm_stop(void *arg, struct jtb_run *run, const char *why)
{
	struct hub *h = arg;

	h->counts[HUB_PREEMPTED]++;
	hub_stop_run(h, run, why);
}

/* Logs a decision that stopped something, or could not for want of budget. */
static void hub_prm_decided(void *arg, const char *pool,
			    const struct prm_result *r)
{
	if (r->served == r->waiting && !r->stops)
		return;
	msg(MSG_HUB_PREEMPTED,
	    "pool=%s waiting=%u served=%u stops=%u thrown_core_s=%.1f "
	    "budget_core_s=%.1f",
	    pool, r->waiting, r->served, r->stops, r->thrown, r->budget);
}
