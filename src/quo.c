#include "quo.h"

/*
 * Load: an organisation submits far more than its limit in a burst, or its
 * limit falls while its work runs. Harm: its work takes the capacity that the
 * others are to have. Rule: what runs counts from the commit of its start until
 * its end is certain, whatever its worker says in between, and nothing starts
 * unless it fits beside that. A limit that falls stops no run: the work is
 * half done, and its end makes room soon enough.
 */

struct quo {
	GPtrArray *list; /* struct quo_use, in order of first use */
	GHashTable *by_name;
};

/* Range of weights. */
#define QUO_WEIGHT_MIN 1e-6
#define QUO_WEIGHT_MAX 1e6
/* Organisations that the metrics show. */
#define QUO_METRICS_MAX 100

enum quo_metric {
	QUO_CORES,
	QUO_CORES_MAX,
	QUO_CORES_PEAK,
	QUO_MEMORY,
	QUO_MEMORY_MAX,
	QUO_GPUS,
	QUO_GPUS_MAX,
	QUO_RUNS,
	QUO_WAITING,
	QUO_AT_LIMIT,
	QUO_REFUSED,
	QUO_SHARE,
	QUO_OWED,
	QUO_METRICS
};

static const struct {
	const char *name;
	const char *type;
	const char *help;
} quo_metrics[QUO_METRICS] = {
	[QUO_CORES] = {"endive_organisation_cores", "gauge",
		       "Cores of an organisation's runs"},
	[QUO_CORES_MAX] = {"endive_organisation_cores_max", "gauge",
			   "Limit of an organisation's cores; 0: none"},
	[QUO_CORES_PEAK] = {"endive_organisation_cores_peak", "gauge",
			    "Most cores of an organisation's runs at a time"},
	[QUO_MEMORY] = {"endive_organisation_memory_mb", "gauge",
			"Memory of an organisation's runs, MB"},
	[QUO_MEMORY_MAX] = {"endive_organisation_memory_mb_max", "gauge",
			    "Limit of an organisation's memory, MB; 0: none"},
	[QUO_GPUS] = {"endive_organisation_gpus", "gauge",
		      "GPUs of an organisation's runs"},
	[QUO_GPUS_MAX] = {"endive_organisation_gpus_max", "gauge",
			  "Limit of an organisation's GPUs; 0: none"},
	[QUO_RUNS] = {"endive_organisation_runs", "gauge",
		      "Runs of an organisation"},
	[QUO_WAITING] =
		{"endive_organisation_waiting_tasks", "gauge",
		 "Tasks of an organisation that are due and do not run"},
	[QUO_AT_LIMIT] = {"endive_organisation_limited_tasks", "gauge",
			  "Tasks of an organisation that wait for its limit"},
	[QUO_REFUSED] = {"endive_organisation_refused_total", "counter",
			 "Jobs of an organisation refused, as its limit would "
			 "never let them run"},
	[QUO_SHARE] = {"endive_organisation_share", "gauge",
		       "Dominant share of all capacity that an organisation "
		       "uses, 0 to 1"},
	[QUO_OWED] = {"endive_organisation_owed", "gauge",
		      "Share that an organisation's weight gives it among "
		      "those that run or want to, 0 to 1"},
};

static double quo_metric_value(const struct quo_use *u, enum quo_metric m);
static void quo_use_free(gpointer p);
static bool quo_part_fits(uint64_t limit, uint64_t used, uint64_t more);
static bool quo_fits(const struct org *o, const struct org_amount *used,
		     const struct org_amount *each, uint32_t n);

/* Returns an account in which nothing runs. */
struct quo *quo_new(void)
{
	struct quo *q = g_new0(struct quo, 1);

	q->list = g_ptr_array_new_with_free_func(quo_use_free);
	q->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return q;
}

/* Frees an account. */
void quo_free(struct quo *q)
{
	g_hash_table_destroy(q->by_name);
	g_ptr_array_free(q->list, TRUE);
	g_free(q);
}

/* Frees the account of one organisation. */
static void quo_use_free(gpointer p)
{
	struct quo_use *u = p;

	g_free(u->name);
	g_free(u);
}

/* Returns the account of an organisation, which is kept until quo_free. */
struct quo_use *quo_use(struct quo *q, const char *name)
{
	struct quo_use *u = g_hash_table_lookup(q->by_name, name);

	if (u)
		return u;
	u = g_new0(struct quo_use, 1);
	u->name = g_strdup(name);
	u->no = q->list->len;
	g_ptr_array_add(q->list, u);
	g_hash_table_insert(q->by_name, u->name, u);
	return u;
}

/* Takes the limits from the organisations of a configuration. */
void quo_set_orgs(struct quo *q, const struct orgs *all)
{
	guint i;

	for (i = 0; i < orgs_count(all); i++)
		quo_use(q, orgs_at(all, i)->name);
	for (i = 0; i < q->list->len; i++) {
		struct quo_use *u = g_ptr_array_index(q->list, i);

		u->org = orgs_by_name(all, u->name);
	}
}

/* Sets all that runs to nothing; the accounts and limits stay. */
void quo_clear(struct quo *q)
{
	guint i;

	for (i = 0; i < q->list->len; i++) {
		struct quo_use *u = g_ptr_array_index(q->list, i);

		u->running = (struct org_amount){0};
		u->proposed = (struct org_amount){0};
		u->idle_cpu = 0;
		u->runs = 0;
	}
}

/* Drops all proposed starts. */
void quo_clear_proposed(struct quo *q)
{
	guint i;

	for (i = 0; i < q->list->len; i++) {
		struct quo_use *u = g_ptr_array_index(q->list, i);

		u->proposed = (struct org_amount){0};
	}
}

/* Returns the accounts, struct quo_use. */
GPtrArray *quo_list(const struct quo *q)
{
	return q->list;
}

/* Charges a run to its organisation; u is NULL for work of none. */
void quo_run_begins(struct quo_use *u, const struct org_amount *a)
{
	if (!u)
		return;
	quo_add(&u->running, a);
	u->runs++;
	u->peak_cpu = MAX(u->peak_cpu, u->running.cpu);
}

/* Takes back what a run was charged with. */
void quo_run_ends(struct quo_use *u, const struct org_amount *a)
{
	if (!u)
		return;
	quo_sub(&u->running, a);
	u->runs--;
}

/* Begins a scan of waiting tasks. */
void quo_reset_waiting(const struct quo *q)
{
	guint i;

	for (i = 0; i < q->list->len; i++) {
		struct quo_use *u = g_ptr_array_index(q->list, i);

		u->waiting = 0;
		u->at_limit = 0;
	}
}

/*
 * Appends the metrics of the organisations in the text format for monitoring:
 * of those that come first in configurations, so that their number is bounded.
 */
void quo_append_metrics(const struct quo *q, GString *out)
{
	guint n = MIN(q->list->len, QUO_METRICS_MAX);
	size_t m;
	guint i;

	for (m = 0; m < QUO_METRICS; m++) {
		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
				       quo_metrics[m].name, quo_metrics[m].help,
				       quo_metrics[m].name,
				       quo_metrics[m].type);
		for (i = 0; i < n; i++) {
			const struct quo_use *u = g_ptr_array_index(q->list, i);

			g_string_append_printf(out, "%s{organisation=\"",
					       quo_metrics[m].name);
			quo_append_label(out, u->name);
			g_string_append_printf(out, "\"} %.10g\n",
					       quo_metric_value(u, m));
		}
	}
}

/* Appends a name with what a label's value must escape. */
void quo_append_label(GString *out, const char *name)
{
	for (; *name; name++) {
		if (*name == '"' || *name == '\\')
			g_string_append_c(out, '\\');
		if (*name == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *name);
	}
}

/* Returns the value of one metric of an organisation. */
static double quo_metric_value(const struct quo_use *u, enum quo_metric m)
{
	static const struct org_amount none;
	const struct org_amount *limit = u->org ? &u->org->limit : &none;
	const double values[QUO_METRICS] = {
		[QUO_CORES] = (double)u->running.cpu / 1000,
		[QUO_CORES_MAX] = (double)limit->cpu / 1000,
		[QUO_CORES_PEAK] = (double)u->peak_cpu / 1000,
		[QUO_MEMORY] = (double)u->running.mem_mb,
		[QUO_MEMORY_MAX] = (double)limit->mem_mb,
		[QUO_GPUS] = (double)u->running.gpus,
		[QUO_GPUS_MAX] = (double)limit->gpus,
		[QUO_RUNS] = u->runs,
		[QUO_WAITING] = (double)u->waiting,
		[QUO_AT_LIMIT] = (double)u->at_limit,
		[QUO_REFUSED] = (double)u->refused,
		[QUO_SHARE] = u->share,
		[QUO_OWED] = u->owed,
	};

	return values[m];
}

/* Begins a measurement of planned cores. */
void quo_reset_planned(const struct quo *q)
{
	guint i;

	for (i = 0; i < q->list->len; i++) {
		struct quo_use *u = g_ptr_array_index(q->list, i);

		u->planned_cores = 0;
	}
}

/* Adds an amount. */
void quo_add(struct org_amount *sum, const struct org_amount *a)
{
	sum->cpu += a->cpu;
	sum->mem_mb += a->mem_mb;
	sum->gpus += a->gpus;
}

/* Subtracts an amount that was added before. */
void quo_sub(struct org_amount *sum, const struct org_amount *a)
{
	sum->cpu -= a->cpu;
	sum->mem_mb -= a->mem_mb;
	sum->gpus -= a->gpus;
}

/*
 * Whether n tasks of a size may be started now, beside all that runs and all
 * starts that are proposed; u is NULL for work of no organisation.
 */
bool quo_may_start(const struct quo_use *u, const struct org_amount *each,
		   uint32_t n)
{
	struct org_amount used;

	if (!u || !u->org)
		return true;
	used = u->running;
	quo_add(&used, &u->proposed);
	return quo_fits(u->org, &used, each, n);
}

/*
 * Whether a proposed start may be committed: the same on every replica, as it
 * depends on committed runs alone.
 */
bool quo_may_commit(const struct quo_use *u, const struct org_amount *each)
{
	return !u || !u->org || quo_fits(u->org, &u->running, each, 1);
}

/* Whether more is running than the limit allows, since it was lowered. */
bool quo_is_over(const struct quo_use *u)
{
	static const struct org_amount nothing;

	return u && u->org && !quo_fits(u->org, &u->running, &nothing, 0);
}

/* Whether n tasks of a size may ever run at a time. */
bool quo_ever_fits(const struct org *o, const struct org_amount *each,
		   uint32_t n)
{
	static const struct org_amount nothing;

	return !o || quo_fits(o, &nothing, each, n);
}

/*
 * Returns the cores that an organisation's limit leaves beside its planned
 * cores; -1: it is not limited.
 */
double quo_free_cores(const struct quo_use *u)
{
	double limit;

	if (!u || !u->org || !u->org->limit.cpu)
		return -1;
	limit = (double)u->org->limit.cpu / 1000.0;
	return MAX(0, limit - u->planned_cores);
}

/*
 * Returns an organisation's share of what is scarce, against the others'
 * weights: an operator's for now, else the configuration's; 1 for work of no
 * organisation and where the configuration gives no weight above 0. Sums and
 * ratios of what it returns are finite.
 */
double quo_weight(const struct quo_use *u)
{
	double weight = u && u->org ? u->org->weight : 0;

	if (u && u->weight_override > 0)
		weight = u->weight_override;
	return weight > 0 ? CLAMP(weight, QUO_WEIGHT_MIN, QUO_WEIGHT_MAX) : 1;
}

/* Whether each part of the amounts stays within its own limit. */
static bool quo_fits(const struct org *o, const struct org_amount *used,
		     const struct org_amount *each, uint32_t n)
{
	return quo_part_fits(o->limit.cpu, used->cpu, each->cpu * n) &&
	       quo_part_fits(o->limit.mem_mb, used->mem_mb, each->mem_mb * n) &&
	       quo_part_fits(o->limit.gpus, used->gpus, each->gpus * n);
}

/* Whether more fits beside what is used; a limit of 0 is none. */
static bool quo_part_fits(uint64_t limit, uint64_t used, uint64_t more)
{
	if (!limit)
		return true;
	return used <= limit && more <= limit - used;
}
