#include "sim_int.h"

#include <stdlib.h>

/* Organisations of a day: their keys, and limits that fall and rise. */

/* An organisation whose limit has fallen has this share of it. */
#define SIM_LIMIT_LOW 0.25
/* One caller in so many still presents the key that was replaced. */
#define SIM_OLD_KEYS 7

static void sim_org_key(int org, uint32_t no, char out[SIM_ORG_TEXT]);
static uint64_t sim_org_runs(const struct sim *s, int org);
static uint64_t sim_org_listed(const struct sim *s, int org, bool reachable);
static bool sim_org_fits(const struct sim *s, const struct jtb_name *n,
			 uint64_t used_cpu);
static struct quo_use *sim_org_use(const struct sim *s, int org);

/* Gives each organisation its first key and its limit. */
void sim_orgs_open(struct sim *s)
{
	double cores = (double)s->config.pools * s->config.vms * SIM_CPU;
	int i;

	s->config.orgs = MIN(s->config.orgs, SIM_ORGS_MAX);
	for (i = 0; i < s->config.orgs; i++)
		s->orgs[i].limit_cpu = (uint64_t)(cores * s->config.org_limit);
}

/* Adds the organisations to a configuration. */
void sim_orgs_put(const struct sim *s, struct jtb_config *c)
{
	char text[SIM_ORG_TEXT];
	int i;

	for (i = 0; i < s->config.orgs; i++) {
		const struct sim_org *from = &s->orgs[i];
		struct org *o;

		g_snprintf(text, sizeof(text), "org%d", i);
		o = org_new(text);
		sim_org_key(i, from->key_no, text);
		org_add_key(o, lstr_from(text));
		o->weight = 1;
		o->limit.cpu = from->low ? (uint64_t)((double)from->limit_cpu *
						      SIM_LIMIT_LOW)
					 : from->limit_cpu;
		jtb_config_add_org(c, o);
	}
}

/* The text of an organisation's key. */
static void sim_org_key(int org, uint32_t no, char out[SIM_ORG_TEXT])
{
	g_snprintf(out, SIM_ORG_TEXT, "key-%d-%u", org, no);
}

/* One organisation gets another key, and one a lower limit or its old one. */
void sim_orgs_change(struct sim *s)
{
	if (!s->config.orgs)
		return;
	s->orgs[s->org_changes % s->config.orgs].key_no++;
	s->orgs[(s->org_changes / 2) % s->config.orgs].low ^= true;
	s->org_changes++;
	sim_config_put(s);
}

/*
 * Returns the organisation that submits the next job; -1: the job has none; -2:
 * its key was refused. Some callers still present the key that was replaced.
 */
int sim_org_caller(struct sim *s)
{
	const struct orgs *all = s->config.keep_keys && s->first_orgs
					 ? s->first_orgs
					 : jtb_config(s->jtb)->orgs;
	char key[SIM_ORG_TEXT];
	const struct org *found;
	uint32_t no;
	bool old;
	int org;

	if (!s->config.orgs)
		return -1;
	org = (int)(s->next_id % (uint64_t)s->config.orgs);
	no = s->orgs[org].key_no;
	old = no && s->next_id % SIM_OLD_KEYS == 0;
	sim_org_key(org, old ? no - 1 : no, key);
	found = orgs_by_key(all, lstr_from(key));
	if (old == (found != NULL))
		sim_broken(s, SIM_KEY, key);
	return found ? org : -2;
}

/* Whether a job could ever run within its organisation's limit. */
bool sim_org_takes(const struct sim *s, int org, const struct jtb_spec *spec)
{
	char name[SIM_ORG_TEXT];

	if (org < 0)
		return true;
	g_snprintf(name, sizeof(name), "org%d", org);
	return jtb_oversized_step(spec, orgs_by_name(jtb_config(s->jtb)->orgs,
						     name)) < 0;
}

/* Returns the number of a job's organisation; -1: it has none. */
int sim_org_of(const struct jtb_job *job)
{
	return job->spec.org ? atoi(job->spec.org + strlen("org")) : -1;
}

/* What really runs for an organisation, thousandths of a core. */
static uint64_t sim_org_runs(const struct sim *s, int org)
{
	uint64_t cpu = 0;
	guint i;

	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *r = g_ptr_array_index(s->runs, i);

		cpu += r->org == org ? r->step.cpu : 0;
	}
	return cpu;
}

/* Returns the account of an organisation in the table. */
static struct quo_use *sim_org_use(const struct sim *s, int org)
{
	char name[SIM_ORG_TEXT];

	g_snprintf(name, sizeof(name), "org%d", org);
	return quo_use(jtb_usage(s->jtb), name);
}

/* A start must not bring what an organisation has at work above its limit. */
void sim_org_check_start(struct sim *s, const struct sim_run *r)
{
	const struct quo_use *u;

	if (r->org < 0)
		return;
	u = sim_org_use(s, r->org);
	if (u->org && sim_org_runs(s, r->org) > u->org->limit.cpu)
		sim_broken(s, SIM_QUOTA, u->name);
}

/*
 * What the table's runs of an organisation and its proposed starts need,
 * thousandths of a core. reachable: without runs on workers that are cut off.
 */
static uint64_t sim_org_listed(const struct sim *s, int org, bool reachable)
{
	GHashTableIter it;
	struct jtb_worker *w;
	uint64_t cpu = sim_org_use(s, org)->proposed.cpu;
	guint i;

	g_hash_table_iter_init(&it, jtb_workers(s->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		if (reachable && sim_is_cut(s, w->info.id))
			continue;
		for (i = 0; i < w->runs->len; i++) {
			const struct jtb_run *r = g_ptr_array_index(w->runs, i);

			if (sim_org_of(r->job) == org)
				cpu += r->job->spec.steps[r->step].cpu;
		}
	}
	return cpu;
}

/* Whether a task, of a gang all its members, fits beside used cores. */
static bool sim_org_fits(const struct sim *s, const struct jtb_name *n,
			 uint64_t used_cpu)
{
	const struct jtb_job *job = jtb_job(s->jtb, n->id);
	const struct jtb_step *step = &job->spec.steps[n->step];
	uint64_t need = (uint64_t)step->cpu *
			(step->flags & JTB_GANG ? step->count : 1);

	return used_cpu + need <=
	       sim_org_use(s, sim_org_of(job))->org->limit.cpu;
}

/*
 * Whether a job may wait for its organisation's limit: only if it doesn't fit
 * beside the table's runs and proposed starts; and where less than half of the
 * limit is at work, only if it doesn't fit beside that.
 */
bool sim_org_may_wait(const struct sim *s, const struct jtb_name *n)
{
	int org = sim_org_of(jtb_job(s->jtb, n->id));
	const struct quo_use *u = org < 0 ? NULL : sim_org_use(s, org);
	uint64_t runs;

	if (!u || !u->org || sim_org_fits(s, n, sim_org_listed(s, org, false)))
		return false;
	runs = sim_org_runs(s, org);
	return 2 * runs >= u->org->limit.cpu || !sim_org_fits(s, n, runs);
}

/*
 * Whether a job that waits for its organisation's limit does so only since the
 * runs of workers that are cut off count: these may go on, and nobody can tell
 * whether they have ended.
 */
bool sim_org_waits_for_lease(const struct sim *s, const struct jtb_name *n)
{
	int org = sim_org_of(jtb_job(s->jtb, n->id));

	return org >= 0 && sim_org_use(s, org)->org &&
	       !sim_org_fits(s, n, sim_org_listed(s, org, false)) &&
	       sim_org_fits(s, n, sim_org_listed(s, org, true));
}

/* Shows the checker a fault of the account, if the day has one. */
void sim_org_fault(struct sim *s)
{
	int i;

	for (i = 0; i < s->config.orgs; i++) {
		struct quo_use *u = sim_org_use(s, i);

		if (s->config.forget_usage)
			u->running = (struct org_amount){0};
		if (s->config.stuck_usage && u->org)
			u->running.cpu += u->org->limit.cpu;
	}
}
