#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../tests/unit/replay.h"

/*
 * The planner and the waves, at the sizes of today and of two years, with
 * both users' weights: the three measures beside baselines, and times.
 */

#define RACK 4
#define STEP 2000
#define MINUTE 60000
#define DAY (24 * 60 * MINUTE)
#define REPAIR_MS (4 * 60 * MINUTE)

struct size {
	int vms;
	int pools;
	int zones;
};

static const struct size sizes[] = {
	{50, 5, 3},
	{500, 10, 3},
	{2000, 35, 4},
	{9200, 160, 16},
};

/* A user's weights, and how carefully the user's waves widen. */
struct user {
	const char *name;
	struct pln_config (*config)(void);
	int widen;
	int64_t probation_ms;
};

static const struct user users[] = {
	{"harrowgate", fleet_harrowgate, 16, 5 * MINUTE},
	{"jadranski", fleet_jadranski, 0, MINUTE / 2},
};

/* Processor time: others on the machine don't count. */
static double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void line(const char *user, int n, const char *what, double value,
		 const char *unit, double baseline)
{
	printf("pln/%s/%d/%s\t%.3f\t%s\t%.3f\n", user, n, what, value, unit,
	       baseline);
}

/* Pools that want 0.85 of the fleet and may lack a sixteenth each. */
static struct flt *fleet_of(const struct size *s)
{
	struct flt *f = fleet_make(s->zones, (s->vms + RACK - 1) / RACK, RACK);
	int wanted = s->vms * 85 / 100 / s->pools;
	int i;

	/* Four zones to a site, and each pool stays within one. */
	for (i = 0; i < s->zones; i++)
		g_array_index(f->zones, struct flt_zone, i).site = i / 4;
	for (i = 0; i < s->pools; i++) {
		fleet_pool(f, wanted, MAX(1, wanted / 16), false);
		flt_pool(f, i + 1)->budget.site = i % ((s->zones + 3) / 4);
	}
	return f;
}

static int apply(struct flt *f, const struct pln *p)
{
	const GArray *moves = pln_moves(p);
	guint i;

	for (i = 0; i < moves->len; i++) {
		struct pln_move *m = &g_array_index(moves, struct pln_move, i);

		if (flt_move(f, m->vm, m->to) != FLT_OK)
			exit(1);
	}
	return (int)moves->len;
}

/* Plans in bounded steps; the whole time and the longest step, ms. */
static int timed_plan(struct flt *f, const struct pln_config *c, double *whole,
		      double *longest)
{
	double start = now_ms();
	double at = start;
	double end;
	struct pln *p = pln_new(f, c, NULL);
	bool done;
	int moves;

	*longest = now_ms() - at;
	do {
		at = now_ms();
		done = pln_step(p, STEP);
		end = now_ms();
		*longest = MAX(*longest, end - at);
	} while (!done);
	*whole = end - start;
	moves = apply(f, p);
	pln_free(p);
	return moves;
}

/*
 * Fewest VMs that must join pools: what is wanted, and what the loss of the
 * largest rack calls for, which no VM that joins makes smaller.
 */
static int lacking(const struct flt *f, const struct pln_config *c)
{
	int n = 0;
	guint i;

	for (i = 1; i < f->pools->len; i++) {
		const struct flt_pool *p = flt_pool(f, (int)i);

		n += MAX(0, MAX(p->budget.wanted - p->serving,
				c->slack - flt_margin(p)));
	}
	return n;
}

static void repair_all(struct flt *f)
{
	int i;

	for (i = 0; i < (int)f->vms->len; i++) {
		flt_vm_event(f, i, FLT_BOOTED);
		flt_vm_event(f, i, FLT_HEALTHY);
	}
}

/* Replanning after the loss of a rack: median of eleven, worst step of all. */
static void bench_replan(const struct user *u, const struct size *s)
{
	struct pln_config c = u->config();
	struct flt *f = fleet_of(s);
	struct flt *g;
	int moves = 0;
	double took[11];
	double worst = 0;
	double longest;
	double scratch;
	double t;
	int i;
	int j;

	timed_plan(f, &c, &scratch, &longest);
	line(u->name, s->vms, "plan_from_scratch", scratch, "ms", 0);
	line(u->name, s->vms, "longest_step_scratch", longest, "ms", 10);
	for (i = 0; i < 11; i++) {
		g = flt_clone(f);
		flt_fail_rack(g, i);
		moves += timed_plan(g, &c, &took[i], &longest);
		worst = MAX(worst, longest);
		flt_free(g);
	}
	line(u->name, s->vms, "moves_after_rack_loss", moves / 11.0, "moves",
	     RACK);
	for (i = 0; i < 11; i++)
		for (j = i + 1; j < 11; j++)
			if (took[j] < took[i]) {
				t = took[i];
				took[i] = took[j];
				took[j] = t;
			}
	line(u->name, s->vms, "replan_after_rack_loss", took[5], "ms", 100);
	line(u->name, s->vms, "longest_step", worst, "ms", 10);
	line(u->name, s->vms, "replan_per_n_log_n",
	     took[5] * 1e6 / (s->vms * log2(s->vms)), "ns", 0);
	flt_free(f);
}

/*
 * Buffer as a share of what is wanted, beside a fixed buffer for each pool
 * that gives the same: after the loss of a switch and of one VM more the pool
 * still has what it wants.
 */
static void bench_buffer(const struct user *u, const struct size *s)
{
	struct pln_config c = u->config();
	struct flt *f = fleet_of(s);
	struct pln_measures m;
	int fixed = 0;
	guint i;

	c.single_failures = MAX(1, s->vms * 11 / 9200);
	fleet_replan(f, &c);
	pln_measure(f, &c, &m);
	for (i = 1; i < f->pools->len; i++)
		fixed += flt_largest_loss(flt_pool(f, (int)i)) + 1;
	line(u->name, s->vms, "buffer",
	     100.0 * (m.embedded + m.reserve) / m.wanted, "%",
	     100.0 * fixed / m.wanted);
	line(u->name, s->vms, "buffer_of_fixed",
	     (double)(m.embedded + m.reserve) / fixed, "x", 0.6);
	flt_free(f);
}

/* Moves on every imbalance: surplus goes back, zones are kept even. */
static int rebalance(struct flt *f)
{
	int moves = 0;
	int i;
	int v;

	for (i = 1; i < (int)f->pools->len; i++) {
		struct flt_pool *p = flt_pool(f, i);

		for (v = 0; v < (int)f->vms->len; v++) {
			if (p->serving <= p->budget.wanted)
				break;
			if (flt_vm(f, v)->pool != i)
				continue;
			moves += flt_move(f, v, FLT_SPARE) == FLT_OK;
		}
	}
	return moves;
}

/*
 * The rush: wanted rises by a tenth in a third of the pools, a rack is lost,
 * a VM that has just joined is lost, all is repaired, the rush ends.
 */
static int rush(struct flt *f, const struct pln_config *c, bool eager,
		int *bound, int *broken)
{
	struct pln_measures m;
	struct flt_budget b;
	int moves = 0;
	int phase;
	int i;

	for (phase = 0; phase < 5; phase++) {
		for (i = 1; i < (int)f->pools->len; i += 3) {
			b = flt_pool(f, i)->budget;
			if (phase == 0)
				b.wanted += MAX(1, b.wanted / 10);
			if (phase == 4)
				b.wanted -= MAX(1, b.wanted / 11);
			flt_set_budget(f, i, &b);
		}
		if (phase == 1)
			flt_fail_rack(f, 3);
		if (phase == 2) {
			for (i = (int)f->vms->len - 1;
			     flt_vm(f, i)->pool == FLT_SPARE; i--)
				;
			flt_vm_event(f, i, FLT_FAIL);
		}
		if (phase == 3)
			repair_all(f);
		*bound += lacking(f, c);
		moves += fleet_replan(f, c);
		if (eager)
			moves += rebalance(f);
		pln_measure(f, c, &m);
		*broken += m.broken;
	}
	return moves;
}

static void bench_moves(const struct user *u, const struct size *s)
{
	struct pln_config c = u->config();
	struct flt *f = fleet_of(s);
	struct flt *g;
	int ignored = 0;
	int bound = 0;
	int broken = 0;
	int moves;
	int eager;

	fleet_replan(f, &c);
	g = flt_clone(f);
	moves = rush(f, &c, false, &bound, &broken);
	eager = rush(g, &c, true, &ignored, &ignored);
	line(u->name, s->vms, "rush_moves", moves, "moves", eager);
	line(u->name, s->vms, "rush_moves_of_bound",
	     (double)moves / MAX(1, bound), "x", 1.2);
	line(u->name, s->vms, "rush_budgets_broken", broken, "pools", 0);
	flt_free(f);
	flt_free(g);
}

/* The platform for a wave: a step takes two minutes on each VM. */
struct platform {
	int64_t *due; /* by VM; 0: nothing asked */
	struct wav_request *act;
	int64_t step_ms;
};

static double tick(struct platform *p, struct wav *w, struct flt *f,
		   int64_t now, struct wav_out *out)
{
	struct wav_reply r = {.ok = true};
	double start;
	guint i;

	wav_out_clear(out);
	start = now_ms();
	for (i = 0; i < f->vms->len; i++) {
		if (p->due[i] == 0 || p->due[i] > now)
			continue;
		p->due[i] = 0;
		r.request = p->act[i];
		wav_reply(w, f, &r, now, out);
	}
	wav_tick(w, f, now, out);
	start = now_ms() - start;
	for (i = 0; i < out->requests->len; i++) {
		struct wav_request *a =
			&g_array_index(out->requests, struct wav_request, i);

		/* An act that is sent again is done once. */
		if (p->due[a->vm] && p->act[a->vm].step == a->step &&
		    p->act[a->vm].attempt == a->attempt)
			continue;
		p->act[a->vm] = *a;
		p->due[a->vm] = now + p->step_ms;
	}
	return start;
}

/*
 * Most VMs of a pool that may be out at once, with what stays in each switch
 * cut down to the same height: no way of choosing them gives more.
 */
static int most_out(const struct flt *f, int pool)
{
	const struct flt_pool *p = flt_pool(f, pool);
	int height;
	int over;
	int sw;

	for (height = 0; height <= p->max_behind_switch; height++) {
		over = 0;
		for (sw = 0; sw < f->n_switches; sw++)
			over += MAX(0,
				    flt_behind_switch(p, sw)->serving - height);
		if (over <= p->serving - height - flt_floor(p))
			return p->serving - height - flt_floor(p);
	}
	return 1;
}

/* Rounds that the budgets allow at best, and one VM at a time. */
static int64_t rounds(const struct flt *f, bool single)
{
	int64_t most = 0;
	int64_t all = 0;
	int i;

	for (i = 1; i < (int)f->pools->len; i++) {
		int out = MAX(1, most_out(f, i));
		int n = flt_pool(f, i)->size;

		most = MAX(most, (n + out - 1) / out);
		all += n;
	}
	return single ? all : most;
}

static struct wav_config wave_config(const struct user *u)
{
	return (struct wav_config){
		.widen = u->widen,
		.probation_ms = u->probation_ms,
		.halt_after = 5,
		.halt_among = 100,
		.drains_max = 3,
		.drain_ms = 30 * MINUTE,
		.reboot_ms = 15 * MINUTE,
		.check_ms = 10 * MINUTE,
		.retry_ms = MINUTE,
	};
}

/* A wave over all VMs that have not been maintained. */
static struct wav *wave_of(const struct user *u, const struct flt *f,
			   uint64_t id, struct wav_out *out)
{
	struct wav_config c = wave_config(u);
	int *vms = g_new(int, f->vms->len);
	struct wav *w;
	int n = 0;
	guint i;

	for (i = 0; i < f->vms->len; i++)
		if (flt_vm(f, (int)i)->maintained_ms == 0)
			vms[n++] = (int)i;
	w = wav_new(id, &c, vms, n);
	wav_command(w, WAV_START, LSTR("bench"), out);
	g_free(vms);
	return w;
}

/* Weights of the user decide what is lent to the wave before it starts. */
static void lend(struct flt *f, const struct pln_config *c)
{
	int *n = g_new0(int, f->pools->len);
	int left = flt_pool(f, FLT_SPARE)->serving - pln_reserve(f, c);
	struct pln *p;
	int i;

	for (i = 1; i < (int)f->pools->len && left > 0; i++) {
		n[i] = pln_lend(f, c, i, left / ((int)f->pools->len - i));
		left -= n[i];
	}
	p = fleet_plan(f, c, n);
	apply(f, p);
	pln_free(p);
	g_free(n);
}

static void bench_rollout(const struct user *u, const struct size *s)
{
	struct pln_config c = u->config();
	struct platform p = {.step_ms = 2 * MINUTE};
	struct flt *f = fleet_of(s);
	struct wav_status st;
	struct wav_out out;
	struct wav *w;
	int64_t best;
	int64_t single;
	int64_t now = MINUTE;
	double longest = 0;

	wav_out_init(&out);
	fleet_replan(f, &c);
	lend(f, &c);
	best = rounds(f, false) * 4 * p.step_ms;
	single = rounds(f, true) * 4 * p.step_ms;
	p.due = g_new0(int64_t, f->vms->len);
	p.act = g_new0(struct wav_request, f->vms->len);
	w = wave_of(u, f, 1, &out);
	do {
		now += 1000;
		longest = MAX(longest, tick(&p, w, f, now, &out));
		wav_status(w, &st);
	} while (st.state == WAV_RUNNING && now < 60LL * DAY &&
		 st.by_step[WAV_MAINTAINED] < (int)f->vms->len);
	line(u->name, s->vms, "rollout", (double)(now - MINUTE) / MINUTE,
	     "minutes", (double)single / MINUTE);
	line(u->name, s->vms, "rollout_of_bound",
	     (double)(now - MINUTE) / (double)best, "x", 1.2);
	line(u->name, s->vms, "wave_longest_tick", longest, "ms", 10);
	g_free(p.due);
	g_free(p.act);
	wav_free(w);
	wav_out_done(&out);
	flt_free(f);
}

/* A day's failures and restarts, and a rack every week; 4 hours' repair. */
static void a_minute_of_faults(struct flt *f, GRand *rand, int64_t now,
			       int64_t *back)
{
	int n = (int)f->vms->len;
	int i;

	if (now % (7LL * DAY) == DAY)
		flt_fail_rack(f, g_rand_int_range(rand, 0, n / RACK));
	for (i = 0; i < n; i++) {
		if (flt_vm(f, i)->state == FLT_DOWN && back[i] == 0)
			back[i] = now + REPAIR_MS;
		if (back[i] == 0 || back[i] > now)
			continue;
		back[i] = 0;
		flt_vm_event(f, i, FLT_BOOTED);
		flt_vm_event(f, i, FLT_HEALTHY);
	}
	if (g_rand_int_range(rand, 0, 1440) < 67)
		flt_vm_event(f, g_rand_int_range(rand, 0, n), FLT_FAIL);
	if (g_rand_int_range(rand, 0, 1440) < 1000) {
		i = g_rand_int_range(rand, 0, n);
		flt_vm_event(f, i, FLT_FAIL);
		if (back[i] == 0)
			back[i] = now + 5 * MINUTE;
	}
}

/*
 * The two-year size beside 67 failures and 1,000 restarts a day: days until
 * every VM is maintained (35 are allowed); a VM that was lost on the way is
 * taken by a wave over what is left. An operator resumes a halt after
 * an hour, for failures by chance; budgets broken by an act of ours are
 * counted each minute.
 */
static void bench_five_weeks(const struct user *u, const struct size *s)
{
	struct pln_config c = u->config();
	struct platform p = {.step_ms = 5 * MINUTE};
	struct flt *f = fleet_of(s);
	GRand *rand = g_rand_new_with_seed(20261202);
	int64_t *back = g_new0(int64_t, f->vms->len);
	struct pln_measures m;
	struct wav_status st;
	struct wav_out out;
	struct wav *w;
	int64_t now = 0;
	uint64_t waves = 1;
	int done = 0;
	int before = 0;
	int halts = 0;
	int broken = 0;
	int moves = 0;

	wav_out_init(&out);
	fleet_replan(f, &c);
	p.due = g_new0(int64_t, f->vms->len);
	p.act = g_new0(struct wav_request, f->vms->len);
	w = wave_of(u, f, 1, &out);
	do {
		now += MINUTE;
		a_minute_of_faults(f, rand, now, back);
		tick(&p, w, f, now, &out);
		moves += fleet_replan(f, &c);
		wav_status(w, &st);
		done += st.by_step[WAV_MAINTAINED] - before;
		before = st.by_step[WAV_MAINTAINED];
		if (st.state == WAV_DONE) {
			wav_free(w);
			w = wave_of(u, f, ++waves, &out);
			before = 0;
		}
		if (st.state == WAV_HALTED && now % (60 * MINUTE) == 0) {
			wav_command(w, WAV_RESUME, LSTR("bench"), &out);
			halts++;
		}
		pln_measure(f, &c, &m);
		broken += m.broken;
	} while (now < 35LL * DAY && done < (int)f->vms->len);
	line(u->name, s->vms, "every_vm_maintained", (double)now / DAY, "days",
	     35);
	line(u->name, s->vms, "maintained", done, "VMs", f->vms->len);
	line(u->name, s->vms, "waves", (double)waves, "waves", 1);
	line(u->name, s->vms, "wave_halts", halts, "halts", 0);
	line(u->name, s->vms, "moves_beside", moves, "moves", 0);
	line(u->name, s->vms, "budgets_broken", broken, "pool-minutes", 0);
	g_free(back);
	g_rand_free(rand);
	g_free(p.due);
	g_free(p.act);
	wav_free(w);
	wav_out_done(&out);
	flt_free(f);
}

/*
 * A trace, with the stated outcomes met or not, beside a fixed buffer for
 * each pool and moves on every imbalance.
 */
static void bench_trace(const struct user *u, const char *trace)
{
	struct pln_config c = u->config();
	char *path = g_strdup_printf("tests/traces/%s.trace", trace);
	struct replay *r = replay_trace(path, &c, false);
	struct replay *eager = replay_trace(path, &c, true);
	const char *form = "trace/%s/%s/%s\t%.3f\t%s\t%.3f\n";

	printf(form, u->name, trace, "outcomes_missed", r->failed ? 1.0 : 0.0,
	       "traces", 0.0);
	if (r->wanted) {
		printf(form, u->name, trace, "buffer",
		       100.0 * r->buffer / r->wanted, "%",
		       100.0 * r->fixed / r->wanted);
		printf(form, u->name, trace, "moves", (double)r->moves, "moves",
		       (double)eager->moves);
		printf(form, u->name, trace, "moves_of_bound",
		       (double)r->moves / MAX(1, r->bound), "x", 1.2);
		printf(form, u->name, trace, "below_floor", (double)r->below,
		       "pool-seconds", 0.0);
	}
	if (r->j)
		printf(form, u->name, trace, "slowest_urgent",
		       (double)r->slowest_urgent_ms, "ms", 4300.0);
	replay_free(r);
	replay_free(eager);
	g_free(path);
}

static const char *const traces[] = {"rush",	  "flare",	 "badimage",
				     "blackhole", "cancelflood", "secondloss"};

int main(void)
{
	size_t u;
	size_t s;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (u = 0; u < G_N_ELEMENTS(users); u++) {
		for (s = 0; s < G_N_ELEMENTS(traces); s++)
			bench_trace(&users[u], traces[s]);
		for (s = 0; s < G_N_ELEMENTS(sizes); s++)
			bench_replan(&users[u], &sizes[s]);
		for (s = 0; s < G_N_ELEMENTS(sizes); s += 3) {
			bench_buffer(&users[u], &sizes[s]);
			bench_moves(&users[u], &sizes[s]);
			bench_rollout(&users[u], &sizes[s]);
		}
		bench_five_weeks(&users[u], &sizes[G_N_ELEMENTS(sizes) - 1]);
	}
	return 0;
}
