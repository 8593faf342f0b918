#include <glib.h>
#include <msgpack.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

extern "C" {
#include "shr.h"
}

namespace
{

const uint64_t CPU = 100000; /* of all workers */
const uint64_t MEMORY = 100000;

int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

struct Job {
	int org; /* -1: of no organisation */
	unsigned int class_no;
	struct org_amount size;
	bool started = false;
};

/* Organisations with random weights, of which some have runs. */
struct World {
	struct quo *quo = quo_new();
	std::vector<struct org> orgs;
	std::vector<struct quo_use *> uses;
	struct org_amount used = {0, 0, 0};
	struct shr *shares;
	int64_t now = 1000;

	explicit World(enum shr_method method) : shares(shr_new(method))
	{
		int n = randomInt(1, 8);

		orgs.resize((size_t)n);
		for (int i = 0; i < n; i++) {
			struct quo_use *u =
				quo_use(quo, std::to_string(i).c_str());

			orgs[(size_t)i].weight = randomInt(-1, 6);
			u->org = &orgs[(size_t)i];
			uses.push_back(u);
			if (randomInt(0, 2))
				run(u, {(uint64_t)randomInt(0, 10000),
					(uint64_t)randomInt(0, 10000), 0});
		}
	}
	~World()
	{
		shr_free(shares);
		quo_free(quo);
	}

	void run(struct quo_use *u, struct org_amount a)
	{
		quo_run_begins(u, &a);
		quo_add(&used, &a);
	}

	struct quo_use *use(int org)
	{
		return org < 0 ? nullptr : uses[(size_t)org];
	}

	void begin()
	{
		struct shr_input in = {quo, {CPU, MEMORY, 0}, used, now};

		shr_begin(shares, &in);
	}

	std::vector<Job> someJobs()
	{
		std::vector<Job> jobs;
		unsigned int class_no = 0;
		int n = randomInt(0, 60);

		for (int i = 0; i < n; i++) {
			class_no += randomInt(0, 8) == 0;
			jobs.push_back({randomInt(-1, (int)uses.size()),
					class_no,
					{(uint64_t)randomInt(1, 9000),
					 (uint64_t)randomInt(0, 9000), 0}});
		}
		return jobs;
	}

	/* Plans the jobs into one worker of all capacity; returns the order. */
	std::vector<Job *> plan(std::vector<Job> &jobs)
	{
		std::vector<Job *> order;
		Job *j;

		begin();
		for (Job &one : jobs)
			shr_add(shares, use(one.org), one.class_no, &one);
		while ((j = (Job *)shr_next(shares))) {
			order.push_back(j);
			if (used.cpu + j->size.cpu > CPU ||
			    used.mem_mb + j->size.mem_mb > MEMORY)
				continue;
			j->started = true;
			shr_charge(shares, use(j->org), &j->size);
			if (j->org >= 0)
				run(use(j->org), j->size);
			else
				quo_add(&used, &j->size);
		}
		return order;
	}
};

/* An account's dominant share for its weight. */
double shareOf(const struct quo_use *u)
{
	return MAX((double)u->running.cpu / CPU,
		   (double)u->running.mem_mb / MEMORY) /
	       quo_weight(u);
}

/* Nothing is set aside: each job is offered once, so what fits starts. */
void workConserving()
{
	World w((enum shr_method)randomInt(0, SHR_METHODS));
	std::vector<Job> jobs = w.someJobs();
	std::vector<Job *> order = w.plan(jobs);

	RC_ASSERT(order.size() == jobs.size());
	for (size_t i = 1; i < order.size(); i++) {
		RC_ASSERT(order[i - 1]->class_no <= order[i]->class_no);
	}
	for (const Job &j : jobs)
		RC_ASSERT(j.started || w.used.cpu + j.size.cpu > CPU ||
			  w.used.mem_mb + j.size.mem_mb > MEMORY);
	for (size_t i = 0; i < order.size(); i++)
		for (size_t k = i + 1; k < order.size(); k++)
			RC_ASSERT(order[i]->org != order[k]->org ||
				  order[i] < order[k]);
}

/*
 * Nobody is passed over for one that has more for its weight: whenever a job
 * is taken, no other account with a job of that class has less.
 */
void leastFirst()
{
	World w(SHR_RUNNING);
	std::vector<Job> jobs = w.someJobs();
	Job *j;

	w.begin();
	for (Job &one : jobs) {
		one.org = MAX(one.org, 0);
		shr_add(w.shares, w.use(one.org), one.class_no, &one);
	}
	while ((j = (Job *)shr_next(w.shares))) {
		for (const Job &other : jobs)
			RC_ASSERT(other.started ||
				  other.class_no != j->class_no ||
				  shareOf(w.use(j->org)) <=
					  shareOf(w.use(other.org)) + 1e-9);
		j->started = true;
		shr_charge(w.shares, w.use(j->org), &j->size);
		w.run(w.use(j->org), j->size);
	}
}

/* Where all want without end, what each gets is as its weight. */
void weightsScaleShares()
{
	World w(SHR_RUNNING);
	std::vector<Job> jobs;
	double least = 1e9;
	double most = 0;

	for (struct quo_use *u : w.uses) {
		struct org_amount had = u->running;

		quo_run_ends(u, &had);
		quo_sub(&w.used, &had);
	}
	for (int i = 0; i < 2000; i++)
		jobs.push_back({i % (int)w.uses.size(), 0, {200, 100, 0}});
	w.plan(jobs);
	for (struct quo_use *u : w.uses) {
		bool wants = u->running.cpu < 200 * (2000 / w.uses.size());

		least = MIN(least, wants ? shareOf(u) : least);
		most = MAX(most, shareOf(u));
	}
	RC_ASSERT(least > 1e8 || most - least <= 0.0021);
}

/* Memory is bounded by the organisations and the jobs of one plan. */
void boundedMemory()
{
	World w(SHR_RECENT);
	size_t bytes = 0;

	for (int i = 0; i < 20; i++) {
		std::vector<Job> jobs = w.someJobs();

		w.now += randomInt(0, 2000);
		w.plan(jobs);
		bytes = shr_bytes(w.shares);
		RC_ASSERT(bytes <= (w.uses.size() + 1) * 200 + 60 * 40);
	}
}

} // namespace

int main()
{
	bool ok = rc::check("work-conserving", workConserving);

	ok &= rc::check("who has least goes first", leastFirst);
	ok &= rc::check("weights scale shares", weightsScaleShares);
	ok &= rc::check("bounded memory", boundedMemory);
	return ok ? 0 : 1;
}
