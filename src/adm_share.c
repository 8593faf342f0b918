#include "adm_int.h"

/*
 * Slots of a target shared with other entry VMs, by what the target's own
 * answers tell: busy slots, and refusals for load. What is not ours is others'
 * and fades with time, since we hear nothing when they finish. A slot that our
 * own request has freed is known to be free: under saturation each VM goes on
 * with the slots it has, and asks for more only as knowledge fades.
 */

/* Fading starts at two mean service times: by then most of it has ended. */
#define ADM_DECAY_MEANS 2

/* Before anything is measured. */
#define ADM_DECAY_DEFAULT (200 * ADM_MS)

/*
 * Each refusal for load in a row doubles the time until we ask again, up to
 * 32 times: at saturation every VM asks every target, and each ask costs the
 * target an answer and the request a round trip.
 */
#define ADM_BACKOFF_DOUBLINGS 5

static void adm_share_set(const struct adm_pool *p, struct adm_target *t,
			  int64_t now, double others);

/* Slots that others' requests hold, as well as we know. */
double adm_others_busy(const struct adm_target *t, int64_t now)
{
	int64_t age = now - t->others_updated_at;

	if (age >= t->others_decay_us)
		return 0;
	return t->others_busy *
	       (1.0 - (double)age / (double)t->others_decay_us);
}

/*
 * Idle connections that an entry VM may keep to each target of a pool. All VMs
 * of the zone share a target's connections, and those in use are bounded by
 * its slots; what is left is divided, so that together they never fill it.
 * Dividing those in use too (64 by 30 VMs are 2 for each) would keep a VM that
 * the balancer favours from slots that are free.
 */
int adm_idle_conns(const struct adm *a, uint32_t pool)
{
	const struct adm_pool *p = adm_pool_find(a, pool);
	int spare = p ? p->spec.conns - p->spec.slots : 0;

	return MAX(spare, 0) / MAX(a->conf.entries, 1);
}

/* Whether one more request of ours fits, as well as we know. */
bool adm_has_free_slot(const struct adm_pool *p, const struct adm_target *t,
		       int64_t now)
{
	return t->in_flight + adm_others_busy(t, now) + 1 <= p->spec.slots;
}

/* When a slot will be free if we hear nothing more; ADM_NEVER: not so. */
int64_t adm_next_slot_free_at(const struct adm_pool *p,
			      const struct adm_target *t, int64_t now)
{
	int spare = p->spec.slots - 1 - t->in_flight;

	if (spare < 0)
		return ADM_NEVER;
	if (t->others_busy <= spare)
		return now;
	/* one more, as the division rounds down */
	return t->others_updated_at + 1 +
	       (int64_t)((double)t->others_decay_us *
			 (1.0 - spare / t->others_busy));
}

static void adm_share_set(const struct adm_pool *p, struct adm_target *t,
			  int64_t now, double others)
{
	int64_t fade = ADM_DECAY_MEANS * adm_mean_service(p);

	t->others_busy = CLAMP(others, 0, p->spec.slots);
	t->others_updated_at = now;
	t->others_decay_us = (fade ? fade : ADM_DECAY_DEFAULT)
			     << t->busy_streak;
}

/* A target has told how many slots are busy, ours among them. */
void adm_share_reported(const struct adm_pool *p, struct adm_target *t,
			int64_t now, int busy)
{
	t->busy_streak = 0;
	adm_share_set(p, t, now, busy - t->in_flight);
}

/* A target has refused for load: all that is not ours is others'. */
void adm_share_refused(const struct adm_pool *p, struct adm_target *t,
		       int64_t now)
{
	t->busy_streak = MIN(t->busy_streak + 1, ADM_BACKOFF_DOUBLINGS);
	adm_share_set(p, t, now, p->spec.slots - t->in_flight);
}

/*
 * Our caller left, or we gave up waiting: the target may go on with that work
 * a while, and its slot isn't free as yet.
 */
void adm_share_abandoned(const struct adm_pool *p, struct adm_target *t,
			 int64_t now)
{
	adm_share_set(p, t, now, adm_others_busy(t, now) + 1);
}
