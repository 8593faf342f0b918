#include <rapidcheck.h>

#include <random>
#include <vector>

extern "C" {
#include "vtp.h"
}

namespace
{

const int64_t LONG_MS = 60000;
const size_t MEMBERS_MAX = 15;
const char *const zones[] = {"", "a", "b", "c", "d"};

/* A group whose members fail, come back and are replaced at random. */
struct Group {
	std::mt19937 rng;
	std::vector<vtp_member> m;
	vtp_group g = {};
	uint64_t next_id = 1;

	Group(uint32_t seed, const char *way, int losses) : rng(seed)
	{
		g.way = vtp_find(way);
		g.voters_min = 2 * losses + 1;
		for (int i = 0; i < 3; i++) {
			add();
			m.back().voter = true;
		}
		m[0].self = true;
	}
	uint32_t below(uint32_t n)
	{
		return rng() % n;
	}
	void add()
	{
		vtp_member n = {};

		if (m.size() == MEMBERS_MAX)
			return;
		n.id = next_id++;
		n.zone = zones[below(5)];
		n.steady_ms = below(2 * VTP_STEADY_MS);
		n.ready = n.steady_ms && below(2);
		m.push_back(n);
	}
	void fault()
	{
		g.even_ms = below(2 * VTP_EVEN_MS);
		if (below(4) == 0)
			add();
		vtp_member &x = m[below(m.size())];
		if (x.self || x.folder_lost)
			return;
		switch (below(4)) {
		case 0:
			x.ready = false;
			x.steady_ms = 0;
			x.silent_ms = below(2 * VTP_DEAD_MS);
			break;
		case 1:
			x.silent_ms = 0;
			x.steady_ms = 1 + below(2 * VTP_STEADY_MS);
			x.ready = below(2);
			break;
		case 2:
			if (below(4))
				break;
			x.folder_lost = true;
			x.successor = below(2);
			x.ready = false;
			x.steady_ms = 0;
			break;
		default:
			break;
		}
	}
	static bool lost(const vtp_member &x)
	{
		return x.folder_lost || x.silent_ms >= VTP_REPLACE_MS;
	}
	int voters() const
	{
		int n = 0;

		for (auto &x : m)
			n += x.voter;
		return n;
	}
	int alive() const
	{
		int n = 0;

		for (auto &x : m)
			n += x.voter && !lost(x);
		return n;
	}
	/* Makes the next change and checks it; false if there is none. */
	bool step()
	{
		g.m = m.data();
		g.n = (int)m.size();
		g.full = m.size() == MEMBERS_MAX;
		vtp_change c = vtp_next(&g);
		bool quorum = 2 * alive() > voters();
		size_t i = 0;

		if (c.kind == VTP_NONE)
			return false;
		while (i < m.size() && m[i].id != c.id)
			i++;
		RC_ASSERT(i < m.size());
		vtp_member x = m[i];
		if (c.kind == VTP_PROMOTE) {
			RC_ASSERT((!x.voter && x.ready));
		} else {
			RC_ASSERT(!x.self);
			RC_ASSERT((c.kind == VTP_REMOVE || x.voter));
			if (x.voter && !x.folder_lost)
				RC_ASSERT(voters() >
					  std::min(g.voters_min, g.n - 1));
		}
		m[i].voter = c.kind == VTP_PROMOTE;
		if (c.kind == VTP_REMOVE)
			m.erase(m.begin() + (long)i);
		RC_ASSERT((!quorum || 2 * alive() > voters()));
		return true;
	}
	/* Ends the faults: the silent stay silent, the others catch up. */
	void rest()
	{
		for (auto &x : m) {
			x.successor = x.folder_lost;
			x.silent_ms = lost(x) ? LONG_MS : 0;
			x.steady_ms = lost(x) ? 0 : LONG_MS;
			x.ready = !lost(x);
		}
		g.even_ms = LONG_MS;
	}
};

} // namespace

int main()
{
	bool ok = true;

	/*
	 * Guards against a change that costs the quorum, takes the leader's
	 * vote or leaves fewer voters than bear the losses; and against changes
	 * without end, or an even number, once nothing fails any more.
	 */
	ok &= rc::check("every change keeps the quorum, and they end", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto way = *rc::gen::element("odd", "all", "fewest");
		auto losses = *rc::gen::inRange(0, 3);
		auto faults = *rc::gen::inRange(0, 200);
		Group t(seed, way, losses);
		size_t changes = 0;

		for (int i = 0; i < faults; i++) {
			t.fault();
			for (uint32_t k = t.below(3); k > 0; k--)
				t.step();
		}
		t.rest();
		while (t.step())
			RC_ASSERT(++changes < 4 * MEMBERS_MAX);
		RC_ASSERT((way == std::string("all") || t.voters() < 3 ||
			   t.voters() % 2 == 1));
	});

	/*
	 * Guards against a member that comes and goes and causes a change each
	 * time, though another has taken its place.
	 */
	ok &= rc::check("a member that comes and goes changes little", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto members = *rc::gen::element(4, 6, 8);
		Group t(seed, "odd", 1);
		size_t changes = 0;

		while ((int)t.m.size() < members)
			t.add();
		t.rest();
		while (t.step())
			;
		vtp_member *x = &t.m[1 + t.below(members - 1)];
		for (int i = 0; i < 20; i++) {
			x->ready = i % 2;
			x->steady_ms = i % 2 ? VTP_STEADY_MS : 0;
			x->silent_ms = i % 2 ? 0 : VTP_REPLACE_MS;
			while (t.step())
				changes++;
		}
		RC_ASSERT(changes <= 2u);
	});
	return ok ? 0 : 1;
}
