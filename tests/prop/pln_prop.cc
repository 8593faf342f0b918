#include <glib.h>
#include <msgpack.h>
#include <rapidcheck.h>

extern "C" {
#include "../unit/fleet_make.h"
}

namespace
{

struct Fleet {
	struct flt *f;
	~Fleet()
	{
		flt_free(f);
	}
};

/*
 * A number in [from, to). The nominal size is set because inRange alone starts
 * with the least values.
 */
int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

struct flt *randomFleet()
{
	int zones = randomInt(1, 5);
	int racks = randomInt(zones, 16);
	int perRack = randomInt(1, 6);
	struct flt *f = fleet_make(zones, racks, perRack);
	int pools = randomInt(1, 5);
	int share = (int)f->vms->len / (pools + 1);

	for (int i = 0; i < pools; i++) {
		int wanted = randomInt(0, share * 3 / 2 + 2);
		int pool = fleet_pool(f, wanted, randomInt(0, wanted / 2 + 1),
				      randomInt(0, 2));
		struct flt_budget b = flt_pool(f, pool)->budget;

		b.priority = randomInt(0, 3);
		b.missing_zone = randomInt(0, 4);
		flt_set_budget(f, pool, &b);
	}
	return f;
}

/* Injects a failure, a repair, a partition or an operator's command. */
void randomEvent(struct flt *f)
{
	int vm = randomInt(0, (int)f->vms->len);
	int zone = randomInt(0, (int)f->zones->len);

	switch (randomInt(0, 9)) {
	case 0:
		flt_fail_rack(f, randomInt(0, (int)f->racks->len));
		break;
	case 1:
		flt_set_partitioned(f, zone, true);
		break;
	case 2:
		flt_set_partitioned(f, zone, false);
		break;
	case 3:
		flt_hold(f, vm, false);
		break;
	case 4:
		flt_unhold(f, vm);
		break;
	case 5:
		flt_fail_zone(f, zone);
		break;
	default:
		flt_vm_event(f, vm,
			     *rc::gen::element(FLT_FAIL, FLT_BOOTED,
					       FLT_HEALTHY));
	}
}

/* Compares the counts kept incrementally with counts from scratch. */
void checkCounts(const struct flt *f)
{
	int total = 0;

	for (int p = 0; p < (int)f->pools->len; p++) {
		const struct flt_pool *pool = flt_pool(f, p);
		std::vector<int> bySw(f->n_switches);
		int size = 0;
		int serving = 0;

		for (int v = 0; v < (int)f->vms->len; v++) {
			if (flt_vm(f, v)->pool != p)
				continue;
			size++;
			if (flt_vm(f, v)->state != FLT_UP ||
			    flt_zone_of(f, v)->partitioned)
				continue;
			serving++;
			bySw[flt_rack_of(f, v)->sw]++;
		}
		RC_ASSERT(pool->size == size);
		RC_ASSERT(pool->serving == serving);
		RC_ASSERT(pool->max_behind_switch ==
			  *std::max_element(bySw.begin(), bySw.end()));
		total += size;
	}
	RC_ASSERT(total == (int)f->vms->len);
}

/*
 * Carries out a plan move by move: no pool that gives up a VM may fall below
 * its floor, nor below it after its declared failure.
 */
void carryOut(struct flt *f, const struct pln *p)
{
	const GArray *moves = pln_moves(p);

	for (guint i = 0; i < moves->len; i++) {
		const struct pln_move *m =
			&g_array_index(moves, struct pln_move, i);

		RC_ASSERT(flt_move(f, m->vm, m->to) == FLT_OK);
		RC_ASSERT(flt_vm(f, m->vm)->pool == m->to);
		RC_ASSERT(fleet_survives(f, m->from));
	}
}

/*
 * Checks that each need which the plan does not meet is reported, and no other.
 */
void checkShortages(const struct flt *f, const struct pln *p)
{
	std::vector<bool> reported(f->pools->len);
	const GArray *s = pln_shortages(p);

	for (guint i = 0; i < s->len; i++)
		reported[g_array_index(s, struct pln_shortage, i).pool] = true;
	for (int i = 1; i < (int)f->pools->len; i++) {
		const struct flt_pool *pool = flt_pool(f, i);

		if (!reported[i])
			RC_ASSERT(pool->serving >= flt_floor(pool));
		else
			RC_ASSERT(pool->serving < pool->budget.wanted ||
				  flt_margin(pool) < 1);
	}
}

} // namespace

int main()
{
	bool ok = rc::check("plans keep budgets beside failures", [] {
		Fleet fleet{randomFleet()};
		struct pln_config c = fleet_harrowgate();
		int rounds = randomInt(1, 12);

		for (int i = 0; i < rounds; i++) {
			struct pln *p = fleet_plan(fleet.f, &c, NULL);

			carryOut(fleet.f, p);
			checkCounts(fleet.f);
			checkShortages(fleet.f, p);
			pln_free(p);
			for (int e = randomInt(0, 5); e > 0; e--)
				randomEvent(fleet.f);
			checkCounts(fleet.f);
		}
	});

	ok &= rc::check("a second plan moves nothing", [] {
		Fleet fleet{randomFleet()};
		struct pln_config c = fleet_harrowgate();

		for (int e = randomInt(0, 9); e > 0; e--)
			randomEvent(fleet.f);
		fleet_replan(fleet.f, &c);
		RC_ASSERT(fleet_replan(fleet.f, &c) == 0);
	});
	return ok ? 0 : 1;
}
