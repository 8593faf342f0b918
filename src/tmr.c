#include "tmr.h"

#include <event2/event.h>
#include <glib.h>
#include <time.h>

/* Weight of the newest lag in the moving mean: 1 in so many. */
#define TMR_LAG_MEAN 8

/* One subscription; ordered by due time, then by id. */
struct tmr_sub {
	int64_t due;
	uint64_t id;
	int64_t period; /* 0: once */
	tmr_fn fn;
	void *arg;
};

/*
 * The timer service: all that parts wait for hangs on one libevent timer, set
 * to the earliest due subscription. Without a base the clock is moved by hand.
 */
struct tmr {
	GTree *queue; /* struct tmr_sub by (due, id) */
	GHashTable *by_id;
	struct event *ev;
	int64_t armed_ms; /* what ev is set to; 0: it isn't */
	bool firing; /* ev is set once all that is due was called */
	int64_t manual_now;
	uint64_t next_id;
	struct cnt_times lag; /* how late the loop came to what was due */
	double lag_ms; /* moving mean of it */
};

static gint tmr_order(gconstpointer a, gconstpointer b, gpointer unused);
static uint64_t tmr_add(struct tmr *t, int64_t delay, int64_t period, tmr_fn fn,
			void *arg);
static struct tmr_sub *tmr_first(struct tmr *t);
static void tmr_run_due(struct tmr *t, int64_t now);
static void tmr_late(struct tmr *t, int64_t now);
static void tmr_arm(struct tmr *t);
static void tmr_fire(evutil_socket_t fd, short what, void *arg);

static struct tmr *tmr_alloc(void)
{
	struct tmr *t = g_new0(struct tmr, 1);

	t->queue = g_tree_new_full(tmr_order, NULL, g_free, NULL);
	t->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->next_id = 1;
	return t;
}

/* A service on the machine's clock and the loop. */
struct tmr *tmr_new(struct event_base *base)
{
	struct tmr *t = tmr_alloc();

	t->ev = event_new(base, -1, 0, tmr_fire, t);
	return t;
}

/* A service for tests: time stands still until tmr_advance. */
struct tmr *tmr_new_manual(int64_t now_ms)
{
	struct tmr *t = tmr_alloc();

	t->manual_now = now_ms;
	return t;
}

/* Frees the service; subscriptions left are dropped, not called. */
void tmr_free(struct tmr *t)
{
	if (!t)
		return;
	if (t->ev)
		event_free(t->ev);
	g_hash_table_destroy(t->by_id);
	g_tree_destroy(t->queue);
	g_free(t);
}

/*
 * Monotonic milliseconds; only differences mean anything. They count the time
 * that the machine was suspended, as the rest of the fleet's clocks do: a
 * leader that wakes would else believe that it has just been sure it leads, and
 * give orders beside its successor. The loop waits by a clock that doesn't, so
 * what fell due meanwhile is called late, by its remaining wait at most.
 */
int64_t tmr_now(const struct tmr *t)
{
	struct timespec ts;

	if (!t->ev)
		return t->manual_now;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Calls fn each period_ms until cancelled; the result names it. */
uint64_t tmr_every(struct tmr *t, int64_t period_ms, tmr_fn fn, void *arg)
{
	g_assert(period_ms > 0);
	return tmr_add(t, period_ms, period_ms, fn, arg);
}

/* Calls fn once after delay_ms, never from within this call. */
uint64_t tmr_once(struct tmr *t, int64_t delay_ms, tmr_fn fn, void *arg)
{
	return tmr_add(t, delay_ms, 0, fn, arg);
}

/* Ends a subscription; 0 and ids that are over are let pass. */
void tmr_cancel(struct tmr *t, uint64_t id)
{
	struct tmr_sub *sub = g_hash_table_lookup(t->by_id, &id);

	if (!sub)
		return;
	g_hash_table_remove(t->by_id, &id);
	g_tree_remove(t->queue, sub);
	tmr_arm(t);
}

/* Moves a manual clock and calls what falls due, in order of due time. */
void tmr_advance(struct tmr *t, int64_t by_ms)
{
	int64_t end = t->manual_now + by_ms;
	struct tmr_sub *sub;

	while ((sub = tmr_first(t)) && sub->due <= end) {
		if (sub->due > t->manual_now)
			t->manual_now = sub->due;
		tmr_run_due(t, t->manual_now);
	}
	t->manual_now = end;
}

/* How late the loop has come to what was due, since the start. */
const struct cnt_times *tmr_lag(const struct tmr *t)
{
	return &t->lag;
}

/*
 * How late the loop comes to what is due, ms, a moving mean: about the length of
 * its turns, which grow without end where more comes in than it gets done.
 */
int64_t tmr_lag_ms(const struct tmr *t)
{
	return (int64_t)t->lag_ms;
}

static uint64_t tmr_add(struct tmr *t, int64_t delay, int64_t period, tmr_fn fn,
			void *arg)
{
	struct tmr_sub *sub = g_new(struct tmr_sub, 1);

	*sub = (struct tmr_sub){
		.due = tmr_now(t) + (delay > 0 ? delay : 0),
		.id = t->next_id++,
		.period = period,
		.fn = fn,
		.arg = arg,
	};
	g_tree_insert(t->queue, sub, sub);
	g_hash_table_insert(t->by_id, &sub->id, sub);
	tmr_arm(t);
	return sub->id;
}

static struct tmr_sub *tmr_first(struct tmr *t)
{
	GTreeNode *node = g_tree_node_first(t->queue);

	return node ? g_tree_node_key(node) : NULL;
}

/*
 * Calls what is due at now, but not what those calls add for the same moment:
 * a part that always asks for "at once" must not starve the sockets.
 */
static void tmr_run_due(struct tmr *t, int64_t now)
{
	uint64_t newest = t->next_id;
	struct tmr_sub *sub;
	struct tmr_sub copy;

	while ((sub = tmr_first(t)) && sub->due <= now && sub->id < newest) {
		copy = *sub;
		g_hash_table_remove(t->by_id, &copy.id);
		g_tree_steal(t->queue, sub);
		if (copy.period) {
			sub->due = now + copy.period;
			g_tree_insert(t->queue, sub, sub);
			g_hash_table_insert(t->by_id, &sub->id, sub);
		} else {
			g_free(sub);
		}
		copy.fn(copy.arg, now);
	}
}

/*
 * Sets the loop's timer to what is due first. Most subscriptions are behind it
 * and leave it as it is.
 */
static void tmr_arm(struct tmr *t)
{
	struct tmr_sub *sub;
	struct timeval tv;
	int64_t wait;

	if (!t->ev || t->firing)
		return;
	sub = tmr_first(t);
	if (!sub) {
		evtimer_del(t->ev);
		t->armed_ms = 0;
		return;
	}
	if (sub->due == t->armed_ms)
		return;
	t->armed_ms = sub->due;
	wait = sub->due - tmr_now(t);
	if (wait < 0)
		wait = 0;
	tv.tv_sec = wait / 1000;
	tv.tv_usec = (wait % 1000) * 1000;
	evtimer_add(t->ev, &tv);
}

/*
 * Returns for how long this process stood still before a tick, ms: what passed
 * since the tick before, at *ticked_ms, beyond the period; 0 if it is less than
 * another period. What others sent meanwhile may not have been read yet, so
 * that their silence in that time shows nothing. *ticked_ms is 0 at first.
 */
int64_t tmr_paused_ms(int64_t *ticked_ms, int64_t now_ms, int64_t period_ms)
{
	int64_t passed_ms = *ticked_ms ? now_ms - *ticked_ms : 0;

	*ticked_ms = now_ms;
	return passed_ms > 2 * period_ms ? passed_ms - period_ms : 0;
}

/* Notes how late the first subscription that is due is called. */
static void tmr_late(struct tmr *t, int64_t now)
{
	struct tmr_sub *sub = tmr_first(t);
	int64_t late = sub ? MAX(0, now - sub->due) : 0;

	cnt_time_ms(&t->lag, late);
	t->lag_ms += ((double)late - t->lag_ms) / TMR_LAG_MEAN;
}

static void tmr_fire(evutil_socket_t fd, short what, void *arg)
{
	struct tmr *t = arg;

	int64_t now = tmr_now(t);

	tmr_late(t, now);
	t->armed_ms = 0;
	t->firing = true;
	tmr_run_due(t, now);
	t->firing = false;
	tmr_arm(t);
}

static gint tmr_order(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct tmr_sub *x = a;
	const struct tmr_sub *y = b;

	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}
