#include "wav.h"

#include "cht.h"
#include "err.h"

/* Most VMs in a packed wave. */
#define WAV_TARGETS_MAX 100000

struct wav_target {
	int vm;
	enum wav_step step;
	uint32_t attempt; /* number of drains begun */
	int drain_timeouts; /* number of drains that timed out */
	int64_t since_ms; /* when the step began */
	int64_t sent_ms; /* when the step's request was last sent; 0: not yet */
	int64_t probation_end_ms; /* 0: the probation is over or not begun */
};

struct wav {
	uint64_t id;
	enum wav_state state;
	struct wav_config config;
	GArray *targets; /* struct wav_target */
	GHashTable *by_vm; /* VM index + 1: index in targets + 1 */
	int failures;
	/*
	 * VMs that passed their probation since the last failure or forgiveness
	 */
	int passed_in_row;
	int n_proven; /* VMs that passed their probation */
	char *reason;
};

/* The waiting VMs of a pool. */
struct wav_queue {
	int pool;
	int rounds; /* estimated number of maintenance rounds of the pool */
	GArray *waiting; /* int, indexes in targets; NULL: none */
	guint next; /* position in waiting */
};

/* Definition of a step. */
struct wav_step_def {
	const char *name;
	bool active; /* the VM is in maintenance */
	enum flt_state vm_state; /* state of the VM while the step is active */
	void (*on_done)(struct wav *w, struct flt *f, struct wav_target *t,
			int64_t now_ms, struct wav_out *out);
};

static void wav_on_drained(struct wav *w, struct flt *f, struct wav_target *t,
			   int64_t now_ms, struct wav_out *out);
static void wav_on_booted(struct wav *w, struct flt *f, struct wav_target *t,
			  int64_t now_ms, struct wav_out *out);
static void wav_on_healthy(struct wav *w, struct flt *f, struct wav_target *t,
			   int64_t now_ms, struct wav_out *out);
static void wav_on_returned(struct wav *w, struct flt *f, struct wav_target *t,
			    int64_t now_ms, struct wav_out *out);
static void wav_on_given_back(struct wav *w, struct flt *f,
			      struct wav_target *t, int64_t now_ms,
			      struct wav_out *out);
static const struct cht *wav_chart(void);
static struct wav_target *wav_get_target(const struct wav *w, int i);
static void wav_set_step(struct wav_target *t, enum wav_step step,
			 int64_t now_ms);
static bool wav_handle_event(struct wav *w, enum wav_event ev);
static void wav_check_target(struct wav *w, struct flt *f, struct wav_target *t,
			     int64_t now_ms, struct wav_out *out);
static void wav_check_probation(struct wav *w, const struct flt *f,
				struct wav_target *t, int64_t now_ms,
				struct wav_out *out);
static void wav_check_timeouts(struct wav *w, struct flt *f,
			       struct wav_target *t, int64_t now_ms,
			       struct wav_out *out);
static void wav_handle_loss(struct wav *w, struct flt *f, struct wav_target *t,
			    int64_t now_ms, struct wav_out *out);
static bool wav_is_rack_loss(const struct wav *w, const struct flt *f, int vm);
static void wav_fail_target(struct wav *w, struct flt *f, struct wav_target *t,
			    const char *how, struct wav_out *out);
static void wav_count_failure(struct wav *w, const struct flt *f, int vm,
			      const char *how, struct wav_out *out);
static void wav_start_drains(struct wav *w, struct flt *f, int64_t now_ms,
			     struct wav_out *out);
static GArray *wav_make_queues(const struct wav *w, const struct flt *f);
static void wav_queue_clear(gpointer queue);
static gint wav_compare_rounds(gconstpointer a, gconstpointer b);
static bool wav_start_drain(struct wav *w, struct flt *f, struct wav_queue *q,
			    bool largest, int64_t now_ms);
static bool wav_is_in_largest_domain(const struct flt *f, int vm);
static int wav_count_startable(const struct wav *w);
static void wav_send_request(struct wav *w, const struct flt *f,
			     struct wav_target *t, int64_t now_ms,
			     struct wav_out *out);
static bool wav_must_return_vms(const struct wav *w);
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
	[WAV_DRAIN] = {"drain", true, FLT_DRAINING, wav_on_drained},
	[WAV_REBOOT] = {"reboot", true, FLT_REBOOTING, wav_on_booted},
	[WAV_CHECK] = {"check", true, FLT_CHECKING, wav_on_healthy},
	[WAV_RETURN] = {"return", true, FLT_CHECKING, wav_on_returned},
	[WAV_GIVE_BACK] = {"give-back", true, FLT_DRAINING, wav_on_given_back},
	[WAV_MAINTAINED] = {.name = "maintained"},
	[WAV_FAILED] = {.name = "failed"},
};

/*
 * Creates a wave over n VMs, given by index, that waits for its start. A VM
 * that is given twice counts once. id is unique in the fleet and not
 * FLT_NO_WAVE.
 */
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

/* Frees a wave; NULL is allowed. */
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
 * Applies an operator's command, WAV_START to WAV_ABORT; who is named in the
 * audit text. A repeated command changes nothing. Returns false if the command
 * is not allowed in the current state.
 */
bool wav_command(struct wav *w, enum wav_event ev, struct lstr who,
		 struct wav_out *out)
{
	enum wav_state before = w->state;

	g_assert(ev <= WAV_ABORT);
	if (!wav_handle_event(w, ev))
		return false;
	if (w->state != before)
		wav_audit(w, out, "%s by " LSTR_FMT ": %s -> %s",
			  wav_events[ev], LSTR_ARG(who), wav_states[before],
			  wav_states[w->state]);
	return true;
}

/*
 * Processes a reply of the platform. A reply to an earlier attempt or step is
 * outdated and ignored.
 */
void wav_reply(struct wav *w, struct flt *f, const struct wav_reply *r,
	       int64_t now_ms, struct wav_out *out)
{
	gpointer entry = g_hash_table_lookup(
		w->by_vm, GINT_TO_POINTER(r->request.vm + 1));
	struct wav_target *t;

	if (!entry || r->request.wave != w->id)
		return;
	t = wav_get_target(w, GPOINTER_TO_INT(entry) - 1);
	if (t->step != r->request.step || t->attempt != r->request.attempt ||
	    !wav_defs[t->step].active)
		return;
	if (flt_vm(f, t->vm)->state != wav_defs[t->step].vm_state) {
		wav_handle_loss(w, f, t, now_ms, out);
		return;
	}
	if (r->ok)
		wav_defs[t->step].on_done(w, f, t, now_ms, out);
}

/*
 * Advances the wave: detects failures, returns VMs that budgets need, starts to
 * drain VMs that budgets allow, and sends requests that are due.
 */
void wav_tick(struct wav *w, struct flt *f, int64_t now_ms, struct wav_out *out)
{
	int active = 0;
	int open = 0;
	int i;

	for (i = 0; i < (int)w->targets->len; i++)
		wav_check_target(w, f, wav_get_target(w, i), now_ms, out);
	if (w->state == WAV_RUNNING)
		wav_start_drains(w, f, now_ms, out);
	for (i = 0; i < (int)w->targets->len; i++) {
		struct wav_target *t = wav_get_target(w, i);

		if (wav_defs[t->step].active) {
			wav_send_request(w, f, t, now_ms, out);
			active++;
		}
		open += t->step == WAV_WAITING || t->probation_end_ms;
	}
	if (active == 0)
		wav_handle_event(w, WAV_SETTLED);
	if (active == 0 && open == 0)
		wav_handle_event(w, WAV_FINISH);
}

/*
 * Fills in the wave's progress, for operators. The reason is valid until the
 * wave is changed.
 */
void wav_status(const struct wav *w, struct wav_status *out)
{
	guint i;

	*out = (struct wav_status){
		.state = w->state,
		.failures = w->failures,
		.reason = w->reason,
	};
	for (i = 0; i < w->targets->len; i++)
		out->by_step[wav_get_target(w, (int)i)->step]++;
}

/* Returns the state's name as in the chart. */
const char *wav_state_name(enum wav_state state)
{
	return wav_states[state];
}

/* Returns the step's name as in audit texts. */
const char *wav_step_name(enum wav_step step)
{
	return wav_defs[step].name;
}

/* Packs a wave. The states of its VMs are in the fleet. */
void wav_pack(const struct wav *w, struct pk_out *o)
{
	const struct wav_config *c = &w->config;
	guint i;

	pk_arr(o, 17);
	pk_u(o, w->id);
	pk_i(o, w->state);
	pk_i(o, w->failures);
	pk_i(o, w->passed_in_row);
	pk_i(o, w->n_proven);
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
		const struct wav_target *t = wav_get_target(w, (int)i);

		pk_i(o, t->vm);
		pk_i(o, t->step);
		pk_u(o, t->attempt);
		pk_i(o, t->drain_timeouts);
		pk_i(o, t->since_ms);
		pk_i(o, t->probation_end_ms);
	}
}

/*
 * Returns the wave that wav_pack wrote, or NULL with ERR_CORRUPT. The times at
 * which requests were sent are not stored: all unanswered requests are sent
 * again at the next tick under their old keys, so that none is lost and the
 * platform repeats none.
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
		w->passed_in_row = (int)pk_get_i(&in);
		w->n_proven = (int)pk_get_i(&in);
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

/* Initializes empty arrays. */
void wav_out_init(struct wav_out *out)
{
	out->requests = g_array_new(FALSE, FALSE, sizeof(struct wav_request));
	out->audit = g_ptr_array_new_with_free_func(g_free);
}

/* Empties the arrays. */
void wav_out_clear(struct wav_out *out)
{
	g_array_set_size(out->requests, 0);
	g_ptr_array_set_size(out->audit, 0);
}

/* Frees the arrays. */
void wav_out_done(struct wav_out *out)
{
	g_array_free(out->requests, TRUE);
	g_ptr_array_free(out->audit, TRUE);
}

/*
 * Handles a drained VM. This is the last moment at which the VM can return to
 * service at once, so failures that happened while it drained, and a halt or
 * abort of the wave, must be checked here; once the reboot has begun it is too
 * late.
 */
static void wav_on_drained(struct wav *w, struct flt *f, struct wav_target *t,
			   int64_t now_ms, struct wav_out *out)
{
	enum flt_refusal why = flt_check_budget(f, t->vm);

	if (why != FLT_OK || wav_must_return_vms(w)) {
		wav_audit(w, out, "%s given back: %s", flt_vm(f, t->vm)->name,
			  why != FLT_OK ? flt_refusal_text(why)
					: wav_states[w->state]);
		wav_set_step(t, WAV_GIVE_BACK, now_ms);
		return;
	}
	flt_vm_event(f, t->vm, FLT_EMPTIED);
	wav_set_step(t, WAV_REBOOT, now_ms);
}

static void wav_on_booted(struct wav *w, struct flt *f, struct wav_target *t,
			  int64_t now_ms, struct wav_out *out)
{
	flt_vm_event(f, t->vm, FLT_BOOTED);
	wav_set_step(t, WAV_CHECK, now_ms);
}

static void wav_on_healthy(struct wav *w, struct flt *f, struct wav_target *t,
			   int64_t now_ms, struct wav_out *out)
{
	wav_set_step(t, WAV_RETURN, now_ms);
}

/* Handles a VM that gets work again: its probation begins. */
static void wav_on_returned(struct wav *w, struct flt *f, struct wav_target *t,
			    int64_t now_ms, struct wav_out *out)
{
	struct flt_vm *v = flt_vm(f, t->vm);

	flt_vm_event(f, t->vm, FLT_HEALTHY);
	v->wave = FLT_NO_WAVE;
	v->maintained_ms = now_ms;
	wav_set_step(t, WAV_MAINTAINED, now_ms);
	t->probation_end_ms = now_ms + w->config.probation_ms;
}

/*
 * Handles a VM that returned to service before its reboot. The wave gives up on
 * the VM after drains_max drains that timed out.
 */
static void wav_on_given_back(struct wav *w, struct flt *f,
			      struct wav_target *t, int64_t now_ms,
			      struct wav_out *out)
{
	flt_vm_event(f, t->vm, FLT_GIVE_BACK);
	flt_vm(f, t->vm)->wave = FLT_NO_WAVE;
	wav_set_step(t, WAV_WAITING, now_ms);
	if (t->drain_timeouts < w->config.drains_max)
		return;
	wav_set_step(t, WAV_FAILED, now_ms);
	wav_audit(w, out, "%s left alone: its work did not end in %d drains",
		  flt_vm(f, t->vm)->name, t->drain_timeouts);
}

/* Returns the wave's state chart, loaded once; it never changes after that. */
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

static struct wav_target *wav_get_target(const struct wav *w, int i)
{
	return &g_array_index(w->targets, struct wav_target, i);
}

static void wav_set_step(struct wav_target *t, enum wav_step step,
			 int64_t now_ms)
{
	t->step = step;
	t->since_ms = now_ms;
	t->sent_ms = 0;
}

static bool wav_handle_event(struct wav *w, enum wav_event ev)
{
	struct cht_step step;

	if (!cht_step(wav_chart(), (int)w->state, (int)ev, &step))
		return false;
	w->state = (enum wav_state)step.next;
	if (step.action == WAV_FORGIVE) {
		w->failures = 0;
		/* Unproven again, as the image has failed before. */
		w->n_proven = 0;
	}
	return true;
}

/*
 * Checks a VM of the wave: its probation, an unexpected state, a budget that
 * needs it back, and timeouts.
 */
static void wav_check_target(struct wav *w, struct flt *f, struct wav_target *t,
			     int64_t now_ms, struct wav_out *out)
{
	if (t->probation_end_ms)
		wav_check_probation(w, f, t, now_ms, out);
	if (!wav_defs[t->step].active)
		return;
	if (flt_vm(f, t->vm)->state != wav_defs[t->step].vm_state) {
		wav_handle_loss(w, f, t, now_ms, out);
		return;
	}
	/*
	 * While a zone is partitioned, no request or reply passes: timeouts are
	 * suspended, or the wave would take the missing replies for a bad
	 * image.
	 */
	if (flt_zone_of(f, t->vm)->partitioned) {
		t->since_ms = now_ms;
		return;
	}
	if (t->step == WAV_DRAIN &&
	    (wav_must_return_vms(w) || flt_check_budget(f, t->vm) != FLT_OK)) {
		wav_audit(
			w, out, "%s given back: %s", flt_vm(f, t->vm)->name,
			wav_must_return_vms(w)
				? wav_states[w->state]
				: flt_refusal_text(flt_check_budget(f, t->vm)));
		wav_set_step(t, WAV_GIVE_BACK, now_ms);
		return;
	}
	wav_check_timeouts(w, f, t, now_ms, out);
}

/*
 * Checks a VM after its return: a bad image may pass the health check and fail
 * under work a minute later.
 */
static void wav_check_probation(struct wav *w, const struct flt *f,
				struct wav_target *t, int64_t now_ms,
				struct wav_out *out)
{
	if (flt_vm(f, t->vm)->state == FLT_DOWN) {
		t->probation_end_ms = 0;
		if (!wav_is_rack_loss(w, f, t->vm))
			wav_count_failure(w, f, t->vm,
					  "failed after its "
					  "return",
					  out);
		return;
	}
	if (now_ms < t->probation_end_ms)
		return;
	t->probation_end_ms = 0;
	w->n_proven++;
	w->passed_in_row++;
	if (w->passed_in_row < w->config.halt_among)
		return;
	w->passed_in_row = 0;
	w->failures = MAX(0, w->failures - 1);
}

/* Ends a step that has exceeded its timeout. */
static void wav_check_timeouts(struct wav *w, struct flt *f,
			       struct wav_target *t, int64_t now_ms,
			       struct wav_out *out)
{
	int64_t since = now_ms - t->since_ms;

	switch (t->step) {
	case WAV_DRAIN:
		/*
		 * Work that does not end is not interrupted; the VM is drained
		 * again later.
		 */
		if (since < w->config.drain_ms)
			break;
		t->drain_timeouts++;
		wav_set_step(t, WAV_GIVE_BACK, now_ms);
		break;
	case WAV_REBOOT:
		if (since >= w->config.reboot_ms)
			wav_fail_target(w, f, t, "did not come back", out);
		break;
	case WAV_CHECK:
		if (since >= w->config.check_ms)
			wav_fail_target(w, f, t, "came back and is not healthy",
					out);
		break;
	default:
		break;
	}
}

/*
 * Handles a VM that failed during its maintenance. Before the reboot that says
 * nothing about the image: the VM waits until it is repaired. After it the
 * image is suspect, unless the VM went down together with its rack.
 */
static void wav_handle_loss(struct wav *w, struct flt *f, struct wav_target *t,
			    int64_t now_ms, struct wav_out *out)
{
	bool before = t->step == WAV_DRAIN || t->step == WAV_GIVE_BACK;

	if (!before && !wav_is_rack_loss(w, f, t->vm)) {
		wav_fail_target(w, f, t, "was lost during its maintenance",
				out);
		return;
	}
	flt_vm(f, t->vm)->wave = FLT_NO_WAVE;
	wav_set_step(t, WAV_WAITING, now_ms);
	wav_audit(w, out, "%s lost, waits for its repair",
		  flt_vm(f, t->vm)->name);
}

/*
 * Whether a VM behind the same switch is down that is not in this wave, or
 * still waits in it: then the rack is the cause. Otherwise one lost rack with a
 * few VMs of the wave would halt the wave in the whole fleet.
 */
static bool wav_is_rack_loss(const struct wav *w, const struct flt *f, int vm)
{
	int sw = flt_rack_of(f, vm)->sw;
	gpointer entry;
	int i;

	for (i = 0; i < (int)f->vms->len; i++) {
		if (i == vm || flt_rack_of(f, i)->sw != sw ||
		    flt_vm(f, i)->state != FLT_DOWN)
			continue;
		entry = g_hash_table_lookup(w->by_vm, GINT_TO_POINTER(i + 1));
		if (!entry ||
		    wav_get_target(w, GPOINTER_TO_INT(entry) - 1)->step ==
			    WAV_WAITING)
			return true;
	}
	return false;
}

/* Marks a VM as failed during its maintenance. */
static void wav_fail_target(struct wav *w, struct flt *f, struct wav_target *t,
			    const char *how, struct wav_out *out)
{
	flt_vm_event(f, t->vm, FLT_FAIL);
	flt_vm(f, t->vm)->wave = FLT_NO_WAVE;
	wav_set_step(t, WAV_FAILED, t->since_ms);
	wav_count_failure(w, f, t->vm, how, out);
}

/* Counts a failure; halts the wave if there have been halt_after. */
static void wav_count_failure(struct wav *w, const struct flt *f, int vm,
			      const char *how, struct wav_out *out)
{
	w->failures++;
	w->passed_in_row = 0;
	wav_audit(w, out, "%s %s", flt_vm(f, vm)->name, how);
	if (w->failures < w->config.halt_after ||
	    (w->state != WAV_RUNNING && w->state != WAV_PAUSED))
		return;
	wav_handle_event(w, WAV_HALT);
	g_free(w->reason);
	w->reason = g_strdup_printf("%d VMs failed, the last, %s, %s",
				    w->failures, flt_vm(f, vm)->name, how);
	wav_audit(w, out, "halted: %s", w->reason);
}

/*
 * Starts to drain VMs as budgets allow. While the wave may not drain all of
 * these, the pools that need most rounds go first, as they determine when the
 * wave ends; one VM of each pool at a time. Of a pool, VMs in the domains where
 * it has most are drained first: that reduces its largest loss, so more VMs may
 * be out at once.
 */
static void wav_start_drains(struct wav *w, struct flt *f, int64_t now_ms,
			     struct wav_out *out)
{
	int startable = wav_count_startable(w);
	GArray *queues;
	bool started;
	int pass;
	guint i;

	if (startable <= 0)
		return;
	queues = wav_make_queues(w, f);
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < queues->len; i++)
			g_array_index(queues, struct wav_queue, i).next = 0;
		do {
			started = false;
			for (i = 0; i < queues->len && startable > 0; i++) {
				if (!wav_start_drain(
					    w, f,
					    &g_array_index(queues,
							   struct wav_queue, i),
					    pass == 0, now_ms))
					continue;
				started = true;
				startable--;
			}
		} while (started && startable > 0);
	}
	g_array_free(queues, TRUE);
}

/* Returns the waiting VMs by pool, the pool with most rounds first. */
static GArray *wav_make_queues(const struct wav *w, const struct flt *f)
{
	GArray *queues = g_array_sized_new(
		FALSE, TRUE, sizeof(struct wav_queue), f->pools->len);
	struct wav_queue *q;
	int i;

	g_array_set_size(queues, f->pools->len);
	g_array_set_clear_func(queues, wav_queue_clear);
	for (i = 0; i < (int)w->targets->len; i++) {
		if (wav_get_target(w, i)->step != WAV_WAITING)
			continue;
		q = &g_array_index(queues, struct wav_queue,
				   flt_vm(f, wav_get_target(w, i)->vm)->pool);
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
	g_array_sort(queues, wav_compare_rounds);
	return queues;
}

static void wav_queue_clear(gpointer queue)
{
	struct wav_queue *q = queue;

	if (q->waiting)
		g_array_free(q->waiting, TRUE);
}

static gint wav_compare_rounds(gconstpointer a, gconstpointer b)
{
	const struct wav_queue *x = a;
	const struct wav_queue *y = b;

	return y->rounds != x->rounds ? y->rounds - x->rounds
				      : x->pool - y->pool;
}

/*
 * Starts to drain the next VM of a pool that may be drained; returns false if
 * there is none. largest: only VMs in the domains where the pool has most.
 */
static bool wav_start_drain(struct wav *w, struct flt *f, struct wav_queue *q,
			    bool largest, int64_t now_ms)
{
	struct wav_target *t;

	while (q->waiting && q->next < q->waiting->len) {
		t = wav_get_target(w,
				   g_array_index(q->waiting, int, q->next++));
		if (t->step != WAV_WAITING ||
		    (largest && !wav_is_in_largest_domain(f, t->vm)) ||
		    flt_claim(f, t->vm, w->id) != FLT_OK)
			continue;
		t->attempt++;
		wav_set_step(t, WAV_DRAIN, now_ms);
		return true;
	}
	return false;
}

/* Whether a VM is in a failure domain where its pool has most serving VMs. */
static bool wav_is_in_largest_domain(const struct flt *f, int vm)
{
	const struct flt_rack *r = flt_rack_of(f, vm);
	const struct flt_pool *p = flt_pool(f, flt_vm(f, vm)->pool);
	int largest = flt_largest_loss(p);

	return flt_behind_switch(p, r->sw)->serving == largest ||
	       (p->budget.survive_zone &&
		flt_in_zone(p, r->zone)->serving == largest);
}

/*
 * Returns how many more VMs may be drained. With a bad image, budgets alone
 * would let hundreds of VMs reboot at once before the first one fails, and all
 * of them would be lost. So at most halt_after VMs may be failed or unproven,
 * until that many have passed their probation; from then on the number grows.
 */
static int wav_count_startable(const struct wav *w)
{
	const struct wav_config *c = &w->config;
	int unproven = w->failures;
	int out = 0;
	int startable;
	guint i;

	for (i = 0; i < w->targets->len; i++) {
		const struct wav_target *t = wav_get_target(w, (int)i);

		out += wav_defs[t->step].active;
		unproven += wav_defs[t->step].active || t->probation_end_ms;
	}
	startable = c->halt_after - unproven;
	if (w->n_proven >= c->halt_after)
		startable =
			c->widen ? c->widen * w->n_proven - unproven : INT_MAX;
	if (c->parallel)
		startable = MIN(startable, c->parallel - out);
	return startable;
}

/*
 * Sends the request of a step, again until its reply arrives, but not into a
 * partitioned zone.
 */
static void wav_send_request(struct wav *w, const struct flt *f,
			     struct wav_target *t, int64_t now_ms,
			     struct wav_out *out)
{
	struct wav_request request = {
		.wave = w->id,
		.vm = t->vm,
		.step = t->step,
		.attempt = t->attempt,
	};

	if (flt_zone_of(f, t->vm)->partitioned ||
	    (t->sent_ms && now_ms - t->sent_ms < w->config.retry_ms))
		return;
	t->sent_ms = now_ms;
	g_array_append_val(out->requests, request);
}

/* Whether VMs that are still draining must return to service. */
static bool wav_must_return_vms(const struct wav *w)
{
	return w->state == WAV_HALTED || w->state == WAV_ABORTING;
}

/* Adds an audit text, prefixed with the wave. */
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
		t.drain_timeouts = (int)pk_get_i(&a);
		t.since_ms = pk_get_i(&a);
		t.probation_end_ms = pk_get_i(&a);
		if (t.vm < 0 || step < 0 || step >= WAV_STEPS)
			return false;
		t.step = (enum wav_step)step;
		g_array_append_val(w->targets, t);
		g_hash_table_insert(w->by_vm, GINT_TO_POINTER(t.vm + 1),
				    GINT_TO_POINTER(w->targets->len));
	}
	return pk_in_ok(&a) && pk_in_ok(in);
}
