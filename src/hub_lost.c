#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Workers that are lost by themselves, and what they may have crashed under. */

static void hub_tell_left(const struct jtb_worker *w);
static int64_t hub_seen_ms(void *arg, const struct jtb_run *run);
static bool hub_rack_silent(void *arg, const struct jtb_worker *w);
static bool hub_alive(void *arg, const struct jtb_worker *w);
static bool hub_vm_down(const struct hub *h, const struct jtb_worker *w);
static void hub_tell_suspects(const struct jtb_worker *w,
			      const struct jtb_blame *b);

const struct crs_ops hub_crs_ops = {
	.seen_ms = hub_seen_ms,
	.rack_silent = hub_rack_silent,
	.alive = hub_alive,
};

/*
 * A worker is over without having said so, or was silent for longer than its
 * leases: its runs end, and what may have crashed it is counted in the table.
 */
void hub_worker_lost(struct hub *h, struct jtb_worker *w, const struct evd *e)
{
	bool for_good = evd_for_good(e);
	struct jtb_blame b;

	/* several calls may find the same end of it */
	if (w->removal_proposed)
		return;
	w->removal_proposed = for_good;
	w->removal_evidence = *e;
	if (w->info.draining) {
		hub_tell_left(w);
		jtb_put_worker_lost(hub_put(h), w->info.id, for_good);
		return;
	}
	crs_lost(h->crs, w, for_good, tmr_now(h->tmr), &b);
	h->counts[HUB_CRASHES] += for_good;
	msg(MSG_HUB_CRASH,
	    "worker=%s addr=%s runs=%u suspects=%u shared=%d alone=%d "
	    "for_good=%d why=%s as_of_ms=%" PRId64 " lag_ms=%" PRId64,
	    w->info.id, w->info.addr, w->runs->len, b.suspects->len,
	    b.correlated, jtb_blame_single_job(&b), for_good, evd_name(e->why),
	    e->at_ms - e->as_of_ms, e->lag_ms);
	hub_tell_suspects(w, &b);
	jtb_put_worker_crashed(hub_put(h), w->info.id, for_good, &b,
			       hub_wall_ms());
	jtb_blame_clear(&b);
}

/* A worker ended as planned, with all that ran on it. */
void hub_worker_left(struct hub *h, struct jtb_worker *w, enum evd_why why,
		     int64_t as_of_ms)
{
	struct evd_moment m = hub_moment(h);

	evd_of(why, as_of_ms, &m, &w->removal_evidence);
	hub_tell_left(w);
	jtb_put_worker_lost(hub_put(h), w->info.id, true);
}

/* A worker has said that it ends: it is over once nothing may run there. */
void hub_worker_leaves(struct hub *h, struct jtb_worker *w)
{
	struct evd_moment m = hub_moment(h);

	w->leaving = true;
	evd_of(EVD_LEFT, m.now_ms, &m, &w->removal_evidence);
	hub_tell_left(w);
	jtb_put_worker_leaving(hub_put(h), w->info.id);
}

/* Tells of a worker that wasn't lost by itself why it is taken for over. */
static void hub_tell_left(const struct jtb_worker *w)
{
	msg(MSG_HUB_LEFT,
	    "worker=%s addr=%s runs=%u why=%s as_of_ms=%" PRId64
	    " lag_ms=%" PRId64,
	    w->info.id, w->info.addr, w->runs->len,
	    evd_name(w->removal_evidence.why),
	    w->removal_evidence.at_ms - w->removal_evidence.as_of_ms,
	    w->removal_evidence.lag_ms);
}

/* What evidence that is found now is judged by. */
struct evd_moment hub_moment(const struct hub *h)
{
	return (struct evd_moment){
		.now_ms = tmr_now(h->tmr),
		.lag_ms = tmr_lag_ms(h->tmr),
		.led_since_ms = h->led_ms,
	};
}

/* For how long a run had been seen at work when its worker last answered. */
static int64_t hub_seen_ms(void *arg, const struct jtb_run *run)
{
	const struct hub *h = arg;

	return wkr_seen_ms(h->wkr, run);
}

/* Whether another worker of a rack fell silent just now, or its VM is down. */
static bool hub_rack_silent(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;
	const char *rack = sch_rack_of(w);
	int64_t since = tmr_now(h->tmr) - CRS_NEAR_MS;
	GHashTableIter it;
	const struct jtb_worker *other;

	if (!rack)
		return false;
	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other))
		if (other != w && g_strcmp0(sch_rack_of(other), rack) == 0 &&
		    (wkr_silent_since(h->wkr, other) > since ||
		     hub_vm_down(h, other)))
			return true;
	return false;
}

/* Whether a list that was asked for since a worker is silent has it on a VM. */
static bool hub_alive(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;
	const struct vms_vm *vm = vms_of_worker(h->vms, w->info.id);

	return vm && vm->state == VMS_UP &&
	       vms_listed_ms(h->vms) > wkr_silent_since(h->wkr, w);
}

/* Whether the newest list shows a worker's VM as down. */
static bool hub_vm_down(const struct hub *h, const struct jtb_worker *w)
{
	const struct vms_vm *vm = vms_of_worker(h->vms, w->info.id);

	return vm && vm->state == VMS_DOWN;
}

/* Says of each suspect how many workers were lost as it began. */
static void hub_tell_suspects(const struct jtb_worker *w,
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
