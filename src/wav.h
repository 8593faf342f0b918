#ifndef WAV_H
#define WAV_H

/* Maintenance wave: rolling reboot of VMs within availability budgets. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "flt.h"
#include "lstr.h"
#include "pk.h"

/*
 * A maintenance wave drains, reboots, checks and returns the VMs in it, as many
 * at a time as budgets allow. It emits requests to the platform and consumes
 * the platform's replies; wav_tick(), called at least every second, advances
 * it. All that must survive a restart is in the output of wav_pack() together
 * with that of flt_pack().
 */

/* In the order of the state names in charts/wave.chart. */
enum wav_state {
	WAV_READY,
	WAV_RUNNING,
	WAV_PAUSED,
	WAV_HALTED, /* by the wave itself, after failures; see wav_status */
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

/*
 * Progress of a VM in the wave. Steps from WAV_DRAIN to WAV_GIVE_BACK have a
 * request to the platform.
 */
enum wav_step {
	WAV_WAITING,
	WAV_DRAIN, /* reply: no work is left on the VM */
	WAV_REBOOT, /* reply: the VM is up again */
	WAV_CHECK, /* reply: whether the VM is healthy yet */
	WAV_RETURN, /* reply: the VM gets work again */
	WAV_GIVE_BACK, /* the same for a VM that was not rebooted */
	WAV_MAINTAINED,
	WAV_FAILED,
	WAV_STEPS
};

struct wav_config {
	/* most VMs in maintenance at once; 0: as many as budgets allow */
	int parallel;
	/*
	 * Number of failures that halts the wave. One failure is forgiven after
	 * halt_among VMs in a row have passed their probation.
	 */
	int halt_after;
	int halt_among;
	/*
	 * Once halt_after VMs have passed their probation, at most widen times
	 * the number that passed may be unproven at a time; 0: as many as
	 * budgets allow.
	 */
	int widen;
	/* drains that time out before the wave gives up on a VM */
	int drains_max;
	/* timeouts of the steps */
	int64_t drain_ms;
	int64_t reboot_ms;
	int64_t check_ms;
	/* a failure within this time after the return counts */
	int64_t probation_ms;
	/* a request without a reply is sent again after this time */
	int64_t retry_ms;
};

/*
 * A request to the platform, which carries out each key (wave, vm, step,
 * attempt) once and answers a repeated key with the same reply.
 */
struct wav_request {
	uint64_t wave;
	int vm;
	enum wav_step step;
	uint32_t attempt;
};

struct wav_reply {
	struct wav_request request;
	bool ok;
};

/* Output of a call; the caller owns the arrays. */
struct wav_out {
	GArray *requests; /* struct wav_request, to be sent to the platform */
	GPtrArray *audit; /* char *, audit texts; freed with g_free */
};

struct wav_status {
	enum wav_state state;
	int by_step[WAV_STEPS];
	int failures; /* failures that count towards halt_after now */
	const char *reason; /* reason of the last halt, or "" */
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
