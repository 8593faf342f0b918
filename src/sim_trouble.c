#include "sim_int.h"

/* Troubles of a day: changes of leader, crashes, cancelled jobs, upkeep. */

static void sim_count_hit(struct sim *s, const char *zone);
static bool sim_runs_in_zone(const struct sim *s, const struct jtb_job *job,
			     const char *zone);

/*
 * Starts and stops on their way through the log are lost with their leader; ends are
 * told again by their workers, and what lapsed is seen again by its list.
 */
static void sim_lose_log(struct sim *s)
{
	guint i;

	for (i = s->log->len; i > 0; i--) {
		struct sim_cmd *c = g_ptr_array_index(s->log, i - 1);

		if (c->kind == SIM_CMD_END)
			c->due_ms = MAX(c->due_ms, s->now + SIM_AGAIN_MS);
		else if (c->kind == SIM_CMD_START || c->kind == SIM_CMD_STOP)
			g_ptr_array_remove_index(s->log, i - 1);
	}
}

/* A new leader doesn't know when what runs was started. */
static void sim_inherit(struct sim *s)
{
	GHashTableIter it;
	struct jtb_worker *w;
	guint i;

	g_hash_table_iter_init(&it, jtb_workers(s->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		for (i = 0; i < w->runs->len; i++)
			((struct jtb_run *)g_ptr_array_index(w->runs, i))
				->inherited = true;
}

/* The leader is lost: the next one has what a snapshot holds, no more. */
void sim_failover(struct sim *s)
{
	struct pk_out o;
	guint i;
	bool ok;

	s->fence++;
	s->cut = false;
	/* a leader breaks off in time what got no answer (VMS_BREAK_MS) */
	if (!s->config.orders_come_late)
		g_ptr_array_set_size(s->held, 0);
	if (g_rand_boolean(s->rand))
		sim_lose_log(s);
	for (i = 0; i < s->log->len; i++) {
		struct sim_cmd *c = g_ptr_array_index(s->log, i);

		/* what was stored comes out before another leads */
		if (c->kind != SIM_CMD_END)
			c->due_ms = s->now;
	}
	sim_store(s);
	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		m->given_up = false;
	}
	s->led_ms = s->now;
	crs_clear(s->crs);
	shr_lead(s->shares);
	if (s->config.keep_proposed) {
		upk_reset(s->upk);
		flo_reset(s->flo);
		return;
	}
	pk_out_init(&o);
	jtb_snapshot(s->jtb, &o);
	ok = jtb_restore(s->jtb, pk_out_view(&o));
	g_assert(ok);
	pk_out_done(&o);
	sim_org_fault(s);
	jtb_drop_proposals(s->jtb);
	sim_inherit(s);
	upk_reset(s->upk);
	flo_reset(s->flo);
}

/* A worker is cut off, for less than its lease or more. */
void sim_cut(struct sim *s)
{
	struct sim_vm *m = g_ptr_array_index(
		s->machines,
		g_rand_int_range(s->rand, 0, (gint32)s->machines->len));

	if (m->vm.state != VMS_UP || !*m->vm.worker || m->cut_ms)
		return;
	m->cut_ms = s->now;
	m->cut_until = s->now + g_rand_int_range(s->rand, SIM_CUT_LEAST_MS,
						 SIM_CUT_MOST_MS);
}

/* A zone is cut off with all its workers. */
void sim_zone_cut(struct sim *s)
{
	char zone[SIM_ZONE_TEXT];
	guint i;

	sim_zone_name(s, g_rand_int(s->rand), zone);
	sim_count_hit(s, zone);
	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);
		const struct jtb_worker *w = jtb_worker(s->jtb, m->vm.worker);

		if (!w || strcmp(w->info.zone, zone) != 0 || m->cut_ms)
			continue;
		m->cut_ms = s->now;
		m->cut_until = s->now + SIM_ZONE_CUT_MS;
	}
}

/* Counts the jobs that run, and those of them with a run in a zone. */
static void sim_count_hit(struct sim *s, const char *zone)
{
	GPtrArray *live = jtb_live(s->jtb);
	guint i;

	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);

		if (jtb_job_ended(job) || sch_is_long_running(job) ||
		    !job->n_runs)
			continue;
		s->result.running_at_cuts++;
		s->result.hit_by_cuts += sim_runs_in_zone(s, job, zone);
	}
}

/* Whether a job has a run in a zone. */
static bool sim_runs_in_zone(const struct sim *s, const struct jtb_job *job,
			     const char *zone)
{
	guint i;

	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *r = g_ptr_array_index(s->runs, i);
		const struct jtb_worker *w = jtb_worker(s->jtb, r->worker);

		if (strcmp(r->name.id, job->spec.id) == 0 && w &&
		    strcmp(w->info.zone, zone) == 0)
			return true;
	}
	return false;
}

/* Workers that are cut off end their runs, are given up, and come back. */
void sim_cuts_go_on(struct sim *s)
{
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);
		int64_t from = MAX(m->cut_ms, s->led_ms);

		if (!m->cut_ms)
			continue;
		if (s->now - m->cut_ms == SIM_LEASE_MS)
			sim_runs_gone(s, m->vm.worker);
		if (s->now - from > SIM_LAPSE_MS && !m->given_up) {
			m->given_up = true;
			sim_propose(s, SIM_CMD_LAPSE, &(struct jtb_name){0}, 0,
				    JTB_LOST, m->vm.worker, SIM_LOG_MS);
		}
		if (s->now < m->cut_until)
			continue;
		/* its list shows at once what it lost */
		if (!m->given_up && s->now - m->cut_ms >= SIM_LEASE_MS)
			sim_propose(s, SIM_CMD_LAPSE, &(struct jtb_name){0}, 0,
				    JTB_LOST, m->vm.worker, SIM_LOG_MS);
		m->cut_ms = 0;
		m->given_up = false;
	}
}

/* Whether a worker is cut off. */
bool sim_is_cut(const struct sim *s, const char *worker)
{
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		const struct sim_vm *m = g_ptr_array_index(s->machines, i);

		if (m->cut_ms && strcmp(m->vm.worker, worker) == 0)
			return true;
	}
	return false;
}

/* A worker crashes with all it runs. */
void sim_crash(struct sim *s)
{
	struct sim_vm *m = g_ptr_array_index(
		s->machines,
		g_rand_int_range(s->rand, 0, (gint32)s->machines->len));

	if (m->vm.state == VMS_UP)
		sim_vm_crashes(s, m, JTB_LEASE_EXPIRED);
}

/*
 * A VM goes down by itself; the leader knows of it a little later. how: JTB_LOST
 * under a task or with its rack, JTB_LEASE_EXPIRED for no reason.
 */
void sim_vm_crashes(struct sim *s, struct sim_vm *m, enum jtb_end how)
{
	if (*m->vm.worker) {
		sim_runs_gone(s, m->vm.worker);
		sim_propose(s, SIM_CMD_CRASH, &(struct jtb_name){0}, 0, how,
			    m->vm.worker, SIM_SILENT_MS);
	}
	m->cut_ms = 0;
	m->given_up = false;
	g_free(m->vm.worker);
	m->vm.worker = g_strdup("");
	m->vm.state = VMS_DOWN;
	m->busy_until = s->now + SIM_CRASH_MS;
}

/* All workers of a rack crash at once. */
void sim_power(struct sim *s)
{
	guint racks = (s->machines->len + SIM_RACK - 1) / SIM_RACK;
	guint at =
		(guint)g_rand_int_range(s->rand, 0, (gint32)racks) * SIM_RACK;
	guint i;

	for (i = at; i < MIN(at + SIM_RACK, s->machines->len); i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		if (m->vm.state == VMS_UP)
			sim_vm_crashes(s, m, JTB_LOST);
	}
}

/* A worker has less room for a while, and tells so with its next word. */
void sim_shrink(struct sim *s)
{
	struct sim_vm *m = g_ptr_array_index(
		s->machines,
		g_rand_int_range(s->rand, 0, (gint32)s->machines->len));

	if (m->vm.state != VMS_UP || !*m->vm.worker || m->shrunk_ms)
		return;
	m->cpu = (uint32_t)g_rand_int_range(s->rand, 1000, SIM_CPU);
	m->shrunk_ms = s->now;
	m->told_ms = s->now + g_rand_int_range(s->rand, 1, SIM_BEAT_MS);
}

/* Workers tell of their room, and have all of it again. */
void sim_rooms_go_on(struct sim *s)
{
	guint i;

	for (i = 0; i < s->machines->len; i++) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		if (m->shrunk_ms && s->now - m->shrunk_ms == SIM_SHRINK_MS) {
			m->cpu = SIM_CPU;
			m->shrunk_ms = 0;
			m->told_ms = s->now + SIM_BEAT_MS;
		}
		if (!m->told_ms || s->now < m->told_ms || m->cut_ms ||
		    !*m->vm.worker)
			continue;
		m->told_ms = 0;
		sim_tell(s, m, m->cpu);
	}
}

/* A caller cancels a job. */
void sim_cancel(struct sim *s)
{
	GPtrArray *live = jtb_live(s->jtb);
	struct jtb_job *job;
	struct pk_out o;
	guint i;

	if (!live->len || g_rand_double(s->rand) >= s->config.cancel)
		return;
	job = g_ptr_array_index(live, g_rand_int_range(s->rand, 0,
						       (gint32)live->len));
	if (sch_is_long_running(job) || jtb_job_ended(job))
		return;
	sim_batch(&o);
	jtb_put_cancel(&o, job->spec.id, SIM_EPOCH_MS + s->now);
	sim_apply(s, &o);
	for (i = 0; i < s->runs->len; i++) {
		struct sim_run *r = g_ptr_array_index(s->runs, i);

		if (strcmp(r->name.id, job->spec.id) != 0)
			continue;
		r->stop_ms = s->now + SIM_STOP_MS;
		r->stop_how = JTB_STOPPED;
	}
}

/* An operator orders a wave of upkeep. */
void sim_wave(struct sim *s)
{
	struct jtb_wave *w = jtb_wave_new(1);
	struct pk_out o;
	guint i;

	for (i = 0; i < s->machines->len; i += 2) {
		struct sim_vm *m = g_ptr_array_index(s->machines, i);

		jtb_wave_add(w, m->vm.name);
	}
	w->from_ms = SIM_EPOCH_MS + s->now;
	w->within_ms = 25000;
	w->at_once = 8;
	sim_batch(&o);
	jtb_put_wave(&o, w);
	sim_apply(s, &o);
	jtb_wave_free(w);
}
