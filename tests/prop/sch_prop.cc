#include <algorithm>
#include <glib.h>
#include <map>
#include <msgpack.h>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "../unit/jobs_make.h"
#include "sch.h"
}

namespace
{

const int64_t STEP_MS = 100;
const int64_t START_MS = 100000;
const uint32_t ATTEMPTS = 3;
const uint32_t CPU = 8000;
/* Steps a calm world is given to come to an end. */
const int CALM = 3000;

/* Over the whole range in every case; by itself inRange begins with the least. */
int roll(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/* A run as its worker knows it. */
struct Run {
	struct jtb_name name;
	uint32_t attempt;
	std::string worker;
	int64_t ends; /* -1: lasts */
	bool stopped;
};

/* A start that is on its way to the log. */
struct Start {
	struct jtb_name name;
	uint32_t attempt;
	std::string worker;
	int64_t due;
};

struct Worker {
	std::string id;
	bool bad = false; /* fails everything */
	bool draining = false;
	bool silent = false; /* gets nothing, and nothing is heard of it */
};

struct Rig {
	struct jtb_watch watch = {};
	struct jtb *jtb;
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t now = START_MS;
	std::vector<Worker> workers;
	std::vector<Run> runs;
	std::vector<Start> starts;
	std::set<std::string> accepted;
	std::set<std::string> never; /* of these, those that fit nowhere */
	std::set<std::string> lasting;
	std::set<std::string> badJobs;
	std::set<std::string> done; /* tasks that ended as done */
	std::map<std::string, enum jtb_job_state> outcome;
	int slow = roll(0, 3); /* steps until a start is in the log, at most */
	uint64_t nextId = 1;
	uint64_t nextEnd = 1;

	Rig()
	{
		watch.run_began = [](void *, struct jtb_run *) {};
		watch.run_ends = [](void *, struct jtb_run *, enum jtb_end) {};
		watch.run_stops = [](void *, struct jtb_run *) {};
		watch.late_end = [](void *, const struct jtb_worker *,
				    const struct jtb_name *, uint32_t,
				    enum jtb_end) {};
		watch.job_changed = onJob;
		watch.worker_changed = [](void *, struct jtb_worker *) {};
		watch.worker_removed = [](void *, struct jtb_worker *) {};
		watch.config_changed = [](void *) {};
		jtb = jtb_new(&watch, this);
		jobs_config(jtb, 1, "p", ATTEMPTS);
		workers.resize((size_t)roll(1, 8));
		for (auto &w : workers)
			up(w);
	}
	~Rig()
	{
		jtb_free(jtb);
		g_hash_table_destroy(closed);
	}

	void up(Worker &w)
	{
		w.id = "w" + std::to_string(nextId++);
		w.draining = false;
		w.silent = false;
		jobs_worker(jtb, w.id.c_str(), CPU, false);
	}

	Worker *workerOf(const std::string &id)
	{
		for (auto &w : workers)
			if (w.id == id)
				return &w;
		return nullptr;
	}

	/* A job has one outcome, which never changes. */
	static void onJob(void *arg, struct jtb_job *job)
	{
		Rig *r = static_cast<Rig *>(arg);

		if (jtb_job_ended(job) && !r->outcome.count(job->spec.id))
			r->outcome[job->spec.id] = job->state;
		if (r->outcome.count(job->spec.id))
			RC_ASSERT(r->outcome[job->spec.id] == job->state);
	}

	void submit(bool fits)
	{
		struct jtb_step s[3] = {};
		std::string id = "j" + std::to_string(nextId++);
		uint32_t n = (uint32_t)roll(1, 4);
		bool lasts = fits && roll(0, 8) == 0;
		static char nobody[] = "nobody-has-it";

		for (uint32_t i = 0; i < n; i++) {
			s[i].count = (uint32_t)roll(1, 6);
			s[i].cpu = (uint32_t)roll(1, 9) * 1000;
			s[i].mem_mb = 100;
			s[i].estimate_ms = (uint32_t)roll(1, 20) * 100;
			s[i].after = i && roll(0, 2) ? 1ULL << (i - 1) : 0;
			if (lasts)
				s[i].flags = JTB_LONG_RUNNING;
			else if (roll(0, 6) == 0)
				gang(&s[i]);
		}
		if (!fits && roll(0, 2))
			s[0].label = nobody;
		else if (!fits)
			s[0].cpu = CPU + 1;
		jobs_job(jtb, id.c_str(), s, n, wall());
		accepted.insert(id);
		if (!fits)
			never.insert(id);
		if (lasts)
			lasting.insert(id);
		if (fits && !lasts && roll(0, 15) == 0)
			badJobs.insert(id);
	}

	/* One that fits into a single worker, so that it can always run. */
	static void gang(struct jtb_step *s)
	{
		s->flags = JTB_GANG;
		s->cpu = 1000;
	}

	int64_t wall() const
	{
		return JOBS_WALL_MS + now - START_MS;
	}

	static bool onUsable(void *arg, const struct jtb_worker *w)
	{
		Worker *is = static_cast<Rig *>(arg)->workerOf(w->info.id);

		return is && !is->silent && !w->info.draining;
	}

	static bool onLeaving(void *arg, const struct jtb_worker *w)
	{
		return false;
	}

	static void onStarved(void *arg, const char *pool)
	{
	}

	static void onStart(void *arg, struct jtb_job *job,
			    const struct jtb_name *n, uint32_t attempt,
			    struct jtb_worker *w)
	{
		static_cast<Rig *>(arg)->start(job, n, attempt, w);
	}

	/* What is proposed fits, counted with all else that is on its way. */
	void start(struct jtb_job *job, const struct jtb_name *n,
		   uint32_t attempt, struct jtb_worker *w)
	{
		const struct jtb_step *s = &job->spec.steps[n->step];

		RC_ASSERT(!jtb_job_ended(job));
		RC_ASSERT(never.count(n->id) == 0u || n->step);
		RC_ASSERT(!s->label);
		RC_ASSERT(jtb_step_due(job, n->turn, n->step, wall()));
		RC_ASSERT(!w->info.draining);
		RC_ASSERT(w->used_cpu + w->proposed_cpu + s->cpu <=
			  w->info.cpu);
		jtb_propose_start(job, n, w);
		starts.push_back({*n, attempt, w->info.id,
				  now + roll(0, slow + 1) * STEP_MS});
	}

	void plan()
	{
		struct sch_view v = {};

		v.jtb = jtb;
		v.closed = closed;
		v.now_ms = now;
		v.wall_ms = wall();
		v.arg = this;
		v.usable = onUsable;
		v.leaving = onLeaving;
		v.start = onStart;
		v.starved = onStarved;
		sch_plan(&v, "p");
	}

	/* Starts come out of the log; those that count are begun. */
	void log()
	{
		for (size_t i = 0; i < starts.size();) {
			Start s = starts[i];

			if (now < s.due) {
				i++;
				continue;
			}
			starts.erase(starts.begin() + (long)i);
			begin(s);
		}
	}

	void begin(const Start &s)
	{
		const struct jtb_job *job = jtb_job(jtb, s.name.id);
		char text[JTB_ID_MAX + 40];
		Run r = {s.name, s.attempt, s.worker, 0, false};

		jobs_start(jtb, s.name.id, s.name.step, s.name.index, s.attempt,
			   s.worker.c_str());
		if (!jtb_find_run(jtb, &s.name, s.attempt, s.worker.c_str()))
			return;
		RC_ASSERT(!jtb_job_ended(job));
		jtb_name_format(&s.name, text, sizeof(text));
		RC_ASSERT(done.count(text) == 0u);
		for (auto &o : runs)
			RC_ASSERT(!jtb_name_equal(&o.name, &s.name));
		RC_ASSERT(job->turns[0]
				  .steps[s.name.step]
				  .tasks[s.name.index]
				  .failures < ATTEMPTS);
		r.ends = lasting.count(s.name.id) ? -1
						  : now + roll(1, 15) * STEP_MS;
		runs.push_back(r);
	}

	/* Runs end by themselves, or since their job was cancelled. */
	void work()
	{
		for (size_t i = runs.size(); i > 0; i--) {
			Run r = runs[i - 1];
			Worker *w = workerOf(r.worker);

			if (w->silent || r.ends < 0 || now < r.ends)
				continue;
			runs.erase(runs.begin() + (long)i - 1);
			end(r, r.stopped ? JTB_STOPPED
			       : w->bad || badJobs.count(r.name.id)
				       ? JTB_FAILED_RUN
				       : JTB_DONE);
		}
	}

	void end(const Run &r, enum jtb_end how)
	{
		char text[JTB_ID_MAX + 40];
		struct pk_out o;
		int times = roll(1, 3);

		jtb_name_format(&r.name, text, sizeof(text));
		if (how == JTB_DONE)
			done.insert(text);
		/* told again it changes nothing */
		while (times-- > 0) {
			pk_out_init(&o);
			jtb_put_end(&o, r.worker.c_str(), nextEnd, &r.name,
				    r.attempt, how, lstr_n("", 0), wall());
			jobs_apply(jtb, &o);
		}
		nextEnd++;
		if (how == JTB_DONE)
			return;
		/* one end of a gang is all of it: what is over isn't at work */
		for (size_t i = runs.size(); i > 0; i--)
			if (!jtb_find_run(jtb, &runs[i - 1].name,
					  runs[i - 1].attempt,
					  runs[i - 1].worker.c_str()))
				runs.erase(runs.begin() + (long)i - 1);
	}

	/* A worker is over with all it runs, and another comes up. */
	void lose(Worker &w)
	{
		for (size_t i = runs.size(); i > 0; i--)
			if (runs[i - 1].worker == w.id)
				runs.erase(runs.begin() + (long)i - 1);
		jobs_worker_lost(jtb, w.id.c_str(), true);
		for (size_t i = runs.size(); i > 0; i--)
			if (!jtb_find_run(jtb, &runs[i - 1].name,
					  runs[i - 1].attempt,
					  runs[i - 1].worker.c_str()))
				runs.erase(runs.begin() + (long)i - 1);
		up(w);
	}

	void cancel(const std::string &id)
	{
		jobs_cancel(jtb, id.c_str());
		for (auto &r : runs)
			if (id == r.name.id) {
				r.stopped = true;
				r.ends = now + STEP_MS;
			}
	}

	/* All that was ever taken, in one flood. */
	void cancelAll()
	{
		for (auto &id : accepted)
			cancel(id);
	}

	/* Another leader: it has what is in the log, no more. */
	void newLeader()
	{
		struct pk_out a;
		struct pk_out b;

		for (auto &s : starts)
			if (roll(0, 2))
				begin(s);
		starts.clear();
		pk_out_init(&a);
		pk_out_init(&b);
		jtb_snapshot(jtb, &a);
		RC_ASSERT(jtb_restore(jtb, pk_out_view(&a)));
		jtb_snapshot(jtb, &b);
		RC_ASSERT(sameBytes(pk_out_view(&a), pk_out_view(&b)));
		pk_out_done(&a);
		pk_out_done(&b);
		jtb_drop_proposals(jtb);
	}

	/* The same in any order: tables of hashes have none. */
	static bool sameBytes(struct lstr a, struct lstr b)
	{
		std::string x(a.p, a.len);
		std::string y(b.p, b.len);

		std::sort(x.begin(), x.end());
		std::sort(y.begin(), y.end());
		return x == y;
	}

	void drain(Worker &w)
	{
		w.draining = true;
		jobs_worker(jtb, w.id.c_str(), CPU, true);
	}

	/* What the table counts is what runs, and no worker is overrun. */
	void counts()
	{
		for (auto &w : workers) {
			const struct jtb_worker *known =
				jtb_worker(jtb, w.id.c_str());
			uint32_t cpu = 0;
			uint32_t n = 0;

			for (auto &r : runs) {
				const struct jtb_job *job =
					jtb_job(jtb, r.name.id);

				if (r.worker != w.id)
					continue;
				cpu += job->spec.steps[r.name.step].cpu;
				n++;
			}
			RC_ASSERT(cpu <= CPU);
			RC_ASSERT(known->used_cpu == cpu);
			RC_ASSERT(known->runs->len == n);
		}
	}

	void step()
	{
		now += STEP_MS;
		work();
		log();
		plan();
		counts();
	}

	void worldActs()
	{
		Worker &w = workers[(size_t)roll(0, (int)workers.size())];

		switch (roll(0, 20)) {
		case 0:
			newLeader();
			break;
		case 1:
			lose(w);
			break;
		case 2:
			w.bad = roll(0, 2);
			break;
		case 3:
			w.silent = roll(0, 2);
			break;
		case 4:
			drain(w);
			break;
		case 5:
		case 6:
			if (!accepted.empty())
				cancel("j" +
				       std::to_string(roll(1, (int)nextId)));
			break;
		case 7:
			if (roll(0, 4) == 0)
				cancelAll();
			break;
		case 8:
			for (int i = roll(0, 20); i > 0; i--)
				submit(false);
			break;
		default:
			submit(true);
		}
	}

	/* Whether a job that can run has no outcome yet. */
	bool waits() const
	{
		for (auto &id : accepted)
			if (!never.count(id) && !outcome.count(id))
				return true;
		return false;
	}

	/* All workers are well; what lasts is cancelled in the end. */
	void calm()
	{
		badJobs.clear();
		for (auto &id : lasting)
			cancel(id);
		for (auto &w : workers) {
			w.bad = false;
			lose(w);
		}
	}
};

} // namespace

int main()
{
	bool ok = rc::check("every accepted job has one outcome", [] {
		Rig r;

		for (int t = roll(5, 120); t > 0; t--) {
			r.worldActs();
			r.step();
		}
		r.calm();
		for (int t = 0; t < CALM && r.waits(); t++)
			r.step();
		for (auto &id : r.accepted) {
			const struct jtb_job *job = jtb_job(r.jtb, id.c_str());

			RC_ASSERT((job != nullptr));
			RC_ASSERT(jtb_job_ended(job) ||
				  r.never.count(id) == 1u);
		}
	});

	ok &= rc::check("what can never run holds nobody", [] {
		Rig r;
		for (int i = roll(1, 200); i > 0; i--)
			r.submit(false);
		for (int i = roll(1, 20); i > 0; i--)
			r.submit(true);
		for (int i = roll(1, 200); i > 0; i--)
			r.submit(false);
		for (auto &id : r.lasting)
			r.cancel(id);
		for (int t = 0; t < CALM && r.waits(); t++)
			r.step();
		for (auto &id : r.accepted)
			if (!r.never.count(id))
				RC_ASSERT(jtb_job_ended(
					jtb_job(r.jtb, id.c_str())));
	});
	return ok ? 0 : 1;
}
