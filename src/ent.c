#include "ent_int.h"

#include "msg.h"

/* Largest body of any request; a pool may allow less. */
#define ENT_BODY_MAX (8u << 20)

/*
 * A client that sends nothing for longer is disconnected, so that it doesn't
 * hold a connection.
 */
#define ENT_READ_TIMEOUT_MS 15000

#define ENT_ADMIN_BODY_MAX 4096

#define ENT_TICK_INTERVAL_MS 100

static void ent_tick(void *arg, int64_t now);
static void ent_stop_accepting(void *arg, int64_t now);
static void ent_stop_loop(void *arg, int64_t now);

/*
 * Creates the daemon on config->base and starts to listen and connect. Returns
 * NULL and sets err if a step failed.
 */
struct ent *ent_new(const struct ent_config *config, GError **err)
{
	struct ent *e = g_new0(struct ent, 1);

	e->config = *config;
	e->tmr = tmr_new(config->base);
	e->memory = mbd_new(mbd_limit((uint64_t)config->memory));
	e->ups = ups_new(config->base, e->tmr);
	ups_set_conns_max(e->ups,
			  (unsigned int)config->descriptors.share[FDB_TARGETS]);
	e->adm = adm_new(&(struct adm_config){
		.seed = g_str_hash(config->node),
		.entries = 1,
	});
	e->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->peers = g_ptr_array_new_with_free_func(ent_peer_free);
	e->zones = g_ptr_array_new_with_free_func(g_free);
	e->requests = g_ptr_array_new();
	g_ptr_array_add(e->zones, g_strdup(config->zone));
	e->targets = tgt_table_new(&ent_target_ops, e);
	ent_key_start(e);
	e->wire = wire_new(&(struct wire_config){
		.base = config->base,
		.tmr = e->tmr,
		.keys = config->keys,
		.node = config->node,
		.zone = config->zone,
		.silence_ms = config->silence_ms,
		.memory = e->memory,
		.conns_max = config->descriptors.share[FDB_PEERS],
	});
	e->admin = srv_new(
		&(struct srv_config){
			.base = config->base,
			.tmr = e->tmr,
			.addr = config->admin,
			.max_body = ENT_ADMIN_BODY_MAX,
			.memory = e->memory,
			.io_timeout_ms = ENT_READ_TIMEOUT_MS,
			.max_conns = config->descriptors.share[FDB_OPERATORS],
		},
		&ent_admin_ops, e, err);
	if (e->admin)
		e->callers = srv_new(
			&(struct srv_config){
				.base = config->base,
				.tmr = e->tmr,
				.addr = config->listen,
				.max_body = ENT_BODY_MAX,
				.memory = e->memory,
				.io_timeout_ms = ENT_READ_TIMEOUT_MS,
				.max_conns = MIN(
					(int)config->max_conns,
					config->descriptors.share[FDB_CALLERS]),
			},
			&ent_caller_ops, e, err);
	if (!e->callers || !ent_peer_start(e, err)) {
		ent_free(e);
		return NULL;
	}
	tmr_every(e->tmr, ENT_TICK_INTERVAL_MS, ent_tick, e);
	msg(MSG_START, "node=%s zone=%s listen=%s admin=%s", config->node,
	    config->zone, config->listen, config->admin);
	return e;
}

/* Stops at once; requests without answers are aborted. */
void ent_free(struct ent *e)
{
	if (!e)
		return;
	srv_free(e->callers);
	srv_free(e->admin);
	ups_free(e->ups);
	wire_free(e->wire);
	mbd_free(e->memory);
	g_ptr_array_free(e->peers, TRUE);
	tgt_table_free(e->targets);
	idm_free(e->idm);
	adm_free(e->adm);
	g_ptr_array_free(e->requests, TRUE);
	g_hash_table_destroy(e->pools);
	g_ptr_array_free(e->zones, TRUE);
	fvw_free(e->view);
	if (e->view_bytes)
		g_bytes_unref(e->view_bytes);
	if (e->view_delta)
		g_bytes_unref(e->view_delta);
	tmr_free(e->tmr);
	g_free(e);
}

/*
 * Starts a graceful shutdown. First only the health page fails, so that the
 * load balancer sends no new requests, while all requests are still served;
 * then new connections are refused and each answer closes its connection; the
 * event loop ends with the last request in flight.
 */
void ent_drain(struct ent *e)
{
	if (e->draining)
		return;
	e->draining = true;
	msg(MSG_ENT_DRAIN, "pending=%u", e->requests->len);
	ent_peer_send_capacity(e);
	tmr_once(e->tmr, e->config.drain_ms, ent_stop_accepting, e);
}

/*
 * Returns the current time in microseconds, on the clock that the admission
 * control uses.
 */
int64_t ent_now_us(const struct ent *e)
{
	return tmr_now(e->tmr) * ENT_US_PER_MS;
}

static void ent_tick(void *arg, int64_t now)
{
	struct ent *e = arg;

	int64_t paused_ms =
		tmr_paused_ms(&e->ticked_ms, now, ENT_TICK_INTERVAL_MS);

	if (paused_ms) {
		tgt_resumed(e->targets, now, paused_ms);
		idm_resumed(e->idm, now, paused_ms);
	}
	tgt_tick(e->targets, now);
	idm_tick(e->idm, now);
	ent_poll_admission(e);
	if (e->stopping && srv_stats(e->callers).pending == 0 &&
	    srv_stats(e->callers).open == 0)
		ent_stop_loop(e, now);
}

static void ent_stop_accepting(void *arg, int64_t now)
{
	struct ent *e = arg;

	e->stopping = true;
	srv_stop_accepting(e->callers);
	srv_drain(e->callers);
	tmr_once(e->tmr, e->config.stop_ms, ent_stop_loop, e);
}

static void ent_stop_loop(void *arg, int64_t now)
{
	struct ent *e = arg;

	msg(MSG_STOP, "node=%s pending=%u", e->config.node, e->requests->len);
	event_base_loopbreak(e->config.base);
}
