#include "upk.h"

#include "msg.h"

/*
 * From closing a worker to new work until its successor takes some: the rest
 * of its runs, the upkeep itself and the new worker's first word, ms.
 */
#define UPK_CYCLE_MS 7000
/* Kept of a wave's time for what goes wrong, as a share of it. */
#define UPK_SPARE 4
/* An order without a good answer is given again after so long, ms. */
#define UPK_AGAIN_MS 600
/* A worker kept free for work that lasts goes last for so long, ms. */
#define UPK_KEPT_MS 1000
/*
 * A VM from which nothing could be taken for so long is given back: what lasts
 * on it must wait for more of its kind, which may have no other place to go, ms.
 */
#define UPK_STUCK_MS 3000
/* Work that isn't done by then is stopped, and done again elsewhere, ms. */
#define UPK_PATIENCE_MS 2500

/*
 * A VM that no list has shown for so long never comes back, ms. One that has
 * just been switched on may be due before it is listed.
 */
#define UPK_MISSING_MS 5000

/* A VM that is being emptied or is down. */
struct upk_job {
	char *vm;
	char *worker; /* lifetime that its order ends */
	char *later; /* another that came up before that; or NULL */
	uint64_t wave;
	int64_t from_ms;
	int64_t moved_ms; /* when its runs last grew fewer */
	guint runs; /* that it had then */
	int64_t ordered_ms; /* 0: not yet */
	int64_t agreed_ms; /* when the answer was yes; 0: not yet */
	bool noted; /* its order is in the table, or on its way there */
	bool fenced; /* a later leader has taken it over */
	bool over; /* its end is on its way to the table */
	bool back; /* it can't be emptied now, and is given back */
};

/* A VM whose upkeep may begin. */
struct upk_pick {
	const struct vms_vm *vm;
	double cost;
	guint place; /* in its wave: the first goes first */
};

struct upk {
	struct jtb *jtb;
	const struct vms *vms;
	const struct upk_ops *ops;
	void *arg;
	GPtrArray *jobs; /* struct upk_job */
	GHashTable *by_vm; /* the same, by their VM's name */
	GHashTable *missing; /* VM: when it was first missed, int64_t */
};

static void upk_job_free(gpointer p);
static struct upk_job *upk_job_of(const struct upk *u, const char *vm);
static struct upk_job *upk_own(const struct upk *u, const struct jtb_wave *w,
			       const char *vm);
static void upk_ordered(const struct jtb_wave *w, GHashTable *ids);
static bool upk_unlisted(const struct upk *u, const struct upk_job *j);
static void upk_close_unlisted(const struct upk *u, GHashTable *ids);
static bool upk_another_came(const struct upk *u, struct upk_job *j,
			     int64_t now);
static void upk_wave(struct upk *u, struct jtb_wave *w, int64_t now,
		     int64_t wall);
static void upk_drop_done(struct upk *u);
static void upk_settle(struct upk *u, struct jtb_wave *w, int64_t now);
static bool upk_missing(struct upk *u, const char *vm, bool listed,
			int64_t now);
static uint32_t upk_wanted(const struct jtb_wave *w, uint32_t left,
			   int64_t wall);
static uint32_t upk_begin(struct upk *u, struct jtb_wave *w, uint32_t most,
			  bool spared, int64_t now);
static int upk_pick_order(gconstpointer a, gconstpointer b);
static struct upk_job *upk_job_new(struct upk *u, const struct jtb_wave *w,
				   const char *vm, const char *worker,
				   int64_t now);
static double upk_cost(const struct upk *u, const struct vms_vm *vm,
		       int64_t now);
static void upk_empty(struct upk *u, struct jtb_wave *w, struct upk_job *j,
		      struct jtb_wave_vm *v, int64_t now);
static void upk_clear(struct upk *u, struct jtb_worker *w, int64_t waited);
static bool upk_stuck(struct upk_job *j, const struct jtb_worker *w,
		      int64_t now);
static bool upk_bound(const struct upk *u, const struct jtb_worker *w);

/* Waves of jtb's table over the VMs of vms; both must outlive it. */
struct upk *upk_new(struct jtb *jtb, const struct vms *vms,
		    const struct upk_ops *ops, void *arg)
{
	struct upk *u = g_new0(struct upk, 1);

	u->jtb = jtb;
	u->vms = vms;
	u->ops = ops;
	u->arg = arg;
	u->jobs = g_ptr_array_new_with_free_func(upk_job_free);
	u->by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	u->missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return u;
}

/* Frees it. */
void upk_free(struct upk *u)
{
	if (!u)
		return;
	g_hash_table_destroy(u->by_vm);
	g_ptr_array_free(u->jobs, TRUE);
	g_hash_table_destroy(u->missing);
	g_free(u);
}

/* A new leader begins with what the table says. */
void upk_lead(struct upk *u)
{
	g_hash_table_remove_all(u->by_vm);
	g_ptr_array_set_size(u->jobs, 0);
	g_hash_table_remove_all(u->missing);
}

/* Goes on with all waves; the list of VMs should be young. */
void upk_tick(struct upk *u, int64_t now_ms, int64_t wall_ms)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	if (!vms_listed_ms(u->vms))
		return;
	upk_drop_done(u);
	for (i = 0; i < waves->len; i++) {
		struct jtb_wave *w = g_ptr_array_index(waves, i);

		if (!w->completed)
			upk_wave(u, w, now_ms, wall_ms);
	}
}

/* Lets go of VMs that the table has as done, or that can't be emptied. */
static void upk_drop_done(struct upk *u)
{
	guint i;

	for (i = u->jobs->len; i > 0; i--) {
		const struct upk_job *j = g_ptr_array_index(u->jobs, i - 1);
		const struct jtb_wave *w = jtb_wave(u->jtb, j->wave);
		const struct jtb_wave_vm *v =
			w ? jtb_wave_find(w, j->vm) : NULL;

		if (v && v->state != JTB_VM_DONE && !j->back)
			continue;
		g_hash_table_remove(u->by_vm, j->vm);
		g_ptr_array_remove_index_fast(u->jobs, i - 1);
	}
}

/* The service answered an order. */
void upk_answered(struct upk *u, const char *vm, enum vms_answer answer,
		  int64_t now_ms)
{
	struct upk_job *j = upk_job_of(u, vm);

	if (!j)
		return;
	if (answer == VMS_FENCED)
		j->fenced = true;
	else if (answer == VMS_YES && !j->agreed_ms)
		j->agreed_ms = now_ms;
}

/* The lifetime on a VM whose upkeep was ordered; NULL: it wasn't. */
const char *upk_worker(const struct upk *u, const char *vm)
{
	const struct upk_job *j = upk_job_of(u, vm);

	return j && j->noted ? j->worker : NULL;
}

/* Whether a VM is being emptied or down for its upkeep. */
bool upk_holds(const struct upk *u, const char *vm)
{
	return upk_job_of(u, vm) != NULL;
}

/* Whether a VM waits in a wave that has little time left for the rest. */
bool upk_urgent(const struct upk *u, const char *vm, int64_t wall_ms)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	for (i = 0; i < waves->len; i++) {
		const struct jtb_wave *w = g_ptr_array_index(waves, i);
		const struct jtb_wave_vm *v;

		if (w->completed ||
		    w->from_ms + w->within_ms - wall_ms >= 2 * UPK_CYCLE_MS)
			continue;
		v = jtb_wave_find(w, vm);
		if (v && v->state == JTB_VM_WAITING)
			return true;
	}
	return false;
}

/* Whether any wave isn't completed. */
bool upk_busy(const struct upk *u)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	for (i = 0; i < waves->len; i++) {
		const struct jtb_wave *w = g_ptr_array_index(waves, i);

		if (!w->completed)
			return true;
	}
	return false;
}

/* Whether a worker's VM is yet to have its upkeep in a wave. */
bool upk_due(const struct upk *u, const char *worker)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	const struct vms_vm *vm = vms_of_worker(u->vms, worker);
	guint i;

	for (i = 0; vm && i < waves->len; i++) {
		const struct jtb_wave *w = g_ptr_array_index(waves, i);
		const struct jtb_wave_vm *v =
			w->completed ? NULL : jtb_wave_find(w, vm->name);

		if (v && v->state == JTB_VM_WAITING)
			return true;
	}
	return false;
}

/*
 * Adds the ids of workers that get nothing new since they are being emptied to
 * a set, which borrows them until upk is told or looks at anything again, or a
 * worker leaves the table.
 */
void upk_closed(const struct upk *u, GHashTable *ids)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	bool unlisted = false;
	guint i;

	for (i = 0; i < u->jobs->len; i++) {
		const struct upk_job *j = g_ptr_array_index(u->jobs, i);

		g_hash_table_add(ids, j->worker);
		if (j->later)
			g_hash_table_add(ids, j->later);
		unlisted |= upk_unlisted(u, j);
	}
	if (unlisted)
		upk_close_unlisted(u, ids);
	/* A leader before us may have ordered it, and be heard late. */
	for (i = 0; i < waves->len; i++)
		upk_ordered(g_ptr_array_index(waves, i), ids);
}

/*
 * Whether a VM's order may yet be carried out while nobody knows what has come
 * up on it: it went down by itself before its order was agreed to.
 */
static bool upk_unlisted(const struct upk *u, const struct upk_job *j)
{
	const struct vms_vm *vm = vms_find(u->vms, j->vm);
	const struct jtb_pool *p =
		vm ? jtb_pool(jtb_config(u->jtb), vm->pool) : NULL;

	if (!j->noted || j->agreed_ms || j->over || (p && p->standby))
		return false;
	return !vm || !*vm->worker;
}

/*
 * Adds the workers that no list shows yet: one of them may be on such a VM, and
 * its work would be thrown away with it. They wait for the next list only.
 */
static void upk_close_unlisted(const struct upk *u, GHashTable *ids)
{
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(u->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (!vms_of_worker(u->vms, w->info.id))
			g_hash_table_add(ids, w->info.id);
}

/* Adds the workers of a wave's VMs whose upkeep was ordered. */
static void upk_ordered(const struct jtb_wave *w, GHashTable *ids)
{
	guint i;

	for (i = 0; !w->completed && i < w->vms->len; i++) {
		const struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);

		if (v->state == JTB_VM_BEGUN && v->worker_before)
			g_hash_table_add(ids, v->worker_before);
	}
}

/*
 * Whether we may end a run of work that lasts. Work that names no number loses
 * one task at a time.
 */
bool upk_may_stop(const struct upk *u, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];

	return !(s->flags & JTB_LONG_RUNNING) ||
	       upk_away(u, run) < MAX(1, s->may_miss);
}

/*
 * How many other tasks of a run's step are away, for whatever cause; one that
 * has just begun isn't at work yet.
 */
uint32_t upk_away(const struct upk *u, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	const struct jtb_step_state *part =
		&run->job->turns[run->turn].steps[run->step];
	uint32_t away = 0;
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		const struct jtb_run *other = part->tasks[i].run;

		if (other == run)
			continue;
		if (!other || jtb_run_is_stopping(other) ||
		    other->percent < 100 ||
		    !u->ops->reached(u->arg, other->worker))
			away++;
	}
	return away;
}

/* Frees what is kept of a wave's VM. */
static void upk_job_free(gpointer p)
{
	struct upk_job *j = p;

	g_free(j->vm);
	g_free(j->worker);
	g_free(j->later);
	g_free(j);
}

/* What is kept of a wave's VM, or NULL. */
static struct upk_job *upk_job_of(const struct upk *u, const char *vm)
{
	return g_hash_table_lookup(u->by_vm, vm);
}

/* Begins to empty a VM, or goes on with what an earlier leader began. */
static struct upk_job *upk_job_new(struct upk *u, const struct jtb_wave *w,
				   const char *vm, const char *worker,
				   int64_t now)
{
	struct upk_job *j = g_new0(struct upk_job, 1);

	j->vm = g_strdup(vm);
	j->worker = g_strdup(worker);
	j->wave = w->no;
	j->from_ms = now;
	g_ptr_array_add(u->jobs, j);
	g_hash_table_insert(u->by_vm, j->vm, j);
	return j;
}

/*
 * The same, if this wave has begun it: a VM that two waves name is in the hands
 * of one at a time.
 */
static struct upk_job *upk_own(const struct upk *u, const struct jtb_wave *w,
			       const char *vm)
{
	struct upk_job *j = upk_job_of(u, vm);

	return j && j->wave == w->no ? j : NULL;
}

/* Goes on with one wave. */
static void upk_wave(struct upk *u, struct jtb_wave *w, int64_t now,
		     int64_t wall)
{
	uint32_t left = 0;
	uint32_t open = 0;
	uint32_t want;
	guint i;

	upk_settle(u, w, now);
	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);
		struct upk_job *j = upk_own(u, w, v->vm);

		left += v->state != JTB_VM_DONE;
		open += j != NULL || v->state == JTB_VM_BEGUN;
		if (j)
			upk_empty(u, w, j, v, now);
	}
	want = upk_wanted(w, left, wall);
	if (open < want)
		open += upk_begin(u, w, want - open, false, now);
	/* one a tick: what is closed counts as missing from the next tick on */
	if (open < w->at_once)
		upk_begin(u, w, 1, true, now);
}

/*
 * Compares the table with the list: a VM whose upkeep was agreed to is through
 * once it is up again, and one that isn't listed any more never comes back.
 * Orders of an earlier leader are given again: only the answer tells whether
 * they were heard, and a second one does nothing.
 */
static void upk_settle(struct upk *u, struct jtb_wave *w, int64_t now)
{
	guint i;

	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);
		const struct vms_vm *vm = vms_find(u->vms, v->vm);
		struct upk_job *j = upk_own(u, w, v->vm);
		bool over = false;

		if (v->state == JTB_VM_DONE)
			continue;
		if (upk_missing(u, v->vm, vm != NULL, now))
			over = true;
		else if (vm && v->state == JTB_VM_BEGUN && vm->state == VMS_UP)
			over = j && j->agreed_ms &&
			       vms_listed_ms(u->vms) > j->agreed_ms;
		if (over && (!j || !j->over)) {
			/* kept until the table has it: it would be begun anew */
			if (j)
				j->over = true;
			u->ops->note(u->arg, w, v, JTB_VM_DONE, NULL);
		} else if (v->state == JTB_VM_BEGUN && !upk_job_of(u, v->vm)) {
			j = upk_job_new(
				u, w, v->vm,
				v->worker_before ? v->worker_before : "", now);
			j->noted = true;
		}
	}
}

/* Whether a VM has been missing for so long that it is gone for good. */
static bool upk_missing(struct upk *u, const char *vm, bool listed, int64_t now)
{
	int64_t *since = g_hash_table_lookup(u->missing, vm);

	if (listed) {
		g_hash_table_remove(u->missing, vm);
		return false;
	}
	if (since)
		return now - *since > UPK_MISSING_MS;
	g_hash_table_insert(u->missing, g_strdup(vm),
			    g_memdup2(&now, sizeof(now)));
	return false;
}

/*
 * How many VMs should be on their way now: as few as end the wave in time,
 * since each is missing to its pool meanwhile. Those that nobody would miss
 * are not counted here: they go as soon as they are idle, so that few are left
 * for the time of the next burst.
 */
static uint32_t upk_wanted(const struct jtb_wave *w, uint32_t left,
			   int64_t wall)
{
	int64_t rest =
		w->from_ms + w->within_ms - w->within_ms / UPK_SPARE - wall;
	int64_t rounds = rest / UPK_CYCLE_MS;
	uint32_t want;

	if (rounds < 1)
		return MIN(left, w->at_once);
	want = (uint32_t)((left + rounds - 1) / rounds);
	return MIN(MIN(want, left), w->at_once);
}

/*
 * Closes the VMs that are missed least to new work, so many at most; returns how
 * many. spared: only such as nobody would miss. The wave is looked through once
 * for all of them: once for each held the loop up when a wave of hundreds began.
 */
static uint32_t upk_begin(struct upk *u, struct jtb_wave *w, uint32_t most,
			  bool spared, int64_t now)
{
	GArray *picks = g_array_new(FALSE, FALSE, sizeof(struct upk_pick));
	uint32_t n = 0;
	guint i;

	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);
		const struct vms_vm *vm = vms_find(u->vms, v->vm);
		struct upk_pick pick = {.vm = vm, .place = i};

		if (v->state != JTB_VM_WAITING || !vm || vm->state != VMS_UP ||
		    upk_job_of(u, v->vm) || u->ops->held(u->arg, v->vm) ||
		    (spared && !u->ops->spared(u->arg, v->vm)))
			continue;
		pick.cost = upk_cost(u, vm, now);
		g_array_append_val(picks, pick);
	}
	g_array_sort(picks, upk_pick_order);
	for (i = 0; i < picks->len && n < most; i++) {
		const struct vms_vm *vm =
			g_array_index(picks, struct upk_pick, i).vm;

		/* a wave may name a VM twice */
		if (upk_job_of(u, vm->name) ||
		    upk_bound(u, jtb_worker(u->jtb, vm->worker)))
			continue;
		upk_job_new(u, w, vm->name, vm->worker, now);
		n++;
	}
	g_array_free(picks, TRUE);
	return n;
}

/* Those missed least come first. */
static int upk_pick_order(gconstpointer a, gconstpointer b)
{
	const struct upk_pick *x = a;
	const struct upk_pick *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return (x->place > y->place) - (x->place < y->place);
}

/* What emptying a VM costs: work that lasts must begin elsewhere. */
static double upk_cost(const struct upk *u, const struct vms_vm *vm,
		       int64_t now)
{
	const struct jtb_worker *w = jtb_worker(u->jtb, vm->worker);
	double cost = 0;
	guint i;

	if (!w)
		return 0;
	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		cost += s->flags & JTB_LONG_RUNNING ? 4 : 1;
	}
	/* kept free for work that lasts, which would wait anew elsewhere */
	if (w->reserved_ms && now - w->reserved_ms < UPK_KEPT_MS)
		cost += 100;
	return cost + (double)w->used_cpu / MAX(1, w->info.cpu);
}

/* Empties a VM; orders its upkeep when nothing is left on it. */
static void upk_empty(struct upk *u, struct jtb_wave *w, struct upk_job *j,
		      struct jtb_wave_vm *v, int64_t now)
{
	const struct vms_vm *vm = vms_find(u->vms, j->vm);
	struct jtb_worker *worker;

	if (j->fenced || j->over || upk_another_came(u, j, now))
		return;
	worker = jtb_worker(u->jtb, j->later ? j->later : j->worker);
	/* also a start that was on its way when the worker was closed */
	if (worker && worker->runs->len && !j->agreed_ms) {
		upk_clear(u, worker, now - j->from_ms);
		/* given back with the next look at what is kept */
		j->back = !j->noted && upk_bound(u, worker) &&
			  upk_stuck(j, worker, now);
		return;
	}
	if (!j->noted) {
		if (!vm || vm->state != VMS_UP)
			return;
		j->noted = true;
		u->ops->note(u->arg, w, v, JTB_VM_BEGUN, j->worker);
		return;
	}
	if (v->state == JTB_VM_BEGUN && !j->agreed_ms &&
	    (!j->ordered_ms || now - j->ordered_ms > UPK_AGAIN_MS)) {
		j->ordered_ms = now;
		u->ops->order(u->arg, w, v);
	}
}

/*
 * Whether another lifetime came up by itself on a VM that is being emptied: it
 * must be emptied anew. Also after the order was given, as nobody knows when it
 * is carried out until it is agreed to; then it is the order's own doing.
 */
static bool upk_another_came(const struct upk *u, struct upk_job *j,
			     int64_t now)
{
	const struct vms_vm *vm = vms_find(u->vms, j->vm);
	char **is = j->noted ? &j->later : &j->worker;

	if (!vm || !*vm->worker || j->agreed_ms ||
	    strcmp(vm->worker, j->worker) == 0 ||
	    g_strcmp0(vm->worker, *is) == 0)
		return false;
	g_free(*is);
	*is = g_strdup(vm->worker);
	j->from_ms = now;
	return true;
}

/*
 * Stops what runs on a worker: what lasts as soon as it may, the rest when
 * it took too long.
 */
static void upk_clear(struct upk *u, struct jtb_worker *w, int64_t waited)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		if (jtb_run_is_stopping(run))
			continue;
		if (s->flags & JTB_LONG_RUNNING ? upk_may_stop(u, run)
						: waited > UPK_PATIENCE_MS)
			u->ops->stop(u->arg, run, "upkeep");
	}
}

/* Whether no run has left a worker for a while. */
static bool upk_stuck(struct upk_job *j, const struct jtb_worker *w,
		      int64_t now)
{
	if (!j->moved_ms || w->runs->len < j->runs) {
		j->moved_ms = now;
		j->runs = w->runs->len;
	}
	return now - j->moved_ms > UPK_STUCK_MS;
}

/*
 * Whether something that lasts runs on a worker and can't be ended now: others
 * of its step are away. To close its VM would help nobody, and may leave those
 * others no place to go, so that neither they nor the wave ever go on.
 */
static bool upk_bound(const struct upk *u, const struct jtb_worker *w)
{
	guint i;

	for (i = 0; w && i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!jtb_run_is_stopping(run) && !upk_may_stop(u, run))
			return true;
	}
	return false;
}
