#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../tests/unit/fleet_make.h"

/*
 * Ways to fill pools that were weighed: the planner's greedy repair, min-cost
 * flow by successive shortest paths, and local search from a first fit. For
 * each: time, moves, and the sum over pools of the largest loss by one switch
 * (smaller is better; at best 1 for each pool).
 */

#define RACK 4
#define SEARCH_TRIES 200000

struct problem {
	struct flt *f;
	int pools;
	int wanted;
};

/* Processor time: others on the machine don't count. */
static double now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static struct problem problem(int vms, int pools)
{
	struct problem p = {.pools = pools, .wanted = vms * 85 / 100 / pools};
	int i;

	p.f = fleet_make(4, vms / RACK, RACK);
	for (i = 0; i < pools; i++)
		fleet_pool(p.f, p.wanted, MAX(1, p.wanted / 16), false);
	return p;
}

static void line(const char *way, const char *task, int vms, double ms,
		 int moves, const struct flt *f)
{
	int losses = 0;
	guint i;

	for (i = 1; i < f->pools->len; i++)
		losses += flt_pool(f, (int)i)->max_behind_switch;
	printf("ways/%s/%s/%d/time\t%.3f\tms\t0\n", way, task, vms, ms);
	printf("ways/%s/%s/%d/moves\t%d\tmoves\t0\n", way, task, vms, moves);
	printf("ways/%s/%s/%d/losses\t%d\tVMs\t%d\n", way, task, vms, losses,
	       (int)f->pools->len - 1);
}

static int greedy(struct flt *f)
{
	struct pln_config c = fleet_harrowgate();

	return fleet_replan(f, &c);
}

/* A spare VM behind a switch, or -1. */
static int spare_at(const struct flt *f, int sw)
{
	int i;

	for (i = sw * RACK; i < (sw + 1) * RACK; i++)
		if (flt_vm(f, i)->pool == FLT_SPARE &&
		    flt_vm(f, i)->state == FLT_UP)
			return i;
	return -1;
}

/*
 * Min-cost flow: source to pools (lacking), pools to switches (each unit
 * costs as many as the pool would then have there), switches to sink (spare
 * VMs). One shortest path a unit, by Bellman-Ford with a queue; a path may go
 * back through what another pool was given, which greedy never does.
 */
struct flow {
	int pools;
	int switches;
	int *given; /* pool x switch */
	int *lacking;
	int *spare;
	int *base; /* pool x switch: serving before */
	int *dist;
	int *from;
	bool *queued;
	int *queue;
};

static bool relax(struct flow *w, int to, int from, int dist)
{
	if (dist >= w->dist[to])
		return false;
	w->dist[to] = dist;
	w->from[to] = from;
	return true;
}

/* Shortest path from pools that lack to a switch with spare; -1: none. */
static int shortest(struct flow *w)
{
	int nodes = w->pools + w->switches;
	int head = 0;
	int tail = 0;
	int best = -1;
	int n;
	int i;

	for (n = 0; n < nodes; n++) {
		w->dist[n] = n < w->pools && w->lacking[n] > 0 ? 0 : INT_MAX;
		w->from[n] = -1;
		w->queued[n] = w->dist[n] == 0;
		if (w->queued[n])
			w->queue[tail++] = n;
	}
	while (head != tail) {
		n = w->queue[head];
		head = (head + 1) % (nodes + 1);
		w->queued[n] = false;
		for (i = 0; i < (n < w->pools ? w->switches : w->pools); i++) {
			int p = n < w->pools ? n : i;
			int s = n < w->pools ? i : n - w->pools;
			int has = w->base[p * w->switches + s] +
				  w->given[p * w->switches + s];
			int to = n < w->pools ? w->pools + s : p;
			int cost = n < w->pools ? 2 * has + 1 : 1 - 2 * has;

			if (n >= w->pools && !w->given[p * w->switches + s])
				continue;
			if (!relax(w, to, n, w->dist[n] + cost) ||
			    w->queued[to])
				continue;
			w->queued[to] = true;
			w->queue[tail] = to;
			tail = (tail + 1) % (nodes + 1);
		}
	}
	for (i = 0; i < w->switches; i++)
		if (w->spare[i] && w->dist[w->pools + i] < INT_MAX &&
		    (best < 0 ||
		     w->dist[w->pools + i] < w->dist[w->pools + best]))
			best = i;
	return best < 0 ? -1 : w->pools + best;
}

static void augment(struct flow *w, int end)
{
	int n = end;
	int prev;

	w->spare[end - w->pools]--;
	while (w->from[n] >= 0) {
		prev = w->from[n];
		if (n >= w->pools)
			w->given[prev * w->switches + n - w->pools]++;
		else
			w->given[n * w->switches + prev - w->pools]--;
		n = prev;
	}
	w->lacking[n]--;
}

static int flow(struct flt *f, const struct problem *pr)
{
	struct flow w = {.pools = pr->pools, .switches = f->n_switches};
	int nodes = w.pools + w.switches;
	int moves = 0;
	int end;
	int p;
	int s;

	w.given = g_new0(int, w.pools *w.switches);
	w.base = g_new0(int, w.pools *w.switches);
	w.lacking = g_new0(int, w.pools);
	w.spare = g_new0(int, w.switches);
	w.dist = g_new0(int, nodes);
	w.from = g_new0(int, nodes);
	w.queued = g_new0(bool, nodes);
	w.queue = g_new0(int, nodes + 1);
	for (s = 0; s < w.switches; s++)
		w.spare[s] =
			flt_behind_switch(flt_pool(f, FLT_SPARE), s)->serving;
	for (p = 0; p < w.pools; p++) {
		w.lacking[p] = MAX(0, pr->wanted - flt_pool(f, p + 1)->serving);
		for (s = 0; s < w.switches; s++)
			w.base[p * w.switches + s] =
				flt_behind_switch(flt_pool(f, p + 1), s)
					->serving;
	}
	while ((end = shortest(&w)) >= 0)
		augment(&w, end);
	for (p = 0; p < w.pools; p++)
		for (s = 0; s < w.switches; s++)
			for (; w.given[p * w.switches + s] > 0; moves++) {
				flt_assign(f, spare_at(f, s), p + 1);
				w.given[p * w.switches + s]--;
			}
	g_free(w.given);
	g_free(w.base);
	g_free(w.lacking);
	g_free(w.spare);
	g_free(w.dist);
	g_free(w.from);
	g_free(w.queued);
	g_free(w.queue);
	return moves;
}

static int cost_of(const struct flt *f, int vm)
{
	int pool = flt_vm(f, vm)->pool;

	if (pool == FLT_SPARE)
		return 0;
	return flt_behind_switch(flt_pool(f, pool), flt_rack_of(f, vm)->sw)
		->serving;
}

/* First fit, then swaps of two VMs that spread their pools better. */
static int search(struct flt *f, const struct problem *pr)
{
	GRand *rand = g_rand_new_with_seed(20261202);
	int n = (int)f->vms->len;
	int moves = 0;
	int next = 0;
	int i;
	int a;
	int b;

	for (i = 1; i <= pr->pools; i++)
		for (; flt_pool(f, i)->serving < pr->wanted && next < n; next++)
			if (flt_vm(f, next)->pool == FLT_SPARE &&
			    flt_vm(f, next)->state == FLT_UP) {
				flt_assign(f, next, i);
				moves++;
			}
	for (i = 0; i < SEARCH_TRIES; i++) {
		int pa;
		int pb;
		int before;

		a = g_rand_int_range(rand, 0, n);
		b = g_rand_int_range(rand, 0, n);
		pa = flt_vm(f, a)->pool;
		pb = flt_vm(f, b)->pool;
		if (pa == pb || flt_vm(f, a)->state != FLT_UP ||
		    flt_vm(f, b)->state != FLT_UP)
			continue;
		before = cost_of(f, a) + cost_of(f, b);
		flt_assign(f, a, pb);
		flt_assign(f, b, pa);
		if (cost_of(f, a) + cost_of(f, b) < before) {
			moves += 2;
			continue;
		}
		flt_assign(f, a, pa);
		flt_assign(f, b, pb);
	}
	g_rand_free(rand);
	return moves;
}

static void weigh(const char *task, int vms, int pools, bool lost)
{
	struct problem p[3];
	double at;
	int moves;
	int i;

	for (i = 0; i < 3; i++) {
		p[i] = problem(vms, pools);
		if (lost) {
			greedy(p[i].f);
			flt_fail_rack(p[i].f, 1);
		}
	}
	at = now_ms();
	moves = greedy(p[0].f);
	line("greedy", task, vms, now_ms() - at, moves, p[0].f);
	at = now_ms();
	moves = flow(p[1].f, &p[1]);
	line("flow", task, vms, now_ms() - at, moves, p[1].f);
	at = now_ms();
	moves = search(p[2].f, &p[2]);
	line("search", task, vms, now_ms() - at, moves, p[2].f);
	for (i = 0; i < 3; i++)
		flt_free(p[i].f);
}

int main(void)
{
	weigh("scratch", 52, 5, false);
	weigh("scratch", 500, 10, false);
	weigh("scratch", 2000, 35, false);
	weigh("rack_lost", 52, 5, true);
	weigh("rack_lost", 500, 10, true);
	weigh("rack_lost", 9200, 160, true);
	return 0;
}
