#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "adm.h"

/*
 * Outcomes for callers under load, by a discrete-event driver: callers and
 * targets are fakes at the interface of adm, time is counted, not waited for.
 * Beside adm two baselines meet the same arrivals: random placement with an
 * unbounded queue at the targets, and round-robin with a fixed limit.
 */

#define MS INT64_C(1000)
#define SEC INT64_C(1000000)
#define HALF_TRIP (MS / 2)
#define RUN_FOR (60 * SEC)
#define WARM_UP (5 * SEC) /* not counted: service times are learnt */
#define TARGETS_MAX 256
#define ENTRIES_MAX 30
#define CALLERS_MAX 32
#define GOSSIP_EVERY (250 * MS)
#define ROOM_EVERY (500 * MS)
#define LOST_FROM (20 * SEC) /* a zone has no targets */
#define LOST_TO (40 * SEC)

enum share {
	SHARE_FEEDBACK,
	SHARE_STATIC,
	SHARE_GOSSIP
};

struct scenario {
	const char *name;
	int targets;
	int entries;
	int slots;
	int callers;
	double load; /* offered over capacity */
	double burst; /* load during half a second of every five */
	double top_caller; /* part of all requests that the first sends */
	double top_entry; /* part that the first entry VM gets; 0: even */
	double slow; /* factor for the first target; 0: not slow */
	bool failing; /* the first target fails everything within 1 ms */
	bool mixed; /* one in ten is 30 times longer; sizes wrong by 10x */
	bool queueing; /* targets queue what their slots don't hold */
	enum share share;
	int choices;
	int zones; /* each as above; the first loses its targets; 0: one */
	bool deaf; /* zones tell no room */
};

struct call {
	int caller;
	int entry; /* that has it now */
	int home; /* that shifted it, with its ticket; -1: not shifted */
	adm_ticket home_ticket;
	int target;
	int64_t at;
	int64_t deadline;
	int64_t service;
	int64_t begun; /* work at the target */
	int64_t sent;
	uint64_t size;
	adm_ticket ticket;
	enum adm_outcome outcome;
	int busy;
};

enum ev_kind {
	EV_OFFER,
	EV_ARRIVE,
	EV_FINISH,
	EV_ANSWER,
	EV_POLL,
	EV_GOSSIP,
	EV_SHIFTED,
	EV_ROOM,
	EV_LOST,
	EV_BACK
};

struct ev {
	int64_t t;
	uint64_t seq;
	enum ev_kind kind;
	int entry;
	struct call *call;
};

struct target {
	int busy;
	GQueue wait;
};

struct tally {
	uint64_t offered;
	uint64_t good;
	uint64_t late;
	uint64_t failed;
	uint64_t refused;
	uint64_t bounced;
	uint64_t bounced_home; /* refused by the zone it was shifted to */
	uint64_t by_caller[CALLERS_MAX];
	uint64_t good_by_caller[CALLERS_MAX];
	GArray *waits;
	GArray *times;
};

struct sim;

struct policy {
	const char *name;
	void (*offer)(struct sim *s, struct call *c);
	void (*answer)(struct sim *s, struct call *c);
	bool queueing;
};

struct sim {
	const struct scenario *sc;
	const struct policy *policy;
	GArray *heap; /* struct ev */
	uint64_t seq;
	uint64_t rng; /* of the arrivals, the same for each policy */
	GRand *rand; /* of the policy */
	int64_t now;
	struct target targets[TARGETS_MAX];
	int held[ENTRIES_MAX][TARGETS_MAX];
	struct adm *adm[ENTRIES_MAX];
	int64_t poll_at[ENTRIES_MAX];
	int in_flight[ENTRIES_MAX];
	int turn[ENTRIES_MAX];
	struct tally tally;
};

static void act(struct sim *s, struct call *c, struct adm_verdict v);
static void shift(struct sim *s, struct call *c, int zone);
static void send_home(struct sim *s, struct call *c, enum adm_outcome outcome);

static double uniform(struct sim *s)
{
	s->rng ^= s->rng << 13;
	s->rng ^= s->rng >> 7;
	s->rng ^= s->rng << 17;
	return ((double)(s->rng >> 11) + 0.5) / 9007199254740992.0;
}

static bool before(const struct ev *a, const struct ev *b)
{
	return a->t != b->t ? a->t < b->t : a->seq < b->seq;
}

static void push(struct sim *s, int64_t t, enum ev_kind kind, int entry,
		 struct call *c)
{
	struct ev e = {t, s->seq++, kind, entry, c};
	guint i = s->heap->len;
	struct ev *v;

	g_array_append_val(s->heap, e);
	v = (struct ev *)s->heap->data;
	while (i > 0 && before(&e, &v[(i - 1) / 2])) {
		v[i] = v[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	v[i] = e;
}

static struct ev pop(struct sim *s)
{
	struct ev *v = (struct ev *)s->heap->data;
	struct ev top = v[0];
	struct ev e = v[s->heap->len - 1];
	guint n = s->heap->len - 1;
	guint i = 0;
	guint child;

	g_array_set_size(s->heap, n);
	while ((child = 2 * i + 1) < n) {
		if (child + 1 < n && before(&v[child + 1], &v[child]))
			child++;
		if (!before(&v[child], &e))
			break;
		v[i] = v[child];
		i = child;
	}
	if (n)
		v[i] = e;
	return top;
}

/* How a call ended for its caller. */
static void over(struct sim *s, struct call *c, uint64_t *count)
{
	int64_t wait = c->begun - c->at;
	int64_t all = s->now - c->at;

	if (c->at >= WARM_UP) {
		(*count)++;
		if (count == &s->tally.good)
			s->tally.good_by_caller[c->caller]++;
		if (count == &s->tally.good || count == &s->tally.late) {
			g_array_append_val(s->tally.waits, wait);
			g_array_append_val(s->tally.times, all);
		}
	}
	g_free(c);
}

static void send(struct sim *s, struct call *c, int target)
{
	c->target = target;
	c->sent = s->now;
	s->held[c->entry][target]++;
	push(s, s->now + HALF_TRIP, EV_ARRIVE, c->entry, c);
}

static void begin(struct sim *s, struct call *c)
{
	double factor = c->target == 0 && s->sc->slow > 0 ? s->sc->slow : 1;

	s->targets[c->target].busy++;
	c->begun = s->now;
	push(s, s->now + (int64_t)((double)c->service * factor), EV_FINISH,
	     c->entry, c);
}

static void reply(struct sim *s, struct call *c, enum adm_outcome outcome)
{
	c->outcome = outcome;
	c->busy = s->targets[c->target].busy;
	push(s, s->now + HALF_TRIP, EV_ANSWER, c->entry, c);
}

static void arrive(struct sim *s, struct call *c)
{
	struct target *t = &s->targets[c->target];

	if (s->sc->failing && c->target == 0)
		reply(s, c, ADM_DONE_FAILED);
	else if (t->busy < s->sc->slots)
		begin(s, c);
	else if (s->policy->queueing || s->sc->queueing)
		g_queue_push_tail(&t->wait, c);
	else
		reply(s, c, ADM_DONE_BUSY);
}

static void finish(struct sim *s, struct call *c)
{
	struct target *t = &s->targets[c->target];

	t->busy--;
	if (t->wait.length)
		begin(s, g_queue_pop_head(&t->wait));
	reply(s, c, ADM_DONE_OK);
}

static void settle(struct sim *s, struct call *c)
{
	if (c->outcome != ADM_DONE_OK)
		over(s, c, &s->tally.failed);
	else if (s->now > c->deadline)
		over(s, c, &s->tally.late);
	else
		over(s, c, &s->tally.good);
}

static void random_offer(struct sim *s, struct call *c)
{
	send(s, c, (int)(g_rand_double(s->rand) * s->sc->targets));
}

static void robin_offer(struct sim *s, struct call *c)
{
	int limit = s->sc->targets * s->sc->slots / s->sc->entries;

	if (s->in_flight[c->entry] >= limit) {
		over(s, c, &s->tally.refused);
		return;
	}
	s->in_flight[c->entry]++;
	s->turn[c->entry] = (s->turn[c->entry] + 1) % s->sc->targets;
	send(s, c, s->turn[c->entry]);
}

static void plain_answer(struct sim *s, struct call *c)
{
	s->in_flight[c->entry]--;
	settle(s, c);
}

static void poll_entry(struct sim *s, int entry)
{
	struct adm_verdict out[32];
	int64_t next = s->now;
	size_t n;
	size_t i;

	while (next == s->now) {
		n = adm_poll(s->adm[entry], s->now, out, 32, &next);
		for (i = 0; i < n; i++)
			act(s, out[i].user, out[i]);
	}
	if (next == ADM_NEVER)
		return;
	if (s->poll_at[entry] > s->now && s->poll_at[entry] <= next)
		return;
	s->poll_at[entry] = next;
	push(s, next, EV_POLL, entry, NULL);
}

static void act(struct sim *s, struct call *c, struct adm_verdict v)
{
	c->ticket = v.ticket;
	if (v.kind == ADM_RUN)
		send(s, c, (int)v.target);
	else if (v.kind == ADM_SHIFT)
		shift(s, c, v.zone);
	else if (v.kind == ADM_REFUSE && c->home >= 0)
		send_home(s, c, ADM_DONE_BUSY);
	else if (v.kind == ADM_REFUSE)
		over(s, c, &s->tally.refused);
}

static void shift(struct sim *s, struct call *c, int zone)
{
	c->home = c->entry;
	c->home_ticket = c->ticket;
	c->entry = zone * s->sc->entries +
		   (int)(g_rand_double(s->rand) * s->sc->entries);
	push(s, s->now + HALF_TRIP, EV_SHIFTED, c->entry, c);
}

/* The entry VM that shifted a call hears how it ended. */
static void send_home(struct sim *s, struct call *c, enum adm_outcome outcome)
{
	const struct adm_result res = {
		.outcome = outcome, .service_us = s->now - c->sent, .busy = -1};
	int home = c->home;

	c->entry = home;
	c->home = -1;
	if (outcome == ADM_DONE_OK) {
		adm_done(s->adm[home], s->now, c->home_ticket, &res);
		settle(s, c);
	} else {
		s->tally.bounced_home++;
		act(s, c,
		    adm_retry(s->adm[home], s->now, c->home_ticket, &res));
	}
	poll_entry(s, home);
}

static void adm_policy_offer(struct sim *s, struct call *c)
{
	char name[16];
	int entry = c->entry;
	struct adm_request r = {.deadline_us = c->deadline,
				.class = ADM_NORMAL,
				.repeatable = true,
				.shifted = c->home >= 0,
				.size_hint = c->size};

	snprintf(name, sizeof(name), "caller-%d", c->caller);
	r.caller = lstr_from(name);
	act(s, c, adm_offer(s->adm[entry], s->now, &r, c));
	poll_entry(s, entry);
}

static void adm_policy_answer(struct sim *s, struct call *c)
{
	int entry = c->entry;
	struct adm_result res = {.outcome = c->outcome,
				 .service_us = s->now - c->sent,
				 .busy = c->busy};

	if (s->sc->share != SHARE_FEEDBACK)
		res.busy = -1;
	if (c->outcome == ADM_DONE_OK) {
		adm_done(s->adm[entry], s->now, c->ticket, &res);
		if (c->home >= 0)
			send_home(s, c, ADM_DONE_OK);
		else
			settle(s, c);
	} else {
		s->tally.bounced += c->outcome == ADM_DONE_BUSY;
		act(s, c, adm_retry(s->adm[entry], s->now, c->ticket, &res));
	}
	poll_entry(s, entry);
}

static const struct policy policies[] = {
	{"adm", adm_policy_offer, adm_policy_answer, false},
	{"random", random_offer, plain_answer, true},
	{"round-robin", robin_offer, plain_answer, true},
};

static void gossip(struct sim *s)
{
	int e;
	int t;
	int o;

	for (e = 0; e < s->sc->entries; e++) {
		for (t = 0; t < s->sc->targets; t++) {
			int busy = 0;

			for (o = 0; o < s->sc->entries; o++)
				busy += s->held[o][t];
			adm_target_set_busy(s->adm[e], s->now, (uint64_t)t,
					    busy);
		}
	}
	push(s, s->now + GOSSIP_EVERY, EV_GOSSIP, 0, NULL);
}

/* Each entry VM tells those of other zones the room that it sees. */
static void tell_room(struct sim *s)
{
	int all = s->sc->zones * s->sc->entries;
	int from;
	int to;

	for (from = 0; from < all; from++) {
		int zone = from / s->sc->entries;
		struct adm_spare_capacity r =
			adm_spare_capacity(s->adm[from], s->now, 0);

		for (to = 0; to < all; to++)
			if (to / s->sc->entries != zone)
				adm_set_zone_capacity(s->adm[to], s->now, 0,
						      zone, r, HALF_TRIP);
	}
	push(s, s->now + ROOM_EVERY, EV_ROOM, 0, NULL);
}

/* The targets of the first zone take no work, or do again. */
static void set_first_zone(struct sim *s, enum adm_target_state state)
{
	const struct adm_target_spec spec = {.state = state,
					     .lease_until_us = ADM_NEVER};
	int e;
	int t;

	for (e = 0; e < s->sc->entries; e++) {
		for (t = 0; t < s->sc->targets; t++)
			adm_target_set(s->adm[e], s->now, (uint64_t)t, &spec);
		poll_entry(s, e);
	}
}

static void start_adm(struct sim *s)
{
	int zones = MAX(s->sc->zones, 1);
	const struct adm_target_spec serving = {.state = ADM_SERVING,
						.lease_until_us = ADM_NEVER};
	struct adm_pool_spec pool = {.slots = s->sc->slots,
				     .conns = 64,
				     .queue_us = 2 * SEC,
				     .deadline_us = 2 * SEC};
	int e;
	int t;

	if (s->sc->share == SHARE_STATIC)
		pool.slots = MAX(s->sc->slots / s->sc->entries, 1);
	for (e = 0; e < zones * s->sc->entries; e++) {
		int zone = e / s->sc->entries;
		const struct adm_config conf = {
			.seed = (uint64_t)e + 1,
			.zone = zone,
			.entries_elsewhere = (zones - 1) * s->sc->entries,
			.entries = s->sc->entries,
			.choices = s->sc->choices};

		s->adm[e] = adm_new(&conf);
		adm_pool_set(s->adm[e], 0, &pool);
		for (t = 0; t < s->sc->targets; t++) {
			uint64_t handle = (uint64_t)zone * s->sc->targets + t;

			adm_target_set(s->adm[e], 0, handle, &serving);
		}
	}
	if (s->sc->share == SHARE_GOSSIP)
		push(s, GOSSIP_EVERY, EV_GOSSIP, 0, NULL);
	if (zones == 1)
		return;
	if (!s->sc->deaf)
		push(s, 0, EV_ROOM, 0, NULL);
	push(s, LOST_FROM, EV_LOST, 0, NULL);
	push(s, LOST_TO, EV_BACK, 0, NULL);
}

/* 100 ms in the mean, at least half of it; mixed: 30 ms and 900 ms. */
static int64_t draw_service(struct sim *s)
{
	double mean = 100;

	if (s->sc->mixed)
		mean = uniform(s) < 0.1 ? 730 : 30;
	return (int64_t)(mean * (0.5 - 0.5 * log(uniform(s))) * MS);
}

static struct call *draw_call(struct sim *s)
{
	const struct scenario *sc = s->sc;
	struct call *c = g_new0(struct call, 1);

	c->at = s->now;
	c->home = -1;
	c->deadline = s->now + 2 * SEC;
	c->service = draw_service(s);
	if (sc->mixed)
		c->size = (uint64_t)((double)c->service *
				     pow(10, 2 * uniform(s) - 1));
	if (uniform(s) >= sc->top_caller)
		c->caller = 1 + (int)(uniform(s) * (sc->callers - 1));
	c->entry = (int)(uniform(s) * sc->entries * MAX(sc->zones, 1));
	if (sc->zones)
		c->caller = c->entry / sc->entries;
	if (sc->top_entry > 0 && uniform(s) < sc->top_entry)
		c->entry = 0;
	return c;
}

static void offer(struct sim *s)
{
	const struct scenario *sc = s->sc;
	/* requests a second */
	double capacity = sc->targets * sc->slots / 0.1 * MAX(sc->zones, 1);
	bool burst = sc->burst > 0 && s->now % (5 * SEC) < SEC / 2;
	double rate = capacity * (burst ? sc->burst : sc->load);
	int64_t next = s->now + 1 + (int64_t)(-log(uniform(s)) / rate * SEC);
	struct call *c = draw_call(s);

	if (next < RUN_FOR)
		push(s, next, EV_OFFER, 0, NULL);
	if (c->at >= WARM_UP) {
		s->tally.offered++;
		s->tally.by_caller[c->caller]++;
	}
	s->policy->offer(s, c);
}

static void step(struct sim *s, struct ev e)
{
	s->now = e.t;
	switch (e.kind) {
	case EV_OFFER:
		offer(s);
		break;
	case EV_ARRIVE:
		arrive(s, e.call);
		break;
	case EV_FINISH:
		finish(s, e.call);
		break;
	case EV_ANSWER:
		s->held[e.call->entry][e.call->target]--;
		s->policy->answer(s, e.call);
		break;
	case EV_POLL:
		if (s->poll_at[e.entry] == s->now)
			poll_entry(s, e.entry);
		break;
	case EV_GOSSIP:
		if (s->now < RUN_FOR)
			gossip(s);
		break;
	case EV_SHIFTED:
		adm_policy_offer(s, e.call);
		break;
	case EV_ROOM:
		if (s->now < RUN_FOR)
			tell_room(s);
		break;
	case EV_LOST:
		set_first_zone(s, ADM_NO_NEW_WORK);
		break;
	case EV_BACK:
		set_first_zone(s, ADM_SERVING);
		break;
	}
}

static struct tally simulate(const struct scenario *sc,
			     const struct policy *policy)
{
	struct sim *s = g_new0(struct sim, 1);
	struct tally tally;
	int i;

	s->sc = sc;
	s->policy = policy;
	s->rng = UINT64_C(0x9e3779b97f4a7c15);
	s->rand = g_rand_new_with_seed(1);
	s->heap = g_array_new(FALSE, FALSE, sizeof(struct ev));
	s->tally.waits = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s->tally.times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	start_adm(s);
	push(s, 0, EV_OFFER, 0, NULL);
	while (s->heap->len)
		step(s, pop(s));
	tally = s->tally;
	for (i = 0; i < ENTRIES_MAX; i++)
		adm_free(s->adm[i]);
	g_array_free(s->heap, TRUE);
	g_rand_free(s->rand);
	g_free(s);
	return tally;
}

static void tally_free(struct tally *t)
{
	g_array_free(t->waits, TRUE);
	g_array_free(t->times, TRUE);
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static double part(GArray *a, double q)
{
	if (!a->len)
		return NAN;
	g_array_sort(a, compare);
	return (double)g_array_index(a, int64_t, (guint)(q * (a->len - 1))) /
	       MS;
}

enum {
	GOODPUT,
	MISSES,
	WAIT50,
	WAIT99,
	TIME99,
	LEAST,
	FAILED,
	MEASURES
};

static const char *const measures[MEASURES][2] = {
	[GOODPUT] = {"goodput", "1/s"},	 [MISSES] = {"deadline_misses", "%"},
	[WAIT50] = {"wait_p50", "ms"},	 [WAIT99] = {"wait_p99", "ms"},
	[TIME99] = {"answer_p99", "ms"}, [LEAST] = {"least_served", "%"},
	[FAILED] = {"failed", "%"},
};

/* Even parts of what the targets can do, none above what is asked for. */
static double fair_part(const struct tally *t, double capacity)
{
	double level = 0;
	double left = capacity;
	int hungry = 1;
	int i;

	while (hungry && left > 1) {
		double step = INFINITY;

		hungry = 0;
		for (i = 0; i < CALLERS_MAX; i++) {
			double more = (double)t->by_caller[i] - level;

			if (more <= 0)
				continue;
			hungry++;
			step = MIN(step, more);
		}
		if (!hungry)
			break;
		step = MIN(step, left / hungry);
		left -= step * hungry;
		level += step;
	}
	return level;
}

/* What a caller got of its fair part; the least. */
static double least_served(const struct tally *t, const struct scenario *sc)
{
	double seconds = (double)(RUN_FOR - WARM_UP) / SEC;
	double level = fair_part(t, sc->targets * sc->slots / 0.1 * seconds);
	double least = 100;
	int i;

	for (i = 0; i < CALLERS_MAX; i++) {
		double due = MIN((double)t->by_caller[i], level);
		double got = (double)t->good_by_caller[i];

		if (due > 0)
			least = MIN(least, 100 * got / due);
	}
	return least;
}

static void measure(const struct scenario *sc, const struct policy *p,
		    double *m)
{
	struct tally t = simulate(sc, p);
	double all = (double)MAX(t.offered, 1);

	m[GOODPUT] = (double)t.good / ((double)(RUN_FOR - WARM_UP) / SEC);
	m[MISSES] = 100.0 * (double)t.late / all;
	m[WAIT50] = part(t.waits, 0.5);
	m[WAIT99] = part(t.waits, 0.99);
	m[TIME99] = part(t.times, 0.99);
	m[LEAST] = least_served(&t, sc);
	m[FAILED] = 100.0 * (double)t.failed / all;
	if (getenv("ADM_BENCH_VERBOSE"))
		fprintf(stderr,
			"%s %s offered=%lu good=%lu late=%lu failed=%lu "
			"refused=%lu bounced=%lu\n",
			sc->name, p->name, t.offered, t.good, t.late, t.failed,
			t.refused, t.bounced);
	tally_free(&t);
}

#define TEN                                                     \
	.targets = 10, .entries = 3, .slots = 8, .callers = 20, \
	.top_caller = 0.05

static const struct scenario scenarios[] = {
	{.name = "plain", TEN, .load = 0.7},
	{.name = "burst", TEN, .load = 0.5, .burst = 4},
	{.name = "skew",
	 .targets = 10,
	 .entries = 3,
	 .slots = 8,
	 .callers = 20,
	 .top_caller = 0.8,
	 .load = 2},
	{.name = "slow", TEN, .load = 0.7, .slow = 10},
	{.name = "failing", TEN, .load = 0.7, .failing = true},
	{.name = "mixed", TEN, .load = 0.8, .mixed = true},
	{.name = "full_1x", TEN, .load = 1},
	{.name = "full_3x", TEN, .load = 3},
	{.name = "full_10x", TEN, .load = 10},
};

/* Three ways to share slots among entry VMs; the first VM gets half. */
#define UNEVEN .slots = 8, .callers = 20, .top_caller = 0.05, .top_entry = 0.5

static const struct scenario shares[] = {
	{.name = "share3_feedback",
	 UNEVEN,
	 .targets = 15,
	 .entries = 3,
	 .load = 0.8},
	{.name = "share3_static",
	 UNEVEN,
	 .targets = 15,
	 .entries = 3,
	 .load = 0.8,
	 .share = SHARE_STATIC},
	{.name = "share3_gossip",
	 UNEVEN,
	 .targets = 15,
	 .entries = 3,
	 .load = 0.8,
	 .share = SHARE_GOSSIP},
	{.name = "share30_feedback",
	 UNEVEN,
	 .targets = 150,
	 .entries = 30,
	 .load = 0.8},
	{.name = "share30_static",
	 UNEVEN,
	 .targets = 150,
	 .entries = 30,
	 .load = 0.8,
	 .share = SHARE_STATIC},
	{.name = "share30_gossip",
	 UNEVEN,
	 .targets = 150,
	 .entries = 30,
	 .load = 0.8,
	 .share = SHARE_GOSSIP},
	{.name = "share30_feedback_3x",
	 UNEVEN,
	 .targets = 150,
	 .entries = 30,
	 .load = 3},
	{.name = "share30_static_3x",
	 UNEVEN,
	 .targets = 150,
	 .entries = 30,
	 .load = 3,
	 .share = SHARE_STATIC},
	{.name = "share30_gossip_3x",
	 UNEVEN,
	 .targets = 150,
	 .entries = 30,
	 .load = 3,
	 .share = SHARE_GOSSIP},
	{.name = "queueing_targets", TEN, .load = 0.7, .queueing = true},
	{.name = "queueing_full_3x", TEN, .load = 3, .queueing = true},
};

static void print(const char *scenario, const char *what, const char *unit,
		  double value, const char *beside, double baseline)
{
	printf("adm.%s.%s%s%s\t%.4g\t%s\t%.4g\n", scenario, what,
	       beside ? "/" : "", beside ? beside : "", value, unit, baseline);
}

static void compare_scenario(const struct scenario *sc, double *own)
{
	double other[MEASURES];
	size_t p;
	int m;

	measure(sc, &policies[0], own);
	for (p = 1; p < G_N_ELEMENTS(policies); p++) {
		measure(sc, &policies[p], other);
		for (m = 0; m < MEASURES; m++)
			print(sc->name, measures[m][0], measures[m][1], own[m],
			      policies[p].name, other[m]);
	}
}

/* Feedback is what adm does; the other ways stand beside it. */
static void compare_shares(void)
{
	double m[MEASURES];
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(shares); i++) {
		measure(&shares[i], &policies[0], m);
		for (k = 0; k < MEASURES; k++)
			print(shares[i].name, measures[k][0], measures[k][1],
			      m[k], NULL, NAN);
	}
}

/* Part of a zone's own callers' requests that ended well, in percent. */
static double served(const struct tally *t, int zone)
{
	return 100.0 * (double)t->good_by_caller[zone] /
	       (double)MAX(t->by_caller[zone], 1);
}

/*
 * A third of the time the first of three zones has no targets. What its callers
 * get, and what those of the others lose by it; beside it no shift at all.
 */
static void compare_zones(void)
{
	static const double loads[] = {0.4, 0.6, 0.95};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		struct scenario sc = {.name = "zone",
				      .targets = 10,
				      .slots = 8,
				      .entries = 3,
				      .zones = 3,
				      .callers = 3,
				      .load = loads[i]};
		struct tally with = simulate(&sc, &policies[0]);
		struct tally without;
		char name[32];

		sc.deaf = true;
		without = simulate(&sc, &policies[0]);
		snprintf(name, sizeof(name), "zone_lost_at_%g", loads[i]);
		print(name, "lost_zone_served", "%", served(&with, 0),
		      "no_shift", served(&without, 0));
		print(name, "others_served", "%",
		      MIN(served(&with, 1), served(&with, 2)), "no_shift",
		      MIN(served(&without, 1), served(&without, 2)));
		print(name, "wait_p99", "ms", part(with.waits, 0.99),
		      "no_shift", part(without.waits, 0.99));
		print(name, "refused_by_zone", "%",
		      100.0 * (double)with.bounced_home / (double)with.offered,
		      NULL, NAN);
		tally_free(&with);
		tally_free(&without);
	}
}

static double seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/*
 * Nanoseconds of a whole cycle (offer, done, poll) at a part of all slots
 * taken; 1 or more: all taken, and requests waiting.
 */
static double cycle_ns(int targets, double load)
{
	const struct adm_config conf = {.seed = 1, .entries = 1};
	const struct adm_pool_spec pool = {.slots = 8,
					   .conns = 64,
					   .queue_us = 2 * SEC,
					   .deadline_us = 2 * SEC};
	const struct adm_target_spec serving = {.state = ADM_SERVING,
						.lease_until_us = ADM_NEVER};
	const struct adm_result ok = {
		.outcome = ADM_DONE_OK, .service_us = 100 * MS, .busy = -1};
	const int cycles = 400000;
	struct adm *a = adm_new(&conf);
	GArray *running = g_array_new(FALSE, FALSE, sizeof(adm_ticket));
	struct adm_request r = {.class = ADM_NORMAL};
	guint want = (guint)(targets * 8 * MIN(load, 1));
	struct adm_verdict out[8];
	int64_t now = 0;
	int64_t next;
	char name[16];
	double from = 0;
	int i;

	adm_pool_set(a, 0, &pool);
	for (i = 0; i < targets; i++)
		adm_target_set(a, 0, (uint64_t)i, &serving);
	for (i = 0; i < cycles + cycles / 4; i++) {
		struct adm_verdict v;
		guint at;
		size_t n;

		if (i == cycles / 4)
			from = seconds();
		now += 100 * MS / (targets * 8);
		snprintf(name, sizeof(name), "%d", i % 20);
		r.caller = lstr_from(name);
		v = adm_offer(a, now, &r, NULL);
		if (v.kind == ADM_RUN)
			g_array_append_val(running, v.ticket);
		if (running->len < want || !running->len)
			continue;
		at = (guint)(i * 2654435761u) % running->len;
		adm_done(a, now, g_array_index(running, adm_ticket, at), &ok);
		g_array_remove_index_fast(running, at);
		n = adm_poll(a, now, out, 8, &next);
		while (n-- > 0)
			if (out[n].kind == ADM_RUN)
				g_array_append_val(running, out[n].ticket);
	}
	from = seconds() - from;
	g_array_free(running, TRUE);
	adm_free(a);
	return from / cycles * 1e9;
}

/*
 * Both sizes in turn, and the lowest of some runs: whatever else the machine
 * does only adds to it.
 */
static void compare_cost(const char *name, double load)
{
	double few = INFINITY;
	double many = INFINITY;
	int i;

	for (i = 0; i < 7; i++) {
		few = MIN(few, cycle_ns(50, load));
		many = MIN(many, cycle_ns(575, load));
	}
	print(name, "cycle_50", "ns", few, NULL, NAN);
	print(name, "cycle_575", "ns", many, "expected", 2000);
	print(name, "cycle_575_of_50", "x", many / few, "expected", 1.5);
}

int main(void)
{
	double m[G_N_ELEMENTS(scenarios)][MEASURES];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		compare_scenario(&scenarios[i], m[i]);
	print("full", "goodput_10x_of_1x", "%",
	      100 * m[8][GOODPUT] / m[6][GOODPUT], "expected", 97);
	print("slow", "answer_p99_of_plain", "x", m[3][TIME99] / m[0][TIME99],
	      "expected", 1.5);
	compare_zones();
	compare_shares();
	compare_cost("cost", 0.7);
	compare_cost("cost_full", 1.5);
	return 0;
}
