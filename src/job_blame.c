#include "job_int.h"

/*
 * Maximum attempts of a job whose pool has too few workers to tell whether the
 * job or a worker is at fault.
 */
#define JOB_ATTEMPTS_MAX 5
/* Turns of the oldest job without free capacity before others wait for it. */
#define JOB_HOLD_TURNS 8
/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

static bool job_check_worker(struct jobs *j, struct job *b,
			     struct job_out *out);
static bool job_check_job(struct jobs *j, struct job *b, struct job_out *out);
static bool job_failures_add(struct job_failures *f, uint64_t id,
			     int threshold);
static void job_failures_remove(struct job_failures *f, uint64_t id);

/*
 * Handles a failed attempt. Whether the job or the worker is at fault shows
 * only from several failures: a worker is suspect after failures of different
 * jobs, a job is refused after failures on different workers.
 */
void job_handle_failure(struct jobs *j, struct job *b, bool begun,
			struct job_out *out)
{
	bool faulty;

	b->failures++;
	job_check_worker(j, b, out);
	faulty = job_check_job(j, b, out) || b->failures >= JOB_ATTEMPTS_MAX;
	if (begun && !b->spec.idempotent)
		b->reason = JOB_NOT_IDEMPOTENT;
	else if (faulty)
		b->reason = JOB_FAILED_REPEATEDLY;
	job_apply_event(j, b, b->reason == JOB_OK ? JOB_FAIL : JOB_REFUSE, out);
}

/*
 * Counts a failure of a job for its worker. Returns whether the worker is
 * suspect; its failures then no longer count against the jobs.
 */
static bool job_check_worker(struct jobs *j, struct job *b, struct job_out *out)
{
	struct job_worker *w = job_worker(j, b->worker);
	struct job *other;
	int i;

	if (!job_failures_add(&w->failed, b->spec.id,
			      j->config.suspect_after) ||
	    w->suspect)
		return w->suspect;
	w->suspect = true;
	job_audit(out,
		  "worker %d gets no work: %d different jobs failed on it, "
		  "the last %" G_GUINT64_FORMAT,
		  b->worker, w->failed.n, b->spec.id);
	for (i = 0; i < w->failed.n; i++) {
		other = job_find(j, w->failed.ids[i]);
		if (other)
			job_failures_remove(&other->failed_on,
					    (uint64_t)b->worker);
	}
	return true;
}

/*
 * Counts a failure on a worker for its job. Returns whether the job is at
 * fault; its failures then no longer count against the workers.
 */
static bool job_check_job(struct jobs *j, struct job *b, struct job_out *out)
{
	GString *workers;
	int i;

	if (job_worker(j, b->worker)->suspect ||
	    !job_failures_add(&b->failed_on, (uint64_t)b->worker,
			      j->config.suspect_after))
		return false;
	workers = g_string_new(NULL);
	for (i = 0; i < b->failed_on.n; i++) {
		job_failures_remove(
			&job_worker(j, (int)b->failed_on.ids[i])->failed,
			b->spec.id);
		g_string_append_printf(workers, " %d",
				       (int)b->failed_on.ids[i]);
	}
	job_audit(out, "job %" G_GUINT64_FORMAT " refused: failed on workers%s",
		  b->spec.id, workers->str);
	g_string_free(workers, TRUE);
	return true;
}

/* Adds an id to a set of failures; returns whether the threshold is reached. */
static bool job_failures_add(struct job_failures *f, uint64_t id, int threshold)
{
	if (!job_failures_contain(f, id) && f->n < JOB_FAILURES_MAX)
		f->ids[f->n++] = id;
	return f->n >= threshold;
}

/* Whether a set of failures has an id. */
bool job_failures_contain(const struct job_failures *f, uint64_t id)
{
	int i;

	for (i = 0; i < f->n; i++)
		if (f->ids[i] == id)
			return true;
	return false;
}

/* Removes an id from a set of failures. */
static void job_failures_remove(struct job_failures *f, uint64_t id)
{
	int i;

	for (i = 0; i < f->n; i++)
		if (f->ids[i] == id)
			f->ids[i--] = f->ids[--f->n];
}
