#include <glib.h>
#include <map>
#include <msgpack.h>
#include <rapidcheck.h>
#include <set>

extern "C" {
#include "job.h"
}

namespace
{

const int64_t STEP_MS = 500;
const int64_t LEASE_MS = 5000;
const int64_t MARGIN_MS = 1000;
const int POOLS = 2;
const int TEAMS = 3;

/*
 * Returns a number of the whole range, from included and to excluded, in every
 * case; inRange alone starts with the smallest numbers.
 */
int roll(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/* An attempt of a job on a worker, which executes each (job, attempt) once. */
struct Task {
	int64_t ends;
	bool running;
	bool reported;
	enum job_event outcome;
};

typedef std::pair<uint64_t, uint32_t> Key;

/* A worker, which checks its lease by its own clock. */
struct Worker {
	bool cut = false; /* partitioned */
	bool bad = false; /* fails every job */
	int64_t lease = 0;
	int64_t behind = 0; /* how far its clock is behind, ms */
	std::map<Key, Task> tasks;
};

/* Fixture: a job table, its workers and what was reported so far. */
struct Fixture {
	struct jobs *j;
	struct job_out out;
	int64_t now = 0;
	std::vector<Worker> workers;
	std::map<uint64_t, struct job_spec> accepted;
	std::map<uint64_t, int> outcomes;
	std::set<uint64_t> badJobs;
	uint64_t nextId = 1;

	Fixture()
	{
		struct job_config c = {};
		struct job_size capacity = {8000, 8000, 0};
		struct job_size quota = {30000, 30000, 0};

		c.waiting_max = 50;
		c.oldest_every = 4;
		c.stops_max = 2;
		c.suspect_after = 3;
		c.margin_ms = MARGIN_MS;
		j = jobs_new(&c);
		job_out_init(&out);
		for (int p = 0; p < POOLS; p++)
			job_set_pool(j, p);
		for (int t = 0; t < TEAMS; t++)
			job_set_team(j, t, &quota);
		workers.resize((size_t)roll(1, 8));
		for (int w = 0; w < (int)workers.size(); w++) {
			workers[w].behind = roll(0, MARGIN_MS);
			job_set_worker(j, w, w % POOLS, &capacity, &out);
		}
		renewLeases();
	}
	~Fixture()
	{
		jobs_free(j);
		job_out_done(&out);
	}

	/* Renews the leases of all workers that are not partitioned. */
	void renewLeases()
	{
		for (int w = 0; w < (int)workers.size(); w++) {
			if (workers[w].cut)
				continue;
			workers[w].lease = now + LEASE_MS;
			job_renew_lease(j, w, now + LEASE_MS);
		}
	}

	void submit()
	{
		struct job_spec s = {};

		s.id = roll(0, 10) ? nextId++ : (uint64_t)roll(1, 20);
		s.pool = roll(0, POOLS + 1);
		s.team = roll(0, TEAMS);

		s.cls = (enum job_class)roll(0, JOB_CLASSES);
		s.size.cpu_milli = roll(1, 9) * 1100;
		s.size.mem_mb = 100;
		s.idempotent = roll(0, 2);
		s.checkpoints = roll(0, 2);
		if (accepted.count(s.id))
			s = accepted[s.id];
		if (job_submit(j, &s, now, &out) == JOB_OK)
			accepted[s.id] = s;
	}

	/* Asserts that a non-idempotent job runs on one worker at most. */
	void assertRunsOnce(uint64_t id) const
	{
		int running = 0;

		for (auto &w : workers)
			for (auto &t : w.tasks)
				running +=
					t.first.first == id && t.second.running;
		if (!accepted.at(id).idempotent)
			RC_ASSERT(running <= 1);
	}

	/* Executes an order on its worker. */
	void execute(const struct job_order &a)
	{
		Worker &w = workers[a.worker];
		Key key(a.job, a.attempt);
		auto at = w.tasks.find(key);

		if (w.cut)
			return;
		if (a.kind == JOB_ORDER_START && at == w.tasks.end()) {
			RC_ASSERT(!outcomes.count(a.job));
			w.tasks[key] = {now + roll(1, 20) * STEP_MS, true,
					false, JOB_COMPLETE};
			assertRunsOnce(a.job);
		} else if (a.kind == JOB_ORDER_START && !at->second.running) {
			at->second.reported = false;
		} else if (a.kind == JOB_ORDER_STOP && at == w.tasks.end()) {
			w.tasks[key] = {now, false, false, JOB_STOPPED};
		} else if (a.kind == JOB_ORDER_STOP && at->second.running) {
			at->second.ends = now;
			at->second.outcome = JOB_STOPPED;
		} else if (a.kind == JOB_ORDER_STOP) {
			at->second.reported = false;
		}
	}

	/* Executes all orders; asserts that outcomes are unique. */
	void deliver()
	{
		for (GArray *acts : {out.urgent, out.orders})
			for (guint i = 0; i < acts->len; i++)
				execute(g_array_index(acts, struct job_order,
						      i));
		for (guint i = 0; i < out.outcomes->len; i++) {
			struct job_outcome &t = g_array_index(
				out.outcomes, struct job_outcome, i);

			RC_ASSERT(accepted.count(t.job) == 1u);
			RC_ASSERT(++outcomes[t.job] == 1);
		}
		job_out_clear(&out);
	}

	/* Ends attempts that are done, stopped or without a lease. */
	void endAttempts()
	{
		for (int w = 0; w < (int)workers.size(); w++)
			for (auto &t : workers[w].tasks)
				endAttempt(workers[w], t.first, t.second);
	}

	/* Ends an attempt if it is due, and reports its end. */
	void endAttempt(Worker &w, const Key &key, Task &t)
	{
		if (t.running && now - w.behind > w.lease) {
			t.running = false;
			t.outcome = JOB_STOPPED;
		}
		if (t.running && t.ends <= now) {
			t.running = false;
			if (w.bad || badJobs.count(key.first))
				t.outcome = JOB_FAIL;
		}
		if (t.running || t.reported || w.cut)
			return;
		t.reported = true;
		job_report_end(j, key.first, key.second, t.outcome, false,
			       &out);
	}

	void step()
	{
		now += STEP_MS;
		renewLeases();
		endAttempts();
		job_schedule(j, now, 20, &out);
		deliver();
	}

	/* Makes one random submission, command, fault or restart. */
	void randomEvent()
	{
		int w = roll(0, (int)workers.size());
		uint64_t id = (uint64_t)roll(1, (int)nextId + 1);
		struct job_size used = {roll(1, 20) * 1000, 100, 0};
		struct job_status s;

		switch (roll(0, 14)) {
		case 0:
			workers[w].cut = true;
			break;
		case 1:
			heal(w);
			break;
		case 2:
			workers[w].bad = roll(0, 3) == 0;
			break;
		case 3:
			badJobs.insert(id);
			break;
		case 4:
		case 5:
			job_cancel(j, id, &out);
			break;
		case 6:
			restart();
			break;
		case 7:
			job_set_priority(j, roll(0, TEAMS),
					 (enum job_class)roll(0, JOB_CLASSES),
					 roll(0, 9));
			break;
		case 8:
			if (job_status(j, id, &s))
				job_report_usage(j, id, s.attempt, &used, &out);
			break;
		case 9:
			job_drain(j, w, roll(0, 2));
			break;
		default:
			submit();
		}
	}

	void heal(int w)
	{
		workers[w].cut = false;
		job_resend(j, &out);
	}

	/* Replaces the table by one restored from its serialized form. */
	void restart()
	{
		struct pk_out a;
		struct pk_out b;
		struct jobs *again;

		pk_out_init(&a);
		pk_out_init(&b);
		jobs_pack(j, &a);
		again = jobs_unpack(pk_out_view(&a), NULL);
		RC_ASSERT((again != nullptr));
		jobs_pack(again, &b);
		RC_ASSERT(lstr_eq(pk_out_view(&a), pk_out_view(&b)));
		pk_out_done(&a);
		pk_out_done(&b);
		jobs_free(j);
		j = again;
		job_resend(j, &out);
	}
};

} // namespace

int main()
{
	bool ok = rc::check("every accepted job has one outcome", [] {
		Fixture f;
		int open = 0;

		for (int t = roll(5, 120); t > 0; t--) {
			f.randomEvent();
			f.step();
		}
		f.badJobs.clear();
		for (int w = 0; w < (int)f.workers.size(); w++) {
			f.workers[w].bad = false;
			f.heal(w);
			job_drain(f.j, w, false);
			job_clear_suspect(f.j, w);
		}
		for (int t = 0; t < 3000; t++)
			f.step();
		for (auto &a : f.accepted)
			open += f.outcomes.count(a.first) == 0;
		RC_ASSERT(open == 0);
	});
	return ok ? 0 : 1;
}
