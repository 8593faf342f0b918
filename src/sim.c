#include "sim_int.h"

static void sim_open(struct sim *s);
static void sim_close(struct sim *s);
static void sim_plan(struct sim *s);
static bool sim_usable(void *arg, const struct jtb_worker *w);
static bool sim_leaving(void *arg, const struct jtb_worker *w);
static bool sim_rack_lost(void *arg, const struct jtb_worker *w);
static void sim_starved(void *arg, const char *pool);
static void sim_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w);
static void sim_stop(void *arg, struct jtb_run *run, const char *why);
static void sim_told_stop(struct sim *s, const struct jtb_name *n,
			  uint32_t attempt);
static void sim_order_upkeep(void *arg, struct jtb_wave *w,
			     struct jtb_wave_vm *vm);
static void sim_note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
		     enum jtb_vm_state state, const char *worker_before);
static bool sim_moving(void *arg, const char *vm);
static bool sim_spared(void *arg, const char *vm);
static bool sim_reached(void *arg, const struct jtb_worker *w);
static void sim_move(void *arg, const char *vm, const char *pool);
static bool sim_may_stop(void *arg, const struct jtb_run *run);
static bool sim_held(void *arg, const char *vm);
static int64_t sim_seen_ms(void *arg, const struct jtb_run *run);
static bool sim_rack_silent(void *arg, const struct jtb_worker *w);

static const struct upk_ops sim_upk_ops = {
	.stop = sim_stop,
	.order = sim_order_upkeep,
	.note = sim_note,
	.is_moving = sim_moving,
	.is_spare = sim_spared,
	.is_reachable = sim_reached,
};

static const struct flo_ops sim_flo_ops = {
	.order = sim_move,
	.stop = sim_stop,
	.may_stop = sim_may_stop,
	.is_reachable = sim_reached,
	.is_pinned = sim_held,
};

static const struct crs_ops sim_crs_ops = {
	.observed_ms = sim_seen_ms,
	.rack_unreachable = sim_rack_silent,
};

static const char *const sim_rules[SIM_RULES] = {
	[SIM_LIMIT] = "limit",	   [SIM_TWICE] = "twice",
	[SIM_ORDER] = "order",	   [SIM_ROUTE] = "route",
	[SIM_BUDGET] = "budget",   [SIM_MIXED] = "mixed",
	[SIM_UNASKED] = "unasked", [SIM_AVAIL] = "avail",
	[SIM_IDLE] = "idle",	   [SIM_LOST] = "lost",
	[SIM_ONE] = "one",	   [SIM_QUOTA] = "quota",
	[SIM_KEY] = "key",
};

/* A day like those of the users' sites, with some of every trouble. */
struct sim_config sim_defaults(uint64_t seed)
{
	return (struct sim_config){
		.seed = seed,
		.length_ms = 40000,
		.pools = 4,
		.vms = 10,
		.spare = 8,
		.load = 0.45,
		.burst = 4,
		.turn_ms = 4500,
		.fail = 0.03,
		.guess_off = 0.5,
		.crashes = 6,
		.power = 1,
		.shrinks = 6,
		.crashers = 0.004,
		.crash_ms = 10,
		.failovers = 4,
		.handover_ms = 3700,
		.zones = 1,
		.domains = DOM_DEFAULT,
		.cuts = 4,
		.late_ends = 0.02,
		.gangs = 0.1,
		.repeats = 0.03,
		.cancel = 0.05,
		.wave = true,
		.orgs = 4,
		.org_limit = 0.3,
		.org_changes = 8,
	};
}

/* Plays one day; the same configuration always gives the same result. */
struct sim_result sim_play(const struct sim_config *config)
{
	struct sim s = {.config = *config};
	int64_t trouble = config->length_ms / 8;
	int crashes = config->crashes;
	int power = config->power;
	int shrinks = config->shrinks;
	int failovers = config->failovers;
	int cuts = config->cuts;
	int zone_cuts = config->zone_cuts;
	int org_changes = config->org_changes;

	sim_open(&s);
	while (s.now < config->length_ms) {
		sim_store(&s);
		sim_cuts_go_on(&s);
		s.cut = failovers > 0 &&
			(s.now + SIM_CUT_MS - SIM_STEP_MS * 5) % trouble <
				SIM_CUT_MS;
		sim_held_come(&s);
		sim_rooms_go_on(&s);
		sim_progress(&s);
		if (s.now % 100 == 0)
			sim_demand(&s);
		if (s.now % SIM_LOOK_MS == 0) {
			sim_list(&s);
			upk_tick(s.upk, s.now, SIM_EPOCH_MS + s.now);
			if (config->order == SIM_PRODUCT)
				flo_tick(s.flo, s.now, SIM_EPOCH_MS + s.now);
			sim_cancel(&s);
		}
		if (s.now == 2000 && config->wave)
			sim_wave(&s);
		if (s.now && s.now % trouble == 0 && crashes-- > 0)
			sim_crash(&s);
		if (s.now && s.now % trouble == SIM_STEP_MS * 15 && power-- > 0)
			sim_power(&s);
		if (s.now && s.now % trouble == SIM_STEP_MS * 20 &&
		    shrinks-- > 0)
			sim_shrink(&s);
		if (s.now && s.now % trouble == SIM_STEP_MS * 5 &&
		    failovers-- > 0)
			sim_failover(&s);
		if (config->handover_ms && s.now && !s.cut &&
		    s.now % config->handover_ms == 0)
			sim_failover(&s);
		if (s.now && s.now % trouble == SIM_STEP_MS * 10 && cuts-- > 0)
			sim_cut(&s);
		if (s.now && s.now % trouble == config->turn_ms / 2 &&
		    zone_cuts-- > 0)
			sim_zone_cut(&s);
		if (s.now && s.now % trouble == SIM_STEP_MS * 25 &&
		    org_changes-- > 0)
			sim_orgs_change(&s);
		if (!config->no_plans_ms || s.now < config->no_plans_ms)
			sim_plan(&s);
		if (s.now % SIM_LOOK_MS == 0)
			sim_check_idle(&s);
		s.now += SIM_STEP_MS;
	}
	sim_settle(&s);
	sim_close(&s);
	return s.result;
}

/* A rule's name as in the design note. */
const char *sim_rule_name(enum sim_rule rule)
{
	return sim_rules[rule];
}

/* Whether no rule was broken. */
bool sim_clean(const struct sim_result *r)
{
	int i;

	for (i = 0; i < SIM_RULES; i++)
		if (r->broken[i])
			return false;
	return true;
}

/* Sets a day's world up. */
static void sim_open(struct sim *s)
{
	char pool[16];
	int p;
	int i;

	s->rand = g_rand_new_with_seed((guint32)s->config.seed);
	s->base = event_base_new();
	s->tmr = tmr_new_manual(0);
	s->jtb = jtb_new(NULL, NULL);
	s->vms = vms_new(&(struct vms_config){.base = s->base,
					      .tmr = s->tmr,
					      .addr = "127.0.0.1:1"},
			 NULL, NULL);
	s->upk = upk_new(s->jtb, s->vms, &sim_upk_ops, s);
	s->flo = flo_new(s->jtb, s->vms, &sim_flo_ops, s);
	s->crs = crs_new(&sim_crs_ops, s);
	s->shares = shr_new(SHR_RECENT);
	s->machines = g_ptr_array_new();
	s->runs = g_ptr_array_new_with_free_func(sim_run_free);
	s->held = g_ptr_array_new_with_free_func(sim_order_free);
	s->fence = 1;
	s->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->unlucky =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->crashers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->log = g_ptr_array_new_with_free_func(sim_cmd_free);
	s->idle =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sim_orgs_open(s);
	sim_config_put(s);
	for (p = 0; p <= s->config.pools; p++) {
		int n = p == s->config.pools ? s->config.spare : s->config.vms;

		g_snprintf(pool, sizeof(pool), "pool%d", p);
		for (i = 0; i < n; i++)
			sim_add_vm(s, pool);
	}
	for (p = 0; p < s->config.pools; p++) {
		sim_submit(s, p, true);
		sim_submit(s, p, true);
	}
	sim_list(s);
}

/* Frees it. */
static void sim_close(struct sim *s)
{
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		g_free(m->vm.name);
		g_free(m->vm.pool);
		g_free(m->vm.worker);
		g_free(m->next_pool);
		g_free(m);
	}
	g_ptr_array_free(s->machines, TRUE);
	orgs_free(s->first_orgs);
	g_ptr_array_free(s->runs, TRUE);
	g_ptr_array_free(s->held, TRUE);
	g_hash_table_destroy(s->done);
	g_hash_table_destroy(s->crashers);
	g_hash_table_destroy(s->unlucky);
	g_ptr_array_free(s->log, TRUE);
	g_hash_table_destroy(s->idle);
	crs_free(s->crs);
	shr_free(s->shares);
	flo_free(s->flo);
	upk_free(s->upk);
	vms_free(s->vms);
	jtb_free(s->jtb);
	tmr_free(s->tmr);
	event_base_free(s->base);
	g_rand_free(s->rand);
}

/* Puts the day's configuration in force. */
void sim_config_put(struct sim *s)
{
	struct jtb_config *c = jtb_config_new();
	struct pk_out o;
	int i;

	c->version = ++s->version;
	c->document = g_bytes_new("x", 1);
	for (i = 0; i <= s->config.pools; i++) {
		struct jtb_pool *p = g_new0(struct jtb_pool, 1);
		struct jtb_queue *q = g_new0(struct jtb_queue, 1);

		p->name = g_strdup_printf("pool%d", i);
		p->enforces_capacity = true;
		p->standby = i == s->config.pools;
		jtb_config_add_pool(c, p);
		q->name = g_strdup_printf("queue%d", i);
		q->host = g_strdup("h");
		q->prefix = g_strdup_printf("/%d/", i);
		q->pool = g_strdup(p->name);
		q->attempts = 3;
		q->stretch = 1.6;
		q->slack_ms = 600;
		q->timeout_ms = 3000;
		jtb_config_add_queue(c, q);
	}
	sim_orgs_put(s, c);
	sim_batch(&o);
	jtb_put_config(&o, c);
	sim_apply(s, &o);
	if (s->first_orgs) {
		jtb_config_free(c);
		return;
	}
	s->first_orgs = g_steal_pointer(&c->orgs);
	c->orgs = orgs_new();
	jtb_config_free(c);
}

/* Begins a batch of commands. */
void sim_batch(struct pk_out *o)
{
	pk_out_init(o);
	pk_arr(o, 1);
}

/* Has the table carry a batch out. */
void sim_apply(struct sim *s, struct pk_out *cmd)
{
	bool ok = jtb_apply(s->jtb, pk_out_view(cmd));

	g_assert(ok);
	pk_out_done(cmd);
}

/* Plans all pools, as a control daemon would. */
static void sim_plan(struct sim *s)
{
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v;
	char pool[16];
	int p;

	sim_view(s, &v, closed);
	for (p = 0; p < s->config.pools; p++) {
		g_snprintf(pool, sizeof(pool), "pool%d", p);
		sch_plan(&v, pool);
	}
	g_hash_table_destroy(closed);
}

/* What plans go by now; closed takes the workers that are being emptied. */
void sim_view(struct sim *s, struct sch_view *v, GHashTable *closed)
{
	*v = (struct sch_view){
		.jtb = s->jtb,
		.closed = closed,
		.shares = s->shares,
		.domains = dom_find_way(s->config.domains),
		.now_ms = s->now + SIM_PLAN_MS,
		.wall_ms = SIM_EPOCH_MS + s->now,
		.arg = s,
		.usable = sim_usable,
		.upkeep_due = sim_leaving,
		.rack_lost = sim_rack_lost,
		.start = sim_start,
		.unschedulable = sim_starved,
	};
	upk_add_closed(s->upk, closed);
	flo_add_closed(s->flo, closed);
}

/* Whether a worker may be given work now. */
static bool sim_usable(void *arg, const struct jtb_worker *w)
{
	return !w->info.draining && !sim_is_cut(arg, w->info.id);
}

/* Whether a worker of the same rack was lost a moment ago. */
static bool sim_rack_lost(void *arg, const struct jtb_worker *w)
{
	const struct sim *s = arg;

	return crs_rack_lost(s->crs, w, s->now);
}

/* Whether a worker is being emptied. */
static bool sim_leaving(void *arg, const struct jtb_worker *w)
{
	const struct sim *s = arg;

	return upk_due(s->upk, w->info.id);
}

/* Work that lasts found no room in a pool. */
static void sim_starved(void *arg, const char *pool)
{
	struct sim *s = arg;

	flo_report_unschedulable(s->flo, pool, s->now);
}

/* A start is proposed. */
static void sim_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w)
{
	jtb_propose_start(job, n, w);
	sim_propose(arg, SIM_CMD_START, n, attempt, JTB_LOST, w->info.id,
		    SIM_LOG_MS);
}

/* A start is stored: its worker is told, and it is checked. */
void sim_run_new(struct sim *s, const struct jtb_name *n, uint32_t attempt,
		 const char *worker)
{
	struct jtb_run *known = jtb_find_run(s->jtb, n, attempt, worker);
	double off = 1 + s->config.guess_off * (2 * g_rand_double(s->rand) - 1);
	const struct sim_vm *vm;
	struct sim_run *r;

	if (!known)
		return;
	known->ordered_ms = s->now;
	known->percent = -1;
	/* wkr_send_order: of a gang only a part may fit into its limit */
	if (quo_is_over(known->job->use)) {
		sim_propose(s, SIM_CMD_END, n, attempt, JTB_LOST, worker,
			    SIM_LOG_MS);
		return;
	}
	/* its worker has crashed, and nobody has noticed yet */
	vm = sim_vm_of(s, worker);
	if (!vm)
		return;
	r = g_new0(struct sim_run, 1);
	*r = (struct sim_run){
		.name = *n,
		.attempt = attempt,
		.from_ms = s->now,
		.fails = g_rand_double(s->rand) < s->config.fail,
		.step = known->job->spec.steps[n->step],
		.worker = g_strdup(worker),
		.org = sim_org_of(known->job),
	};
	r->ends_ms = r->step.flags & JTB_LONG_RUNNING
			     ? -1
			     : s->now + (int64_t)(r->step.estimate_ms * off *
						  vm->slowness);
	g_ptr_array_add(s->runs, r);
	s->result.starts++;
	sim_check_start(s, r, known->job, known->worker);
	if (s->config.break_rule && s->result.starts == 100)
		sim_check_start(s,
				&(struct sim_run){.name = *n,
						  .attempt = attempt + 1,
						  .step = r->step,
						  .worker = r->worker,
						  .org = r->org},
				known->job, known->worker);
}

/* A run is stopped, of work that lasts once that is stored. */
static void sim_stop(void *arg, struct jtb_run *run, const char *why)
{
	struct jtb_name n;

	if (jtb_run_is_stopping(run))
		return;
	jtb_name_of(run, &n);
	if (run->job->spec.steps[run->step].flags & JTB_LONG_RUNNING) {
		run->stop_proposed = true;
		sim_propose(arg, SIM_CMD_STOP, &n, run->attempt, JTB_STOPPED,
			    run->worker->info.id, SIM_LOG_MS);
		return;
	}
	run->stop_wanted = true;
	sim_told_stop(arg, &n, run->attempt);
}

/* A stop is stored: its worker is told, and it is checked. */
void sim_run_stops(struct sim *s, const struct sim_cmd *c)
{
	struct jtb_run *run =
		jtb_find_run(s->jtb, &c->name, c->attempt, c->worker);

	if (!run || !run->stopping || run->stop_wanted)
		return;
	run->stop_wanted = true;
	sim_check_stop(s, run);
	sim_told_stop(s, &c->name, c->attempt);
}

/* A worker is told to stop a run. */
static void sim_told_stop(struct sim *s, const struct jtb_name *n,
			  uint32_t attempt)
{
	guint i;

	for (i = 0; i < s->runs->len; i++) {
		struct sim_run *r = g_ptr_array_index(s->runs, i);

		if (r->attempt != attempt || r->stop_ms ||
		    !jtb_name_equal(&r->name, n))
			continue;
		r->stop_ms = s->now + SIM_STOP_MS;
		r->stop_how = JTB_STOPPED;
	}
}

/* Upkeep orders something of a VM. */
static void sim_order_upkeep(void *arg, struct jtb_wave *w,
			     struct jtb_wave_vm *vm)
{
	struct sim *s = arg;

	upk_answered(s->upk, vm->vm, sim_vm_order(s, vm->vm, NULL), s->now);
}

/* What upkeep did with a VM is stored. */
static void sim_note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
		     enum jtb_vm_state state, const char *worker_before)
{
	struct sim *s = arg;
	struct pk_out o;

	sim_batch(&o);
	jtb_put_vm(&o, w->no, vm->vm, state, worker_before);
	sim_apply(s, &o);
}

/* Whether a VM is on its way to another pool. */
static bool sim_moving(void *arg, const char *vm)
{
	const struct sim *s = arg;

	return flo_is_moving(s->flo, vm);
}

/* Whether nobody would miss a VM now. */
static bool sim_spared(void *arg, const char *vm)
{
	const struct sim *s = arg;

	return flo_is_spare(s->flo, vm);
}

/* Whether a worker answers. */
static bool sim_reached(void *arg, const struct jtb_worker *w)
{
	return !sim_is_cut(arg, w->info.id);
}

/* A VM is moved: its worker ends and comes back in the other pool. */
static void sim_move(void *arg, const char *vm, const char *pool)
{
	struct sim *s = arg;

	flo_answered(s->flo, vm, sim_vm_order(s, vm, pool), s->now);
}

/* Whether a run may be stopped to empty its worker. */
static bool sim_may_stop(void *arg, const struct jtb_run *run)
{
	const struct sim *s = arg;

	return upk_may_stop(s->upk, run);
}

/* Whether upkeep holds a VM. */
static bool sim_held(void *arg, const char *vm)
{
	const struct sim *s = arg;

	return upk_is_in_upkeep(s->upk, vm);
}

/* For how long a run had been seen at work when its worker crashed. */
static int64_t sim_seen_ms(void *arg, const struct jtb_run *run)
{
	return sch_observed_ms(run);
}

/* Whether another worker of a rack has crashed. */
static bool sim_rack_silent(void *arg, const struct jtb_worker *w)
{
	const struct sim *s = arg;
	GHashTableIter it;
	const struct jtb_worker *other;

	g_hash_table_iter_init(&it, jtb_workers(s->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other))
		if (other != w &&
		    strcmp(sch_rack_of(other), sch_rack_of(w)) == 0 &&
		    !sim_vm_of(s, other->info.id))
			return true;
	return false;
}
