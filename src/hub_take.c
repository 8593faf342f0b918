#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

static bool hub_report_outdated(struct hub *h, const char *id,
				uint64_t sequence);
static void hub_probe_addr(struct hub *h, const struct jtb_worker_info *info);

/*
 * Retry-After, s, of a job that is refused because its queue needs advice and
 * no advice service is configured: it could never run, and would be pending for
 * ever. Settings are changed by hand, so callers need not retry soon.
 */
#define HUB_NO_ADVICE_RETRY_S 30

/* Accepts a job, and resumes the call once the job is stored permanently. */
void hub_submit(struct hub *h, struct hub_call *c, const struct jtb_spec *spec,
		hub_resume_fn resume)
{
	const struct jtb_queue *q = jtb_queue(jtb_config(h->jtb), spec->queue);

	if (q && q->advised && !adv_line_configured(h->advice)) {
		h->counts[HUB_UNADVISED]++;
		hub_answer(h, c,
			   &(struct hub_answer){.status = 503,
						.retry_after_s =
							HUB_NO_ADVICE_RETRY_S});
		return;
	}
	h->counts[HUB_JOBS]++;
	msg_job(MSG_HUB_JOB, spec->id,
		"job=%s queue=%s steps=%u config=%" PRIu64 " live=%u", spec->id,
		spec->queue, spec->n_steps, jtb_config(h->jtb)->version,
		jtb_live(h->jtb)->len);
	jtb_put_job(hub_append_command(h), spec, hub_wall_ms());
	hub_commit(h, c, resume);
}

/*
 * Cancels a job, and resumes the call once no task of the job can be started
 * any more.
 */
void hub_cancel(struct hub *h, struct hub_call *c, const char *id,
		hub_resume_fn resume)
{
	h->counts[HUB_CANCELS]++;
	msg_job(MSG_HUB_CANCEL, id, "job=%s", id);
	jtb_put_cancel(hub_append_command(h), id, hub_wall_ms());
	hub_commit(h, c, resume);
}

/*
 * Accepts a worker's report on itself. Only changes are put into the log. That
 * a worker leaves must be stored before the report is acknowledged, since the
 * next leader must give it no work either.
 */
void hub_accept_report(struct hub *h, struct hub_call *c,
		       const struct jtb_worker_info *info, uint64_t sequence,
		       int64_t clock_ms, hub_resume_fn resume)
{
	struct jtb_worker *w = jtb_worker(h->jtb, info->id);

	if (jtb_was_removed(h->jtb, info->id)) {
		msg(MSG_HUB_ODD,
		    "what=\"word of a worker that is over\" worker=%s addr=%s "
		    "sequence=%" PRIu64,
		    info->id, info->addr, sequence);
		resume(h, c);
		return;
	}
	if (hub_report_outdated(h, info->id, sequence)) {
		resume(h, c);
		return;
	}
	if (w)
		wkr_clock(h->wkr, w, clock_ms);
	else
		hub_probe_addr(h, info);
	if (w && jtb_worker_known(&w->info, info)) {
		h->counts[HUB_REPORTS]++;
		resume(h, c);
		return;
	}
	jtb_put_worker(hub_append_command(h), info);
	hub_commit(h, c, resume);
}

/*
 * Whether a replica that does not lead may acknowledge a worker's report: all
 * of the report is in the table, so any leader knows it too. A replica without
 * a leader may be far behind, and redirects the worker instead.
 */
bool hub_knows_worker(struct hub *h, const struct jtb_worker_info *info)
{
	const struct jtb_worker *w = jtb_worker(h->jtb, info->id);
	char *leader = rep_leader_addr(h->rep);
	bool knows = leader && w && jtb_worker_known(&w->info, info);

	g_free(leader);
	h->counts[HUB_REPORTS] += knows;
	return knows;
}

/*
 * Accepts a worker's announcement of its end; the worker may still run tasks
 * for a moment.
 */
void hub_accept_leave(struct hub *h, struct hub_call *c, const char *id,
		      hub_resume_fn resume)
{
	struct jtb_worker *w = jtb_worker(h->jtb, id);

	if (w) {
		hub_record_leave(h, w);
		if (w->runs->len)
			wkr_ask(h->wkr, w);
	}
	hub_commit(h, c, resume);
}

/* Whether a newer report of that worker was received before. */
static bool hub_report_outdated(struct hub *h, const char *id,
				uint64_t sequence)
{
	uint64_t *last = g_hash_table_lookup(h->report_seqs, id);

	if (last && sequence <= *last)
		return true;
	g_hash_table_replace(h->report_seqs, g_strdup(id),
			     g_memdup2(&sequence, sizeof(sequence)));
	return false;
}

/*
 * A new worker reports an address that a known worker has: asks the known
 * worker for its runs by its id. The known worker is over if another worker
 * answers.
 */
static void hub_probe_addr(struct hub *h, const struct jtb_worker_info *info)
{
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.addr, info->addr) == 0)
			wkr_ask(h->wkr, w);
}
