#include "tgt.h"

#include "cht.h"
#include "err.h"
#include "msg.h"

enum tgt_event {
	TGT_EV_ANNOUNCE,
	TGT_EV_LEAVE,
	TGT_EV_LAPSE,
	TGT_EV_DRAIN,
	TGT_EV_UNDRAIN,
	TGT_EV_RESTART,
};

enum tgt_action {
	TGT_DO_JOIN,
	TGT_DO_RENEW,
	TGT_DO_STOP,
	TGT_DO_FORGET,
};

static const char *const tgt_states[] = {"absent", "serving", "leaving",
					 "lapsed", "drained"};
static const char *const tgt_events[] = {"announce", "leave",	"lapse",
					 "drain",    "undrain", "restart"};
static const char *const tgt_actions[] = {"join", "renew", "stop-placing",
					  "forget"};

struct tgt_table {
	const struct tgt_ops *ops;
	void *arg;
	struct cht *chart;
	GHashTable *by_name; /* info.name -> struct tgt, owned */
	GHashTable *by_id; /* &id -> struct tgt */
	uint64_t next_id;
};

static struct tgt *tgt_find_or_add(struct tgt_table *tab,
				   const struct tgt_info *info);
static bool tgt_store_info(struct tgt_table *tab, struct tgt *t,
			   const struct tgt_info *info, bool *changed);
static void tgt_handle_event(struct tgt_table *tab, struct tgt *t,
			     enum tgt_event event, bool changed);
static void tgt_run_action(struct tgt_table *tab, struct tgt *t, int action,
			   bool changed);
static void tgt_info_copy(struct tgt_info *dst, const struct tgt_info *src);
static void tgt_free(gpointer p);
static bool tgt_is_stale(const struct tgt *t, const struct tgt_info *info);

/* Returns an empty table. */
struct tgt_table *tgt_table_new(const struct tgt_ops *ops, void *arg)
{
	const struct cht_names names = {
		.states = tgt_states,
		.n_states = G_N_ELEMENTS(tgt_states),
		.events = tgt_events,
		.n_events = G_N_ELEMENTS(tgt_events),
		.actions = tgt_actions,
		.n_actions = G_N_ELEMENTS(tgt_actions),
	};
	struct tgt_table *tab = g_new0(struct tgt_table, 1);

	tab->ops = ops;
	tab->arg = arg;
	tab->chart = cht_builtin("target", &names);
	tab->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, tgt_free);
	tab->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	tab->next_id = 1;
	return tab;
}

/* Frees the table without calling back. */
void tgt_table_free(struct tgt_table *tab)
{
	if (!tab)
		return;
	g_hash_table_destroy(tab->by_id);
	g_hash_table_destroy(tab->by_name);
	cht_free(tab->chart);
	g_free(tab);
}

/*
 * Records an announcement made to this daemon, which becomes the target's home.
 * False with ERR_REFUSED (table full) or ERR_CONFLICT (an announcement at least
 * as new is known; nothing changes).
 */
bool tgt_announce(struct tgt_table *tab, int64_t now,
		  const struct tgt_info *info, GError **err)
{
	struct tgt *t = tgt_find_or_add(tab, info);
	enum tgt_state before;
	bool restart;
	bool changed = false;

	if (!t) {
		err_set(err, ERR_REFUSED, "announce", info->name,
			"more than %d targets", TGT_TABLE_MAX);
		return false;
	}
	if (tgt_is_stale(t, info)) {
		err_set(err, ERR_CONFLICT, "announce", info->name,
			"a newer announcement was heard");
		return false;
	}
	before = t->state;
	restart = tgt_store_info(tab, t, info, &changed);
	changed |= t->home != NULL || restart;
	g_clear_pointer(&t->home, g_free);
	t->lease_until = now + TGT_LEASE_MS;
	if (restart)
		tgt_handle_event(tab, t, TGT_EV_RESTART, changed);
	tgt_handle_event(tab, t, info->leaving ? TGT_EV_LEAVE : TGT_EV_ANNOUNCE,
			 changed);
	if (changed || t->state != before)
		tab->ops->notify(tab->arg, t, false);
	return true;
}

/*
 * Records what another entry daemon reports of a target whose home it is: its
 * announcement, or (expired) that its lease expired. A report older than what
 * is known is ignored: the target has moved to another home since.
 */
void tgt_record_report(struct tgt_table *tab, int64_t now, const char *home,
		       const struct tgt_info *info, bool expired)
{
	struct tgt *t;
	bool changed = false;
	bool restart;

	if (expired) {
		t = g_hash_table_lookup(tab->by_name, info->name);
		if (!t || !t->home || strcmp(t->home, home) != 0)
			return;
		tgt_handle_event(tab, t, TGT_EV_LAPSE, false);
		t->lease_until = now + TGT_RETENTION_MS;
		return;
	}
	t = tgt_find_or_add(tab, info);
	if (!t || tgt_is_stale(t, info))
		return;
	restart = tgt_store_info(tab, t, info, &changed);
	g_free(t->home);
	t->home = g_strdup(home);
	t->lease_until = INT64_MAX;
	if (restart)
		tgt_handle_event(tab, t, TGT_EV_RESTART, changed);
	tgt_handle_event(tab, t, info->leaving ? TGT_EV_LEAVE : TGT_EV_ANNOUNCE,
			 changed);
}

/*
 * Records that an entry daemon is down: its targets have TGT_HOME_GRACE_MS to
 * find another home. Stopping them at once would stop a healthy zone when one
 * entry VM fails; waiting longer would exceed the time guaranteed for targets
 * that stop.
 */
void tgt_home_down(struct tgt_table *tab, int64_t now, const char *home)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, tab->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct tgt *t = value;

		if (t->home && strcmp(t->home, home) == 0 &&
		    t->lease_until == INT64_MAX)
			t->lease_until = now + TGT_HOME_GRACE_MS;
	}
}

/*
 * Records the end of a home's complete list: its targets that are not in names
 * have expired while the home was disconnected.
 */
void tgt_home_list_done(struct tgt_table *tab, int64_t now, const char *home,
			GHashTable *names)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, tab->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct tgt *t = value;

		if (!t->home || strcmp(t->home, home) != 0 ||
		    g_hash_table_contains(names, t->info.name))
			continue;
		if (t->state == TGT_SERVING || t->state == TGT_DRAINED) {
			tgt_handle_event(tab, t, TGT_EV_LAPSE, false);
			t->lease_until = now + TGT_RETENTION_MS;
		}
	}
}

/*
 * Extends the leases of all targets after this process stood still: their
 * announcements of that time may not have been read yet. Otherwise a pause of
 * one entry daemon would stop all targets that announce themselves there.
 */
void tgt_resumed(struct tgt_table *tab, int64_t now, int64_t paused_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, tab->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct tgt *t = value;
		int64_t most =
			now + (t->home ? TGT_HOME_GRACE_MS : TGT_LEASE_MS);

		if (t->state != TGT_LAPSED && t->lease_until < most)
			t->lease_until = MIN(t->lease_until + paused_ms, most);
	}
}

/* Expires leases, and removes targets whose leases expired long ago. */
void tgt_tick(struct tgt_table *tab, int64_t now)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, tab->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((struct tgt *)value)->lease_until <= now)
			g_ptr_array_add(expired, value);
	for (i = 0; i < expired->len; i++) {
		struct tgt *t = g_ptr_array_index(expired, i);
		bool own = !t->home;

		t->lease_until = now + TGT_RETENTION_MS;
		if (own && t->state != TGT_LAPSED)
			tab->ops->notify(tab->arg, t, true);
		msg(MSG_TGT_LAPSE, "target=%s state=%s", t->info.name,
		    tgt_states[t->state]);
		tgt_handle_event(tab, t, TGT_EV_LAPSE, false);
	}
	g_ptr_array_free(expired, TRUE);
}

/* Checks again which targets may get work, after a change of the fleet view. */
void tgt_check_allowed(struct tgt_table *tab)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, tab->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct tgt *t = value;

		t->allowed = tab->ops->allowed(tab->arg, &t->info);
		tgt_handle_event(tab, t,
				 t->allowed ? TGT_EV_UNDRAIN : TGT_EV_DRAIN,
				 true);
	}
}

/* Returns the target of that name, or NULL. */
const struct tgt *tgt_find(const struct tgt_table *tab, const char *name)
{
	return g_hash_table_lookup(tab->by_name, name);
}

/* Returns the target of that id, or NULL. */
const struct tgt *tgt_by_id(const struct tgt_table *tab, uint64_t id)
{
	return g_hash_table_lookup(tab->by_id, &id);
}

/* Calls fn for every target; fn must not change the table. */
void tgt_foreach(const struct tgt_table *tab,
		 void (*fn)(void *arg, const struct tgt *t), void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, tab->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value))
		fn(arg, value);
}

/* Returns the number of targets, in any state. */
guint tgt_count(const struct tgt_table *tab)
{
	return g_hash_table_size(tab->by_name);
}

/* Returns the name of a state in the chart. */
const char *tgt_state_name(enum tgt_state state)
{
	return tgt_states[state];
}

static struct tgt *tgt_find_or_add(struct tgt_table *tab,
				   const struct tgt_info *info)
{
	struct tgt *t = g_hash_table_lookup(tab->by_name, info->name);

	if (t || g_hash_table_size(tab->by_name) >= TGT_TABLE_MAX)
		return t;
	t = g_new0(struct tgt, 1);
	t->id = tab->next_id++;
	t->state = TGT_ABSENT;
	tgt_info_copy(&t->info, info);
	t->info.seq = 0;
	g_hash_table_insert(tab->by_name, t->info.name, t);
	g_hash_table_insert(tab->by_id, &t->id, t);
	return t;
}

/*
 * Whether info is older than what is known: from an earlier start of the
 * target, or from the same start with no greater number. Such a message was
 * delayed; accepting it would bring back a target that has left.
 */
static bool tgt_is_stale(const struct tgt *t, const struct tgt_info *info)
{
	if (t->state == TGT_ABSENT && t->info.seq == 0)
		return false;
	if (info->boot == t->info.boot)
		return info->seq <= t->info.seq;
	return info->boot == t->last_boot;
}

/* Stores what a target announced; true if the target was restarted. */
static bool tgt_store_info(struct tgt_table *tab, struct tgt *t,
			   const struct tgt_info *info, bool *changed)
{
	bool added = t->state == TGT_ABSENT && t->info.seq == 0;
	bool restart = !added && info->boot != t->info.boot;
	char *name = t->info.name;

	*changed = added || strcmp(info->addr, t->info.addr) != 0 ||
		   strcmp(info->service, t->info.service) != 0 ||
		   strcmp(info->vm, t->info.vm) != 0 ||
		   info->slots != t->info.slots || info->conns != t->info.conns;
	if (restart)
		t->last_boot = t->info.boot;
	/* The name must stay: the table's key points to it. */
	t->info.name = NULL;
	tgt_info_clear(&t->info);
	tgt_info_copy(&t->info, info);
	g_free(t->info.name);
	t->info.name = name;
	t->allowed = tab->ops->allowed(tab->arg, &t->info);
	return restart;
}

static void tgt_handle_event(struct tgt_table *tab, struct tgt *t,
			     enum tgt_event event, bool changed)
{
	struct cht_step step;

	if (!cht_step(tab->chart, (int)t->state, (int)event, &step))
		g_error("target: event %s in state %s", tgt_events[event],
			tgt_states[t->state]);
	t->state = (enum tgt_state)step.next;
	tgt_run_action(tab, t, step.action, changed);
}

static void tgt_run_action(struct tgt_table *tab, struct tgt *t, int action,
			   bool changed)
{
	switch (action) {
	case TGT_DO_JOIN:
		msg(MSG_TGT_JOIN, "target=%s addr=%s home=%s", t->info.name,
		    t->info.addr, t->home ? t->home : "us");
		if (t->allowed)
			tab->ops->place(tab->arg, t);
		else
			tgt_handle_event(tab, t, TGT_EV_DRAIN, false);
		break;
	case TGT_DO_RENEW:
		if (changed && t->state == TGT_SERVING)
			tab->ops->place(tab->arg, t);
		break;
	case TGT_DO_STOP:
		msg(MSG_TGT_LEAVE, "target=%s state=%s", t->info.name,
		    tgt_states[t->state]);
		tab->ops->stop(tab->arg, t);
		break;
	case TGT_DO_FORGET:
		tab->ops->forget(tab->arg, t);
		g_hash_table_remove(tab->by_id, &t->id);
		g_hash_table_remove(tab->by_name, t->info.name);
		break;
	default:
		break;
	}
}

static void tgt_info_copy(struct tgt_info *dst, const struct tgt_info *src)
{
	*dst = *src;
	dst->name = g_strdup(src->name);
	dst->service = g_strdup(src->service);
	dst->addr = g_strdup(src->addr);
	dst->zone = g_strdup(src->zone);
	dst->vm = g_strdup(src->vm);
}

static void tgt_free(gpointer p)
{
	struct tgt *t = p;

	tgt_info_clear(&t->info);
	g_free(t->home);
	g_free(t);
}
