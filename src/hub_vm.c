#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* How young the list of VMs is kept while a wave is on, ms. */
#define HUB_LIST_MS 700
/* Between two lines on each pool. */
#define HUB_TELL_MS 1000
/*
 * A new leader orders nothing for so long, ms: what the last one wrote before
 * it broke off (see VMS_BREAK_MS), or before it handed over, is in the network
 * for less. Its first list takes most of that anyway.
 */
#define HUB_PASS_MS 100

static int64_t hub_vm_sure(void *arg);
static void hub_vm_listed(void *arg);
static void hub_vm_answered(void *arg, enum vms_kind kind, const char *vm,
			    enum vms_answer answer);
static void hub_vm_order(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm);
static void hub_vm_note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
			enum jtb_vm_state state, const char *worker_before);
static bool hub_vm_reached(void *arg, const struct jtb_worker *w);
static bool hub_vm_spared(void *arg, const char *vm);
static bool hub_vm_moving(void *arg, const char *vm);
static void hub_vm_move(void *arg, const char *vm, const char *pool);
static bool hub_vm_may_stop(void *arg, const struct jtb_run *run);
static bool hub_vm_held(void *arg, const char *vm);
static void hub_vm_passed(void *arg, int64_t now);
static void hub_vm_decide(struct hub *h, int64_t now);
static void hub_vm_dead(struct hub *h);
static void hub_vm_listed_worker(const struct hub *h, struct jtb_worker *w,
				 int64_t since, struct evd_vm *out);
static void hub_vm_tell(struct hub *h, int64_t now);

static const struct vms_ops hub_vms_ops = {
	.listed = hub_vm_listed,
	.answered = hub_vm_answered,
	.confirmed_ms = hub_vm_sure,
};

static const struct upk_ops hub_upk_ops = {
	.stop = hub_stop,
	.order = hub_vm_order,
	.note = hub_vm_note,
	.is_moving = hub_vm_moving,
	.is_spare = hub_vm_spared,
	.is_reachable = hub_vm_reached,
};

static const struct flo_ops hub_flo_ops = {
	.order = hub_vm_move,
	.stop = hub_stop,
	.may_stop = hub_vm_may_stop,
	.is_pinned = hub_vm_held,
};

static const char *const hub_vm_answers[] = {
	[VMS_ACCEPTED] = "yes",
	[VMS_FENCED] = "fenced",
	[VMS_BUSY] = "busy",
	[VMS_OTHER_WAVE] = "other-wave",
	[VMS_NO_SUCH] = "no-such-vm",
	[VMS_RATE_LIMITED] = "too-many-calls",
	[VMS_UNANSWERED] = "unanswered",
};

/* Begins without a list. */
void hub_vm_init(struct hub *h)
{
	h->vms = vms_new(
		&(struct vms_config){
			.base = h->config.base,
			.tmr = h->tmr,
			.codec = h->config.face->vm_codec,
			.addr = h->config.vms,
			.node = h->config.node,
		},
		&hub_vms_ops, h);
	h->upk = upk_new(h->jtb, h->vms, &hub_upk_ops, h);
	h->flo = flo_new(h->jtb, h->vms, &hub_flo_ops, h);
}

/* Frees list and waves. */
void hub_vm_free(struct hub *h)
{
	tmr_cancel(h->tmr, h->vm_timer);
	flo_free(h->flo);
	upk_free(h->upk);
	vms_free(h->vms);
}

/* We lead: orders carry our term as fence. */
void hub_vm_lead(struct hub *h, uint64_t term)
{
	vms_start(h->vms, term);
	upk_reset(h->upk);
	flo_reset(h->flo);
	/*
	 * Two leaders must not give a VM orders by turns: one that leads again
	 * soon after it lost its place lets the other's orders pass first. For
	 * the next leader the higher fence is enough, once the last leader's
	 * orders can't arrive any more.
	 */
	h->vm_from = tmr_now(h->tmr) + HUB_PASS_MS;
	if (h->rested_ms)
		h->vm_from =
			MAX(h->vm_from, h->rested_ms + h->config.vm_lease_ms);
	/* not with the next list or tick, which are up to 200 ms later */
	h->vm_timer = tmr_once(h->tmr, h->vm_from - tmr_now(h->tmr),
			       hub_vm_passed, h);
	if (h->config.vms)
		vms_refresh(h->vms);
}

/* The orders of the last leader have passed. */
static void hub_vm_passed(void *arg, int64_t now)
{
	struct hub *h = arg;

	h->vm_timer = 0;
	if (h->config.vms)
		hub_vm_decide(h, now);
}

/* We don't lead any more. */
void hub_vm_rest(struct hub *h)
{
	tmr_cancel(h->tmr, h->vm_timer);
	h->vm_timer = 0;
	vms_stop(h->vms);
	h->rested_ms = tmr_now(h->tmr);
}

/*
 * Goes on with upkeep and moves, on a list that is young enough.
 */
void hub_vm_tick(struct hub *h, int64_t now)
{
	if (!h->config.vms || !h->leading)
		return;
	if (now - vms_listed_ms(h->vms) > HUB_LIST_MS)
		vms_refresh(h->vms);
	hub_vm_decide(h, now);
	hub_vm_tell(h, now);
}

/* What the decisions on pools rest on, once a second. */
static void hub_vm_tell(struct hub *h, int64_t now)
{
	GPtrArray *pools = flo_pools(h->flo);
	guint i;

	if (now - h->told_ms < HUB_TELL_MS)
		return;
	h->told_ms = now;
	for (i = 0; i < pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(pools, i);

		msg(MSG_HUB_POOL,
		    "pool=%s jobs=%u load=%.0f used=%.0f cores=%.0f vms=%u "
		    "coming=%u "
		    "going=%u list_age_ms=%" PRId64,
		    p->name, p->jobs, p->load, p->used, p->cores, p->vms,
		    p->coming, p->going, now - vms_listed_ms(h->vms));
	}
}

/* Has upkeep and moves decide, by the list that just came. */
static void hub_vm_decide(struct hub *h, int64_t now)
{
	int64_t wall = hub_wall_ms();

	if (!h->leading || now < h->vm_from)
		return;
	upk_tick(h->upk, now, wall);
	flo_tick(h->flo, now, wall);
}

/* When we last knew that we lead; one that hands over knows no more. */
static int64_t hub_vm_sure(void *arg)
{
	struct hub *h = arg;

	return rep_hands_over(h->rep) ? 0 : hub_sure(h);
}

/* The list of VMs is whole. */
static void hub_vm_listed(void *arg)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_UPKEEP);

	hub_vm_dead(h);
	hub_vm_decide(h, tmr_now(h->tmr));
	cpu_leave(before);
}

/* Looks for workers that are over by the list of VMs that just came in. */
static void hub_vm_dead(struct hub *h)
{
	struct evd_moment m = hub_moment(h);
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		int64_t since = wkr_silent_since(h->wkr, w);
		struct evd_vm vm;
		struct evd e;

		hub_vm_listed_worker(h, w, since, &vm);
		if (evd_vm_over(&vm, since, &m, &e))
			hub_worker_lost(h, w, &e);
	}
}

/* What the newest list says of a worker that is silent since then; 0: it isn't. */
static void hub_vm_listed_worker(const struct hub *h, struct jtb_worker *w,
				 int64_t since, struct evd_vm *out)
{
	const struct vms_vm *on = vms_of_worker(h->vms, w->info.id);
	const struct vms_vm *vm =
		on ? on : vms_last_of_worker(h->vms, w->info.id);
	int64_t asked = vms_listed_ms(h->vms);

	w->unlisted = vm || !since || since >= asked ? 0 : w->unlisted + 1;
	*out = (struct evd_vm){
		.asked_ms = asked,
		.listed = vm != NULL,
		.up = vm && vm->state == VMS_UP,
		.other = vm && !on && *vm->worker,
		.unread = vms_has_unknown_worker(h->vms),
		.without = w->unlisted,
	};
}

/* The service of VMs answered an order. */
static void hub_vm_answered(void *arg, enum vms_kind kind, const char *vm,
			    enum vms_answer answer)
{
	struct hub *h = arg;
	const char *worker = kind == VMS_DO_UPKEEP ? upk_worker(h->upk, vm)
						   : flo_worker(h->flo, vm);
	struct jtb_worker *w;

	msg(MSG_HUB_VM, "vm=%s does=%s answer=%s", vm,
	    kind == VMS_DO_UPKEEP ? "upkeep" : "move", hub_vm_answers[answer]);
	if (kind == VMS_DO_UPKEEP)
		upk_answered(h->upk, vm, answer, tmr_now(h->tmr));
	else
		flo_answered(h->flo, vm, answer, tmr_now(h->tmr));
	if (answer != VMS_ACCEPTED)
		return;
	/* The lifetime that was on it is over, with all that it ran. */
	w = worker ? jtb_worker(h->jtb, worker) : NULL;
	if (w)
		hub_worker_left(h, w, EVD_VM_ORDER, tmr_now(h->tmr));
	vms_refresh(h->vms);
}

/* Upkeep orders something of a VM. */
static void hub_vm_order(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm)
{
	struct hub *h = arg;

	h->counts[HUB_UPKEEPS]++;
	vms_upkeep(h->vms, vm->vm, w->no);
}

/* What upkeep did with a VM goes into the log. */
static void hub_vm_note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
			enum jtb_vm_state state, const char *worker_before)
{
	struct hub *h = arg;

	h->counts[HUB_UPKEEPS_DONE] += state == JTB_VM_DONE;
	msg(MSG_HUB_WAVE, "wave=%" PRIu64 " vm=%s state=%s worker=%s", w->no,
	    vm->vm, state == JTB_VM_DONE ? "done" : "begins",
	    worker_before ? worker_before : "");
	jtb_put_vm(hub_put(h), w->no, vm->vm, state, worker_before);
}

/* Whether nobody would miss a VM now. */
static bool hub_vm_spared(void *arg, const char *vm)
{
	const struct hub *h = arg;

	return flo_is_spare(h->flo, vm);
}

/* Whether a worker answers. */
static bool hub_vm_reached(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return wkr_reached(h->wkr, w);
}

/* Whether a VM is on its way to another pool. */
static bool hub_vm_moving(void *arg, const char *vm)
{
	const struct hub *h = arg;

	return flo_is_moving(h->flo, vm);
}

/* A VM is to be moved to a pool. */
static void hub_vm_move(void *arg, const char *vm, const char *pool)
{
	struct hub *h = arg;

	h->counts[HUB_MOVES]++;
	vms_move(h->vms, vm, pool);
}

/* Whether a run may be stopped to empty its worker. */
static bool hub_vm_may_stop(void *arg, const struct jtb_run *run)
{
	const struct hub *h = arg;

	return upk_may_stop(h->upk, run);
}

/* Whether upkeep holds a VM, or will at once. */
static bool hub_vm_held(void *arg, const char *vm)
{
	const struct hub *h = arg;

	return upk_is_in_upkeep(h->upk, vm) ||
	       upk_urgent(h->upk, vm, hub_wall_ms());
}
