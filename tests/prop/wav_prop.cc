#include <glib.h>
#include <msgpack.h>
#include <rapidcheck.h>

extern "C" {
#include "../unit/fake_platform.h"
#include "../unit/fleet_make.h"
}

namespace
{

const int64_t TICK_MS = 20000;
const int WAVES = 2;

/*
 * A number in [from, to). The nominal size is set because inRange alone starts
 * with the least values.
 */
int randomInt(int from, int to)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/* A fleet, two waves over the same VMs, and a platform for each wave. */
struct World {
	struct flt *f;
	struct wav *w[WAVES];
	struct fake *p[WAVES];
	struct wav_out out;
	std::vector<int> losses; /* failures of each VM that tests injected */
	int64_t now = 1000;

	World()
	{
		int zones = randomInt(1, 4);
		struct pln_config plan = fleet_harrowgate();
		struct wav_config c = fake_wave_config();
		std::vector<int> vms;

		f = fleet_make(zones, randomInt(zones, 10), randomInt(1, 5));
		for (int i = randomInt(1, 4); i > 0; i--) {
			int wanted = randomInt(0, (int)f->vms->len / 3 + 1);

			fleet_pool(f, wanted, randomInt(0, wanted + 1),
				   randomInt(0, 2));
		}
		fleet_replan(f, &plan);
		losses.resize(f->vms->len);
		for (int i = 0; i < (int)f->vms->len; i++)
			vms.push_back(i);
		wav_out_init(&out);
		for (int i = 0; i < WAVES; i++) {
			w[i] = wav_new((uint64_t)i + 1, &c, vms.data(),
				       (int)vms.size());
			p[i] = fake_new((int)vms.size(),
					(guint32)randomInt(0, 99));
			p[i]->lost_percent = randomInt(0, 30);
			p[i]->bad_percent = randomInt(0, 2) * randomInt(0, 100);
			wav_command(w[i], WAV_START, LSTR("prop"), &out);
		}
	}
	~World()
	{
		for (int i = 0; i < WAVES; i++) {
			wav_free(w[i]);
			fake_free(p[i]);
		}
		flt_free(f);
		wav_out_done(&out);
	}

	/* Restarts the control daemon from its packed state. */
	void restart()
	{
		struct pk_out o;

		pk_out_init(&o);
		flt_pack(f, &o);
		flt_free(f);
		f = flt_unpack(pk_out_view(&o), NULL);
		pk_out_done(&o);
		RC_ASSERT(f != nullptr);
		for (auto &wave : w) {
			pk_out_init(&o);
			wav_pack(wave, &o);
			wav_free(wave);
			wave = wav_unpack(pk_out_view(&o), NULL);
			pk_out_done(&o);
			RC_ASSERT((wave != nullptr));
		}
	}

	std::vector<enum flt_state> states() const
	{
		std::vector<enum flt_state> s;

		for (int i = 0; i < (int)f->vms->len; i++)
			s.push_back(flt_vm(f, i)->state);
		return s;
	}

	/*
	 * Runs a tick of a wave. A VM that it newly drains or reboots leaves
	 * its pool able to survive the declared failure, no request is sent to
	 * a partitioned zone, and no VM is rebooted twice except one that
	 * failed during its maintenance.
	 */
	void tick(int i)
	{
		auto before = states();

		fake_tick(p[i], w[i], f, now, &out);
		for (int v = 0; v < (int)before.size(); v++) {
			enum flt_state s = flt_vm(f, v)->state;

			if (s != before[v] &&
			    (s == FLT_DRAINING || s == FLT_REBOOTING))
				RC_ASSERT(
					fleet_survives(f, flt_vm(f, v)->pool));
			RC_ASSERT(p[i]->reboots[v] <= 1 + losses[v]);
		}
		for (guint a = 0; a < out.requests->len; a++)
			RC_ASSERT(!flt_zone_of(f, g_array_index(
							  out.requests,
							  struct wav_request, a)
							  .vm)
					   ->partitioned);
	}

	void injectFault()
	{
		auto before = states();

		randomEvent();
		for (int v = 0; v < (int)before.size(); v++)
			losses[v] += before[v] != FLT_DOWN &&
				     flt_vm(f, v)->state == FLT_DOWN;
	}

	void randomEvent()
	{
		int vm = randomInt(0, (int)f->vms->len);
		int zone = randomInt(0, (int)f->zones->len);

		switch (randomInt(0, 24)) {
		case 0:
			flt_fail_rack(f, randomInt(0, (int)f->racks->len));
			break;
		case 1:
			flt_fail_zone(f, zone);
			break;
		case 2:
		case 3:
			flt_set_partitioned(f, zone, randomInt(0, 2));
			break;
		case 4:
			flt_hold(f, vm, false);
			break;
		case 5:
			flt_unhold(f, vm);
			break;
		case 6:
			flt_vm_event(f, vm, FLT_FAIL);
			break;
		case 7:
			repair();
			break;
		case 8:
			command(randomInt(0, WAVES),
				*rc::gen::element(WAV_PAUSE, WAV_RESUME,
						  WAV_RESUME, WAV_ABORT));
			break;
		case 9:
			replan();
			break;
		case 10:
			restart();
			break;
		default:
			break;
		}
	}

	void command(int i, enum wav_event ev)
	{
		wav_command(w[i], ev, LSTR("prop"), &out);
	}

	void replan()
	{
		struct pln_config plan = fleet_harrowgate();

		fleet_replan(f, &plan);
	}

	void repair()
	{
		for (int v = 0; v < (int)f->vms->len; v++) {
			if (flt_vm(f, v)->state != FLT_DOWN)
				continue;
			flt_vm_event(f, v, FLT_BOOTED);
			flt_vm_event(f, v, FLT_HEALTHY);
		}
	}
};

} // namespace

int main()
{
	bool ok = rc::check("waves keep budgets, repeat no reboot", [] {
		World r;

		for (int t = randomInt(20, 150); t > 0; t--) {
			r.now += TICK_MS;
			r.injectFault();
			r.tick(randomInt(0, WAVES));
		}
	});

	ok &= rc::check("all VMs return to service", [] {
		World r;
		struct wav_status s;

		for (int t = randomInt(0, 40); t > 0; t--) {
			r.now += TICK_MS;
			r.injectFault();
			r.tick(randomInt(0, WAVES));
		}
		for (int z = 0; z < (int)r.f->zones->len; z++)
			flt_set_partitioned(r.f, z, false);
		for (int v = 0; v < (int)r.f->vms->len; v++)
			flt_unhold(r.f, v);
		for (int t = 0; t < 3000; t++) {
			r.now += TICK_MS;
			r.repair();
			for (int i = 0; i < WAVES; i++) {
				r.command(i, WAV_RESUME);
				r.tick(i);
			}
		}
		/*
		 * All VMs have returned to service, whatever state the waves
		 * are in.
		 */
		for (int v = 0; v < (int)r.f->vms->len; v++) {
			RC_ASSERT(flt_vm(r.f, v)->wave == FLT_NO_WAVE);
			RC_ASSERT(flt_vm(r.f, v)->state == FLT_UP);
		}
		for (int i = 0; i < WAVES; i++) {
			wav_status(r.w[i], &s);
			if (s.state == WAV_DONE)
				RC_ASSERT(s.by_step[WAV_WAITING] == 0);
			else
				RC_ASSERT(s.state == WAV_ABORTED ||
					  s.by_step[WAV_WAITING] > 0);
		}
	});
	return ok ? 0 : 1;
}
