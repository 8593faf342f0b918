#include "jtb_int.h"

static void jtb_pack_name(struct pk_out *o, const struct jtb_name *n);
static void jtb_pack_names(struct pk_out *o, const GArray *names);
static char *jtb_unpack_optional_text(struct pk_in *in);
static char *jtb_unpack_text(struct pk_in *in);
static void jtb_pack_orgs(struct pk_out *o, const struct orgs *all);
static bool jtb_unpack_orgs(struct pk_in *in, struct jtb_config *c);
static void jtb_pack_step(struct pk_out *o, const struct jtb_step *s);
static bool jtb_unpack_step(struct pk_in *in, struct jtb_step *s);

/* Appends a command that puts a configuration in force, if it is newer. */
void jtb_put_config(struct pk_out *o, const struct jtb_config *c)
{
	pk_arr(o, 2);
	pk_u(o, JTB_CMD_CONFIG);
	jtb_pack_config(o, c);
}

/* Appends a command that accepts a job; wall_ms is ms since 1970. */
void jtb_put_job(struct pk_out *o, const struct jtb_spec *s, int64_t wall_ms)
{
	pk_arr(o, 3);
	pk_u(o, JTB_CMD_JOB);
	pk_i(o, wall_ms);
	jtb_pack_spec(o, s);
}

/* Appends a command with an operator's order; see ovr. */
void jtb_put_override(struct pk_out *o, const struct ovr_order *order)
{
	pk_arr(o, 5);
	pk_u(o, JTB_CMD_OVERRIDE);
	pk_i(o, order->time_ms);
	pk_str(o, order->who);
	pk_u(o, order->role);
	pk_str(o, order->cmd);
}

/* Appends a command that cancels a job; wall_ms is ms since 1970. */
void jtb_put_cancel(struct pk_out *o, const char *id, int64_t wall_ms)
{
	pk_arr(o, 3);
	pk_u(o, JTB_CMD_CANCEL);
	pk_cstr(o, id);
	pk_i(o, wall_ms);
}

/* Appends a command that starts a task on a worker. */
void jtb_put_start(struct pk_out *o, const struct jtb_name *name,
		   uint32_t attempt, const char *worker)
{
	pk_arr(o, 4);
	pk_u(o, JTB_CMD_START);
	jtb_pack_name(o, name);
	pk_u(o, attempt);
	pk_cstr(o, worker);
}

/*
 * Appends a command that stops a run of a long-running task. The stop is sent
 * to the worker once the command is committed, so that every later leader
 * counts the task as unavailable.
 */
void jtb_put_stop(struct pk_out *o, const struct jtb_name *name,
		  uint32_t attempt, const char *worker)
{
	pk_arr(o, 4);
	pk_u(o, JTB_CMD_STOP);
	jtb_pack_name(o, name);
	pk_u(o, attempt);
	pk_cstr(o, worker);
}

/*
 * Appends a command that ends a run. no is its number in the worker's list of
 * ends, 0 if the worker didn't report it; checkpoint may be empty;
 * wall_ms is ms since 1970.
 */
void jtb_put_end(struct pk_out *o, const char *worker, uint64_t no,
		 const struct jtb_name *name, uint32_t attempt,
		 enum jtb_end how, struct lstr checkpoint, int64_t wall_ms)
{
	pk_arr(o, 8);
	pk_u(o, JTB_CMD_END);
	pk_cstr(o, worker);
	pk_u(o, no);
	jtb_pack_name(o, name);
	pk_u(o, attempt);
	pk_u(o, how);
	pk_str(o, checkpoint);
	pk_i(o, wall_ms);
}

/* Appends a command that adds a worker or updates its description. */
void jtb_put_worker(struct pk_out *o, const struct jtb_worker_info *i)
{
	pk_arr(o, 2);
	pk_u(o, JTB_CMD_WORKER);
	jtb_pack_info(o, i);
}

/*
 * Appends a command for a worker that started again under its id: ends the runs
 * of its earlier lifetime as lost, but for those in kept, whose start may still
 * arrive at the new one, which is to stop them. blame is as for
 * jtb_put_worker_crashed. wall_ms is ms since 1970.
 */
void jtb_put_worker_restarted(struct pk_out *o, const struct jtb_worker_info *i,
			      const GArray *kept, const struct jtb_blame *blame,
			      int64_t wall_ms)
{
	pk_arr(o, 7);
	pk_u(o, JTB_CMD_WORKER);
	jtb_pack_info(o, i);
	jtb_pack_names(o, kept);
	jtb_pack_names(o, blame->suspects);
	jtb_pack_names(o, blame->cleared);
	pk_bool(o, blame->correlated);
	pk_i(o, wall_ms);
}

/*
 * Appends a command for a worker that announced its shutdown: the worker is
 * removed, or drained if it still has runs.
 */
void jtb_put_worker_leaving(struct pk_out *o, const char *worker)
{
	pk_arr(o, 2);
	pk_u(o, JTB_CMD_WORKER_LEAVING);
	pk_cstr(o, worker);
}

/*
 * Appends a command that ends all runs of a worker as lost. With permanent set
 * the worker is removed and its id is never accepted again.
 */
void jtb_put_worker_lost(struct pk_out *o, const char *worker, bool permanent)
{
	pk_arr(o, 3);
	pk_u(o, JTB_CMD_WORKER_LOST);
	pk_cstr(o, worker);
	pk_bool(o, permanent);
}

/*
 * Appends a command that ends all runs of a worker that was lost unexpectedly,
 * and counts a crash for each suspected task. wall_ms, ms since 1970, is the
 * end of the jobs that fail by it.
 */
void jtb_put_worker_crashed(struct pk_out *o, const char *worker,
			    bool permanent, const struct jtb_blame *blame,
			    int64_t wall_ms)
{
	pk_arr(o, 7);
	pk_u(o, JTB_CMD_WORKER_LOST);
	pk_cstr(o, worker);
	pk_bool(o, permanent);
	jtb_pack_names(o, blame->suspects);
	jtb_pack_names(o, blame->cleared);
	pk_bool(o, blame->correlated);
	pk_i(o, wall_ms);
}

/* Packs an array of task names. */
static void jtb_pack_names(struct pk_out *o, const GArray *names)
{
	guint i;

	pk_arr(o, names->len);
	for (i = 0; i < names->len; i++)
		jtb_pack_name(o, &g_array_index(names, struct jtb_name, i));
}

/* Unpacks an array of task names; returns false if one is malformed. */
bool jtb_unpack_names(struct pk_in *in, GArray *out)
{
	struct pk_in list = pk_get_arr(in);
	struct jtb_name n;
	bool ok = pk_in_ok(in);

	while (ok && pk_in_left(&list)) {
		ok = jtb_unpack_name(&list, &n);
		if (ok)
			g_array_append_val(out, n);
	}
	return ok;
}

/*
 * Unpacks the attribution of a crash; returns false if it is malformed. b must
 * be cleared with jtb_blame_clear in either case.
 */
bool jtb_unpack_blame(struct pk_in *in, struct jtb_blame *b)
{
	jtb_blame_init(b);
	if (!jtb_unpack_names(in, b->suspects) ||
	    !jtb_unpack_names(in, b->cleared))
		return false;
	b->correlated = pk_get_bool(in);
	return pk_in_ok(in);
}

/* Appends a command that adds a maintenance wave. */
void jtb_put_wave(struct pk_out *o, const struct jtb_wave *w)
{
	pk_arr(o, 2);
	pk_u(o, JTB_CMD_WAVE);
	jtb_pack_wave(o, w);
}

/*
 * Appends a command that advances the upkeep of a VM in a wave. worker_before
 * is the worker on the VM as its upkeep began, or NULL.
 */
void jtb_put_vm(struct pk_out *o, uint64_t wave, const char *vm,
		enum jtb_vm_state state, const char *worker_before)
{
	pk_arr(o, 5);
	pk_u(o, JTB_CMD_VM);
	pk_u(o, wave);
	pk_cstr(o, vm);
	pk_u(o, state);
	pk_cstr(o, worker_before);
}

/* Appends a command that removes a job that ended long ago. */
void jtb_put_forget(struct pk_out *o, const char *id)
{
	pk_arr(o, 2);
	pk_u(o, JTB_CMD_FORGET);
	pk_cstr(o, id);
}

/* Packs a configuration. */
void jtb_pack_config(struct pk_out *o, const struct jtb_config *c)
{
	gsize len;
	const char *p = g_bytes_get_data(c->document, &len);
	guint i;

	pk_arr(o, 5);
	pk_u(o, c->version);
	pk_str(o, lstr_n(p, len));
	pk_arr(o, c->queues->len);
	for (i = 0; i < c->queues->len; i++) {
		const struct jtb_queue *q = g_ptr_array_index(c->queues, i);

		pk_arr(o, 14);
		pk_cstr(o, q->name);
		pk_cstr(o, q->host);
		pk_cstr(o, q->prefix);
		pk_cstr(o, q->pool);
		pk_u(o, q->timeout_ms);
		pk_u(o, q->slack_ms);
		pk_u(o, q->priority);
		pk_u(o, q->attempts);
		pk_f(o, q->stretch);
		pk_bool(o, q->advised);
		pk_u(o, q->advice_ms);
		pk_u(o, q->advice_each_ms);
		pk_u(o, q->advice_valid_ms);
		pk_bool(o, q->open);
	}
	pk_arr(o, c->pools->len);
	for (i = 0; i < c->pools->len; i++) {
		const struct jtb_pool *pool = g_ptr_array_index(c->pools, i);

		pk_arr(o, 3);
		pk_cstr(o, pool->name);
		pk_bool(o, pool->enforces_capacity);
		pk_bool(o, pool->standby);
	}
	jtb_pack_orgs(o, c->orgs);
}

/* Packs the organisations of a configuration. */
static void jtb_pack_orgs(struct pk_out *o, const struct orgs *all)
{
	guint i;
	guint k;

	pk_arr(o, orgs_count(all));
	for (i = 0; i < orgs_count(all); i++) {
		const struct org *org = orgs_at(all, i);

		pk_arr(o, 6);
		pk_cstr(o, org->name);
		pk_f(o, org->weight);
		pk_u(o, org->limit.cpu);
		pk_u(o, org->limit.mem_mb);
		pk_u(o, org->limit.gpus);
		pk_arr(o, org->keys->len);
		for (k = 0; k < org->keys->len; k++)
			pk_cstr(o, g_ptr_array_index(org->keys, k));
	}
}

/* Unpacks the organisations; returns false if one is malformed. */
static bool jtb_unpack_orgs(struct pk_in *in, struct jtb_config *c)
{
	struct pk_in list = pk_get_arr(in);
	bool ok = pk_in_ok(in);

	while (ok && pk_in_left(&list)) {
		struct pk_in row = pk_get_arr(&list);
		char *name = jtb_unpack_text(&row);
		struct org *org = org_new(name);
		struct pk_in keys;

		g_free(name);
		org->weight = pk_get_f(&row);
		org->limit.cpu = pk_get_u(&row);
		org->limit.mem_mb = pk_get_u(&row);
		org->limit.gpus = pk_get_u(&row);
		keys = pk_get_arr(&row);
		while (pk_in_ok(&keys) && pk_in_left(&keys))
			org_add_key(org, pk_get_str(&keys));
		ok = pk_in_ok(&row) && pk_in_ok(&keys);
		ok = jtb_config_add_org(c, org) == ORG_VALID && ok;
	}
	return ok;
}

/* Unpacks a configuration; returns NULL if it is malformed. */
struct jtb_config *jtb_unpack_config(struct pk_in *in)
{
	struct pk_in at = pk_get_arr(in);
	struct jtb_config *c = jtb_config_new();
	struct lstr doc;
	struct pk_in list;

	c->version = pk_get_u(&at);
	doc = pk_get_str(&at);
	c->document = g_bytes_new(doc.p, doc.len);
	list = pk_get_arr(&at);
	while (pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in row = pk_get_arr(&list);
		struct jtb_queue *q = g_new0(struct jtb_queue, 1);

		q->name = jtb_unpack_text(&row);
		q->host = jtb_unpack_text(&row);
		q->prefix = jtb_unpack_text(&row);
		q->pool = jtb_unpack_text(&row);
		q->timeout_ms = (uint32_t)pk_get_u(&row);
		q->slack_ms = (uint32_t)pk_get_u(&row);
		q->priority = (uint32_t)pk_get_u(&row);
		q->attempts = (uint32_t)pk_get_u(&row);
		q->stretch = pk_get_f(&row);
		q->advised = pk_get_bool(&row);
		q->advice_ms = (uint32_t)pk_get_u(&row);
		q->advice_each_ms = (uint32_t)pk_get_u(&row);
		/* data folders of versions without ticket validity end here */
		if (pk_in_left(&row))
			q->advice_valid_ms = (uint32_t)pk_get_u(&row);
		/* ... and of versions without organisations here */
		q->open = !pk_in_left(&row) || pk_get_bool(&row);
		jtb_config_add_queue(c, q);
		at.bad |= !pk_in_ok(&row);
	}
	list = pk_get_arr(&at);
	while (pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in row = pk_get_arr(&list);
		struct jtb_pool *p = g_new0(struct jtb_pool, 1);

		p->name = jtb_unpack_text(&row);
		p->enforces_capacity = pk_get_bool(&row);
		p->standby = pk_get_bool(&row);
		jtb_config_add_pool(c, p);
		at.bad |= !pk_in_ok(&row);
	}
	if (pk_in_left(&at))
		at.bad |= !jtb_unpack_orgs(&at, c);
	if (pk_in_ok(&at))
		return c;
	jtb_config_free(c);
	return NULL;
}

/* Packs a job specification. */
void jtb_pack_spec(struct pk_out *o, const struct jtb_spec *s)
{
	uint32_t i;

	pk_arr(o, 9);
	pk_cstr(o, s->id);
	pk_cstr(o, s->queue);
	pk_cstr(o, s->text);
	pk_u(o, s->repeats);
	pk_i(o, s->first_ms);
	pk_i(o, s->every_ms);
	pk_arr(o, s->n_steps);
	for (i = 0; i < s->n_steps; i++)
		jtb_pack_step(o, &s->steps[i]);
	pk_cstr(o, s->org);
	pk_cstr(o, s->zone);
}

/* Unpacks a job specification; returns false if it is malformed. */
bool jtb_unpack_spec(struct pk_in *in, struct jtb_spec *s)
{
	struct pk_in at = pk_get_arr(in);
	struct lstr id = pk_get_str(&at);
	struct pk_in steps;
	uint32_t i;

	*s = (struct jtb_spec){0};
	if (!pk_in_ok(&at) || id.len == 0 || id.len > JTB_ID_MAX)
		return false;
	memcpy(s->id, id.p, id.len);
	s->queue = jtb_unpack_text(&at);
	s->text = jtb_unpack_text(&at);
	s->repeats = (uint32_t)pk_get_u(&at);
	s->first_ms = pk_get_i(&at);
	s->every_ms = pk_get_i(&at);
	steps = pk_get_arr(&at);
	s->n_steps = pk_in_ok(&at) ? pk_in_left(&steps) : 0;
	s->steps = g_new0(struct jtb_step, MAX(1, s->n_steps));
	for (i = 0; i < s->n_steps; i++)
		at.bad |= !jtb_unpack_step(&steps, &s->steps[i]);
	/* data folders of versions without organisations end here */
	if (pk_in_left(&at))
		s->org = jtb_unpack_optional_text(&at);
	/* ... and of versions without the caller's zone here */
	if (pk_in_left(&at))
		s->zone = jtb_unpack_optional_text(&at);
	if (pk_in_ok(&at) && s->n_steps && s->n_steps <= JTB_STEPS_MAX)
		return true;
	jtb_spec_clear(s);
	return false;
}

/* Packs a worker's description. */
void jtb_pack_info(struct pk_out *o, const struct jtb_worker_info *i)
{
	guint n = i->labels ? g_strv_length(i->labels) : 0;
	guint l;

	bool dated = i->started_ms || i->leaves_at_ms;

	pk_arr(o, dated ? 11 : 9);
	pk_cstr(o, i->id);
	pk_cstr(o, i->pool);
	pk_cstr(o, i->addr);
	pk_cstr(o, i->zone);
	pk_u(o, i->cpu);
	pk_u(o, i->mem_mb);
	pk_u(o, i->gpus);
	pk_bool(o, i->draining);
	pk_arr(o, n);
	for (l = 0; l < n; l++)
		pk_cstr(o, i->labels[l]);
	if (!dated)
		return;
	pk_i(o, i->started_ms);
	pk_i(o, i->leaves_at_ms);
}

/* Unpacks a worker's description; returns false if it is malformed. */
bool jtb_unpack_info(struct pk_in *in, struct jtb_worker_info *i)
{
	struct pk_in at = pk_get_arr(in);
	struct pk_in labels;
	uint32_t n;
	uint32_t l;

	*i = (struct jtb_worker_info){0};
	i->id = jtb_unpack_text(&at);
	i->pool = jtb_unpack_text(&at);
	i->addr = jtb_unpack_text(&at);
	i->zone = jtb_unpack_text(&at);
	i->cpu = (uint32_t)pk_get_u(&at);
	i->mem_mb = (uint32_t)pk_get_u(&at);
	i->gpus = (uint32_t)pk_get_u(&at);
	i->draining = pk_get_bool(&at);
	labels = pk_get_arr(&at);
	n = pk_in_ok(&at) ? pk_in_left(&labels) : 0;
	i->labels = g_new0(char *, n + 1);
	for (l = 0; l < n; l++)
		i->labels[l] = jtb_unpack_text(&labels);
	/* data folders of versions without lifetimes end here */
	if (pk_in_left(&at)) {
		i->started_ms = pk_get_i(&at);
		i->leaves_at_ms = pk_get_i(&at);
	}
	if (pk_in_ok(&at) && pk_in_ok(&labels))
		return true;
	jtb_worker_info_clear(i);
	return false;
}

/* Packs a maintenance wave. */
void jtb_pack_wave(struct pk_out *o, const struct jtb_wave *w)
{
	guint i;

	pk_arr(o, 6);
	pk_u(o, w->no);
	pk_i(o, w->from_ms);
	pk_i(o, w->within_ms);
	pk_u(o, w->at_once);
	pk_bool(o, w->completed);
	pk_arr(o, w->vms->len);
	for (i = 0; i < w->vms->len; i++) {
		const struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);

		pk_arr(o, 3);
		pk_cstr(o, v->vm);
		pk_u(o, v->state);
		pk_cstr(o, v->worker_before);
	}
}

/* Unpacks a maintenance wave; returns NULL if it is malformed. */
struct jtb_wave *jtb_unpack_wave(struct pk_in *in)
{
	struct pk_in at = pk_get_arr(in);
	struct jtb_wave *w = jtb_wave_new(pk_get_u(&at));
	struct pk_in vms;

	w->from_ms = pk_get_i(&at);
	w->within_ms = pk_get_i(&at);
	w->at_once = (uint32_t)pk_get_u(&at);
	w->completed = pk_get_bool(&at);
	vms = pk_get_arr(&at);
	while (pk_in_ok(&vms) && pk_in_left(&vms)) {
		struct pk_in row = pk_get_arr(&vms);
		char *vm = jtb_unpack_text(&row);
		struct jtb_wave_vm *v = jtb_wave_add(w, vm ? vm : "");

		g_free(vm);
		v->state = (enum jtb_vm_state)pk_get_u(&row);
		v->worker_before = jtb_unpack_optional_text(&row);
		at.bad |= !pk_in_ok(&row);
	}
	if (pk_in_ok(&at))
		return w;
	jtb_wave_free(w);
	return NULL;
}

/* Unpacks a task's name; returns false if it is malformed. */
bool jtb_unpack_name(struct pk_in *in, struct jtb_name *n)
{
	struct pk_in at = pk_get_arr(in);
	struct lstr id = pk_get_str(&at);

	*n = (struct jtb_name){0};
	if (!pk_in_ok(&at) || id.len > JTB_ID_MAX)
		return false;
	memcpy(n->id, id.p, id.len);
	n->turn = (uint32_t)pk_get_u(&at);
	n->step = (uint32_t)pk_get_u(&at);
	n->index = (uint32_t)pk_get_u(&at);
	return pk_in_ok(&at);
}

/* Packs a task's name. */
static void jtb_pack_name(struct pk_out *o, const struct jtb_name *n)
{
	pk_arr(o, 4);
	pk_cstr(o, n->id);
	pk_u(o, n->turn);
	pk_u(o, n->step);
	pk_u(o, n->index);
}

/* Unpacks a string into newly allocated memory. */
static char *jtb_unpack_text(struct pk_in *in)
{
	return lstr_dup(pk_get_str(in));
}

/* Unpacks a string; returns NULL for the empty string. */
static char *jtb_unpack_optional_text(struct pk_in *in)
{
	struct lstr s = pk_get_str(in);

	return s.len ? lstr_dup(s) : NULL;
}

/* Packs a step of a job. */
static void jtb_pack_step(struct pk_out *o, const struct jtb_step *s)
{
	pk_arr(o, 13);
	pk_u(o, s->count);
	pk_u(o, s->cpu);
	pk_u(o, s->mem_mb);
	pk_u(o, s->gpus);
	pk_u(o, s->estimate_ms);
	pk_u(o, s->max_per_worker);
	pk_u(o, s->slo_ms);
	pk_u(o, s->may_miss);
	pk_u(o, s->flags);
	pk_u(o, s->after);
	pk_cstr(o, s->label);
	pk_cstr(o, s->rack);
	pk_cstr(o, s->image);
}

/* Unpacks a step of a job; returns false if it is malformed. */
static bool jtb_unpack_step(struct pk_in *in, struct jtb_step *s)
{
	struct pk_in at = pk_get_arr(in);

	s->count = (uint32_t)pk_get_u(&at);
	s->cpu = (uint32_t)pk_get_u(&at);
	s->mem_mb = (uint32_t)pk_get_u(&at);
	s->gpus = (uint32_t)pk_get_u(&at);
	s->estimate_ms = (uint32_t)pk_get_u(&at);
	s->max_per_worker = (uint32_t)pk_get_u(&at);
	s->slo_ms = (uint32_t)pk_get_u(&at);
	s->may_miss = (uint32_t)pk_get_u(&at);
	s->flags = (uint32_t)pk_get_u(&at);
	s->after = pk_get_u(&at);
	s->label = jtb_unpack_optional_text(&at);
	s->rack = jtb_unpack_optional_text(&at);
	s->image = jtb_unpack_optional_text(&at);
	return pk_in_ok(&at);
}
