#include "idm_int.h"

/*
 * A finish that no keeper has acknowledged for so long is dropped, ms: the
 * keepers have taken us for gone by then and keep "unknown".
 */
#define IDM_FINISH_MS 60000

static void idm_own_send(struct idm *m, int64_t now, struct idm_own *own);
static void idm_own_send_finish(struct idm *m, int64_t now,
				struct idm_own *own);

/* Frees an ask. */
void idm_own_free(gpointer p)
{
	struct idm_own *own = p;

	if (own->bytes)
		g_bytes_unref(own->bytes);
	g_free(own->key);
	g_free(own);
}

/*
 * Makes an ask to claim a key for a request with that digest, to be sent by
 * idm_go. The result names it; it must be given to idm_finish, with IDM_FREE
 * if the request was not run.
 */
uint64_t idm_ask(struct idm *m, int64_t now, struct lstr key,
		 const uint8_t digest[IDM_DIGEST], void *user)
{
	struct idm_own *own = g_new0(struct idm_own, 1);
	uint64_t ask = m->next_ask++;

	own->ask = ask;
	own->key = lstr_dup(key);
	memcpy(own->digest, digest, IDM_DIGEST);
	own->user = user;
	own->since = now;
	g_hash_table_insert(m->own, &own->ask, own);
	return ask;
}

/* Sends an ask; the verdict comes by ops->verdict, perhaps within this call. */
void idm_go(struct idm *m, int64_t now, uint64_t ask)
{
	struct idm_own *own = g_hash_table_lookup(m->own, &ask);

	if (own && !own->told)
		idm_own_send(m, now, own);
}

/*
 * Ends an ask: IDM_DONE with the answer to keep, IDM_UNKNOWN, or IDM_FREE if
 * the request was not run or its verdict is not waited for any more. No
 * verdict comes after this.
 */
void idm_finish(struct idm *m, int64_t now, uint64_t ask, enum idm_state state,
		struct lstr bytes)
{
	struct idm_own *own = g_hash_table_lookup(m->own, &ask);

	if (!own || own->finishing)
		return;
	own->finishing = true;
	own->told = true;
	own->user = NULL;
	own->since = now;
	own->state = own->claimed ? state : IDM_FREE;
	own->bytes = g_bytes_new(bytes.p, bytes.len);
	idm_own_send_finish(m, now, own);
}

/* Sends again what has no answer: to a new first keeper, or one back again. */
void idm_own_resend(struct idm *m, int64_t now)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, m->own);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(
			all, GSIZE_TO_POINTER(((struct idm_own *)value)->ask));
	for (i = 0; i < all->len; i++) {
		uint64_t ask = GPOINTER_TO_SIZE(g_ptr_array_index(all, i));
		struct idm_own *own = g_hash_table_lookup(m->own, &ask);

		if (!own)
			continue;
		if (own->finishing)
			idm_own_send_finish(m, now, own);
		else if (!own->told)
			idm_own_send(m, now, own);
	}
	g_ptr_array_free(all, TRUE);
}

/* The first keeper's verdict on one of our asks. */
void idm_own_verdict(struct idm *m, int64_t now, uint64_t ask,
		     enum idm_verdict v, struct lstr bytes)
{
	struct idm_own *own = g_hash_table_lookup(m->own, &ask);
	void *user;

	if (!own || own->told)
		return;
	if ((int)v == IDM_WAIT) {
		own->waiting = true;
		return;
	}
	own->told = true;
	own->claimed = v == IDM_GRANTED;
	user = own->user;
	own->user = NULL;
	switch ((int)v) {
	case IDM_GRANTED:
		m->stats.granted++;
		break;
	case IDM_ANSWER:
		m->stats.replayed++;
		break;
	case IDM_LOST:
		m->stats.lost++;
		break;
	default:
		m->stats.refused++;
		break;
	}
	m->ops->verdict(m->arg, user, v, bytes);
}

/* The keepers hold the end of an ask: nothing is owed any more. */
void idm_own_finished(struct idm *m, uint64_t ask)
{
	struct idm_own *own = g_hash_table_lookup(m->own, &ask);

	if (own && own->finishing)
		g_hash_table_remove(m->own, &ask);
}

/*
 * Gives up asks that got no word. One that waits behind another sending of
 * its key has had a word, and waits for as long as its caller does.
 */
void idm_own_tick(struct idm *m, int64_t now)
{
	GArray *late = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, m->own);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idm_own *own = value;

		if ((!own->told && !own->waiting &&
		     now - own->since > IDM_ASK_MS) ||
		    (own->finishing && now - own->since > IDM_FINISH_MS))
			g_array_append_val(late, own->ask);
	}
	for (i = 0; i < late->len; i++) {
		uint64_t ask = g_array_index(late, uint64_t, i);
		struct idm_own *own = g_hash_table_lookup(m->own, &ask);

		if (own->finishing)
			g_hash_table_remove(m->own, &ask);
		else
			idm_own_verdict(m, now, ask, IDM_REFUSED,
					lstr_n("", 0));
	}
	g_array_free(late, TRUE);
}

static void idm_own_send(struct idm *m, int64_t now, struct idm_own *own)
{
	char *freed;
	const char *first = idm_first_node(m, &freed);
	struct pk_out o;

	own->waiting = false;
	if (idm_first(m)) {
		idm_keep_ask(m, now, m->config.node, own->ask,
			     lstr_from(own->key),
			     lstr_n(own->digest, IDM_DIGEST));
	} else if (first) {
		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_u(&o, IDM_MSG_ASK);
		pk_u(&o, own->ask);
		pk_cstr(&o, own->key);
		pk_str(&o, lstr_n(own->digest, IDM_DIGEST));
		idm_send(m, first, &o);
	}
	g_free(freed);
}

static void idm_own_send_finish(struct idm *m, int64_t now, struct idm_own *own)
{
	char *freed;
	const char *first = idm_first_node(m, &freed);
	gsize len;
	const void *p = g_bytes_get_data(own->bytes, &len);
	struct pk_out o;

	if (idm_first(m)) {
		GBytes *held = g_bytes_ref(own->bytes);
		char *key = g_strdup(own->key);

		idm_keep_finish(m, now, m->config.node, own->ask,
				lstr_from(key), own->state, lstr_n(p, len));
		g_free(key);
		g_bytes_unref(held);
	} else if (first) {
		pk_out_init(&o);
		pk_arr(&o, 5);
		pk_u(&o, IDM_MSG_FINISH);
		pk_u(&o, own->ask);
		pk_cstr(&o, own->key);
		pk_u(&o, own->state);
		pk_str(&o, lstr_n(p, len));
		idm_send(m, first, &o);
	}
	g_free(freed);
}
