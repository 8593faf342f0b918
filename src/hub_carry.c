#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Choice of the replica that sends the calls to a worker. */

static bool hub_relay_send(void *arg, const char *addr, struct lstr payload);
static bool hub_relay_needed(const struct hub *h);

static const struct rly_ops hub_rly_ops = {
	.send = hub_relay_send,
};

/* Initialises the list of relays, which is empty. */
void hub_relay_init(struct hub *h)
{
	h->rly = rly_new(h->tmr, &hub_rly_ops, h);
	h->peers = g_ptr_array_new_with_free_func(g_free);
	h->relays = g_ptr_array_new();
}

/* Frees the list of relays; no call may be open. */
void hub_relay_free(struct hub *h)
{
	rly_free(h->rly);
	g_ptr_array_free(h->relays, TRUE);
	g_ptr_array_free(h->peers, TRUE);
}

/* Becomes leader: drops the calls relayed for an earlier leader. */
void hub_relay_lead(struct hub *h, uint64_t term)
{
	rly_relay_cancel_all(h->relay_server);
	rly_set_term(h->rly, term);
}

/*
 * Finds the reachable replicas and those of them that can relay calls. Replicas
 * that do not lead ask as well, since a new leader has many calls to make at
 * once.
 */
void hub_relay_tick(struct hub *h)
{
	guint before = h->relays->len;
	guint i;

	g_ptr_array_set_size(h->relays, 0);
	g_ptr_array_set_size(h->peers, 0);
	rep_reachable_members(h->rep, h->peers);
	for (i = 0; hub_relay_needed(h) && i < h->peers->len; i++) {
		char *addr = g_ptr_array_index(h->peers, i);

		if (rly_is_ready(h->rly, addr))
			g_ptr_array_add(h->relays, addr);
		rly_request_clock(h->rly, addr);
	}
	if (h->leading && h->relays->len != before)
		msg(MSG_HUB_CARRIERS,
		    "ready=%u before=%u reached=%u lost=%" PRIu64,
		    h->relays->len, before, h->peers->len,
		    rly_stats(h->rly).lost);
}

/*
 * Whether the fleet is so large that its leader has other replicas relay calls.
 */
static bool hub_relay_needed(const struct hub *h)
{
	return g_hash_table_size(jtb_workers(h->jtb)) >=
	       h->config.relay_min_workers;
}

/*
 * Returns the address of the replica that relays the calls to a worker; NULL:
 * this replica calls the worker itself.
 */
const char *hub_relay_addr(void *arg, const struct jtb_worker *w, uint32_t turn)
{
	const struct hub *h = arg;
	int i = lod_pick_relay(h->relays->len, g_str_hash(w->info.id), turn);

	return i < 0 ? NULL : g_ptr_array_index(h->relays, i);
}

/*
 * Records that the leader of a relaying fleet gave the first order of a run
 * itself, since no relay was ready or a call to the worker had no answer.
 */
void hub_relay_direct(void *arg, const struct jtb_run *run, uint32_t n_lost)
{
	struct hub *h = arg;

	if (!hub_relay_needed(h))
		return;
	h->counts[HUB_DIRECT_STARTS]++;
	msg_job(MSG_HUB_DIRECT, run->job->spec.id,
		"job=%s step=%u index=%u worker=%s why=%s lost=%u",
		run->job->spec.id, run->step, run->index, run->worker->info.id,
		h->relays->len ? "calls-lost" : "no-relay", n_lost);
}

/* Sends a message to another replica. */
static bool hub_relay_send(void *arg, const char *addr, struct lstr payload)
{
	struct hub *h = arg;

	return rep_send_to(h->rep, addr, payload);
}
