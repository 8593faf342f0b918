#include "idm_int.h"

/*
 * Time after which a finish that no replica has acknowledged is dropped, ms: by
 * then the replicas count this daemon as failed and have stored "unknown".
 */
#define IDM_FINISH_TIMEOUT_MS 60000

static void idm_claim_send_request(struct idm *m, int64_t now,
				   struct idm_claim *claim);
static void idm_claim_send_finish(struct idm *m, int64_t now,
				  struct idm_claim *claim);

/* Frees a claim. */
void idm_claim_free(gpointer p)
{
	struct idm_claim *claim = p;

	if (claim->bytes)
		g_bytes_unref(claim->bytes);
	g_free(claim->key);
	g_free(claim);
}

/*
 * Prepares a claim of a key for a request with that digest; idm_claim_send
 * sends it. Returns the claim's id, which must be given to idm_claim_finish,
 * with IDM_FREE if the request was not run.
 */
uint64_t idm_claim_new(struct idm *m, int64_t now, struct lstr key,
		       const uint8_t digest[IDM_DIGEST], void *user)
{
	struct idm_claim *claim = g_new0(struct idm_claim, 1);
	uint64_t claim_id = m->next_claim++;

	claim->id = claim_id;
	claim->key = lstr_dup(key);
	memcpy(claim->digest, digest, IDM_DIGEST);
	claim->user = user;
	claim->since = now;
	g_hash_table_insert(m->claims, &claim->id, claim);
	return claim_id;
}

/* Sends a claim; ops->verdict reports the verdict, perhaps within this call. */
void idm_claim_send(struct idm *m, int64_t now, uint64_t claim_id)
{
	struct idm_claim *claim = g_hash_table_lookup(m->claims, &claim_id);

	if (claim && !claim->decided)
		idm_claim_send_request(m, now, claim);
}

/*
 * Ends a claim: IDM_DONE with the answer to store, IDM_UNKNOWN, or IDM_FREE if
 * the request was not run or the caller no longer waits. No verdict is reported
 * after this.
 */
void idm_claim_finish(struct idm *m, int64_t now, uint64_t claim_id,
		      enum idm_state state, struct lstr bytes)
{
	struct idm_claim *claim = g_hash_table_lookup(m->claims, &claim_id);

	if (!claim || claim->finishing)
		return;
	claim->finishing = true;
	claim->decided = true;
	claim->user = NULL;
	claim->since = now;
	claim->state = claim->granted ? state : IDM_FREE;
	claim->bytes = g_bytes_new(bytes.p, bytes.len);
	idm_claim_send_finish(m, now, claim);
}

/*
 * Sends unanswered claims and finishes again, to a new primary or one that has
 * reconnected.
 */
void idm_claim_resend_all(struct idm *m, int64_t now)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, m->claims);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(
			all, GSIZE_TO_POINTER(((struct idm_claim *)value)->id));
	for (i = 0; i < all->len; i++) {
		uint64_t claim_id = GPOINTER_TO_SIZE(g_ptr_array_index(all, i));
		struct idm_claim *claim =
			g_hash_table_lookup(m->claims, &claim_id);

		if (!claim)
			continue;
		if (claim->finishing)
			idm_claim_send_finish(m, now, claim);
		else if (!claim->decided)
			idm_claim_send_request(m, now, claim);
	}
	g_ptr_array_free(all, TRUE);
}

/* Handles the primary's verdict on a claim of this daemon. */
void idm_claim_set_verdict(struct idm *m, int64_t now, uint64_t claim_id,
			   enum idm_verdict v, struct lstr bytes)
{
	struct idm_claim *claim = g_hash_table_lookup(m->claims, &claim_id);
	void *user;

	if (!claim || claim->decided)
		return;
	if ((int)v == IDM_QUEUED) {
		claim->queued = true;
		return;
	}
	claim->decided = true;
	claim->granted = v == IDM_GRANTED;
	user = claim->user;
	claim->user = NULL;
	switch ((int)v) {
	case IDM_GRANTED:
		m->stats.granted++;
		break;
	case IDM_REPLAY:
		m->stats.replayed++;
		break;
	case IDM_INDETERMINATE:
		m->stats.indeterminate++;
		break;
	default:
		m->stats.refused++;
		break;
	}
	m->ops->verdict(m->arg, user, v, bytes);
}

/* Drops a finished claim whose outcome all replicas hold. */
void idm_claim_finish_acked(struct idm *m, uint64_t claim_id)
{
	struct idm_claim *claim = g_hash_table_lookup(m->claims, &claim_id);

	if (claim && claim->finishing)
		g_hash_table_remove(m->claims, &claim_id);
}

/*
 * Refuses claims that got no reply in time. A claim queued behind another one
 * of its key has got a reply, and waits for as long as its caller does.
 */
void idm_claim_tick(struct idm *m, int64_t now)
{
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, m->claims);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idm_claim *claim = value;

		if ((!claim->decided && !claim->queued &&
		     now - claim->since > IDM_CLAIM_TIMEOUT_MS) ||
		    (claim->finishing &&
		     now - claim->since > IDM_FINISH_TIMEOUT_MS))
			g_array_append_val(expired, claim->id);
	}
	for (i = 0; i < expired->len; i++) {
		uint64_t claim_id = g_array_index(expired, uint64_t, i);
		struct idm_claim *claim =
			g_hash_table_lookup(m->claims, &claim_id);

		if (claim->finishing)
			g_hash_table_remove(m->claims, &claim_id);
		else
			idm_claim_set_verdict(m, now, claim_id, IDM_REFUSED,
					      lstr_n("", 0));
	}
	g_array_free(expired, TRUE);
}

static void idm_claim_send_request(struct idm *m, int64_t now,
				   struct idm_claim *claim)
{
	char *freed;
	const char *primary = idm_primary_node(m, &freed);
	struct pk_out o;

	claim->queued = false;
	if (idm_is_primary(m)) {
		idm_replica_claim(m, now, m->config.node, claim->id,
				  lstr_from(claim->key),
				  lstr_n(claim->digest, IDM_DIGEST));
	} else if (primary) {
		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_u(&o, IDM_MSG_CLAIM);
		pk_u(&o, claim->id);
		pk_cstr(&o, claim->key);
		pk_str(&o, lstr_n(claim->digest, IDM_DIGEST));
		idm_send(m, primary, &o);
	}
	g_free(freed);
}

static void idm_claim_send_finish(struct idm *m, int64_t now,
				  struct idm_claim *claim)
{
	char *freed;
	const char *primary = idm_primary_node(m, &freed);
	gsize len;
	const void *p = g_bytes_get_data(claim->bytes, &len);
	struct pk_out o;

	if (idm_is_primary(m)) {
		GBytes *held = g_bytes_ref(claim->bytes);
		char *key = g_strdup(claim->key);

		idm_replica_finish(m, now, m->config.node, claim->id,
				   lstr_from(key), claim->state,
				   lstr_n(p, len));
		g_free(key);
		g_bytes_unref(held);
	} else if (primary) {
		pk_out_init(&o);
		pk_arr(&o, 5);
		pk_u(&o, IDM_MSG_FINISH);
		pk_u(&o, claim->id);
		pk_cstr(&o, claim->key);
		pk_u(&o, claim->state);
		pk_str(&o, lstr_n(p, len));
		idm_send(m, primary, &o);
	}
	g_free(freed);
}
