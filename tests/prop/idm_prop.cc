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
 * Entry daemons of one zone replicate the idempotency store while connections
 * break and are restored, daemons restart without their records, and views
 * agreed on by the voters arrive late. Callers send the same key to any daemon,
 * any number of times. In every case a key runs at most once, and a replayed
 * answer is the right one.
 */
namespace
{
constexpr int kNodes = 4;
constexpr int kKeys = 3;
constexpr int64_t kTickMs = 100;

struct Fixture;

struct Claim {
	uint64_t id;
	std::string key;
	bool granted = false;
	bool ran = false;
};

struct Node {
	Fixture *fixture;
	int at;
	std::string name;
	struct idm *m = nullptr;
	uint64_t boot = 0;
	std::vector<std::unique_ptr<Claim>> claims;
	uint64_t view_received = 0;
};

struct Fixture {
	Node nodes[kNodes];
	std::map<std::pair<int, int>, std::deque<std::string>> wire;
	bool up[kNodes][kNodes] = {};
	bool partitioned[kNodes] = {}; /* partitioned from the voters */
	int64_t now = 1;
	uint64_t boots = 100;
	struct idm_view *view = idm_view_new(0, 0);
	std::map<std::string, int> runs;
	std::map<std::string, std::string> answers;
	std::set<std::string> kept; /* keys whose answer all replicas held */

	Fixture();
	~Fixture();
	void start(int i);
	void link(int i, int j, bool on);
	void deliver(int i, int j);
	void receive_view(int i);
	void tick();
	void claim(int i, int k);
	void finish(int i, int n, int outcome);
	std::string key(int k) const
	{
		return "z." + std::to_string(view->epoch) + "." +
		       std::to_string(k);
	}
};

Node *node_named(Fixture *f, const char *name)
{
	for (auto &n : f->nodes)
		if (n.name == name)
			return &n;
	return nullptr;
}

void on_send(void *arg, const char *node, struct lstr bytes)
{
	auto *n = static_cast<Node *>(arg);
	Node *to = node_named(n->fixture, node);

	if (to && n->fixture->up[n->at][to->at])
		n->fixture->wire[{n->at, to->at}].emplace_back(bytes.p,
							       bytes.len);
}

/* Plays the voters: accepts the first proposal for each number. */
void on_propose(void *arg, const struct idm_view *next_view)
{
	Fixture *f = static_cast<Node *>(arg)->fixture;

	if (next_view->number != f->view->number + 1)
		return;
	idm_view_free(f->view);
	f->view = idm_view_copy(next_view);
}

void on_verdict(void *arg, void *user, enum idm_verdict v, struct lstr bytes)
{
	Fixture *f = static_cast<Node *>(arg)->fixture;
	auto *a = static_cast<Claim *>(user);

	RC_ASSERT(a != nullptr);
	if (v == IDM_GRANTED) {
		a->granted = true;
	} else if (v == IDM_REPLAY) {
		RC_ASSERT(f->runs[a->key] == 1);
		RC_ASSERT(std::string(bytes.p, bytes.len) ==
			  f->answers[a->key]);
	}
}

const struct idm_ops kOps = {
	.send = on_send,
	.propose = on_propose,
	.verdict = on_verdict,
};

Fixture::Fixture()
{
	for (int i = 0; i < kNodes; i++) {
		nodes[i].fixture = this;
		nodes[i].at = i;
		nodes[i].name = "e" + std::to_string(i);
		start(i);
	}
	for (int i = 0; i < kNodes; i++)
		for (int j = 0; j < i; j++)
			link(i, j, true);
}

Fixture::~Fixture()
{
	for (auto &n : nodes)
		idm_free(n.m);
	idm_view_free(view);
}

/* Starts or restarts a node; a restart loses all its records. */
void Fixture::start(int i)
{
	Node &n = nodes[i];

	for (int j = 0; j < kNodes; j++)
		if (j != i && up[i][j])
			link(i, j, false);
	idm_free(n.m);
	n.claims.clear();
	n.boot = ++boots;
	n.view_received = 0;
	struct idm_config config = {
		.node = n.name.c_str(),
		.boot = n.boot,
		.max_bytes = 1 << 20,
		.retention_ms = IDM_RETENTION_MS,
	};
	n.m = idm_new(&config, &kOps, &n);
}

void Fixture::link(int i, int j, bool on)
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

void Fixture::deliver(int i, int j)
{
	auto &q = wire[{i, j}];

	if (q.empty())
		return;
	std::string bytes = q.front();
	q.pop_front();
	idm_recv(nodes[j].m, now, nodes[i].name.c_str(),
		 lstr_n(bytes.data(), bytes.size()));
}

void Fixture::receive_view(int i)
{
	if (view->number <= nodes[i].view_received)
		return;
	nodes[i].view_received = view->number;
	idm_set_view(nodes[i].m, now, view);
}

void Fixture::tick()
{
	now += kTickMs;
	for (auto &n : nodes)
		idm_tick(n.m, now);
}

/* Like the entry daemon, claims only keys of the epoch it knows. */
void Fixture::claim(int i, int k)
{
	Node &n = nodes[i];
	static const uint8_t digest[IDM_DIGEST] = {1};
	auto a = std::make_unique<Claim>();

	if (idm_epoch(n.m) == 0 || idm_epoch(n.m) != view->epoch)
		return;
	a->key = key(k);
	Claim *raw = a.get();
	n.claims.push_back(std::move(a));
	raw->id = idm_claim_new(n.m, now, lstr_from(raw->key.c_str()), digest,
				raw);
	idm_claim_send(n.m, now, raw->id);
}

/* Reports whether the entry daemon has run the request. */
void Fixture::finish(int i, int at, int outcome)
{
	Node &n = nodes[i];

	if (n.claims.empty())
		return;
	Claim *a = n.claims[at % n.claims.size()].get();
	if (!a->granted) {
		idm_claim_finish(n.m, now, a->id, IDM_FREE, lstr_n("", 0));
	} else if (outcome == 0) {
		idm_claim_finish(n.m, now, a->id, IDM_FREE, lstr_n("", 0));
	} else {
		RC_ASSERT(++runs[a->key] <= 1);
		answers[a->key] = a->key + " by " + n.name;
		idm_claim_finish(n.m, now, a->id,
				 outcome == 1 ? IDM_UNKNOWN : IDM_DONE,
				 lstr_from(answers[a->key].c_str()));
	}
	n.claims.erase(n.claims.begin() + at % (int)n.claims.size());
}

void settle(Fixture &f, int rounds)
{
	for (int r = 0; r < rounds; r++) {
		for (int i = 0; i < kNodes; i++) {
			if (!f.partitioned[i])
				f.receive_view(i);
			for (int j = 0; j < kNodes; j++)
				while (!f.wire[{i, j}].empty())
					f.deliver(i, j);
		}
		f.tick();
	}
}

void run_step(Fixture &f, int op, int x, int y)
{
	int i = x % kNodes;
	int j = y % kNodes;

	switch (op) {
	case 0:
	case 1:
	case 2:
		f.claim(i, y % kKeys);
		break;
	case 3:
	case 4:
		f.finish(i, y, y % 4);
		break;
	case 5:
		if (i != j)
			f.link(i, j, false);
		break;
	case 6:
	case 7:
		if (i != j)
			f.link(i, j, true);
		break;
	case 8:
		f.start(i);
		break;
	case 9:
	case 10:
		f.receive_view(i);
		break;
	case 11:
		f.tick();
		break;
	case 12:
		for (int n = 0; n < 20; n++)
			f.tick();
		break;
	case 13:
		settle(f, 2);
		break;
	default:
		for (int n = 0; n < 1 + y % 3; n++)
			f.deliver(i, j);
		break;
	}
}

/*
 * Longer steps, which produce rare orders more often: a node is partitioned for
 * seconds from the other nodes, from the voters or from both, and reconnects.
 */
void run_long_step(Fixture &f, int op, int x, int y)
{
	int i = x % kNodes;

	switch (op) {
	case 0:
	case 1:
	case 2:
		f.claim(i, y % 2);
		settle(f, y % 3);
		break;
	case 3:
		f.finish(i, y, y % 4);
		settle(f, y % 3);
		break;
	case 4:
		for (int j = 0; j < kNodes; j++)
			if (j != i)
				f.link(i, j, false);
		f.partitioned[i] = y % 2;
		break;
	case 5:
		for (int j = 0; j < kNodes; j++)
			if (j != i)
				f.link(i, j, true);
		break;
	case 6:
		f.partitioned[i] = !f.partitioned[i];
		break;
	case 7:
		f.start(i);
		for (int j = 0; j < kNodes; j++)
			if (j != i && y % 2)
				f.link(i, j, true);
		break;
	case 8:
	case 9:
		settle(f, y % 70);
		break;
	default:
		run_step(f, y % 24, x, y / 24);
		break;
	}
}

bool key_runs_once_despite_long_partitions()
{
	return rc::check("a key runs once despite long partitions", []() {
		Fixture f;
		settle(f, 80);
		const auto steps = *rc::gen::container<
			std::vector<std::tuple<int, int, int>>>(
			100, rc::gen::tuple(rc::gen::inRange(0, 12),
					    rc::gen::inRange(0, 1000),
					    rc::gen::inRange(0, 100000)));
		for (const auto &[op, x, y] : steps)
			run_long_step(f, op, x, y);
	});
}

bool key_runs_at_most_once()
{
	return rc::check("a key runs at most once", []() {
		Fixture f;
		settle(f, 80);
		RC_ASSERT(f.view->epoch != 0);
		const auto steps = *rc::gen::container<
			std::vector<std::tuple<int, int, int>>>(
			200, rc::gen::tuple(rc::gen::inRange(0, 24),
					    rc::gen::inRange(0, 1000),
					    rc::gen::inRange(0, 1000)));
		for (const auto &[op, x, y] : steps)
			run_step(f, op, x, y);
	});
}

/*
 * Once all partitions have ended, a new key is granted and its answer is
 * replayed.
 */
bool healed_zone_grants_and_replays()
{
	return rc::check("a healed zone grants and replays", []() {
		Fixture f;
		settle(f, 80);
		const auto steps = *rc::gen::container<
			std::vector<std::tuple<int, int, int>>>(
			80, rc::gen::tuple(rc::gen::inRange(0, 24),
					   rc::gen::inRange(0, 1000),
					   rc::gen::inRange(0, 1000)));
		for (const auto &[op, x, y] : steps)
			run_step(f, op, x, y);
		for (int i = 0; i < kNodes; i++)
			for (int j = 0; j < i; j++)
				f.link(i, j, true);
		for (bool &partitioned : f.partitioned)
			partitioned = false;
		settle(f, 120);
		int i = *rc::gen::inRange(0, kNodes);
		f.claim(i, kKeys + 1);
		settle(f, 3);
		RC_ASSERT(!f.nodes[i].claims.empty());
		RC_ASSERT(f.nodes[i].claims.back()->granted);
		f.finish(i, (int)f.nodes[i].claims.size() - 1, 2);
		settle(f, 3);
		/* The owner restarts; any replica still knows the answer. */
		f.start(i);
		for (int j = 0; j < kNodes; j++)
			if (j != i)
				f.link(i, j, true);
		settle(f, 40);
		int other = (i + 1) % kNodes;
		uint64_t before = idm_stats(f.nodes[other].m).replayed;
		f.claim(other, kKeys + 1);
		settle(f, 3);
		RC_ASSERT(!f.nodes[other].claims.back()->granted);
		RC_ASSERT(idm_stats(f.nodes[other].m).replayed == before + 1);
	});
}
} // namespace

int main()
{
	bool ok = key_runs_at_most_once();

	ok = key_runs_once_despite_long_partitions() && ok;
	ok = healed_zone_grants_and_replays() && ok;
	return ok ? 0 : 1;
}
