#include "sim_int.h"

/* Troubles of a day: changes of leader, crashes, cancelled jobs, upkeep. */

/* The leader is lost: the next one has what a snapshot holds, no more. */
void sim_failover(struct sim *s)
{
	struct pk_out o;
	bool ok;

	s->fence++;
	s->cut = false;
	/* a leader breaks off in time what got no answer (VMS_BREAK_MS) */
	if (!s->config.orders_come_late)
		g_ptr_array_set_size(s->held, 0);
	pk_out_init(&o);
	jtb_snapshot(s->jtb, &o);
	ok = jtb_restore(s->jtb, pk_out_view(&o));
	g_assert(ok);
	pk_out_done(&o);
	jtb_unplan_all(s->jtb);
	upk_lead(s->upk);
	flo_lead(s->flo);
}

/* A worker crashes with all it runs. */
void sim_crash(struct sim *s)
{
	struct sim_vm *m = g_ptr_array_index(
		s->machines,
		g_rand_int_range(s->rand, 0, (gint32)s->machines->len));

	if (m->vm.state != VMS_UP)
		return;
	sim_worker_down(s, m);
	m->vm.state = VMS_DOWN;
	m->busy_until = s->now + SIM_CRASH_MS;
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
	if (sch_lasts(job) || jtb_ended(job))
		return;
	sim_batch(&o);
	jtb_put_cancel(&o, job->spec.id, SIM_EPOCH_MS + s->now);
	sim_apply(s, &o);
	for (i = 0; i < s->runs->len; i++) {
		struct sim_run *r = g_ptr_array_index(s->runs, i);

		if (strcmp(r->name.id, job->spec.id) == 0)
			r->stop_ms = s->now + SIM_STOP_MS;
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
