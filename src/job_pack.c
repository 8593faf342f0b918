#include "job_int.h"

#include "err.h"

static void job_pack_size(const struct job_size *s, struct pk_out *o);
static struct job_size job_unpack_size(struct pk_in *in);
static void job_pack_failures(const struct job_failures *f, struct pk_out *o);
static struct job_failures job_unpack_failures(struct pk_in *in);
static void job_pack_job(const struct job *b, struct pk_out *o);
static bool job_unpack_job(struct jobs *j, struct pk_in *in);
static bool job_unpack_tables(struct jobs *j, struct pk_in *in);
static gint job_compare_placement(gconstpointer a, gconstpointer b,
				  gpointer unused);

/* Serializes the whole table. */
void jobs_pack(const struct jobs *j, struct pk_out *o)
{
	const struct job_config *c = &j->config;
	GList *all = job_list_sorted(j);
	GList *l;
	guint i;
	int cls;

	pk_arr(o, 10);
	pk_i(o, j->next_pool);
	pk_i(o, c->waiting_max);
	pk_i(o, c->oldest_every);
	pk_i(o, c->stops_max);
	pk_i(o, c->suspect_after);
	pk_i(o, c->margin_ms);
	pk_arr(o, (size_t)j->teams->len * (2 + JOB_CLASSES));
	for (i = 0; i < j->teams->len; i++) {
		pk_bool(o, job_team(j, (int)i)->known);
		job_pack_size(&job_team(j, (int)i)->quota, o);
		for (cls = 0; cls < JOB_CLASSES; cls++)
			pk_i(o, job_team(j, (int)i)->priority[cls]);
	}
	pk_arr(o, (size_t)j->pools->len * 3);
	for (i = 0; i < j->pools->len; i++) {
		pk_bool(o, job_pool(j, (int)i)->known);
		pk_i(o, job_pool(j, (int)i)->placed_since_oldest);
		pk_i(o, job_pool(j, (int)i)->preempted_for);
	}
	pk_arr(o, (size_t)j->workers->len * 7);
	for (i = 0; i < j->workers->len; i++) {
		const struct job_worker *w = job_worker(j, (int)i);

		pk_i(o, w->pool);
		job_pack_size(&w->capacity, o);
		pk_i(o, w->lease_ms);
		pk_bool(o, w->lease_valid);
		pk_bool(o, w->drained);
		pk_bool(o, w->suspect);
		job_pack_failures(&w->failed, o);
	}
	pk_arr(o, g_list_length(all));
	for (l = all; l; l = l->next)
		job_pack_job(l->data, o);
	g_list_free(all);
}

/* Returns the table that jobs_pack wrote, or NULL with ERR_CORRUPT. */
struct jobs *jobs_unpack(struct lstr bytes, GError **err)
{
	struct job_config c = {0};
	struct jobs *j = NULL;
	struct pk_in in;
	struct pk_in all;
	int64_t next = 0;
	bool ok = pk_in_init(&in, bytes);

	if (ok) {
		next = pk_get_i(&in);
		c.waiting_max = (int)pk_get_i(&in);
		c.oldest_every = (int)pk_get_i(&in);
		c.stops_max = (int)pk_get_i(&in);
		c.suspect_after = (int)pk_get_i(&in);
		c.margin_ms = pk_get_i(&in);
		ok = pk_in_ok(&in) && c.suspect_after <= JOB_FAILURES_MAX;
	}
	if (ok) {
		j = jobs_new(&c);
		ok = job_unpack_tables(j, &in);
		all = pk_get_arr(&in);
		while (ok && pk_in_left(&all))
			ok = job_unpack_job(j, &all);
		ok = ok && pk_in_ok(&in) && pk_in_ok(&all) && next >= 0 &&
		     next <= (int64_t)j->pools->len;
		j->next_pool = (int)next;
	}
	pk_in_done(&in);
	if (ok)
		return j;
	jobs_free(j);
	err_set(err, ERR_CORRUPT, "read jobs", NULL, "not a table of jobs");
	return NULL;
}

/* Packs a size. */
static void job_pack_size(const struct job_size *s, struct pk_out *o)
{
	pk_arr(o, 3);
	pk_i(o, s->cpu_milli);
	pk_i(o, s->mem_mb);
	pk_i(o, s->accels);
}

/* Unpacks a size; marks in as malformed if there is none. */
static struct job_size job_unpack_size(struct pk_in *in)
{
	struct pk_in a = pk_get_arr(in);
	struct job_size s;

	s.cpu_milli = pk_get_i(&a);
	s.mem_mb = pk_get_i(&a);
	s.accels = pk_get_i(&a);
	in->bad |= !pk_in_ok(&a);
	return s;
}

/* Packs a set of failures. */
static void job_pack_failures(const struct job_failures *f, struct pk_out *o)
{
	int i;

	pk_arr(o, (size_t)f->n);
	for (i = 0; i < f->n; i++)
		pk_u(o, f->ids[i]);
}

/* Unpacks a set of failures; marks in as malformed if there is none. */
static struct job_failures job_unpack_failures(struct pk_in *in)
{
	struct pk_in a = pk_get_arr(in);
	struct job_failures f = {0};

	while (pk_in_ok(&a) && pk_in_left(&a) && f.n < JOB_FAILURES_MAX)
		f.ids[f.n++] = pk_get_u(&a);
	in->bad |= !pk_in_ok(&a);
	return f;
}

/* Packs a job. */
static void job_pack_job(const struct job *b, struct pk_out *o)
{
	pk_arr(o, 18);
	pk_u(o, b->spec.id);
	pk_i(o, b->spec.pool);
	pk_i(o, b->spec.team);
	pk_i(o, b->spec.cls);
	job_pack_size(&b->spec.size, o);
	pk_bool(o, b->spec.idempotent);
	pk_bool(o, b->spec.checkpoints);
	pk_i(o, b->state);
	pk_i(o, b->reason);
	pk_u(o, b->seq);
	pk_u(o, b->placement);
	pk_u(o, b->attempt);
	pk_i(o, b->worker);
	pk_i(o, b->stops);
	pk_i(o, b->failures);
	job_pack_size(&b->used, o);
	pk_i(o, b->lost_until_ms);
	job_pack_failures(&b->failed_on, o);
}

/* Unpacks a job into the table; returns false if it is malformed. */
static bool job_unpack_job(struct jobs *j, struct pk_in *in)
{
	struct pk_in a = pk_get_arr(in);
	struct job *b = g_new0(struct job, 1);
	int64_t cls;
	int64_t state;
	int64_t why;
	GQueue *q;

	b->spec.id = pk_get_u(&a);
	b->spec.pool = (int)pk_get_i(&a);
	b->spec.team = (int)pk_get_i(&a);
	cls = pk_get_i(&a);
	b->spec.size = job_unpack_size(&a);
	b->spec.idempotent = pk_get_bool(&a);
	b->spec.checkpoints = pk_get_bool(&a);
	state = pk_get_i(&a);
	why = pk_get_i(&a);
	b->seq = pk_get_u(&a);
	b->placement = pk_get_u(&a);
	b->attempt = (uint32_t)pk_get_u(&a);
	b->worker = (int)pk_get_i(&a);
	b->stops = (int)pk_get_i(&a);
	b->failures = (int)pk_get_i(&a);
	b->used = job_unpack_size(&a);
	b->lost_until_ms = pk_get_i(&a);
	b->failed_on = job_unpack_failures(&a);
	if (!pk_in_ok(&a) || job_find(j, b->spec.id) || cls < 0 ||
	    cls >= JOB_CLASSES || state < 0 || state >= JOB_STATES || why < 0 ||
	    why >= JOB_REASONS || b->worker < -1 ||
	    b->worker >= (int)j->workers->len || b->spec.team < 0 ||
	    b->spec.team >= (int)j->teams->len || b->spec.pool < 0 ||
	    b->spec.pool >= (int)j->pools->len ||
	    !job_pool(j, b->spec.pool)->known) {
		g_free(b);
		return false;
	}
	b->spec.cls = (enum job_class)cls;
	b->state = (enum job_state)state;
	b->reason = (enum job_reason)why;
	j->seq = MAX(j->seq, b->seq);
	j->counts[b->state]++;
	g_hash_table_insert(j->by_id, &b->spec.id, b);
	if (b->state == JOB_WAITING)
		job_enqueue(j, b);
	if (b->worker < 0)
		return true;
	job_add_size(&job_worker(j, b->worker)->used, &b->used, 1);
	job_add_size(&job_team(j, b->spec.team)->used, &b->used, 1);
	j->placements = MAX(j->placements, b->placement);
	q = b->lost_until_ms ? &j->lost : &job_worker(j, b->worker)->jobs;
	g_queue_insert_sorted(q, b, job_compare_placement, NULL);
	b->link = g_queue_find(q, b);
	return true;
}

/* Unpacks teams, pools and workers; returns false if they are malformed. */
static bool job_unpack_tables(struct jobs *j, struct pk_in *in)
{
	struct pk_in teams = pk_get_arr(in);
	struct pk_in pools = pk_get_arr(in);
	struct pk_in workers = pk_get_arr(in);
	struct job_size size;
	struct job_worker *w;
	int pool;
	int i;
	int cls;

	for (i = 0; pk_in_ok(&teams) && pk_in_left(&teams); i++) {
		bool known = pk_get_bool(&teams);

		size = job_unpack_size(&teams);
		job_set_team(j, i, &size);
		job_team(j, i)->known = known;
		for (cls = 0; cls < JOB_CLASSES; cls++)
			job_team(j, i)->priority[cls] = (int)pk_get_i(&teams);
	}
	for (i = 0; pk_in_ok(&pools) && pk_in_left(&pools); i++) {
		g_array_set_size(j->pools, (guint)i + 1);
		if (pk_get_bool(&pools))
			job_set_pool(j, i);
		job_pool(j, i)->placed_since_oldest = (int)pk_get_i(&pools);
		job_pool(j, i)->preempted_for = (int)pk_get_i(&pools);
	}
	for (i = 0; pk_in_ok(&workers) && pk_in_left(&workers); i++) {
		pool = (int)pk_get_i(&workers);
		size = job_unpack_size(&workers);
		if (pool < -1 || pool >= (int)j->pools->len ||
		    (pool >= 0 && !job_pool(j, pool)->known))
			return false;
		g_array_set_size(j->workers, (guint)i + 1);
		w = job_worker(j, i);
		w->pool = -1;
		if (pool >= 0)
			job_set_worker(j, i, pool, &size, NULL);
		w->lease_ms = pk_get_i(&workers);
		w->lease_valid = pk_get_bool(&workers);
		w->drained = pk_get_bool(&workers);
		w->suspect = pk_get_bool(&workers);
		w->failed = job_unpack_failures(&workers);
	}
	return pk_in_ok(&teams) && pk_in_ok(&pools) && pk_in_ok(&workers);
}

/* Compares jobs by order of placement. */
static gint job_compare_placement(gconstpointer a, gconstpointer b,
				  gpointer unused)
{
	const struct job *ja = a;
	const struct job *jb = b;

	return ja->placement < jb->placement ? -1
					     : ja->placement > jb->placement;
}
