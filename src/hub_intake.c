#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/*
 * Time from the election until a leader may refuse jobs, ms: its workers have
 * listed their runs and the autoscaler has seen a few lists of VMs.
 */
#define HUB_INTAKE_LEAD_MS 3000
/* Age of the list of VMs beyond which nothing is refused, ms. */
#define HUB_INTAKE_LIST_MS 3000

/* A time after which a job's result is of no use, in objectives. */
#define HUB_INTAKE_NO_USE 3

static void hub_intake_count_jobs(struct hub *h);
static int64_t hub_intake_life_ms(const struct jtb_queue *q,
				  const struct jtb_job *job, int64_t wall_ms);
static double hub_intake_waiting(const struct jtb_job *job);
static uint64_t hub_intake_bytes(const struct jtb_spec *spec);
static bool hub_intake_is_stored(void *arg, const char *id);
static bool hub_intake_is_exempt(const struct jtb_spec *spec);
static bool hub_intake_knows(const struct hub *h, const char *queue);
static void hub_intake_fill(const struct jtb_spec *spec,
			    const struct jtb_queue *q,
			    const struct quo_use *use, struct itk_job *out);
static void hub_intake_answer(struct hub *h, struct hub_call *c,
			      const struct itk_verdict *v, int64_t objective);
static int64_t hub_intake_ask(const struct hub *h, const struct jtb_spec *spec,
			      const struct jtb_queue *q, struct itk_job *job,
			      struct itk_need *need);

/* Counts the work that waits, and the room for it. */
void hub_intake_tick(struct hub *h, int64_t now)
{
	const GPtrArray *pools = flo_pools(h->flo);
	guint i;

	itk_count_begin(h->itk);
	for (i = 0; i < pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(pools, i);

		itk_count_pool(h->itk, p->name,
			       &(struct itk_capacity){
				       .cores = p->cores,
				       .used = p->used,
				       .load = p->load,
				       .entitled = p->entitled,
			       });
	}
	hub_intake_count_jobs(h);
	itk_count_end(h->itk, hub_intake_is_stored, h, now);
}

/*
 * Counts all live jobs. Work counts that waits for cores and can still be of
 * use, of queues whose task times are learned.
 */
static void hub_intake_count_jobs(struct hub *h)
{
	const struct jtb_config *config = jtb_config(h->jtb);
	GPtrArray *live = jtb_live(h->jtb);
	int64_t wall = hub_wall_ms();
	guint i;

	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);
		const struct jtb_queue *q = jtb_queue(config, job->spec.queue);
		struct itk_job counted;

		if (jtb_job_ended(job))
			continue;
		hub_intake_fill(&job->spec, q, job->use, &counted);
		if (q && !job->spec.repeats && !sch_is_long_running(job) &&
		    est_is_learned(h->est, q->name) &&
		    sch_chance(q, job, wall) != SCH_WORTHLESS) {
			counted.core_s = hub_intake_waiting(job) *
					 MAX(0, job->estimate_ratio);
			counted.life_ms = hub_intake_life_ms(q, job, wall);
		}
		itk_count_job(h->itk, &counted);
	}
}

/*
 * Returns the time within which a job's turn must come to be of use, ms; its
 * work has begun: any time.
 */
static int64_t hub_intake_life_ms(const struct jtb_queue *q,
				  const struct jtb_job *job, int64_t wall_ms)
{
	int64_t age = wall_ms - job->accepted_ms;
	int64_t chain = (int64_t)(job->critical_path_ms * job->estimate_ratio);

	if (job->started)
		return 0;
	return MAX(1,
		   HUB_INTAKE_NO_USE * sch_objective_ms(q, job) - age - chain);
}

/*
 * Returns the core-seconds of a job's first turn that are not done, by its
 * caller's estimates. A running task counts half, as it is somewhere between
 * its start and its end.
 */
static double hub_intake_waiting(const struct jtb_job *job)
{
	const struct jtb_turn *turn = &job->turns[0];
	double core_s = 0;
	uint32_t s;

	for (s = 0; s < job->spec.n_steps; s++) {
		const struct jtb_step *step = &job->spec.steps[s];
		double left = step->count;

		if (step->flags & JTB_BEST_EFFORT)
			continue;
		if (turn->steps)
			left -= turn->steps[s].n_done +
				turn->steps[s].n_runs / 2.0;
		core_s += MAX(0, left) * (step->cpu / 1000.0) *
			  (step->estimate_ms / 1000.0);
	}
	return core_s;
}

/* Returns the memory that a job takes once all its tasks have state, bytes. */
static uint64_t hub_intake_bytes(const struct jtb_spec *spec)
{
	uint64_t bytes = sizeof(struct jtb_job) + strlen(spec->text);
	uint32_t s;

	bytes += MAX(1, spec->repeats) * sizeof(struct jtb_turn);
	for (s = 0; s < spec->n_steps; s++)
		bytes += sizeof(struct jtb_step) +
			 sizeof(struct jtb_step_state) +
			 spec->steps[s].count * sizeof(struct jtb_task);
	return bytes;
}

/* Fills in what is counted of a job, without work. */
static void hub_intake_fill(const struct jtb_spec *spec,
			    const struct jtb_queue *q,
			    const struct quo_use *use, struct itk_job *out)
{
	*out = (struct itk_job){
		.id = spec->id,
		.pool = q ? q->pool : "",
		.org = spec->org ? spec->org : "",
		.weight = quo_weight(use),
		.limit_cores = use && use->org
				       ? (double)use->org->limit.cpu / 1000
				       : 0,
		.bytes = hub_intake_bytes(spec),
	};
}

/* Whether the table has a job. */
static bool hub_intake_is_stored(void *arg, const char *id)
{
	const struct hub *h = arg;

	return jtb_job(h->jtb, id) != NULL;
}

/* Whether a job is lasting, timed, or waits for no cores of its own. */
static bool hub_intake_is_exempt(const struct jtb_spec *spec)
{
	uint32_t s;

	if (spec->repeats)
		return true;
	for (s = 0; s < spec->n_steps; s++)
		if (spec->steps[s].flags & (JTB_LONG_RUNNING | JTB_BEST_EFFORT))
			return true;
	return false;
}

/* Whether this leader knows the line of a queue's pool. */
static bool hub_intake_knows(const struct hub *h, const char *queue)
{
	int64_t now = tmr_now(h->tmr);
	int64_t listed = vms_listed_ms(h->vms);

	return h->config.vms && now - h->lead_since_ms >= HUB_INTAKE_LEAD_MS &&
	       listed > h->lead_since_ms &&
	       now - listed <= HUB_INTAKE_LIST_MS &&
	       est_is_learned(h->est, queue);
}

/* Fills in a new job and its need. Returns its objective, ms. */
static int64_t hub_intake_ask(const struct hub *h, const struct jtb_spec *spec,
			      const struct jtb_queue *q, struct itk_job *job,
			      struct itk_need *need)
{
	struct jtb_job *tried = jtb_job_new(spec);
	const struct quo_use *use =
		spec->org ? quo_use(jtb_usage(h->jtb), spec->org) : NULL;
	int64_t objective;

	tried->estimate_ratio = hub_estimate_ratio(h, spec);
	objective = sch_objective_ms(q, tried);
	hub_intake_fill(spec, q, use, job);
	*need = (struct itk_need){
		.exempt = hub_intake_is_exempt(spec),
		.known = hub_intake_knows(h, q->name),
		.chain_ms = (int64_t)(tried->critical_path_ms *
				      tried->estimate_ratio),
		.objective_ms = objective,
		.limit_ms = HUB_INTAKE_NO_USE * objective,
	};
	if (!need->exempt && est_is_learned(h->est, q->name))
		job->core_s = hub_intake_waiting(tried) * tried->estimate_ratio;
	g_free(tried->turns);
	g_free(tried);
	return objective;
}

/*
 * Refuses a job for which there is no room, or adds it to its line. Nothing of
 * a refused job goes into the log, so it never runs. A copy of a job whose
 * entry is on its way into the log follows it: a refusal would be untrue.
 */
bool hub_intake_refuse(struct hub *h, struct hub_call *c,
		       const struct jtb_spec *spec)
{
	const struct jtb_queue *q = jtb_queue(jtb_config(h->jtb), spec->queue);
	struct itk_job job;
	struct itk_need need;
	struct itk_verdict v;
	int64_t objective;

	if (!q || itk_is_joining(h->itk, spec->id))
		return false;
	objective = hub_intake_ask(h, spec, q, &job, &need);
	v = itk_decide(h->itk, &job, &need, tmr_now(h->tmr));
	if (!itk_refuses(v.why)) {
		itk_join(h->itk, &job);
		return false;
	}
	msg_job_fails(
		MSG_HUB_NO_ROOM, spec->id,
		"job=%s queue=%s organisation=\"%s\" why=%s line_ms=%" PRId64
		" objective_ms=%" PRId64 " retry_after_s=%d age_ms=%" PRId64,
		spec->id, spec->queue, job.org, itk_why_name(v.why), v.line_ms,
		objective, v.retry_after_s, v.age_ms);
	hub_intake_answer(h, c, &v, objective);
	return true;
}

/* Answers a refused job's caller, with the figures of the refusal. */
static void hub_intake_answer(struct hub *h, struct hub_call *c,
			      const struct itk_verdict *v, int64_t objective)
{
	char text[160];

	if (v->why == ITK_MEMORY)
		g_snprintf(text, sizeof(text),
			   "the live jobs take all the memory for jobs\n");
	else
		g_snprintf(text, sizeof(text),
			   "the line before it takes %" PRId64
			   " ms, its objective is %" PRId64 " ms\n",
			   v->line_ms, objective);
	hub_answer(h, c,
		   &(struct hub_answer){.status = 429,
					.retry_after_s = v->retry_after_s,
					.type = "text/plain; charset=utf-8",
					.body = lstr_from(text)});
}
