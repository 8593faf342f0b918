#ifndef FAKE_PLATFORM_H
#define FAKE_PLATFORM_H

/* Fake platform for tests of maintenance waves. */

#include "wav.h"

/*
 * A platform that carries out each key once, after a delay, and answers a
 * repeated key with the same reply. Requests and replies may be lost.
 */
struct fake_job {
	int64_t due_ms; /* when the reply is due; -1: sent or lost */
	struct wav_reply reply;
};

struct fake {
	GHashTable *by_key; /* char *: index in jobs + 1 */
	GArray *jobs; /* struct fake_job */
	GRand *rand;
	int lost_percent; /* percentage of requests and of replies */
	/* percentage of VMs that do not get healthy after the reboot */
	int bad_percent;
	int64_t step_ms; /* duration of each step, up to twice that */
	int *reboots; /* number of reboots begun, by VM */
};

static inline struct fake *fake_new(int vms, guint32 seed)
{
	struct fake *p = g_new0(struct fake, 1);

	p->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->jobs = g_array_new(FALSE, FALSE, sizeof(struct fake_job));
	p->rand = g_rand_new_with_seed(seed);
	p->step_ms = 60000;
	p->reboots = g_new0(int, vms);
	return p;
}

static inline void fake_free(struct fake *p)
{
	g_hash_table_destroy(p->by_key);
	g_array_free(p->jobs, TRUE);
	g_rand_free(p->rand);
	g_free(p->reboots);
	g_free(p);
}

static inline bool fake_percent(struct fake *p, int percent)
{
	return g_rand_int_range(p->rand, 0, 100) < percent;
}

static inline void fake_do(struct fake *p, const struct wav_request *request,
			   int64_t now_ms)
{
	struct fake_job job = {};
	char *key;
	int at;

	if (fake_percent(p, p->lost_percent))
		return;
	key = g_strdup_printf("%d/%d/%d/%u", (int)request->wave, request->vm,
			      (int)request->step, request->attempt);
	at = GPOINTER_TO_INT(g_hash_table_lookup(p->by_key, key));
	if (!at) {
		job.reply.request = *request;
		job.reply.ok = request->step != WAV_CHECK ||
			       !fake_percent(p, p->bad_percent);
		job.due_ms = now_ms + p->step_ms +
			     g_rand_int_range(p->rand, 0, (gint32)p->step_ms);
		g_array_append_val(p->jobs, job);
		g_hash_table_insert(p->by_key, key,
				    GINT_TO_POINTER(p->jobs->len));
		p->reboots[request->vm] += request->step == WAV_REBOOT;
		return;
	}
	g_free(key);
	if (g_array_index(p->jobs, struct fake_job, at - 1).due_ms < 0)
		g_array_index(p->jobs, struct fake_job, at - 1).due_ms =
			now_ms + 1;
}

/* Takes the next reply that is due; returns false if there is none. */
static inline bool fake_next(struct fake *p, int64_t now_ms,
			     struct wav_reply *out)
{
	guint i;

	for (i = 0; i < p->jobs->len; i++) {
		struct fake_job *j =
			&g_array_index(p->jobs, struct fake_job, i);

		if (j->due_ms < 0 || j->due_ms > now_ms)
			continue;
		j->due_ms = -1;
		if (fake_percent(p, p->lost_percent))
			continue;
		*out = j->reply;
		return true;
	}
	return false;
}

static inline struct wav_config fake_wave_config(void)
{
	struct wav_config c = {};

	c.halt_after = 3;
	c.halt_among = 100;
	c.widen = 2;
	c.drains_max = 3;
	c.drain_ms = 20 * 60000;
	c.reboot_ms = 10 * 60000;
	c.check_ms = 5 * 60000;
	c.probation_ms = 5 * 60000;
	c.retry_ms = 30000;
	return c;
}

/* Runs a tick of a wave against the platform. */
static inline void fake_tick(struct fake *p, struct wav *w, struct flt *f,
			     int64_t now_ms, struct wav_out *out)
{
	struct wav_reply r;
	guint i;

	wav_out_clear(out);
	while (fake_next(p, now_ms, &r))
		wav_reply(w, f, &r, now_ms, out);
	wav_tick(w, f, now_ms, out);
	for (i = 0; i < out->requests->len; i++)
		fake_do(p, &g_array_index(out->requests, struct wav_request, i),
			now_ms);
}

#endif
