#include <rapidcheck.h>

#include "cns_sim.h"

using sim::Node;
using sim::Sim;

static void step(Sim &s)
{
	Node &n = *s.nodes[s.upto(s.nodes.size())];
	uint32_t dice = s.upto(1000);

	if (dice < 250) {
		s.tick(10 + s.upto(40));
	} else if (dice < 600) {
		s.deliver_all();
	} else if (dice < 700 && !s.net.empty()) {
		s.deliver(s.upto(s.net.size()), s.chance(0.3));
	} else if (dice < 740 && !s.net.empty()) {
		size_t i = s.upto(s.net.size());

		cns_msg_free(s.net[i]);
		s.net.erase(s.net.begin() + i);
	} else if (dice < 840) {
		if (n.c && !n.frozen)
			s.propose(n, s.chance(0.05) ? 150 << 10 : 16);
	} else if (dice < 880) {
		if (n.c && !n.frozen)
			s.read(n);
	} else if (dice < 900) {
		if (n.c)
			s.crash(n);
	} else if (dice < 930) {
		if (!n.c)
			s.start(n);
		n.frozen = false;
	} else if (dice < 940) {
		n.frozen = n.c && !n.frozen;
	} else if (dice < 955) {
		s.cuts.insert({s.upto(s.nodes.size()), n.place});
	} else if (dice < 965) {
		s.cuts.clear();
	} else if (dice < 980) {
		if (n.c && !n.frozen)
			s.compact(n);
	} else if (dice < 985) {
		if (n.c && !n.frozen && cns_hand_over(n.c) == CNS_DONE) {
			n.handed_over = cns_term(n.c);
			RC_ASSERT(cns_hands_over(n.c));
			s.pump(n);
		}
	} else if (dice < 988) {
		/* One disk at a time: two of three are beyond any promise. */
		if (s.repaired())
			s.replace(n.place);
	} else if (dice < 991) {
		s.power_loss(n.place);
	} else {
		s.repair();
	}
}

/* Delivers one message, but no empty entry that x could take. */
static bool deliver_old(Sim &s, Node &x)
{
	for (size_t k = 0; k < s.net.size(); k++) {
		cns_msg *m = s.net[k];

		if (m->entries && m->index <= cns_last(x.c) &&
		    g_bytes_get_size(
			    g_array_index(m->entries, cns_entry, 0).data) == 0)
			continue;
		s.deliver(k, false);
		return true;
	}
	return false;
}

int main()
{
	bool ok = true;

	/*
	 * Callers see each accepted command once and in one order, whatever
	 * is dropped, doubled, reordered, cut, frozen, restarted in the midst
	 * of a write or replaced, and the voters agree at the end.
	 */
	ok &= rc::check("accepted commands outlast every schedule", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto steps = *rc::gen::inRange(200, 3000);
		auto n = *rc::gen::element(3, 3, 5);
		Sim s(seed, n);

		s.crash_in_write = 0.01;
		for (int i = 0; i < steps; i++)
			step(s);
		s.settle();
		RC_TAG(s.reads_done > 0 ? "read" : "no read");
	});

	/*
	 * Callers find a leader again. All lose power at any moment of a repair
	 * or a hand-over, and where nothing was amiss one of them its disk;
	 * all start again, slowly or at once. Whoever has a disk is enough.
	 */
	ok &= rc::check("a leader comes back after a loss of power", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto n = *rc::gen::element(3, 3, 4, 5);
		auto losses = *rc::gen::inRange(1, 8);
		Sim s(seed, n);

		s.run(3000);
		while (losses-- > 0) {
			int place = (int)s.upto(n);
			Node *l = s.leader();

			if (l)
				s.propose(*l);
			if (l && s.chance(0.3) &&
			    cns_hand_over(l->c) == CNS_DONE)
				s.pump(*l);
			for (int i = (int)s.upto(8); i > 0; i--) {
				s.run(10 * s.upto(8));
				s.repair();
			}
			s.power_loss(place);
			for (auto &node : s.nodes) {
				if (!node->c)
					s.start(*node);
				s.run(10 * s.upto(100));
			}
		}
		s.settle();
	});

	/*
	 * Callers are refused while leadership moves. One voter died just now
	 * and has as much of the log as any; leadership goes to another, and
	 * doesn't wait for the dead one.
	 */
	ok &= rc::check("leadership is not handed to the dead", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		s.propose(*l);
		s.run(500);
		s.crash(*s.nodes[(l->place + 1 + (int)s.upto(2)) % 3]);
		s.run(600);
		RC_ASSERT(cns_hand_over(l->c) == CNS_DONE);
		s.pump(*l);
		s.run(300);
		RC_ASSERT((s.leader() != nullptr));
		RC_ASSERT((s.leader() != l));
	});

	/*
	 * Callers wait for a leader on machines so busy that each turn of a
	 * voter comes late. A late turn is a reason to listen once more before
	 * standing for election, but not for ever.
	 */
	ok &= rc::check("voters that always run late elect a leader", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto late_ms = *rc::gen::inRange(260, 480);
		Sim s(seed);
		int64_t end = s.now + 60000;

		while (!s.leader() && s.now < end) {
			s.tick(late_ms);
			s.deliver_all();
		}
		RC_ASSERT((s.leader() != nullptr));
	});

	/*
	 * A VM gets orders from two leaders. One of them was cut off, stood
	 * still or heard late answers, and orders as long as it is sure that
	 * it leads; a voter whose patience it counts on has elected another
	 * meanwhile. The network's every leader looks out for it (Sim::watch);
	 * here voters stand still, restart and hear late more than elsewhere.
	 */
	ok &= rc::check("while a leader is sure nobody else leads", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto n = *rc::gen::element(3, 3, 5);
		Sim s(seed, n);

		s.run(3000);
		for (int i = 0; i < 400; i++) {
			Node &x = *s.nodes[s.upto(n)];
			int a = s.upto(n);
			int b = s.upto(n);

			switch (s.upto(6)) {
			case 0:
				x.frozen = x.c && !x.frozen;
				break;
			case 1:
				if (x.c && s.chance(0.5))
					s.crash(x);
				break;
			case 2:
				if (!x.c)
					s.start(x);
				break;
			case 3:
				s.cuts.insert({a, b});
				break;
			case 4:
				s.cuts.clear();
				break;
			default:
				break;
			}
			for (uint32_t k = s.upto(20); k > 0; k--) {
				s.tick(10 + s.upto(30));
				if (s.chance(0.7))
					s.deliver_all();
			}
		}
		RC_ASSERT(s.sure_leads > 0);
	});

	/*
	 * The same, aimed. A voter has just answered the leader, which is then
	 * cut off; another voter that heard nothing for long asks it for its
	 * vote. It would give it too early if it had forgotten the leader in a
	 * restart, or had read the leader's word after it stood still and put
	 * it down to the time before.
	 */
	ok &= rc::check("a voter owes its patience whatever befell it", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto restarts = *rc::gen::arbitrary<bool>();
		auto still_ms = *rc::gen::inRange(300, 450);
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		Node &voter = *s.nodes[(l->place + 1) % 3];
		int other = (l->place + 2) % 3;
		auto cut = [&](int a, int b) {
			s.cuts.insert({a, b});
			s.cuts.insert({b, a});
		};

		cut(other, l->place);
		cut(other, voter.place);
		s.run(2000);
		RC_ASSERT(cns_role(l->c) == CNS_LEADER);
		voter.frozen = !restarts;
		s.run(restarts ? 0 : still_ms);
		voter.frozen = false;
		s.deliver_all();
		s.deliver_all();
		RC_ASSERT(cns_role(l->c) == CNS_LEADER);
		s.cuts.clear();
		cut(l->place, other);
		cut(l->place, voter.place);
		if (restarts) {
			s.crash(voter);
			s.start(voter);
		}
		s.run(5000);
		RC_ASSERT((s.leader() != nullptr && s.leader() != l));
	});

	/*
	 * The same by a hand-over. The leader asks an heir to take its place,
	 * which stands still; the leader goes on, orders again, and then the
	 * heir wakes and finds the old word. It must let it be.
	 */
	ok &= rc::check("an heir that stood still doesn't take over", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		Node *heir = nullptr;

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		RC_ASSERT(cns_hand_over(l->c) == CNS_DONE);
		RC_ASSERT(cns_hands_over(l->c));
		s.pump(*l);
		for (auto m : s.net)
			if (m->kind == CNS_HAND_OVER)
				heir = s.at(m->to);
		RC_ASSERT((heir != nullptr));
		heir->frozen = true;
		s.run(2000);
		RC_ASSERT((s.leader() == l && !cns_hands_over(l->c)));
		heir->frozen = false;
		s.deliver_all();
		s.run(100);
		RC_ASSERT((s.leader() == l));
	});

	/*
	 * Operators see a leader that goes on. A voter sits behind a cut for
	 * long and its timeouts pass over and over; then the cut heals. Had
	 * it raised its term meanwhile, the leader would have to step down.
	 */
	ok &= rc::check("a voter back from a cut disturbs nobody", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto cut_ms = *rc::gen::inRange(2000, 60000);
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		uint64_t term = cns_term(l->c);
		int lost = (l->place + 1) % 3;

		for (int i = 0; i < 3; i++) {
			s.cuts.insert({i, lost});
			s.cuts.insert({lost, i});
		}
		for (int i = 0; i < 20; i++)
			s.propose(*l);
		s.run(cut_ms);
		s.cuts.clear();
		s.run(3000);
		RC_ASSERT((s.leader() == l));
		RC_ASSERT(cns_term(l->c) == term);
		RC_ASSERT(s.nodes[lost]->applied == l->applied);
	});

	/*
	 * A client of a leader that is cut off gets an end in bounded time:
	 * the leader hears no quorum for one patience and steps down, and its
	 * reads end as failed instead of waiting for the cut to heal.
	 */
	ok &= rc::check("a leader without a quorum steps down", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		for (int i = 0; i < 3; i++)
			if (i != l->place) {
				s.cuts.insert({i, l->place});
				s.cuts.insert({l->place, i});
			}
		s.read(*l);
		s.propose(*l);
		s.run(700);
		RC_ASSERT(cns_role(l->c) != CNS_LEADER);
		RC_ASSERT(l->reads.empty());
		s.run(5000);
		RC_ASSERT((s.leader() != nullptr));
	});

	/*
	 * An accepted command survives this: a leader writes an entry that
	 * only it holds; another, elected without it, writes its own at the
	 * same place and dies; the first comes back and copies its old entry
	 * to a quorum, but its new one is still on the way when it dies too.
	 * Counting the old one as committed would lose it to the second.
	 */
	ok &= rc::check("only entries of the own term are counted", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		const size_t large = 200 << 10;
		Sim s(seed);

		s.run(3000);
		Node *a = s.leader();
		RC_ASSERT((a != nullptr));
		Node *b = s.nodes[(a->place + 1) % 3].get();
		Node *c = s.nodes[(a->place + 2) % 3].get();
		auto part = [&s](Node *x) {
			for (int i = 0; i < 3; i++) {
				s.cuts.insert({i, x->place});
				s.cuts.insert({x->place, i});
			}
		};

		part(a);
		s.propose(*a, large); /* only on a */
		s.propose(*a, large);
		s.crash(*a);
		while (!s.leader())
			s.run(10);
		/* The winner writes alone, too. */
		Node *w = s.leader();
		Node *o = w == b ? c : b;
		part(o);
		s.propose(*w, large);
		s.crash(*w);
		s.cuts.clear();
		s.forget_net();
		s.start(*a);
		for (int i = 0; i < 3000 && cns_role(a->c) != CNS_LEADER; i++)
			s.run(10);
		RC_ASSERT(cns_role(a->c) == CNS_LEADER);
		/* What a wrote first arrives; its entry of this term doesn't. */
		while (cns_commit(a->c) < 3 && deliver_old(s, *o))
			;
		RC_ASSERT(cns_last(o->c) >= 3u);
		s.crash(*a);
		s.forget_net();
		s.start(*w);
		s.run(5000);
		s.settle();
	});

	/*
	 * Operators' commands go on during a repair. One of three lost its
	 * folder; the newcomer is let in but cut off before it has anything.
	 * Counted at once it would make a quorum three of four, of which only
	 * two can be reached.
	 */
	ok &= rc::check("a newcomer counts only once it has caught up", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		s.propose(*l);
		s.run(500);
		int lost = (l->place + 1 + (int)s.upto(2)) % 3;
		for (int i = 0; i < 3; i++) {
			s.cuts.insert({i, lost});
			s.cuts.insert({lost, i});
		}
		s.replace(lost);
		for (int i = 0; i < 10; i++) {
			s.repair();
			s.run(300);
		}
		size_t before = s.accepted.size();
		RC_ASSERT((s.leader() && s.propose(*s.leader())));
		s.run(1000);
		RC_ASSERT(s.accepted.size() == before + 1);
		s.settle();
	});

	/* Guards against a repair that waits for the load to end. */
	ok &= rc::check("a newcomer catches up under a steady stream", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		int rounds = 1 + (int)s.upto(10);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		int lost = (l->place + 1 + (int)s.upto(2)) % 3;
		s.replace(lost);
		for (int i = 0; i < 300 && !s.whole(*l); i++) {
			RC_ASSERT(s.propose(*l));
			s.run_with_far(10, s.nodes[lost]->id, rounds);
			s.repair();
		}
		RC_ASSERT(s.whole(*l));
		RC_ASSERT(cns_match(l->c, s.nodes[lost]->id) < cns_last(l->c));
		s.forget_net();
		s.settle();
	});

	/* Guards against copies that keep a slow newcomer behind. */
	ok &= rc::check("what is under way isn't sent again", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		int rounds = 12 + (int)s.upto(10);
		int lost;

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		for (int i = 0; i < 200; i++) {
			RC_ASSERT(s.propose(*l));
			s.run(10);
		}
		lost = (l->place + 1 + (int)s.upto(2)) % 3;
		s.replace(lost);
		for (int i = 0; i < 200; i++) {
			RC_ASSERT(s.propose(*l));
			s.run_with_far(10, s.nodes[lost]->id, rounds);
			s.repair();
		}
		RC_ASSERT(s.far_entries > 200u);
		RC_ASSERT(s.far_entries < 2 * cns_last(l->c));
		s.forget_net();
		s.settle();
	});

	/*
	 * Two leaders in one term would each tell clients of accepted
	 * commands. A voter answers one candidate, loses what it had not
	 * synced in a restart, and another candidate of the same term asks.
	 */
	ok &= rc::check("a vote outlasts a restart", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		std::map<uint64_t, uint64_t> votes;

		s.run(3000);
		s.forget_net();
		s.crash_in_write = 0.2;
		for (int i = 0; i < 100; i++) {
			Node &n = *s.nodes[1];
			cns_msg m = {};

			if (!n.c)
				s.start(n);
			m.kind = CNS_VOTE_ASK;
			m.from = s.chance(0.5) ? 1 : 3;
			m.to = n.id;
			m.term = 20 + i / 10;
			m.now = true;
			m.index = s.chance(0.3) ? 0 : 100;
			m.log_term = m.index ? 20 : 0;
			cns_step(n.c, &m);
			s.pump(n);
			for (auto a : s.net) {
				if (a->kind != CNS_VOTE_ANSWER || !a->ok)
					continue;
				auto v = votes.emplace(a->term, a->to).first;
				RC_ASSERT(v->second == a->to);
			}
			s.forget_net();
			if (n.c && s.chance(0.3))
				s.crash(n);
		}
	});
	return ok ? 0 : 1;
}
