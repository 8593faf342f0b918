#include "job_int.h"

/* Attempts of a job whose pool has too few workers to tell who is at fault. */
#define JOB_ATTEMPTS_MAX 5
/* Turns of the oldest job, without room for it, before others are held. */
#define JOB_HOLD_TURNS 8
/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

static bool job_blame_worker(struct jobs *j, struct job *b,
			     struct job_out *out);
static bool job_blame_job(struct jobs *j, struct job *b, struct job_out *out);
static bool job_fails_add(struct job_fails *f, uint64_t who, int enough);
static void job_fails_drop(struct job_fails *f, uint64_t who);

/*
 * An attempt failed. Who is at fault, the job or the worker, shows only over
 * different ones: a worker is suspect after failures of different jobs, a job
 * is bad after failures on different workers.
 */
void job_failed(struct jobs *j, struct job *b, bool begun, struct job_out *out)
{
	bool bad;

	b->failures++;
	job_blame_worker(j, b, out);
	bad = job_blame_job(j, b, out) || b->failures >= JOB_ATTEMPTS_MAX;
	if (begun && !b->spec.idempotent)
		b->why = JOB_UNSURE;
	else if (bad)
		b->why = JOB_BAD;
	job_event(j, b, b->why == JOB_OK ? JOB_FAIL : JOB_REFUSE, out);
}

/* True: the worker is found to fail everything, so the job is innocent. */
static bool job_blame_worker(struct jobs *j, struct job *b, struct job_out *out)
{
	struct job_worker *w = job_worker(j, b->worker);
	struct job *other;
	int i;

	if (!job_fails_add(&w->failed, b->spec.id, j->config.suspect_after) ||
	    w->suspect)
		return w->suspect;
	w->suspect = true;
	job_audit(out,
		  "worker %d gets no work: %d different jobs failed on it, "
		  "the last %" G_GUINT64_FORMAT,
		  b->worker, w->failed.n, b->spec.id);
	for (i = 0; i < w->failed.n; i++) {
		other = job_find(j, w->failed.who[i]);
		if (other)
			job_fails_drop(&other->failed_on, (uint64_t)b->worker);
	}
	return true;
}

/* True: the job is found to fail everywhere, so its workers are innocent. */
static bool job_blame_job(struct jobs *j, struct job *b, struct job_out *out)
{
	GString *on;
	int i;

	if (job_worker(j, b->worker)->suspect ||
	    !job_fails_add(&b->failed_on, (uint64_t)b->worker,
			   j->config.suspect_after))
		return false;
	on = g_string_new(NULL);
	for (i = 0; i < b->failed_on.n; i++) {
		job_fails_drop(&job_worker(j, (int)b->failed_on.who[i])->failed,
			       b->spec.id);
		g_string_append_printf(on, " %d", (int)b->failed_on.who[i]);
	}
	job_audit(out, "job %" G_GUINT64_FORMAT " refused: failed on workers%s",
		  b->spec.id, on->str);
	g_string_free(on, TRUE);
	return true;
}

/* True: enough different ones. */
static bool job_fails_add(struct job_fails *f, uint64_t who, int enough)
{
	if (!job_fails_has(f, who) && f->n < JOB_FAILS_MAX)
		f->who[f->n++] = who;
	return f->n >= enough;
}

bool job_fails_has(const struct job_fails *f, uint64_t who)
{
	int i;

	for (i = 0; i < f->n; i++)
		if (f->who[i] == who)
			return true;
	return false;
}

static void job_fails_drop(struct job_fails *f, uint64_t who)
{
	int i;

	for (i = 0; i < f->n; i++)
		if (f->who[i] == who)
			f->who[i--] = f->who[--f->n];
}
