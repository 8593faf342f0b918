#include "sim_int.h"

#include <stdlib.h>

/* The world of a day: VMs, their workers, demand, and work that goes on. */

static void sim_worker_up(struct sim *s, struct sim_vm *m);
static void sim_add_crasher(struct sim *s, const struct jtb_spec *spec);
static void sim_crashers_act(struct sim *s);
static void sim_learn_speed(struct sim *s, const struct sim_run *r);
static void sim_run_end(struct sim *s, guint i, enum jtb_end how);
static void sim_gang_ends(struct sim *s, const struct sim_run *one,
			  enum jtb_end how);
static bool sim_alone(const struct sim *s, const struct sim_run *r);
static void sim_done(struct sim *s, const struct sim_cmd *c);
static void sim_store_one(struct sim *s, const struct sim_cmd *c);
static void sim_put_crash(struct sim *s, struct pk_out *o,
			  const struct sim_cmd *c);
static enum vms_answer sim_take(struct sim *s, const struct sim_vm_order *o);

/* Adds a VM to the world. */
void sim_add_vm(struct sim *s, const char *pool)
{
	struct sim_vm *m = g_new0(struct sim_vm, 1);

	m->vm.name = g_strdup_printf("vm%u", s->machines->len);
	m->vm.pool = g_strdup(pool);
	m->vm.worker = g_strdup("");
	m->vm.cpu = SIM_CPU;
	m->vm.mem_mb = SIM_MEM_MB;
	m->slowness =
		s->config.slow_each &&
				s->machines->len % s->config.slow_each == 0
			? s->config.slowness
			: 1;
	g_ptr_array_add(s->machines, m);
	sim_worker_up(s, m);
}

/* A new lifetime on a VM, unless its pool is switched off. */
static void sim_worker_up(struct sim *s, struct sim_vm *m)
{
	const struct jtb_pool *p = jtb_pool(jtb_config(s->jtb), m->vm.pool);

	m->vm.state = VMS_UP;
	m->cpu = SIM_CPU;
	m->shrunk_ms = 0;
	m->told_ms = 0;
	g_free(m->vm.worker);
	if (p->standby) {
		m->vm.worker = g_strdup("");
		return;
	}
	m->vm.worker = g_strdup_printf("w%" PRIu64, s->next_id++);
	sim_tell(s, m, m->cpu);
}

/* A worker tells of itself. */
void sim_tell(struct sim *s, const struct sim_vm *m, uint32_t cpu)
{
	char rack[16];
	char kind[] = "k";
	char *labels[] = {kind, rack, NULL};
	char addr[] = "127.0.0.1:1";
	char zone[SIM_ZONE_TEXT];
	int no = atoi(m->vm.name + 2) / SIM_RACK;
	struct jtb_worker_info info = {
		.id = m->vm.worker,
		.pool = m->vm.pool,
		.addr = addr,
		.zone = zone,
		.labels = labels,
		.cpu = cpu,
		.mem_mb = SIM_MEM_MB,
	};
	struct pk_out o;

	g_snprintf(rack, sizeof(rack), "r%d", no);
	sim_zone_name(s, (uint64_t)no, zone);
	sim_batch(&o);
	jtb_put_worker(&o, &info);
	sim_apply(s, &o);
}

/* Writes the name of the zone of a rack, or of a caller, by its number. */
void sim_zone_name(const struct sim *s, uint64_t no, char out[SIM_ZONE_TEXT])
{
	g_snprintf(out, SIM_ZONE_TEXT, "z%d",
		   (int)(no % (uint64_t)s->config.zones));
}

/* All that a worker runs ends, and nobody is told. */
void sim_runs_gone(struct sim *s, const char *worker)
{
	guint i;

	for (i = s->runs->len; i > 0; i--) {
		struct sim_run *r = g_ptr_array_index(s->runs, i - 1);

		if (strcmp(r->worker, worker) != 0)
			continue;
		if (r->ends_ms >= 0)
			s->result.wasted += (double)(s->now - r->from_ms) *
					    r->step.cpu / 1e6;
		sim_gang_ends(s, r, JTB_GANG_BROKEN);
		g_ptr_array_remove_index_fast(s->runs, i - 1);
	}
}

/* The lifetime on a VM is over, with all that it runs. */
void sim_worker_down(struct sim *s, struct sim_vm *m)
{
	struct pk_out o;

	if (!*m->vm.worker)
		return;
	sim_runs_gone(s, m->vm.worker);
	m->cut_ms = 0;
	m->given_up = false;
	sim_batch(&o);
	jtb_put_worker_lost(&o, m->vm.worker, true);
	sim_apply(s, &o);
	g_free(m->vm.worker);
	m->vm.worker = g_strdup("");
}

/* What the service that switches VMs would list. */
void sim_list(struct sim *s)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);
		struct vms_vm *vm = g_new0(struct vms_vm, 1);
		const struct jtb_pool *p;

		if (m->vm.state != VMS_UP && s->now >= m->busy_until) {
			if (m->next_pool) {
				g_free(m->vm.pool);
				m->vm.pool = g_steal_pointer(&m->next_pool);
			}
			sim_worker_up(s, m);
		}
		*vm = m->vm;
		vm->name = g_strdup(m->vm.name);
		vm->pool = g_strdup(m->vm.pool);
		vm->worker = g_strdup(m->vm.worker);
		g_ptr_array_add(list, vm);
		p = jtb_pool(jtb_config(s->jtb), m->vm.pool);
		s->result.vm_s += p->standby ? 0 : SIM_LOOK_MS / 1000.0;
	}
	vms_put_list(s->vms, list, s->now + 1);
}

/* Jobs of all pools; one at a time has its turn of high demand. */
void sim_demand(struct sim *s)
{
	int turn = (int)(s->now / s->config.turn_ms) % s->config.pools;
	double mean = s->config.load * s->config.vms * SIM_CPU / 1000.0;
	/* core-seconds of the mean job below */
	const double work = 4.1;
	int p;

	if (s->now > s->config.length_ms - 8000)
		return;
	for (p = 0; p < s->config.pools; p++) {
		double rate = mean / work * (p == turn ? s->config.burst : 0.1);
		double due = rate * 0.1;

		while (due > 0 && g_rand_double(s->rand) < due) {
			sim_submit(s, p, false);
			due -= 1;
		}
	}
}

/* A caller hands a job in. */
void sim_submit(struct sim *s, int pool, bool lasts)
{
	struct jtb_step steps[2] = {0};
	struct jtb_spec spec = {.steps = steps, .n_steps = 1};
	char queue[16];
	char text[] = "t";
	char name[SIM_ORG_TEXT];
	char zone[SIM_ZONE_TEXT];
	int org = lasts ? -1 : sim_org_caller(s);
	struct pk_out o;
	int i;

	g_snprintf(queue, sizeof(queue), "queue%d", pool);
	g_snprintf(spec.id, sizeof(spec.id), "%016" PRIx64, s->next_id++);
	spec.queue = queue;
	spec.text = text;
	sim_zone_name(s, s->next_id, zone);
	spec.zone = zone;
	spec.n_steps = lasts ? 1 : 1 + g_rand_int_range(s->rand, 0, 2);
	for (i = 0; i < (int)spec.n_steps; i++) {
		steps[i] = (struct jtb_step){
			.count = (uint32_t)g_rand_int_range(s->rand, 2, 9),
			.cpu = 500 +
			       (uint32_t)g_rand_int_range(s->rand, 0, 900),
			.mem_mb = 3000,
			.estimate_ms =
				(uint32_t)g_rand_int_range(s->rand, 300, 900),
			.after = i ? 1 : 0,
			.flags = lasts ? JTB_LONG_RUNNING : 0,
			.may_miss = lasts ? 1 : 0,
			.max_per_worker = lasts ? 2 : 0,
		};
	}
	if (!lasts && g_rand_double(s->rand) < s->config.gangs)
		steps[0].flags |= JTB_GANG;
	if (!lasts && g_rand_double(s->rand) < s->config.repeats) {
		spec.repeats = 3;
		spec.first_ms = SIM_EPOCH_MS + s->now + 500;
		spec.every_ms = 3000;
	}
	if (org == -2 || !sim_org_takes(s, org, &spec))
		return;
	if (org >= 0) {
		g_snprintf(name, sizeof(name), "org%d", org);
		spec.org = name;
	}
	if (g_rand_double(s->rand) < s->config.crashers)
		sim_add_crasher(s, &spec);
	sim_batch(&o);
	jtb_put_job(&o, &spec, SIM_EPOCH_MS + s->now);
	sim_apply(s, &o);
	s->accepted++;
}

/* One task of a job crashes its worker, in each of its turns. */
static void sim_add_crasher(struct sim *s, const struct jtb_spec *spec)
{
	struct jtb_name n = {.step = (uint32_t)g_rand_int_range(
				     s->rand, 0, (gint32)spec->n_steps)};
	char text[JTB_ID_MAX + 40];

	n.index = (uint32_t)g_rand_int_range(s->rand, 0,
					     (gint32)spec->steps[n.step].count);
	g_strlcpy(n.id, spec->id, sizeof(n.id));
	jtb_name_format(&n, text, sizeof(text));
	g_hash_table_insert(s->crashers, g_strdup(text),
			    g_new0(struct sim_crasher, 1));
}

/* What is kept of a task that crashes its worker; NULL: it doesn't. */
struct sim_crasher *sim_crasher_of(const struct sim *s,
				   const struct jtb_name *n)
{
	struct jtb_name first = *n;
	struct sim_crasher *c;
	char text[JTB_ID_MAX + 40];

	first.turn = 0;
	jtb_name_format(&first, text, sizeof(text));
	if (!g_hash_table_contains(s->crashers, text))
		return NULL;
	jtb_name_format(n, text, sizeof(text));
	c = g_hash_table_lookup(s->crashers, text);
	if (!c) {
		c = g_new0(struct sim_crasher, 1);
		g_hash_table_insert(s->crashers, g_strdup(text), c);
	}
	return c;
}

/* Whether a task of a job crashes its worker. */
bool sim_has_crasher(const struct sim *s, const struct jtb_job *job)
{
	struct jtb_name n = {0};

	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.step = 0; n.step < job->spec.n_steps; n.step++)
		for (n.index = 0; n.index < job->spec.steps[n.step].count;
		     n.index++)
			if (sim_crasher_of(s, &n))
				return true;
	return false;
}

/* Workers crash under the tasks that do that. */
static void sim_crashers_act(struct sim *s)
{
	guint i;

	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *r = g_ptr_array_index(s->runs, i);
		struct sim_crasher *c;

		if (s->now - r->from_ms != s->config.crash_ms)
			continue;
		c = sim_crasher_of(s, &r->name);
		if (!c)
			continue;
		c->crashes++;
		sim_vm_crashes(s, sim_vm_of(s, r->worker), JTB_LOST);
		/* its runs are gone from the list */
		i = 0;
	}
}

/* What workers do by themselves in one step of time. */
void sim_progress(struct sim *s)
{
	guint i;

	sim_crashers_act(s);
	for (i = s->runs->len; i > 0; i--) {
		struct sim_run *r = g_ptr_array_index(s->runs, i - 1);
		struct jtb_run *known =
			jtb_find_run(s->jtb, &r->name, r->attempt, r->worker);

		if (known && s->now % SIM_SEEN_MS == 0) {
			known->last_running_ms = s->now + SIM_PLAN_MS;
			if (!known->first_running_ms)
				known->first_running_ms =
					known->last_running_ms;
		}
		if (known) {
			known->percent = s->now - r->from_ms >= SIM_LASTING_MS
						 ? 100
						 : 50;
			known->progress_ms = s->now;
		}
		if (r->stop_ms && s->now >= r->stop_ms)
			sim_run_end(s, i - 1, r->stop_how);
		else if (sim_alone(s, r))
			sim_run_end(s, i - 1, JTB_GANG_INCOMPLETE);
		else if (r->ends_ms >= 0 && s->now >= r->ends_ms)
			sim_run_end(s, i - 1,
				    r->fails ? JTB_FAILED_RUN : JTB_DONE);
	}
}

/* The leader learns how long a task took on its worker. */
static void sim_learn_speed(struct sim *s, const struct sim_run *r)
{
	struct jtb_worker *w = jtb_worker(s->jtb, r->worker);
	const struct jtb_job *job = jtb_job(s->jtb, r->name.id);

	if (w && job)
		slw_record(&w->speed, r->step.estimate_ms, s->now - r->from_ms,
			   job->seq, s->now + SIM_PLAN_MS);
}

/* The run at that place ends; the table learns so through the log. */
static void sim_run_end(struct sim *s, guint i, enum jtb_end how)
{
	struct sim_run *r = g_ptr_array_index(s->runs, i);
	bool late = g_rand_double(s->rand) < s->config.late_ends;

	if (how == JTB_DONE && !s->config.ignore_speed)
		sim_learn_speed(s, r);
	if (how != JTB_DONE && r->ends_ms >= 0)
		s->result.wasted +=
			(double)(s->now - r->from_ms) * r->step.cpu / 1e6;
	sim_propose(s, SIM_CMD_END, &r->name, r->attempt, how, r->worker,
		    SIM_LOG_MS + (late ? SIM_AGAIN_MS : 0));
	sim_gang_ends(s, r, how == JTB_DONE ? JTB_DONE : JTB_GANG_BROKEN);
	g_ptr_array_remove_index_fast(s->runs, i);
}

/* The others of a gang end with one of it, in the next step of time. */
static void sim_gang_ends(struct sim *s, const struct sim_run *one,
			  enum jtb_end how)
{
	guint i;

	for (i = 0; one->step.flags & JTB_GANG && i < s->runs->len; i++) {
		struct sim_run *r = g_ptr_array_index(s->runs, i);

		if (r == one || r->attempt != one->attempt ||
		    r->name.turn != one->name.turn ||
		    r->name.step != one->name.step || r->stop_ms ||
		    strcmp(r->name.id, one->name.id) != 0)
			continue;
		r->stop_ms = s->now + SIM_STEP_MS;
		r->stop_how = how;
	}
}

/* Whether a gang's member waits in vain for others. */
static bool sim_alone(const struct sim *s, const struct sim_run *r)
{
	uint32_t there = 0;
	guint i;

	if (!(r->step.flags & JTB_GANG) || s->now - r->from_ms != SIM_ALONE_MS)
		return false;
	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *o = g_ptr_array_index(s->runs, i);

		there += o->attempt == r->attempt &&
			 o->name.turn == r->name.turn &&
			 o->name.step == r->name.step &&
			 strcmp(o->name.id, r->name.id) == 0;
	}
	return there < r->step.count;
}

/* Puts a command into the log. */
void sim_propose(struct sim *s, enum sim_cmd_kind kind,
		 const struct jtb_name *name, uint32_t attempt,
		 enum jtb_end how, const char *worker, int64_t after_ms)
{
	struct sim_cmd *c = g_new0(struct sim_cmd, 1);

	*c = (struct sim_cmd){
		.kind = kind,
		.due_ms = s->now + after_ms,
		.name = *name,
		.attempt = attempt,
		.how = how,
		.worker = g_strdup(worker),
		.wall_ms = SIM_EPOCH_MS + s->now,
	};
	g_ptr_array_add(s->log, c);
}

/* Stores what is due; of a worker that is cut off nobody hears an end. */
void sim_store(struct sim *s)
{
	guint i = 0;

	while (i < s->log->len) {
		struct sim_cmd *c = g_ptr_array_index(s->log, i);

		if (c->due_ms > s->now ||
		    (c->kind == SIM_CMD_END && sim_is_cut(s, c->worker))) {
			i++;
			continue;
		}
		g_ptr_array_steal_index(s->log, i);
		sim_store_one(s, c);
		sim_cmd_free(c);
	}
}

/* Stores one command. */
static void sim_store_one(struct sim *s, const struct sim_cmd *c)
{
	struct pk_out o;

	sim_batch(&o);
	switch (c->kind) {
	case SIM_CMD_START:
		jtb_put_start(&o, &c->name, c->attempt, c->worker);
		break;
	case SIM_CMD_END:
		jtb_put_end(&o, c->worker, s->next_id++, &c->name, c->attempt,
			    c->how, lstr_n("", 0), c->wall_ms);
		sim_done(s, c);
		break;
	case SIM_CMD_LAPSE:
		jtb_put_worker_lost(&o, c->worker, false);
		break;
	case SIM_CMD_CRASH:
		sim_put_crash(s, &o, c);
		break;
	case SIM_CMD_STOP:
		jtb_put_stop(&o, &c->name, c->attempt, c->worker);
		break;
	}
	sim_apply(s, &o);
	if (c->kind == SIM_CMD_STOP)
		sim_run_stops(s, c);
	if (c->kind == SIM_CMD_START)
		sim_run_new(s, &c->name, c->attempt, c->worker);
}

/* The leader notices a crash. */
static void sim_put_crash(struct sim *s, struct pk_out *o,
			  const struct sim_cmd *c)
{
	struct jtb_worker *w = jtb_worker(s->jtb, c->worker);
	struct jtb_blame b;
	guint i;

	if (!w) {
		jtb_put_worker_lost(o, c->worker, true);
		return;
	}
	for (i = 0; c->how == JTB_LEASE_EXPIRED && i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		g_hash_table_add(s->unlucky, g_strdup(run->job->spec.id));
	}
	crs_record_loss(s->crs, w, true, s->now, &b);
	jtb_put_worker_crashed(o, c->worker, true, &b, SIM_EPOCH_MS + s->now);
	jtb_blame_clear(&b);
}

/*
 * Notes a task as done once its worker's report of that is stored; one task of a
 * gang stands for all. The report counts also if the run had lapsed before it.
 */
static void sim_done(struct sim *s, const struct sim_cmd *c)
{
	const struct jtb_step *step;
	struct jtb_name n = c->name;
	char text[JTB_ID_MAX + 40];

	if (c->how != JTB_DONE || !jtb_worker(s->jtb, c->worker))
		return;
	step = &jtb_job(s->jtb, n.id)->spec.steps[n.step];
	for (n.index = 0; n.index < step->count; n.index++) {
		if (n.index != c->name.index && !(step->flags & JTB_GANG))
			continue;
		jtb_name_format(&n, text, sizeof(text));
		g_hash_table_add(s->done, g_strdup(text));
	}
}

/* Frees a command. */
void sim_cmd_free(gpointer p)
{
	struct sim_cmd *c = p;

	g_free(c->worker);
	g_free(c);
}

/* Frees a run. */
void sim_run_free(gpointer p)
{
	struct sim_run *r = p;

	g_free(r->worker);
	g_free(r);
}

/* The VM of that name, or NULL. */
struct sim_vm *sim_vm_named(struct sim *s, const char *name)
{
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		if (strcmp(m->vm.name, name) == 0)
			return m;
	}
	g_assert_not_reached();
}

/* The VM that a worker is on, or NULL: that lifetime is over. */
struct sim_vm *sim_vm_of(const struct sim *s, const char *worker)
{
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		if (strcmp(m->vm.worker, worker) == 0)
			return m;
	}
	return NULL;
}

/* The service that switches VMs gets an order, and does it after a while. */
static enum vms_answer sim_take(struct sim *s, const struct sim_vm_order *o)
{
	struct sim_vm *m = sim_vm_named(s, o->vm);

	if (o->fence < m->fence)
		sim_broken(s, SIM_ONE, o->vm);
	m->fence = MAX(m->fence, o->fence);
	if (m->vm.state != VMS_UP)
		return VMS_BUSY;
	s->result.moves += o->pool != NULL;
	s->result.upkeeps += o->pool == NULL;
	sim_worker_down(s, m);
	m->vm.state = o->pool ? VMS_MOVING : VMS_UPKEEP;
	m->busy_until = s->now + (o->pool ? SIM_MOVE_MS : SIM_UPKEEP_MS);
	if (o->pool)
		m->next_pool = g_strdup(o->pool);
	return VMS_ACCEPTED;
}

/* The leader orders a VM to a pool, or its upkeep (NULL). */
enum vms_answer sim_vm_order(struct sim *s, const char *vm, const char *pool)
{
	struct sim_vm_order *o = g_new0(struct sim_vm_order, 1);
	enum vms_answer answer = VMS_UNANSWERED;

	o->vm = g_strdup(vm);
	o->pool = g_strdup(pool);
	o->fence = s->fence;
	o->comes_ms = s->now + SIM_HEALS_MS;
	if (s->cut) {
		g_ptr_array_add(s->held, o);
		return answer;
	}
	answer = sim_take(s, o);
	sim_order_free(o);
	return answer;
}

/* Orders whose cut has healed arrive. */
void sim_held_come(struct sim *s)
{
	while (s->held->len) {
		struct sim_vm_order *o = g_ptr_array_index(s->held, 0);

		if (s->now < o->comes_ms)
			return;
		sim_take(s, o);
		g_ptr_array_remove_index(s->held, 0);
	}
}

/* Frees an order. */
void sim_order_free(gpointer p)
{
	struct sim_vm_order *o = p;

	g_free(o->vm);
	g_free(o->pool);
	g_free(o);
}
