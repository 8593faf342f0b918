#include "ovr.h"

#include <inttypes.h>

#include "fau.h"
#include "qtb.h"

/* Overrides in force at a time; each costs a look-up a plan. */
#define OVR_MAX 64
/*
 * Results that are kept, so that an order which is sent again after a lost
 * answer takes effect once.
 */
#define OVR_RESULTS_MAX 256
/* Longest time for which an override may be ordered, ms. */
#define OVR_SPAN_MAX_MS ((int64_t)7 * 24 * 3600 * 1000)
/* Largest weight, thousandths. */
#define OVR_WEIGHT_MAX 1000000000
/* Largest floor; the leader refuses one above the VMs that it knows. */
#define OVR_FLOOR_MAX 1000000

struct ovr_item {
	enum fcm_kind kind; /* FCM_FLOOR or FCM_WEIGHT */
	char *name; /* pool or organisation */
	int64_t value; /* VMs, or thousandths of weight */
	int64_t until_ms; /* since 1970 */
	char *who;
	char *reason;
};

/* The result of an order. */
struct ovr_done {
	char *key; /* who + newline + id */
	enum proto_result code;
	uint64_t seq; /* of its audit record */
	char *text;
};

struct ovr {
	GPtrArray *items; /* struct ovr_item */
	GQueue done; /* struct ovr_done, oldest first */
	struct fau *trail;
	int64_t time_ms; /* of the newest order */
};

/* An order while it is applied. */
struct ovr_exec {
	struct ovr *o;
	const struct ovr_order *order;
	const struct fcm_cmd *cmd;
	const struct ovr_names *names;
	enum proto_result code;
	GString *text;
};

/* What tells the kinds of overrides apart. */
struct ovr_def {
	const char *name; /* of the thing it is for, in texts */
	int64_t min;
	int64_t max;
	int64_t unit; /* of value, in what operators type */
	bool (*known)(const struct ovr_names *names, const char *name);
};

static bool ovr_pool_known(const struct ovr_names *names, const char *name);
static bool ovr_org_known(const struct ovr_names *names, const char *name);
static const struct ovr_def *ovr_def(enum fcm_kind kind);
static void ovr_item_free(gpointer p);
static void ovr_done_free(gpointer p);
static char *ovr_key(struct lstr who, struct lstr id);
static const struct ovr_done *ovr_find_done(const struct ovr *o,
					    const char *key);
static struct ovr_item *ovr_find(const struct ovr *o, enum fcm_kind kind,
				 const char *name);
static const struct ovr_item *ovr_in_force(const struct ovr *o,
					   enum fcm_kind kind, const char *name,
					   int64_t now_ms);
static void ovr_drop_expired(struct ovr *o, int64_t now_ms);
static void ovr_exec(struct ovr_exec *ex);
static bool ovr_check(struct ovr_exec *ex, const char *name);
static bool ovr_check_value(struct ovr_exec *ex, const char *name);
static void ovr_refuse(struct ovr_exec *ex, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);
static void ovr_set(struct ovr_exec *ex, const char *name);
static void ovr_record(struct ovr_exec *ex);
static void ovr_note(struct ovr *o, const struct ovr_item *item,
		     const char *why, int64_t time_ms);
static void ovr_keep_result(struct ovr_exec *ex, const char *key);
static void ovr_query_items(const struct ovr *o, int64_t now_ms,
			    struct pk_out *result);
static void ovr_query_status(const struct ovr *o, struct lstr arg,
			     struct pk_out *result);
static bool ovr_restore_item(struct ovr *o, struct pk_in *list);
static bool ovr_restore_done(struct ovr *o, struct pk_in *list);

static const struct ovr_def ovr_floor_def = {
	.name = "pool",
	.min = 0,
	.max = OVR_FLOOR_MAX,
	.unit = 1,
	.known = ovr_pool_known,
};

static const struct ovr_def ovr_weight_def = {
	.name = "organisation",
	.min = 1,
	.max = OVR_WEIGHT_MAX,
	.unit = FCM_WEIGHT_UNIT,
	.known = ovr_org_known,
};

/* Returns a state without overrides. */
struct ovr *ovr_new(void)
{
	struct ovr *o = g_new0(struct ovr, 1);

	o->items = g_ptr_array_new_with_free_func(ovr_item_free);
	g_queue_init(&o->done);
	o->trail = fau_new();
	return o;
}

/* Frees a state; NULL is allowed. */
void ovr_free(struct ovr *o)
{
	if (!o)
		return;
	ovr_clear(o);
	fau_free(o->trail);
	g_ptr_array_free(o->items, TRUE);
	g_free(o);
}

/* Drops everything, before a snapshot is read. */
void ovr_clear(struct ovr *o)
{
	g_ptr_array_set_size(o->items, 0);
	g_queue_clear_full(&o->done, ovr_done_free);
	fau_free(o->trail);
	o->trail = fau_new();
	o->time_ms = 0;
}

/* Whether a kind of command is an override. */
bool ovr_takes(enum fcm_kind kind)
{
	return ovr_def(kind) != NULL;
}

/* Returns what tells a kind of override apart, or NULL if it is none. */
static const struct ovr_def *ovr_def(enum fcm_kind kind)
{
	if (kind == FCM_FLOOR)
		return &ovr_floor_def;
	return kind == FCM_WEIGHT ? &ovr_weight_def : NULL;
}

static bool ovr_pool_known(const struct ovr_names *names, const char *name)
{
	return names->has_pool(names->arg, name);
}

static bool ovr_org_known(const struct ovr_names *names, const char *name)
{
	return names->has_org(names->arg, name);
}

/*
 * Applies an order. What is refused changes nothing but the audit trail; an
 * order under an id that already has a result changes nothing at all.
 */
void ovr_apply(struct ovr *o, const struct ovr_order *order,
	       const struct ovr_names *names)
{
	struct fcm_cmd cmd;
	struct ovr_exec ex = {
		.o = o,
		.order = order,
		.names = names,
		.code = PROTO_REFUSED,
	};
	struct pk_in in = {0};
	char *key;

	if (!fcm_decode(&cmd, &in, order->cmd)) {
		pk_in_done(&in);
		return;
	}
	key = ovr_key(order->who, cmd.id);
	if (!ovr_find_done(o, key)) {
		ex.cmd = &cmd;
		ex.text = g_string_new(NULL);
		o->time_ms = MAX(o->time_ms, order->time_ms);
		ovr_drop_expired(o, order->time_ms);
		ovr_exec(&ex);
		ovr_record(&ex);
		ovr_keep_result(&ex, key);
		g_string_free(ex.text, TRUE);
	}
	g_free(key);
	pk_in_done(&in);
}

/* Checks an order and sets or clears its override. */
static void ovr_exec(struct ovr_exec *ex)
{
	const struct fcm_override *c = &ex->cmd->override;
	char *name;

	if (!ovr_def(ex->cmd->kind)) {
		ovr_refuse(ex, "%s is no order to a fleet that runs jobs",
			   fcm_defs[ex->cmd->kind].name);
		return;
	}
	name = lstr_dup(c->name);
	if (ovr_check(ex, name))
		ovr_set(ex, name);
	g_free(name);
}

/* Whether an order is valid; else says what is wrong. */
static bool ovr_check(struct ovr_exec *ex, const char *name)
{
	const struct fcm_override *c = &ex->cmd->override;
	const struct ovr_def *def = ovr_def(ex->cmd->kind);

	if (ex->order->role < fcm_defs[ex->cmd->kind].role) {
		ex->code = PROTO_FORBIDDEN;
		g_string_printf(ex->text, "role %s may not order a %s",
				key_role_name(ex->order->role),
				fcm_defs[ex->cmd->kind].name);
		return false;
	}
	if (!def->known(ex->names, name)) {
		ovr_refuse(ex, "%s \"%s\" does not exist", def->name, name);
		return false;
	}
	return c->value == FCM_NO_OVERRIDE || ovr_check_value(ex, name);
}

/* Whether an order's value and end are valid; else says what is wrong. */
static bool ovr_check_value(struct ovr_exec *ex, const char *name)
{
	const struct fcm_override *c = &ex->cmd->override;
	const struct ovr_def *def = ovr_def(ex->cmd->kind);

	if (c->value < def->min || c->value > def->max)
		ovr_refuse(ex, "%s of %s \"%s\" is not from %g to %g",
			   fcm_defs[ex->cmd->kind].name, def->name, name,
			   (double)def->min / (double)def->unit,
			   (double)def->max / (double)def->unit);
	else if (c->for_ms <= 0 || c->for_ms > OVR_SPAN_MAX_MS)
		ovr_refuse(ex,
			   "the order is to hold for %" PRId64
			   " ms; allowed: 1 ms to 7 days",
			   c->for_ms);
	else if (!ovr_find(ex->o, ex->cmd->kind, name) &&
		 ex->o->items->len >= OVR_MAX)
		ovr_refuse(ex, "%d overrides are in force already", OVR_MAX);
	else
		return true;
	return false;
}

static void ovr_refuse(struct ovr_exec *ex, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	g_string_vprintf(ex->text, fmt, args);
	va_end(args);
}

/* Puts an override in force in place of an earlier one, or clears that. */
static void ovr_set(struct ovr_exec *ex, const char *name)
{
	const struct fcm_override *c = &ex->cmd->override;
	struct ovr_item *item = ovr_find(ex->o, ex->cmd->kind, name);

	if (item)
		g_ptr_array_remove(ex->o->items, item);
	if (c->value != FCM_NO_OVERRIDE) {
		item = g_new0(struct ovr_item, 1);
		item->kind = ex->cmd->kind;
		item->name = g_strdup(name);
		item->value = c->value;
		item->until_ms = ex->order->time_ms + c->for_ms;
		item->who = lstr_dup(ex->order->who);
		item->reason = lstr_dup(c->reason);
		g_ptr_array_add(ex->o->items, item);
	}
	ex->code = PROTO_OK;
	fcm_describe(ex->cmd, ex->text);
}

/* Adds an order with its outcome to the audit trail. */
static void ovr_record(struct ovr_exec *ex)
{
	GString *what = g_string_new(NULL);
	struct fau_rec r = {
		.time_ms = ex->order->time_ms,
		.who = ex->order->who,
		.role = lstr_from(key_role_name(ex->order->role)),
		.kind = lstr_from(fcm_defs[ex->cmd->kind].name),
		.outcome = lstr_from(fcm_outcome_name(ex->code)),
		.text = lstr_n(ex->text->str, ex->text->len),
	};

	fcm_describe(ex->cmd, what);
	r.what = lstr_n(what->str, what->len);
	fau_add(ex->o->trail, &r);
	g_string_free(what, TRUE);
}

/* Adds to the audit trail that an override ended without an order. */
static void ovr_note(struct ovr *o, const struct ovr_item *item,
		     const char *why, int64_t time_ms)
{
	char *text =
		g_strdup_printf("%s of %s \"%s\" ends: %s",
				fcm_defs[item->kind].name,
				ovr_def(item->kind)->name, item->name, why);
	struct fau_rec r = {
		.time_ms = time_ms,
		.who = lstr_from(item->who),
		.kind = LSTR("end"),
		.what = lstr_from(text),
		.outcome = lstr_from(fcm_outcome_name(PROTO_OK)),
	};

	fau_add(o->trail, &r);
	g_free(text);
}

/* Keeps the result of an order for when it is sent again. */
static void ovr_keep_result(struct ovr_exec *ex, const char *key)
{
	struct ovr_done *d = g_new0(struct ovr_done, 1);

	d->key = g_strdup(key);
	d->code = ex->code;
	d->seq = fau_last(ex->o->trail);
	d->text = g_strdup(ex->text->str);
	g_queue_push_tail(&ex->o->done, d);
	if (ex->o->done.length > OVR_RESULTS_MAX)
		ovr_done_free(g_queue_pop_head(&ex->o->done));
}

/* Removes the overrides whose time is over. */
static void ovr_drop_expired(struct ovr *o, int64_t now_ms)
{
	guint i;

	for (i = o->items->len; i > 0; i--) {
		struct ovr_item *item = g_ptr_array_index(o->items, i - 1);

		if (item->until_ms > now_ms)
			continue;
		ovr_note(o, item, "its time is over", item->until_ms);
		g_ptr_array_remove_index(o->items, i - 1);
	}
}

/*
 * Removes the overrides of pools and organisations that a new configuration no
 * longer has.
 */
void ovr_names_changed(struct ovr *o, const struct ovr_names *names)
{
	guint i;

	for (i = o->items->len; i > 0; i--) {
		struct ovr_item *item = g_ptr_array_index(o->items, i - 1);

		if (ovr_def(item->kind)->known(names, item->name))
			continue;
		ovr_note(o, item, "the configuration no longer has it",
			 o->time_ms);
		g_ptr_array_remove_index(o->items, i - 1);
	}
}

/*
 * Returns the result of an order, whose text fcm_result_clear frees; false if
 * the order was never applied or its result is no longer kept.
 */
bool ovr_result(const struct ovr *o, struct lstr who, struct lstr id,
		struct fcm_result *out)
{
	char *key = ovr_key(who, id);
	const struct ovr_done *d = ovr_find_done(o, key);

	g_free(key);
	if (!d)
		return false;
	*out = (struct fcm_result){
		.code = d->code,
		.index = d->seq,
		.text = g_strdup(d->text),
	};
	return true;
}

/* Returns the VMs that an operator's floor keeps in a pool; 0: no floor. */
uint32_t ovr_floor(const struct ovr *o, const char *pool, int64_t now_ms)
{
	const struct ovr_item *item = ovr_in_force(o, FCM_FLOOR, pool, now_ms);

	return item ? (uint32_t)item->value : 0;
}

/* Returns the end of a pool's floor, ms since 1970; 0: no floor. */
int64_t ovr_floor_until_ms(const struct ovr *o, const char *pool,
			   int64_t now_ms)
{
	const struct ovr_item *item = ovr_in_force(o, FCM_FLOOR, pool, now_ms);

	return item ? item->until_ms : 0;
}

/* Returns an operator's weight for an organisation; 0: none. */
double ovr_weight(const struct ovr *o, const char *org, int64_t now_ms)
{
	const struct ovr_item *item = ovr_in_force(o, FCM_WEIGHT, org, now_ms);

	return item ? (double)item->value / FCM_WEIGHT_UNIT : 0;
}

/* Returns the number of overrides in force. */
guint ovr_count(const struct ovr *o, int64_t now_ms)
{
	guint n = 0;
	guint i;

	for (i = 0; i < o->items->len; i++) {
		const struct ovr_item *item = g_ptr_array_index(o->items, i);

		n += item->until_ms > now_ms;
	}
	return n;
}

/* Returns the override of a name whose time is not over, or NULL. */
static const struct ovr_item *ovr_in_force(const struct ovr *o,
					   enum fcm_kind kind, const char *name,
					   int64_t now_ms)
{
	const struct ovr_item *item = ovr_find(o, kind, name);

	return item && item->until_ms > now_ms ? item : NULL;
}

/* Returns the override of a name, or NULL. */
static struct ovr_item *ovr_find(const struct ovr *o, enum fcm_kind kind,
				 const char *name)
{
	guint i;

	for (i = 0; i < o->items->len; i++) {
		struct ovr_item *item = g_ptr_array_index(o->items, i);

		if (item->kind == kind && strcmp(item->name, name) == 0)
			return item;
	}
	return NULL;
}

/*
 * Answers a query on the overrides, an order's result or the audit trail;
 * false: it is on something else.
 */
bool ovr_query(const struct ovr *o, struct lstr name, struct lstr arg,
	       int64_t now_ms, struct pk_out *result)
{
	if (lstr_eq(name, LSTR("overrides")))
		ovr_query_items(o, now_ms, result);
	else if (lstr_eq(name, LSTR("status")))
		ovr_query_status(o, arg, result);
	else if (lstr_eq(name, LSTR("audit")))
		fau_query(o->trail, arg, result);
	else
		return false;
	return true;
}

/* Lists the overrides in force. */
static void ovr_query_items(const struct ovr *o, int64_t now_ms,
			    struct pk_out *result)
{
	static const char *const cols[] = {"what",    "name", "value",
					   "left_ms", "who",  "reason"};
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < o->items->len; i++) {
		const struct ovr_item *item = g_ptr_array_index(o->items, i);
		char value[G_ASCII_DTOSTR_BUF_SIZE];
		struct pk_out *row;

		if (item->until_ms <= now_ms)
			continue;
		g_ascii_formatd(value, sizeof(value), "%.10g",
				(double)item->value /
					(double)ovr_def(item->kind)->unit);
		row = qtb_row(&t);
		pk_cstr(row, fcm_defs[item->kind].name);
		pk_cstr(row, item->name);
		pk_cstr(row, value);
		pk_i(row, item->until_ms - now_ms);
		pk_cstr(row, item->who);
		pk_cstr(row, item->reason);
	}
	qtb_finish(&t, result);
}

/* Lists the results of the orders of an id, one row a sender. */
static void ovr_query_status(const struct ovr *o, struct lstr arg,
			     struct pk_out *result)
{
	static const char *const cols[] = {"id",      "who",   "code",
					   "outcome", "index", "text"};
	struct qtb t;
	GList *l;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (l = o->done.head; l; l = l->next) {
		const struct ovr_done *d = l->data;
		struct pk_out *row;
		struct lstr who;
		struct lstr id;

		lstr_cut(lstr_from(d->key), '\n', &who, &id);
		if (!lstr_eq(id, arg))
			continue;
		row = qtb_row(&t);
		pk_str(row, id);
		pk_str(row, who);
		pk_u(row, d->code);
		pk_cstr(row, fcm_outcome_name(d->code));
		pk_u(row, d->seq);
		pk_cstr(row, d->text);
	}
	if (t.n_rows) {
		qtb_finish(&t, result);
		return;
	}
	pk_out_done(&t.rows);
	qtb_fail(result, PROTO_OUTCOME_UNKNOWN,
		 "no order of that id has a result that is still kept; it may "
		 "still arrive, or be older: see the audit trail");
}

/* Packs the state: [time, [override...], [result...], audit trail]. */
void ovr_snapshot(const struct ovr *o, struct pk_out *out)
{
	GList *l;
	guint i;

	pk_arr(out, 4);
	pk_i(out, o->time_ms);
	pk_arr(out, o->items->len);
	for (i = 0; i < o->items->len; i++) {
		const struct ovr_item *item = g_ptr_array_index(o->items, i);

		pk_arr(out, 6);
		pk_u(out, item->kind);
		pk_cstr(out, item->name);
		pk_i(out, item->value);
		pk_i(out, item->until_ms);
		pk_cstr(out, item->who);
		pk_cstr(out, item->reason);
	}
	pk_arr(out, o->done.length);
	for (l = o->done.head; l; l = l->next) {
		const struct ovr_done *d = l->data;

		pk_arr(out, 4);
		pk_cstr(out, d->key);
		pk_u(out, d->code);
		pk_u(out, d->seq);
		pk_cstr(out, d->text);
	}
	fau_snapshot(o->trail, out);
}

/* Reads a packed state into one without overrides; false: it is malformed. */
bool ovr_restore(struct ovr *o, struct pk_in *in)
{
	struct pk_in top = pk_get_arr(in);
	struct pk_in list;
	struct fau *trail;
	bool ok;

	o->time_ms = pk_get_i(&top);
	list = pk_get_arr(&top);
	ok = pk_in_ok(&top);

	while (ok && pk_in_left(&list))
		ok = ovr_restore_item(o, &list);
	list = pk_get_arr(&top);
	ok = ok && pk_in_ok(&top);
	while (ok && pk_in_left(&list))
		ok = ovr_restore_done(o, &list);
	trail = ok ? fau_restore(&top) : NULL;
	if (!trail)
		return false;
	fau_free(o->trail);
	o->trail = trail;
	return true;
}

/* Reads one packed override. */
static bool ovr_restore_item(struct ovr *o, struct pk_in *list)
{
	struct pk_in row = pk_get_arr(list);
	uint64_t kind = pk_get_u(&row);
	const struct ovr_def *def =
		kind < FCM_KINDS ? ovr_def((enum fcm_kind)kind) : NULL;
	struct ovr_item *item;

	if (!pk_in_ok(&row) || !def)
		return false;
	item = g_new0(struct ovr_item, 1);
	item->kind = (enum fcm_kind)kind;
	item->name = lstr_dup(pk_get_str(&row));
	item->value = pk_get_i(&row);
	item->until_ms = pk_get_i(&row);
	item->who = lstr_dup(pk_get_str(&row));
	item->reason = lstr_dup(pk_get_str(&row));
	g_ptr_array_add(o->items, item);
	return pk_in_ok(&row) && item->value >= def->min &&
	       item->value <= def->max;
}

/* Reads one packed result. */
static bool ovr_restore_done(struct ovr *o, struct pk_in *list)
{
	struct pk_in row = pk_get_arr(list);
	struct ovr_done *d = g_new0(struct ovr_done, 1);

	d->key = lstr_dup(pk_get_str(&row));
	d->code = (enum proto_result)pk_get_u(&row);
	d->seq = pk_get_u(&row);
	d->text = lstr_dup(pk_get_str(&row));
	g_queue_push_tail(&o->done, d);
	return pk_in_ok(&row) && (unsigned int)d->code <= PROTO_FORBIDDEN;
}

/* Returns the key of an order's result, to be freed. */
static char *ovr_key(struct lstr who, struct lstr id)
{
	return g_strdup_printf(LSTR_FMT "\n" LSTR_FMT, LSTR_ARG(who),
			       LSTR_ARG(id));
}

/* Returns the result under a key, or NULL. */
static const struct ovr_done *ovr_find_done(const struct ovr *o,
					    const char *key)
{
	GList *l;

	for (l = o->done.tail; l; l = l->prev) {
		const struct ovr_done *d = l->data;

		if (strcmp(d->key, key) == 0)
			return d;
	}
	return NULL;
}

static void ovr_item_free(gpointer p)
{
	struct ovr_item *item = p;

	g_free(item->name);
	g_free(item->who);
	g_free(item->reason);
	g_free(item);
}

static void ovr_done_free(gpointer p)
{
	struct ovr_done *d = p;

	g_free(d->key);
	g_free(d->text);
	g_free(d);
}
