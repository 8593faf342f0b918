#include <rapidcheck.h>

#include "cns_sim.h"

using sim::Node;
using sim::Sim;

static void random_step(Sim &s)
{
	Node &n = *s.nodes[s.below(s.nodes.size())];
	uint32_t action = s.below(1000);

	if (action < 250) {
		s.tick(10 + s.below(40));
	} else if (action < 600) {
		s.deliver_all();
	} else if (action < 700 && !s.net.empty()) {
		s.deliver(s.below(s.net.size()), s.chance(0.3));
	} else if (action < 740 && !s.net.empty()) {
		size_t i = s.below(s.net.size());

		cns_msg_free(s.net[i]);
		s.net.erase(s.net.begin() + i);
	} else if (action < 840) {
		if (n.c && !n.paused)
			s.propose(n, s.chance(0.05) ? 150 << 10 : 16);
	} else if (action < 880) {
		if (n.c && !n.paused)
			s.read(n);
	} else if (action < 900) {
		if (n.c)
			s.crash(n);
	} else if (action < 930) {
		if (!n.c)
			s.start(n);
		n.paused = false;
	} else if (action < 940) {
		n.paused = n.c && !n.paused;
	} else if (action < 955) {
		s.partitions.insert({s.below(s.nodes.size()), n.machine});
	} else if (action < 965) {
		s.partitions.clear();
	} else if (action < 980) {
		if (n.c && !n.paused)
			s.compact(n);
	} else if (action < 985) {
		if (n.c && !n.paused &&
		    cns_transfer_leadership(n.c) == CNS_OK) {
			n.transfer_term = cns_term(n.c);
			RC_ASSERT(cns_transfer_pending(n.c));
			s.pump(n);
		}
	} else if (action < 988) {
		/* One disk at a time: the loss of two may lose data. */
		if (s.repaired())
			s.replace(n.machine);
	} else if (action < 991) {
		s.power_loss(n.machine);
	} else if (action < 994) {
		s.demote(n);
	} else {
		s.repair();
	}
}

/* Delivers one message, except an empty (no-op) entry that x could append. */
static bool deliver_old_entry(Sim &s, Node &x)
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
	 * Guards against lost, duplicated or reordered commands and diverging
	 * logs. Messages are dropped, duplicated, reordered or blocked by
	 * partitions; nodes are paused, crashed in the middle of a write,
	 * restarted or replaced.
	 */
	ok &= rc::check("accepted commands survive every schedule", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto steps = *rc::gen::inRange(200, 3000);
		auto n = *rc::gen::element(3, 4, 5);
		Sim s(seed, n);

		s.crash_in_write = 0.01;
		for (int i = 0; i < steps; i++)
			random_step(s);
		s.heal_and_check();
		RC_TAG(s.reads_done > 0 ? "read" : "no read");
	});

	/*
	 * Guards against a cluster without a leader after a power loss. All
	 * nodes crash at any moment of a repair or a leadership transfer, and
	 * one of them loses its disk unless a repair is in progress; they
	 * restart at once or one after another. The nodes with a disk must be
	 * enough.
	 */
	ok &= rc::check("a leader is elected after a power loss", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto n = *rc::gen::element(3, 3, 4, 5);
		auto losses = *rc::gen::inRange(1, 8);
		Sim s(seed, n);

		s.run(3000);
		while (losses-- > 0) {
			int machine = (int)s.below(n);
			Node *l = s.leader();

			if (l)
				s.propose(*l);
			if (l && s.chance(0.3) &&
			    cns_transfer_leadership(l->c) == CNS_OK)
				s.pump(*l);
			for (int i = (int)s.below(8); i > 0; i--) {
				s.run(10 * s.below(8));
				if (s.chance(0.2))
					s.demote(*s.nodes[s.below(n)]);
				s.repair();
			}
			s.power_loss(machine);
			for (auto &node : s.nodes) {
				if (!node->c)
					s.start(*node);
				s.run(10 * s.below(100));
			}
		}
		s.heal_and_check();
	});

	/*
	 * Guards against a leadership transfer to a dead voter, during which
	 * commands are refused. One voter has just died with a log as long as
	 * any; leadership must move to the other one without waiting for the
	 * dead voter.
	 */
	ok &= rc::check("leadership is not transferred to a dead voter", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		s.propose(*l);
		s.run(500);
		s.crash(*s.nodes[(l->machine + 1 + (int)s.below(2)) % 3]);
		s.run(600);
		RC_ASSERT(cns_transfer_leadership(l->c) == CNS_OK);
		s.pump(*l);
		s.run(300);
		RC_ASSERT((s.leader() != nullptr));
		RC_ASSERT((s.leader() != l));
	});

	/*
	 * Guards against voters that never elect a leader because each of their
	 * ticks is late, as on overloaded machines. A late tick may postpone an
	 * election, but not forever.
	 */
	ok &= rc::check("late ticks do not prevent an election", [] {
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
	 * Guards against two leaders that give orders to a VM. A leader that
	 * was partitioned, paused or received late responses gives orders as
	 * long as it counts its leadership as confirmed, while a voter that it
	 * relies on has elected another. Sim::check_leaders checks this for
	 * every leader; here voters are paused, restarted and delayed more
	 * often than in other tests.
	 */
	ok &= rc::check("nobody else leads while leadership is confirmed", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto n = *rc::gen::element(3, 3, 5);
		Sim s(seed, n);

		s.run(3000);
		for (int i = 0; i < 400; i++) {
			Node &x = *s.nodes[s.below(n)];
			int a = s.below(n);
			int b = s.below(n);

			switch (s.below(6)) {
			case 0:
				x.paused = x.c && !x.paused;
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
				s.partitions.insert({a, b});
				break;
			case 4:
				s.partitions.clear();
				break;
			default:
				break;
			}
			for (uint32_t k = s.below(20); k > 0; k--) {
				s.tick(10 + s.below(30));
				if (s.chance(0.7))
					s.deliver_all();
			}
		}
		RC_ASSERT(s.confirmed_leads > 0);
	});

	/*
	 * Guards against a vote granted before the voter's promise to the
	 * leader has expired. The voter has just responded to the leader, which
	 * is then partitioned, and a voter long without a leader requests a
	 * vote. The promise was lost if a restart forgot the leader, or if a
	 * message read after a pause counted as received before it.
	 */
	ok &= rc::check("a restart or pause does not release a voter", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto restarts = *rc::gen::arbitrary<bool>();
		auto paused_ms = *rc::gen::inRange(300, 450);
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		Node &voter = *s.nodes[(l->machine + 1) % 3];
		int other = (l->machine + 2) % 3;
		auto isolate = [&](int a, int b) {
			s.partitions.insert({a, b});
			s.partitions.insert({b, a});
		};

		isolate(other, l->machine);
		isolate(other, voter.machine);
		s.run(2000);
		RC_ASSERT(cns_role(l->c) == CNS_LEADER);
		voter.paused = !restarts;
		s.run(restarts ? 0 : paused_ms);
		voter.paused = false;
		s.deliver_all();
		s.deliver_all();
		RC_ASSERT(cns_role(l->c) == CNS_LEADER);
		s.partitions.clear();
		isolate(l->machine, other);
		isolate(l->machine, voter.machine);
		if (restarts) {
			s.crash(voter);
			s.start(voter);
		}
		s.run(5000);
		RC_ASSERT((s.leader() != nullptr && s.leader() != l));
	});

	/*
	 * Guards against a leadership transfer that takes effect after it has
	 * expired. The target is paused when the leader sends the request; the
	 * leader resumes its work, and then the target reads the old request,
	 * which it must ignore.
	 */
	ok &= rc::check("a paused transfer target does not take over", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		Node *target = nullptr;

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		RC_ASSERT(cns_transfer_leadership(l->c) == CNS_OK);
		RC_ASSERT(cns_transfer_pending(l->c));
		s.pump(*l);
		for (auto m : s.net)
			if (m->kind == CNS_TIMEOUT_NOW)
				target = s.at(m->to);
		RC_ASSERT((target != nullptr));
		target->paused = true;
		s.run(2000);
		RC_ASSERT((s.leader() == l && !cns_transfer_pending(l->c)));
		target->paused = false;
		s.deliver_all();
		s.run(100);
		RC_ASSERT((s.leader() == l));
	});

	/*
	 * Guards against a leader deposed by a voter that returns from a
	 * network partition. Without pre-votes the election timeouts that
	 * passed in the partition would have raised its term.
	 */
	ok &= rc::check("a returning voter does not depose the leader", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		auto partition_ms = *rc::gen::inRange(2000, 60000);
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		uint64_t term = cns_term(l->c);
		int lost = (l->machine + 1) % 3;

		for (int i = 0; i < 3; i++) {
			s.partitions.insert({i, lost});
			s.partitions.insert({lost, i});
		}
		for (int i = 0; i < 20; i++)
			s.propose(*l);
		s.run(partition_ms);
		s.partitions.clear();
		s.run(3000);
		RC_ASSERT((s.leader() == l));
		RC_ASSERT(cns_term(l->c) == term);
		RC_ASSERT(s.nodes[lost]->applied == l->applied);
	});

	/*
	 * Guards against clients that wait forever for a partitioned leader.
	 * After one election timeout without a quorum it must step down and
	 * fail its reads instead of waiting for the partition to heal.
	 */
	ok &= rc::check("a leader without a quorum steps down", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		for (int i = 0; i < 3; i++)
			if (i != l->machine) {
				s.partitions.insert({i, l->machine});
				s.partitions.insert({l->machine, i});
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
	 * Guards against committing an entry of an earlier term by counting its
	 * copies (Raft, figure 8). A leader writes an entry only to its own
	 * disk; another, elected without it, writes its own entry at the same
	 * index and crashes; the first returns and copies its old entry to a
	 * quorum, then crashes before its new one arrives. The second could
	 * overwrite the old entry.
	 */
	ok &= rc::check("entries of earlier terms are not counted", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		const size_t large = 200 << 10;
		Sim s(seed);

		s.run(3000);
		Node *a = s.leader();
		RC_ASSERT((a != nullptr));
		Node *b = s.nodes[(a->machine + 1) % 3].get();
		Node *c = s.nodes[(a->machine + 2) % 3].get();
		auto isolate = [&s](Node *x) {
			for (int i = 0; i < 3; i++) {
				s.partitions.insert({i, x->machine});
				s.partitions.insert({x->machine, i});
			}
		};

		isolate(a);
		s.propose(*a, large); /* only on the disk of a */
		s.propose(*a, large);
		s.crash(*a);
		while (!s.leader())
			s.run(10);
		/* The new leader also writes only to its own disk. */
		Node *w = s.leader();
		Node *o = w == b ? c : b;
		isolate(o);
		s.propose(*w, large);
		s.crash(*w);
		s.partitions.clear();
		s.drop_messages();
		s.start(*a);
		for (int i = 0; i < 3000 && cns_role(a->c) != CNS_LEADER; i++)
			s.run(10);
		RC_ASSERT(cns_role(a->c) == CNS_LEADER);
		/*
			 * The old entries of a arrive; its entry of this term
			 * does not.
			 */
		while (cns_commit(a->c) < 3 && deliver_old_entry(s, *o))
			;
		RC_ASSERT(cns_last(o->c) >= 3u);
		s.crash(*a);
		s.drop_messages();
		s.start(*w);
		s.run(5000);
		s.heal_and_check();
	});

	/*
	 * Guards against a new member that gets a vote before it has caught up.
	 * One of three folders is lost, and its replacement is added but
	 * partitioned before it has received anything. With a vote it would
	 * raise the quorum to three of four, of which only two are reachable.
	 */
	ok &= rc::check("a new member has no vote until it caught up", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		s.propose(*l);
		s.run(500);
		int lost = (l->machine + 1 + (int)s.below(2)) % 3;
		for (int i = 0; i < 3; i++) {
			s.partitions.insert({i, lost});
			s.partitions.insert({lost, i});
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
		s.heal_and_check();
	});

	/*
	 * Guards against a demoted voter that still counts, or that pushes out
	 * the leader. One voter of four is demoted while it is cut off, as in a
	 * cut into halves: the two others of its old set of four can't know,
	 * and the leader needs two of three. It must lead on, and the demoted
	 * member must not lead while the cut lasts, nor disturb it afterwards.
	 */
	ok &= rc::check("a demoted voter neither counts nor leads", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed, 4);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		Node &demoted = *s.nodes[(l->machine + 1) % 4];
		int other = (l->machine + 2) % 4;
		auto isolate = [&s](int a) {
			for (int i = 0; i < 4; i++) {
				s.partitions.insert({i, a});
				s.partitions.insert({a, i});
			}
		};

		isolate(demoted.machine);
		RC_ASSERT(cns_demote(l->c, l->id) == CNS_LEADS);
		RC_ASSERT(cns_demote(l->c, demoted.id) == CNS_OK);
		s.pump(*l);
		s.run(1000);
		isolate(other);
		size_t before = s.accepted.size();
		RC_ASSERT(s.propose(*l));
		s.run(20000);
		RC_ASSERT(s.accepted.size() == before + 1);
		RC_ASSERT((s.leader() == l));
		s.partitions.clear();
		s.run(5000);
		RC_ASSERT((s.leader() == l));
		RC_ASSERT(cns_role(demoted.c) == CNS_NON_VOTER);
		RC_ASSERT(demoted.applied == l->applied);
	});

	/*
	 * Guards against a learner that goes on naming a leader that it no
	 * longer hears: callers would be sent there for as long.
	 */
	ok &= rc::check("a learner forgets a leader it does not hear", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed, 4);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		Node &learner = *s.nodes[(l->machine + 1) % 4];
		RC_ASSERT(cns_demote(l->c, learner.id) == CNS_OK);
		s.pump(*l);
		s.run(1000);
		RC_ASSERT(cns_leader(learner.c) == l->id);
		for (int i = 0; i < 4; i++) {
			s.partitions.insert({i, learner.machine});
			s.partitions.insert({learner.machine, i});
		}
		s.run(3 * Sim::election_ms);
		RC_ASSERT(cns_leader(learner.c) == 0u);
		s.partitions.clear();
		s.run(500);
		RC_ASSERT(cns_leader(learner.c) == s.leader()->id);
	});

	/* Guards against a repair that does not finish before the load ends. */
	ok &= rc::check("a new member catches up under steady load", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		int rounds = 1 + (int)s.below(10);

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		int lost = (l->machine + 1 + (int)s.below(2)) % 3;
		s.replace(lost);
		for (int i = 0; i < 300 && !s.all_voters(*l); i++) {
			RC_ASSERT(s.propose(*l));
			s.run_with_delay(10, s.nodes[lost]->id, rounds);
			s.repair();
		}
		RC_ASSERT(s.all_voters(*l));
		RC_ASSERT(cns_match(l->c, s.nodes[lost]->id) < cns_last(l->c));
		s.drop_messages();
		s.heal_and_check();
	});

	/*
	 * Guards against retransmissions of entries in flight, which keep a
	 * slow new member behind.
	 */
	ok &= rc::check("entries in flight are not retransmitted", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		int rounds = 12 + (int)s.below(10);
		int lost;

		s.run(3000);
		Node *l = s.leader();
		RC_ASSERT((l != nullptr));
		for (int i = 0; i < 200; i++) {
			RC_ASSERT(s.propose(*l));
			s.run(10);
		}
		lost = (l->machine + 1 + (int)s.below(2)) % 3;
		s.replace(lost);
		for (int i = 0; i < 200; i++) {
			RC_ASSERT(s.propose(*l));
			s.run_with_delay(10, s.nodes[lost]->id, rounds);
			s.repair();
		}
		RC_ASSERT(s.delayed_entries > 200u);
		RC_ASSERT(s.delayed_entries < 2 * cns_last(l->c));
		s.drop_messages();
		s.heal_and_check();
	});

	/*
	 * Guards against two leaders in one term. A voter responds to one
	 * candidate and loses in a restart what it had not synced; then another
	 * candidate of the same term requests its vote.
	 */
	ok &= rc::check("a vote survives a restart", [] {
		auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
		Sim s(seed);
		std::map<uint64_t, uint64_t> votes;

		s.run(3000);
		s.drop_messages();
		s.crash_in_write = 0.2;
		for (int i = 0; i < 100; i++) {
			Node &n = *s.nodes[1];
			cns_msg m = {};

			if (!n.c)
				s.start(n);
			m.kind = CNS_VOTE_REQUEST;
			m.from = s.chance(0.5) ? 1 : 3;
			m.to = n.id;
			m.term = 20 + i / 10;
			m.transfer = true;
			m.index = s.chance(0.3) ? 0 : 100;
			m.log_term = m.index ? 20 : 0;
			cns_step(n.c, &m);
			s.pump(n);
			for (auto a : s.net) {
				if (a->kind != CNS_VOTE_RESPONSE || !a->ok)
					continue;
				auto v = votes.emplace(a->term, a->to).first;
				RC_ASSERT(v->second == a->to);
			}
			s.drop_messages();
			if (n.c && s.chance(0.3))
				s.crash(n);
		}
	});
	return ok ? 0 : 1;
}
