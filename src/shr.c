#include "shr.h"

#include <math.h>
#include <string.h>

/*
 * Load: one organisation submits several times its usual, or many small jobs,
 * while others send what they always send. Harm: whoever sends most gets the
 * room, and jobs of all others are late. Rule: dominant-resource fairness
 * (Ghodsi et al., NSDI 2011) by weight, filled progressively: within a class of
 * jobs the next comes from the account with the lowest dominant share for its
 * weight, with what this plan has started counted in. Nothing is set aside: a
 * share that its owner doesn't want goes to the others, and no work is stopped.
 *
 * A share is one of all workers of all pools, as VMs move to the pool that
 * needs them: an organisation that fills one pool goes last in the others.
 */

/*
 * Time constant of the recent use, ms: several times the usual run, so that
 * short runs count beyond their end, and short beside a caller's patience.
 */
#define SHR_RECENT_MS 5000
/* An account that wanted room this recently counts in what is owed, ms. */
#define SHR_WANTED_MS 1000

/* The account of work without an organisation; the others' are behind it. */
#define SHR_NOBODY 0

enum shr_resource {
	SHR_CPU,
	SHR_MEM,
	SHR_GPUS,
	SHR_RESOURCES
};

/* End of a list of entries, or no position. */
#define SHR_NONE UINT32_MAX

/* What one organisation has and wants. */
struct shr_account {
	const struct quo_use *use; /* NULL: work of no organisation */
	double weight;
	double running[SHR_RESOURCES]; /* with the starts of this plan */
	double recent[SHR_RESOURCES]; /* decayed average of what ran */
	double key; /* dominant share for its weight, by the method */
	int64_t wanted_ms; /* last time it had a job in a plan; 0: never */
	uint32_t first; /* its entries of the present class */
	uint32_t last;
	uint32_t plan; /* number of the last plan that it had a job in */
	uint32_t waiting; /* its jobs that found no room in that plan */
};

/* A job in a plan. */
struct shr_entry {
	void *job;
	uint32_t account;
	uint32_t class_no;
	uint32_t next; /* of the same account and class */
};

struct shr {
	enum shr_method method;
	GArray *accounts; /* struct shr_account, by number */
	GArray *entries; /* struct shr_entry, in the order they were added */
	GArray *heap; /* uint32_t: accounts with entries of the class */
	guint n_read; /* entries that the heap was filled from */
	double total[SHR_RESOURCES];
	double weights; /* of all accounts that run or want something */
	int64_t sampled_ms; /* last update of recent use; 0: since leading */
	int64_t input_ms;
	uint32_t plan;
	char *pool; /* of the decision */
	struct shr_decision decision;
};

static double shr_use_none(const struct shr_account *a, enum shr_resource r);
static double shr_use_running(const struct shr_account *a, enum shr_resource r);
static double shr_use_recent(const struct shr_account *a, enum shr_resource r);
static void shr_add_accounts(struct shr *s, guint n);
static struct shr_account *shr_account(const struct shr *s, guint no);
static guint shr_account_no(const struct quo_use *use);
static void shr_read_running(struct shr *s, const struct shr_input *in);
static void shr_decay(struct shr *s, int64_t now_ms);
static void shr_start_recent(struct shr *s);
static void shr_sum_weights(struct shr *s, int64_t now_ms);
static bool shr_is_active(const struct shr_account *a, int64_t now_ms);
static double shr_dominant(const struct shr *s, const struct shr_account *a);
static double shr_owed(const struct shr *s, const struct shr_account *a);
static void shr_set_key(const struct shr *s, struct shr_account *a);
static void shr_fill_heap(struct shr *s);
static bool shr_before(const struct shr *s, uint32_t x, uint32_t y);
static void shr_sift_down(struct shr *s, guint i);
static void shr_drop_root(struct shr *s);
static void shr_amounts(const struct org_amount *a, double out[SHR_RESOURCES]);
static void shr_fill_party(const struct shr *s, const struct shr_account *a,
			   struct shr_party *out);

/* A method: what counts as use, and the class of a job by rank. */
static const struct {
	const char *name;
	double (*use)(const struct shr_account *a, enum shr_resource r);
	/* of who is at or below its share, then of who is above */
	uint8_t classes[2][SHR_RANKS];
} shr_methods[SHR_METHODS] = {
	[SHR_BY_AGE] = {"none",
			shr_use_none,
			{{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4}}},
	[SHR_RUNNING] = {"running",
			 shr_use_running,
			 {{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4}}},
	[SHR_RECENT] = {"recent",
			shr_use_recent,
			{{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4}}},
	[SHR_RECENT_ANY] = {"recent-any",
			    shr_use_recent,
			    {{0, 1, 1, 3, 4}, {0, 1, 1, 3, 4}}},
	[SHR_RECENT_OWED] = {"recent-owed",
			     shr_use_recent,
			     {{0, 1, 1, 2, 5}, {0, 3, 3, 4, 5}}},
};

/* Returns shares in which nobody has anything yet. */
struct shr *shr_new(enum shr_method method)
{
	struct shr *s = g_new0(struct shr, 1);

	g_assert(method < SHR_METHODS);
	s->method = method;
	s->accounts = g_array_new(FALSE, TRUE, sizeof(struct shr_account));
	s->entries = g_array_new(FALSE, FALSE, sizeof(struct shr_entry));
	s->heap = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return s;
}

/* Frees shares; NULL is allowed. */
void shr_free(struct shr *s)
{
	if (!s)
		return;
	g_array_free(s->accounts, TRUE);
	g_array_free(s->entries, TRUE);
	g_array_free(s->heap, TRUE);
	g_free(s->pool);
	g_free(s);
}

/* Finds a method by its name; returns false if there is none. */
bool shr_method_by_name(const char *name, enum shr_method *out)
{
	size_t i;

	for (i = 0; i < SHR_METHODS; i++)
		if (strcmp(shr_methods[i].name, name) == 0) {
			*out = (enum shr_method)i;
			return true;
		}
	return false;
}

/* Returns the name of a method. */
const char *shr_method_name(enum shr_method method)
{
	return shr_methods[method].name;
}

/*
 * Becomes leader. What an earlier leader measured is not known: recent use
 * begins anew with what runs at the first plan, which is what it was if the
 * load has been steady.
 */
void shr_lead(struct shr *s)
{
	g_array_set_size(s->accounts, 0);
	s->sampled_ms = 0;
	s->decision = (struct shr_decision){0};
}

/* Begins a plan: reads what runs, and updates the recent use. */
void shr_begin(struct shr *s, const struct shr_input *in)
{
	GPtrArray *list = quo_list(in->usage);
	guint i;

	shr_amounts(&in->total, s->total);
	shr_add_accounts(s, list->len + 1);
	shr_decay(s, in->now_ms);
	shr_read_running(s, in);
	if (!s->sampled_ms)
		shr_start_recent(s);
	s->sampled_ms = in->now_ms;
	shr_sum_weights(s, in->now_ms);
	for (i = 0; i < s->accounts->len; i++)
		shr_set_key(s, shr_account(s, i));
	for (i = 0; i < list->len; i++) {
		struct quo_use *u = g_ptr_array_index(list, i);

		u->share = shr_dominant(s, shr_account(s, i + 1));
		u->owed = shr_is_active(shr_account(s, i + 1), in->now_ms)
				  ? shr_owed(s, shr_account(s, i + 1))
				  : 0;
	}
	g_array_set_size(s->entries, 0);
	g_array_set_size(s->heap, 0);
	s->n_read = 0;
	s->input_ms = in->now_ms;
	s->plan++;
}

/* Adds accounts until there are n. */
static void shr_add_accounts(struct shr *s, guint n)
{
	guint i = s->accounts->len;

	if (n <= i)
		return;
	g_array_set_size(s->accounts, n);
	for (; i < n; i++) {
		shr_account(s, i)->first = SHR_NONE;
		shr_account(s, i)->last = SHR_NONE;
	}
}

/* Returns an account by its number. */
static struct shr_account *shr_account(const struct shr *s, guint no)
{
	return &g_array_index(s->accounts, struct shr_account, no);
}

/* Returns the number of an organisation's account; NULL: of no organisation. */
static guint shr_account_no(const struct quo_use *use)
{
	return use ? use->no + 1 : SHR_NOBODY;
}

/*
 * Reads what runs for each account. Work of no organisation has all that is
 * used and no organisation's.
 */
static void shr_read_running(struct shr *s, const struct shr_input *in)
{
	GPtrArray *list = quo_list(in->usage);
	struct shr_account *nobody = shr_account(s, SHR_NOBODY);
	guint i;
	int r;

	nobody->weight = quo_weight(NULL);
	shr_amounts(&in->used, nobody->running);
	for (i = 0; i < list->len; i++) {
		struct shr_account *a = shr_account(s, i + 1);
		struct org_amount running;

		a->use = g_ptr_array_index(list, i);
		a->weight = quo_weight(a->use);
		running = a->use->running;
		running.cpu -= a->use->idle_cpu;
		quo_add(&running, &a->use->proposed);
		shr_amounts(&running, a->running);
		for (r = 0; r < SHR_RESOURCES; r++)
			nobody->running[r] -= a->running[r];
	}
	for (r = 0; r < SHR_RESOURCES; r++)
		nobody->running[r] = MAX(0, nobody->running[r]);
}

/*
 * Moves the recent use of all accounts towards what the last plan left running:
 * runs that begin and end between two plans count as well.
 */
static void shr_decay(struct shr *s, int64_t now_ms)
{
	double keep =
		exp(-(double)MAX(0, now_ms - s->sampled_ms) / SHR_RECENT_MS);
	guint i;
	int r;

	for (i = 0; i < s->accounts->len; i++) {
		struct shr_account *a = shr_account(s, i);

		for (r = 0; r < SHR_RESOURCES; r++)
			a->recent[r] = a->running[r] +
				       keep * (a->recent[r] - a->running[r]);
	}
}

/* Takes what runs for the recent use. */
static void shr_start_recent(struct shr *s)
{
	guint i;

	for (i = 0; i < s->accounts->len; i++) {
		struct shr_account *a = shr_account(s, i);

		memcpy(a->recent, a->running, sizeof(a->recent));
	}
}

/* Sums the weights of all accounts that run or want something. */
static void shr_sum_weights(struct shr *s, int64_t now_ms)
{
	guint i;

	s->weights = 0;
	for (i = 0; i < s->accounts->len; i++)
		if (shr_is_active(shr_account(s, i), now_ms))
			s->weights += shr_account(s, i)->weight;
}

/* Whether an account runs something, or wanted to a moment ago. */
static bool shr_is_active(const struct shr_account *a, int64_t now_ms)
{
	int r;

	for (r = 0; r < SHR_RESOURCES; r++)
		if (a->running[r] > 0)
			return true;
	return a->wanted_ms && now_ms - a->wanted_ms < SHR_WANTED_MS;
}

/* No use at all: every account stands alike. */
static double shr_use_none(const struct shr_account *a, enum shr_resource r)
{
	return 0;
}

/* What runs. */
static double shr_use_running(const struct shr_account *a, enum shr_resource r)
{
	return a->running[r];
}

/*
 * The mean of what runs and what ran: many small jobs that end at once after
 * another would otherwise win each free place against a large one.
 */
static double shr_use_recent(const struct shr_account *a, enum shr_resource r)
{
	return (a->running[r] + a->recent[r]) / 2;
}

/* Returns an account's largest share of any resource, 0 to 1. */
static double shr_dominant(const struct shr *s, const struct shr_account *a)
{
	double most = 0;
	int r;

	for (r = 0; r < SHR_RESOURCES; r++)
		if (s->total[r] > 0)
			most = MAX(most, shr_methods[s->method].use(a, r) /
						 s->total[r]);
	return most;
}

/* Returns the share that an account is owed, 0 to 1. */
static double shr_owed(const struct shr *s, const struct shr_account *a)
{
	return a->weight / MAX(s->weights, a->weight);
}

/* Sets an account's place among the others. */
static void shr_set_key(const struct shr *s, struct shr_account *a)
{
	a->key = shr_dominant(s, a) / a->weight;
}

/* Returns the class of a job in this plan; lower goes first. */
unsigned int shr_class(const struct shr *s, const struct quo_use *use,
		       enum shr_rank rank)
{
	const struct shr_account *a = shr_account(s, shr_account_no(use));
	bool above = shr_dominant(s, a) > shr_owed(s, a);

	return shr_methods[s->method].classes[above][rank];
}

/*
 * Adds a job to the plan, in the order that holds within one account; classes
 * never fall. The job is not looked into.
 */
void shr_add(struct shr *s, const struct quo_use *use, unsigned int class_no,
	     void *job)
{
	struct shr_entry e = {
		.job = job,
		.account = shr_account_no(use),
		.class_no = class_no,
		.next = SHR_NONE,
	};
	struct shr_account *a = shr_account(s, e.account);

	g_assert(e.account < s->accounts->len);
	if (!shr_is_active(a, s->input_ms))
		s->weights += a->weight;
	if (a->plan != s->plan)
		a->waiting = 0;
	a->plan = s->plan;
	a->wanted_ms = s->input_ms;
	g_array_append_val(s->entries, e);
}

/*
 * Returns the next job of the plan, NULL after the last: of the account that
 * has least for its weight.
 */
void *shr_next(struct shr *s)
{
	struct shr_account *a;
	const struct shr_entry *e;

	if (s->heap->len) {
		a = shr_account(s, g_array_index(s->heap, uint32_t, 0));
		if (a->first == SHR_NONE)
			shr_drop_root(s);
		else
			shr_sift_down(s, 0);
	}
	if (!s->heap->len)
		shr_fill_heap(s);
	if (!s->heap->len)
		return NULL;
	a = shr_account(s, g_array_index(s->heap, uint32_t, 0));
	e = &g_array_index(s->entries, struct shr_entry, a->first);
	a->first = e->next;
	return e->job;
}

/* Fills the heap with the accounts that have jobs of the next class. */
static void shr_fill_heap(struct shr *s)
{
	uint32_t class_no;
	guint i = s->n_read;

	if (i == s->entries->len)
		return;
	class_no = g_array_index(s->entries, struct shr_entry, i).class_no;
	for (; i < s->entries->len; i++) {
		struct shr_entry *e =
			&g_array_index(s->entries, struct shr_entry, i);
		struct shr_account *a = shr_account(s, e->account);

		g_assert(e->class_no >= class_no);
		if (e->class_no != class_no)
			break;
		if (a->first == SHR_NONE) {
			a->first = i;
			g_array_append_val(s->heap, e->account);
		} else {
			g_array_index(s->entries, struct shr_entry, a->last)
				.next = i;
		}
		a->last = i;
	}
	s->n_read = i;
	for (i = s->heap->len / 2; i-- > 0;)
		shr_sift_down(s, i);
}

/*
 * Whether one account goes before another: by use, then by the order of their
 * next jobs, so that one account alone has exactly the order it gave.
 */
static bool shr_before(const struct shr *s, uint32_t x, uint32_t y)
{
	const struct shr_account *a = shr_account(s, x);
	const struct shr_account *b = shr_account(s, y);

	return a->key != b->key ? a->key < b->key : a->first < b->first;
}

/* Restores the heap below a position whose account went back. */
static void shr_sift_down(struct shr *s, guint i)
{
	uint32_t *heap = (uint32_t *)s->heap->data;
	guint child;

	for (; (child = 2 * i + 1) < s->heap->len; i = child) {
		uint32_t moved = heap[i];

		if (child + 1 < s->heap->len &&
		    shr_before(s, heap[child + 1], heap[child]))
			child++;
		if (!shr_before(s, heap[child], heap[i]))
			return;
		heap[i] = heap[child];
		heap[child] = moved;
	}
}

/* Takes the first account out of the heap. */
static void shr_drop_root(struct shr *s)
{
	g_array_remove_index_fast(s->heap, 0);
	shr_sift_down(s, 0);
}

/*
 * Charges a start to its account. Only the account of the job that shr_next
 * returned last may be charged.
 */
void shr_charge(struct shr *s, const struct quo_use *use,
		const struct org_amount *each)
{
	struct shr_account *a = shr_account(s, shr_account_no(use));
	double amounts[SHR_RESOURCES];
	int r;

	shr_amounts(each, amounts);
	for (r = 0; r < SHR_RESOURCES; r++)
		a->running[r] += amounts[r];
	shr_set_key(s, a);
}

/* Notes that a job of an account found no room. */
void shr_wait(struct shr *s, const struct quo_use *use)
{
	shr_account(s, shr_account_no(use))->waiting++;
}

/*
 * Ends the plan of a pool, and keeps it as the decision if it left more jobs
 * waiting than the one kept, with two accounts or more in the pool.
 */
void shr_end(struct shr *s, const char *pool)
{
	struct shr_decision d = {.at_ms = s->input_ms,
				 .input_ms = s->sampled_ms};
	double most = 0;
	double least = 0;
	guint i;

	for (i = 0; i < s->accounts->len; i++) {
		const struct shr_account *a = shr_account(s, i);
		double over = shr_dominant(s, a) - shr_owed(s, a);

		if (a->plan != s->plan)
			continue;
		d.parties++;
		d.waiting += a->waiting > 0;
		d.jobs += a->waiting;
		if (over > most)
			shr_fill_party(s, a, &d.above);
		if (over < least && a->waiting)
			shr_fill_party(s, a, &d.below);
		most = MAX(most, over);
		least = a->waiting ? MIN(least, over) : least;
	}
	if (d.parties < 2 || d.jobs <= s->decision.jobs)
		return;
	g_free(s->pool);
	s->pool = g_strdup(pool);
	d.pool = s->pool;
	s->decision = d;
}

/* Fills in an organisation of a decision. */
static void shr_fill_party(const struct shr *s, const struct shr_account *a,
			   struct shr_party *out)
{
	*out = (struct shr_party){
		.name = a->use ? a->use->name : "none",
		.share = shr_dominant(s, a),
		.owed = shr_owed(s, a),
	};
}

/* Takes out the decision since the last call that left most jobs waiting. */
void shr_take_decision(struct shr *s, struct shr_decision *out)
{
	*out = s->decision;
	s->decision = (struct shr_decision){0};
}

/* Returns the memory that accounts and the last plan hold, bytes. */
size_t shr_bytes(const struct shr *s)
{
	return s->accounts->len * sizeof(struct shr_account) +
	       s->entries->len * sizeof(struct shr_entry) +
	       s->heap->len * sizeof(uint32_t);
}

/* Sets the amounts by resource. */
static void shr_amounts(const struct org_amount *a, double out[SHR_RESOURCES])
{
	out[SHR_CPU] = (double)a->cpu;
	out[SHR_MEM] = (double)a->mem_mb;
	out[SHR_GPUS] = (double)a->gpus;
}
