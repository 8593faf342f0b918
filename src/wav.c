#include "wav.h"

#include "cht.h"
#include "err.h"

/* Largest number of VMs a packed wave may name. */
#define WAV_TARGETS_MAX 100000

struct wav_target {
	int vm;
	enum wav_step step;
	uint32_t attempt; /* drains begun */
	int stuck; /* drains that ran out of time */
	int64_t since_ms; /* of the step */
	int64_t told_ms; /* the step's act was sent last; 0: not yet */
	int64_t proven_ms; /* probation ends; 0: ended or not begun */
};

struct wav {
	uint64_t id;
	enum wav_state state;
	struct wav_config config;
	GArray *targets; /* struct wav_target */
	GHashTable *by_vm; /* vm + 1 to target index + 1 */
	int failures;
	int good; /* VMs proven since the last failure was forgiven */
	int proven; /* VMs that are through their probation */
	char *reason;
};

/* The waiting VMs of a pool. */
struct wav_queue {
	int pool;
	int rounds; /* that the pool needs about */
	GArray *waiting; /* int: indexes of targets; NULL: none */
	guint at;
};

/* What a step expects and how it goes on. */
struct wav_step_def {
	const char *name;
	bool active; /* the VM is in our hands */
	enum flt_state expects; /* of the VM, while active */
	void (*done)(struct wav *w, struct flt *f, struct wav_target *t,
		     int64_t now_ms, struct wav_out *out);
};

static void wav_drained(struct wav *w, struct flt *f, struct wav_target *t,
			int64_t now_ms, struct wav_out *out);
static void wav_booted(struct wav *w, struct flt *f, struct wav_target *t,
		       int64_t now_ms, struct wav_out *out);
static void wav_healthy(struct wav *w, struct flt *f, struct wav_target *t,
			int64_t now_ms, struct wav_out *out);
static void wav_returned(struct wav *w, struct flt *f, struct wav_target *t,
			 int64_t now_ms, struct wav_out *out);
static void wav_given_back(struct wav *w, struct flt *f, struct wav_target *t,
			   int64_t now_ms, struct wav_out *out);
static const struct cht *wav_chart(void);
static struct wav_target *wav_target(const struct wav *w, int i);
static void wav_go(struct wav_target *t, enum wav_step step, int64_t now_ms);
static bool wav_event(struct wav *w, enum wav_event ev);
static void wav_settle(struct wav *w, struct flt *f, struct wav_target *t,
		       int64_t now_ms, struct wav_out *out);
static void wav_probation(struct wav *w, const struct flt *f,
			  struct wav_target *t, int64_t now_ms,
			  struct wav_out *out);
static void wav_timeouts(struct wav *w, struct flt *f, struct wav_target *t,
			 int64_t now_ms, struct wav_out *out);
static void wav_lost(struct wav *w, struct flt *f, struct wav_target *t,
		     int64_t now_ms, struct wav_out *out);
static bool wav_lost_with_others(const struct wav *w, const struct flt *f,
				 int vm);
static void wav_fail(struct wav *w, struct flt *f, struct wav_target *t,
		     const char *how, struct wav_out *out);
static void wav_count_failure(struct wav *w, const struct flt *f, int vm,
			      const char *how, struct wav_out *out);
static void wav_take_some(struct wav *w, struct flt *f, int64_t now_ms,
			  struct wav_out *out);
static GArray *wav_queues(const struct wav *w, const struct flt *f);
static void wav_queue_clear(gpointer queue);
static gint wav_more_rounds(gconstpointer a, gconstpointer b);
static bool wav_take_one(struct wav *w, struct flt *f, struct wav_queue *q,
			 bool largest, int64_t now_ms);
static bool wav_in_largest(const struct flt *f, int vm);
static int wav_room(const struct wav *w);
static void wav_tell(struct wav *w, const struct flt *f, struct wav_target *t,
		     int64_t now_ms, struct wav_out *out);
static bool wav_calls_back(const struct wav *w);
static void wav_audit(const struct wav *w, struct wav_out *out, const char *fmt,
		      ...) G_GNUC_PRINTF(3, 4);
static bool wav_unpack_targets(struct wav *w, struct pk_in *in);

static const char *const wav_states[WAV_STATES] = {
	[WAV_READY] = "ready",	     [WAV_RUNNING] = "running",
	[WAV_PAUSED] = "paused",     [WAV_HALTED] = "halted",
	[WAV_ABORTING] = "aborting", [WAV_ABORTED] = "aborted",
	[WAV_DONE] = "done",
};

static const char *const wav_events[WAV_EVENTS] = {
	[WAV_START] = "start",	 [WAV_PAUSE] = "pause",
	[WAV_RESUME] = "resume", [WAV_ABORT] = "abort",
	[WAV_HALT] = "halt",	 [WAV_SETTLED] = "settled",
	[WAV_FINISH] = "finish",
};

enum wav_action {
	WAV_FORGIVE,
	WAV_ACTIONS
};

static const char *const wav_actions[WAV_ACTIONS] = {
	[WAV_FORGIVE] = "forgive",
};

static const struct wav_step_def wav_defs[WAV_STEPS] = {
	[WAV_WAITING] = {.name = "waiting"},
	[WAV_DRAIN] = {"drain", true, FLT_DRAINING, wav_drained},
	[WAV_REBOOT] = {"reboot", true, FLT_REBOOTING, wav_booted},
	[WAV_CHECK] = {"check", true, FLT_CHECKING, wav_healthy},
	[WAV_RETURN] = {"return", true, FLT_CHECKING, wav_returned},
	[WAV_GIVE_BACK] = {"give-back", true, FLT_DRAINING, wav_given_back},
	[WAV_MAINTAINED] = {.name = "maintained"},
	[WAV_FAILED] = {.name = "failed"},
};

/* A wave over n VMs that waits for its start; id is one in the fleet. */
struct wav *wav_new(uint64_t id, const struct wav_config *config,
		    const int *vms, int n)
{
	struct wav *w = g_new0(struct wav, 1);
	struct wav_target t = {0};
	int i;

	g_assert(id != FLT_NO_WAVE);
	w->id = id;
	w->config = *config;
	w->state = (enum wav_state)cht_start(wav_chart());
	w->targets = g_array_new(FALSE, FALSE, sizeof(t));
	w->by_vm = g_hash_table_new(NULL, NULL);
	w->reason = g_strdup("");
	for (i = 0; i < n; i++) {
		t.vm = vms[i];
		if (!g_hash_table_insert(w->by_vm, GINT_TO_POINTER(t.vm + 1),
					 GINT_TO_POINTER(w->targets->len + 1)))
			continue;
		g_array_append_val(w->targets, t);
	}
	return w;
}

/* Frees a wave. */
void wav_free(struct wav *w)
{
	if (!w)
		return;
	g_array_free(w->targets, TRUE);
	g_hash_table_destroy(w->by_vm);
	g_free(w->reason);
	g_free(w);
}

/*
 * An operator's command; one that is sent again does nothing. False: it is
 * not allowed in the state that the wave is in.
 */
bool wav_command(struct wav *w, enum wav_event ev, struct lstr who,
		 struct wav_out *out)
{
	enum wav_state before = w->state;

	g_assert(ev <= WAV_ABORT);
	if (!wav_event(w, ev))
		return false;
	if (w->state != before)
		wav_audit(w, out, "%s by " LSTR_FMT ": %s -> %s",
			  wav_events[ev], LSTR_ARG(who), wav_states[before],
			  wav_states[w->state]);
	return true;
}

/*
 * A reply of the platform. One for an earlier attempt or step is late and
 * says nothing about now.
 */
void wav_reply(struct wav *w, struct flt *f, const struct wav_reply *r,
	       int64_t now_ms, struct wav_out *out)
{
	gpointer at =
		g_hash_table_lookup(w->by_vm, GINT_TO_POINTER(r->act.vm + 1));
	struct wav_target *t;

	if (!at || r->act.wave != w->id)
		return;
	t = wav_target(w, GPOINTER_TO_INT(at) - 1);
	if (t->step != r->act.step || t->attempt != r->act.attempt ||
	    !wav_defs[t->step].active)
		return;
	if (flt_vm(f, t->vm)->state != wav_defs[t->step].expects) {
		wav_lost(w, f, t, now_ms, out);
		return;
	}
	if (r->ok)
		wav_defs[t->step].done(w, f, t, now_ms, out);
}

/*
 * Moves the wave on: sees what failed, gives back what the budgets need,
 * takes VMs that they allow, and sends acts that are due.
 */
void wav_tick(struct wav *w, struct flt *f, int64_t now_ms, struct wav_out *out)
{
	int active = 0;
	int open = 0;
	int i;

	for (i = 0; i < (int)w->targets->len; i++)
		wav_settle(w, f, wav_target(w, i), now_ms, out);
	if (w->state == WAV_RUNNING)
		wav_take_some(w, f, now_ms, out);
	for (i = 0; i < (int)w->targets->len; i++) {
		struct wav_target *t = wav_target(w, i);

		if (wav_defs[t->step].active) {
			wav_tell(w, f, t, now_ms, out);
			active++;
		}
		open += t->step == WAV_WAITING || t->proven_ms;
	}
	if (active == 0)
		wav_event(w, WAV_SETTLED);
	if (active == 0 && open == 0)
		wav_event(w, WAV_FINISH);
}

/* Progress, for operators. */
void wav_status(const struct wav *w, struct wav_status *out)
{
	guint i;

	*out = (struct wav_status){
		.state = w->state,
		.failures = w->failures,
		.reason = w->reason,
	};
	for (i = 0; i < w->targets->len; i++)
		out->by_step[wav_target(w, (int)i)->step]++;
}

/* The state's name as in the chart. */
const char *wav_state_name(enum wav_state state)
{
	return wav_states[state];
}

/* The step's name, as in audit texts. */
const char *wav_step_name(enum wav_step step)
{
	return wav_defs[step].name;
}

/* Packs a wave; the VMs' own states are in the fleet. */
void wav_pack(const struct wav *w, struct pk_out *o)
{
	const struct wav_config *c = &w->config;
	guint i;

	pk_arr(o, 17);
	pk_u(o, w->id);
	pk_i(o, w->state);
	pk_i(o, w->failures);
	pk_i(o, w->good);
	pk_i(o, w->proven);
	pk_cstr(o, w->reason);
	pk_i(o, c->parallel);
	pk_i(o, c->halt_after);
	pk_i(o, c->halt_among);
	pk_i(o, c->widen);
	pk_i(o, c->drains_max);
	pk_i(o, c->drain_ms);
	pk_i(o, c->reboot_ms);
	pk_i(o, c->check_ms);
	pk_i(o, c->probation_ms);
	pk_i(o, c->retry_ms);
	pk_arr(o, (size_t)w->targets->len * 6);
	for (i = 0; i < w->targets->len; i++) {
		const struct wav_target *t = wav_target(w, (int)i);

		pk_i(o, t->vm);
		pk_i(o, t->step);
		pk_u(o, t->attempt);
		pk_i(o, t->stuck);
		pk_i(o, t->since_ms);
		pk_i(o, t->proven_ms);
	}
}

/*
 * The wave that wav_pack wrote, or NULL with ERR_CORRUPT. When acts were sent
 * is not kept: all that are open are sent again at the next tick, under their
 * old keys, so that none is forgotten and the platform repeats none.
 */
struct wav *wav_unpack(struct lstr bytes, GError **err)
{
	struct wav_config c = {0};
	struct wav *w = wav_new(1, &c, NULL, 0);
	struct pk_in in;
	bool ok = pk_in_init(&in, bytes);
	int64_t state = 0;

	if (ok) {
		w->id = pk_get_u(&in);
		state = pk_get_i(&in);
		w->failures = (int)pk_get_i(&in);
		w->good = (int)pk_get_i(&in);
		w->proven = (int)pk_get_i(&in);
		g_free(w->reason);
		w->reason = lstr_dup(pk_get_str(&in));
		c.parallel = (int)pk_get_i(&in);
		c.halt_after = (int)pk_get_i(&in);
		c.halt_among = (int)pk_get_i(&in);
		c.widen = (int)pk_get_i(&in);
		c.drains_max = (int)pk_get_i(&in);
		c.drain_ms = pk_get_i(&in);
		c.reboot_ms = pk_get_i(&in);
		c.check_ms = pk_get_i(&in);
		c.probation_ms = pk_get_i(&in);
		c.retry_ms = pk_get_i(&in);
		w->config = c;
		ok = wav_unpack_targets(w, &in) && state >= 0 &&
		     state < WAV_STATES;
		w->state = (enum wav_state)state;
		pk_in_done(&in);
	}
	if (ok)
		return w;
	wav_free(w);
	err_set(err, ERR_CORRUPT, "read wave", NULL, "not a wave");
	return NULL;
}

/* Empty arrays. */
void wav_out_init(struct wav_out *out)
{
	out->acts = g_array_new(FALSE, FALSE, sizeof(struct wav_act));
	out->audit = g_ptr_array_new_with_free_func(g_free);
}

/* Empties the arrays. */
void wav_out_clear(struct wav_out *out)
{
	g_array_set_size(out->acts, 0);
	g_ptr_array_set_size(out->audit, 0);
}

/* Frees the arrays. */
void wav_out_done(struct wav_out *out)
{
	g_array_free(out->acts, TRUE);
	g_ptr_array_free(out->audit, TRUE);
}

/*
 * No work is left on a VM: the last moment at which it can be had back at
 * once. A failure that came while it drained, or a bad image found meanwhile,
 * must be seen here; after the reboot has begun it is too late.
 */
static void wav_drained(struct wav *w, struct flt *f, struct wav_target *t,
			int64_t now_ms, struct wav_out *out)
{
	enum flt_why why = flt_kept(f, t->vm);

	if (why != FLT_OK || wav_calls_back(w)) {
		wav_audit(w, out, "%s given back: %s", flt_vm(f, t->vm)->name,
			  why != FLT_OK ? flt_why_text(why)
					: wav_states[w->state]);
		wav_go(t, WAV_GIVE_BACK, now_ms);
		return;
	}
	flt_vm_event(f, t->vm, FLT_EMPTIED);
	wav_go(t, WAV_REBOOT, now_ms);
}

static void wav_booted(struct wav *w, struct flt *f, struct wav_target *t,
		       int64_t now_ms, struct wav_out *out)
{
	flt_vm_event(f, t->vm, FLT_BOOTED);
	wav_go(t, WAV_CHECK, now_ms);
}

static void wav_healthy(struct wav *w, struct flt *f, struct wav_target *t,
			int64_t now_ms, struct wav_out *out)
{
	wav_go(t, WAV_RETURN, now_ms);
}

static void wav_returned(struct wav *w, struct flt *f, struct wav_target *t,
			 int64_t now_ms, struct wav_out *out)
{
	struct flt_vm *v = flt_vm(f, t->vm);

	flt_vm_event(f, t->vm, FLT_HEALTHY);
	v->wave = FLT_NO_WAVE;
	v->maintained_ms = now_ms;
	wav_go(t, WAV_MAINTAINED, now_ms);
	t->proven_ms = now_ms + w->config.probation_ms;
}

static void wav_given_back(struct wav *w, struct flt *f, struct wav_target *t,
			   int64_t now_ms, struct wav_out *out)
{
	flt_vm_event(f, t->vm, FLT_GIVE_BACK);
	flt_vm(f, t->vm)->wave = FLT_NO_WAVE;
	wav_go(t, WAV_WAITING, now_ms);
	if (t->stuck < w->config.drains_max)
		return;
	wav_go(t, WAV_FAILED, now_ms);
	wav_audit(w, out, "%s left alone: its work did not end in %d drains",
		  flt_vm(f, t->vm)->name, t->stuck);
}

/* Read once; the table never changes after that. */
static const struct cht *wav_chart(void)
{
	static struct cht *chart;
	const struct cht_names names = {
		.states = wav_states,
		.n_states = WAV_STATES,
		.events = wav_events,
		.n_events = WAV_EVENTS,
		.actions = wav_actions,
		.n_actions = WAV_ACTIONS,
	};

	if (!chart)
		chart = cht_builtin("wave", &names);
	return chart;
}

static struct wav_target *wav_target(const struct wav *w, int i)
{
	return &g_array_index(w->targets, struct wav_target, i);
}

static void wav_go(struct wav_target *t, enum wav_step step, int64_t now_ms)
{
	t->step = step;
	t->since_ms = now_ms;
	t->told_ms = 0;
}

static bool wav_event(struct wav *w, enum wav_event ev)
{
	struct cht_step step;

	if (!cht_step(wav_chart(), (int)w->state, (int)ev, &step))
		return false;
	w->state = (enum wav_state)step.next;
	if (step.action == WAV_FORGIVE) {
		w->failures = 0;
		/* Unproven again: the image has failed before. */
		w->proven = 0;
	}
	return true;
}

/* One VM of the wave: is what we believe of it still so? */
static void wav_settle(struct wav *w, struct flt *f, struct wav_target *t,
		       int64_t now_ms, struct wav_out *out)
{
	if (t->proven_ms)
		wav_probation(w, f, t, now_ms, out);
	if (!wav_defs[t->step].active)
		return;
	if (flt_vm(f, t->vm)->state != wav_defs[t->step].expects) {
		wav_lost(w, f, t, now_ms, out);
		return;
	}
	/*
	 * Behind a cut nothing can be told or heard: time stands still there,
	 * else the wave would take silence for a bad image.
	 */
	if (flt_zone_of(f, t->vm)->cut) {
		t->since_ms = now_ms;
		return;
	}
	if (t->step == WAV_DRAIN &&
	    (wav_calls_back(w) || flt_kept(f, t->vm) != FLT_OK)) {
		wav_audit(w, out, "%s given back: %s", flt_vm(f, t->vm)->name,
			  wav_calls_back(w) ? wav_states[w->state]
					    : flt_why_text(flt_kept(f, t->vm)));
		wav_go(t, WAV_GIVE_BACK, now_ms);
		return;
	}
	wav_timeouts(w, f, t, now_ms, out);
}

/*
 * A bad image may pass the health check and fail under work a minute later.
 * The VM has left the wave's hands by then, so it is watched for a while.
 */
static void wav_probation(struct wav *w, const struct flt *f,
			  struct wav_target *t, int64_t now_ms,
			  struct wav_out *out)
{
	if (flt_vm(f, t->vm)->state == FLT_DOWN) {
		t->proven_ms = 0;
		if (!wav_lost_with_others(w, f, t->vm))
			wav_count_failure(w, f, t->vm,
					  "failed after its "
					  "return",
					  out);
		return;
	}
	if (now_ms < t->proven_ms)
		return;
	t->proven_ms = 0;
	w->proven++;
	w->good++;
	if (w->good < w->config.halt_among)
		return;
	w->good = 0;
	w->failures = MAX(0, w->failures - 1);
}

static void wav_timeouts(struct wav *w, struct flt *f, struct wav_target *t,
			 int64_t now_ms, struct wav_out *out)
{
	int64_t since = now_ms - t->since_ms;

	switch (t->step) {
	case WAV_DRAIN:
		/* Work that doesn't end is not cut off; another time. */
		if (since < w->config.drain_ms)
			break;
		t->stuck++;
		wav_go(t, WAV_GIVE_BACK, now_ms);
		break;
	case WAV_REBOOT:
		if (since >= w->config.reboot_ms)
			wav_fail(w, f, t, "did not come back", out);
		break;
	case WAV_CHECK:
		if (since >= w->config.check_ms)
			wav_fail(w, f, t, "came back and is not healthy", out);
		break;
	default:
		break;
	}
}

/*
 * The VM failed while it was in our hands. Before the reboot that says
 * nothing about the image; the VM waits until it is repaired. After it the
 * image is suspect, but for a VM that went down together with its rack.
 */
static void wav_lost(struct wav *w, struct flt *f, struct wav_target *t,
		     int64_t now_ms, struct wav_out *out)
{
	bool before = t->step == WAV_DRAIN || t->step == WAV_GIVE_BACK;

	if (!before && !wav_lost_with_others(w, f, t->vm)) {
		wav_fail(w, f, t, "was lost during its maintenance", out);
		return;
	}
	flt_vm(f, t->vm)->wave = FLT_NO_WAVE;
	wav_go(t, WAV_WAITING, now_ms);
	wav_audit(w, out, "%s lost, waits for its repair",
		  flt_vm(f, t->vm)->name);
}

/*
 * Whether a VM behind the same switch is down that this wave has not touched:
 * then the rack is the cause. Without this, one lost rack with a few VMs of
 * the wave in it would halt the wave over the whole fleet.
 */
static bool wav_lost_with_others(const struct wav *w, const struct flt *f,
				 int vm)
{
	int sw = flt_rack_of(f, vm)->sw;
	gpointer at;
	int i;

	for (i = 0; i < (int)f->vms->len; i++) {
		if (i == vm || flt_rack_of(f, i)->sw != sw ||
		    flt_vm(f, i)->state != FLT_DOWN)
			continue;
		at = g_hash_table_lookup(w->by_vm, GINT_TO_POINTER(i + 1));
		if (!at ||
		    wav_target(w, GPOINTER_TO_INT(at) - 1)->step == WAV_WAITING)
			return true;
	}
	return false;
}

static void wav_fail(struct wav *w, struct flt *f, struct wav_target *t,
		     const char *how, struct wav_out *out)
{
	flt_vm_event(f, t->vm, FLT_FAIL);
	flt_vm(f, t->vm)->wave = FLT_NO_WAVE;
	wav_go(t, WAV_FAILED, t->since_ms);
	wav_count_failure(w, f, t->vm, how, out);
}

static void wav_count_failure(struct wav *w, const struct flt *f, int vm,
			      const char *how, struct wav_out *out)
{
	w->failures++;
	w->good = 0;
	wav_audit(w, out, "%s %s", flt_vm(f, vm)->name, how);
	if (w->failures < w->config.halt_after ||
	    (w->state != WAV_RUNNING && w->state != WAV_PAUSED))
		return;
	wav_event(w, WAV_HALT);
	g_free(w->reason);
	w->reason = g_strdup_printf("%d VMs failed, the last, %s, %s",
				    w->failures, flt_vm(f, vm)->name, how);
	wav_audit(w, out, "halted: %s", w->reason);
}

/*
 * Takes what budgets allow. While the wave may not have all of that out, the
 * pools that need most rounds go first, for they end it; one VM of each at a
 * time. Of a pool, first VMs out of the domains in which it has most: that
 * leaves its largest loss smaller, and so more may be out at once.
 */
static void wav_take_some(struct wav *w, struct flt *f, int64_t now_ms,
			  struct wav_out *out)
{
	int room = wav_room(w);
	GArray *queues;
	bool took;
	int pass;
	guint i;

	if (room <= 0)
		return;
	queues = wav_queues(w, f);
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < queues->len; i++)
			g_array_index(queues, struct wav_queue, i).at = 0;
		do {
			took = false;
			for (i = 0; i < queues->len && room > 0; i++) {
				if (!wav_take_one(
					    w, f,
					    &g_array_index(queues,
							   struct wav_queue, i),
					    pass == 0, now_ms))
					continue;
				took = true;
				room--;
			}
		} while (took && room > 0);
	}
	g_array_free(queues, TRUE);
}

/* What waits, by pool, the pool with most rounds to go first. */
static GArray *wav_queues(const struct wav *w, const struct flt *f)
{
	GArray *queues = g_array_sized_new(
		FALSE, TRUE, sizeof(struct wav_queue), f->pools->len);
	struct wav_queue *q;
	int i;

	g_array_set_size(queues, f->pools->len);
	g_array_set_clear_func(queues, wav_queue_clear);
	for (i = 0; i < (int)w->targets->len; i++) {
		if (wav_target(w, i)->step != WAV_WAITING)
			continue;
		q = &g_array_index(queues, struct wav_queue,
				   flt_vm(f, wav_target(w, i)->vm)->pool);
		if (!q->waiting)
			q->waiting = g_array_new(FALSE, FALSE, sizeof(int));
		g_array_append_val(q->waiting, i);
	}
	for (i = 0; i < (int)queues->len; i++) {
		q = &g_array_index(queues, struct wav_queue, i);
		q->pool = i;
		if (q->waiting)
			q->rounds = (int)q->waiting->len /
				    MAX(1, flt_margin(flt_pool(f, i)));
	}
	g_array_sort(queues, wav_more_rounds);
	return queues;
}

static void wav_queue_clear(gpointer queue)
{
	struct wav_queue *q = queue;

	if (q->waiting)
		g_array_free(q->waiting, TRUE);
}

static gint wav_more_rounds(gconstpointer a, gconstpointer b)
{
	const struct wav_queue *qa = a;
	const struct wav_queue *qb = b;

	return qb->rounds != qa->rounds ? qb->rounds - qa->rounds
					: qa->pool - qb->pool;
}

/* Takes the next VM of a pool that may be taken, if there is one. */
static bool wav_take_one(struct wav *w, struct flt *f, struct wav_queue *q,
			 bool largest, int64_t now_ms)
{
	struct wav_target *t;

	while (q->waiting && q->at < q->waiting->len) {
		t = wav_target(w, g_array_index(q->waiting, int, q->at++));
		if (t->step != WAV_WAITING ||
		    (largest && !wav_in_largest(f, t->vm)) ||
		    flt_take(f, t->vm, w->id) != FLT_OK)
			continue;
		t->attempt++;
		wav_go(t, WAV_DRAIN, now_ms);
		return true;
	}
	return false;
}

static bool wav_in_largest(const struct flt *f, int vm)
{
	const struct flt_rack *r = flt_rack_of(f, vm);
	const struct flt_pool *p = flt_pool(f, flt_vm(f, vm)->pool);
	int largest = flt_largest_loss(p);

	return flt_at_sw(p, r->sw)->serving == largest ||
	       (p->budget.survive_zone &&
		flt_at_zone(p, r->zone)->serving == largest);
}

/*
 * How many VMs more may be taken. Made for the bad image: budgets alone would
 * let hundreds reboot at once before the first fails, and all of them would
 * be lost. So no more VMs are unproven than may fail before the wave halts,
 * until that many have proved themselves; from then on the wave widens.
 */
static int wav_room(const struct wav *w)
{
	const struct wav_config *c = &w->config;
	int unproven = w->failures;
	int out = 0;
	int room;
	guint i;

	for (i = 0; i < w->targets->len; i++) {
		const struct wav_target *t = wav_target(w, (int)i);

		out += wav_defs[t->step].active;
		unproven += wav_defs[t->step].active || t->proven_ms;
	}
	room = c->halt_after - unproven;
	if (w->proven >= c->halt_after)
		room = c->widen ? c->widen * w->proven - unproven : INT_MAX;
	if (c->parallel)
		room = MIN(room, c->parallel - out);
	return room;
}

/* Sends the act of a step until its reply is here, but not into a cut. */
static void wav_tell(struct wav *w, const struct flt *f, struct wav_target *t,
		     int64_t now_ms, struct wav_out *out)
{
	struct wav_act act = {
		.wave = w->id,
		.vm = t->vm,
		.step = t->step,
		.attempt = t->attempt,
	};

	if (flt_zone_of(f, t->vm)->cut ||
	    (t->told_ms && now_ms - t->told_ms < w->config.retry_ms))
		return;
	t->told_ms = now_ms;
	g_array_append_val(out->acts, act);
}

/* Whether VMs that only drain must go back to work. */
static bool wav_calls_back(const struct wav *w)
{
	return w->state == WAV_HALTED || w->state == WAV_ABORTING;
}

static void wav_audit(const struct wav *w, struct wav_out *out, const char *fmt,
		      ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(out->audit,
			g_strdup_printf("wave %" G_GUINT64_FORMAT ": %s", w->id,
					text));
	g_free(text);
}

static bool wav_unpack_targets(struct wav *w, struct pk_in *in)
{
	struct pk_in a = pk_get_arr(in);
	struct wav_target t = {0};
	int64_t step;

	while (pk_in_ok(&a) && pk_in_left(&a) &&
	       w->targets->len < WAV_TARGETS_MAX) {
		t.vm = (int)pk_get_i(&a);
		step = pk_get_i(&a);
		t.attempt = (uint32_t)pk_get_u(&a);
		t.stuck = (int)pk_get_i(&a);
		t.since_ms = pk_get_i(&a);
		t.proven_ms = pk_get_i(&a);
		if (t.vm < 0 || step < 0 || step >= WAV_STEPS)
			return false;
		t.step = (enum wav_step)step;
		g_array_append_val(w->targets, t);
		g_hash_table_insert(w->by_vm, GINT_TO_POINTER(t.vm + 1),
				    GINT_TO_POINTER(w->targets->len));
	}
	return pk_in_ok(&a) && pk_in_ok(in);
}
