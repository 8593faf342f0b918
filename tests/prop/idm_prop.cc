#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "idm.h"
}

/*
 * Entry daemons of one zone keep the memory of keys while connections break
 * and come back, daemons are started anew without memory, views are agreed on
 * by the voters and heard late. Callers send the same key to any of them, as
 * often as they like. Whatever happens, a key runs at most once, and who is
 * told an answer is told the right one.
 */
namespace
{
constexpr int kNodes = 4;
constexpr int kKeys = 3;
constexpr int64_t kStep = 100;

struct Bed;

struct Ask {
	uint64_t id;
	std::string key;
	bool granted = false;
	bool ran = false;
};

struct Node {
	Bed *bed;
	int at;
	std::string name;
	struct idm *m = nullptr;
	uint64_t boot = 0;
	std::vector<std::unique_ptr<Ask>> asks;
	uint64_t view_heard = 0;
};

struct Bed {
	Node nodes[kNodes];
	std::map<std::pair<int, int>, std::deque<std::string>> wire;
	bool up[kNodes][kNodes] = {};
	bool deaf[kNodes] = {}; /* hears no voter */
	int64_t now = 1;
	uint64_t boots = 100;
	struct idm_view *view = idm_view_new(0, 0);
	std::map<std::string, int> runs;
	std::map<std::string, std::string> answers;
	std::set<std::string> kept; /* keys whose answer all keepers held */

	Bed();
	~Bed();
	void start(int i);
	void link(int i, int j, bool on);
	void deliver(int i, int j);
	void hear(int i);
	void tick();
	void ask(int i, int k);
	void finish(int i, int n, int how);
	std::string key(int k) const
	{
		return "z." + std::to_string(view->epoch) + "." +
		       std::to_string(k);
	}
};

Node *node_named(Bed *b, const char *name)
{
	for (auto &n : b->nodes)
		if (n.name == name)
			return &n;
	return nullptr;
}

void on_send(void *arg, const char *node, struct lstr bytes)
{
	auto *n = static_cast<Node *>(arg);
	Node *to = node_named(n->bed, node);

	if (to && n->bed->up[n->at][to->at])
		n->bed->wire[{n->at, to->at}].emplace_back(bytes.p, bytes.len);
}

/* The voters: one change from each number, nothing else. */
void on_propose(void *arg, const struct idm_view *want)
{
	Bed *b = static_cast<Node *>(arg)->bed;

	if (want->number != b->view->number + 1)
		return;
	idm_view_free(b->view);
	b->view = idm_view_copy(want);
}

void on_verdict(void *arg, void *user, enum idm_verdict v, struct lstr bytes)
{
	Bed *b = static_cast<Node *>(arg)->bed;
	auto *a = static_cast<Ask *>(user);

	RC_ASSERT(a != nullptr);
	if (v == IDM_GRANTED) {
		a->granted = true;
	} else if (v == IDM_ANSWER) {
		RC_ASSERT(b->runs[a->key] == 1);
		RC_ASSERT(std::string(bytes.p, bytes.len) ==
			  b->answers[a->key]);
	}
}

const struct idm_ops kOps = {
	.send = on_send,
	.propose = on_propose,
	.verdict = on_verdict,
};

Bed::Bed()
{
	for (int i = 0; i < kNodes; i++) {
		nodes[i].bed = this;
		nodes[i].at = i;
		nodes[i].name = "e" + std::to_string(i);
		start(i);
	}
	for (int i = 0; i < kNodes; i++)
		for (int j = 0; j < i; j++)
			link(i, j, true);
}

Bed::~Bed()
{
	for (auto &n : nodes)
		idm_free(n.m);
	idm_view_free(view);
}

/* Starts a node, or starts it anew: all it knew is lost. */
void Bed::start(int i)
{
	Node &n = nodes[i];

	for (int j = 0; j < kNodes; j++)
		if (j != i && up[i][j])
			link(i, j, false);
	idm_free(n.m);
	n.asks.clear();
	n.boot = ++boots;
	n.view_heard = 0;
	struct idm_config config = {
		.node = n.name.c_str(),
		.boot = n.boot,
		.max_bytes = 1 << 20,
		.keep_ms = IDM_KEEP_MS,
	};
	n.m = idm_new(&config, &kOps, &n);
}

void Bed::link(int i, int j, bool on)
{
	if (up[i][j] == on)
		return;
	wire[{i, j}].clear();
	wire[{j, i}].clear();
	up[i][j] = up[j][i] = on;
	for (auto [a, b] : {std::pair(i, j), std::pair(j, i)}) {
		if (on)
			idm_peer_up(nodes[a].m, now, nodes[b].name.c_str(),
				    nodes[b].boot);
		else
			idm_peer_down(nodes[a].m, now, nodes[b].name.c_str());
	}
}

void Bed::deliver(int i, int j)
{
	auto &q = wire[{i, j}];

	if (q.empty())
		return;
	std::string bytes = q.front();
	q.pop_front();
	idm_recv(nodes[j].m, now, nodes[i].name.c_str(),
		 lstr_n(bytes.data(), bytes.size()));
}

void Bed::hear(int i)
{
	if (view->number <= nodes[i].view_heard)
		return;
	nodes[i].view_heard = view->number;
	idm_set_view(nodes[i].m, now, view);
}

void Bed::tick()
{
	now += kStep;
	for (auto &n : nodes)
		idm_tick(n.m, now);
}

/* As the entry daemon does: only keys of the epoch it knows are asked for. */
void Bed::ask(int i, int k)
{
	Node &n = nodes[i];
	static const uint8_t digest[IDM_DIGEST] = {1};
	auto a = std::make_unique<Ask>();

	if (idm_epoch(n.m) == 0 || idm_epoch(n.m) != view->epoch)
		return;
	a->key = key(k);
	Ask *raw = a.get();
	n.asks.push_back(std::move(a));
	raw->id = idm_ask(n.m, now, lstr_from(raw->key.c_str()), digest, raw);
	idm_go(n.m, now, raw->id);
}

/* The entry daemon has run the request, or not, and says so. */
void Bed::finish(int i, int at, int how)
{
	Node &n = nodes[i];

	if (n.asks.empty())
		return;
	Ask *a = n.asks[at % n.asks.size()].get();
	if (!a->granted) {
		idm_finish(n.m, now, a->id, IDM_FREE, lstr_n("", 0));
	} else if (how == 0) {
		idm_finish(n.m, now, a->id, IDM_FREE, lstr_n("", 0));
	} else {
		RC_ASSERT(++runs[a->key] <= 1);
		answers[a->key] = a->key + " by " + n.name;
		idm_finish(n.m, now, a->id, how == 1 ? IDM_UNKNOWN : IDM_DONE,
			   lstr_from(answers[a->key].c_str()));
	}
	n.asks.erase(n.asks.begin() + at % (int)n.asks.size());
}

void settle(Bed &b, int rounds)
{
	for (int r = 0; r < rounds; r++) {
		for (int i = 0; i < kNodes; i++) {
			if (!b.deaf[i])
				b.hear(i);
			for (int j = 0; j < kNodes; j++)
				while (!b.wire[{i, j}].empty())
					b.deliver(i, j);
		}
		b.tick();
	}
}

void act(Bed &b, int op, int x, int y)
{
	int i = x % kNodes;
	int j = y % kNodes;

	switch (op) {
	case 0:
	case 1:
	case 2:
		b.ask(i, y % kKeys);
		break;
	case 3:
	case 4:
		b.finish(i, y, y % 4);
		break;
	case 5:
		if (i != j)
			b.link(i, j, false);
		break;
	case 6:
	case 7:
		if (i != j)
			b.link(i, j, true);
		break;
	case 8:
		b.start(i);
		break;
	case 9:
	case 10:
		b.hear(i);
		break;
	case 11:
		b.tick();
		break;
	case 12:
		for (int n = 0; n < 20; n++)
			b.tick();
		break;
	case 13:
		settle(b, 2);
		break;
	default:
		for (int n = 0; n < 1 + y % 3; n++)
			b.deliver(i, j);
		break;
	}
}

/*
 * Longer acts, in which rare orders come up more often: a node is cut off for
 * seconds, from the others, from the voters or from both, and comes back.
 */
void long_act(Bed &b, int op, int x, int y)
{
	int i = x % kNodes;

	switch (op) {
	case 0:
	case 1:
	case 2:
		b.ask(i, y % 2);
		settle(b, y % 3);
		break;
	case 3:
		b.finish(i, y, y % 4);
		settle(b, y % 3);
		break;
	case 4:
		for (int j = 0; j < kNodes; j++)
			if (j != i)
				b.link(i, j, false);
		b.deaf[i] = y % 2;
		break;
	case 5:
		for (int j = 0; j < kNodes; j++)
			if (j != i)
				b.link(i, j, true);
		break;
	case 6:
		b.deaf[i] = !b.deaf[i];
		break;
	case 7:
		b.start(i);
		for (int j = 0; j < kNodes; j++)
			if (j != i && y % 2)
				b.link(i, j, true);
		break;
	case 8:
	case 9:
		settle(b, y % 70);
		break;
	default:
		act(b, y % 24, x, y / 24);
		break;
	}
}

bool a_key_runs_once_through_long_cuts()
{
	return rc::check("a key runs once through long cuts", []() {
		Bed b;
		settle(b, 80);
		const auto steps = *rc::gen::container<
			std::vector<std::tuple<int, int, int>>>(
			100, rc::gen::tuple(rc::gen::inRange(0, 12),
					    rc::gen::inRange(0, 1000),
					    rc::gen::inRange(0, 100000)));
		for (const auto &[op, x, y] : steps)
			long_act(b, op, x, y);
	});
}

bool a_key_runs_at_most_once()
{
	return rc::check("a key runs at most once", []() {
		Bed b;
		settle(b, 80);
		RC_ASSERT(b.view->epoch != 0);
		const auto steps = *rc::gen::container<
			std::vector<std::tuple<int, int, int>>>(
			200, rc::gen::tuple(rc::gen::inRange(0, 24),
					    rc::gen::inRange(0, 1000),
					    rc::gen::inRange(0, 1000)));
		for (const auto &[op, x, y] : steps)
			act(b, op, x, y);
	});
}

/* Once all is whole again, a new key is granted and its answer found. */
bool a_healed_zone_grants_and_remembers()
{
	return rc::check("a healed zone grants and remembers", []() {
		Bed b;
		settle(b, 80);
		const auto steps = *rc::gen::container<
			std::vector<std::tuple<int, int, int>>>(
			80, rc::gen::tuple(rc::gen::inRange(0, 24),
					   rc::gen::inRange(0, 1000),
					   rc::gen::inRange(0, 1000)));
		for (const auto &[op, x, y] : steps)
			act(b, op, x, y);
		for (int i = 0; i < kNodes; i++)
			for (int j = 0; j < i; j++)
				b.link(i, j, true);
		for (bool &deaf : b.deaf)
			deaf = false;
		settle(b, 120);
		int i = *rc::gen::inRange(0, kNodes);
		b.ask(i, kKeys + 1);
		settle(b, 3);
		RC_ASSERT(!b.nodes[i].asks.empty());
		RC_ASSERT(b.nodes[i].asks.back()->granted);
		b.finish(i, (int)b.nodes[i].asks.size() - 1, 2);
		settle(b, 3);
		/* Its owner is lost; any keeper still knows the answer. */
		b.start(i);
		for (int j = 0; j < kNodes; j++)
			if (j != i)
				b.link(i, j, true);
		settle(b, 40);
		int other = (i + 1) % kNodes;
		uint64_t before = idm_stats(b.nodes[other].m).replayed;
		b.ask(other, kKeys + 1);
		settle(b, 3);
		RC_ASSERT(!b.nodes[other].asks.back()->granted);
		RC_ASSERT(idm_stats(b.nodes[other].m).replayed == before + 1);
	});
}
} // namespace

int main()
{
	bool ok = a_key_runs_at_most_once();

	ok = a_key_runs_once_through_long_cuts() && ok;
	ok = a_healed_zone_grants_and_remembers() && ok;
	return ok ? 0 : 1;
}
