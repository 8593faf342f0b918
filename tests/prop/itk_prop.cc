#include <glib.h>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "../unit/jobs_make.h"
#include "itk.h"
}

namespace
{

const int64_t TICK_MS = 200;
const int64_t START_MS = 1000000;
const int STEPS = 300;
const int ORGS = 4;
const double CORES = 50;
const int64_t CHAIN_MS = 500;
const int64_t OBJECTIVE_MS = 1500;
const int64_t LIMIT_MS = 4000;

/* A number in [from, to), over the whole range in every case. */
int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/* No bound of live jobs. */
struct itk_bounds bounds()
{
	struct itk_bounds b = {};

	return b;
}

struct Accepted {
	std::string id;
	int org;
	double coreSeconds;
	int64_t due; /* its entry is applied */
};

/*
 * A leader's intake beside a job table: submissions of organisations that
 * flood by turns, entries that are applied late, copies of a job.
 */
struct World {
	struct jtb *jtb = jtb_new(NULL, NULL);
	struct itk *itk;
	int64_t now = START_MS;
	int next = 1;
	std::vector<Accepted> live; /* in the order of acceptance */
	std::vector<Accepted> ended; /* since the last count, which has them */
	std::set<std::string> taken; /* ids that were accepted */
	std::set<std::string> refused; /* ids that never were */
	std::vector<std::string> ids;
	std::map<int, int64_t> lastReturn;
	double weight[ORGS];

	explicit World(const char *way) : itk(itk_new(itk_way(way), bounds()))
	{
		jobs_config(jtb, 1, "p", 3);
		for (double &w : weight)
			w = randomInt(1, 5);
	}

	~World()
	{
		itk_free(itk);
		jtb_free(jtb);
	}

	static bool isStored(void *arg, const char *id)
	{
		return jtb_job(static_cast<World *>(arg)->jtb, id) != NULL;
	}

	struct itk_job job(const Accepted &a, const std::string &org) const
	{
		struct itk_job j = {};

		j.id = a.id.c_str();
		j.pool = "p";
		j.org = org.c_str();
		j.weight = weight[a.org];
		j.core_s = a.coreSeconds;
		j.bytes = 1;
		return j;
	}

	void count()
	{
		struct itk_capacity c = {CORES, CORES, 10 * CORES, 0};

		itk_count_begin(itk);
		itk_count_pool(itk, "p", &c);
		for (const Accepted &a : live) {
			std::string org = std::to_string(a.org);
			struct itk_job j = job(a, org);

			if (isStored(this, j.id))
				itk_count_job(itk, &j);
		}
		itk_count_end(itk, isStored, this, now);
		ended.clear();
	}

	/* The line of an organisation if it had only its share, ms. */
	double shareLine(int org) const
	{
		double own = 0;
		double weights = 0;

		for (int o = 0; o < ORGS; o++)
			weights += weight[o];
		for (const Accepted &a : live)
			own += a.org == org ? a.coreSeconds : 0;
		for (const Accepted &a : ended)
			own += a.org == org ? a.coreSeconds : 0;
		return own / (CORES * weight[org] / weights) * 1000;
	}

	void submit(const std::string &id, int org)
	{
		Accepted a = {id, org, randomInt(1, 40) / 2.0,
			      now + randomInt(0, 600)};
		std::string name = std::to_string(org);
		struct itk_job j = job(a, name);
		struct itk_need need = {false, true, CHAIN_MS, OBJECTIVE_MS,
					LIMIT_MS};

		if (isStored(this, id.c_str()) ||
		    itk_is_joining(itk, id.c_str()))
			return;
		struct itk_verdict v = itk_decide(itk, &j, &need, now);

		if (!itk_refuses(v.why)) {
			itk_join(itk, &j);
			live.push_back(a);
			taken.insert(id);
			refused.erase(id);
			return;
		}
		if (!taken.count(id))
			refused.insert(id);
		RC_ASSERT(!live.empty() || !ended.empty());
		/* nobody below its share is refused for another's flood */
		RC_ASSERT(shareLine(org) + CHAIN_MS > LIMIT_MS);
		/* in the order in which they were refused */
		RC_ASSERT(v.retry_after_s >= 1);
		RC_ASSERT(now + v.retry_after_s * 1000 >= lastReturn[org]);
		lastReturn[org] = now + v.retry_after_s * 1000;
	}

	void apply(const Accepted &a)
	{
		struct jtb_step step = {};
		struct jtb_spec s = {};
		struct pk_out o;

		step.count = 1;
		step.cpu = 1000;
		g_strlcpy(s.id, a.id.c_str(), sizeof(s.id));
		s.queue = const_cast<char *>("q");
		s.text = const_cast<char *>("");
		s.steps = &step;
		s.n_steps = 1;
		pk_out_init(&o);
		jtb_put_job(&o, &s, now);
		jobs_apply(jtb, &o);
	}

	void end(size_t i)
	{
		struct pk_out o;

		pk_out_init(&o);
		jtb_put_cancel(&o, live[i].id.c_str(), now);
		jobs_apply(jtb, &o);
		ended.push_back(live[i]);
		live.erase(live.begin() + (long)i);
	}

	void step()
	{
		int org = randomInt(0, ORGS);
		int n = randomInt(0, 4) ? 1 : randomInt(1, 30);

		now += randomInt(1, 80);
		while (n-- > 0) {
			if (!ids.empty() && randomInt(0, 4) == 0) {
				submit(ids[randomInt(0, (int)ids.size())], org);
				continue;
			}
			ids.push_back(std::to_string(next++));
			submit(ids.back(), org);
		}
		for (const Accepted &a : live)
			if (a.due <= now && !isStored(this, a.id.c_str()))
				apply(a);
		if (!live.empty() && randomInt(0, 3) == 0) {
			size_t i = (size_t)randomInt(0, (int)live.size());

			if (isStored(this, live[i].id.c_str()))
				end(i);
		}
		if (now / TICK_MS != (now - 1) / TICK_MS ||
		    randomInt(0, 3) == 0)
			count();
	}

	/* Nothing of a refused job is in the table. */
	void check() const
	{
		GPtrArray *all = jtb_live(jtb);

		for (const std::string &id : refused)
			RC_ASSERT(!jtb_job(jtb, id.c_str()));
		for (guint i = 0; i < all->len; i++) {
			auto *job = static_cast<struct jtb_job *>(
				g_ptr_array_index(all, i));

			RC_ASSERT(taken.count(job->spec.id) == 1);
		}
	}
};

} // namespace

int main()
{
	bool ok = rc::check("refused jobs never run, shares are kept, returns "
			    "are in order",
			    [] {
				    World w("organisation");

				    for (int i = 0; i < STEPS; i++)
					    w.step();
				    w.check();
			    });

	ok &= rc::check("accepting all refuses none", [] {
		World w("all");

		for (int i = 0; i < STEPS; i++)
			w.step();
		RC_ASSERT(w.refused.empty());
		w.check();
	});
	return ok ? 0 : 1;
}
