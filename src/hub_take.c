#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

static void hub_take_leave(struct hub *h, struct jtb_worker *w);
static bool hub_report_outdated(struct hub *h, const char *id,
				uint64_t sequence);
static void hub_probe_addr(struct hub *h, const struct jtb_worker_info *info);
static bool hub_refuse_too_large(struct hub *h, struct hub_call *c,
				 const struct jtb_spec *spec);

static const char *const hub_key_faults[HUB_KEY_FAULTS] = {
	[HUB_KEY_VALID] = "valid",
	[HUB_KEY_MISSING] = "no-key",
	[HUB_KEY_MALFORMED] = "malformed-header",
	[HUB_KEY_UNKNOWN] = "unknown-key",
	[HUB_KEY_OF_OTHER] = "job-of-another-organisation",
};

/*
 * Retry-After, s, of a job that is refused because its queue needs advice and
 * no advice service is configured: it could never run, and would be pending for
 * ever. Settings are changed by hand, so callers need not retry soon.
 */
#define HUB_NO_ADVICE_RETRY_S 30
/*
 * Retry-After, s, of a job with a task that is larger than its organisation's
 * limit. Limits are changed by hand, too.
 */
#define HUB_NEVER_FITS_RETRY_S 30

/* Accepts a job, and resumes the call once the job is stored permanently. */
void hub_submit(struct hub *h, struct hub_call *c, const struct jtb_spec *spec,
		hub_resume_fn resume)
{
	const struct jtb_queue *q = jtb_queue(jtb_config(h->jtb), spec->queue);

	if (hub_refuse_too_large(h, c, spec))
		return;
	if (q && q->advised && !adv_line_configured(h->advice)) {
		h->counts[HUB_UNADVISED]++;
		hub_answer(h, c,
			   &(struct hub_answer){.status = 503,
						.retry_after_s =
							HUB_NO_ADVICE_RETRY_S});
		return;
	}
	if (hub_refuse_behind(h, c) || hub_intake_refuse(h, c, spec))
		return;
	h->counts[HUB_JOBS]++;
	msg_job(MSG_HUB_JOB, spec->id,
		"job=%s queue=%s steps=%u config=%" PRIu64 " live=%u", spec->id,
		spec->queue, spec->n_steps, jtb_config(h->jtb)->version,
		jtb_live(h->jtb)->len);
	jtb_put_job(hub_append_command(h), spec, hub_wall_ms());
	hub_commit(h, c, resume);
}

/*
 * Accepts a configuration. The highest version counts: one that isn't higher
 * than what is in force is acknowledged and changes nothing, so that it may come
 * any number of times.
 */
void hub_accept_config(struct hub *h, struct hub_call *c,
		       const struct jtb_config *config, hub_resume_fn resume)
{
	if (config->version <= jtb_config(h->jtb)->version) {
		hub_commit(h, c, resume);
		return;
	}
	if (hub_refuse_behind(h, c))
		return;
	jtb_put_config(hub_append_command(h), config);
	hub_commit(h, c, resume);
}

/*
 * Refuses a job of which a step could never run within its organisation's
 * limit: it would be pending for ever. Returns false if there is none.
 */
static bool hub_refuse_too_large(struct hub *h, struct hub_call *c,
				 const struct jtb_spec *spec)
{
	const struct jtb_config *config = jtb_config(h->jtb);
	const struct org *o =
		spec->org ? orgs_by_name(config->orgs, spec->org) : NULL;
	int step = o ? jtb_oversized_step(spec, o) : -1;
	char text[160];

	if (step < 0)
		return false;
	h->counts[HUB_NEVER_FIT]++;
	quo_use(jtb_usage(h->jtb), o->name)->refused++;
	g_snprintf(text, sizeof(text),
		   "step %d needs more at a time than the limit of its "
		   "organisation in configuration %" PRIu64 "\n",
		   step, config->version);
	msg_job_fails(MSG_HUB_NEVER_FITS, spec->id,
		      "job=%s queue=%s organisation=\"%s\" step=%d "
		      "config=%" PRIu64,
		      spec->id, spec->queue, o->name, step, config->version);
	hub_answer(h, c,
		   &(struct hub_answer){.status = 429,
					.retry_after_s = HUB_NEVER_FITS_RETRY_S,
					.type = "text/plain; charset=utf-8",
					.body = lstr_from(text)});
	return true;
}

/*
 * Refuses a call for its key: 401 without a valid key, 403 for a job of another
 * organisation. The log shows a digest of the key, never the key.
 */
void hub_refuse_key(struct hub *h, struct hub_call *c,
		    const struct jtb_queue *q, enum hub_key_fault why,
		    struct lstr key)
{
	char digest[ORG_DIGEST_TEXT] = "none";

	if (key.len)
		org_key_digest(key, digest);
	h->counts[HUB_KEYS_REFUSED]++;
	msg(MSG_HUB_KEY_REFUSED,
	    "why=%s key=%s queue=%s method=%s path=%s config=%" PRIu64,
	    hub_key_faults[why], digest, q->name, c->method, c->path,
	    jtb_config(h->jtb)->version);
	hub_answer_status(h, c, why == HUB_KEY_OF_OTHER ? 403 : 401);
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
		       struct jtb_worker_info *info, int64_t leaves_in_ms,
		       uint64_t sequence, int64_t clock_ms,
		       hub_resume_fn resume)
{
	struct jtb_worker *w = jtb_worker(h->jtb, info->id);
	bool current;

	if (info->draining && leaves_in_ms)
		info->leaves_at_ms = hub_wall_ms() + leaves_in_ms;
	current = w && jtb_worker_info_is_current(&w->info, info);
	if (!hub_judge_lifetime(h, c, w, info, resume))
		return;
	if (jtb_lifetime_is_over(h->jtb, info->id, info->started_ms)) {
		msg(MSG_HUB_ODD,
		    "what=\"word of a worker that is over\" worker=%s addr=%s "
		    "sequence=%" PRIu64,
		    info->id, info->addr, sequence);
		resume(h, c);
		return;
	}
	if (hub_is_restart(w, info)) {
		g_hash_table_remove(h->report_seqs, info->id);
		hub_propose_restart(h, w, info);
		hub_commit(h, c, resume);
		return;
	}
	if (!hub_report_outdated(h, info->id, sequence)) {
		if (w)
			wkr_set_clock(h->wkr, w, clock_ms);
		else
			hub_probe_addr(h, info);
		if (!current)
			jtb_put_worker(hub_append_command(h), info);
	}
	if (!current) {
		/* the first copy of a repeated report may not be stored yet */
		hub_commit(h, c, resume);
		return;
	}
	h->counts[HUB_REPORTS]++;
	resume(h, c);
}

/*
 * Whether a replica that does not lead may acknowledge a worker's report: all
 * of the report is in the table, so any leader knows it too. A replica without
 * a leader, or whose disk is full, may be far behind, and redirects the worker
 * instead.
 */
bool hub_knows_worker(struct hub *h, const struct jtb_worker_info *info)
{
	const struct jtb_worker *w = jtb_worker(h->jtb, info->id);
	char *leader = rep_leader_addr(h->rep);
	bool knows = rep_is_storing(h->rep) && leader && w &&
		     jtb_worker_info_is_current(&w->info, info);

	g_free(leader);
	h->counts[HUB_REPORTS] += knows;
	return knows;
}

/*
 * Accepts a worker's announcement of its end; the worker may still run tasks
 * for a moment. It names no lifetime: one that comes late may be of a lifetime
 * before, and would take a worker that has just begun out of use. A lifetime
 * reports that it is draining before it announces its end.
 */
void hub_accept_leave(struct hub *h, struct hub_call *c, const char *id,
		      hub_resume_fn resume)
{
	struct jtb_worker *w = jtb_worker(h->jtb, id);

	if (w && !w->info.draining)
		msg(MSG_HUB_ODD,
		    "what=\"end of a worker that isn't draining\" worker=%s "
		    "addr=%s",
		    w->info.id, w->info.addr);
	else if (w && !w->restart_proposed)
		hub_take_leave(h, w);
	hub_commit(h, c, resume);
}

/* Records that a worker has announced its end, and asks for its last runs. */
static void hub_take_leave(struct hub *h, struct jtb_worker *w)
{
	hub_record_leave(h, w);
	if (w->runs->len)
		wkr_poll(h->wkr, w);
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
			wkr_poll(h->wkr, w);
}
