#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "plt_peer.h"
#include "set.h"
#include "tmr.h"
#include "ups.h"

/* Between two tries of a call that got no good answer, ms. */
#define JOB_AGAIN_MS 200
#define JOB_CALL_MS 3000

/*
 * A stand-in for operators and callers: applies a configuration, hands jobs
 * in, and waits until all are over. Each call is repeated, at the next address,
 * until it has a good answer or the time is up.
 */
struct job_call {
	struct event_base *base;
	struct tmr *tmr;
	struct ups *ups;
	char **addrs;
	guint at;
	int status;
	char *state; /* a job's, from the last answer */
	char *credentials; /* header with the key; or NULL */
};

/* What the flags say. */
struct job_flags {
	char *pools;
	char *host;
	char *pool;
	char *organisations;
	char *key;
	long long advised;
	long long version;
	long long jobs;
	long long first;
	long long tasks;
	long long seconds;
};

static void job_end(void *arg, enum ups_end end, const struct ups_answer *a);
static int job_once(struct job_call *c, enum evhttp_cmd_type method,
		    const char *uri, struct evbuffer *body);
static bool job_until(struct job_call *c, enum evhttp_cmd_type method,
		      const char *uri, struct evbuffer *body, int64_t end_ms);
static bool job_wait(struct job_call *c, const char *uri, int64_t end_ms);
static bool job_orgs(const char *text, struct orgs **out);
static int job_apply(struct job_call *c, const struct job_flags *f,
		     int64_t end_ms);
static void job_hand_in(struct job_call *c, const struct job_flags *f,
			long long id, int64_t end_ms);
static bool job_completes(struct job_call *c, const struct job_flags *f,
			  long long id, int64_t end_ms);
static int job_run(struct job_call *c, const struct job_flags *f,
		   int64_t end_ms);

static const struct ups_ops job_ups_ops = {
	.end = job_end,
};

/* A call ended: keeps its status and the job's state. */
static void job_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct job_call *c = arg;
	size_t len = a->body ? evbuffer_get_length(a->body) : 0;

	c->status = end == UPS_WHOLE ? a->status : 0;
	g_clear_pointer(&c->state, g_free);
	if (c->status == 200 && len)
		plt_peer_state(
			lstr_n((const char *)evbuffer_pullup(a->body, -1), len),
			&c->state);
	event_base_loopbreak(c->base);
}

/* Makes one call; returns its status, 0: none. */
static int job_once(struct job_call *c, enum evhttp_cmd_type method,
		    const char *uri, struct evbuffer *body)
{
	struct ups_header headers[] = {
		{(char *)"Content-Type", (char *)PLT_TYPE},
		{(char *)PLT_KEY, c->credentials},
	};
	struct evbuffer *copy = evbuffer_new();

	evbuffer_add(copy, evbuffer_pullup(body, -1),
		     evbuffer_get_length(body));
	ups_start(c->ups,
		  &(struct ups_request){
			  .addr = c->addrs[c->at],
			  .method = method,
			  .uri = uri,
			  .headers = headers,
			  .n_headers = c->credentials ? 2 : 1,
			  .body = copy,
			  .timeout_ms = JOB_CALL_MS,
			  .connect_ms = 500,
			  .max_answer = 1 << 20,
		  },
		  &job_ups_ops, c);
	event_base_dispatch(c->base);
	evbuffer_free(copy);
	return c->status;
}

/* Makes a call until it is answered well or time is up. */
static bool job_until(struct job_call *c, enum evhttp_cmd_type method,
		      const char *uri, struct evbuffer *body, int64_t end_ms)
{
	while (tmr_now(c->tmr) < end_ms) {
		if (job_once(c, method, uri, body) == 200)
			return true;
		c->at = (c->at + 1) % g_strv_length(c->addrs);
		g_usleep(JOB_AGAIN_MS * 1000);
	}
	return false;
}

/* Waits until a job is over; false: time is up. */
static bool job_wait(struct job_call *c, const char *uri, int64_t end_ms)
{
	struct evbuffer *none = evbuffer_new();
	bool over = false;

	while (!over && job_until(c, EVHTTP_REQ_GET, uri, none, end_ms)) {
		over = c->state && strcmp(c->state, "queued") != 0 &&
		       strcmp(c->state, "running") != 0;
		if (!over)
			g_usleep(JOB_AGAIN_MS * 1000);
	}
	evbuffer_free(none);
	return over;
}

/*
 * Reads organisations as NAME:KEY:CPU, separated by commas: CPU is the limit,
 * thousandths of a core, and KEY may be empty for an organisation without keys.
 * Returns false, with a line on standard error, if one is not valid.
 */
static bool job_orgs(const char *text, struct orgs **out)
{
	char **list = g_strsplit(text, ",", -1);
	enum org_fault fault = ORG_VALID;
	guint i;

	*out = orgs_new();
	for (i = 0; list[i] && fault == ORG_VALID; i++) {
		char **part = g_strsplit(list[i], ":", -1);
		struct org *o = org_new(part[0]);

		o->weight = 1;
		if (g_strv_length(part) > 1 && *part[1])
			org_add_key(o, lstr_from(part[1]));
		if (g_strv_length(part) > 2)
			o->limit.cpu = strtoull(part[2], NULL, 10);
		fault = orgs_add(*out, o);
		g_strfreev(part);
	}
	if (fault != ORG_VALID)
		fprintf(stderr, "endive-job: organisation %u: %s\n", i - 1,
			org_fault_name(fault));
	g_strfreev(list);
	return fault == ORG_VALID;
}

/* Applies a configuration; 0 when a control daemon accepted it. */
static int job_apply(struct job_call *c, const struct job_flags *f,
		     int64_t end_ms)
{
	struct evbuffer *body = evbuffer_new();
	char **pools = g_strsplit(f->pools, ",", -1);
	struct orgs *orgs = NULL;
	bool good;

	if (f->organisations && *f->organisations &&
	    !job_orgs(f->organisations, &orgs))
		return 2;
	plt_peer_config((uint64_t)f->version, f->host, pools, f->advised, orgs,
			body);
	good = job_until(c, EVHTTP_REQ_PUT, "/v1/config", body, end_ms);
	if (good)
		printf("configuration %lld accepted\n", f->version);
	else
		printf("configuration %lld not accepted, status %d\n",
		       f->version, c->status);
	g_strfreev(pools);
	if (orgs)
		orgs_free(orgs);
	evbuffer_free(body);
	return good ? 0 : 1;
}

/* Hands one job of two steps in. */
static void job_hand_in(struct job_call *c, const struct job_flags *f,
			long long id, int64_t end_ms)
{
	const struct jtb_step steps[] = {
		{.count = (uint32_t)f->tasks, .cpu = 500, .estimate_ms = 200},
		{.count = (uint32_t)f->tasks, .cpu = 500, .estimate_ms = 200},
	};
	struct evbuffer *body = evbuffer_new();
	char *uri = g_strdup_printf("/%s/%016llx", f->pool, id);

	plt_peer_job(steps, G_N_ELEMENTS(steps), body);
	if (!job_until(c, EVHTTP_REQ_POST, uri, body, end_ms))
		printf("job %016llx not accepted\n", id);
	g_free(uri);
	evbuffer_free(body);
}

/* Whether a job ends as completed in time. */
static bool job_completes(struct job_call *c, const struct job_flags *f,
			  long long id, int64_t end_ms)
{
	char *uri = g_strdup_printf("/%s/%016llx", f->pool, id);
	bool good =
		job_wait(c, uri, end_ms) && strcmp(c->state, "completed") == 0;

	if (!good)
		printf("job %016llx is %s\n", id,
		       c->state ? c->state : "unknown");
	g_free(uri);
	return good;
}

/* Hands all jobs in and waits for each; 0 when all were completed. */
static int job_run(struct job_call *c, const struct job_flags *f,
		   int64_t end_ms)
{
	long long done = 0;
	long long i;

	for (i = 0; i < f->jobs; i++)
		job_hand_in(c, f, f->first + i, end_ms);
	for (i = 0; i < f->jobs; i++)
		if (job_completes(c, f, f->first + i, end_ms))
			done++;
	printf("jobs %lld completed %lld\n", f->jobs, done);
	return done == f->jobs ? 0 : 1;
}

int main(int argc, char **argv)
{
	struct job_call c = {0};
	struct job_flags f = {0};
	const struct set_def defs[] = {
		{"to", SET_ADDRS, &c.addrs, NULL, 0, 0, NULL,
		 "Entry daemons, or control daemons for --apply"},
		{"apply", SET_INT, &f.version, "0", 0, 1000000, NULL,
		 "Apply a configuration of that version"},
		{"pools", SET_STR, &f.pools, "p", 0, 0, NULL,
		 "Its pools, with commas between"},
		{"advised", SET_INT, &f.advised, "0", 0, 1, NULL,
		 "1: its tasks need advice"},
		{"organisations", SET_STR, &f.organisations, "", 0, 0, NULL,
		 "Its organisations: NAME:KEY:CPU,..."},
		{"key", SET_STR, &f.key, "", 0, 0, NULL,
		 "Key that the calls carry"},
		{"host", SET_STR, &f.host, "127.0.0.4", 0, 0, NULL,
		 "Whose jobs it takes: the address callers use"},
		{"pool", SET_STR, &f.pool, "p", 0, 0, NULL,
		 "Whose queue the jobs are handed in to"},
		{"jobs", SET_INT, &f.jobs, "0", 0, 100000, NULL,
		 "Jobs to hand in"},
		{"first", SET_INT, &f.first, "1", 1, 1000000000, NULL,
		 "Id of the first"},
		{"tasks", SET_INT, &f.tasks, "3", 1, 1000, NULL,
		 "Tasks in each of its two steps"},
		{"seconds", SET_INT, &f.seconds, "30", 1, 3600, NULL,
		 "Patience for all of it"},
	};
	int64_t end_ms;
	int rc = set_parse("endive-job",
			   "Stands in for operators and callers of jobs.", defs,
			   G_N_ELEMENTS(defs), &argc, &argv);

	if (rc >= 0)
		return rc;
	c.base = event_base_new();
	c.tmr = tmr_new(c.base);
	c.ups = ups_new(c.base, c.tmr);
	if (f.key && *f.key)
		c.credentials = g_strdup_printf("%s %s", PLT_KEY_SCHEME, f.key);
	end_ms = tmr_now(c.tmr) + f.seconds * 1000;
	if (f.version)
		rc = job_apply(&c, &f, end_ms);
	else
		rc = job_run(&c, &f, end_ms);
	g_free(c.state);
	g_free(c.credentials);
	ups_free(c.ups);
	tmr_free(c.tmr);
	event_base_free(c.base);
	set_free(defs, G_N_ELEMENTS(defs));
	return rc;
}
