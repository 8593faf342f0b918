#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Which replica makes the calls to a worker. */

static bool hub_carry_send(void *arg, const char *addr, struct lstr payload);
static bool hub_carry_large(const struct hub *h);

static const struct rly_ops hub_rly_ops = {
	.send = hub_carry_send,
};

/* Begins without carriers. */
void hub_carry_init(struct hub *h)
{
	h->rly = rly_new(h->tmr, &hub_rly_ops, h);
	h->others = g_ptr_array_new_with_free_func(g_free);
	h->carriers = g_ptr_array_new();
}

/* Frees it; no call may be open. */
void hub_carry_free(struct hub *h)
{
	rly_free(h->rly);
	g_ptr_array_free(h->carriers, TRUE);
	g_ptr_array_free(h->others, TRUE);
}

/* We lead: what an earlier leader had us do is broken off. */
void hub_carry_lead(struct hub *h, uint64_t term)
{
	rly_carry_drop(h->carry);
	rly_lead(h->rly, term);
}

/*
 * Looks which replicas are reached, and which of them can make calls. Those that
 * don't lead ask too: the next leader has many calls to make in its first moment.
 */
void hub_carry_tick(struct hub *h)
{
	guint before = h->carriers->len;
	guint i;

	g_ptr_array_set_size(h->carriers, 0);
	g_ptr_array_set_size(h->others, 0);
	rep_others(h->rep, h->others);
	for (i = 0; hub_carry_large(h) && i < h->others->len; i++) {
		char *addr = g_ptr_array_index(h->others, i);

		if (rly_ready(h->rly, addr))
			g_ptr_array_add(h->carriers, addr);
		rly_ask(h->rly, addr);
	}
	if (h->leading && h->carriers->len != before)
		msg(MSG_HUB_CARRIERS,
		    "ready=%u before=%u reached=%u lost=%" PRIu64,
		    h->carriers->len, before, h->others->len,
		    rly_stats(h->rly).lost);
}

/* Whether the fleet is so large that its leader leaves calls to others. */
static bool hub_carry_large(const struct hub *h)
{
	return g_hash_table_size(jtb_workers(h->jtb)) >= h->config.carry_from;
}

/* The replica that makes the calls to a worker, or NULL: we do. */
const char *hub_carrier(void *arg, const struct jtb_worker *w, uint32_t turn)
{
	const struct hub *h = arg;
	int i = lod_pick_relay(h->carriers->len, g_str_hash(w->info.id), turn);

	return i < 0 ? NULL : g_ptr_array_index(h->carriers, i);
}

/* Sends a message to another replica. */
static bool hub_carry_send(void *arg, const char *addr, struct lstr payload)
{
	struct hub *h = arg;

	return rep_send_to(h->rep, addr, payload);
}
