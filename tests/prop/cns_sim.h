#ifndef CNS_SIM_H
#define CNS_SIM_H

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

extern "C" {
#include "cns.h"
}

/*
 * Simulates members of the consensus library on a network and disks with
 * faults. Invariants are checked at each step; a violation throws.
 */
namespace sim
{

struct Item {
	uint64_t index;
	uint64_t term;
	std::string data;
};

struct Disk {
	uint64_t term = 0;
	uint64_t vote = 0;
	cns_snap *snap = nullptr;
	GArray *entries = cns_entries_new();

	~Disk()
	{
		cns_snap_free(snap);
		g_array_free(entries, TRUE);
	}
	void put(const cns_entry &e)
	{
		while (entries->len && last().index >= e.index)
			g_array_set_size(entries, entries->len - 1);
		cns_entries_add(entries, &e);
	}
	const cns_entry &last() const
	{
		return g_array_index(entries, cns_entry, entries->len - 1);
	}
	void snapshot(const cns_snap *s, bool install)
	{
		cns_snap_free(snap);
		snap = cns_snap_new(s->index, s->term, &s->members, s->data);
		if (install)
			g_array_set_size(entries, 0);
		while (entries->len &&
		       g_array_index(entries, cns_entry, 0).index <= s->index)
			g_array_remove_index(entries, 0);
	}
};

struct Node {
	uint64_t id = 0;
	int machine = 0; /* index of the machine; a replaced folder keeps it */
	Disk disk;
	cns *c = nullptr;
	bool paused = false;
	/* term in which it started a leadership transfer */
	uint64_t transfer_term = 0;
	std::vector<std::string> state; /* commands applied */
	uint64_t applied = 0;
	std::map<uint64_t, std::pair<uint64_t, std::string>> uncommitted;
	/* tag: smallest index that the read must reflect */
	std::map<uint64_t, uint64_t> reads;

	~Node()
	{
		cns_free(c);
	}
};

class Sim
{
      public:
	std::mt19937 rng;
	std::vector<std::unique_ptr<Node>> nodes; /* by machine index */
	std::vector<cns_msg *> net;
	std::deque<std::pair<int64_t, cns_msg *>> delayed; /* by arrival time */
	/* sent to the distant node, with duplicates */
	uint64_t delayed_entries = 0;
	std::set<std::pair<int, int>> partitions;
	std::vector<Item>
		committed; /* all entries applied on any node, by index */
	std::map<uint64_t, uint64_t> leaders; /* by term */
	std::map<std::string, uint64_t> accepted; /* command: index */
	uint64_t accepted_max = 0;
	uint64_t next_id = 1;
	uint64_t next_cmd = 1;
	int64_t now = 1000;
	double crash_in_write = 0;
	int reads_done = 0;
	int confirmed_leads = 0;
	static constexpr int64_t election_ms = 500;

	explicit Sim(uint32_t seed, int n = 3) : rng(seed)
	{
		struct cns_members m = {};

		for (int i = 0; i < n; i++) {
			nodes.push_back(new_node(i));
			m.m[m.n++] = member(*nodes[i], true);
		}
		for (auto &node : nodes)
			start(*node);
		cns_bootstrap(nodes[0]->c, &m);
		pump(*nodes[0]);
	}
	~Sim()
	{
		drop_messages();
	}
	void drop_messages()
	{
		for (auto m : net)
			cns_msg_free(m);
		net.clear();
		for (auto &m : delayed)
			cns_msg_free(m.second);
		delayed.clear();
	}
	uint32_t below(uint32_t n)
	{
		return std::uniform_int_distribution<uint32_t>(0, n - 1)(rng);
	}
	bool chance(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(rng) < p;
	}
	static void check(bool ok, const std::string &what)
	{
		if (!ok)
			throw std::runtime_error(what);
	}

	std::unique_ptr<Node> new_node(int machine)
	{
		auto n = std::make_unique<Node>();

		n->id = next_id++;
		n->machine = machine;
		return n;
	}
	static cns_member member(const Node &n, bool voter)
	{
		cns_member m = {};

		m.id = n.id;
		g_snprintf(m.name, sizeof(m.name), "n%d", n.machine);
		m.voter = voter;
		return m;
	}
	void start(Node &n)
	{
		cns_config config = {n.id, (uint32_t)rng(), now, 100,
				     election_ms};
		cns_stored stored = {n.disk.term, n.disk.vote, n.disk.snap,
				     n.disk.entries};

		n.c = cns_new(&config, &stored);
		n.applied = 0;
		n.state.clear();
		if (n.disk.snap)
			restore(n, n.disk.snap);
	}
	/*
	 * Crashes a node: everything not synced is lost, and its clients get no
	 * answer.
	 */
	void crash(Node &n)
	{
		cns_free(n.c);
		n.c = nullptr;
		n.paused = false;
		n.uncommitted.clear();
		n.reads.clear();
	}
	Node *leader()
	{
		Node *best = nullptr;

		for (auto &n : nodes)
			if (n->c && cns_role(n->c) == CNS_LEADER &&
			    (!best || cns_term(n->c) > cns_term(best->c)))
				best = n.get();
		return best;
	}

	static std::string text(GBytes *b)
	{
		gsize len;
		auto p = (const char *)g_bytes_get_data(b, &len);

		return std::string(p ? p : "", len);
	}
	void restore(Node &n, const cns_snap *s)
	{
		std::string all = text(s->data);
		size_t at = 0;

		check(s->index >= n.applied,
		      "a snapshot is older than the applied state");
		n.state.clear();
		while (at < all.size()) {
			size_t end = all.find('\n', at);

			n.state.push_back(all.substr(at, end - at));
			at = end + 1;
		}
		n.applied = s->index;
	}
	void apply(Node &n, const cns_entry &e)
	{
		Item it = {e.index, e.term, text(e.data)};
		auto uncommitted = n.uncommitted.find(e.index);

		check(e.index == n.applied + 1, "applied out of order");
		n.applied = e.index;
		if (e.index <= committed.size())
			check(committed[e.index - 1].term == it.term &&
				      committed[e.index - 1].data == it.data,
			      "committed logs differ");
		else
			committed.push_back(it);
		if (e.kind == CNS_COMMAND)
			n.state.push_back(it.data.substr(0, 16));
		if (uncommitted == n.uncommitted.end())
			return;
		if (uncommitted->second.first == e.term) {
			accepted[uncommitted->second.second] = e.index;
			accepted_max = std::max(accepted_max, e.index);
		}
		n.uncommitted.erase(uncommitted);
	}
	void send(GPtrArray *msgs)
	{
		for (guint i = 0; i < msgs->len; i++)
			net.push_back(cns_msg_copy(
				(cns_msg *)g_ptr_array_index(msgs, i)));
	}
	void pump(Node &n)
	{
		struct cns_ready rd;

		while (n.c && cns_ready(n.c, &rd)) {
			send(rd.send_now);
			if (!write(n, rd)) {
				g_array_free(rd.entries, TRUE);
				g_array_free(rd.committed, TRUE);
				crash(n);
				return;
			}
			send(rd.send_after_sync);
			if (rd.install)
				restore(n, rd.install);
			for (guint i = 0; i < rd.committed->len; i++)
				apply(n, g_array_index(rd.committed, cns_entry,
						       i));
			for (guint i = 0; i < rd.reads->len; i++)
				read_done(n, g_array_index(rd.reads,
							   struct cns_read, i));
			cns_advance(n.c, &rd);
			check_leaders(n);
		}
	}
	/*
	 * Writes and syncs; returns false if the node crashed before the sync,
	 * with only a part of the data on disk.
	 */
	bool write(Node &n, const struct cns_ready &rd)
	{
		bool fails =
			(rd.vote_changed || rd.entries->len || rd.install) &&
			chance(crash_in_write);
		guint last = rd.entries->len;

		if (fails && chance(0.5))
			return false;
		if (rd.vote_changed) {
			n.disk.term = rd.term;
			n.disk.vote = rd.vote;
		}
		if (rd.install)
			n.disk.snapshot(rd.install, true);
		if (fails)
			last = below(last + 1);
		for (guint i = 0; i < last; i++)
			n.disk.put(g_array_index(rd.entries, cns_entry, i));
		return !fails;
	}
	void read_done(Node &n, const struct cns_read &r)
	{
		auto it = n.reads.find(r.tag);

		if (it == n.reads.end())
			return;
		if (r.ok) {
			check(r.index >= it->second,
			      "a read returned stale state");
			reads_done++;
		}
		n.reads.erase(it);
	}
	void check_leaders(Node &n)
	{
		if (cns_role(n.c) != CNS_LEADER)
			return;
		auto it = leaders.emplace(cns_term(n.c), n.id).first;
		check(it->second == n.id, "two leaders in one term");
		for (auto &o : nodes)
			if (o->c && cns_role(o->c) == CNS_LEADER &&
			    cns_term(o->c) < cns_term(n.c) &&
			    !started_transfer(*o))
				check(now >= cns_confirmed_ms(o->c) +
						      election_ms,
				      "another leads while leadership is "
				      "confirmed");
		confirmed_leads += now < cns_confirmed_ms(n.c) + election_ms;
	}
	/*
	 * Whether n started a leadership transfer in its term: on this network
	 * its request may be in flight forever.
	 */
	bool started_transfer(const Node &n)
	{
		return n.transfer_term == cns_term(n.c);
	}

	Node *at(uint64_t id)
	{
		for (auto &n : nodes)
			if (n->id == id)
				return n.get();
		return nullptr;
	}
	bool blocked(uint64_t from, uint64_t to)
	{
		Node *a = at(from);
		Node *b = at(to);

		return !a || !b || partitions.count({a->machine, b->machine});
	}
	void deliver(size_t i, bool keep)
	{
		cns_msg *m = net[i];
		Node *n = at(m->to);

		if (n && n->c && n->paused)
			return; /* the message stays in the socket */
		if (!keep) {
			net[i] = net.back();
			net.pop_back();
		}
		if (n && n->c && !blocked(m->from, m->to)) {
			cns_set_arrival_ms(n->c, now);
			cns_step(n->c, m);
			pump(*n);
		}
		if (!keep)
			cns_msg_free(m);
	}
	/*
	 * Delivers all messages in the order of sending, as a network without
	 * faults.
	 */
	void deliver_all()
	{
		std::vector<cns_msg *> batch;

		batch.swap(net);
		for (auto m : batch) {
			net.push_back(m);
			deliver(net.size() - 1, false);
		}
	}
	void tick(int64_t ms)
	{
		now += ms;
		for (auto &n : nodes) {
			if (!n->c || n->paused)
				continue;
			cns_tick(n->c, now);
			pump(*n);
		}
	}
	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end;) {
			tick(10);
			deliver_all();
		}
	}
	/*
	 * As run, but messages from and to one node are delayed by so many
	 * rounds of 10 ms.
	 */
	void run_with_delay(int64_t ms, uint64_t id, int rounds)
	{
		for (int64_t end = now + ms; now < end;) {
			std::vector<cns_msg *> prompt;

			tick(10);
			for (auto m : net) {
				if (m->from != id && m->to != id) {
					prompt.push_back(m);
					continue;
				}
				delayed.push_back({now + 10 * rounds, m});
				if (m->to == id && m->entries)
					delayed_entries += m->entries->len;
			}
			net.swap(prompt);
			while (!delayed.empty() &&
			       delayed.front().first <= now) {
				net.push_back(delayed.front().second);
				delayed.pop_front();
			}
			deliver_all();
		}
	}
	bool propose(Node &n, size_t len = 16)
	{
		char cmd[32];
		std::string bytes;
		uint64_t index = 0;

		g_snprintf(cmd, sizeof(cmd), "%016llu",
			   (unsigned long long)next_cmd++);
		bytes = cmd;
		bytes.resize(len, 'x');
		if (cns_propose(n.c, lstr_n(bytes.data(), bytes.size()),
				&index) != CNS_OK)
			return false;
		n.uncommitted[index] = {cns_term(n.c), std::string(cmd)};
		pump(n);
		return true;
	}
	void read(Node &n)
	{
		static uint64_t tag;

		if (cns_read(n.c, ++tag) == CNS_OK)
			n.reads[tag] = accepted_max;
		pump(n);
	}
	void compact(Node &n)
	{
		std::string all;
		GBytes *data;

		if (n.applied == 0 ||
		    (n.disk.snap && n.disk.snap->index >= n.applied))
			return;
		for (auto &s : n.state)
			all += s + "\n";
		data = g_bytes_new(all.data(), all.size());
		n.disk.snapshot(cns_compact(n.c, n.applied, data), false);
		g_bytes_unref(data);
	}
	/*
	 * Does what the control daemon does: the leader adds, promotes and
	 * removes members.
	 */
	void repair()
	{
		Node *l = leader();

		if (!l || l->paused)
			return;
		for (auto &n : nodes) {
			const cns_member *m =
				cns_find_member(cns_members(l->c), n->id);
			cns_member learner = member(*n, false);

			if (!m)
				cns_add_learner(l->c, &learner);
			else if (!m->voter)
				cns_promote(l->c, n->id);
		}
		for (int i = 0; i < cns_members(l->c)->n; i++) {
			uint64_t id = cns_members(l->c)->m[i].id;

			if (!at(id) && all_voters(*l))
				cns_remove(l->c, id);
		}
		pump(*l);
	}
	/*
	 * The leader demotes a node, which repair promotes again. As the
	 * control daemon it does so from an even number of voters: with one of
	 * three lost, a vote less would leave one of two.
	 */
	void demote(Node &n)
	{
		Node *l = leader();
		int voters = 0;

		if (!l || l->paused)
			return;
		for (int i = 0; i < cns_members(l->c)->n; i++)
			voters += cns_members(l->c)->m[i].voter;
		if (voters % 2)
			return;
		cns_demote(l->c, n.id);
		pump(*l);
	}
	/* Whether every current node is a voter. */
	bool all_voters(Node &l)
	{
		for (auto &n : nodes) {
			const cns_member *m =
				cns_find_member(cns_members(l.c), n->id);

			if (!m || !m->voter)
				return false;
		}
		return true;
	}
	/*
	 * Whether every current node is a voter, nobody else is a member, and
	 * this is committed.
	 */
	bool repaired()
	{
		Node *l = leader();

		return l && all_voters(*l) &&
		       cns_members(l->c)->n == (int)nodes.size() &&
		       l->applied >= cns_last(l->c);
	}
	/* Replaces a node by one with an empty folder. */
	void replace(int machine)
	{
		nodes[machine] = new_node(machine);
		start(*nodes[machine]);
	}
	/*
	 * Crashes all nodes at once, and loses the disk of one of them if no
	 * other repair is in progress. No node is restarted.
	 */
	void power_loss(int machine)
	{
		bool sound = repaired();

		drop_messages();
		for (auto &n : nodes)
			if (n->c)
				crash(*n);
		if (sound)
			nodes[machine] = new_node(machine);
	}
	std::string dump()
	{
		std::string out;
		char line[160];

		for (auto &n : nodes) {
			g_snprintf(line, sizeof(line),
				   "\n%d id=%d %s term=%d last=%d commit=%d "
				   "leader=%d members:",
				   n->machine, (int)n->id,
				   cns_role_name(cns_role(n->c)),
				   (int)cns_term(n->c), (int)cns_last(n->c),
				   (int)cns_commit(n->c),
				   (int)cns_leader(n->c));
			out += line;
			for (int i = 0; i < cns_members(n->c)->n; i++)
				out += " " +
				       std::to_string(
					       cns_members(n->c)->m[i].id) +
				       (cns_members(n->c)->m[i].voter ? ""
								      : "l");
		}
		return out;
	}
	/*
	 * Ends all faults, then checks that all nodes agree and that no
	 * accepted command is lost.
	 */
	void heal_and_check()
	{
		crash_in_write = 0;
		partitions.clear();
		for (auto &n : nodes) {
			n->paused = false;
			if (!n->c)
				start(*n);
		}
		for (int i = 0; i < 100 && !repaired(); i++) {
			run(200);
			repair();
		}
		check(repaired(),
		      "no leader with all members in 20 s" + dump());
		run(1000); /* a leadership transfer may still be in progress */
		check(leader() && propose(*leader()),
		      "the leader refuses a command" + dump());
		run(2000);
		check(leader() != nullptr, "the leader lost its leadership");
		for (auto &n : nodes) {
			check(n->applied == committed.size(),
			      "a voter has not caught up");
			check(n->state == leader()->state, "states differ");
		}
		for (auto &a : accepted)
			check(std::count(leader()->state.begin(),
					 leader()->state.end(), a.first) == 1,
			      "an accepted command is lost or duplicated");
		check(accepted.count(leader()->state.back()),
		      "the last command was not accepted");
	}
};

} // namespace sim

#endif
