#include <rapidcheck.h>
#include <string>
#include <vector>

extern "C" {
#include "div.h"
}

namespace
{

const double CORES = 32;
/* Rules whose entitlements follow the pools' needs. */
const std::vector<std::string> WAYS = {"ratio", "marginal", "max-min"};
const std::vector<std::string> ALL_WAYS = {"first-come", "ratio", "marginal",
					   "max-min"};

int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

struct div_pool randomPool()
{
	struct div_pool p = {};

	p.name = "p";
	p.held = (guint)randomInt(0, 100);
	p.movable = (guint)randomInt(0, (int)p.held + 1);
	p.keep = (guint)randomInt(0, 8);
	p.claim = randomInt(0, 4) ? 0 : (guint)randomInt(0, 20);
	p.vm_cores = CORES;
	p.in_time = randomInt(0, 3) ? randomInt(0, 4000) : 0;
	p.begun = randomInt(0, (int)p.in_time + 1);
	p.late = randomInt(0, 3) ? randomInt(0, 4000) : 0;
	p.load = p.in_time + 0.4 * p.late;
	p.weight = randomInt(1, 5);
	p.priority = (uint32_t)randomInt(0, 3);
	p.empty_ms = randomInt(0, 2000);
	return p;
}

std::vector<struct div_pool> randomPools()
{
	std::vector<struct div_pool> pools;

	for (int i = randomInt(1, 8); i > 0; i--)
		pools.push_back(randomPool());
	return pools;
}

const struct div_way *randomWay(const std::vector<std::string> &ways)
{
	return div_find_way(
		ways[(size_t)randomInt(0, (int)ways.size())].c_str());
}

std::vector<struct div_pair> plan(const struct div_way *way,
				  std::vector<struct div_pool> &pools)
{
	GArray *a = div_plan(way, pools.data(), (guint)pools.size());
	std::vector<struct div_pair> pairs;

	for (guint i = 0; i < a->len; i++)
		pairs.push_back(g_array_index(a, struct div_pair, i));
	g_array_free(a, TRUE);
	return pairs;
}

void sumIsKept()
{
	auto pools = randomPools();
	auto pairs = plan(randomWay(ALL_WAYS), pools);
	std::vector<int> after;
	guint held = 0;
	guint entitled = 0;

	for (auto &p : pools) {
		held += p.held;
		entitled += p.entitled;
		after.push_back((int)p.held);
	}
	RC_ASSERT(held == entitled);
	for (auto &pair : pairs) {
		RC_ASSERT(pair.count > 0u);
		RC_ASSERT(pair.from != pair.to);
		after[pair.from] -= (int)pair.count;
		after[pair.to] += (int)pair.count;
	}
	for (size_t i = 0; i < pools.size(); i++)
		RC_ASSERT(after[i] == (int)pools[i].entitled);
}

void nobodyFallsBelowWhatItKeeps()
{
	auto pools = randomPools();

	plan(randomWay(ALL_WAYS), pools);
	for (auto &p : pools) {
		RC_ASSERT(p.entitled >= div_least(&p));
		RC_ASSERT(p.entitled + p.movable >= p.held);
		RC_ASSERT(p.entitled >= MIN(p.keep, p.held));
	}
}

/* A VM of no use to its pool does not stay while another could use it. */
void noVmIsIdleWhileAnotherPoolCouldUseIt()
{
	auto pools = randomPools();

	plan(div_find_way("marginal"), pools);
	for (auto &giver : pools)
		for (auto &taker : pools) {
			double rest = (giver.entitled - 1) * CORES;

			if (giver.entitled > div_least(&giver) &&
			    rest >= div_need(&giver))
				RC_ASSERT(taker.entitled * CORES >=
					  div_need(&taker));
		}
}

/* More need that can be in time never leaves a pool with fewer VMs. */
void moreNeedGetsNoLess()
{
	auto before = randomPools();
	auto after = before;
	size_t i = (size_t)randomInt(0, (int)before.size());
	const struct div_way *way = randomWay(WAYS);

	after[i].in_time += randomInt(1, 2000);
	after[i].load = after[i].in_time + 0.4 * after[i].late;
	plan(way, before);
	plan(way, after);
	RC_ASSERT(after[i].entitled >= before[i].entitled);
}

/* A plan that was carried out asks for nothing that goes back. */
void carriedOutPlanIsNotReversed()
{
	auto pools = randomPools();
	const struct div_way *way = randomWay(ALL_WAYS);
	auto first = plan(way, pools);

	for (auto &p : pools) {
		guint came = p.entitled > p.held ? p.entitled - p.held : 0;

		p.movable -= p.entitled < p.held ? p.held - p.entitled : 0;
		p.held = p.entitled;
		p.movable = MIN(p.movable, p.held - came);
	}
	for (auto &again : plan(way, pools))
		for (auto &pair : first)
			RC_ASSERT(again.from != pair.to ||
				  again.to != pair.from);
}

} // namespace

int main()
{
	bool ok = rc::check("the sum of VMs is kept, pairs lead to the result",
			    sumIsKept);

	ok &= rc::check("nobody falls below what it must keep",
			nobodyFallsBelowWhatItKeeps);
	ok &= rc::check("no VM is idle while another pool could use it",
			noVmIsIdleWhileAnotherPoolCouldUseIt);
	ok &= rc::check("more need gets no less", moreNeedGetsNoLess);
	ok &= rc::check("a plan that was carried out is not reversed",
			carriedOutPlanIsNotReversed);
	return ok ? 0 : 1;
}
