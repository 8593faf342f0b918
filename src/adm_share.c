#include "adm_int.h"

/*
 * Sharing of a target's slots between entry VMs, based on what the target's
 * answers report: busy slots, and refusals because of overload. Busy slots that
 * this entry VM doesn't hold are attributed to the others. Their number decays
 * with time, since no message reports the end of other VMs' requests. A slot
 * freed by a request of this VM is known to be free: under saturation each VM
 * reuses the slots that it holds, and asks for more only as the number decays.
 */

/*
 * The number of slots held by others decays to 0 within two mean service times,
 * by when most of those requests have ended.
 */
#define ADM_DECAY_MEANS 2

/* Decay time as long as no service time is measured. */
#define ADM_DECAY_DEFAULT (200 * ADM_MS)

/*
 * Exponential backoff: each consecutive refusal because of overload doubles the
 * decay time, up to 32 times. At saturation every entry VM tries every target,
 * and each refused attempt costs the target an answer and the request a round
 * trip.
 */
#define ADM_BACKOFF_DOUBLINGS 5

static void adm_share_set(const struct adm_pool *p, struct adm_target *t,
			  int64_t now, double others);

/* Returns the estimated number of slots that other entry VMs hold. */
double adm_others_busy(const struct adm_target *t, int64_t now)
{
	int64_t age = now - t->others_updated_at;

	if (age >= t->others_decay_us)
		return 0;
	return t->others_busy *
	       (1.0 - (double)age / (double)t->others_decay_us);
}

/*
 * Returns how many idle connections this entry VM may keep to each target of a
 * pool. All entry VMs of the zone share a target's connections. Connections in
 * use are limited by the target's slots; the remaining ones are divided between
 * the VMs, so that together they never exceed the target's limit. Connections
 * in use aren't divided: with 64 connections and 30 VMs, 2 for each would keep
 * a VM that gets more requests than others from using free slots.
 */
int adm_idle_conns(const struct adm *a, uint32_t pool)
{
	const struct adm_pool *p = adm_pool_find(a, pool);
	int spare = p ? p->spec.conns - p->spec.slots : 0;

	return MAX(spare, 0) / MAX(a->conf.entries, 1);
}

/* Whether a target is estimated to have a free slot. */
bool adm_has_free_slot(const struct adm_pool *p, const struct adm_target *t,
		       int64_t now)
{
	return t->in_flight + adm_others_busy(t, now) + 1 <= p->spec.slots;
}

/*
 * Returns when a slot of a target will be estimated as free without a further
 * report; ADM_NEVER if requests of this VM hold all slots.
 */
int64_t adm_next_slot_free_at(const struct adm_pool *p,
			      const struct adm_target *t, int64_t now)
{
	int spare = p->spec.slots - 1 - t->in_flight;

	if (spare < 0)
		return ADM_NEVER;
	if (t->others_busy <= spare)
		return now;
	/* Plus 1, as the conversion rounds down. */
	return t->others_updated_at + 1 +
	       (int64_t)((double)t->others_decay_us *
			 (1.0 - spare / t->others_busy));
}

/* Sets the number of slots held by others and starts its decay. */
static void adm_share_set(const struct adm_pool *p, struct adm_target *t,
			  int64_t now, double others)
{
	int64_t decay = ADM_DECAY_MEANS * adm_mean_service(p);

	t->others_busy = CLAMP(others, 0, p->spec.slots);
	t->others_updated_at = now;
	t->others_decay_us = (decay ? decay : ADM_DECAY_DEFAULT)
			     << t->busy_streak;
}

/*
 * Records a target's report of its busy slots, which include those of this VM.
 */
void adm_share_reported(const struct adm_pool *p, struct adm_target *t,
			int64_t now, int busy)
{
	t->busy_streak = 0;
	adm_share_set(p, t, now, busy - t->in_flight);
}

/*
 * Records a refusal because of overload: other VMs hold all slots that this VM
 * doesn't.
 */
void adm_share_refused(const struct adm_pool *p, struct adm_target *t,
		       int64_t now)
{
	t->busy_streak = MIN(t->busy_streak + 1, ADM_BACKOFF_DOUBLINGS);
	adm_share_set(p, t, now, p->spec.slots - t->in_flight);
}

/*
 * Records a request that its caller cancelled or that timed out: the target may
 * continue to work on it, so that its slot counts as held by others for now.
 */
void adm_share_abandoned(const struct adm_pool *p, struct adm_target *t,
			 int64_t now)
{
	adm_share_set(p, t, now, adm_others_busy(t, now) + 1);
}
