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
/* A call waits for its answer for so long. */
const int64_t CALL_MS = 800;
/* A list is no older than that; a VM that fails is down for longer. */
const int64_t LIST_MS = 700;
const int DOWN_STEPS = 10;
/* Ticks a calm world is given to come to an end. */
const int CALM = 6000;

/* Over the whole range in every case; by itself inRange begins with the least. */
int roll(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/* A VM as it really is. */
struct Machine {
	std::string name;
	std::string worker; /* lifetime on it; "": none */
	enum vms_state state = VMS_UP;
	int64_t until = 0; /* not up until */
	uint64_t out = 0; /* wave whose upkeep it has now */
	bool held = false;
	bool cut = false;
	std::set<uint64_t> had; /* waves whose upkeep it had */
};

/*
 * An order on its way to the service. A VM has one call at a time, which ends
 * with its answer or without one; the order may be carried out after that.
 */
struct Order {
	uint64_t wave;
	std::string vm;
	int64_t due;
	int64_t until; /* its call waits for an answer until */
	bool comes; /* it gets there */
	bool told; /* its answer comes back */
	bool heard; /* its call is over */
	bool done;
};

/* What upkeep noted, on its way to the log. */
struct Note {
	uint64_t wave;
	std::string vm;
	enum jtb_vm_state state;
	std::string worker;
	int64_t due;
};

/* A run as its worker knows it. */
struct Run {
	struct jtb_name name;
	uint32_t attempt;
	std::string worker;
	int64_t from;
	int64_t ends; /* -1: lasts */
	bool stopped;
};

struct Rig {
	struct event_base *base = event_base_new();
	struct tmr *tmr = tmr_new_manual(START_MS);
	struct jtb *jtb = jtb_new(NULL, NULL);
	struct vms *vms;
	struct upk *upk;
	struct upk_ops ops = {};
	int64_t now = START_MS;
	int64_t listed = 0;
	std::vector<Machine> machines;
	std::vector<Order> orders;
	std::vector<Note> notes;
	std::vector<Run> runs;
	uint32_t atOnce[WAVES];
	int lost = roll(0, 40); /* percent of orders and of answers */
	int slow = roll(0, 4); /* ticks until a note is in the log, at most */
	uint64_t nextId = 1;
	uint64_t nextEnd = 1;

	Rig()
	{
		struct vms_config c = {};

		c.base = base;
		c.tmr = tmr;
		ops.stop = onStop;
		ops.order = onOrder;
		ops.note = onNote;
		ops.held = onHeld;
		ops.spared = onSpared;
		ops.reached = onReached;
		vms = vms_new(&c, NULL, NULL);
		upk = upk_new(jtb, vms, &ops, this);
		jobs_config(jtb, 1, "p", 3);
		machines.resize((size_t)roll(2, 10));
		for (size_t i = 0; i < machines.size(); i++) {
			machines[i].name = "vm" + std::to_string(i);
			workerUp(machines[i]);
		}
		for (int i = roll(0, 3); i > 0; i--)
			submit(true);
		for (int i = 0; i < WAVES; i++)
			wave(i);
	}
	~Rig()
	{
		upk_free(upk);
		vms_free(vms);
		jtb_free(jtb);
		tmr_free(tmr);
		event_base_free(base);
	}

	/*
	 * Two waves name VMs that are partly the same. One VM is in no wave:
	 * else what lasts may have nowhere to go, and its budget goes first.
	 */
	void wave(int i)
	{
		struct jtb_wave *w = jtb_wave_new((uint64_t)i + 1);
		struct pk_out o;

		atOnce[i] = (uint32_t)roll(1, 4);
		w->from_ms = JOBS_WALL_MS;
		w->within_ms = roll(1, 900) * STEP_MS;
		w->at_once = atOnce[i];
		for (size_t m = 1; m < machines.size(); m++)
			if (roll(0, 3))
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
		static_cast<Rig *>(arg)->stop(run);
	}

	static void onOrder(void *arg, struct jtb_wave *w,
			    struct jtb_wave_vm *vm)
	{
		static_cast<Rig *>(arg)->order(w, vm);
	}

	static void onNote(void *arg, struct jtb_wave *w,
			   struct jtb_wave_vm *vm, enum jtb_vm_state state,
			   const char *worker)
	{
		static_cast<Rig *>(arg)->note(w->no, vm->vm, state,
					      worker ? worker : "");
	}

	static bool onHeld(void *arg, const char *vm)
	{
		return static_cast<Rig *>(arg)->machine(vm).held;
	}

	static bool onSpared(void *arg, const char *vm)
	{
		return roll(0, 2);
	}

	static bool onReached(void *arg, const struct jtb_worker *w)
	{
		Machine *m = static_cast<Rig *>(arg)->machineOf(w->info.id);

		return m && !m->cut;
	}

	/* So many others of a lasting step may be away while one is ended. */
	void stop(struct jtb_run *run)
	{
		const struct jtb_step *s = &run->job->spec.steps[run->step];
		struct jtb_name n;
		uint32_t away = 0;

		if (s->flags & JTB_LONG_RUNNING) {
			for (uint32_t i = 0; i < s->count; i++)
				away += i != run->index && !atWork(run, i);
			RC_ASSERT(away < MAX(1, s->may_miss));
		}
		run->stop_wanted = true;
		jtb_name_of(run, &n);
		for (auto &r : runs)
			if (r.attempt == run->attempt &&
			    jtb_name_equal(&r.name, &n) && !r.stopped) {
				r.stopped = true;
				r.ends = now + roll(1, 5) * STEP_MS;
			}
	}

	/* Whether another task of a run's step does its work. */
	bool atWork(const struct jtb_run *run, uint32_t i)
	{
		const struct jtb_run *o = run->job->turns[run->turn]
						  .steps[run->step]
						  .tasks[i]
						  .run;
		Machine *m = o ? machineOf(o->worker->info.id) : nullptr;

		return o && !o->stop_wanted && o->percent >= 100 && m &&
		       !m->cut;
	}

	/* Nothing is ordered that isn't in the log as begun. */
	void order(const struct jtb_wave *w, const struct jtb_wave_vm *vm)
	{
		RC_ASSERT(vm->state == JTB_VM_BEGUN);
		for (auto &o : orders)
			if (o.vm == vm->vm && !o.heard)
				return;
		orders.push_back({w->no, vm->vm, now + roll(0, 12) * STEP_MS,
				  now + CALL_MS, roll(0, 100) >= lost,
				  roll(0, 100) >= lost, false, false});
	}

	/*
	 * A VM is told to be done only if it had its upkeep in that wave, and
	 * to be begun only if there was something to begin.
	 */
	void note(uint64_t no, const char *vm, enum jtb_vm_state state,
		  const char *worker)
	{
		if (state == JTB_VM_DONE)
			RC_ASSERT(machine(vm).had.count(no) == 1u);
		notes.push_back({no, vm, state, worker,
				 now + roll(0, slow + 1) * STEP_MS});
	}

	/* What an operator's service does with an order. */
	enum vms_answer carryOut(const Order &o)
	{
		Machine &m = machine(o.vm.c_str());
		uint32_t out = 0;

		if (m.had.count(o.wave))
			return VMS_YES;
		if (m.state != VMS_UP)
			return VMS_BUSY;
		for (auto &r : runs)
			RC_ASSERT(r.worker != m.worker);
		m.had.insert(o.wave);
		m.out = o.wave;
		down(m, VMS_UPKEEP, roll(5, 40));
		for (auto &other : machines)
			out += other.out == o.wave;
		RC_ASSERT(out <= atOnce[o.wave - 1]);
		return VMS_YES;
	}

	void workerUp(Machine &m)
	{
		m.state = VMS_UP;
		m.out = 0;
		m.worker = "w" + std::to_string(nextId++);
		jobs_worker(jtb, m.worker.c_str(), 16000, false);
	}

	/* The lifetime on a VM is over, with all that it runs. */
	void down(Machine &m, enum vms_state state, int steps)
	{
		for (size_t i = runs.size(); i > 0; i--)
			if (runs[i - 1].worker == m.worker)
				runs.erase(runs.begin() + (long)i - 1);
		jobs_worker_lost(jtb, m.worker.c_str(), true);
		m.worker = "";
		m.state = state;
		m.until = now + steps * STEP_MS;
	}

	void submit(bool lasts)
	{
		struct jtb_step s = {};
		std::string id = "j" + std::to_string(nextId++);

		s.count = (uint32_t)roll(1, 5);
		s.cpu = 100;
		s.estimate_ms = 500;
		s.may_miss = lasts ? (uint32_t)roll(0, 3) : 0;
		s.flags = lasts ? JTB_LONG_RUNNING : 0;
		jobs_job(jtb, id.c_str(), &s, 1, JOBS_WALL_MS);
	}

	/* Places what waits on workers that aren't closed. */
	void schedule()
	{
		GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
		GPtrArray *live = jtb_live(jtb);
		std::vector<Machine *> open;

		upk_closed(upk, closed);
		for (auto &m : machines)
			if (m.state == VMS_UP && !m.cut &&
			    !g_hash_table_contains(closed, m.worker.c_str()))
				open.push_back(&m);
		g_hash_table_destroy(closed);
		for (guint i = 0; !open.empty() && i < live->len; i++) {
			auto *job = static_cast<struct jtb_job *>(
				g_ptr_array_index(live, i));

			for (uint32_t t = 0; t < job->spec.steps[0].count; t++)
				start(job, t,
				      *open[(size_t)roll(0, (int)open.size())]);
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
				 : now + roll(1, 60) * STEP_MS;
		jobs_start(jtb, r.name.id, 0, index, r.attempt,
			   r.worker.c_str());
		if (jtb_find_run(jtb, &r.name, r.attempt, r.worker.c_str()))
			runs.push_back(r);
	}

	/* Work goes on and ends. */
	void work()
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

	/* Orders arrive, the log takes what was noted, VMs come back. */
	void settle()
	{
		for (size_t i = 0; i < notes.size();) {
			Note n = notes[i];

			if (now < n.due) {
				i++;
				continue;
			}
			notes.erase(notes.begin() + (long)i);
			logged(n);
		}
		for (size_t i = 0; i < orders.size();) {
			call(orders[i]);
			if (orders[i].heard && orders[i].done)
				orders.erase(orders.begin() + (long)i);
			else
				i++;
		}
		for (auto &m : machines)
			if (m.state != VMS_UP && now >= m.until)
				workerUp(m);
	}

	/* An order is carried out, its call ends; in any order. */
	void call(Order &o)
	{
		enum vms_answer a = VMS_UNANSWERED;

		if (!o.done && now >= o.due) {
			o.done = true;
			if (o.comes)
				a = carryOut(o);
		}
		if (o.heard || (now < o.until && !(o.done && o.told)))
			return;
		o.heard = true;
		upk_answered(upk, o.vm.c_str(), o.told ? a : VMS_UNANSWERED,
			     now);
	}

	void logged(const Note &n)
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
			struct vms_vm *vm = g_new0(struct vms_vm, 1);

			vm->name = g_strdup(m.name.c_str());
			vm->pool = g_strdup("p");
			vm->worker = g_strdup(m.worker.c_str());
			vm->state = m.state;
			vm->cpu = 16000;
			vm->mem_mb = 64000;
			g_ptr_array_add(all, vm);
		}
		vms_put_list(vms, all, now);
		listed = now;
	}

	/* Another leader: it has what is in the log, no more. */
	void newLeader()
	{
		struct pk_out o;

		for (auto &n : notes)
			if (roll(0, 2))
				logged(n);
		notes.clear();
		for (auto &o : orders)
			o.heard = true;
		pk_out_init(&o);
		jtb_snapshot(jtb, &o);
		RC_ASSERT(jtb_restore(jtb, pk_out_view(&o)));
		pk_out_done(&o);
		upk_lead(upk);
	}

	void tick()
	{
		now += STEP_MS;
		work();
		settle();
		if (now - listed >= LIST_MS || roll(0, 2))
			list();
		upk_tick(upk, now, JOBS_WALL_MS + now - START_MS);
		schedule();
	}

	void worldActs()
	{
		Machine &m = machines[(size_t)roll(0, (int)machines.size())];

		switch (roll(0, 20)) {
		case 0:
			newLeader();
			break;
		case 1:
			if (m.state == VMS_UP)
				down(m, VMS_DOWN, roll(DOWN_STEPS, 40));
			break;
		case 2:
			m.cut = roll(0, 2);
			break;
		case 3:
			m.held = roll(0, 2) && !upk_holds(upk, m.name.c_str());
			break;
		case 4:
		case 5:
			submit(false);
			break;
		default:
			break;
		}
	}

	void calm()
	{
		lost = 0;
		for (auto &m : machines) {
			m.cut = false;
			m.held = false;
		}
	}

	/* All VMs of a wave that is completed had their upkeep. */
	void completed(uint64_t no)
	{
		const struct jtb_wave *w = jtb_wave(jtb, no);

		for (guint i = 0; w->completed && i < w->vms->len; i++) {
			auto *v = static_cast<struct jtb_wave_vm *>(
				g_ptr_array_index(w->vms, i));

			RC_ASSERT(machine(v->vm).had.count(no) == 1u);
		}
	}
};

} // namespace

int main()
{
	bool ok = rc::check("upkeep breaks no budget, repeats none", [] {
		Rig r;

		for (int t = roll(20, 300); t > 0; t--) {
			r.worldActs();
			r.tick();
			for (uint64_t w = 1; w <= WAVES; w++)
				r.completed(w);
		}
	});

	ok &= rc::check("upkeep forgets none", [] {
		Rig r;

		for (int t = roll(0, 150); t > 0; t--) {
			r.worldActs();
			r.tick();
		}
		r.calm();
		for (int t = 0; t < CALM && upk_busy(r.upk); t++)
			r.tick();
		for (uint64_t w = 1; w <= WAVES; w++) {
			RC_ASSERT(jtb_wave(r.jtb, w)->completed);
			r.completed(w);
		}
		for (auto &m : r.machines)
			RC_ASSERT(!upk_holds(r.upk, m.name.c_str()));
	});
	return ok ? 0 : 1;
}
