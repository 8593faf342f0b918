#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Age at which the leader requests a new list of VMs, ms. */
#define HUB_LIST_AGE_MAX_MS 700
/* Interval between log lines on each pool, ms. */
#define HUB_POOL_LOG_INTERVAL_MS 1000
/*
 * Grace period, ms: a new leader sends no orders to VMs during the grace
 * period. Orders that the previous leader wrote before it aborted them (see
 * VMS_BREAK_MS) or handed over leadership are in the network for less. The new
 * leader's first list of VMs takes most of that time anyway.
 */
#define HUB_VM_GRACE_MS 100

static int64_t hub_vm_lead_confirmed_ms(void *arg);
static void hub_vm_listed(void *arg);
static void hub_vm_answered(void *arg, enum vms_kind kind, const char *vm,
			    enum vms_answer answer);
static void hub_vm_order_upkeep(void *arg, struct jtb_wave *w,
				struct jtb_wave_vm *vm);
static void hub_vm_record_upkeep(void *arg, struct jtb_wave *w,
				 struct jtb_wave_vm *vm,
				 enum jtb_vm_state state,
				 const char *worker_before);
static bool hub_vm_is_reachable(void *arg, const struct jtb_worker *w);
static bool hub_vm_is_spare(void *arg, const char *vm);
static bool hub_vm_is_moving(void *arg, const char *vm);
static void hub_vm_order_move(void *arg, const char *vm, const char *pool);
static bool hub_vm_may_stop_run(void *arg, const struct jtb_run *run);
static bool hub_vm_is_pinned(void *arg, const char *vm);
static guint hub_vm_floor(void *arg, const char *pool);
static void hub_vm_on_grace_over(void *arg, int64_t now);
static void hub_vm_plan(struct hub *h, int64_t now);
static void hub_vm_check_workers(struct hub *h);
static void hub_vm_log_pools(struct hub *h, int64_t now);
static void hub_vm_log_division(struct hub *h, int64_t now);

static const struct vms_ops hub_vms_ops = {
	.listed = hub_vm_listed,
	.answered = hub_vm_answered,
	.confirmed_ms = hub_vm_lead_confirmed_ms,
};

static const struct upk_ops hub_upk_ops = {
	.stop = hub_stop_run,
	.order = hub_vm_order_upkeep,
	.note = hub_vm_record_upkeep,
	.is_moving = hub_vm_is_moving,
	.is_spare = hub_vm_is_spare,
	.is_reachable = hub_vm_is_reachable,
};

static const struct flo_ops hub_flo_ops = {
	.order = hub_vm_order_move,
	.stop = hub_stop_run,
	.may_stop = hub_vm_may_stop_run,
	.is_reachable = hub_vm_is_reachable,
	.is_pinned = hub_vm_is_pinned,
	.floor = hub_vm_floor,
};

static const char *const hub_vm_answer_names[] = {
	[VMS_ACCEPTED] = "yes",
	[VMS_FENCED] = "fenced",
	[VMS_BUSY] = "busy",
	[VMS_OTHER_WAVE] = "other-wave",
	[VMS_NO_SUCH] = "no-such-vm",
	[VMS_RATE_LIMITED] = "too-many-calls",
	[VMS_UNANSWERED] = "unanswered",
};

/*
 * Creates the VM service's client, upkeep and pool moves; no list of VMs is
 * known yet.
 */
void hub_vm_init(struct hub *h)
{
	h->vms = vms_new(
		&(struct vms_config){
			.base = h->config.base,
			.tmr = h->tmr,
			.codec = h->config.protocol->vm_codec,
			.addr = h->config.vms,
			.node = h->config.node,
		},
		&hub_vms_ops, h);
	h->upk = upk_new(h->jtb, h->vms, &hub_upk_ops, h);
	h->flo = flo_new(h->jtb, h->vms, &hub_flo_ops, h);
	if (h->config.division)
		flo_set_way(h->flo, div_find_way(h->config.division));
}

/* Frees the client, upkeep and pool moves. */
void hub_vm_free(struct hub *h)
{
	tmr_cancel(h->tmr, h->vm_timer);
	flo_free(h->flo);
	upk_free(h->upk);
	vms_free(h->vms);
}

/* Becomes leader: orders carry term as their fence. */
void hub_vm_lead(struct hub *h, uint64_t term)
{
	vms_start(h->vms, term);
	upk_reset(h->upk);
	flo_reset(h->flo);
	/*
	 * Two leaders must not send a VM orders by turns: a replica that leads
	 * again soon after it lost leadership first waits until the other
	 * leader's orders have arrived. For any other new leader the higher
	 * fence is enough, once the previous leader's orders can no longer
	 * arrive.
	 */
	h->vm_orders_from_ms = tmr_now(h->tmr) + HUB_VM_GRACE_MS;
	if (h->lead_lost_ms)
		h->vm_orders_from_ms =
			MAX(h->vm_orders_from_ms,
			    h->lead_lost_ms + h->config.vm_lease_ms);
	/* The next list or tick may be up to 200 ms later. */
	h->vm_timer = tmr_once(h->tmr, h->vm_orders_from_ms - tmr_now(h->tmr),
			       hub_vm_on_grace_over, h);
	if (h->config.vms)
		vms_refresh(h->vms);
}

/* The previous leader's orders can no longer arrive: sends the first orders. */
static void hub_vm_on_grace_over(void *arg, int64_t now)
{
	struct hub *h = arg;

	h->vm_timer = 0;
	if (h->config.vms)
		hub_vm_plan(h, now);
}

/* Steps down as leader. */
void hub_vm_step_down(struct hub *h)
{
	tmr_cancel(h->tmr, h->vm_timer);
	h->vm_timer = 0;
	vms_stop(h->vms);
	h->lead_lost_ms = tmr_now(h->tmr);
}

/*
 * Continues upkeep and moves, and requests a new list of VMs when the list is
 * old.
 */
void hub_vm_tick(struct hub *h, int64_t now)
{
	if (!h->config.vms || !h->leading)
		return;
	if (now - vms_listed_ms(h->vms) > HUB_LIST_AGE_MAX_MS)
		vms_refresh(h->vms);
	hub_vm_plan(h, now);
	hub_vm_log_pools(h, now);
	hub_vm_log_division(h, now);
}

/* Logs once a second the figures that pool decisions rest on. */
static void hub_vm_log_pools(struct hub *h, int64_t now)
{
	GPtrArray *pools = flo_pools(h->flo);
	guint i;

	if (now - h->pools_logged_ms < HUB_POOL_LOG_INTERVAL_MS)
		return;
	h->pools_logged_ms = now;
	for (i = 0; i < pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(pools, i);

		msg(MSG_HUB_POOL,
		    "pool=%s jobs=%u load=%.0f used=%.0f cores=%.0f vms=%u "
		    "coming=%u "
		    "going=%u list_age_ms=%" PRId64
		    " unreadable=%u entitled=%u",
		    p->name, p->jobs, p->load, p->used, p->cores, p->vms,
		    p->coming, p->going, now - vms_listed_ms(h->vms),
		    vms_unreadable(h->vms), p->entitled_vms);
	}
}

/*
 * Logs a division that has changed, at most once a second: for each pool the
 * VMs that it wants, holds and should have, and its cores in time and late.
 */
static void hub_vm_log_division(struct hub *h, int64_t now)
{
	const struct flo_division *d = flo_division(h->flo);
	GString *pools;

	if (d->changed_ms <= h->division_logged_ms ||
	    now - h->division_logged_ms < HUB_POOL_LOG_INTERVAL_MS)
		return;
	h->division_logged_ms = now;
	pools = g_string_new(NULL);
	flo_append_division(h->flo, pools);
	msg(MSG_HUB_DIVISION,
	    "way=%s scarce=%s vms=%u planned=%u begun=%u list_age_ms=%" PRId64
	    "%s",
	    d->way->name, d->scarce ? "yes" : "no", d->vms, d->planned,
	    d->begun, now - vms_listed_ms(h->vms), pools->str);
	g_string_free(pools, TRUE);
}

/* Lets upkeep and pool moves decide by the newest list of VMs. */
static void hub_vm_plan(struct hub *h, int64_t now)
{
	int64_t wall = hub_wall_ms();

	if (!h->leading || now < h->vm_orders_from_ms)
		return;
	upk_tick(h->upk, now, wall);
	flo_tick(h->flo, now, wall);
}

/*
 * Returns when leadership was last confirmed, ms; 0: leadership is being handed
 * over.
 */
static int64_t hub_vm_lead_confirmed_ms(void *arg)
{
	struct hub *h = arg;

	return rep_transfer_pending(h->rep) ? 0 : hub_lead_confirmed_ms(h);
}

/* The list of VMs is complete. */
static void hub_vm_listed(void *arg)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_UPKEEP);

	hub_vm_check_workers(h);
	hub_vm_plan(h, tmr_now(h->tmr));
	cpu_leave(before);
}

/* Finds workers that are over by the newest list of VMs. */
static void hub_vm_check_workers(struct hub *h)
{
	struct evd_moment m = hub_evd_moment(h);
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		int64_t since = wkr_unreachable_since(h->wkr, w);
		struct evd_vm vm;
		struct evd e;

		hub_vm_worker_evidence(h, w, since, &vm);
		if (evd_vm_over(&vm, since, &m, &e))
			hub_remove_lost_worker(h, w, &e);
	}
}

/*
 * Sets out to what the newest list says of a worker that has been unreachable
 * since then; 0: the worker is reachable.
 */
void hub_vm_worker_evidence(const struct hub *h, struct jtb_worker *w,
			    int64_t since, struct evd_vm *out)
{
	const struct vms_vm *current = vms_of_worker(h->vms, w->info.id);
	const struct vms_vm *vm =
		current ? current : vms_last_of_worker(h->vms, w->info.id);
	int64_t asked = vms_listed_ms(h->vms);
	bool counts = !vm && since && since < asked;

	*out = (struct evd_vm){
		.asked_ms = asked,
		.listed = vm != NULL,
		.up = vm && vm->state == VMS_UP,
		.other = vm && !current && *vm->worker,
		.worker_unknown = vms_has_unknown_worker(h->vms),
		/* the first list without it is the one that later ones confirm */
		.absent_ms = evd_absent_ms(&w->absence, !counts, asked, asked),
	};
}

/* The VM service answered an order. */
static void hub_vm_answered(void *arg, enum vms_kind kind, const char *vm,
			    enum vms_answer answer)
{
	struct hub *h = arg;
	const char *worker = kind == VMS_DO_UPKEEP ? upk_worker(h->upk, vm)
						   : flo_worker(h->flo, vm);
	struct jtb_worker *w;

	msg(MSG_HUB_VM, "vm=%s does=%s answer=%s", vm,
	    kind == VMS_DO_UPKEEP ? "upkeep" : "move",
	    hub_vm_answer_names[answer]);
	if (kind == VMS_DO_UPKEEP)
		upk_answered(h->upk, vm, answer, tmr_now(h->tmr));
	else
		flo_answered(h->flo, vm, answer, tmr_now(h->tmr));
	if (answer != VMS_ACCEPTED)
		return;
	/* The lifetime of the worker on that VM is over, with all its runs. */
	w = worker ? jtb_worker(h->jtb, worker) : NULL;
	/*
	 * An order is answered as accepted also if it was carried out before:
	 * it says nothing of a worker that has started again meanwhile.
	 */
	if (w)
		hub_remove_left_worker(h, w, EVD_VM_ORDER,
				       w->restarted_ms ? 0 : tmr_now(h->tmr));
	vms_refresh(h->vms);
}

/* Orders the upkeep of a VM. */
static void hub_vm_order_upkeep(void *arg, struct jtb_wave *w,
				struct jtb_wave_vm *vm)
{
	struct hub *h = arg;

	h->counts[HUB_UPKEEPS]++;
	vms_upkeep(h->vms, vm->vm, w->no);
}

/* Puts a state of a VM's upkeep into the log. */
static void hub_vm_record_upkeep(void *arg, struct jtb_wave *w,
				 struct jtb_wave_vm *vm,
				 enum jtb_vm_state state,
				 const char *worker_before)
{
	struct hub *h = arg;

	h->counts[HUB_UPKEEPS_DONE] += state == JTB_VM_DONE;
	msg(MSG_HUB_WAVE, "wave=%" PRIu64 " vm=%s state=%s worker=%s", w->no,
	    vm->vm, state == JTB_VM_DONE ? "done" : "begins",
	    worker_before ? worker_before : "");
	jtb_put_vm(hub_append_command(h), w->no, vm->vm, state, worker_before);
}

/* Whether a VM is spare now. */
static bool hub_vm_is_spare(void *arg, const char *vm)
{
	const struct hub *h = arg;

	return flo_is_spare(h->flo, vm);
}

/* Whether a worker is reachable. */
static bool hub_vm_is_reachable(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return wkr_is_reachable(h->wkr, w);
}

/* Whether a VM is being moved to another pool. */
static bool hub_vm_is_moving(void *arg, const char *vm)
{
	const struct hub *h = arg;

	return flo_is_moving(h->flo, vm);
}

/* Orders the move of a VM to a pool. */
static void hub_vm_order_move(void *arg, const char *vm, const char *pool)
{
	struct hub *h = arg;

	h->counts[HUB_MOVES]++;
	vms_move(h->vms, vm, pool);
}

/* Whether a run may be stopped to drain its worker. */
static bool hub_vm_may_stop_run(void *arg, const struct jtb_run *run)
{
	const struct hub *h = arg;

	return upk_may_stop(h->upk, run);
}

/* Whether a VM is in upkeep, or will be at once. */
static bool hub_vm_is_pinned(void *arg, const char *vm)
{
	const struct hub *h = arg;

	return upk_is_in_upkeep(h->upk, vm) ||
	       upk_urgent(h->upk, vm, hub_wall_ms());
}

/* Returns the VMs that an operator's floor keeps in a pool now. */
static guint hub_vm_floor(void *arg, const char *pool)
{
	const struct hub *h = arg;

	return ovr_floor(jtb_overrides(h->jtb), pool, hub_wall_ms());
}
