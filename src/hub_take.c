#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

static bool hub_late_word(struct hub *h, const char *id, uint64_t sequence);
static void hub_addr_taken(struct hub *h, const struct jtb_worker_info *info);

/*
 * A job of a queue with advice, while nobody gives any, could never run: it is
 * refused at once, instead of being owed for good. Settings are changed by
 * hand, so that callers needn't come back soon, s.
 */
#define HUB_UNADVISED_S 30

/* Takes a job in; then goes on once it is stored for good. */
void hub_submit(struct hub *h, struct hub_call *c, const struct jtb_spec *spec,
		hub_then then)
{
	const struct jtb_queue *q = jtb_queue(jtb_config(h->jtb), spec->queue);

	if (q && q->advised && !adv_line_there(h->advice)) {
		h->counts[HUB_UNADVISED]++;
		hub_answer(h, c,
			   &(struct hub_answer){.status = 503,
						.retry_after_s =
							HUB_UNADVISED_S});
		return;
	}
	h->counts[HUB_JOBS]++;
	msg_job(MSG_HUB_JOB, spec->id,
		"job=%s queue=%s steps=%u config=%" PRIu64 " live=%u", spec->id,
		spec->queue, spec->n_steps, jtb_config(h->jtb)->version,
		jtb_live(h->jtb)->len);
	jtb_put_job(hub_put(h), spec, hub_wall_ms());
	hub_commit(h, c, then);
}

/* Ends a job; then goes on once nothing of it is started any more. */
void hub_cancel(struct hub *h, struct hub_call *c, const char *id,
		hub_then then)
{
	h->counts[HUB_CANCELS]++;
	msg_job(MSG_HUB_CANCEL, id, "job=%s", id);
	jtb_put_cancel(hub_put(h), id, hub_wall_ms());
	hub_commit(h, c, then);
}

/*
 * A worker told of itself. Only what is new goes into the log; that it leaves
 * must be there before it is told that we know, since the next leader must
 * give it no work either.
 */
void hub_told_worker(struct hub *h, struct hub_call *c,
		     const struct jtb_worker_info *info, uint64_t sequence,
		     int64_t clock_ms, hub_then then)
{
	struct jtb_worker *w = jtb_worker(h->jtb, info->id);

	if (jtb_worker_was_removed(h->jtb, info->id)) {
		msg(MSG_HUB_ODD,
		    "what=\"word of a worker that is over\" worker=%s addr=%s "
		    "sequence=%" PRIu64,
		    info->id, info->addr, sequence);
		then(h, c);
		return;
	}
	if (hub_late_word(h, info->id, sequence)) {
		then(h, c);
		return;
	}
	if (w)
		wkr_clock(h->wkr, w, clock_ms);
	else
		hub_addr_taken(h, info);
	if (w && jtb_worker_info_is_current(&w->info, info)) {
		h->counts[HUB_REPORTS]++;
		then(h, c);
		return;
	}
	jtb_put_worker(hub_put(h), info);
	hub_commit(h, c, then);
}

/*
 * Whether a replica that doesn't lead may acknowledge what a worker told of
 * itself: it is all in the table, so that any leader knows it too. One that has
 * lost its leader may be far behind, and sends the worker elsewhere.
 */
bool hub_knows_worker(struct hub *h, const struct jtb_worker_info *info)
{
	const struct jtb_worker *w = jtb_worker(h->jtb, info->id);
	char *leader = rep_leader_addr(h->rep);
	bool knows = leader && w && jtb_worker_info_is_current(&w->info, info);

	g_free(leader);
	h->counts[HUB_REPORTS] += knows;
	return knows;
}

/* A worker says that it ends; it may still run something for a moment. */
void hub_told_leave(struct hub *h, struct hub_call *c, const char *id,
		    hub_then then)
{
	struct jtb_worker *w = jtb_worker(h->jtb, id);

	if (w) {
		hub_worker_leaves(h, w);
		if (w->runs->len)
			wkr_ask(h->wkr, w);
	}
	hub_commit(h, c, then);
}

/* Whether a later word of that worker came before this one. */
static bool hub_late_word(struct hub *h, const char *id, uint64_t sequence)
{
	uint64_t *last = g_hash_table_lookup(h->heard, id);

	if (last && sequence <= *last)
		return true;
	g_hash_table_replace(h->heard, g_strdup(id),
			     g_memdup2(&sequence, sizeof(sequence)));
	return false;
}

/*
 * Another lifetime at the address of one that we know: the older is asked for
 * by its id, and is over if somebody else answers.
 */
static void hub_addr_taken(struct hub *h, const struct jtb_worker_info *info)
{
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.addr, info->addr) == 0)
			wkr_ask(h->wkr, w);
}
