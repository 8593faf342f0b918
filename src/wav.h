#ifndef WAV_H
#define WAV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "flt.h"
#include "lstr.h"
#include "pk.h"

/*
 * A maintenance wave: drains, reboots, checks and returns the VMs it names,
 * as many at a time as budgets allow. It gives acts for the platform and
 * takes replies; a tick at least every second moves it on. Everything that
 * must survive a restart is in wav_pack beside flt_pack.
 */

/* In the order of the names in charts/wave.chart. */
enum wav_state {
	WAV_READY,
	WAV_RUNNING,
	WAV_PAUSED,
	WAV_HALTED, /* by itself, with a reason */
	WAV_ABORTING,
	WAV_ABORTED,
	WAV_DONE,
	WAV_STATES
};

enum wav_event {
	WAV_START,
	WAV_PAUSE,
	WAV_RESUME,
	WAV_ABORT,
	WAV_HALT,
	WAV_SETTLED,
	WAV_FINISH,
	WAV_EVENTS
};

/* Where a VM stands in the wave; the acts are those from drain to give back. */
enum wav_step {
	WAV_WAITING,
	WAV_DRAIN, /* reply: no work is left on it */
	WAV_REBOOT, /* reply: it is up again */
	WAV_CHECK, /* reply: it is healthy, or not yet */
	WAV_RETURN, /* reply: it gets work again */
	WAV_GIVE_BACK, /* the same, before it was rebooted */
	WAV_MAINTAINED,
	WAV_FAILED,
	WAV_STEPS
};

struct wav_config {
	int parallel; /* VMs out at once; 0: as budgets allow */
	/* failures that halt the wave; so many in every halt_among pass */
	int halt_after;
	int halt_among;
	/*
	 * So many times the VMs that have proved themselves may be unproven,
	 * once halt_after of them have; 0: as many as budgets allow
	 */
	int widen;
	int drains_max; /* drains that ran out of time before a VM is left */
	int64_t drain_ms;
	int64_t reboot_ms;
	int64_t check_ms;
	int64_t probation_ms; /* a failure so soon after return counts */
	int64_t retry_ms; /* an act without reply is sent again */
};

/*
 * For the platform, which does each key (wave, vm, step, attempt) once and
 * answers a key that it has done with the same reply.
 */
struct wav_act {
	uint64_t wave;
	int vm;
	enum wav_step step;
	uint32_t attempt;
};

struct wav_reply {
	struct wav_act act;
	bool ok;
};

/* What a call asks for; the caller owns the arrays. */
struct wav_out {
	GArray *acts; /* struct wav_act */
	GPtrArray *audit; /* char *, g_free */
};

struct wav_status {
	enum wav_state state;
	int by_step[WAV_STEPS];
	int failures; /* that count towards halt_after now */
	const char *reason; /* of the last halt, or "" */
};

struct wav;

struct wav *wav_new(uint64_t id, const struct wav_config *config,
		    const int *vms, int n);
void wav_free(struct wav *w);
bool wav_command(struct wav *w, enum wav_event ev, struct lstr who,
		 struct wav_out *out);
void wav_reply(struct wav *w, struct flt *f, const struct wav_reply *r,
	       int64_t now_ms, struct wav_out *out);
void wav_tick(struct wav *w, struct flt *f, int64_t now_ms,
	      struct wav_out *out);
void wav_status(const struct wav *w, struct wav_status *out);
const char *wav_state_name(enum wav_state state);
const char *wav_step_name(enum wav_step step);
void wav_pack(const struct wav *w, struct pk_out *o);
struct wav *wav_unpack(struct lstr bytes, GError **err);

void wav_out_init(struct wav_out *out);
void wav_out_clear(struct wav_out *out);
void wav_out_done(struct wav_out *out);

#endif
