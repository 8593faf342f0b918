#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include <rapidcheck.h>

/* A member of struct adm_request is named by a keyword of this language. */
#define class class_
extern "C" {
#include "adm.h"
}
#undef class

/*
 * Checks random sequences of offers, answers, failures, cancellations and
 * target changes against a simple reference model of the requests.
 */

namespace
{

const int64_t MS = 1000;
const int SLOTS = 3;
const int TARGETS = 4;
const int ZONES = 3; /* the own zone is 0 */

enum Op {
	OFFER,
	OFFER_MORE,
	DONE,
	RETRY,
	HEDGE,
	CANCEL,
	TARGET,
	LEASE,
	BUSY,
	CAPACITY,
	PASS_TIME,
	OPS
};

struct Step {
	int op;
	uint32_t a;
	uint32_t b;
};

/* Prints a step of a failing sequence, for rapidcheck. */
void showValue(const Step &s, std::ostream &os)
{
	os << s.op << ":" << s.a << ":" << s.b;
}

enum State {
	QUEUED,
	RUNNING,
	SHIFTED,
	ENDED
};

/* The expected state of one request; a hedge has a Call of its own. */
struct Call {
	State state;
	bool repeatable;
	bool from_other_zone;
	bool was_shifted;
	int n_ended; /* how often the request ended: must be once */
	adm_ticket ticket;
	std::pair<uint64_t, int> at; /* target handle and incarnation */
	int zone;
};

struct Target {
	adm_target_state state = ADM_REMOVED;
	int64_t lease = ADM_NEVER;
	int incarnation = 0;
};

class Model
{
      public:
	Model(uint64_t seed)
	{
		adm_config conf = {};
		adm_pool_spec pool = {};

		conf.seed = seed;
		conf.entries = 1;
		conf.queue_max = 40;
		pool.slots = SLOTS;
		pool.conns = 64;
		pool.queue_us = 50 * MS;
		pool.deadline_us = 200 * MS;
		adm = adm_new(&conf);
		RC_ASSERT(adm_pool_set(adm, 0, &pool));
	}

	~Model()
	{
		adm_free(adm);
	}

	void step(const Step &s)
	{
		apply(s);
		poll();
	}

	/* Ends all running requests, after which no request may be left. */
	void finish()
	{
		for (auto &c : calls)
			if (c.state == RUNNING || c.state == SHIFTED)
				end(c, ADM_DONE_OK, 10 * MS);
		now += 1000 * MS;
		poll();
		for (auto &c : calls)
			if (c.state == RUNNING || c.state == SHIFTED)
				end(c, ADM_DONE_OK, 10 * MS);
		for (auto &c : calls)
			RC_ASSERT(c.state == ENDED && c.n_ended == 1);
		RC_ASSERT(adm_stats(adm).in_queue == 0u);
		RC_ASSERT(adm_stats(adm).in_flight == 0u);
		RC_ASSERT(adm_stats(adm).in_shift == 0u);
	}

      private:
	struct adm *adm;
	int64_t now = 1;
	std::vector<Call> calls;
	std::map<uint64_t, Target> targets;
	std::map<std::pair<uint64_t, int>, int> running;
	std::map<int, int> shifted; /* in flight, by zone */
	std::map<int, int> allowed; /* maximum in flight, by zone */
	std::map<int, int> peak; /* since the last report of no capacity */
	int accepted = 0;

	void apply(const Step &s)
	{
		switch (s.op) {
		case OFFER:
		case OFFER_MORE:
			offer(s);
			break;
		case DONE:
			if (Call *c = pick(s.a, false))
				end(*c, outcome(s.b), (int)(s.b % 40) * MS);
			break;
		case RETRY:
			if (Call *c = pick(s.a, false))
				retry(*c, outcome(s.b));
			break;
		case HEDGE:
			if (Call *c = pick(s.a, false))
				hedge(*c);
			break;
		case CANCEL:
			if (Call *c = pick(s.a, true))
				cancel(*c);
			break;
		case TARGET:
		case LEASE:
			target(s);
			break;
		case BUSY:
			adm_target_set_busy(adm, now, s.a % TARGETS,
					    (int)(s.b % (SLOTS + 1)));
			break;
		case CAPACITY:
			report_capacity(1 + (int)(s.a % (ZONES - 1)), s.b % 6);
			break;
		case PASS_TIME:
			now += s.a % (30 * MS);
			break;
		}
	}

	static adm_outcome outcome(uint32_t b)
	{
		const adm_outcome all[] = {ADM_DONE_OK,	    ADM_DONE_OK,
					   ADM_DONE_BUSY,   ADM_DONE_UNSENT,
					   ADM_DONE_FAILED, ADM_DONE_TIMEOUT};

		return all[b % 6];
	}

	/* Returns a request in flight or, if waiting is set, a waiting one. */
	Call *pick(uint32_t a, bool waiting)
	{
		std::vector<Call *> live;

		for (auto &c : calls)
			if (c.state == RUNNING || c.state == SHIFTED ||
			    (waiting && c.state == QUEUED))
				live.push_back(&c);
		return live.empty() ? nullptr : live[a % live.size()];
	}

	void offer(const Step &s)
	{
		adm_request r = {};
		std::string caller = "c" + std::to_string(s.a % 4);
		Call c = {};
		size_t i = calls.size();

		r.caller = lstr{caller.data(), caller.size()};
		r.class_ = (adm_class)(s.a / 4 % ADM_CLASSES);
		r.repeatable = s.b & 1;
		r.shifted = s.b % 16 == 2;
		r.deadline_us = s.b & 4 ? now + 20 * MS : 0;
		r.size_hint = s.b / 8 % 3 * 1000;
		c.repeatable = r.repeatable;
		c.from_other_zone = r.shifted;
		c.state = QUEUED;
		calls.push_back(c);
		apply_verdict(adm_offer(adm, now, &r, nullptr), i);
		accepted += calls[i].state != ENDED;
	}

	/*
	 * Returns the index of a waiting request. It is found by its ticket, as
	 * a hedge has the same user as its first attempt.
	 */
	size_t waiting_index(adm_ticket ticket)
	{
		size_t i = 0;

		while (i < calls.size() &&
		       (calls[i].state != QUEUED || calls[i].ticket != ticket))
			i++;
		RC_ASSERT(i < calls.size());
		return i;
	}

	/* Removes a request from the count of its target or zone. */
	void release(Call &c)
	{
		if (c.state == RUNNING) {
			running[c.at]--;
			return;
		}
		shifted[c.zone]--;
	}

	void set_ended(Call &c)
	{
		RC_ASSERT(c.state != ENDED);
		c.state = ENDED;
		c.n_ended++;
	}

	void end(Call &c, adm_outcome o, int64_t service)
	{
		adm_result res = {};

		res.outcome = o;
		res.service_us = service;
		res.busy = -1;
		release(c);
		RC_ASSERT(adm_done(adm, now, c.ticket, &res));
		RC_ASSERT(!adm_done(adm, now, c.ticket, &res));
		set_ended(c);
	}

	void retry(Call &c, adm_outcome o)
	{
		adm_result res = {};
		bool may_have_run =
			o == ADM_DONE_FAILED || o == ADM_DONE_TIMEOUT;
		adm_verdict v;

		if (o == ADM_DONE_OK)
			return;
		res.outcome = o;
		res.busy = -1;
		release(c);
		c.state = QUEUED;
		v = adm_retry(adm, now, c.ticket, &res);
		if (may_have_run && !c.repeatable)
			RC_ASSERT(v.kind == ADM_REFUSE &&
				  v.reason == ADM_MAY_HAVE_RUN);
		apply_verdict(v, (size_t)(&c - calls.data()));
	}

	void hedge(const Call &first)
	{
		adm_verdict v = adm_hedge(adm, now, first.ticket);
		Call c = first;

		if (v.kind == ADM_REFUSE)
			return;
		RC_ASSERT(v.kind == ADM_RUN && first.repeatable);
		RC_ASSERT(v.target != first.at.first ||
			  targets[v.target].incarnation != first.at.second);
		c.state = QUEUED;
		c.n_ended = 0;
		calls.push_back(c);
		apply_verdict(v, calls.size() - 1);
	}

	void cancel(Call &c)
	{
		if (c.state != QUEUED)
			release(c);
		RC_ASSERT(adm_cancel(adm, now, c.ticket));
		RC_ASSERT(!adm_cancel(adm, now, c.ticket));
		set_ended(c);
	}

	void target(const Step &s)
	{
		uint64_t handle = s.a % TARGETS;
		adm_target_spec spec = {};
		Target &t = targets[handle];

		spec.state = (adm_target_state)(s.b % 3);
		spec.lease_until_us = ADM_NEVER;
		if (s.op == LEASE) {
			spec.state = ADM_SERVING;
			spec.lease_until_us = now + s.b % (60 * MS);
		}
		if (spec.state == ADM_REMOVED && t.state != ADM_REMOVED)
			t.incarnation++;
		t.state = spec.state;
		t.lease = spec.lease_until_us;
		RC_ASSERT(adm_target_set(adm, now, handle, &spec));
	}

	void report_capacity(int zone, uint32_t spare)
	{
		struct adm_spare_capacity r = {};

		r.slots = 10;
		r.free = spare;
		adm_set_zone_capacity(adm, now, 0, zone, r, 0);
		if (!spare)
			peak[zone] = shifted[zone];
		allowed[zone] = peak[zone] + (int)spare;
	}

	/* Checks a verdict against the model and applies it to request i. */
	void apply_verdict(const adm_verdict &v, size_t i)
	{
		Call &c = calls[i];

		RC_ASSERT(c.state == QUEUED);
		c.ticket = v.ticket;
		if (v.kind == ADM_RUN)
			run(c, v);
		else if (v.kind == ADM_SHIFT)
			shift(c, v);
		else if (v.kind == ADM_REFUSE)
			set_ended(c);
		else
			RC_ASSERT(!c.from_other_zone);
		check_budget();
	}

	void run(Call &c, const adm_verdict &v)
	{
		const Target &t = targets[v.target];

		RC_ASSERT(t.state == ADM_SERVING);
		RC_ASSERT(now < t.lease);
		c.at = {v.target, t.incarnation};
		c.state = RUNNING;
		RC_ASSERT(++running[c.at] <= SLOTS);
	}

	void shift(Call &c, const adm_verdict &v)
	{
		RC_ASSERT(!c.from_other_zone && !c.was_shifted);
		RC_ASSERT(v.zone > 0 && v.zone < ZONES);
		c.state = SHIFTED;
		c.was_shifted = true;
		c.zone = v.zone;
		RC_ASSERT(++shifted[v.zone] <= allowed[v.zone]);
		peak[v.zone] = std::max(peak[v.zone], shifted[v.zone]);
	}

	void check_budget()
	{
		struct adm_stats s = adm_stats(adm);

		RC_ASSERT((double)(s.retries + s.hedges) <=
			  10 + 0.1 * (accepted + 1));
	}

	void poll()
	{
		adm_verdict out[3];
		int64_t next = now;

		while (next == now) {
			size_t n = adm_poll(adm, now, out, 3, &next);

			for (size_t i = 0; i < n; i++)
				apply_verdict(out[i],
					      waiting_index(out[i].ticket));
		}
		RC_ASSERT((next == ADM_NEVER) ==
			  (adm_stats(adm).in_queue == 0));
	}
};

std::vector<Step> any_steps()
{
	const auto one = rc::gen::map(
		rc::gen::tuple(rc::gen::inRange(0, (int)OPS),
			       rc::gen::inRange<uint32_t>(0, 1u << 20),
			       rc::gen::inRange<uint32_t>(0, 1u << 20)),
		[](const std::tuple<int, uint32_t, uint32_t> &t) {
			return Step{std::get<0>(t), std::get<1>(t),
				    std::get<2>(t)};
		});

	return *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(one));
}

/*
 * Two callers always have requests waiting, and one sends many more. For any
 * service times, their slot times differ by no more than the requests that run
 * concurrently plus one of the longest.
 */
void check_fairness()
{
	adm_config conf = {};
	adm_pool_spec pool = {};
	adm_target_spec serving = {};
	const auto times = *rc::gen::container<std::vector<int64_t>>(
		300, rc::gen::inRange<int64_t>(1 * MS, 20 * MS));
	const int extra = *rc::gen::inRange(1, 8);
	struct adm *adm;
	int users[2];
	int64_t got[2] = {0, 0};
	std::vector<adm_verdict> held;
	int64_t now = 1;

	conf.entries = 1;
	pool.slots = SLOTS;
	pool.conns = 64;
	pool.queue_us = pool.deadline_us = 1000000 * MS;
	serving.lease_until_us = ADM_NEVER;
	adm = adm_new(&conf);
	adm_pool_set(adm, 0, &pool);
	adm_target_set(adm, 0, 1, &serving);
	for (size_t i = 0; i < times.size(); i++) {
		adm_verdict out[1];
		int64_t next;

		for (int k = 0; k < 1 + extra; k++) {
			const char *name = k ? "many" : "few";
			adm_request r = {};
			adm_verdict v;

			r.caller = lstr{name, 3};
			r.class_ = ADM_NORMAL;
			v = adm_offer(adm, now, &r, &users[k > 0]);
			if (v.kind == ADM_RUN)
				held.push_back(v);
		}
		adm_result res = {};
		adm_verdict v = held.front();

		held.erase(held.begin());
		res.outcome = ADM_DONE_OK;
		res.service_us = times[i];
		res.busy = -1;
		got[(int *)v.user - users] += times[i];
		now += times[i];
		adm_done(adm, now, v.ticket, &res);
		if (adm_poll(adm, now, out, 1, &next))
			held.push_back(out[0]);
	}
	adm_free(adm);
	RC_ASSERT(std::abs(got[0] - got[1]) <= (2 * SLOTS + 1) * 20 * MS);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("any sequence of events matches the model", [] {
		Model model(*rc::gen::inRange<uint64_t>(0, 1000));

		for (const auto &s : any_steps())
			model.step(s);
		model.finish();
	});
	ok &= rc::check("callers share slot time equally", check_fairness);
	return ok ? 0 : 1;
}
