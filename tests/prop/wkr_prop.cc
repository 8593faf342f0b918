#include <algorithm>
#include <cstring>
#include <glib.h>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "../unit/jobs_make.h"
#include "lif.h"
#include "proto.h"
#include "wkr.h"
}

/*
 * Tests the leader's sessions against workers that follow the protocol and
 * nothing more, in virtual time: orders get no answer and are carried out
 * seconds later; workers are partitioned, drain, exit, crash and return as
 * other instances; and leaders change. No task may run twice at once, nor again
 * after its completion was acknowledged.
 */
namespace
{

const int64_t STEP_MS = 10;
const int64_t START_MS = 1000000;
const int64_t LEASE_MS = 5000;
const int64_t MAX_STOP_MS = 400; /* longest time that a stop takes */
const int64_t LIST_INTERVAL_MS = 700; /* interval between two lists of VMs */
const int SLOTS = 4;
const int64_t JOB_INTERVAL_MS = 700;
const uint32_t TASKS = 4;
/* Steps within which all jobs must end once there are no faults. */
const int RECOVERY_STEPS = 6000;

/* Probabilities of faults, per call or per step. */
struct Faults {
	double late; /* an order gets no answer and is carried out later */
	double late_holds; /* a hold gets no answer and is carried out later */
	double unreadable; /* an order gets an unreadable answer */
	double lost; /* a call is lost by its relay */
	double partition; /* a worker is partitioned in a step */
	double leave; /* a worker begins to drain in a step */
	double crash;
	double change; /* the leader changes in a step */
	/* share of crashed workers that start again under their ids */
	double same_id;
};

const Faults NO_FAULTS = {0, 0, 0, 0, 0, 0, 0, 0, 0};

struct Call {
	uint64_t no;
	int slot;
	std::string instance;
	std::string uri;
	std::string body;
	int64_t timeout;
};

struct Run {
	uint32_t attempt;
	int64_t began;
	int64_t ends;
	int64_t stop; /* when a stopped run ends; 0: not stopped */
	/* over in the table as it began on an instance that nobody had told */
	bool stray;
};

struct End {
	uint64_t no;
	std::string task;
	uint32_t attempt;
	enum jtb_end how;
	int64_t at;
	bool stray;
};

/* One instance of a worker. */
struct Worker {
	std::string id;
	int slot;
	int64_t started_at;
	int64_t born = 0; /* its start, as it reports it; 0: it doesn't */
	/*
	 * It has the id of an instance before it, and no lease yet: nobody can
	 * have told it of what that instance was ordered.
	 */
	bool untold = false;
	/*
	 * What the table had on that instance as it crashed, task and attempt:
	 * none of it may begin here while it runs elsewhere, told or not.
	 */
	std::map<std::string, uint32_t> owed;
	int64_t offset; /* of its clock, ms */
	double rate; /* speed of its clock */
	bool alive = true;
	bool draining = false;
	int64_t exit_at = 0; /* when it reports its exit; 0: never */
	bool exit_reported = false;
	int64_t announced = 0; /* time of its last announcement */
	int64_t partitioned_until = 0;
	uint64_t fence = 0;
	int64_t until = 0; /* end of its lease, on its clock */
	int64_t expired_at = 0; /* when its lease last expired */
	uint64_t next_no = 1;
	std::map<std::string, Run> running;
	std::vector<End> ends;
	/* by task, highest attempt that must not start any more */
	std::map<std::string, uint32_t> closed;
	std::vector<std::pair<int64_t, Call>> late;

	int64_t clock(int64_t now) const
	{
		return offset + (int64_t)((double)(now - started_at) * rate);
	}
};

/* An answer in flight to the leader. */
struct Answer {
	int64_t due;
	uint64_t no;
	enum ups_end end;
	int status;
	std::string body;
};

/* A proposed command that is not committed yet. */
struct Command {
	int64_t due;
	std::string bytes;
};

struct Simulation;
Simulation *the_simulation;

std::string text_of(struct lstr s)
{
	return std::string(s.p, s.len);
}

std::string name_text(const struct jtb_name *n)
{
	char text[JTB_ID_MAX + 40];

	jtb_name_format(n, text, sizeof(text));
	return text;
}

/* Encodes an order as [task, attempt, fence, until, ack, wait]. */
const char *codec_write(const struct wkr_order *o, struct evbuffer *body)
{
	static const char *const uris[] = {"/start", "/stop", "/list", "/pace"};
	struct pk_out out;

	pk_out_init(&out);
	pk_arr(&out, 6);
	pk_cstr(&out, o->task ? o->task : "");
	pk_u(&out, o->attempt);
	pk_u(&out, o->fence);
	pk_i(&out, o->until_ms);
	pk_u(&out, o->ack);
	pk_i(&out, o->wait_ms);
	evbuffer_add(body, out.buf.data, out.buf.size);
	pk_out_done(&out);
	return uris[o->kind];
}

/* Decodes an answer [clock]. */
enum wkr_answer codec_answer(int status, struct lstr body, int64_t *clock_ms)
{
	struct pk_in in;

	*clock_ms = 0;
	if (pk_in_init(&in, body)) {
		*clock_ms = pk_get_i(&in);
		pk_in_done(&in);
	}
	switch (status) {
	case 200:
		return WKR_YES;
	case 410:
		return WKR_RUN_OVER;
	case 412:
		return WKR_FENCED;
	case 408:
		return WKR_LEASE_EXPIRED;
	case 421:
		return WKR_OTHER_INSTANCE;
	case 503:
		return WKR_UNHEALTHY;
	default:
		return WKR_UNREADABLE;
	}
}

/*
 * Decodes a list
 * [clock, [[task, attempt]...], [[no, task, attempt, how]...], start].
 */
bool codec_report(struct lstr body, struct wkr_report *out)
{
	struct pk_in in;
	struct pk_in list;

	if (!pk_in_init(&in, body))
		return false;
	*out = {};
	out->clock_ms = pk_get_i(&in);
	out->rows = g_array_new(FALSE, TRUE, sizeof(struct wkr_row));
	out->ends = g_array_new(FALSE, TRUE, sizeof(struct wkr_end));
	list = pk_get_arr(&in);
	while (pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct wkr_row row = {};

		jtb_name_parse(pk_get_str(&one), &row.name);
		row.attempt = (uint32_t)pk_get_u(&one);
		g_array_append_val(out->rows, row);
	}
	list = pk_get_arr(&in);
	while (pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct wkr_end e = {};

		e.no = pk_get_u(&one);
		e.known = jtb_name_parse(pk_get_str(&one), &e.name);
		e.attempt = (uint32_t)pk_get_u(&one);
		e.how = (enum jtb_end)pk_get_u(&one);
		e.saved = lstr_n("", 0);
		g_array_append_val(out->ends, e);
	}
	out->started_ms = pk_get_i(&in);
	pk_in_done(&in);
	return true;
}

void codec_report_done(struct wkr_report *r)
{
	g_array_free(r->rows, TRUE);
	g_array_free(r->ends, TRUE);
}

struct Simulation {
	std::mt19937_64 rand;
	Faults faults;
	struct tmr *tmr = tmr_new_manual(START_MS);
	struct event_base *base = event_base_new();
	struct jtb *jtb;
	struct rly *rly;
	struct wkr *wkr;
	uint64_t fence = 1;
	int64_t lead_at = 0; /* when the next leader begins; 0: there is one */
	int64_t listed = 0;
	uint64_t next_instance = 1;
	int jobs = 0;
	std::vector<std::unique_ptr<Worker>> workers; /* also former ones */
	std::vector<Answer> answers;
	std::vector<Command> log;
	/* tasks whose completion under a valid lease was acknowledged */
	std::set<std::string> completed;
	/*
	 * tasks whose completion was acknowledged, also under an expired lease
	 */
	std::set<std::string> acknowledged;
	std::map<std::string, int64_t> last_start;
	std::string violation;
	int starts = 0;
	int late = 0;
	/* task and attempt of the ends that were proposed */
	std::set<std::pair<std::string, uint32_t>> ended;
	std::set<std::pair<std::string, uint32_t>> reported; /* by workers */
	int expirations = 0;
	int restarts = 0;

	struct jtb_watch watch = {};
	struct wkr_codec codec = {};
	struct wkr_ops ops = {};
	struct rly_ops relay_ops = {};

	Simulation(uint64_t seed, const Faults &t) : rand(seed), faults(t)
	{
		struct wkr_config c = {};
		int i;

		the_simulation = this;
		set_tables();
		jtb = jtb_new(&watch, this);
		rly = rly_new(tmr, &relay_ops, this);
		c.base = base;
		c.tmr = tmr;
		c.codec = &codec;
		c.jtb = jtb;
		c.hold_max_ms = LEASE_MS;
		c.rly = rly;
		wkr = wkr_new(&c, &ops, this);
		jobs_config(jtb, 1, "p", 1000);
		for (i = 0; i < SLOTS; i++)
			start_instance(i);
		wkr_lead(wkr, fence);
	}

	~Simulation()
	{
		wkr_free(wkr);
		rly_free(rly);
		jtb_free(jtb);
		tmr_free(tmr);
		event_base_free(base);
	}

	void set_tables()
	{
		watch.run_began = [](void *, struct jtb_run *run) {
			run->ordered_ms = the_simulation->now();
			wkr_add_run(the_simulation->wkr, run);
		};
		watch.run_ends = [](void *, struct jtb_run *run, enum jtb_end) {
			wkr_remove_run(the_simulation->wkr, run);
		};
		watch.run_stops = [](void *, struct jtb_run *run) {
			wkr_stop_run(the_simulation->wkr, run);
		};
		watch.late_end = [](void *, const struct jtb_worker *,
				    const struct jtb_name *, uint32_t,
				    enum jtb_end) {};
		watch.job_changed = [](void *, struct jtb_job *) {};
		watch.worker_changed = [](void *, struct jtb_worker *w) {
			wkr_update_worker(the_simulation->wkr, w);
		};
		watch.worker_removed = [](void *, struct jtb_worker *w) {
			wkr_remove_worker(the_simulation->wkr, w);
		};
		watch.config_changed = [](void *) {};
		codec.content_type = "x";
		codec.instance_header = "Life";
		codec.write = codec_write;
		codec.answer = codec_answer;
		codec.report = codec_report;
		codec.report_done = codec_report_done;
		relay_ops.send = [](void *, const char *, struct lstr payload) {
			the_simulation->relay(payload);
			return true;
		};
		ops.ends = [](void *, struct jtb_worker *w,
			      const struct wkr_end *e, size_t n) {
			for (size_t i = 0; i < n; i++)
				the_simulation->propose_end(w->info.id, e[i].no,
							    &e[i].name,
							    e[i].attempt,
							    e[i].how);
		};
		ops.lost = [](void *, struct jtb_run *run, const struct evd *) {
			struct jtb_name n;

			jtb_name_of(run, &n);
			the_simulation->propose_end(run->worker->info.id, 0, &n,
						    run->attempt, JTB_LOST);
		};
		ops.gone = [](void *, struct jtb_worker *w,
			      const struct evd *e) {
			if (!wkr_evidence_is_outdated(w, e->as_of_ms))
				the_simulation->propose_gone(
					w, evd_is_permanent(e));
		};
		ops.seen = [](void *, struct jtb_worker *) {};
		ops.ticket = [](void *, const struct jtb_run *,
				const char **out) {
			*out = nullptr;
			return true;
		};
		ops.ticket_refused = [](void *, const struct jtb_run *) {};
		ops.confirmed_ms = [](void *) { return the_simulation->now(); };
		ops.relay = [](void *, const struct jtb_worker *, uint32_t) {
			return "relay:1";
		};
	}

	int64_t now() const
	{
		return tmr_now(tmr);
	}

	double uniform()
	{
		return std::uniform_real_distribution<>(0, 1)(rand);
	}

	int64_t between(int64_t from, int64_t to)
	{
		return std::uniform_int_distribution<int64_t>(from, to)(rand);
	}

	static std::string job_id(int i)
	{
		return "job" + std::to_string(i);
	}

	void submit()
	{
		struct jtb_step step = {};

		step.count = TASKS;
		step.cpu = 1000;
		step.estimate_ms = 500;
		jobs_job(jtb, job_id(jobs++).c_str(), &step, 1, JOBS_WALL_MS);
	}

	/* Starts another instance at an address. */
	void start_instance(int slot)
	{
		auto w = std::make_unique<Worker>();

		w->id = "w" + std::to_string(next_instance++);
		w->slot = slot;
		w->started_at = now();
		w->offset = between(1000, 900000);
		w->rate = 0.98 + 0.04 * uniform();
		if (faults.same_id > 0)
			w->born = now();
		workers.push_back(std::move(w));
	}

	Worker *at(int slot)
	{
		for (auto &w : workers)
			if (w->slot == slot && w->alive)
				return w.get();
		return nullptr;
	}

	/* Proposes a command. */
	void propose(struct pk_out *cmd)
	{
		log.push_back({now() + between(5, 120),
			       std::string(cmd->buf.data, cmd->buf.size)});
		if (log.size() > 1)
			log.back().due = std::max(log.back().due,
						  log[log.size() - 2].due);
		pk_out_done(cmd);
	}

	/* Whether the table has an instance before the one under an id. */
	bool is_of_former(const char *id)
	{
		const struct jtb_worker *known = jtb_worker(jtb, id);

		for (auto &o : workers)
			if (o->alive && o->id == id)
				return known && !known->restart_proposed &&
				       known->info.started_ms != o->born;
		return false;
	}

	void propose_end(const char *worker, uint64_t no,
			 const struct jtb_name *n, uint32_t attempt,
			 enum jtb_end how)
	{
		struct pk_out o;

		ended.insert({name_text(n), attempt});
		/* Also by a list that the instance before had sent. */
		if (no || is_of_former(worker))
			reported.insert({name_text(n), attempt});
		pk_out_init(&o);
		jtb_put_end(&o, worker, no, n, attempt, how, lstr_n("", 0),
			    JOBS_WALL_MS);
		propose(&o);
	}

	void propose_gone(struct jtb_worker *w, bool permanently)
	{
		struct pk_out o;

		if (w->removal_proposed)
			return;
		w->removal_proposed = permanently;
		/* By its lease, which says nothing of an instance to come. */
		for (auto &o : workers)
			if (o->alive && o->id == w->info.id)
				o->owed.clear();
		expirations += !permanently;
		pk_out_init(&o);
		jtb_put_worker_lost(&o, w->info.id, permanently);
		propose(&o);
	}

	void commit()
	{
		while (!log.empty() && log.front().due <= now()) {
			std::string bytes = log.front().bytes;
			struct pk_out o;

			log.erase(log.begin());
			pk_out_init(&o);
			pk_arr(&o, 1);
			msgpack_sbuffer_write(&o.buf, bytes.data(),
					      bytes.size());
			g_assert_true(jtb_apply(jtb, pk_out_view(&o)));
			pk_out_done(&o);
			wkr_on_commit(wkr);
		}
	}

	/* Passes the leader's batch of calls on, as the relay. */
	void relay(struct lstr payload)
	{
		struct pk_in in;
		struct pk_in rows;

		g_assert_true(pk_in_init(&in, payload));
		pk_skip(&in);
		pk_skip(&in);
		pk_skip(&in);
		rows = pk_get_arr(&in);
		while (pk_in_ok(&rows) && pk_in_left(&rows)) {
			struct pk_in row = pk_get_arr(&rows);
			struct pk_in headers;
			Call c;

			c.no = pk_get_u(&row);
			c.slot = atoi(text_of(pk_get_str(&row)).c_str() + 7);
			c.uri = text_of(pk_get_str(&row));
			c.timeout = pk_get_i(&row);
			pk_skip(&row);
			pk_skip(&row);
			pk_skip(&row);
			headers = pk_get_arr(&row);
			while (pk_in_ok(&headers) && pk_in_left(&headers)) {
				std::string name =
					text_of(pk_get_str(&headers));
				std::string value =
					text_of(pk_get_str(&headers));

				if (name == "Life")
					c.instance = value;
			}
			c.body = text_of(pk_get_str(&row));
			deliver(c);
		}
		pk_in_done(&in);
	}

	/* Decides what happens to a call in flight. */
	void deliver(const Call &c)
	{
		Worker *w = at(c.slot);
		bool list = c.uri == "/list";

		if (!w || w->partitioned_until > now()) {
			/* The connection is refused, or there is no answer. */
			bool refused = uniform() < 0.5;

			send_answer({now() + (refused ? 1 : c.timeout), c.no,
				     refused ? UPS_NOT_SENT : UPS_TIMEOUT, 0,
				     ""});
			return;
		}
		if (uniform() < (list ? faults.late_holds : faults.late)) {
			late++;
			w->late.push_back({now() + between(2000, 12000), c});
			send_answer(
				{now() + c.timeout, c.no, UPS_TIMEOUT, 0, ""});
			return;
		}
		if (uniform() < faults.lost) {
			/* Made or not, its end is not reported. */
			if (uniform() < 0.5)
				carry_out(w, c);
			return;
		}
		Answer a = carry_out(w, c);
		if (!list && uniform() < faults.unreadable)
			a.status = 500;
		send_answer(a);
	}

	void send_answer(const Answer &a)
	{
		answers.push_back(a);
	}

	/* Carries out a call on a worker. */
	Answer carry_out(Worker *w, const Call &c)
	{
		Answer a = {now() + 2, c.no, UPS_WHOLE, 200, ""};
		struct pk_in in;
		std::string task;
		uint32_t attempt;
		uint64_t fence_of;
		int64_t until;
		uint64_t ack;

		if (c.instance != w->id) {
			a.status = 421;
			a.body = clock_of(w);
			return a;
		}
		g_assert_true(
			pk_in_init(&in, lstr_n(c.body.data(), c.body.size())));
		task = text_of(pk_get_str(&in));
		attempt = (uint32_t)pk_get_u(&in);
		fence_of = pk_get_u(&in);
		until = pk_get_i(&in);
		ack = pk_get_u(&in);
		pk_in_done(&in);
		a.body = clock_of(w);
		if (fence_of < w->fence) {
			a.status = 412;
			return a;
		}
		w->fence = fence_of;
		/* No lease is longer, however the clock went that it is on. */
		until = std::min(until, w->clock(now()) + LEASE_MS);
		w->until = std::max(w->until, until);
		if (c.uri == "/list" && until)
			w->untold = false;
		if (c.uri == "/list") {
			acknowledge(w, ack);
			a.body = list_of(w);
			a.due += between(0, 200);
		} else if (c.uri == "/stop") {
			stop(w, task, attempt);
		} else if (c.uri == "/start") {
			a.status = start(w, task, attempt, until);
		}
		return a;
	}

	static std::string clock_of(const Worker *w)
	{
		struct pk_out o;
		std::string s;

		pk_out_init(&o);
		pk_arr(&o, 1);
		pk_i(&o, w->clock(the_simulation->now()));
		s.assign(o.buf.data, o.buf.size);
		pk_out_done(&o);
		return s;
	}

	std::string list_of(const Worker *w)
	{
		struct pk_out o;
		std::string s;

		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_i(&o, w->clock(now()));
		pk_arr(&o, w->running.size());
		for (auto &r : w->running) {
			pk_arr(&o, 2);
			pk_cstr(&o, r.first.c_str());
			pk_u(&o, r.second.attempt);
		}
		pk_arr(&o, w->ends.size());
		for (auto &e : w->ends) {
			pk_arr(&o, 4);
			pk_u(&o, e.no);
			pk_cstr(&o, e.task.c_str());
			pk_u(&o, e.attempt);
			pk_u(&o, e.how);
		}
		pk_i(&o, w->born);
		s.assign(o.buf.data, o.buf.size);
		pk_out_done(&o);
		return s;
	}

	/* Drops the ends up to ack, which the leader has committed. */
	void acknowledge(Worker *w, uint64_t ack)
	{
		while (!w->ends.empty() && w->ends.front().no <= ack) {
			const End &e = w->ends.front();

			if (e.how == JTB_DONE)
				acknowledged.insert(e.task);
			if (e.how == JTB_DONE && !e.stray &&
			    w->expired_at < e.at) {
				completed.insert(e.task);
				if (last_start[e.task] > e.at)
					violation =
						e.task + " began after its end";
			}
			w->ends.erase(w->ends.begin());
		}
	}

	void stop(Worker *w, const std::string &task, uint32_t attempt)
	{
		auto r = w->running.find(task);

		w->closed[task] = std::max(w->closed[task], attempt);
		if (r != w->running.end() && r->second.attempt <= attempt &&
		    !r->second.stop)
			r->second.stop = now() + between(0, MAX_STOP_MS);
	}

	int start(Worker *w, const std::string &task, uint32_t attempt,
		  int64_t until)
	{
		auto r = w->running.find(task);

		if (r != w->running.end())
			return r->second.attempt == attempt ? 200 : 410;
		if (attempt <= w->closed[task])
			return 410;
		if (w->until <= w->clock(now()))
			return 408;
		starts++;
		/* An end may have been in an answer on its way at the crash. */
		bool owes = w->owed.count(task) && w->owed[task] == attempt &&
			    !reported.count({task, attempt});
		bool stray = w->untold && !owes;

		for (auto &o : workers)
			if (!stray && o->alive && o->running.count(task) &&
			    !o->running[task].stray)
				violation = task + " runs on " + o->id +
					    " and " + w->id + " at " +
					    std::to_string(now());
		if (completed.count(task) && !w->untold)
			violation = task + " began anew on " + w->id;
		if (!stray)
			last_start[task] = now();
		w->running[task] = {attempt, now(), now() + between(200, 3000),
				    0, stray};
		return 200;
	}

	void record_end(Worker *w, const std::string &task, enum jtb_end how)
	{
		uint32_t attempt = w->running[task].attempt;
		bool stray = w->running[task].stray;

		w->running.erase(task);
		w->closed[task] = std::max(w->closed[task], attempt);
		w->ends.push_back(
			{w->next_no++, task, attempt, how, now(), stray});
	}

	/* Advances a worker by one step. */
	void advance(Worker *w)
	{
		std::vector<std::string> tasks;

		for (auto &r : w->running)
			tasks.push_back(r.first);
		for (auto &t : tasks) {
			const Run &r = w->running[t];

			if (w->until <= w->clock(now()))
				record_end(w, t, JTB_LEASE_EXPIRED);
			else if (r.stop && now() >= r.stop)
				record_end(w, t, JTB_STOPPED);
			else if (now() >= r.ends)
				record_end(w, t,
					   uniform() < 0.1 ? JTB_FAILED_RUN
							   : JTB_DONE);
		}
		if (w->until <= w->clock(now()))
			w->expired_at = now();
		for (size_t i = 0; i < w->late.size();) {
			if (w->late[i].first > now()) {
				i++;
				continue;
			}
			Call c = w->late[i].second;
			w->late.erase(w->late.begin() + (long)i);
			carry_out(w, c);
		}
		if (w->partitioned_until <= now() &&
		    now() - w->announced >= 300 && !lead_at)
			announce(w);
		if (w->exit_at && now() >= w->exit_at && !w->exit_reported &&
		    w->partitioned_until <= now() && !lead_at)
			report_exit(w);
		if (w->exit_at && now() >= w->exit_at + 3000)
			end(w);
	}

	/* Announces a worker to the leader. */
	void announce(Worker *w)
	{
		char *labels[] = {nullptr};
		std::string addr = "127.0.0" + std::to_string(w->slot) + ":1";
		struct jtb_worker_info info = {};
		struct pk_out o;
		struct jtb_worker *known_worker =
			jtb_worker(jtb, w->id.c_str());

		w->announced = now();
		addr = "worker:" + std::to_string(w->slot);
		info.id = (char *)w->id.c_str();
		info.pool = (char *)"p";
		info.addr = (char *)addr.c_str();
		info.zone = (char *)"z";
		info.labels = labels;
		info.cpu = 16000;
		info.mem_mb = 64000;
		info.draining = w->draining;
		info.started_ms = w->born;
		if (jtb_lifetime_is_over(jtb, info.id, info.started_ms) ||
		    !lif_is_valid(lif_judge(
			    known_worker ? known_worker->info.started_ms : 0,
			    info.started_ms, now())))
			return;
		if (known_worker && known_worker->info.started_ms &&
		    known_worker->info.started_ms != info.started_ms) {
			propose_restart(known_worker, &info);
			return;
		}
		if (known_worker)
			wkr_set_clock(wkr, known_worker, w->clock(now()));
		if (known_worker &&
		    jtb_worker_info_is_current(&known_worker->info, &info))
			return;
		pk_out_init(&o);
		jtb_put_worker(&o, &info);
		propose(&o);
	}

	/* Proposes a worker's next lifetime, as the leader. */
	void propose_restart(struct jtb_worker *w,
			     const struct jtb_worker_info *info)
	{
		GArray *kept = wkr_reachable_runs(w);
		struct jtb_blame none;
		struct pk_out o;

		if (!w->restart_proposed) {
			jtb_blame_init(&none);
			w->restart_proposed = true;
			pk_out_init(&o);
			jtb_put_worker_restarted(&o, info, kept, &none,
						 JOBS_WALL_MS);
			jtb_blame_clear(&none);
			propose(&o);
		}
		g_array_free(kept, TRUE);
	}

	void report_exit(Worker *w)
	{
		struct jtb_worker *known_worker =
			jtb_worker(jtb, w->id.c_str());
		struct pk_out o;

		w->exit_reported = true;
		if (!known_worker || known_worker->restart_proposed ||
		    known_worker->info.started_ms != w->born)
			return;
		pk_out_init(&o);
		jtb_put_worker_leaving(&o, w->id.c_str());
		propose(&o);
		wkr_poll(wkr, known_worker);
		/*
		 * If the confirmation is lost, the worker goes on for a while.
		 */
		if (uniform() < 0.5)
			w->exit_at = now() - 2900;
	}

	/*
	 * Returns what the table has on a worker, task and attempt, but for runs
	 * whose end is on its way into it.
	 */
	std::map<std::string, uint32_t> runs_of(const struct jtb_worker *w)
	{
		std::map<std::string, uint32_t> out;

		for (guint i = 0; i < w->runs->len; i++) {
			auto *run =
				(struct jtb_run *)g_ptr_array_index(w->runs, i);
			struct jtb_name n;

			jtb_name_of(run, &n);
			if (!ended.count({name_text(&n), run->attempt}))
				out[name_text(&n)] = run->attempt;
		}
		return out;
	}

	/* Ends a worker instance with all its runs. */
	void end(Worker *w)
	{
		std::vector<std::pair<int64_t, Call>> late_calls;
		std::string id;

		w->alive = false;
		w->running.clear();
		late_calls.swap(w->late);
		if (uniform() < faults.same_id)
			id = w->id;
		start_instance(w->slot);
		w = at(w->slot);
		w->partitioned_until = now() + between(100, 2000);
		if (id.empty())
			return;
		/*
		 * Orders on their way name only the id. Not holds: the ends
		 * that one acknowledges by the numbers of the instance before
		 * are forgotten by this one, which no leader can tell.
		 */
		w->id = id;
		w->untold = true;
		if (jtb_worker(jtb, id.c_str()))
			w->owed = runs_of(jtb_worker(jtb, id.c_str()));
		for (auto &l : late_calls)
			if (l.second.uri != "/list")
				w->late.push_back(l);
		restarts++;
	}

	/* Evaluates the list of VMs, as the leader. */
	void evaluate_vms()
	{
		GHashTableIter it;
		gpointer p;

		listed = now();
		g_hash_table_iter_init(&it, jtb_workers(jtb));
		while (g_hash_table_iter_next(&it, nullptr, &p)) {
			auto *w = (struct jtb_worker *)p;
			struct evd_vm vm = {};
			struct evd_moment m = {};
			struct evd e;

			for (auto &o : workers)
				if (w->info.id == o->id)
					vm.other = !o->alive;
			m.now_ms = now();
			vm.asked_ms = now();
			vm.listed = !vm.other;
			vm.up = true;
			if (evd_vm_over(&vm, wkr_unreachable_since(wkr, w), &m,
					&e))
				propose_gone(w, true);
		}
	}

	/* Starts the tasks without a run on usable workers. */
	void plan()
	{
		GHashTableIter it;
		gpointer p;

		for (int i = 0; i < jobs; i++) {
			struct jtb_job *job = jtb_job(jtb, job_id(i).c_str());

			for (uint32_t t = 0; !jtb_job_ended(job) && t < TASKS;
			     t++) {
				struct jtb_name n = {};
				std::vector<struct jtb_worker *> usable;
				const struct jtb_step_state *part =
					jtb_step_state(job, 0, 0);
				struct jtb_task task = {};
				struct pk_out o;

				n.index = t;
				g_strlcpy(n.id, job->spec.id, sizeof(n.id));
				if (part)
					task = part->tasks[t];
				if (task.done || task.run ||
				    task.start_proposed)
					continue;
				g_hash_table_iter_init(&it, jtb_workers(jtb));
				while (g_hash_table_iter_next(&it, nullptr, &p))
					if (wkr_usable(wkr,
						       (struct jtb_worker *)p))
						usable.push_back(
							(struct jtb_worker *)p);
				if (usable.empty())
					return;
				if (acknowledged.count(name_text(&n)))
					violation = name_text(&n) +
						    " is planned after its end";
				auto *w = usable[(size_t)between(
					0, (int64_t)usable.size() - 1)];
				jtb_propose_start(job, &n, w);
				pk_out_init(&o);
				jtb_put_start(&o, &n, task.attempt + 1,
					      w->info.id);
				propose(&o);
			}
		}
	}

	/* Stops the leader; some of its proposed commands are lost. */
	void change_leader()
	{
		size_t n_kept = (size_t)between(0, (int64_t)log.size());

		log.resize(n_kept);
		jtb_drop_proposals(jtb);
		wkr_stop_leading(wkr);
		answers.clear();
		lead_at = now() + between(600, 1500);
	}

	void lead()
	{
		lead_at = 0;
		while (!log.empty()) {
			log.front().due = now();
			commit();
		}
		jtb_drop_proposals(jtb);
		fence++;
		rly_set_term(rly, fence);
		wkr_lead(wkr, fence);
	}

	void inject_faults()
	{
		for (int i = 0; i < SLOTS; i++) {
			Worker *w = at(i);

			if (uniform() < faults.partition &&
			    w->partitioned_until <= now())
				w->partitioned_until =
					now() + between(300, 9000);
			if (uniform() < faults.leave && !w->exit_at) {
				w->draining = true;
				w->exit_at = now() + between(500, 4000);
			}
			if (uniform() < faults.crash)
				end(w);
		}
		if (!lead_at && uniform() < faults.change)
			change_leader();
	}

	void deliver_answers()
	{
		std::stable_sort(answers.begin(), answers.end(),
				 [](const Answer &a, const Answer &b) {
					 return a.due < b.due;
				 });
		while (!answers.empty() && answers.front().due <= now()) {
			Answer a = answers.front();
			struct pk_out o;
			struct pk_in in;

			answers.erase(answers.begin());
			pk_out_init(&o);
			pk_arr(&o, 2);
			pk_i(&o, now());
			pk_arr(&o, 1);
			pk_arr(&o, 4);
			pk_u(&o, a.no);
			pk_u(&o, a.end);
			pk_u(&o, (uint64_t)a.status);
			pk_str(&o, lstr_n(a.body.data(), a.body.size()));
			g_assert_true(pk_in_init(&in, pk_out_view(&o)));
			rly_on_answers(rly, "relay:1", &in);
			pk_in_done(&in);
			pk_out_done(&o);
		}
	}

	void step()
	{
		inject_faults();
		for (size_t i = 0; i < workers.size(); i++)
			if (workers[i]->alive)
				advance(workers[i].get());
		if (lead_at && now() >= lead_at)
			lead();
		if (!lead_at) {
			deliver_answers();
			commit();
			if (now() % 50 == 0)
				plan();
			if (now() - listed >= LIST_INTERVAL_MS)
				evaluate_vms();
		}
		tmr_advance(tmr, STEP_MS);
	}

	/* Removes all faults; returns whether all jobs then end. */
	bool all_jobs_end()
	{
		faults = NO_FAULTS;
		for (int i = 0; i < RECOVERY_STEPS && violation.empty(); i++) {
			bool all = true;

			step();
			for (int j = 0; j < jobs; j++)
				all = all && jtb_job_ended(jtb_job(
						     jtb, job_id(j).c_str()));
			if (all)
				return true;
		}
		return false;
	}
};

/* What a play with faults ended with. */
struct Outcome {
	std::string violation;
	bool all_ended;
	int late;
	int expirations;
	int restarts;
};

/* Plays a number of steps with faults, then without until all jobs end. */
Outcome play(uint64_t seed, const Faults &t, int steps)
{
	Simulation w(seed, t);
	bool all_ended;

	for (int i = 0; i < steps && w.violation.empty(); i++) {
		if (i * STEP_MS % JOB_INTERVAL_MS == 0)
			w.submit();
		w.step();
	}
	all_ended = w.violation.empty() && w.all_jobs_end();
	return {w.violation, all_ended, w.late, w.expirations, w.restarts};
}

/* Plays one case of a property, and checks the result. */
void simulate(uint64_t seed, const Faults &t, int steps)
{
	Outcome o = play(seed, t, steps);

	RC_ASSERT(o.violation == std::string());
	RC_ASSERT(o.all_ended);
	RC_CLASSIFY(o.late > 0, "with late orders");
	RC_CLASSIFY(o.expirations > 0, "with expired leases");
	RC_CLASSIFY(o.restarts > 0, "with restarts under the same id");
}

/* Workers that start again under their ids, beside late orders and cuts. */
const Faults RESTARTS = {0.3, 0.1, 0.02, 0.05, 0.0002, 0.0001, 0.001, 0, 0.9};

/* A play in which a task ran twice, and why. */
struct Regression {
	uint64_t seed;
	const char *guards_against;
};

const Regression REGRESSIONS[] = {
	{16093908228314515ULL,
	 "ends of a list that is read while a restart is proposed count as "
	 "ends of the next lifetime"},
	{248708337503ULL, "the same beside runs that last"},
	{1118605223759946167ULL,
	 "a worker that has started again gets a lease after one refused call, "
	 "and with it a late start of a task that is done"},
	{9865796886404ULL, "the same for a task that ran elsewhere"},
};

/* Plays the regressions; prints those that break a rule again. */
bool regressions_hold()
{
	bool ok = true;

	for (const Regression &r : REGRESSIONS) {
		Outcome o = play(r.seed, RESTARTS, 4000);

		if (o.all_ended)
			continue;
		std::cout << "seed " << r.seed << ", " << r.guards_against
			  << ": "
			  << (o.violation.empty() ? "not all jobs end"
						  : o.violation)
			  << std::endl;
		ok = false;
	}
	return ok;
}

} // namespace

int main()
{
	bool ok = rc::check(
		"no task runs twice where orders are late", [](uint64_t seed) {
			simulate(seed, {0.3, 0.1, 0, 0, 0.0005, 0, 0, 0, 0},
				 4000);
		});

	ok &= rc::check("no task runs twice where workers leave and crash",
			[](uint64_t seed) {
				simulate(seed,
					 {0.3, 0.05, 0.05, 0.05, 0.0002, 0.0004,
					  0.0004, 0, 0},
					 4000);
			});
	ok &= rc::check("no task runs twice where leaders change",
			[](uint64_t seed) {
				simulate(seed,
					 {0.2, 0.05, 0.02, 0.02, 0.0004, 0.0002,
					  0.0002, 0.002, 0},
					 4000);
			});
	ok &= rc::check("no task runs twice where workers restart under their "
			"ids, and no end of an earlier lifetime counts",
			[](uint64_t seed) { simulate(seed, RESTARTS, 4000); });
	ok &= regressions_hold();
	return ok ? 0 : 1;
}
