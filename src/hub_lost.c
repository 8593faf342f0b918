#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/*
 * Workers that are lost unexpectedly, and the tasks that they may have crashed
 * under.
 */

static void hub_log_left(const struct jtb_worker *w);
static int64_t hub_run_observed_ms(void *arg, const struct jtb_run *run);
static bool hub_rack_unreachable(void *arg, const struct jtb_worker *w);
static bool hub_worker_alive(void *arg, const struct jtb_worker *w);
static bool hub_worker_vm_down(const struct hub *h, const struct jtb_worker *w);
static void hub_log_suspects(const struct jtb_worker *w,
			     const struct jtb_blame *b);

const struct crs_ops hub_crs_ops = {
	.observed_ms = hub_run_observed_ms,
	.rack_unreachable = hub_rack_unreachable,
	.alive = hub_worker_alive,
};

/*
 * Removes a worker that is over without having announced its end, or that has
 * been unreachable for longer than its leases: its runs end, and the table
 * counts the tasks that may have crashed it.
 */
void hub_remove_lost_worker(struct hub *h, struct jtb_worker *w,
			    const struct evd *e)
{
	bool for_good = evd_is_permanent(e);
	struct jtb_blame b;

	/* several kinds of evidence may show the same loss */
	if (w->removal_proposed || wkr_evidence_is_outdated(w, e->as_of_ms))
		return;
	w->removal_proposed = for_good;
	w->removal_evidence = *e;
	if (w->info.draining) {
		hub_log_left(w);
		jtb_put_worker_lost(hub_append_command(h), w->info.id,
				    for_good);
		return;
	}
	crs_record_loss(h->crs, w, for_good, tmr_now(h->tmr), &b);
	h->counts[HUB_CRASHES] += for_good;
	msg(MSG_HUB_CRASH,
	    "worker=%s addr=%s runs=%u suspects=%u shared=%d alone=%d "
	    "for_good=%d why=%s as_of_ms=%" PRId64 " lag_ms=%" PRId64,
	    w->info.id, w->info.addr, w->runs->len, b.suspects->len,
	    b.correlated, jtb_blame_single_job(&b), for_good, evd_name(e->why),
	    e->at_ms - e->as_of_ms, e->lag_ms);
	hub_log_suspects(w, &b);
	jtb_put_worker_crashed(hub_append_command(h), w->info.id, for_good, &b,
			       hub_wall_ms());
	jtb_blame_clear(&b);
}

/* Removes a worker whose end was ordered or announced, with all its runs. */
void hub_remove_left_worker(struct hub *h, struct jtb_worker *w,
			    enum evd_why why, int64_t as_of_ms)
{
	struct evd_moment m = hub_evd_moment(h);

	if (wkr_evidence_is_outdated(w, as_of_ms))
		return;
	evd_set(why, as_of_ms, &m, &w->removal_evidence);
	hub_log_left(w);
	jtb_put_worker_lost(hub_append_command(h), w->info.id, true);
}

/*
 * Records that a worker announced its end. The worker is over once it can have
 * no runs left.
 */
void hub_record_leave(struct hub *h, struct jtb_worker *w)
{
	struct evd_moment m = hub_evd_moment(h);

	w->leaving = true;
	evd_set(EVD_LEFT, m.now_ms, &m, &w->removal_evidence);
	hub_log_left(w);
	jtb_put_worker_leaving(hub_append_command(h), w->info.id);
}

/* Logs the evidence that a worker is over which was not lost unexpectedly. */
static void hub_log_left(const struct jtb_worker *w)
{
	msg(MSG_HUB_LEFT,
	    "worker=%s addr=%s runs=%u why=%s as_of_ms=%" PRId64
	    " lag_ms=%" PRId64,
	    w->info.id, w->info.addr, w->runs->len,
	    evd_name(w->removal_evidence.why),
	    w->removal_evidence.at_ms - w->removal_evidence.as_of_ms,
	    w->removal_evidence.lag_ms);
}

/* Returns the moment by which evidence found now is judged. */
struct evd_moment hub_evd_moment(const struct hub *h)
{
	return (struct evd_moment){
		.now_ms = tmr_now(h->tmr),
		.lag_ms = tmr_lag_ms(h->tmr),
		.led_since_ms = h->lead_since_ms,
	};
}

/*
 * Returns for how long a run had been observed running when its worker last
 * answered, ms.
 */
static int64_t hub_run_observed_ms(void *arg, const struct jtb_run *run)
{
	const struct hub *h = arg;

	return wkr_observed_ms(h->wkr, run);
}

/*
 * Whether another worker of a worker's rack became unreachable just now, or its
 * VM is down.
 */
static bool hub_rack_unreachable(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;
	const char *rack = sch_rack_of(w);
	int64_t since = tmr_now(h->tmr) - CRS_WINDOW_MS;
	GHashTableIter it;
	const struct jtb_worker *other;

	if (!rack)
		return false;
	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other))
		if (other != w && g_strcmp0(sch_rack_of(other), rack) == 0 &&
		    (wkr_unreachable_since(h->wkr, other) > since ||
		     hub_worker_vm_down(h, other)))
			return true;
	return false;
}

/*
 * Whether a list of VMs requested after a worker became unreachable shows its
 * VM as up.
 */
static bool hub_worker_alive(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;
	const struct vms_vm *vm = vms_of_worker(h->vms, w->info.id);

	return vm && vm->state == VMS_UP &&
	       vms_listed_ms(h->vms) > wkr_unreachable_since(h->wkr, w);
}

/* Whether the newest list of VMs shows a worker's VM as down. */
static bool hub_worker_vm_down(const struct hub *h, const struct jtb_worker *w)
{
	const struct vms_vm *vm = vms_of_worker(h->vms, w->info.id);

	return vm && vm->state == VMS_DOWN;
}

/* Logs for each suspect task how many workers were lost as the task started. */
static void hub_log_suspects(const struct jtb_worker *w,
			     const struct jtb_blame *b)
{
	char text[JTB_ID_MAX + 40];
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_suspect *s =
			jtb_suspect(run->job, run->step, run->index);
		struct jtb_name n;
		guint j;

		jtb_name_of(run, &n);
		jtb_name_format(&n, text, sizeof(text));
		for (j = 0; j < b->suspects->len; j++)
			if (jtb_name_equal(&n,
					   &g_array_index(b->suspects,
							  struct jtb_name, j)))
				msg_job(MSG_HUB_SUSPECTED, n.id,
					"task=%s attempt=%u worker=%s "
					"crashes=%u",
					text, run->attempt, w->info.id,
					s ? s->crashes + 1 : 1);
	}
}
