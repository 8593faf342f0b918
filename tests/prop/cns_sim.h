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
 * Members of the consensus library on a network and disks that a schedule
 * mistreats. What must always hold is checked as it happens, by a throw.
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
	int place = 0; /* of the machine; a new folder keeps it */
	Disk disk;
	cns *c = nullptr;
	bool frozen = false;
	uint64_t handed_over = 0; /* the term in which it asked an heir */
	std::vector<std::string> state; /* commands applied */
	uint64_t applied = 0;
	std::map<uint64_t, std::pair<uint64_t, std::string>> open;
	std::map<uint64_t, uint64_t> reads; /* tag: least index to be seen */

	~Node()
	{
		cns_free(c);
	}
};

class Sim
{
      public:
	std::mt19937 rng;
	std::vector<std::unique_ptr<Node>> nodes; /* by place */
	std::vector<cns_msg *> net;
	std::deque<std::pair<int64_t, cns_msg *>> far; /* by arrival */
	uint64_t far_entries = 0; /* sent to the far node, copies too */
	std::set<std::pair<int, int>> cuts;
	std::vector<Item> truth; /* what was applied anywhere, by index */
	std::map<uint64_t, uint64_t> leaders; /* by term */
	std::map<std::string, uint64_t> accepted; /* command: index */
	uint64_t accepted_max = 0;
	uint64_t next_id = 1;
	uint64_t next_cmd = 1;
	int64_t now = 1000;
	double crash_in_write = 0;
	int reads_done = 0;
	int sure_leads = 0;
	static constexpr int64_t patience = 500;

	explicit Sim(uint32_t seed, int n = 3) : rng(seed)
	{
		struct cns_members m = {};

		for (int i = 0; i < n; i++) {
			nodes.push_back(fresh(i));
			m.m[m.n++] = member(*nodes[i], true);
		}
		for (auto &node : nodes)
			start(*node);
		cns_bootstrap(nodes[0]->c, &m);
		pump(*nodes[0]);
	}
	~Sim()
	{
		forget_net();
	}
	void forget_net()
	{
		for (auto m : net)
			cns_msg_free(m);
		net.clear();
		for (auto &m : far)
			cns_msg_free(m.second);
		far.clear();
	}
	uint32_t upto(uint32_t n)
	{
		return std::uniform_int_distribution<uint32_t>(0, n - 1)(rng);
	}
	bool chance(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(rng) < p;
	}
	static void must(bool ok, const std::string &what)
	{
		if (!ok)
			throw std::runtime_error(what);
	}

	std::unique_ptr<Node> fresh(int place)
	{
		auto n = std::make_unique<Node>();

		n->id = next_id++;
		n->place = place;
		return n;
	}
	static cns_member member(const Node &n, bool voter)
	{
		cns_member m = {};

		m.id = n.id;
		g_snprintf(m.name, sizeof(m.name), "n%d", n.place);
		m.voter = voter;
		return m;
	}
	void start(Node &n)
	{
		cns_config config = {n.id, (uint32_t)rng(), now, 100, patience};
		cns_stored stored = {n.disk.term, n.disk.vote, n.disk.snap,
				     n.disk.entries};

		n.c = cns_new(&config, &stored);
		n.applied = 0;
		n.state.clear();
		if (n.disk.snap)
			restore(n, n.disk.snap);
	}
	/* Loses all that was not synced; clients of it never hear more. */
	void crash(Node &n)
	{
		cns_free(n.c);
		n.c = nullptr;
		n.frozen = false;
		n.open.clear();
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

		must(s->index >= n.applied, "a snapshot goes back");
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
		auto open = n.open.find(e.index);

		must(e.index == n.applied + 1, "applied out of order");
		n.applied = e.index;
		if (e.index <= truth.size())
			must(truth[e.index - 1].term == it.term &&
				     truth[e.index - 1].data == it.data,
			     "committed logs part");
		else
			truth.push_back(it);
		if (e.kind == CNS_COMMAND)
			n.state.push_back(it.data.substr(0, 16));
		if (open == n.open.end())
			return;
		if (open->second.first == e.term) {
			accepted[open->second.second] = e.index;
			accepted_max = std::max(accepted_max, e.index);
		}
		n.open.erase(open);
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
			send(rd.early);
			if (!write(n, rd)) {
				g_array_free(rd.entries, TRUE);
				g_array_free(rd.committed, TRUE);
				crash(n);
				return;
			}
			send(rd.late);
			if (rd.install)
				restore(n, rd.install);
			for (guint i = 0; i < rd.committed->len; i++)
				apply(n, g_array_index(rd.committed, cns_entry,
						       i));
			for (guint i = 0; i < rd.reads->len; i++)
				served(n, g_array_index(rd.reads,
							struct cns_read, i));
			cns_advance(n.c, &rd);
			watch(n);
		}
	}
	/* False: the crash came before the sync; a part may have lasted. */
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
			last = upto(last + 1);
		for (guint i = 0; i < last; i++)
			n.disk.put(g_array_index(rd.entries, cns_entry, i));
		return !fails;
	}
	void served(Node &n, const struct cns_read &r)
	{
		auto it = n.reads.find(r.tag);

		if (it == n.reads.end())
			return;
		if (r.ok) {
			must(r.index >= it->second, "a read saw an old state");
			reads_done++;
		}
		n.reads.erase(it);
	}
	void watch(Node &n)
	{
		if (cns_role(n.c) != CNS_LEADER)
			return;
		auto it = leaders.emplace(cns_term(n.c), n.id).first;
		must(it->second == n.id, "two leaders in one term");
		for (auto &o : nodes)
			if (o->c && cns_role(o->c) == CNS_LEADER &&
			    cns_term(o->c) < cns_term(n.c) && !gave_up(*o))
				must(now >= cns_sure(o->c) + patience,
				     "another leads while one is sure");
		sure_leads += now < cns_sure(n.c) + patience;
	}
	/* Its word to the heir may travel for ever on this network. */
	bool gave_up(const Node &n)
	{
		return n.handed_over == cns_term(n.c);
	}

	Node *at(uint64_t id)
	{
		for (auto &n : nodes)
			if (n->id == id)
				return n.get();
		return nullptr;
	}
	bool cut(uint64_t from, uint64_t to)
	{
		Node *a = at(from);
		Node *b = at(to);

		return !a || !b || cuts.count({a->place, b->place});
	}
	void deliver(size_t i, bool keep)
	{
		cns_msg *m = net[i];
		Node *n = at(m->to);

		if (n && n->c && n->frozen)
			return; /* it lies in the socket */
		if (!keep) {
			net[i] = net.back();
			net.pop_back();
		}
		if (n && n->c && !cut(m->from, m->to)) {
			cns_clock(n->c, now);
			cns_step(n->c, m);
			pump(*n);
		}
		if (!keep)
			cns_msg_free(m);
	}
	/* Delivers in order of sending what a sound network would. */
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
			if (!n->c || n->frozen)
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
	/* As run, but messages of one node take so many rounds longer. */
	void run_with_far(int64_t ms, uint64_t id, int rounds)
	{
		for (int64_t end = now + ms; now < end;) {
			std::vector<cns_msg *> near;

			tick(10);
			for (auto m : net) {
				if (m->from != id && m->to != id) {
					near.push_back(m);
					continue;
				}
				far.push_back({now + 10 * rounds, m});
				if (m->to == id && m->entries)
					far_entries += m->entries->len;
			}
			net.swap(near);
			while (!far.empty() && far.front().first <= now) {
				net.push_back(far.front().second);
				far.pop_front();
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
				&index) != CNS_DONE)
			return false;
		n.open[index] = {cns_term(n.c), std::string(cmd)};
		pump(n);
		return true;
	}
	void read(Node &n)
	{
		static uint64_t tag;

		if (cns_read(n.c, ++tag) == CNS_DONE)
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
	/* What the control daemon does: the leader takes newcomers in. */
	void repair()
	{
		Node *l = leader();

		if (!l || l->frozen)
			return;
		for (auto &n : nodes) {
			const cns_member *m =
				cns_find(cns_members(l->c), n->id);
			cns_member learner = member(*n, false);

			if (!m)
				cns_add_learner(l->c, &learner);
			else if (!m->voter)
				cns_promote(l->c, n->id);
		}
		for (int i = 0; i < cns_members(l->c)->n; i++) {
			uint64_t id = cns_members(l->c)->m[i].id;

			if (!at(id) && whole(*l))
				cns_remove(l->c, id);
		}
		pump(*l);
	}
	/* Every node of now is a voter. */
	bool whole(Node &l)
	{
		for (auto &n : nodes) {
			const cns_member *m = cns_find(cns_members(l.c), n->id);

			if (!m || !m->voter)
				return false;
		}
		return true;
	}
	/* Every node of now is a voter, nobody else is, and that is final. */
	bool repaired()
	{
		Node *l = leader();

		return l && whole(*l) &&
		       cns_members(l->c)->n == (int)nodes.size() &&
		       l->applied >= cns_last(l->c);
	}
	/* The machine comes back with an empty folder. */
	void replace(int place)
	{
		nodes[place] = fresh(place);
		start(*nodes[place]);
	}
	/*
	 * Power of all goes at one moment, and the disk at a place with it if
	 * nothing else is being repaired. Nobody is started.
	 */
	void power_loss(int place)
	{
		bool sound = repaired();

		forget_net();
		for (auto &n : nodes)
			if (n->c)
				crash(*n);
		if (sound)
			nodes[place] = fresh(place);
	}
	std::string dump()
	{
		std::string out;
		char line[160];

		for (auto &n : nodes) {
			g_snprintf(line, sizeof(line),
				   "\n%d id=%d %s term=%d last=%d commit=%d "
				   "leader=%d members:",
				   n->place, (int)n->id,
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
	/* After all trouble: everybody agrees, and nothing accepted is gone. */
	void settle()
	{
		crash_in_write = 0;
		cuts.clear();
		for (auto &n : nodes) {
			n->frozen = false;
			if (!n->c)
				start(*n);
		}
		for (int i = 0; i < 100 && !repaired(); i++) {
			run(200);
			repair();
		}
		must(repaired(), "no leader with all members in 20 s" + dump());
		run(1000); /* a hand-over may still be on */
		must(leader() && propose(*leader()),
		     "the leader refuses a command" + dump());
		run(2000);
		must(leader() != nullptr, "the leader did not last");
		for (auto &n : nodes) {
			must(n->applied == truth.size(),
			     "a voter has not caught up");
			must(n->state == leader()->state, "states differ");
		}
		for (auto &a : accepted)
			must(std::count(leader()->state.begin(),
					leader()->state.end(), a.first) == 1,
			     "an accepted command is lost or doubled");
		must(accepted.count(leader()->state.back()),
		     "the last command was not accepted");
	}
};

} // namespace sim

#endif
