#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Which replica makes the calls to a worker. */

static bool hub_carry_send(void *arg, const char *addr, struct lstr payload);
static uint64_t hub_carry_term(void *arg);

static const struct rly_ops hub_rly_ops = {
	.send = hub_carry_send,
	.term = hub_carry_term,
};

/* Begins without carriers. */
void hub_carry_init(struct hub *h)
{
	h->rly = rly_new(h->tmr, &hub_rly_ops, h);
	h->carriers = g_ptr_array_new_with_free_func(g_free);
}

/* Frees it; no call may be open. */
void hub_carry_free(struct hub *h)
{
	rly_free(h->rly);
	g_ptr_array_free(h->carriers, TRUE);
}

/* We lead: what an earlier leader had us do is broken off. */
void hub_carry_lead(struct hub *h)
{
	rly_carry_drop(h->carry);
	hub_carry_tick(h);
}

/* Looks which replicas can make calls for us. */
void hub_carry_tick(struct hub *h)
{
	guint before = h->carriers->len;

	g_ptr_array_set_size(h->carriers, 0);
	rep_others(h->rep, h->carriers);
	if (h->carriers->len != before)
		msg(MSG_HUB_CARRIERS, "reached=%u before=%u lost=%" PRIu64,
		    h->carriers->len, before, rly_stats(h->rly).lost);
}

/* The replica that makes the calls to a worker, or NULL: we do. */
const char *hub_carrier(void *arg, const struct jtb_worker *w, uint32_t turn)
{
	const struct hub *h = arg;
	guint workers = g_hash_table_size(jtb_workers(h->jtb));
	int i = -1;

	if (workers >= h->config.carry_from)
		i = lod_carrier(h->carriers->len, g_str_hash(w->info.id), turn);
	return i < 0 ? NULL : g_ptr_array_index(h->carriers, i);
}

/* Sends a message to another replica. */
static bool hub_carry_send(void *arg, const char *addr, struct lstr payload)
{
	struct hub *h = arg;

	return rep_send_to(h->rep, addr, payload);
}

/* The term in which we lead. */
static uint64_t hub_carry_term(void *arg)
{
	const struct hub *h = arg;

	return rep_term(h->rep);
}
