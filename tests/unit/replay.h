#ifndef REPLAY_H
#define REPLAY_H

#include <stdlib.h>

#include "fake_platform.h"
#include "fleet_make.h"
#include "job.h"
#include "trc.h"

/*
 * Replays a trace through the same decisions that the daemon runs: fleet,
 * plans, a wave and jobs, with small fakes for the platform and the workers.
 * The test looks at the stated outcomes, the bench at the measures.
 */

#define REPLAY_TICK_MS 1000
#define REPLAY_LEASE_MS 10000

struct replay_job {
	uint64_t id;
	uint32_t attempt;
	int worker;
	int64_t ends_ms;
	bool stop;
};

struct replay {
	struct pln_config config;
	bool eager; /* baseline: moves on every imbalance */
	struct flt *f;
	struct wav *w;
	struct fake *p;
	struct wav_out wave_out;
	int64_t wave_ms; /* from start to end */
	struct jobs *j;
	struct job_out job_out;
	int workers;
	bool bad_worker[64];
	bool cut_worker[64];
	GArray *running; /* struct replay_job */
	GHashTable *seconds; /* id to seconds + 1 */
	GHashTable *submitted; /* id to ms */
	int64_t slowest_urgent_ms;
	int told;
	int64_t now;
	int moves;
	int bound;
	int below; /* pool-ticks below the floor */
	int buffer; /* largest, VMs */
	int fixed; /* the same by a fixed buffer for each pool */
	int wanted;
	char *failed; /* expectation that was not met; NULL: none */
};

typedef void (*replay_fn)(struct replay *r, char **words);

static inline int replay_pool(struct replay *r, const char *name)
{
	return flt_find_pool(r->f, lstr_from(name));
}

static inline void replay_fleet(struct replay *r, char **w)
{
	r->f = fleet_make(atoi(w[1]), atoi(w[2]), atoi(w[3]));
	r->p = fake_new((int)r->f->vms->len, 20261202);
}

static inline void replay_pool_add(struct replay *r, char **w)
{
	int at = fleet_pool(r->f, atoi(w[2]), atoi(w[3]),
			    strcmp(w[4], "zone") == 0);

	g_free(flt_pool(r->f, at)->name);
	flt_pool(r->f, at)->name = g_strdup(w[1]);
}

static inline void replay_wanted(struct replay *r, char **w)
{
	flt_pool(r->f, replay_pool(r, w[1]))->budget.wanted = atoi(w[2]);
}

/* Surplus goes back at once: one of the baselines. */
static inline int replay_give_back(struct replay *r)
{
	int moves = 0;
	int v;

	for (v = 0; v < (int)r->f->vms->len; v++) {
		int pool = flt_vm(r->f, v)->pool;
		const struct flt_pool *p = flt_pool(r->f, pool);

		if (pool == FLT_SPARE || p->serving <= p->budget.wanted ||
		    flt_margin(p) <= r->config.slack)
			continue;
		moves += flt_move(r->f, v, FLT_SPARE) == FLT_OK;
	}
	return moves;
}

/*
 * Fewest VMs that must join a pool now: what it lacks, without those that a
 * wave will bring back, and none for a cut while the floor holds.
 */
static inline int replay_lacking(const struct replay *r, int pool)
{
	const struct flt_pool *p = flt_pool(r->f, pool);
	int margin = flt_margin(p);
	int coming = 0;
	int i;

	for (i = 0; i < (int)r->f->zones->len; i++)
		if (g_array_index(r->f->zones, struct flt_zone, i).partitioned)
			return MAX(0, flt_floor(p) - p->serving);
	for (i = 0; i < (int)r->f->vms->len; i++)
		coming += flt_vm(r->f, i)->pool == pool &&
			  flt_vm(r->f, i)->wave != FLT_NO_WAVE &&
			  flt_vm(r->f, i)->state != FLT_UP &&
			  flt_vm(r->f, i)->state != FLT_DOWN;
	return MAX(MAX(0, -margin), MAX(p->budget.wanted - p->serving,
					r->config.slack - margin) -
					    coming);
}

static inline void replay_plan(struct replay *r, char **w)
{
	struct pln_measures m;
	int fixed = 0;
	int i;

	for (i = 1; i < (int)r->f->pools->len; i++)
		r->bound += replay_lacking(r, i);
	r->moves += fleet_replan(r->f, &r->config);
	if (r->eager)
		r->moves += replay_give_back(r);
	/* The buffer is what an intact fleet sets aside. */
	for (i = 0; i < (int)r->f->vms->len; i++)
		if (flt_vm(r->f, i)->state != FLT_UP ||
		    flt_zone_of(r->f, i)->partitioned)
			return;
	pln_measure(r->f, &r->config, &m);
	for (i = 1; i < (int)r->f->pools->len; i++)
		fixed += flt_pool(r->f, i)->max_behind_switch + r->config.slack;
	r->wanted = m.wanted;
	r->buffer = MAX(r->buffer, m.embedded + m.reserve);
	r->fixed = MAX(r->fixed, fixed);
}

static inline void replay_rack_lost(struct replay *r, char **w)
{
	flt_fail_rack(r->f, atoi(w[1]));
}

static inline void replay_repair(struct replay *r, char **w)
{
	int i;

	for (i = 0; i < (int)r->f->vms->len; i++) {
		if (flt_vm(r->f, i)->state != FLT_DOWN)
			continue;
		flt_vm_event(r->f, i, FLT_BOOTED);
		flt_vm_event(r->f, i, FLT_HEALTHY);
	}
}

/* The VM of a pool that joined last fails. */
static inline void replay_vm_lost(struct replay *r, char **w)
{
	int pool = replay_pool(r, w[1]);
	int best = -1;
	int i;

	for (i = 0; i < (int)r->f->vms->len; i++)
		if (flt_vm(r->f, i)->pool == pool &&
		    flt_vm(r->f, i)->state == FLT_UP &&
		    (best < 0 ||
		     flt_vm(r->f, i)->epoch >= flt_vm(r->f, best)->epoch))
			best = i;
	flt_vm_event(r->f, best, FLT_FAIL);
}

static inline void replay_cut(struct replay *r, char **w)
{
	flt_set_partitioned(r->f, atoi(w[1]), true);
}

static inline void replay_heal(struct replay *r, char **w)
{
	flt_set_partitioned(r->f, atoi(w[1]), false);
}

static inline void replay_image(struct replay *r, char **w)
{
	r->p->bad_percent = strcmp(w[1], "bad") == 0 ? 100 : 0;
}

static inline void replay_wave(struct replay *r, char **w)
{
	struct wav_config c = fake_wave_config();
	int *vms;
	int i;

	if (strcmp(w[1], "start") == 0) {
		vms = g_new(int, r->f->vms->len);
		for (i = 0; i < (int)r->f->vms->len; i++)
			vms[i] = i;
		c.widen = 0;
		r->w = wav_new(1, &c, vms, (int)r->f->vms->len);
		g_free(vms);
		r->wave_ms = -r->now;
		wav_command(r->w, WAV_START, LSTR("trace"), &r->wave_out);
	} else {
		wav_command(r->w,
			    strcmp(w[1], "pause") == 0	  ? WAV_PAUSE
			    : strcmp(w[1], "resume") == 0 ? WAV_RESUME
							  : WAV_ABORT,
			    LSTR("trace"), &r->wave_out);
	}
}

static inline void replay_workers(struct replay *r, char **w)
{
	struct job_size capacity = {16000, 64000, 0};
	struct job_size quota = {1000000, 4000000, 0};
	struct job_config c = {};
	int i;

	c.waiting_max = 100000;
	c.oldest_every = 8;
	c.stops_max = 2;
	c.suspect_after = 3;
	c.margin_ms = 2000;
	r->j = jobs_new(&c);
	r->workers = atoi(w[1]);
	job_set_pool(r->j, 0);
	for (i = 0; i < 4; i++)
		job_set_team(r->j, i, &quota);
	for (i = 0; i < r->workers; i++)
		job_set_worker(r->j, i, 0, &capacity, &r->job_out);
}

static inline enum job_class replay_class(const char *word)
{
	return strcmp(word, "urgent") == 0    ? JOB_URGENT
	       : strcmp(word, "archive") == 0 ? JOB_ARCHIVE
					      : JOB_NORMAL;
}

/* submit FROM TO CLASS TEAM CPUS SECONDS [once] */
static inline void replay_submit(struct replay *r, char **w)
{
	struct job_spec s = {};
	uint64_t to = (uint64_t)atoi(w[2]);

	s.cls = replay_class(w[3]);
	s.team = atoi(w[4]);
	s.size.cpu_milli = atoi(w[5]) * 1000;
	s.idempotent = !w[6] || !w[7];
	s.checkpoints = s.idempotent;
	for (s.id = (uint64_t)atoi(w[1]); s.id <= to; s.id++) {
		if (job_submit(r->j, &s, r->now, &r->job_out) != JOB_OK)
			continue;
		g_hash_table_insert(r->seconds, GINT_TO_POINTER(s.id),
				    GINT_TO_POINTER(atoi(w[6]) + 1));
		g_hash_table_insert(r->submitted, GINT_TO_POINTER(s.id),
				    GINT_TO_POINTER(r->now + 1));
	}
}

static inline void replay_cancel(struct replay *r, char **w)
{
	int id;

	for (id = atoi(w[1]); id <= atoi(w[2]); id++)
		job_cancel(r->j, (uint64_t)id, &r->job_out);
}

static inline void replay_rank(struct replay *r, char **w)
{
	job_set_priority(r->j, atoi(w[1]), replay_class(w[2]), atoi(w[3]));
}

static inline void replay_worker(struct replay *r, char **w)
{
	int at = atoi(w[1]);

	r->bad_worker[at] = strcmp(w[2], "bad") == 0;
	r->cut_worker[at] = strcmp(w[2], "cut") == 0;
	if (!r->cut_worker[at])
		job_resend(r->j, &r->job_out);
}

static inline bool replay_is(const char *op, double a, double b)
{
	return strcmp(op, "=") == 0    ? a == b
	       : strcmp(op, "<=") == 0 ? a <= b
				       : a >= b;
}

static inline double replay_value(struct replay *r, char **w)
{
	struct job_status s;
	struct wav_status ws;
	int i;

	if (strcmp(w[1], "below-floor") == 0)
		return r->below;
	if (strcmp(w[1], "moves-of-bound") == 0)
		return (double)r->moves / MAX(1, r->bound);
	if (strcmp(w[1], "moves") == 0)
		return r->moves;
	if (strcmp(w[1], "slowest-urgent-ms") == 0)
		return (double)r->slowest_urgent_ms;
	if (strcmp(w[1], "told") == 0)
		return r->told;
	if (strncmp(w[1], "serving:", 8) == 0)
		return flt_pool(r->f, replay_pool(r, w[1] + 8))->serving;
	if (strncmp(w[1], "suspect:", 8) == 0)
		return job_is_suspect(r->j, atoi(w[1] + 8));
	if (strncmp(w[1], "job:", 4) == 0)
		return job_status(r->j, (uint64_t)atoi(w[1] + 4), &s)
			       ? (int)s.state
			       : -1;
	for (i = 0; r->j && i < JOB_STATES; i++)
		if (strcmp(w[1], job_state_name((enum job_state)i)) == 0)
			return job_count(r->j, (enum job_state)i);
	if (!r->w)
		return -1;
	wav_status(r->w, &ws);
	if (strcmp(w[1], "wave") == 0)
		return ws.state;
	for (i = 0; i < WAV_STEPS; i++)
		if (strcmp(w[1], wav_step_name((enum wav_step)i)) == 0)
			return ws.by_step[i];
	return -1;
}

/* expect WHAT OP NUMBER, or the name of a state of a wave or job. */
static inline void replay_expect(struct replay *r, char **w)
{
	double value = replay_value(r, w);
	double want = g_ascii_strtod(w[3], NULL);
	int i;

	for (i = 0; strcmp(w[1], "wave") == 0 && i < WAV_STATES; i++)
		if (strcmp(w[3], wav_state_name((enum wav_state)i)) == 0)
			want = i;
	for (i = 0; strncmp(w[1], "job:", 4) == 0 && i < JOB_STATES; i++)
		if (strcmp(w[3], job_state_name((enum job_state)i)) == 0)
			want = i;
	if (!replay_is(w[2], value, want) && !r->failed)
		r->failed = g_strdup_printf("%s %s %s, but it is %g", w[1],
					    w[2], w[3], value);
}

static inline void replay_nothing(struct replay *r, char **w)
{
}

static const struct {
	const char *verb;
	int words;
	replay_fn fn;
} replay_verbs[] = {
	{"fleet", 4, replay_fleet},	    {"pool", 5, replay_pool_add},
	{"wanted", 3, replay_wanted},	    {"plan", 1, replay_plan},
	{"rack-lost", 2, replay_rack_lost}, {"repair", 1, replay_repair},
	{"vm-lost", 2, replay_vm_lost},	    {"zone-cut", 2, replay_cut},
	{"zone-back", 2, replay_heal},	    {"image", 2, replay_image},
	{"wave", 2, replay_wave},	    {"workers", 2, replay_workers},
	{"submit", 7, replay_submit},	    {"cancel", 3, replay_cancel},
	{"rank", 4, replay_rank},	    {"worker", 3, replay_worker},
	{"expect", 4, replay_expect},	    {"end", 1, replay_nothing},
};

static inline void replay_act(struct replay *r, const struct job_act *a)
{
	struct replay_job job = {};
	struct replay_job *at;
	struct job_status s;
	int64_t waited;
	guint i;

	if (r->cut_worker[a->worker])
		return;
	for (i = 0; i < r->running->len; i++) {
		at = &g_array_index(r->running, struct replay_job, i);
		if (at->id != a->job || at->attempt != a->attempt)
			continue;
		at->stop |= a->kind == JOB_ACT_STOP;
		return;
	}
	if (a->kind != JOB_ACT_START)
		return;
	waited = r->now + 1 -
		 GPOINTER_TO_INT(g_hash_table_lookup(r->submitted,
						     GINT_TO_POINTER(a->job)));
	if (job_status(r->j, a->job, &s) && s.attempt == 1 && a->job >= 100000)
		r->slowest_urgent_ms = MAX(r->slowest_urgent_ms, waited);
	job.id = a->job;
	job.attempt = a->attempt;
	job.worker = a->worker;
	job.ends_ms = r->now + (GPOINTER_TO_INT(g_hash_table_lookup(
					r->seconds, GINT_TO_POINTER(a->job))) -
				1) * (int64_t)1000;
	g_array_append_val(r->running, job);
}

/* Workers report what ended; urgent jobs have ids from 100000 on. */
static inline void replay_jobs(struct replay *r)
{
	GArray *lists[2] = {r->job_out.urgent, r->job_out.acts};
	struct replay_job at;
	guint i;
	int w;

	for (w = 0; w < r->workers; w++)
		if (!r->cut_worker[w])
			job_lease(r->j, w, r->now + REPLAY_LEASE_MS);
	for (i = 0; i < r->running->len; i++) {
		at = g_array_index(r->running, struct replay_job, i);
		if (r->cut_worker[at.worker] ||
		    (!at.stop && at.ends_ms > r->now &&
		     !r->bad_worker[at.worker]))
			continue;
		g_array_remove_index(r->running, i--);
		job_report(r->j, at.id, at.attempt,
			   at.stop		      ? JOB_STOPPED
			   : r->bad_worker[at.worker] ? JOB_FAIL
						      : JOB_COMPLETE,
			   false, &r->job_out);
	}
	while (!job_step(r->j, r->now, 1000, &r->job_out))
		;
	for (w = 0; w < 2; w++)
		for (i = 0; i < lists[w]->len; i++)
			replay_act(r,
				   &g_array_index(lists[w], struct job_act, i));
	r->told += (int)r->job_out.told->len;
	job_out_clear(&r->job_out);
}

static inline void replay_tick(struct replay *r)
{
	int i;

	r->now += REPLAY_TICK_MS;
	if (r->w) {
		struct wav_status s;

		fake_tick(r->p, r->w, r->f, r->now, &r->wave_out);
		wav_status(r->w, &s);
		if (s.state == WAV_DONE && r->wave_ms <= 0)
			r->wave_ms += r->now;
	}
	if (r->j)
		replay_jobs(r);
	for (i = 1; r->f && i < (int)r->f->pools->len; i++)
		r->below += flt_pool(r->f, i)->serving <
				    flt_floor(flt_pool(r->f, i)) &&
			    flt_pool(r->f, i)->size > 0;
}

static inline void replay_line(struct replay *r, const struct trc_line *l)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(replay_verbs); i++) {
		if (strcmp(replay_verbs[i].verb, l->words[0]) != 0)
			continue;
		if (l->n >= replay_verbs[i].words) {
			replay_verbs[i].fn(r, l->words);
			return;
		}
	}
	if (!r->failed)
		r->failed = g_strdup_printf("line %d: not understood", l->line);
}

/* The whole trace; r->failed says which stated outcome was not met. */
static inline struct replay *
replay_trace(const char *path, const struct pln_config *config, bool eager)
{
	struct replay *r = g_new0(struct replay, 1);
	GError *err = NULL;
	GArray *lines = trc_load(path, &err);
	char *text;
	guint i;

	r->config = *config;
	r->eager = eager;
	r->running = g_array_new(FALSE, FALSE, sizeof(struct replay_job));
	r->seconds = g_hash_table_new(NULL, NULL);
	r->submitted = g_hash_table_new(NULL, NULL);
	wav_out_init(&r->wave_out);
	job_out_init(&r->job_out);
	if (!lines) {
		r->failed = g_strdup(err->message);
		g_error_free(err);
		return r;
	}
	for (i = 0; i < lines->len && !r->failed; i++) {
		struct trc_line *l = &g_array_index(lines, struct trc_line, i);

		while (r->now < l->at_ms)
			replay_tick(r);
		replay_line(r, l);
		if (!r->failed || strncmp(r->failed, "line", 4) == 0)
			continue;
		text = g_strdup_printf("%s:%d: %s", path, l->line, r->failed);
		g_free(r->failed);
		r->failed = text;
	}
	trc_free(lines);
	return r;
}

static inline void replay_free(struct replay *r)
{
	flt_free(r->f);
	wav_free(r->w);
	jobs_free(r->j);
	if (r->p)
		fake_free(r->p);
	wav_out_done(&r->wave_out);
	job_out_done(&r->job_out);
	g_array_free(r->running, TRUE);
	g_hash_table_destroy(r->seconds);
	g_hash_table_destroy(r->submitted);
	g_free(r->failed);
	g_free(r);
}

#endif
