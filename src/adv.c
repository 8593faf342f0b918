#include "adv.h"

/*
 * Calls take long (some 100 ms and some ms for each worker named) and go one
 * after another, so that what is asked, and for whom, is what tasks wait for.
 * The step that a plan would start next goes first. It is asked for as many
 * workers as have room for its tasks, by the share that was approved before in
 * its queue, and for so many more: with half of all approved, one call in 64
 * for a single task brings none.
 */
#define ADV_SPARE 2
/* Least number that a call may name: for one task, with half approved. */
#define ADV_FEW 6
/* Least share of workers that is reckoned with: 1 in 20. */
#define ADV_SHARE_MIN 0.05
/* Workers asked for after which older answers count half in the share. */
#define ADV_SHARE_OF 200
/*
 * How far ahead of its turn a step is asked for, ms, where its tickets last
 * for good: several calls, which the steps before it hide.
 */
#define ADV_AHEAD_MS 20000
/* Tickets that end within two calls of so many workers, and this, are renewed. */
#define ADV_USUAL 30
#define ADV_RENEW_MS 1000
/*
 * A task is placed only by a ticket that holds for so long yet, ms: its start
 * goes through the log first, 5 to 100 ms, and may be sent twice.
 */
#define ADV_PLACE_MS 600
/* A question that was turned down, or a ticket, waits so long; then twice. */
#define ADV_AGAIN_MS 500
#define ADV_AGAIN_MAX_MS 16000
/* Between two looks for what is over, ms. */
#define ADV_PRUNE_MS 1000
/* Room for "ID.TURN.STEP". */
#define ADV_KEY_MAX (JTB_ID_MAX + 24)
/*
 * A step that wants nothing isn't looked at for so long, ms. In a burst
 * hundreds wait for room, with tickets or with nobody left to ask, and to go
 * through all workers for each of them at each look would take the leader's
 * time; what they may want next is worth a call that takes as long.
 */
#define ADV_QUIET_MS 200

enum adv_word_kind {
	ADV_WORD_NO, /* it may never run the step */
	ADV_WORD_YES,
	ADV_WORD_DROPPED, /* it refused its ticket: unknown again */
};

/* What is known of one worker and one step. */
struct adv_word {
	enum adv_word_kind kind;
	char *ticket;
	int64_t until_ms; /* of the ticket */
	int64_t again_ms; /* dropped: not asked before */
	uint32_t drops;
};

struct adv_step {
	struct jtb_name name;
	GHashTable *words; /* worker's id: struct adv_word */
	uint32_t n_yes;
	int64_t valid_ms;
	int64_t again_ms; /* turned down: not asked before */
	int64_t quiet_ms; /* wanted nothing: not looked at before */
	int64_t wait_ms; /* how long it waits the next time */
};

/* How many workers a queue's service approves. */
struct adv_share {
	double named;
	double approved;
};

struct adv {
	const struct jtb *jtb;
	GHashTable *steps; /* "ID.TURN.STEP": struct adv_step */
	GHashTable *shares; /* queue's name: struct adv_share */
	struct jtb_name last_name; /* of the step looked up last, */
	struct adv_step *last; /* which there may be none of */
	bool last_known;
	uint64_t config; /* version that any was found in */
	bool any; /* a queue needs advice */
	GHashTable *pools; /* name: workers that may be given work, this look */
	int64_t pruned_ms;
};

/* A step that is short of tickets, and how much that matters. */
struct adv_cand {
	struct jtb_job *job;
	const struct jtb_queue *queue;
	uint32_t turn;
	uint32_t step;
	bool late; /* its job can't be in time any more */
	bool due;
	bool none; /* nothing of it can be started */
	double urgency;
	int64_t begins_ms; /* from now on, by guesses */
	bool room; /* somebody who may be asked for has room now */
	uint32_t missing; /* tasks that no ticket has room for */
};

/* A worker that may be asked for. */
struct adv_choice {
	const struct jtb_worker *w;
	uint32_t room;
	bool known; /* it was approved before, and will be again */
};

static GArray *adv_jobs(struct adv *a, int64_t wall_ms);
static bool adv_stuck(struct adv *a, const struct adv_cand *c, int64_t now_ms,
		      int64_t wall_ms);
static bool adv_is_first(const struct adv_cand *c);
static int adv_by_urgency(gconstpointer a, gconstpointer b);
static GPtrArray *adv_pool(struct adv *a, const struct sch_view *v,
			   const char *name);
static void adv_pool_free(gpointer p);
static void adv_job(struct adv *a, const struct sch_view *v,
		    const struct adv_cand *of, struct adv_cand *best);
static void adv_begins(const struct jtb_job *job, uint32_t turn,
		       int64_t wall_ms, int64_t *out);
static bool adv_wants(struct adv *a, const struct sch_view *v,
		      struct adv_cand *c);
static bool adv_has(struct adv *a, const struct sch_view *v,
		    const struct adv_cand *c, uint64_t *room);
static bool adv_somebody(struct adv *a, const struct sch_view *v,
			 struct adv_cand *c);
static uint32_t adv_open(const struct adv_cand *c);
static GArray *adv_choices(struct adv *a, const struct sch_view *v,
			   const struct adv_cand *c);
static void adv_name(struct adv *a, const struct sch_view *v,
		     const struct adv_cand *c, struct adv_ask *out);
static bool adv_before(const struct adv_cand *a, const struct adv_cand *b);
static bool adv_may_run(const struct adv_cand *c, const struct jtb_worker *w);
static uint32_t adv_room(const struct adv_cand *c, const struct jtb_worker *w);
static uint32_t adv_fit(uint32_t all, uint32_t used, uint32_t each);
static uint32_t adv_here(const struct adv_cand *c, const struct jtb_worker *w);
static int64_t adv_given_ms(const struct adv_ask *ask, int64_t asked_ms,
			    int64_t now_ms);
static uint32_t adv_names_max(const struct jtb_queue *q);
static bool adv_begun(const struct jtb_job *job, uint32_t turn);
static int64_t adv_ahead_ms(const struct jtb_queue *q);
static int64_t adv_renew_ms(const struct jtb_queue *q);
static int adv_by_worth(gconstpointer a, gconstpointer b);
static struct adv_step *adv_find(struct adv *a, const struct jtb_name *n);
static struct adv_step *adv_make(struct adv *a, const struct jtb_name *n);
static struct adv_word *adv_word(const struct adv_step *s, const char *worker);
static void adv_put(struct adv_step *s, const char *worker, const char *ticket,
		    int64_t until_ms);
static double adv_share(struct adv *a, const char *queue);
static void adv_learn(struct adv *a, const struct adv_ask *ask, uint32_t named,
		      uint32_t approved);
static void adv_prune(struct adv *a, int64_t now_ms);
static bool adv_is_over(const struct adv *a, const struct adv_step *s);
static void adv_key(const struct jtb_name *n, char *out);
static struct jtb_name adv_step_name(const struct jtb_job *job, uint32_t turn,
				     uint32_t step);
static void adv_step_free(gpointer p);
static void adv_word_free(gpointer p);

/* Knows no ticket yet; the table must outlive it. */
struct adv *adv_new(const struct jtb *t)
{
	struct adv *a = g_new0(struct adv, 1);

	a->jtb = t;
	a->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 adv_pool_free);
	a->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 adv_step_free);
	a->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

/* Frees all tickets. */
void adv_free(struct adv *a)
{
	if (!a)
		return;
	g_hash_table_destroy(a->steps);
	g_hash_table_destroy(a->shares);
	g_hash_table_destroy(a->pools);
	g_free(a);
}

/*
 * Forgets all tickets: another leads, or we do again. Tickets aren't in the
 * log, as each can be had again for the price of a call.
 */
void adv_clear(struct adv *a)
{
	a->last_known = false;
	g_hash_table_remove_all(a->steps);
}

/* Whether any queue needs advice: most installations have none that does. */
bool adv_needed(struct adv *a)
{
	const struct jtb_config *c = jtb_config(a->jtb);
	guint i;

	if (a->config == c->version)
		return a->any;
	a->config = c->version;
	a->any = false;
	for (i = 0; i < c->queues->len; i++) {
		const struct jtb_queue *q = g_ptr_array_index(c->queues, i);

		a->any = a->any || q->advised;
	}
	return a->any;
}

/*
 * What is asked next: of the steps short of tickets the one that matters most.
 * False: nothing is. Made for bursts in which many more steps wait for advice
 * than the service has time for.
 */
bool adv_next(struct adv *a, const struct sch_view *v, struct adv_ask *out)
{
	struct adv_cand best = {0};
	GArray *jobs;
	guint i;

	adv_prune(a, v->now_ms);
	if (!adv_needed(a))
		return false;
	g_hash_table_remove_all(a->pools);
	jobs = adv_jobs(a, v->wall_ms);
	g_array_sort(jobs, adv_by_urgency);
	for (i = 0; i < jobs->len && !adv_is_first(&best); i++) {
		const struct adv_cand *c =
			&g_array_index(jobs, struct adv_cand, i);

		/* nothing of one that is late goes before */
		if (best.job && c->late && !best.late)
			break;
		adv_job(a, v, c, &best);
	}
	g_array_free(jobs, TRUE);
	if (!best.job)
		return false;
	adv_name(a, v, &best, out);
	return true;
}

/* Takes an answer in: who isn't among its rows may never run the step. */
void adv_answered(struct adv *a, const struct adv_ask *ask,
		  const GPtrArray *rows, int64_t asked_ms, int64_t now_ms)
{
	struct adv_step *s = adv_make(a, &ask->step);
	int64_t given = adv_given_ms(ask, asked_ms, now_ms);
	int64_t until = ask->valid_ms ? given + ask->valid_ms : INT64_MAX;
	uint32_t named = 0;
	uint32_t approved = 0;
	guint i;
	guint r;

	s->valid_ms = ask->valid_ms;
	s->again_ms = 0;
	s->quiet_ms = 0;
	s->wait_ms = 0;
	for (i = 0; i < ask->workers->len; i++) {
		const char *id = g_ptr_array_index(ask->workers, i);
		bool first = !adv_word(s, id);
		const char *ticket = NULL;

		for (r = 0; r < rows->len; r++) {
			const struct adv_row *row = g_ptr_array_index(rows, r);

			if (strcmp(row->worker, id) == 0)
				ticket = row->ticket;
		}
		named += first;
		approved += first && ticket;
		adv_put(s, id, ticket, until);
	}
	adv_learn(a, ask, named, approved);
}

/*
 * The service doesn't take this question. It is asked again, ever less often,
 * so that others get their turn; what is owed is never given up.
 */
void adv_turned_down(struct adv *a, const struct adv_ask *ask, int64_t now_ms)
{
	struct adv_step *s = adv_make(a, &ask->step);

	s->wait_ms = s->wait_ms ? MIN(2 * s->wait_ms, ADV_AGAIN_MAX_MS)
				: ADV_AGAIN_MS;
	s->again_ms = now_ms + s->wait_ms;
}

/*
 * A worker refused a start for its ticket: another is asked for. The pause
 * doubles, since a worker that refuses each ticket would else be sent one
 * start after another.
 */
void adv_drop(struct adv *a, const struct jtb_run *run, int64_t now_ms)
{
	struct jtb_name n = adv_step_name(run->job, run->turn, run->step);
	struct adv_step *s = adv_find(a, &n);
	struct adv_word *w = s ? adv_word(s, run->worker->info.id) : NULL;

	if (!w || w->kind != ADV_WORD_YES)
		return;
	s->n_yes--;
	s->quiet_ms = 0;
	w->kind = ADV_WORD_DROPPED;
	w->again_ms = now_ms +
		      MIN(ADV_AGAIN_MS << MIN(w->drops, 16), ADV_AGAIN_MAX_MS);
	w->drops++;
}

/* The ticket for a step on a worker; NULL: there is none that holds. */
const char *adv_ticket(struct adv *a, const struct jtb_job *job, uint32_t turn,
		       uint32_t step, const struct jtb_worker *w,
		       int64_t now_ms)
{
	struct jtb_name n = adv_step_name(job, turn, step);
	const struct adv_step *s = adv_find(a, &n);
	const struct adv_word *word =
		s && s->n_yes ? adv_word(s, w->info.id) : NULL;

	return word && word->kind == ADV_WORD_YES && word->until_ms > now_ms
		       ? word->ticket
		       : NULL;
}

/* Whether a task of a step may be placed on a worker now. */
bool adv_ticketed(struct adv *a, const struct jtb_job *job, uint32_t turn,
		  uint32_t step, const struct jtb_worker *w, int64_t now_ms)
{
	struct jtb_name n = adv_step_name(job, turn, step);
	const struct adv_step *s = adv_find(a, &n);
	int64_t rest = ADV_PLACE_MS;

	if (!s || !s->n_yes)
		return false;
	/* tickets that last less than some starts are still of use */
	if (s->valid_ms)
		rest = MIN(rest, s->valid_ms / 4);
	return adv_ticket(a, job, turn, step, w, now_ms + rest) != NULL;
}

/* Steps that are due and have no ticket: what is owed and can't be started. */
uint32_t adv_waiting(struct adv *a, int64_t now_ms, int64_t wall_ms)
{
	GArray *jobs = adv_jobs(a, wall_ms);
	uint32_t n = 0;
	guint i;

	for (i = 0; i < jobs->len; i++) {
		struct adv_cand c = g_array_index(jobs, struct adv_cand, i);

		for (c.turn = 0; c.turn < c.job->n_turns; c.turn++)
			for (c.step = 0; c.step < c.job->spec.n_steps; c.step++)
				n += adv_stuck(a, &c, now_ms, wall_ms);
	}
	g_array_free(jobs, TRUE);
	return n;
}

/* Steps of which anything is known. */
uint32_t adv_kept(const struct adv *a)
{
	return g_hash_table_size(a->steps);
}

/* Frees what a question holds. */
void adv_ask_clear(struct adv_ask *ask)
{
	if (ask->workers)
		g_ptr_array_free(ask->workers, TRUE);
	*ask = (struct adv_ask){0};
}

/* Frees a row of an answer. */
void adv_row_free(gpointer p)
{
	struct adv_row *row = p;

	g_free(row->worker);
	g_free(row->ticket);
	g_free(row);
}

/* The jobs that need advice, with what is the same for all of their steps. */
static GArray *adv_jobs(struct adv *a, int64_t wall_ms)
{
	GPtrArray *live = jtb_live(a->jtb);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct adv_cand));
	guint i;

	for (i = 0; adv_needed(a) && i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);
		struct adv_cand c = {.job = job};

		c.queue = jtb_queue(jtb_config(a->jtb), job->spec.queue);
		if (!c.queue || !c.queue->advised || jtb_job_ended(job))
			continue;
		c.urgency = sch_urgency(c.queue, job, wall_ms);
		c.late = !sch_lasts(job) && !job->spec.repeats &&
			 sch_chance(c.queue, job, wall_ms) != SCH_IN_TIME;
		g_array_append_val(out, c);
	}
	return out;
}

/* Whether a step is due, has something to start and no ticket. */
static bool adv_stuck(struct adv *a, const struct adv_cand *c, int64_t now_ms,
		      int64_t wall_ms)
{
	const struct jtb_step_state *part =
		jtb_step_state(c->job, c->turn, c->step);
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	const struct adv_step *s = adv_find(a, &n);
	GHashTableIter it;
	struct adv_word *w;

	if (c->job->turns[c->turn].done & (1ULL << c->step) ||
	    !jtb_step_due(c->job, c->turn, c->step, wall_ms) ||
	    (part && part->n_done + part->n_runs + part->n_proposed >=
			     c->job->spec.steps[c->step].count))
		return false;
	if (!s)
		return true;
	g_hash_table_iter_init(&it, s->words);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (w->kind == ADV_WORD_YES && w->until_ms > now_ms)
			return false;
	return true;
}

/* Whether nothing can go before a step, of those that come after it. */
static bool adv_is_first(const struct adv_cand *c)
{
	return c->job && c->due && c->none && c->room;
}

/* Orders jobs: what isn't late, then what a plan starts first. */
static int adv_by_urgency(gconstpointer a, gconstpointer b)
{
	const struct adv_cand *x = a;
	const struct adv_cand *y = b;

	if (x->late != y->late)
		return x->late ? 1 : -1;
	return (x->urgency < y->urgency) - (x->urgency > y->urgency);
}

/* The workers of a pool that may be given work, found once in a look. */
static GPtrArray *adv_pool(struct adv *a, const struct sch_view *v,
			   const char *name)
{
	GPtrArray *pool = g_hash_table_lookup(a->pools, name);
	GHashTableIter it;
	struct jtb_worker *w;

	if (pool)
		return pool;
	pool = g_ptr_array_new();
	g_hash_table_insert(a->pools, g_strdup(name), pool);
	g_hash_table_iter_init(&it, jtb_workers(a->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.pool, name) == 0 &&
		    !g_hash_table_contains(v->closed, w->info.id) &&
		    v->usable(v->arg, w))
			g_ptr_array_add(pool, w);
	return pool;
}

/* Frees a pool's list. */
static void adv_pool_free(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

/* Looks through the steps of a job that are due, or soon will be. */
static void adv_job(struct adv *a, const struct sch_view *v,
		    const struct adv_cand *of, struct adv_cand *best)
{
	const struct jtb_job *job = of->job;
	int64_t ahead = adv_ahead_ms(of->queue);
	int64_t begins[JTB_STEPS_MAX];
	uint64_t all = ~0ULL >> (JTB_STEPS_MAX - job->spec.n_steps);
	struct adv_cand c = *of;
	bool begun;

	for (c.turn = 0; c.turn < job->n_turns; c.turn++) {
		if (jtb_turn_due(job, c.turn) - v->wall_ms > ahead)
			break;
		/* of a job that was repeated often nearly all are */
		if (job->turns[c.turn].done == all)
			continue;
		adv_begins(job, c.turn, v->wall_ms, begins);
		begun = adv_begun(job, c.turn);
		for (c.step = 0; c.step < job->spec.n_steps; c.step++) {
			c.begins_ms = begins[c.step];
			if (job->turns[c.turn].done & (1ULL << c.step) ||
			    c.begins_ms > ahead)
				continue;
			c.due = jtb_step_due(job, c.turn, c.step, v->wall_ms);
			if (job->spec.steps[c.step].after && !c.due && !begun)
				continue;
			if (adv_wants(a, v, &c) && adv_before(&c, best))
				*best = c;
		}
	}
}

/* In how many ms each step of a turn may begin, by guesses. */
static void adv_begins(const struct jtb_job *job, uint32_t turn,
		       int64_t wall_ms, int64_t *out)
{
	uint64_t done = job->turns[turn].done;
	uint32_t s;
	uint32_t p;

	for (s = 0; s < job->spec.n_steps; s++) {
		out[s] = MAX(0, jtb_turn_due(job, turn) - wall_ms);
		for (p = 0; p < s; p++)
			if (job->spec.steps[s].after & ~done & (1ULL << p))
				out[s] = MAX(
					out[s],
					out[p] +
						job->spec.steps[p].estimate_ms);
	}
}

/*
 * Whether a step is short of tickets and somebody is left to be asked for.
 * Room that others use counts for a step that is due: where those with tickets
 * are full, those with room are asked for.
 */
static bool adv_wants(struct adv *a, const struct sch_view *v,
		      struct adv_cand *c)
{
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	struct adv_step *s = adv_find(a, &n);
	bool gang = c->job->spec.steps[c->step].flags & JTB_GANG;
	uint32_t open = adv_open(c);
	uint64_t room;
	bool any;

	if (!open || (s && MAX(s->again_ms, s->quiet_ms) > v->now_ms))
		return false;
	any = adv_has(a, v, c, &room);
	c->none = gang ? room < open : !any;
	c->missing = open - (uint32_t)MIN(open, room);
	if (c->missing && adv_somebody(a, v, c))
		return true;
	adv_make(a, &n)->quiet_ms = v->now_ms + ADV_QUIET_MS;
	return false;
}

/*
 * Whether a step has tickets that hold; room: for how many tasks those are that
 * needn't be renewed.
 */
static bool adv_has(struct adv *a, const struct sch_view *v,
		    const struct adv_cand *c, uint64_t *room)
{
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	const struct adv_step *s = adv_find(a, &n);
	const GPtrArray *pool = adv_pool(a, v, c->queue->pool);
	int64_t fresh = v->now_ms + adv_renew_ms(c->queue);
	bool any = false;
	guint i;

	*room = 0;
	for (i = 0; s && s->n_yes && i < pool->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(pool, i);
		const struct adv_word *word = adv_word(s, w->info.id);

		if (!word || word->kind != ADV_WORD_YES ||
		    word->until_ms <= v->now_ms || !adv_may_run(c, w))
			continue;
		any = true;
		*room += word->until_ms > fresh ? adv_room(c, w) : 0;
	}
	return any;
}

/* Whether anybody is left to be asked for, and whether one has room. */
static bool adv_somebody(struct adv *a, const struct sch_view *v,
			 struct adv_cand *c)
{
	GArray *choices = adv_choices(a, v, c);
	bool any = choices->len > 0;
	guint i;

	c->room = false;
	for (i = 0; i < choices->len && !c->room; i++)
		c->room = g_array_index(choices, struct adv_choice, i).room;
	g_array_free(choices, TRUE);
	return any;
}

/*
 * Tasks of a step that a ticket is needed for. Work that lasts may end at any
 * moment, and its next start can't wait for a call.
 */
static uint32_t adv_open(const struct adv_cand *c)
{
	const struct jtb_step_state *part =
		jtb_step_state(c->job, c->turn, c->step);
	const struct jtb_step *step = &c->job->spec.steps[c->step];
	uint32_t open = step->count;

	if (part)
		open -= MIN(open,
			    part->n_done + part->n_runs + part->n_proposed);
	return step->flags & JTB_LONG_RUNNING ? MAX(open, 1) : open;
}

/*
 * Workers that a step may be asked for: of whom nothing is known, whose ticket
 * ends soon or was refused. While it can go on with what it has, only those
 * that have room: others would cost time and help nobody now.
 */
static GArray *adv_choices(struct adv *a, const struct sch_view *v,
			   const struct adv_cand *c)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct adv_choice));
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	const struct adv_step *s = adv_find(a, &n);
	const GPtrArray *pool = adv_pool(a, v, c->queue->pool);
	int64_t fresh = v->now_ms + adv_renew_ms(c->queue);
	guint i;

	for (i = 0; i < pool->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(pool, i);
		const struct adv_word *word =
			s ? adv_word(s, w->info.id) : NULL;
		struct adv_choice choice = {.w = w, .known = word != NULL};

		if (!adv_may_run(c, w) ||
		    (word &&
		     (word->kind == ADV_WORD_NO ||
		      (word->kind == ADV_WORD_YES && word->until_ms > fresh) ||
		      word->again_ms > v->now_ms)))
			continue;
		choice.room = adv_room(c, w);
		if (choice.room || c->none)
			g_array_append_val(out, choice);
	}
	return out;
}

/* Writes a question: for those with the most room, as many as are needed. */
static void adv_name(struct adv *a, const struct sch_view *v,
		     const struct adv_cand *c, struct adv_ask *out)
{
	GArray *choices = adv_choices(a, v, c);
	double share = adv_share(a, c->job->spec.queue);
	uint32_t most = adv_names_max(c->queue);
	double room = 0;
	double spare = 0;
	guint i;

	g_array_sort(choices, adv_by_worth);
	*out = (struct adv_ask){
		.step = adv_step_name(c->job, c->turn, c->step),
		.workers = g_ptr_array_new_with_free_func(g_free),
		.valid_ms = c->queue->advice_valid_ms,
	};
	for (i = 0; i < choices->len && i < most; i++) {
		const struct adv_choice *w =
			&g_array_index(choices, struct adv_choice, i);

		if (room >= c->missing)
			spare += w->known ? 1 : share;
		else
			room += MAX(w->room, 1) * (w->known ? 1 : share);
		g_ptr_array_add(out->workers, g_strdup(w->w->info.id));
		if (spare >= ADV_SPARE)
			break;
	}
	g_array_free(choices, TRUE);
	out->takes_ms = c->queue->advice_ms +
			(int64_t)c->queue->advice_each_ms * out->workers->len;
}

/*
 * Which of two steps is asked for first, of jobs that come in order: what
 * stands still now, what will stand still, what could go faster; of these what
 * has room, as tickets may end before there is some.
 */
static bool adv_before(const struct adv_cand *a, const struct adv_cand *b)
{
	if (!b->job)
		return true;
	if (a->none != b->none && (a->due || b->due))
		return a->none ? a->due : !b->due;
	if (a->due != b->due)
		return a->due;
	if (a->none != b->none)
		return a->none;
	if (a->room != b->room)
		return a->room;
	if (a->urgency != b->urgency)
		return a->urgency > b->urgency;
	return a->begins_ms < b->begins_ms;
}

/* Whether a worker of the pool can be given work of a step at all. */
static bool adv_may_run(const struct adv_cand *c, const struct jtb_worker *w)
{
	const char *label = c->job->spec.steps[c->step].label;

	return !label ||
	       g_strv_contains((const char *const *)w->info.labels, label);
}

/* Tasks of a step that a worker has room for: now, or when it is due. */
static uint32_t adv_room(const struct adv_cand *c, const struct jtb_worker *w)
{
	const struct jtb_step *s = &c->job->spec.steps[c->step];
	uint32_t now = c->due;
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	uint32_t room = s->count;

	room = MIN(room, adv_fit(w->info.cpu,
				 now * (w->used_cpu + w->proposed_cpu), cpu));
	room = MIN(room,
		   adv_fit(w->info.mem_mb,
			   now * (w->used_mem + w->proposed_mem), s->mem_mb));
	room = MIN(room,
		   adv_fit(w->info.gpus,
			   now * (w->used_gpus + w->proposed_gpus), s->gpus));
	if (s->max_per_worker)
		room = MIN(room, s->max_per_worker - MIN(s->max_per_worker,
							 adv_here(c, w)));
	return room;
}

/* How often something fits into what is left. */
static uint32_t adv_fit(uint32_t all, uint32_t used, uint32_t each)
{
	if (!each)
		return UINT32_MAX;
	return used < all ? (all - used) / each : 0;
}

/* Tasks of a step that run on a worker. */
static uint32_t adv_here(const struct adv_cand *c, const struct jtb_worker *w)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		n += run->job == c->job && run->turn == c->turn &&
		     run->step == c->step;
	}
	return n;
}

/*
 * From when tickets count. When they were given isn't told: at the earliest
 * when the call was sent, or where that is long ago, as the call had to wait,
 * so much earlier than now as the answer took to be found. Of short tickets no
 * more than a quarter is given away so: each would be over when it comes, and
 * the step be asked for in vain for good. One that is over after all is refused
 * by its worker, and dropped.
 */
static int64_t adv_given_ms(const struct adv_ask *ask, int64_t asked_ms,
			    int64_t now_ms)
{
	return MAX(asked_ms, now_ms - MIN(ask->takes_ms, ask->valid_ms / 4));
}

/*
 * Workers that one call may name: of many, the tickets would be half over when
 * the answer comes; a few are always named.
 */
static uint32_t adv_names_max(const struct jtb_queue *q)
{
	int64_t most = ADV_NAMES_MAX;

	if (q->advice_valid_ms && q->advice_each_ms)
		most = ((int64_t)q->advice_valid_ms / 2 - q->advice_ms) /
		       q->advice_each_ms;
	return (uint32_t)CLAMP(most, ADV_FEW, ADV_NAMES_MAX);
}

/*
 * Whether anything of a turn runs or is done. Steps behind others are asked for
 * from then on: while the first waits for room, their tickets would end unused,
 * and be renewed for as long as it waits.
 */
static bool adv_begun(const struct jtb_job *job, uint32_t turn)
{
	const struct jtb_step_state *parts = job->turns[turn].steps;
	uint32_t s;

	for (s = 0; parts && s < job->spec.n_steps; s++)
		if (parts[s].n_runs + parts[s].n_done)
			return true;
	return false;
}

/* How long before its turn a step is asked for: tickets must outlast that. */
static int64_t adv_ahead_ms(const struct jtb_queue *q)
{
	if (!q->advice_valid_ms)
		return ADV_AHEAD_MS;
	return MIN(ADV_AHEAD_MS, q->advice_valid_ms / 2);
}

/* How long before it ends a ticket is renewed. */
static int64_t adv_renew_ms(const struct jtb_queue *q)
{
	int64_t call = q->advice_ms + (int64_t)q->advice_each_ms * ADV_USUAL;

	return MIN(q->advice_valid_ms / 2, 2 * call + ADV_RENEW_MS);
}

/* Orders workers: sure ones first, then the most room. */
static int adv_by_worth(gconstpointer a, gconstpointer b)
{
	const struct adv_choice *x = a;
	const struct adv_choice *y = b;

	if (!x->room != !y->room)
		return x->room ? -1 : 1;
	if (x->known != y->known)
		return x->known ? -1 : 1;
	if (x->room != y->room)
		return x->room > y->room ? -1 : 1;
	return strcmp(x->w->info.id, y->w->info.id);
}

/*
 * What is known of a step, or NULL. The last one is found at once: a plan asks
 * for each worker of a pool in turn.
 */
static struct adv_step *adv_find(struct adv *a, const struct jtb_name *n)
{
	char key[ADV_KEY_MAX];

	if (a->last_known && jtb_name_equal(&a->last_name, n))
		return a->last;
	adv_key(n, key);
	a->last = g_hash_table_lookup(a->steps, key);
	a->last_name = *n;
	a->last_known = true;
	return a->last;
}

/* The same; it is made if nothing is known yet. */
static struct adv_step *adv_make(struct adv *a, const struct jtb_name *n)
{
	struct adv_step *s = adv_find(a, n);
	char key[ADV_KEY_MAX];

	if (s)
		return s;
	s = g_new0(struct adv_step, 1);
	s->name = *n;
	s->words = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 adv_word_free);
	adv_key(n, key);
	g_hash_table_insert(a->steps, g_strdup(key), s);
	a->last_known = false;
	return s;
}

/* What is known of a worker for a step, or NULL. */
static struct adv_word *adv_word(const struct adv_step *s, const char *worker)
{
	return g_hash_table_lookup(s->words, worker);
}

/* Notes what was told of a worker; ticket NULL: it may not run the step. */
static void adv_put(struct adv_step *s, const char *worker, const char *ticket,
		    int64_t until_ms)
{
	struct adv_word *w = adv_word(s, worker);

	if (!w) {
		w = g_new0(struct adv_word, 1);
		g_hash_table_insert(s->words, g_strdup(worker), w);
	}
	s->n_yes -= w->kind == ADV_WORD_YES;
	s->n_yes += ticket != NULL;
	g_free(w->ticket);
	w->ticket = g_strdup(ticket);
	w->kind = ticket ? ADV_WORD_YES : ADV_WORD_NO;
	w->until_ms = until_ms;
	w->again_ms = 0;
}

/* Which share of workers a queue's service approves; half: not known. */
static double adv_share(struct adv *a, const char *queue)
{
	const struct adv_share *s = g_hash_table_lookup(a->shares, queue);

	if (!s)
		return 0.5;
	return MAX((s->approved + 1) / (s->named + 2), ADV_SHARE_MIN);
}

/* Learns from an answer which share is approved; the newest count most. */
static void adv_learn(struct adv *a, const struct adv_ask *ask, uint32_t named,
		      uint32_t approved)
{
	const struct jtb_job *job = jtb_job(a->jtb, ask->step.id);
	struct adv_share *s;

	if (!job || !named)
		return;
	s = g_hash_table_lookup(a->shares, job->spec.queue);
	if (!s) {
		s = g_new0(struct adv_share, 1);
		g_hash_table_insert(a->shares, g_strdup(job->spec.queue), s);
	}
	s->named += named;
	s->approved += approved;
	if (s->named > ADV_SHARE_OF) {
		s->named /= 2;
		s->approved /= 2;
	}
}

/* Forgets steps and workers that are over. */
static void adv_prune(struct adv *a, int64_t now_ms)
{
	GHashTableIter steps;
	GHashTableIter words;
	struct adv_step *s;
	struct adv_word *w;
	char *id;

	if (now_ms - a->pruned_ms < ADV_PRUNE_MS)
		return;
	a->pruned_ms = now_ms;
	a->last_known = false;
	g_hash_table_iter_init(&steps, a->steps);
	while (g_hash_table_iter_next(&steps, NULL, (gpointer *)&s)) {
		if (adv_is_over(a, s)) {
			g_hash_table_iter_remove(&steps);
			continue;
		}
		g_hash_table_iter_init(&words, s->words);
		while (g_hash_table_iter_next(&words, (gpointer *)&id,
					      (gpointer *)&w)) {
			if (jtb_worker(a->jtb, id))
				continue;
			s->n_yes -= w->kind == ADV_WORD_YES;
			g_hash_table_iter_remove(&words);
		}
	}
}

/* Whether nothing of a step will be started any more. */
static bool adv_is_over(const struct adv *a, const struct adv_step *s)
{
	const struct jtb_job *job = jtb_job(a->jtb, s->name.id);

	return !job || jtb_job_ended(job) || s->name.turn >= job->n_turns ||
	       job->turns[s->name.turn].done & (1ULL << s->name.step);
}

/* A step's key. */
static void adv_key(const struct jtb_name *n, char *out)
{
	g_snprintf(out, ADV_KEY_MAX, "%s.%u.%u", n->id, n->turn, n->step);
}

/* A step's name. */
static struct jtb_name adv_step_name(const struct jtb_job *job, uint32_t turn,
				     uint32_t step)
{
	struct jtb_name n = {.turn = turn, .step = step};

	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	return n;
}

/* Frees what is known of a step. */
static void adv_step_free(gpointer p)
{
	struct adv_step *s = p;

	g_hash_table_destroy(s->words);
	g_free(s);
}

/* Frees what is known of a worker. */
static void adv_word_free(gpointer p)
{
	struct adv_word *w = p;

	g_free(w->ticket);
	g_free(w);
}
