#include "idm_int.h"

/*
 * What a record costs beside its answer, bytes: names, tables, allocations.
 * Measured by idm_bench as the growth of the process for each record.
 */
#define IDM_RECORD_COST 400

static struct idm_record *idm_new_record(struct idm *m, struct lstr key,
					 struct lstr digest);
static void idm_claim(struct idm *m, int64_t now, struct idm_record *r,
		      const char *owner, uint64_t ask);
static void idm_set_bytes(struct idm *m, struct idm_record *r,
			  struct lstr bytes);
static void idm_put(struct idm *m, int64_t now, struct idm_record *r);
static void idm_pack_record(struct pk_out *o, const struct idm_record *r);
static void idm_take_record(struct idm *m, int64_t now, struct pk_in *in);
static void idm_kept(struct idm *m, int64_t now, struct idm_record *r);
static void idm_kept_free(struct idm *m, int64_t now, struct idm_record *r);
static void idm_tell(struct idm *m, int64_t now, const char *node, uint64_t ask,
		     int verdict, struct lstr bytes);
static void idm_tell_finished(struct idm *m, const char *node, uint64_t ask);
static void idm_wait(struct idm *m, int64_t now, struct idm_record *r,
		     const char *node, uint64_t ask);
static void idm_unwait(struct idm_record *r, const char *node, uint64_t ask);
static void idm_wake(struct idm *m, int64_t now, struct idm_record *r);
static void idm_remove(struct idm *m, struct idm_record *r);
static bool idm_owner_gone(struct idm *m, int64_t now, struct idm_record *r);
static GPtrArray *idm_all_records(struct idm *m);
static bool idm_is_new(const struct idm *m, const struct idm_peer *p,
		       const struct idm_view *old);

static void idm_waiter_free(gpointer p)
{
	struct idm_waiter *w = p;

	g_free(w->node);
	g_free(w);
}

/* Frees a record. */
void idm_record_free(gpointer p)
{
	struct idm_record *r = p;

	if (r->waiters)
		g_ptr_array_free(r->waiters, TRUE);
	if (r->bytes)
		g_bytes_unref(r->bytes);
	g_free(r->owner);
	g_free(r->key);
	g_free(r);
}

/*
 * A node asks for a key; we should be the first keeper. If the view says
 * otherwise, nothing is answered: the asker hears of the right one, or gives
 * up with "not run".
 */
void idm_keep_ask(struct idm *m, int64_t now, const char *from, uint64_t ask,
		  struct lstr key, struct lstr digest)
{
	char *name = lstr_dup(key);
	struct idm_record *r = g_hash_table_lookup(m->records, name);
	gsize len = 0;
	const void *p;

	g_free(name);
	if (!idm_first(m) || !m->complete)
		return;
	if (!r) {
		/* Never forget a key to make room: it could run twice. */
		if (m->bytes + IDM_RECORD_COST > m->config.max_bytes) {
			idm_tell(m, now, from, ask, IDM_REFUSED, lstr_n("", 0));
			return;
		}
		r = idm_new_record(m, key, digest);
		idm_claim(m, now, r, from, ask);
		return;
	}
	if (memcmp(r->digest, digest.p, IDM_DIGEST) != 0) {
		idm_tell(m, now, from, ask, IDM_MISMATCH, lstr_n("", 0));
		return;
	}
	switch (r->state) {
	case IDM_CLAIMED:
		if (strcmp(r->owner, from) != 0 || r->ask != ask)
			idm_wait(m, now, r, from, ask);
		else if (r->missing == 0)
			idm_tell(m, now, from, ask, IDM_GRANTED, lstr_n("", 0));
		break;
	case IDM_DONE:
	case IDM_UNKNOWN:
		/* Told only once all keepers hold it; see idm_kept. */
		if (r->missing) {
			idm_wait(m, now, r, from, ask);
			break;
		}
		p = r->bytes ? g_bytes_get_data(r->bytes, &len) : "";
		idm_tell(m, now, from, ask,
			 r->state == IDM_DONE ? IDM_ANSWER : IDM_LOST,
			 lstr_n(p, len));
		break;
	case IDM_FREE:
		idm_wait(m, now, r, from, ask);
		break;
	}
}

/*
 * The owner of a claim says how it ended; anybody else only takes back its
 * ask. The owner hears back once all keepers hold it, and sends it again to
 * the next first keeper until then.
 */
void idm_keep_finish(struct idm *m, int64_t now, const char *from, uint64_t ask,
		     struct lstr key, enum idm_state state, struct lstr bytes)
{
	static const uint8_t no_digest[IDM_DIGEST];
	char *name = lstr_dup(key);
	struct idm_record *r = g_hash_table_lookup(m->records, name);

	g_free(name);
	if (!idm_first(m) || !m->complete)
		return;
	if (r && (strcmp(r->owner, from) != 0 || r->ask != ask)) {
		idm_unwait(r, from, ask);
		idm_tell_finished(m, from, ask);
		return;
	}
	if (r && r->state != IDM_CLAIMED && r->state != IDM_UNKNOWN) {
		r->tell_finished = true;
		if (r->missing == 0)
			idm_tell_finished(m, from, ask);
		return;
	}
	if (!r) {
		/*
		 * Unknown here, but another keeper may hold a claim that this
		 * one has missed and that was never granted: it must go there
		 * too.
		 */
		r = idm_new_record(m, key, lstr_n(no_digest, IDM_DIGEST));
		r->owner = g_strdup(from);
		r->ask = ask;
	}
	r->state = state;
	r->tell_finished = true;
	if (state == IDM_DONE)
		idm_set_bytes(m, r, bytes);
	idm_put(m, now, r);
}

/* The first keeper says what a record is now. */
void idm_keep_put(struct idm *m, int64_t now, const char *from,
		  struct pk_in *in)
{
	uint64_t number = pk_get_u(in);
	uint64_t seq = pk_get_u(in);
	struct pk_in rec = pk_get_arr(in);
	bool old;
	struct pk_out o;

	if (!pk_in_ok(in))
		return;
	/*
	 * A first keeper that was cut off and does not know it has been
	 * replaced: without our word it grants nothing.
	 */
	old = m->view && number < m->view->number;
	if (!old) {
		if (!m->complete && !m->learning)
			return;
		idm_take_record(m, now, &rec);
	}
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, old ? IDM_MSG_PUT_OLD : IDM_MSG_PUT_OK);
	pk_u(&o, number);
	pk_u(&o, seq);
	idm_send(m, from, &o);
}

/* Another keeper holds a record as it was sent with seq. */
void idm_keep_put_ok(struct idm *m, int64_t now, const char *from,
		     struct pk_in *in)
{
	uint64_t number = pk_get_u(in);
	uint64_t seq = pk_get_u(in);
	struct idm_record *r;
	guint i;

	if (!pk_in_ok(in) || !idm_first(m) || number != m->view->number)
		return;
	r = g_hash_table_lookup(m->by_seq, &seq);
	if (!r)
		return;
	for (i = 1; i < m->view->keepers->len; i++) {
		const struct idm_peer *p = idm_peer_of_keeper(
			m, g_ptr_array_index(m->view->keepers, i));

		if (p && strcmp(p->node, from) == 0)
			r->missing &= ~(1u << i);
	}
	if (r->missing)
		return;
	g_hash_table_remove(m->by_seq, &r->seq);
	idm_kept(m, now, r);
}

/* Records from the first keeper, for one that is to hold all of them. */
void idm_keep_sync(struct idm *m, int64_t now, const char *from,
		   struct pk_in *in)
{
	uint64_t number = pk_get_u(in);
	bool first = pk_get_bool(in);
	bool last = pk_get_bool(in);
	struct pk_in list = pk_get_arr(in);
	struct pk_out o;

	if (!pk_in_ok(in) || !m->view || number < m->view->number)
		return;
	/* A whole copy is only added to: its source may die half-way. */
	if (first && !m->complete) {
		g_hash_table_remove_all(m->by_seq);
		g_hash_table_remove_all(m->records);
		m->bytes = 0;
		m->learning = true;
	}
	if (!m->complete && !m->learning)
		return;
	while (pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in rec = pk_get_arr(&list);

		idm_take_record(m, now, &rec);
	}
	if (!last)
		return;
	m->learning = false;
	m->complete = true;
	m->learnt = number;
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, IDM_MSG_SYNC_OK);
	pk_u(&o, number);
	idm_send(m, from, &o);
}

/*
 * The view has changed. A first keeper sends again what some keeper of the
 * new view may not hold: what was on its way, and, when it is newly first,
 * what its predecessor may have had on its way.
 */
void idm_keep_view(struct idm *m, int64_t now, const struct idm_view *old)
{
	GPtrArray *all;
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idm_peer *p = value;
		bool gaps = !p->synced && idm_is_new(m, p, old);

		p->syncing = false;
		p->synced = false;
		/*
		 * It was lost and came back between its learning and this
		 * view: without its word no claim would ever be granted.
		 */
		if (gaps && idm_first(m) && m->complete && p->up)
			idm_keep_start_sync(m, p);
	}
	if (!idm_first(m) || !m->complete)
		return;
	all = idm_all_records(m);
	for (i = 0; i < all->len; i++) {
		struct idm_record *r = g_ptr_array_index(all, i);

		if (r->missing || r->state == IDM_CLAIMED ||
		    now - r->changed < IDM_IN_FLIGHT_MS)
			idm_put(m, now, r);
	}
	g_ptr_array_free(all, TRUE);
}

/* Whether a peer is a keeper now and was none in the old view. */
static bool idm_is_new(const struct idm *m, const struct idm_peer *p,
		       const struct idm_view *old)
{
	char *k = idm_keeper_name(p->node, p->boot);
	bool is =
		idm_has_keeper(m->view, k) && !(old && idm_has_keeper(old, k));

	g_free(k);
	return is;
}

/* Sends all records to a node that is to hold them, or may have gaps. */
void idm_keep_start_sync(struct idm *m, struct idm_peer *p)
{
	GPtrArray *all = idm_all_records(m);
	bool first = true;
	guint i = 0;

	p->syncing = true;
	p->synced = false;
	do {
		size_t bytes = 0;
		guint n = i;
		struct pk_out o;

		while (n < all->len && bytes < IDM_SYNC_BYTES) {
			const struct idm_record *r = g_ptr_array_index(all, n);

			bytes += IDM_RECORD_COST;
			bytes += r->bytes ? g_bytes_get_size(r->bytes) : 0;
			n++;
		}
		pk_out_init(&o);
		pk_arr(&o, 5);
		pk_u(&o, IDM_MSG_SYNC);
		pk_u(&o, m->view->number);
		pk_bool(&o, first);
		pk_bool(&o, n == all->len);
		pk_arr(&o, n - i);
		for (; i < n; i++)
			idm_pack_record(&o, g_ptr_array_index(all, i));
		idm_send(m, p->node, &o);
		first = false;
	} while (i < all->len);
	g_ptr_array_free(all, TRUE);
}

/*
 * Forgets old records, gives claims of owners that are gone an end, and looks
 * for a node to hold another copy.
 */
void idm_keep_tick(struct idm *m, int64_t now)
{
	GPtrArray *all;
	GHashTableIter it;
	gpointer value;
	guint i;

	all = idm_all_records(m);
	for (i = 0; i < all->len; i++) {
		struct idm_record *r = g_ptr_array_index(all, i);

		if (r->state != IDM_CLAIMED &&
		    now - r->changed > m->config.keep_ms) {
			idm_remove(m, r);
		} else if (idm_first(m) && r->state == IDM_CLAIMED &&
			   idm_owner_gone(m, now, r)) {
			r->state = IDM_UNKNOWN;
			idm_put(m, now, r);
		}
	}
	g_ptr_array_free(all, TRUE);
	if (!idm_first(m) || !m->complete ||
	    m->view->keepers->len >= IDM_KEEPERS_MAX)
		return;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idm_peer *p = value;

		if (p->up && !p->syncing && !p->synced)
			idm_keep_start_sync(m, p);
	}
}

static GPtrArray *idm_all_records(struct idm *m)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(all, value);
	return all;
}

static struct idm_record *idm_new_record(struct idm *m, struct lstr key,
					 struct lstr digest)
{
	struct idm_record *r = g_new0(struct idm_record, 1);

	r->key = lstr_dup(key);
	memcpy(r->digest, digest.p, IDM_DIGEST);
	g_hash_table_insert(m->records, r->key, r);
	m->bytes += IDM_RECORD_COST;
	return r;
}

static uint64_t idm_boot_of(const struct idm *m, const char *node)
{
	const struct idm_peer *p = g_hash_table_lookup(m->peers, node);

	if (strcmp(node, m->config.node) == 0)
		return m->config.boot;
	return p ? p->boot : 0;
}

static void idm_claim(struct idm *m, int64_t now, struct idm_record *r,
		      const char *owner, uint64_t ask)
{
	char *name = g_strdup(owner);

	g_free(r->owner);
	r->owner = name;
	r->boot = idm_boot_of(m, name);
	r->ask = ask;
	r->state = IDM_CLAIMED;
	r->tell_finished = false;
	r->owner_lost = 0;
	idm_put(m, now, r);
}

static void idm_set_bytes(struct idm *m, struct idm_record *r,
			  struct lstr bytes)
{
	if (r->bytes) {
		m->bytes -= g_bytes_get_size(r->bytes);
		g_bytes_unref(r->bytes);
	}
	r->bytes = g_bytes_new(bytes.p, bytes.len);
	m->bytes += bytes.len;
}

/*
 * Gives a record to every other keeper of the view. What follows from it
 * (grant, answers to those who wait) is told only when all hold it: whichever
 * keeper is left then knows it.
 */
static void idm_put(struct idm *m, int64_t now, struct idm_record *r)
{
	GHashTableIter it;
	gpointer value;
	struct pk_out o;
	guint i;

	g_hash_table_remove(m->by_seq, &r->seq);
	r->changed = now;
	r->seq = ++m->next_seq;
	r->missing = 0;
	for (i = 1; i < m->view->keepers->len; i++)
		r->missing |= 1u << i;
	if (r->missing)
		g_hash_table_insert(m->by_seq, &r->seq, r);
	/* Also to those that are learning; their word does not count yet. */
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct idm_peer *p = value;
		char *k = idm_keeper_name(p->node, p->boot);
		bool keeper = idm_has_keeper(m->view, k);

		g_free(k);
		if (!p->up || !(keeper || p->syncing || p->synced))
			continue;
		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_u(&o, IDM_MSG_PUT);
		pk_u(&o, m->view->number);
		pk_u(&o, r->seq);
		idm_pack_record(&o, r);
		idm_send(m, p->node, &o);
	}
	if (r->missing == 0)
		idm_kept(m, now, r);
}

static void idm_pack_record(struct pk_out *o, const struct idm_record *r)
{
	gsize len = 0;
	const void *p = r->bytes ? g_bytes_get_data(r->bytes, &len) : "";

	pk_arr(o, 7);
	pk_cstr(o, r->key);
	pk_str(o, lstr_n(r->digest, IDM_DIGEST));
	pk_u(o, r->state);
	pk_cstr(o, r->owner);
	pk_u(o, r->boot);
	pk_u(o, r->ask);
	pk_str(o, lstr_n(p, len));
}

static void idm_take_record(struct idm *m, int64_t now, struct pk_in *in)
{
	struct lstr key = pk_get_str(in);
	struct lstr digest = pk_get_str(in);
	uint64_t state = pk_get_u(in);
	struct lstr owner = pk_get_str(in);
	uint64_t boot = pk_get_u(in);
	uint64_t ask = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);
	struct idm_record *r;
	char *name;

	if (!pk_in_ok(in) || digest.len != IDM_DIGEST || state > IDM_FREE)
		return;
	name = lstr_dup(key);
	r = g_hash_table_lookup(m->records, name);
	g_free(name);
	if (state == IDM_FREE) {
		if (r)
			idm_remove(m, r);
		return;
	}
	if (!r)
		r = idm_new_record(m, key, digest);
	memcpy(r->digest, digest.p, IDM_DIGEST);
	r->state = (enum idm_state)state;
	g_free(r->owner);
	r->owner = lstr_dup(owner);
	r->boot = boot;
	r->ask = ask;
	r->changed = now;
	idm_set_bytes(m, r, bytes);
}

/* Every keeper of the view holds the record as it is now. */
static void idm_kept(struct idm *m, int64_t now, struct idm_record *r)
{
	if (r->state != IDM_CLAIMED && r->tell_finished)
		idm_tell_finished(m, r->owner, r->ask);
	switch (r->state) {
	case IDM_CLAIMED:
		idm_tell(m, now, r->owner, r->ask, IDM_GRANTED, lstr_n("", 0));
		break;
	case IDM_DONE:
	case IDM_UNKNOWN:
		idm_wake(m, now, r);
		break;
	case IDM_FREE:
		idm_kept_free(m, now, r);
		break;
	}
}

/* A request that was not run: the next who waits may, or nobody does. */
static void idm_kept_free(struct idm *m, int64_t now, struct idm_record *r)
{
	struct idm_waiter *w;

	if (!r->waiters || r->waiters->len == 0) {
		idm_remove(m, r);
		return;
	}
	w = g_ptr_array_steal_index(r->waiters, 0);
	idm_claim(m, now, r, w->node, w->ask);
	idm_waiter_free(w);
}

static void idm_wake(struct idm *m, int64_t now, struct idm_record *r)
{
	GPtrArray *waiters = r->waiters;
	gsize len = 0;
	const void *p = r->bytes ? g_bytes_get_data(r->bytes, &len) : "";
	GBytes *held = r->bytes ? g_bytes_ref(r->bytes) : NULL;
	int verdict = r->state == IDM_DONE ? IDM_ANSWER : IDM_LOST;
	guint i;

	r->waiters = NULL;
	for (i = 0; waiters && i < waiters->len; i++) {
		const struct idm_waiter *w = g_ptr_array_index(waiters, i);

		idm_tell(m, now, w->node, w->ask, verdict, lstr_n(p, len));
	}
	if (waiters)
		g_ptr_array_free(waiters, TRUE);
	if (held)
		g_bytes_unref(held);
}

static void idm_tell(struct idm *m, int64_t now, const char *node, uint64_t ask,
		     int verdict, struct lstr bytes)
{
	struct pk_out o;

	if (strcmp(node, m->config.node) == 0) {
		idm_own_verdict(m, now, ask, (enum idm_verdict)verdict, bytes);
		return;
	}
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, IDM_MSG_VERDICT);
	pk_u(&o, ask);
	pk_u(&o, (uint64_t)verdict);
	pk_str(&o, bytes);
	idm_send(m, node, &o);
}

static void idm_tell_finished(struct idm *m, const char *node, uint64_t ask)
{
	struct pk_out o;

	if (strcmp(node, m->config.node) == 0) {
		idm_own_finished(m, ask);
		return;
	}
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, IDM_MSG_FINISHED);
	pk_u(&o, ask);
	idm_send(m, node, &o);
}

static void idm_wait(struct idm *m, int64_t now, struct idm_record *r,
		     const char *node, uint64_t ask)
{
	struct idm_waiter *w;

	idm_unwait(r, node, ask);
	if (!r->waiters)
		r->waiters = g_ptr_array_new_with_free_func(idm_waiter_free);
	w = g_new(struct idm_waiter, 1);
	*w = (struct idm_waiter){.node = g_strdup(node), .ask = ask};
	g_ptr_array_add(r->waiters, w);
	idm_tell(m, now, node, ask, IDM_WAIT, lstr_n("", 0));
}

static void idm_unwait(struct idm_record *r, const char *node, uint64_t ask)
{
	guint i;

	for (i = 0; r->waiters && i < r->waiters->len; i++) {
		const struct idm_waiter *w = g_ptr_array_index(r->waiters, i);

		if (w->ask == ask && strcmp(w->node, node) == 0) {
			g_ptr_array_remove_index(r->waiters, i);
			return;
		}
	}
}

static void idm_remove(struct idm *m, struct idm_record *r)
{
	m->bytes -= IDM_RECORD_COST;
	m->bytes -= r->bytes ? g_bytes_get_size(r->bytes) : 0;
	g_hash_table_remove(m->by_seq, &r->seq);
	g_hash_table_remove(m->records, r->key);
}

/*
 * Whether the owner of a claim can't tell its end any more: it was started
 * anew, or is not heard for long. Its request may have run.
 */
static bool idm_owner_gone(struct idm *m, int64_t now, struct idm_record *r)
{
	const struct idm_peer *p;

	if (strcmp(r->owner, m->config.node) == 0)
		return r->boot != m->config.boot;
	p = g_hash_table_lookup(m->peers, r->owner);
	if (p && p->up)
		return p->boot != r->boot;
	if (r->owner_lost == 0)
		r->owner_lost = now;
	return now - r->owner_lost > IDM_OWNER_MS;
}
