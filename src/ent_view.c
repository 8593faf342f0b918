#include "ent_int.h"

#include "msg.h"

static void ent_view_store(struct ent *e, struct lstr bytes);
static void ent_view_update_pools(struct ent *e);
static void ent_view_update_pool(struct ent *e, const struct fvw_pool *p);

/*
 * Puts a view into force if it is newer than the current one; from is the
 * sender, for the log. False: not newer, or malformed. An older view never
 * replaces a newer one: it may arrive late from a peer that was partitioned.
 */
bool ent_view_apply(struct ent *e, struct lstr bytes, const char *from)
{
	GError *err = NULL;
	struct fvw *view = fvw_update(e->view, bytes, &err);

	if (!view) {
		msg(MSG_ENT_CONFIG_BAD, "from=%s why=\"%s\"", from,
		    err->message);
		g_clear_error(&err);
		return false;
	}
	if (e->view && view->version <= e->view->version) {
		fvw_free(view);
		return false;
	}
	fvw_free(e->view);
	e->view = view;
	ent_view_store(e, bytes);
	e->view_since = tmr_now(e->tmr);
	ent_view_update_pools(e);
	tgt_check_allowed(e->targets);
	ent_key_update_view(e);
	msg(MSG_ENT_CONFIG, "version=%" G_GUINT64_FORMAT " from=%s",
	    view->version, from);
	ent_peer_send_view(e);
	ent_poll_admission(e);
	return true;
}

/* Stores the view as received, to forward it: whole, and as changes. */
static void ent_view_store(struct ent *e, struct lstr bytes)
{
	struct pk_out whole;
	struct lstr packed;

	if (e->view_bytes)
		g_bytes_unref(e->view_bytes);
	if (e->view_delta)
		g_bytes_unref(e->view_delta);
	e->view_delta = NULL;
	e->view_delta_from = fvw_delta_from(bytes);
	if (e->view_delta_from == 0) {
		e->view_bytes = g_bytes_new(bytes.p, bytes.len);
		return;
	}
	e->view_delta = g_bytes_new(bytes.p, bytes.len);
	pk_out_init(&whole);
	fvw_pack(e->view, &whole);
	packed = pk_out_view(&whole);
	e->view_bytes = g_bytes_new(packed.p, packed.len);
	pk_out_done(&whole);
}

/*
 * Returns the pool that serves a service, or NULL; *pool is the pool's entry in
 * the view.
 */
const struct ent_pool *ent_pool_of_service(struct ent *e, struct lstr service,
					   const struct fvw_pool **pool)
{
	*pool = e->view ? fvw_pool_for_service(e->view, service) : NULL;
	if (!*pool)
		return NULL;
	return g_hash_table_lookup(e->pools, (*pool)->name);
}

/*
 * Recounts the entry VMs: each uses its share of the slots here and of the
 * spare capacity of other zones.
 */
void ent_count_entries(struct ent *e)
{
	int own_zone = 1;
	int other_zones = 0;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		const struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (!p->http || !wire_is_up(p->conn))
			continue;
		if (strcmp(p->zone, e->config.zone) == 0)
			own_zone++;
		else
			other_zones++;
	}
	adm_set_entries(e->adm, own_zone, other_zones);
}

static void ent_view_update_pools(struct ent *e)
{
	guint i;

	for (i = 0; i < e->view->pools->len; i++)
		ent_view_update_pool(e, &g_array_index(e->view->pools,
						       struct fvw_pool, i));
}

static void ent_view_update_pool(struct ent *e, const struct fvw_pool *p)
{
	struct ent_pool *pool = g_hash_table_lookup(e->pools, p->name);

	if (!pool) {
		if (g_hash_table_size(e->pools) >= ADM_POOLS_MAX)
			return;
		pool = g_new0(struct ent_pool, 1);
		pool->id = g_hash_table_size(e->pools);
		g_hash_table_insert(e->pools, g_strdup(p->name), pool);
	}
	pool->deadline_ms = p->deadline_ms;
	pool->max_answer = p->max_answer;
	adm_pool_set(e->adm, pool->id,
		     &(struct adm_pool_spec){
			     .slots = p->slots,
			     .conns = p->conns,
			     .queue_us = (int64_t)p->queue_ms * ENT_US_PER_MS,
			     .deadline_us = p->deadline_ms * ENT_US_PER_MS,
			     .priority = p->priority,
		     });
}
