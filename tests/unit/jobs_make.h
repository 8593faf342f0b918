#ifndef JOBS_MAKE_H
#define JOBS_MAKE_H

#include <glib.h>

#include "jtb.h"

/*
 * Builds small job tables for tests: one pool "p", one queue "q", workers and
 * jobs. Included from C and C++.
 */

#define JOBS_WALL_MS 5000000000LL

/* Applies one packed command and frees it. */
static inline void jobs_apply(struct jtb *t, struct pk_out *cmd)
{
	struct pk_out o;
	bool ok;

	pk_out_init(&o);
	pk_arr(&o, 1);
	msgpack_sbuffer_write(&o.buf, cmd->buf.data, cmd->buf.size);
	ok = jtb_apply(t, pk_out_view(&o));
	g_assert_true(ok);
	pk_out_done(&o);
	pk_out_done(cmd);
}

/*
 * Applies a configuration of one pool, of queue "q" in it, and of the
 * organisation org, or of none if org is NULL.
 */
static inline void jobs_config_org(struct jtb *t, uint64_t version,
				   const char *pool, uint32_t attempts,
				   struct org *org)
{
	struct jtb_config *c = jtb_config_new();
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);
	struct jtb_pool *p = g_new0(struct jtb_pool, 1);
	struct pk_out o;

	c->version = version;
	c->document = g_bytes_new("doc", 3);
	q->name = g_strdup("q");
	q->host = g_strdup("h");
	q->prefix = g_strdup("/q/");
	q->pool = g_strdup(pool);
	q->attempts = attempts;
	q->stretch = 1.5;
	q->slack_ms = 500;
	p->name = g_strdup(pool);
	jtb_config_add_queue(c, q);
	jtb_config_add_pool(c, p);
	if (org)
		jtb_config_add_org(c, org);
	pk_out_init(&o);
	jtb_put_config(&o, c);
	jobs_apply(t, &o);
	jtb_config_free(c);
}

/* Applies a configuration of one pool, and of queue "q" in it. */
static inline void jobs_config(struct jtb *t, uint64_t version,
			       const char *pool, uint32_t attempts)
{
	jobs_config_org(t, version, pool, attempts, NULL);
}

/* The same with an organisation that may run this many thousandths of a core. */
static inline void jobs_config_limit(struct jtb *t, uint64_t version,
				     const char *name, uint64_t cpu)
{
	struct org *org = org_new(name);

	org->limit.cpu = cpu;
	org->weight = 1;
	jobs_config_org(t, version, "p", 3, org);
}

/* Adds a worker to pool "p", or updates it; cpu in thousandths of a core. */
static inline void jobs_worker(struct jtb *t, const char *id, uint32_t cpu,
			       bool draining)
{
	char *labels[] = {(char *)"kind-a", (char *)"rack-1", NULL};
	struct jtb_worker_info info = {};
	struct pk_out o;

	info.id = (char *)id;
	info.pool = (char *)"p";
	info.addr = (char *)"127.0.0.1:1";
	info.zone = (char *)"z";
	info.labels = labels;
	info.cpu = cpu;
	info.mem_mb = 64000;
	info.draining = draining;
	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	jobs_apply(t, &o);
}

/* Accepts a job of an organisation in queue "q"; the strings are copied. */
static inline void jobs_job_of(struct jtb *t, const char *org, const char *id,
			       struct jtb_step *steps, uint32_t n, int64_t wall)
{
	struct jtb_spec spec = {};
	struct pk_out o;

	spec.queue = (char *)"q";
	spec.text = (char *)"text";
	spec.org = (char *)org;
	spec.steps = steps;
	spec.n_steps = n;
	g_strlcpy(spec.id, id, sizeof(spec.id));
	pk_out_init(&o);
	jtb_put_job(&o, &spec, wall);
	jobs_apply(t, &o);
}

/* The same for a job of no organisation. */
static inline void jobs_job(struct jtb *t, const char *id,
			    struct jtb_step *steps, uint32_t n, int64_t wall)
{
	jobs_job_of(t, NULL, id, steps, n, wall);
}

/* Starts a task of the first turn of a job. */
static inline void jobs_start(struct jtb *t, const char *id, uint32_t step,
			      uint32_t index, uint32_t attempt,
			      const char *worker)
{
	struct jtb_name n = {};
	struct pk_out o;

	n.step = step;
	n.index = index;
	g_strlcpy(n.id, id, sizeof(n.id));
	pk_out_init(&o);
	jtb_put_start(&o, &n, attempt, worker);
	jobs_apply(t, &o);
}

/* Stops a run of the first step of a job. */
static inline void jobs_stop(struct jtb *t, const char *id, uint32_t index,
			     uint32_t attempt, const char *worker)
{
	struct jtb_name n = {};
	struct pk_out o;

	n.index = index;
	g_strlcpy(n.id, id, sizeof(n.id));
	pk_out_init(&o);
	jtb_put_stop(&o, &n, attempt, worker);
	jobs_apply(t, &o);
}

/* Ends a run, as number 1 of the ends that its worker reported. */
static inline void jobs_end(struct jtb *t, const char *id, uint32_t step,
			    uint32_t index, uint32_t attempt,
			    const char *worker, enum jtb_end how)
{
	struct jtb_name n = {};
	struct pk_out o;

	n.step = step;
	n.index = index;
	g_strlcpy(n.id, id, sizeof(n.id));
	pk_out_init(&o);
	jtb_put_end(&o, worker, 1, &n, attempt, how, lstr_n("", 0),
		    JOBS_WALL_MS);
	jobs_apply(t, &o);
}

static inline void jobs_cancel(struct jtb *t, const char *id)
{
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_cancel(&o, id, JOBS_WALL_MS);
	jobs_apply(t, &o);
}

/* Applies that a worker announced its shutdown. */
static inline void jobs_worker_leaving(struct jtb *t, const char *worker)
{
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_worker_leaving(&o, worker);
	jobs_apply(t, &o);
}

/* Ends all runs of a worker as lost; permanent removes the worker too. */
static inline void jobs_worker_lost(struct jtb *t, const char *worker,
				    bool permanent)
{
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_worker_lost(&o, worker, permanent);
	jobs_apply(t, &o);
}

#endif
