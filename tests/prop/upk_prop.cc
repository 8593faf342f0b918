#include <glib.h>
#include <msgpack.h>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "../unit/jobs_make.h"
#include "upk.h"
}

namespace
{

const int64_t STEP_MS = 100;
const int64_t START_MS = 100000;
const int WAVES = 2;
/* Time for which a call waits for its answer. */
const int64_t CALL_MS = 800;
/* Greatest age of the VM list, and least ticks that a VM that fails is down. */
const int64_t LIST_MS = 700;
const int DOWN_STEPS = 2;
/* Most ticks from a VM's arrival until lists have it. */
const int UNLISTED_STEPS = 5;
/* Most ticks from a worker's arrival until lists name it. */
const int UNNAMED_STEPS = 4;
/* Most ticks of an outage in which no list can be read. */
const int OUTAGE_STEPS = 120;
/* Ticks within which all waves complete once faults have stopped. */
const int SETTLE_TICKS = 6000;

/*
 * A number in [from, to). The nominal size is set because inRange alone starts
 * with the least values.
 */
int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/* Actual state of a VM. */
struct Machine {
	std::string name;
	std::string worker; /* id of the worker on it; "": none */
	enum vms_state state = VMS_UP;
	int64_t upAt = 0; /* time at which it is up again */
	uint64_t upkeepWave = 0; /* wave whose upkeep is under way; 0: none */
	bool moving = false;
	bool partitioned = false;
	int64_t listedFrom = 0; /* a VM that has just come is listed later */
	bool gone = false; /* removed for good */
	int64_t namedFrom = 0; /* its worker is named later */
	std::set<uint64_t> upkeepsHad; /* waves in which it had its upkeep */
};

/*
 * An order sent to the platform. A VM has one call at a time, which ends with
 * an answer or without one; the order may be carried out after that.
 */
struct Order {
	uint64_t wave;
	std::string vm;
	int64_t due;
	int64_t deadline; /* its call waits until then */
	bool delivered; /* it is delivered */
	bool answered; /* its answer is delivered */
	bool ended; /* its call has ended */
	bool done;
};

/* A state change that upk recorded, not yet in the log. */
struct Record {
	uint64_t wave;
	std::string vm;
	enum jtb_vm_state state;
	std::string worker;
	int64_t due;
};

/* A run as the worker has it. */
struct Run {
	struct jtb_name name;
	uint32_t attempt;
	std::string worker;
	int64_t from;
	int64_t ends; /* -1: long-running */
	bool stopped;
};

struct World {
	struct event_base *base = event_base_new();
	struct tmr *tmr = tmr_new_manual(START_MS);
	struct jtb *jtb = jtb_new(NULL, NULL);
	struct vms *vms;
	struct upk *upk;
	struct upk_ops ops = {};
	int64_t now = START_MS;
	int64_t listed = 0;
	int64_t outageUntil = 0; /* no list can be read until then */
	std::vector<Machine> machines;
	std::vector<Order> orders;
	std::vector<Record> records;
	std::vector<Run> runs;
	uint32_t limit[WAVES];
	int lossPercent =
		randomInt(0, 40); /* percentage of orders and of answers */
	int maxLogDelay =
		randomInt(0, 4); /* most ticks until a record is in the log */
	uint64_t nextId = 1;
	uint64_t nextEnd = 1;

	World()
	{
		struct vms_config c = {};

		c.base = base;
		c.tmr = tmr;
		ops.stop = onStop;
		ops.order = onOrder;
		ops.note = onNote;
		ops.is_moving = onMoving;
		ops.is_spare = onSpare;
		ops.is_reachable = onReachable;
		vms = vms_new(&c, NULL, NULL);
		upk = upk_new(jtb, vms, &ops, this);
		jobs_config(jtb, 1, "p", 3);
		machines.resize((size_t)randomInt(2, 10));
		for (size_t i = 0; i < machines.size(); i++) {
			machines[i].name = "vm" + std::to_string(i);
			workerUp(machines[i]);
		}
		list();
		addNewVms();
		for (int i = randomInt(0, 3); i > 0; i--)
			submit(true);
		for (int i = 0; i < WAVES; i++)
			addWave(i);
	}
	~World()
	{
		upk_free(upk);
		vms_free(vms);
		jtb_free(jtb);
		tmr_free(tmr);
		event_base_free(base);
	}

	/* Adds VMs that the newest list lacks, which the waves may name. */
	void addNewVms()
	{
		for (int i = randomInt(0, 3); i > 0; i--) {
			Machine m;

			m.name = "vm" + std::to_string(machines.size());
			m.listedFrom =
				now + randomInt(0, UNLISTED_STEPS) * STEP_MS;
			workerUp(m);
			machines.push_back(m);
		}
	}

	/*
	 * Adds one of two waves with overlapping VMs. One VM is in no wave:
	 * otherwise long-running work might have no other VM to run on, and its
	 * budget takes precedence.
	 */
	void addWave(int i)
	{
		struct jtb_wave *w = jtb_wave_new((uint64_t)i + 1);
		struct pk_out o;

		limit[i] = (uint32_t)randomInt(1, 4);
		w->from_ms = JOBS_WALL_MS;
		w->within_ms = randomInt(1, 900) * STEP_MS;
		w->at_once = limit[i];
		for (size_t m = 1; m < machines.size(); m++)
			if (randomInt(0, 3))
				jtb_wave_add(w, machines[m].name.c_str());
		pk_out_init(&o);
		jtb_put_wave(&o, w);
		jobs_apply(jtb, &o);
		jtb_wave_free(w);
	}

	Machine &machine(const char *name)
	{
		for (auto &m : machines)
			if (m.name == name)
				return m;
		RC_FAIL("no such VM");
	}

	Machine *machineOf(const std::string &worker)
	{
		for (auto &m : machines)
			if (m.worker == worker)
				return &m;
		return nullptr;
	}

	static void onStop(void *arg, struct jtb_run *run, const char *why)
	{
		static_cast<World *>(arg)->stop(run);
	}

	static void onOrder(void *arg, struct jtb_wave *w,
			    struct jtb_wave_vm *vm)
	{
		static_cast<World *>(arg)->order(w, vm);
	}

	static void onNote(void *arg, struct jtb_wave *w,
			   struct jtb_wave_vm *vm, enum jtb_vm_state state,
			   const char *worker)
	{
		static_cast<World *>(arg)->note(w->no, vm->vm, state,
						worker ? worker : "");
	}

	static bool onMoving(void *arg, const char *vm)
	{
		return static_cast<World *>(arg)->machine(vm).moving;
	}

	static bool onSpare(void *arg, const char *vm)
	{
		return randomInt(0, 2);
	}

	static bool onReachable(void *arg, const struct jtb_worker *w)
	{
		Machine *m = static_cast<World *>(arg)->machineOf(w->info.id);

		return m && !m->partitioned;
	}

	/*
	 * While a long-running run is stopped, fewer than MAX(1, may_miss)
	 * other tasks of its step may be unavailable.
	 */
	void stop(struct jtb_run *run)
	{
		const struct jtb_step *s = &run->job->spec.steps[run->step];
		struct jtb_name n;
		uint32_t away = 0;

		if (s->flags & JTB_LONG_RUNNING) {
			for (uint32_t i = 0; i < s->count; i++)
				away += i != run->index && !isAvailable(run, i);
			RC_ASSERT(away < MAX(1, s->may_miss));
		}
		run->stop_wanted = true;
		jtb_name_of(run, &n);
		for (auto &r : runs)
			if (r.attempt == run->attempt &&
			    jtb_name_equal(&r.name, &n) && !r.stopped) {
				r.stopped = true;
				r.ends = now + randomInt(1, 5) * STEP_MS;
			}
	}

	/* Whether another task of a run's step is available. */
	bool isAvailable(const struct jtb_run *run, uint32_t i)
	{
		const struct jtb_run *o = run->job->turns[run->turn]
						  .steps[run->step]
						  .tasks[i]
						  .run;
		Machine *m = o ? machineOf(o->worker->info.id) : nullptr;

		return o && !o->stop_wanted && o->percent >= 100 && m &&
		       !m->partitioned;
	}

	/* An order is sent only for a VM that the log has as begun. */
	void order(const struct jtb_wave *w, const struct jtb_wave_vm *vm)
	{
		RC_ASSERT(vm->state == JTB_VM_BEGUN);
		for (auto &o : orders)
			if (o.vm == vm->vm && !o.ended)
				return;
		orders.push_back(
			{w->no, vm->vm, now + randomInt(0, 12) * STEP_MS,
			 now + CALL_MS, randomInt(0, 100) >= lossPercent,
			 randomInt(0, 100) >= lossPercent, false, false});
	}

	/*
	 * A VM is recorded as done only if it had its upkeep in that wave, or
	 * is gone.
	 */
	void note(uint64_t no, const char *vm, enum jtb_vm_state state,
		  const char *worker)
	{
		if (state == JTB_VM_DONE)
			RC_ASSERT(machine(vm).gone ||
				  machine(vm).upkeepsHad.count(no) == 1u);
		records.push_back(
			{no, vm, state, worker,
			 now + randomInt(0, maxLogDelay + 1) * STEP_MS});
	}

	/* Carries out an order as the operator's platform does. */
	enum vms_answer carryOut(const Order &o)
	{
		Machine &m = machine(o.vm.c_str());
		uint32_t ongoing = 0;

		if (m.gone)
			return VMS_NO_SUCH;
		if (m.upkeepsHad.count(o.wave))
			return VMS_ACCEPTED;
		if (m.state != VMS_UP)
			return VMS_BUSY;
		for (auto &r : runs)
			RC_ASSERT(r.worker != m.worker);
		m.upkeepsHad.insert(o.wave);
		m.upkeepWave = o.wave;
		down(m, VMS_UPKEEP, randomInt(5, 40));
		for (auto &other : machines)
			ongoing += other.upkeepWave == o.wave;
		RC_ASSERT(ongoing <= limit[o.wave - 1]);
		return VMS_ACCEPTED;
	}

	void workerUp(Machine &m)
	{
		m.state = VMS_UP;
		m.upkeepWave = 0;
		m.worker = "w" + std::to_string(nextId++);
		m.namedFrom = now + randomInt(0, UNNAMED_STEPS) * STEP_MS;
		jobs_worker(jtb, m.worker.c_str(), 16000, false);
	}

	/* Ends the worker on a VM with all its runs. */
	void down(Machine &m, enum vms_state state, int steps)
	{
		for (size_t i = runs.size(); i > 0; i--)
			if (runs[i - 1].worker == m.worker)
				runs.erase(runs.begin() + (long)i - 1);
		jobs_worker_lost(jtb, m.worker.c_str(), true);
		m.worker = "";
		m.state = state;
		m.upAt = now + steps * STEP_MS;
	}

	/* Removes a VM for good, but the one that is in no wave. */
	void remove(Machine &m)
	{
		if (&m == &machines[0] || m.gone)
			return;
		if (m.state == VMS_UP)
			down(m, VMS_DOWN, 0);
		m.gone = true;
		m.upkeepWave = 0;
	}

	void submit(bool longRunning)
	{
		struct jtb_step s = {};
		std::string id = "j" + std::to_string(nextId++);

		s.count = (uint32_t)randomInt(1, 5);
		s.cpu = 100;
		s.estimate_ms = 500;
		s.may_miss = longRunning ? (uint32_t)randomInt(0, 3) : 0;
		s.flags = longRunning ? JTB_LONG_RUNNING : 0;
		jobs_job(jtb, id.c_str(), &s, 1, JOBS_WALL_MS);
	}

	/* Starts waiting tasks on workers that are not closed. */
	void schedule()
	{
		GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
		GPtrArray *live = jtb_live(jtb);
		std::vector<Machine *> open;

		upk_add_closed(upk, closed);
		for (auto &m : machines)
			if (m.state == VMS_UP && !m.partitioned &&
			    !g_hash_table_contains(closed, m.worker.c_str()))
				open.push_back(&m);
		g_hash_table_destroy(closed);
		for (guint i = 0; !open.empty() && i < live->len; i++) {
			auto *job = static_cast<struct jtb_job *>(
				g_ptr_array_index(live, i));

			for (uint32_t t = 0; t < job->spec.steps[0].count; t++)
				start(job, t,
				      *open[(size_t)randomInt(
					      0, (int)open.size())]);
		}
	}

	void start(struct jtb_job *job, uint32_t index, const Machine &m)
	{
		const struct jtb_step_state *part = job->turns[0].steps;
		Run r = {};

		if (jtb_job_ended(job) || (part && (part->tasks[index].run ||
						    part->tasks[index].done)))
			return;
		g_strlcpy(r.name.id, job->spec.id, sizeof(r.name.id));
		r.name.index = index;
		r.attempt = part ? part->tasks[index].attempt + 1 : 1;
		r.worker = m.worker;
		r.from = now;
		r.ends = job->spec.steps[0].flags & JTB_LONG_RUNNING
				 ? -1
				 : now + randomInt(1, 60) * STEP_MS;
		jobs_start(jtb, r.name.id, 0, index, r.attempt,
			   r.worker.c_str());
		if (jtb_find_run(jtb, &r.name, r.attempt, r.worker.c_str()))
			runs.push_back(r);
	}

	/* Updates the progress of runs and ends those that are due. */
	void progressRuns()
	{
		for (size_t i = runs.size(); i > 0; i--) {
			Run r = runs[i - 1];
			struct jtb_run *known = jtb_find_run(
				jtb, &r.name, r.attempt, r.worker.c_str());
			struct pk_out o;

			if (known)
				known->percent =
					now - r.from > 3 * STEP_MS ? 100 : 10;
			if (r.ends < 0 || now < r.ends)
				continue;
			pk_out_init(&o);
			jtb_put_end(&o, r.worker.c_str(), nextEnd++, &r.name,
				    r.attempt,
				    r.stopped ? JTB_STOPPED : JTB_DONE,
				    lstr_n("", 0), JOBS_WALL_MS);
			jobs_apply(jtb, &o);
			runs.erase(runs.begin() + (long)i - 1);
		}
	}

	/*
	 * Delivers orders, commits records to the log and brings VMs up again.
	 */
	void deliverAll()
	{
		for (size_t i = 0; i < records.size();) {
			Record n = records[i];

			if (now < n.due) {
				i++;
				continue;
			}
			records.erase(records.begin() + (long)i);
			commitRecord(n);
		}
		for (size_t i = 0; i < orders.size();) {
			call(orders[i]);
			if (orders[i].ended && orders[i].done)
				orders.erase(orders.begin() + (long)i);
			else
				i++;
		}
		for (auto &m : machines)
			if (m.state != VMS_UP && !m.gone && now >= m.upAt)
				workerUp(m);
	}

	/* Carries out an order and ends its call, in either sequence. */
	void call(Order &o)
	{
		enum vms_answer a = VMS_UNANSWERED;

		if (!o.done && now >= o.due) {
			o.done = true;
			if (o.delivered)
				a = carryOut(o);
		}
		if (o.ended || (now < o.deadline && !(o.done && o.answered)))
			return;
		o.ended = true;
		upk_answered(upk, o.vm.c_str(), o.answered ? a : VMS_UNANSWERED,
			     now);
	}

	void commitRecord(const Record &n)
	{
		struct pk_out o;

		pk_out_init(&o);
		jtb_put_vm(&o, n.wave, n.vm.c_str(), n.state,
			   n.worker.empty() ? NULL : n.worker.c_str());
		jobs_apply(jtb, &o);
	}

	void list()
	{
		GPtrArray *all = g_ptr_array_new_with_free_func(vms_vm_free);

		for (auto &m : machines) {
			struct vms_vm *vm;

			if (m.gone || now < m.listedFrom)
				continue;
			vm = g_new0(struct vms_vm, 1);
			vm->name = g_strdup(m.name.c_str());
			vm->pool = g_strdup("p");
			vm->worker = g_strdup(
				now < m.namedFrom ? "" : m.worker.c_str());
			vm->state = m.state;
			vm->cpu = 16000;
			vm->mem_mb = 64000;
			g_ptr_array_add(all, vm);
		}
		vms_put_list(vms, all, now);
		listed = now;
	}

	/* Replaces the leader: the new one has only what is in the log. */
	void newLeader()
	{
		struct pk_out o;

		for (auto &n : records)
			if (randomInt(0, 2))
				commitRecord(n);
		records.clear();
		for (auto &o : orders)
			o.ended = true;
		pk_out_init(&o);
		jtb_snapshot(jtb, &o);
		RC_ASSERT(jtb_restore(jtb, pk_out_view(&o)));
		pk_out_done(&o);
		upk_reset(upk);
	}

	void tick()
	{
		now += STEP_MS;
		progressRuns();
		deliverAll();
		if (now >= outageUntil &&
		    (now - listed >= LIST_MS || randomInt(0, 2)))
			list();
		upk_tick(upk, now, JOBS_WALL_MS + now - START_MS);
		schedule();
	}

	void injectFault()
	{
		Machine &m =
			machines[(size_t)randomInt(0, (int)machines.size())];

		switch (randomInt(0, 20)) {
		case 0:
			newLeader();
			break;
		case 1:
			if (m.state == VMS_UP)
				down(m, VMS_DOWN, randomInt(DOWN_STEPS, 40));
			break;
		case 2:
			m.partitioned = randomInt(0, 2);
			break;
		case 3:
			m.moving = randomInt(0, 2) &&
				   !upk_is_in_upkeep(upk, m.name.c_str());
			break;
		case 4:
		case 5:
			submit(false);
			break;
		case 6:
			outageUntil =
				now + randomInt(0, OUTAGE_STEPS) * STEP_MS;
			break;
		case 7:
			if (randomInt(0, 4) == 0)
				remove(m);
			break;
		default:
			break;
		}
	}

	void stopFaults()
	{
		lossPercent = 0;
		outageUntil = 0;
		for (auto &m : machines) {
			m.partitioned = false;
			m.moving = false;
		}
	}

	/* In a completed wave every VM had its upkeep, or is gone. */
	void checkCompleted(uint64_t no)
	{
		const struct jtb_wave *w = jtb_wave(jtb, no);

		for (guint i = 0; w->completed && i < w->vms->len; i++) {
			auto *v = static_cast<struct jtb_wave_vm *>(
				g_ptr_array_index(w->vms, i));

			RC_ASSERT(machine(v->vm).gone ||
				  machine(v->vm).upkeepsHad.count(no) == 1u);
		}
	}
};

} // namespace

int main()
{
	bool ok = rc::check(
		"upkeep keeps budgets and limits, repeats no upkeep", [] {
			World r;

			for (int t = randomInt(20, 300); t > 0; t--) {
				r.injectFault();
				r.tick();
				for (uint64_t w = 1; w <= WAVES; w++)
					r.checkCompleted(w);
			}
		});

	ok &= rc::check("all waves complete after faults stop", [] {
		World r;

		for (int t = randomInt(0, 150); t > 0; t--) {
			r.injectFault();
			r.tick();
		}
		r.stopFaults();
		for (int t = 0; t < SETTLE_TICKS && upk_busy(r.upk); t++)
			r.tick();
		for (uint64_t w = 1; w <= WAVES; w++) {
			RC_ASSERT(jtb_wave(r.jtb, w)->completed);
			r.checkCompleted(w);
		}
		for (auto &m : r.machines)
			RC_ASSERT(!upk_is_in_upkeep(r.upk, m.name.c_str()));
	});
	return ok ? 0 : 1;
}
