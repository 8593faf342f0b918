#include <rapidcheck.h>

#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "fst_in.h"
#include "mvr.h"
}

namespace
{

/* Configurations that operators apply; the last one is invalid. */
const char *const head = "[fleet]\nname = f\n[site s]\nzones = a b\n"
			 "[size std]\ncores = 16\nmemory = 64G\n"
			 "[pool check]\nservice = c\ncapacity = 2\n"
			 "[pool draft]\nservice = d\ncapacity = 1\n";
const char *const tails[] = {
	"[rack r1]\nzone = a\nvm.w1 = check std\nvm.w2 = check std\n"
	"[rack r2]\nzone = b\nvm.w3 = draft std\n",
	"[rack r1]\nzone = a\nvm.w1 = draft std\nvm.w2 = check std\n"
	"[rack r2]\nzone = b\nvm.w3 = draft std\n",
	"[rack r1]\nzone = a\nvm.w1 = check std\n"
	"[rack r2]\nzone = b\nvm.w3 = draft std\n",
	"[rack r1]\nzone = nowhere\n",
};
const char *const vms[] = {"w1", "w2", "w3", "w9"};
const char *const pools[] = {"check", "draft", "none"};
const char *const operators[] = {"anna", "ivo", "mara"};

enum Kind {
	APPLY,
	DRAIN,
	UNDRAIN,
	MOVE,
	TOGGLE,
	PRIORITY,
	RESEND,
	WAIT,
	UPDATE_VIEW,
	PARTITION,
	DECIDE,
	DELIVER,
	SNAPSHOT,
};

struct Op {
	int kind;
	int a;
	int b;
	int c;
};

void showValue(const Op &op, std::ostream &os)
{
	os << "{" << op.kind << "," << op.a << "," << op.b << "," << op.c
	   << "}";
}

/* An entry daemon with its view and whether it is partitioned from voters. */
struct Entry {
	std::string name;
	std::string zone;
	struct fvw *view;
	bool partitioned;
	uint64_t previous_version = 0; /* of the view before the present one */
};

/* A command as it was sent, for resends. */
struct Sent {
	std::string who;
	enum key_role role;
	std::string bytes;
	std::string result; /* of the first sending */
};

std::string bytes_of(const struct pk_out &o)
{
	struct lstr s = pk_out_view(&o);

	return std::string(s.p, s.len);
}

struct lstr view_of(const std::string &s)
{
	return lstr_n(s.data(), s.size());
}

class Fleet
{
      public:
	Fleet()
	{
		static const struct mvr_ops ops = {view_version, submit};

		f = fst_new();
		m = mvr_new(&ops, this);
		entries = {{"e1", "a", fvw_new(0), false},
			   {"e2", "a", fvw_new(0), false},
			   {"e3", "b", fvw_new(0), false}};
		for (auto &e : entries)
			join(e);
		apply(0, FCM_ANY_BASE, 0);
	}

	~Fleet()
	{
		for (auto &e : entries)
			fvw_free(e.view);
		mvr_free(m);
		fst_free(f);
	}

	void run(const Op &op)
	{
		switch (op.kind) {
		case APPLY:
			apply(op.a % 4,
			      op.b % 4 ? number() : (uint64_t)(op.b % 5),
			      op.c % 3);
			break;
		case DRAIN:
			drain(FCM_DRAIN, op);
			break;
		case UNDRAIN:
			drain(FCM_UNDRAIN, op);
			break;
		case MOVE:
			move(op);
			break;
		case TOGGLE:
			toggle();
			break;
		case PRIORITY:
			priority(op);
			break;
		case RESEND:
			if (!log.empty())
				resend(log[(size_t)op.a % log.size()]);
			break;
		case WAIT:
			now += op.a % 4 ? 40000 : 2400000;
			break;
		case UPDATE_VIEW:
			update_view(entries[(size_t)op.a % 3], op.c % 2);
			break;
		case PARTITION:
			entries[(size_t)op.a % 3].partitioned = op.b % 2;
			break;
		case DECIDE:
			mvr_run(m, f, now);
			break;
		case DELIVER:
			deliver(op);
			break;
		default:
			snapshot();
		}
		check();
	}

	/*
	 * Runs the mover as a leader does and applies the steps it submits.
	 * If the leader stalls before that, the steps stay queued and are
	 * delivered late.
	 */
	void lead(bool stalls)
	{
		size_t queued = queue.size();

		mvr_run(m, f, now);
		while (!stalls && queue.size() > queued) {
			append(queue.back());
			queue.pop_back();
		}
		check();
	}

	struct fst *f;

      private:
	int64_t now = 1000000000;
	std::vector<Sent> log;
	struct mvr *m;
	std::vector<Entry> entries;
	std::vector<Sent> queue; /* automatic steps not yet applied */
	uint64_t index = 0;
	uint64_t version = 0;
	uint64_t last_number = 0;
	std::map<std::string, uint64_t> epochs;
	int ids = 0;

	static uint64_t view_version(void *arg, const char *node)
	{
		for (auto &e : static_cast<Fleet *>(arg)->entries)
			if (e.name == node)
				return e.view->version;
		return 0;
	}

	static void submit(void *arg, const struct fcm_cmd *cmd)
	{
		auto *w = static_cast<Fleet *>(arg);

		w->queue.push_back(w->make("ctl", KEY_PEER, *cmd));
	}

	uint64_t number() const
	{
		const struct fst_config *c = fst_config_last(f);

		return c ? c->number : 0;
	}

	Sent make(const char *who, enum key_role role, struct fcm_cmd cmd)
	{
		std::string id = "id" + std::to_string(ids++);
		struct pk_out o;
		Sent s = {who, role, "", ""};

		cmd.id = view_of(id);
		cmd.made_ms = now;
		pk_out_init(&o);
		fcm_encode(&cmd, &o);
		s.bytes = bytes_of(o);
		pk_out_done(&o);
		return s;
	}

	std::string append(const Sent &s)
	{
		struct pk_out e;
		struct pk_out o;
		std::string result;

		pk_out_init(&e);
		pk_out_init(&o);
		fst_entry_pack(&e, now, view_of(s.who), s.role,
			       view_of(s.bytes));
		fst_apply(f, ++index, pk_out_view(&e), &o);
		result = bytes_of(o);
		pk_out_done(&e);
		pk_out_done(&o);
		return result;
	}

	void send(const char *who, const struct fcm_cmd &cmd)
	{
		Sent s = make(who, KEY_DUTY, cmd);

		s.result = append(s);
		log.push_back(s);
	}

	static enum proto_result code_of(const std::string &result)
	{
		struct fcm_result r;

		RC_ASSERT(fcm_result_unpack(&r, view_of(result)));
		fcm_result_clear(&r);
		return r.code;
	}

	/* Checks that a resend has no effect and gets the first result. */
	void resend(const Sent &s)
	{
		std::string before = state();
		std::string result = append(s);

		RC_ASSERT(state() == before);
		if (code_of(result) != PROTO_OUTCOME_UNKNOWN)
			RC_ASSERT(result == s.result);
	}

	/* The state that commands change, without the audit trail. */
	std::string state() const
	{
		struct pk_out o;
		std::string s;

		pk_out_init(&o);
		fst_view(f, &o);
		s = bytes_of(o) + std::to_string(number());
		pk_out_done(&o);
		for (guint i = 0; i < f->vms->len; i++) {
			auto *vm = static_cast<struct fst_vm *>(
				g_ptr_array_index(f->vms, i));

			s += std::to_string(vm->stamp.index) + ",";
		}
		return s;
	}

	void join(const Entry &e)
	{
		struct fcm_cmd cmd = {};

		cmd.kind = FCM_JOIN;
		cmd.node.node = view_of(e.name);
		cmd.node.zone = view_of(e.zone);
		append(make("ctl", KEY_PEER, cmd));
	}

	/* Of two changes made from one version only the first is accepted. */
	void apply(int tail, uint64_t base, int who)
	{
		std::string text = std::string(head) + tails[tail];
		uint64_t was = number();
		struct fcm_cmd cmd = {};

		cmd.kind = FCM_APPLY;
		cmd.apply.base = base;
		cmd.apply.n_files = 1;
		cmd.apply.files[0] = {LSTR("base.conf"), view_of(text)};
		send(operators[who], cmd);
		if (base != was && base != FCM_ANY_BASE)
			RC_ASSERT(number() == was);
	}

	void drain(enum fcm_kind kind, const Op &op)
	{
		struct fcm_cmd cmd = {};

		cmd.kind = kind;
		cmd.drain.target = op.b % 4 == 0;
		cmd.drain.name = lstr_from(vms[op.a % 4]);
		cmd.drain.base = FCM_ANY_BASE;
		send(operators[op.c % 3], cmd);
	}

	void move(const Op &op)
	{
		struct fcm_cmd cmd = {};
		const struct fst_vm *vm =
			fst_vm_find(f, lstr_from(vms[op.a % 4]));

		cmd.kind = FCM_MOVE;
		cmd.move.vm = lstr_from(vms[op.a % 4]);
		cmd.move.pool = lstr_from(pools[op.b % 7 % 3]);
		cmd.move.base = op.c % 2 && vm ? vm->stamp.index : FCM_ANY_BASE;
		send(operators[op.c % 3], cmd);
	}

	/* Begins the move of w1 to the other pool, or cancels its move. */
	void toggle()
	{
		const struct fst_vm *w1 = fst_vm_find(f, LSTR("w1"));
		std::string to = w1->pool;
		struct fcm_cmd cmd = {};

		if (!w1->to)
			to = to == "check" ? "draft" : "check";
		cmd.kind = FCM_MOVE;
		cmd.move.vm = LSTR("w1");
		cmd.move.pool = view_of(to);
		cmd.move.base = FCM_ANY_BASE;
		send("anna", cmd);
	}

	void priority(const Op &op)
	{
		struct fcm_cmd cmd = {};

		cmd.kind = FCM_PRIORITY;
		cmd.priority.pool = lstr_from(pools[op.a % 3]);
		cmd.priority.priority = op.b % 102 - 1;
		cmd.priority.base = FCM_ANY_BASE;
		send(operators[op.c % 3], cmd);
	}

	void update_view(Entry &e, bool outdated)
	{
		struct pk_out o;
		struct fvw *v;

		if (e.partitioned)
			return;
		pk_out_init(&o);
		/* The last version reported to the voter may be outdated. */
		fst_view_since(f, view_of(e.zone),
			       outdated ? e.previous_version : e.view->version,
			       &o);
		v = fvw_update(e.view, pk_out_view(&o), nullptr);
		pk_out_done(&o);
		RC_ASSERT(v != nullptr);
		RC_ASSERT(equals_full_view(v, e));
		RC_ASSERT(v->version >= e.view->version);
		e.previous_version = e.view->version;
		fvw_free(e.view);
		e.view = v;
	}

	/* Whether an updated view equals the full view of the state. */
	bool equals_full_view(const struct fvw *v, const Entry &e) const
	{
		struct pk_out got;
		struct pk_out whole;
		bool same;

		pk_out_init(&got);
		pk_out_init(&whole);
		fvw_pack(v, &got);
		fst_view_zone(f, view_of(e.zone), &whole);
		same = bytes_of(got) == bytes_of(whole);
		pk_out_done(&got);
		pk_out_done(&whole);
		return same;
	}

	/* Applies a queued step: late, out of order, or twice. */
	void deliver(const Op &op)
	{
		if (queue.empty())
			return;
		size_t at = (size_t)op.a % queue.size();

		append(queue[at]);
		if (op.b % 3)
			queue.erase(queue.begin() + (long)at);
	}

	void snapshot()
	{
		struct fst *other = fst_new();
		struct pk_out a;
		struct pk_out b;

		pk_out_init(&a);
		pk_out_init(&b);
		fst_snapshot(f, &a);
		RC_ASSERT(fst_restore(other, pk_out_view(&a), nullptr));
		fst_snapshot(other, &b);
		RC_ASSERT(bytes_of(a) == bytes_of(b));
		pk_out_done(&a);
		pk_out_done(&b);
		fst_free(f);
		f = other;
	}

	void check()
	{
		RC_ASSERT(fst_version(f) >= version);
		RC_ASSERT(number() >= last_number);
		RC_ASSERT(fau_verify(f->audit) == 0u);
		version = fst_version(f);
		last_number = number();
		for (guint i = 0; i < fst_member_count(f); i++) {
			struct fst_member vm;

			fst_member(f, i, &vm);
			RC_ASSERT(vm.epoch >= epochs[vm.vm]);
			epochs[vm.vm] = vm.epoch;
			check_one_pool(vm.vm);
		}
	}

	/* No two entry daemons of a VM's zone place work of different pools. */
	void check_one_pool(const char *name)
	{
		std::set<std::string> placing;

		for (auto &e : entries) {
			const struct fvw_vm *vm =
				fvw_vm(e.view, lstr_from(name));

			if (!vm || vm->drained ||
			    e.zone != cfg_vm(f->cfg, name)->zone)
				continue;
			placing.insert(g_array_index(e.view->pools,
						     struct fvw_pool, vm->pool)
					       .name);
		}
		RC_ASSERT(placing.size() <= 1u);
	}
};

/* Weights favour the kinds that provoke races of moves and views. */
rc::Gen<Op> any_op()
{
	auto number = rc::gen::inRange(0, 1000);

	return rc::gen::construct<Op>(
		rc::gen::weightedElement<int>({{2, APPLY},
					       {1, DRAIN},
					       {1, UNDRAIN},
					       {10, MOVE},
					       {1, PRIORITY},
					       {4, RESEND},
					       {3, WAIT},
					       {12, UPDATE_VIEW},
					       {4, PARTITION},
					       {10, DECIDE},
					       {8, DELIVER},
					       {2, SNAPSHOT}}),
		number, number, number);
}

/* Moves of w1 only, so that steps of successive moves overlap. */
rc::Gen<Op> move_op()
{
	return rc::gen::construct<Op>(
		rc::gen::weightedElement<int>({{2, TOGGLE},
					       {5, UPDATE_VIEW},
					       {2, WAIT},
					       {2, DELIVER}}),
		rc::gen::inRange(0, 2), rc::gen::just(1),
		rc::gen::inRange(0, 2));
}

rc::Gen<std::vector<Op>> some_ops(int size, const rc::Gen<Op> &op)
{
	return rc::gen::resize(size, rc::gen::container<std::vector<Op>>(op));
}

/* Whether a change of one byte in the audit trail's records is detected. */
bool tampering_is_detected(const struct fst *f, size_t offset)
{
	struct pk_out o;
	struct pk_in in;
	struct fau *a;
	std::string bytes;
	size_t records = 100; /* past the anchor and the last hash */

	pk_out_init(&o);
	pk_arr(&o, 1);
	fau_snapshot(f->audit, &o);
	bytes = bytes_of(o);
	pk_out_done(&o);
	bytes[records + offset % (bytes.size() - records)] ^= 0x20;
	if (!pk_in_init(&in, view_of(bytes)))
		return true;
	a = fau_restore(&in);
	pk_in_done(&in);
	fau_free(a);
	return a == nullptr;
}

} // namespace

int main()
{
	bool ok = true;

	/*
	 * Operators race and resend commands, entry daemons are partitioned
	 * and get views late, steps of a stalled leader arrive late or twice,
	 * and the state is restored from snapshots. Each command takes effect
	 * once, versions never decrease, and no VM works for two pools.
	 */
	ok &= rc::check("racing operators and delayed steps", [] {
		auto ops = *some_ops(250, any_op());
		Fleet w;

		for (const auto &op : ops)
			w.run(op);
	});

	/*
	 * A VM's move is begun, cancelled and begun again repeatedly, while
	 * entry daemons get views late and a stalled leader's steps for an
	 * older move arrive late. No two entry daemons place work of different
	 * pools on the VM.
	 */
	ok &= rc::check("delayed steps of a cancelled move", [] {
		auto ops = *some_ops(600, move_op());
		Fleet w;

		for (const auto &op : ops) {
			w.run(op);
			w.lead(op.c == 1);
		}
	});

	/*
	 * One byte of the audit trail is changed, to hide who did what. The
	 * hash chain then no longer leads to its last hash.
	 */
	ok &= rc::check("tampering with the audit trail is detected", [] {
		auto ops = *some_ops(30, any_op());
		auto offset = *rc::gen::inRange<size_t>(0, 100000);
		Fleet w;

		for (const auto &op : ops)
			w.run(op);
		RC_ASSERT(tampering_is_detected(w.f, offset));
	});
	return ok ? 0 : 1;
}
