#include "jtb_int.h"

static void jtb_pack_job(struct pk_out *o, const struct jtb_job *job);
static void jtb_pack_suspects(struct pk_out *o, const GArray *list);
static bool jtb_unpack_suspects(struct jtb_job *job, struct pk_in *in);
static void jtb_pack_turn(struct pk_out *o, const struct jtb_job *job,
			  const struct jtb_turn *turn);
static void jtb_pack_removed_starts(struct pk_out *o, const struct jtb *t);
static bool jtb_unpack_removed_starts(struct jtb *t, struct pk_in *in);
static void jtb_pack_worker(struct pk_out *o, const struct jtb_worker *w);
static gint jtb_compare_seq(gconstpointer a, gconstpointer b);
static bool jtb_unpack_table(struct jtb *t, struct pk_in *in);
static bool jtb_unpack_removed(struct jtb *t, struct pk_in *in);
static bool jtb_unpack_worker(struct jtb *t, struct pk_in *in);
static bool jtb_unpack_job(struct jtb *t, struct pk_in *in);
static bool jtb_unpack_turn(struct jtb *t, struct jtb_job *job, uint32_t no,
			    struct pk_in *in);
static bool jtb_unpack_task(struct jtb *t, struct jtb_job *job,
			    struct jtb_name *n, struct jtb_task *task,
			    struct pk_in *in);

/* Serializes the whole table for jtb_restore. */
void jtb_snapshot(const struct jtb *t, struct pk_out *o)
{
	GHashTableIter it;
	gpointer p;
	const char *id;
	guint i;

	pk_arr(o, 8);
	pk_u(o, t->next_seq);
	if (t->config->document)
		jtb_pack_config(o, t->config);
	else
		pk_arr(o, 0);
	pk_arr(o, g_hash_table_size(t->workers));
	g_hash_table_iter_init(&it, t->workers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		jtb_pack_worker(o, p);
	pk_arr(o, g_hash_table_size(t->removed));
	g_hash_table_iter_init(&it, t->removed);
	while (g_hash_table_iter_next(&it, (gpointer *)&id, NULL))
		pk_cstr(o, id);
	pk_arr(o, t->waves->len);
	for (i = 0; i < t->waves->len; i++)
		jtb_pack_wave(o, g_ptr_array_index(t->waves, i));
	pk_arr(o, g_hash_table_size(t->jobs));
	g_hash_table_iter_init(&it, t->jobs);
	while (g_hash_table_iter_next(&it, NULL, &p))
		jtb_pack_job(o, p);
	jtb_pack_removed_starts(o, t);
	ovr_snapshot(t->overrides, o);
}

/* Packs which lifetimes of removed workers were the last, if that is known. */
static void jtb_pack_removed_starts(struct pk_out *o, const struct jtb *t)
{
	GHashTableIter it;
	const char *id;
	const int64_t *started_ms;
	guint n = 0;

	g_hash_table_iter_init(&it, t->removed);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&started_ms))
		n += *started_ms != 0;
	pk_arr(o, n);
	g_hash_table_iter_init(&it, t->removed);
	while (g_hash_table_iter_next(&it, (gpointer *)&id,
				      (gpointer *)&started_ms)) {
		if (!*started_ms)
			continue;
		pk_arr(o, 2);
		pk_cstr(o, id);
		pk_i(o, *started_ms);
	}
}

/*
 * Replaces the contents of the table by a snapshot. Returns false if the
 * snapshot can't be read; the table is then incomplete.
 */
bool jtb_restore(struct jtb *t, struct lstr bytes)
{
	struct pk_in in;
	bool ok;

	if (!pk_in_init(&in, bytes))
		return false;
	jtb_clear(t);
	ok = jtb_unpack_table(t, &in);
	pk_in_done(&in);
	/* a hash table has no order, and listing the newest first needs one */
	g_ptr_array_sort(t->live, jtb_compare_seq);
	return ok;
}

/* Compares jobs by order of acceptance. */
static gint jtb_compare_seq(gconstpointer a, gconstpointer b)
{
	const struct jtb_job *x = *(struct jtb_job *const *)a;
	const struct jtb_job *y = *(struct jtb_job *const *)b;

	return (x->seq > y->seq) - (x->seq < y->seq);
}

/* Packs a worker. */
static void jtb_pack_worker(struct pk_out *o, const struct jtb_worker *w)
{
	pk_arr(o, 2);
	pk_u(o, w->last_end_no);
	jtb_pack_info(o, &w->info);
}

/* Packs a job with its turns and runs. */
static void jtb_pack_job(struct pk_out *o, const struct jtb_job *job)
{
	uint32_t i;

	pk_arr(o, 9);
	jtb_pack_spec(o, &job->spec);
	pk_u(o, job->state);
	pk_u(o, job->seq);
	pk_i(o, job->accepted_ms);
	pk_i(o, job->ended_ms);
	pk_bool(o, job->started);
	pk_arr(o, job->n_turns);
	for (i = 0; i < job->n_turns; i++)
		jtb_pack_turn(o, job, &job->turns[i]);
	jtb_pack_suspects(o, job->suspects);
	pk_bool(o, job->begun);
}

/* Packs the crash records of a job's tasks; list may be NULL. */
static void jtb_pack_suspects(struct pk_out *o, const GArray *list)
{
	guint n = list ? list->len : 0;
	guint i;

	pk_arr(o, n);
	for (i = 0; i < n; i++) {
		const struct jtb_suspect *s =
			&g_array_index(list, struct jtb_suspect, i);

		pk_arr(o, 4);
		pk_u(o, s->step);
		pk_u(o, s->index);
		pk_u(o, s->crashes);
		pk_u(o, s->correlated_crashes);
	}
}

/* Packs the state of one turn of a job; an empty array if it has none. */
static void jtb_pack_turn(struct pk_out *o, const struct jtb_job *job,
			  const struct jtb_turn *turn)
{
	uint32_t s;
	uint32_t i;

	if (!turn->steps) {
		pk_arr(o, 0);
		return;
	}
	pk_arr(o, 1 + job->spec.n_steps);
	pk_u(o, turn->done);
	for (s = 0; s < job->spec.n_steps; s++) {
		const struct jtb_step_state *state = &turn->steps[s];

		pk_arr(o, job->spec.steps[s].count);
		for (i = 0; i < job->spec.steps[s].count; i++) {
			const struct jtb_task *task = &state->tasks[i];

			pk_arr(o, 7);
			pk_bool(o, task->done);
			pk_u(o, task->attempt);
			pk_u(o, task->failures);
			pk_cstr(o, task->checkpoint);
			pk_cstr(o, task->run ? task->run->worker->info.id : "");
			pk_bool(o, task->run && task->run->stopping);
			pk_bool(o, task->run && task->run->earlier_life);
		}
	}
}

/* Unpacks a snapshot into an empty table. */
static bool jtb_unpack_table(struct jtb *t, struct pk_in *in)
{
	struct pk_in list;
	struct pk_in peek;
	bool ok = true;

	t->next_seq = pk_get_u(in);
	peek = *in;
	list = pk_get_arr(&peek);
	jtb_config_free(t->config);
	if (pk_in_ok(&peek) && pk_in_left(&list)) {
		t->config = jtb_unpack_config(in);
	} else {
		pk_get_arr(in);
		t->config = NULL;
	}
	ok = pk_in_ok(in);
	if (!t->config)
		t->config = jtb_config_new();
	quo_set_orgs(t->usage, t->config->orgs);
	list = pk_get_arr(in);
	while (ok && pk_in_left(&list))
		ok = jtb_unpack_worker(t, &list);
	list = pk_get_arr(in);
	while (ok && pk_in_left(&list))
		ok = jtb_unpack_removed(t, &list);
	list = pk_get_arr(in);
	while (ok && pk_in_left(&list)) {
		struct jtb_wave *w = jtb_unpack_wave(&list);

		ok = w != NULL;
		if (w)
			g_ptr_array_add(t->waves, w);
	}
	list = pk_get_arr(in);
	while (ok && pk_in_left(&list))
		ok = jtb_unpack_job(t, &list);
	/* data folders of versions without lifetimes end here */
	if (ok && pk_in_left(in))
		ok = jtb_unpack_removed_starts(t, in);
	/* data folders of versions without overrides end here */
	if (ok && pk_in_left(in))
		ok = ovr_restore(t->overrides, in);
	return ok && pk_in_ok(in);
}

/* Unpacks the id of a removed worker. */
static bool jtb_unpack_removed(struct jtb *t, struct pk_in *in)
{
	char *id = lstr_dup(pk_get_str(in));

	jtb_add_removed(t, id, 0);
	g_free(id);
	return pk_in_ok(in);
}

/* Unpacks the last lifetimes of removed workers. */
static bool jtb_unpack_removed_starts(struct jtb *t, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);
	bool ok = pk_in_ok(in);

	while (ok && pk_in_left(&list)) {
		struct pk_in row = pk_get_arr(&list);
		char *id = lstr_dup(pk_get_str(&row));
		int64_t started_ms = pk_get_i(&row);

		ok = pk_in_ok(&row);
		if (ok)
			jtb_add_removed(t, id, started_ms);
		g_free(id);
	}
	return ok;
}

/* Unpacks a worker. */
static bool jtb_unpack_worker(struct jtb *t, struct pk_in *in)
{
	struct pk_in at = pk_get_arr(in);
	struct jtb_worker *w = g_new0(struct jtb_worker, 1);

	w->runs = g_ptr_array_new();
	w->last_end_no = pk_get_u(&at);
	if (!jtb_unpack_info(&at, &w->info)) {
		jtb_worker_free(w);
		return false;
	}
	g_hash_table_insert(t->workers, w->info.id, w);
	jtb_index_add(t, w);
	return true;
}

/* Unpacks a job with its turns and runs. */
static bool jtb_unpack_job(struct jtb *t, struct pk_in *in)
{
	struct pk_in at = pk_get_arr(in);
	struct jtb_spec spec;
	struct jtb_job *job;
	struct pk_in turns;
	bool ok = true;
	uint32_t i;

	if (!jtb_unpack_spec(&at, &spec))
		return false;
	job = jtb_job_new(&spec);
	jtb_add_job(t, job);
	job->state = (enum jtb_job_state)pk_get_u(&at);
	job->seq = pk_get_u(&at);
	job->accepted_ms = pk_get_i(&at);
	job->ended_ms = pk_get_i(&at);
	job->started = pk_get_bool(&at);
	turns = pk_get_arr(&at);
	for (i = 0; ok && i < job->n_turns; i++)
		ok = jtb_unpack_turn(t, job, i, &turns);
	/* data folders of versions without crash records end here */
	if (ok && pk_in_left(&at))
		ok = jtb_unpack_suspects(job, &at);
	/* those of versions that kept no reported ends here */
	if (ok && pk_in_left(&at))
		job->begun = pk_get_bool(&at);
	if (!jtb_job_ended(job) || job->n_runs)
		g_ptr_array_add(t->live, job);
	return ok && pk_in_ok(&at);
}

/* Unpacks the crash records of a job's tasks. */
static bool jtb_unpack_suspects(struct jtb_job *job, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);
	bool ok = pk_in_ok(in);

	while (ok && pk_in_left(&list)) {
		struct pk_in row = pk_get_arr(&list);
		uint32_t step = (uint32_t)pk_get_u(&row);
		uint32_t index = (uint32_t)pk_get_u(&row);
		struct jtb_suspect *s = jtb_add_suspect(job, step, index);

		s->crashes = (uint32_t)pk_get_u(&row);
		s->correlated_crashes = (uint32_t)pk_get_u(&row);
		ok = pk_in_ok(&row);
	}
	return ok;
}

/* Unpacks the state of one turn of a job. */
static bool jtb_unpack_turn(struct jtb *t, struct jtb_job *job, uint32_t no,
			    struct pk_in *in)
{
	struct pk_in at = pk_get_arr(in);
	struct jtb_turn *turn = &job->turns[no];
	uint64_t all_steps = job->spec.n_steps == JTB_STEPS_MAX
				     ? UINT64_MAX
				     : (1ULL << job->spec.n_steps) - 1;
	struct jtb_name n = {.turn = no};
	bool ok = pk_in_ok(in);

	if (!ok || !pk_in_left(&at))
		return ok;
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	turn->done = pk_get_u(&at);
	turn->steps = g_new0(struct jtb_step_state, job->spec.n_steps);
	for (n.step = 0; n.step < job->spec.n_steps; n.step++) {
		struct jtb_step_state *state = &turn->steps[n.step];

		state->tasks =
			g_new0(struct jtb_task, job->spec.steps[n.step].count);
	}
	for (n.step = 0; ok && n.step < job->spec.n_steps; n.step++) {
		struct jtb_step_state *state = &turn->steps[n.step];
		struct pk_in rows = pk_get_arr(&at);

		g_assert(state->tasks);
		for (n.index = 0; ok && n.index < job->spec.steps[n.step].count;
		     n.index++) {
			struct jtb_task *task = &state->tasks[n.index];

			ok = jtb_unpack_task(t, job, &n, task, &rows);
			state->n_done += task->done;
		}
	}
	job->turns_done += turn->done == all_steps;
	return ok;
}

/* Unpacks the state of a task, and its run if it has one. */
static bool jtb_unpack_task(struct jtb *t, struct jtb_job *job,
			    struct jtb_name *n, struct jtb_task *task,
			    struct pk_in *in)
{
	struct pk_in at = pk_get_arr(in);
	struct lstr checkpoint;
	struct jtb_task *holder;
	struct jtb_run *run;
	bool stopping;
	bool earlier;
	char *id;
	struct jtb_worker *w;

	task->done = pk_get_bool(&at);
	task->attempt = (uint32_t)pk_get_u(&at);
	task->failures = (uint32_t)pk_get_u(&at);
	job->begun |= task->done || task->failures;
	checkpoint = pk_get_str(&at);
	/* versions that kept one for each member of a gang had several */
	holder = jtb_checkpoint_holder(job, n);
	if (checkpoint.len && !holder->checkpoint)
		holder->checkpoint = lstr_dup(checkpoint);
	id = lstr_dup(pk_get_str(&at));
	w = *id ? jtb_worker(t, id) : NULL;
	g_free(id);
	/* data folders of versions without committed stops end here */
	stopping = pk_in_left(&at) && pk_get_bool(&at);
	/* data folders of versions that didn't know whose run it is end here */
	earlier = pk_in_left(&at) && pk_get_bool(&at);
	if (w) {
		run = jtb_run_new(t, job, n, task->attempt, w);
		run->stopping = stopping;
		run->earlier_life = earlier;
	}
	return pk_in_ok(&at);
}
