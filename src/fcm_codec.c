#include "fcm.h"

static void fcm_pack_apply(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_pack_drain(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_pack_move(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_pack_move_step(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_pack_priority(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_pack_node(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_unpack_node(struct fcm_cmd *c, struct pk_in *in);
static void fcm_pack_note(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_unpack_apply(struct fcm_cmd *c, struct pk_in *in);
static void fcm_unpack_drain(struct fcm_cmd *c, struct pk_in *in);
static void fcm_unpack_move(struct fcm_cmd *c, struct pk_in *in);
static void fcm_unpack_move_step(struct fcm_cmd *c, struct pk_in *in);
static void fcm_unpack_priority(struct fcm_cmd *c, struct pk_in *in);
static void fcm_unpack_note(struct fcm_cmd *c, struct pk_in *in);
static void fcm_pack_key_replicas(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_unpack_key_replicas(struct fcm_cmd *c, struct pk_in *in);
static void fcm_pack_override(const struct fcm_cmd *c, struct pk_out *o);
static void fcm_unpack_override(struct fcm_cmd *c, struct pk_in *in);
static void fcm_describe_apply(const struct fcm_cmd *c, GString *s);
static void fcm_describe_drain(const struct fcm_cmd *c, GString *s);
static void fcm_describe_move(const struct fcm_cmd *c, GString *s);
static void fcm_describe_move_step(const struct fcm_cmd *c, GString *s);
static void fcm_describe_priority(const struct fcm_cmd *c, GString *s);
static void fcm_describe_node(const struct fcm_cmd *c, GString *s);
static void fcm_describe_note(const struct fcm_cmd *c, GString *s);
static void fcm_describe_key_replicas(const struct fcm_cmd *c, GString *s);
static void fcm_describe_override(const struct fcm_cmd *c, GString *s);
static struct lstr fcm_unpack_text(struct pk_in *in, size_t max);
static struct lstr fcm_unpack_name(struct pk_in *in);

const struct fcm_def fcm_defs[FCM_KINDS] = {
	[FCM_APPLY] = {"apply", KEY_OPERATE, fcm_pack_apply, fcm_unpack_apply,
		       fcm_describe_apply},
	[FCM_DRAIN] = {"drain", KEY_OPERATE, fcm_pack_drain, fcm_unpack_drain,
		       fcm_describe_drain},
	[FCM_UNDRAIN] = {"undrain", KEY_OPERATE, fcm_pack_drain,
			 fcm_unpack_drain, fcm_describe_drain},
	[FCM_MOVE] = {"move", KEY_OPERATE, fcm_pack_move, fcm_unpack_move,
		      fcm_describe_move},
	[FCM_RELEASED] = {"released", KEY_PEER, fcm_pack_move_step,
			  fcm_unpack_move_step, fcm_describe_move_step},
	[FCM_MOVED] = {"moved", KEY_PEER, fcm_pack_move_step,
		       fcm_unpack_move_step, fcm_describe_move_step},
	[FCM_PRIORITY] = {"priority", KEY_DUTY, fcm_pack_priority,
			  fcm_unpack_priority, fcm_describe_priority},
	[FCM_JOIN] = {"join", KEY_PEER, fcm_pack_node, fcm_unpack_node,
		      fcm_describe_node},
	[FCM_FORGET] = {"forget", KEY_DUTY, fcm_pack_node, fcm_unpack_node,
			fcm_describe_node},
	/* The duty officer's recovery of a lost majority sends a note too. */
	[FCM_NOTE] = {"note", KEY_DUTY, fcm_pack_note, fcm_unpack_note,
		      fcm_describe_note},
	[FCM_KEY_REPLICAS] = {"keepers", KEY_PEER, fcm_pack_key_replicas,
			      fcm_unpack_key_replicas,
			      fcm_describe_key_replicas},
	[FCM_FLOOR] = {"floor", KEY_DUTY, fcm_pack_override,
		       fcm_unpack_override, fcm_describe_override},
	[FCM_WEIGHT] = {"weight", KEY_DUTY, fcm_pack_override,
			fcm_unpack_override, fcm_describe_override},
};

static const char *const fcm_outcome_names[] = {
	[PROTO_OK] = "accepted",	 [PROTO_REFUSED] = "refused",
	[PROTO_CONFLICT] = "conflict",	 [PROTO_NOT_LEADER] = "not leader",
	[PROTO_NO_QUORUM] = "no quorum", [PROTO_OUTCOME_UNKNOWN] = "unknown",
	[PROTO_FORBIDDEN] = "forbidden",
};

/* Returns the name of a command's outcome as shown to operators. */
const char *fcm_outcome_name(enum proto_result code)
{
	return fcm_outcome_names[code];
}

/* Packs a command: [kind, id, made_ms, [fields of the kind]]. */
void fcm_encode(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 4);
	pk_u(o, c->kind);
	pk_str(o, c->id);
	pk_i(o, c->made_ms);
	fcm_defs[c->kind].encode(c, o);
}

/*
 * Decodes a command and checks its format. Returns false if it is malformed.
 * Its strings are valid until pk_in_done(in), which the caller calls in both
 * cases.
 */
bool fcm_decode(struct fcm_cmd *c, struct pk_in *in, struct lstr bytes)
{
	struct pk_in body;
	uint64_t kind;

	*c = (struct fcm_cmd){0};
	if (!pk_in_init(in, bytes))
		return false;
	kind = pk_get_u(in);
	c->id = fcm_unpack_text(in, FCM_ID_MAX);
	c->made_ms = pk_get_i(in);
	body = pk_get_arr(in);
	if (!pk_in_ok(in) || pk_in_left(in) || kind >= FCM_KINDS ||
	    c->id.len == 0 || c->made_ms < 0 || c->made_ms > INT64_MAX / 2)
		return false;
	c->kind = (enum fcm_kind)kind;
	fcm_defs[kind].decode(c, &body);
	return pk_in_ok(&body) && pk_in_left(&body) == 0;
}

static void fcm_pack_apply(const struct fcm_cmd *c, struct pk_out *o)
{
	guint i;

	pk_arr(o, 3);
	pk_u(o, c->apply.base);
	pk_str(o, c->apply.reason);
	pk_arr(o, 2 * (size_t)c->apply.n_files);
	for (i = 0; i < c->apply.n_files; i++) {
		pk_str(o, c->apply.files[i].name);
		pk_str(o, c->apply.files[i].text);
	}
}

static void fcm_unpack_apply(struct fcm_cmd *c, struct pk_in *in)
{
	struct fcm_apply *a = &c->apply;
	struct pk_in files;
	guint i;

	a->base = pk_get_u(in);
	a->reason = fcm_unpack_text(in, FCM_REASON_MAX);
	files = pk_get_arr(in);
	a->n_files = pk_in_left(&files) / 2;
	if (!pk_in_ok(&files) || pk_in_left(&files) % 2 || a->n_files == 0 ||
	    a->n_files > FCM_FILES_MAX) {
		in->bad = true;
		return;
	}
	for (i = 0; i < a->n_files; i++) {
		a->files[i].name = fcm_unpack_name(&files);
		a->files[i].text = pk_get_str(&files);
	}
	in->bad = in->bad || files.bad;
}

static void fcm_pack_drain(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 4);
	pk_bool(o, c->drain.target);
	pk_str(o, c->drain.name);
	pk_u(o, c->drain.base);
	pk_str(o, c->drain.reason);
}

static void fcm_unpack_drain(struct fcm_cmd *c, struct pk_in *in)
{
	c->drain.target = pk_get_bool(in);
	c->drain.name = fcm_unpack_name(in);
	c->drain.base = pk_get_u(in);
	c->drain.reason = fcm_unpack_text(in, FCM_REASON_MAX);
}

static void fcm_pack_move(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 4);
	pk_str(o, c->move.vm);
	pk_str(o, c->move.pool);
	pk_u(o, c->move.base);
	pk_str(o, c->move.reason);
}

static void fcm_unpack_move(struct fcm_cmd *c, struct pk_in *in)
{
	c->move.vm = fcm_unpack_name(in);
	c->move.pool = fcm_unpack_name(in);
	c->move.base = pk_get_u(in);
	c->move.reason = fcm_unpack_text(in, FCM_REASON_MAX);
}

static void fcm_pack_move_step(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 3);
	pk_str(o, c->step.vm);
	pk_u(o, c->step.epoch);
	pk_str(o, c->step.reason);
}

static void fcm_unpack_move_step(struct fcm_cmd *c, struct pk_in *in)
{
	c->step.vm = fcm_unpack_name(in);
	c->step.epoch = pk_get_u(in);
	c->step.reason = fcm_unpack_text(in, FCM_REASON_MAX);
}

static void fcm_pack_priority(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 4);
	pk_str(o, c->priority.pool);
	pk_i(o, c->priority.priority);
	pk_u(o, c->priority.base);
	pk_str(o, c->priority.reason);
}

static void fcm_unpack_priority(struct fcm_cmd *c, struct pk_in *in)
{
	c->priority.pool = fcm_unpack_name(in);
	c->priority.priority = pk_get_i(in);
	c->priority.base = pk_get_u(in);
	c->priority.reason = fcm_unpack_text(in, FCM_REASON_MAX);
}

static void fcm_pack_node(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 3);
	pk_str(o, c->node.node);
	pk_str(o, c->node.zone);
	pk_str(o, c->node.reason);
}

static void fcm_unpack_node(struct fcm_cmd *c, struct pk_in *in)
{
	c->node.node = fcm_unpack_name(in);
	c->node.zone = c->kind == FCM_JOIN ? fcm_unpack_name(in)
					   : fcm_unpack_text(in, 0);
	c->node.reason = fcm_unpack_text(in, FCM_REASON_MAX);
}

static void fcm_pack_note(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 1);
	pk_str(o, c->note.text);
}

static void fcm_unpack_note(struct fcm_cmd *c, struct pk_in *in)
{
	c->note.text = fcm_unpack_text(in, FCM_REASON_MAX);
}

static void fcm_pack_key_replicas(const struct fcm_cmd *c, struct pk_out *o)
{
	guint i;

	pk_arr(o, 4);
	pk_str(o, c->key_replicas.zone);
	pk_u(o, c->key_replicas.epoch);
	pk_u(o, c->key_replicas.number);
	pk_arr(o, c->key_replicas.n);
	for (i = 0; i < c->key_replicas.n; i++)
		pk_str(o, c->key_replicas.names[i]);
}

static void fcm_unpack_key_replicas(struct fcm_cmd *c, struct pk_in *in)
{
	struct pk_in list;

	c->key_replicas.zone = fcm_unpack_name(in);
	c->key_replicas.epoch = pk_get_u(in);
	c->key_replicas.number = pk_get_u(in);
	list = pk_get_arr(in);
	if (!pk_in_ok(in) || pk_in_left(&list) == 0 ||
	    pk_in_left(&list) > FVW_KEY_REPLICAS_MAX) {
		in->bad = true;
		return;
	}
	for (c->key_replicas.n = 0; pk_in_left(&list); c->key_replicas.n++)
		c->key_replicas.names[c->key_replicas.n] =
			fcm_unpack_text(&list, FVW_NAME_MAX);
	if (!pk_in_ok(&list))
		in->bad = true;
}

static void fcm_pack_override(const struct fcm_cmd *c, struct pk_out *o)
{
	pk_arr(o, 4);
	pk_str(o, c->override.name);
	pk_i(o, c->override.value);
	pk_i(o, c->override.for_ms);
	pk_str(o, c->override.reason);
}

static void fcm_unpack_override(struct fcm_cmd *c, struct pk_in *in)
{
	c->override.name = fcm_unpack_text(in, FCM_OVERRIDE_NAME_MAX);
	c->override.value = pk_get_i(in);
	c->override.for_ms = pk_get_i(in);
	c->override.reason = fcm_unpack_text(in, FCM_REASON_MAX);
}

/*
 * Appends a description of a command, for stamps and the audit trail; refused
 * commands are described too.
 */
void fcm_describe(const struct fcm_cmd *c, GString *s)
{
	fcm_defs[c->kind].describe(c, s);
}

static void fcm_append_reason(struct lstr reason, GString *s)
{
	if (reason.len)
		g_string_append_printf(s, " (" LSTR_FMT ")", LSTR_ARG(reason));
}

static void fcm_describe_apply(const struct fcm_cmd *c, GString *s)
{
	const struct fcm_apply *a = &c->apply;

	g_string_append_printf(s, "configuration " LSTR_FMT " and %u overlays",
			       LSTR_ARG(a->files[0].name), a->n_files - 1);
	if (a->base != FCM_ANY_BASE)
		g_string_append_printf(s, ", made from %llu",
				       (unsigned long long)a->base);
	fcm_append_reason(a->reason, s);
}

static void fcm_describe_drain(const struct fcm_cmd *c, GString *s)
{
	g_string_append_printf(s, "%s %s" LSTR_FMT, fcm_defs[c->kind].name,
			       c->drain.target ? "target " : "",
			       LSTR_ARG(c->drain.name));
	fcm_append_reason(c->drain.reason, s);
}

static void fcm_describe_move(const struct fcm_cmd *c, GString *s)
{
	g_string_append_printf(s, "move " LSTR_FMT " to " LSTR_FMT,
			       LSTR_ARG(c->move.vm), LSTR_ARG(c->move.pool));
	fcm_append_reason(c->move.reason, s);
}

static void fcm_describe_move_step(const struct fcm_cmd *c, GString *s)
{
	g_string_append_printf(s, "%s " LSTR_FMT " at epoch %llu",
			       fcm_defs[c->kind].name, LSTR_ARG(c->step.vm),
			       (unsigned long long)c->step.epoch);
	fcm_append_reason(c->step.reason, s);
}

static void fcm_describe_priority(const struct fcm_cmd *c, GString *s)
{
	const struct fcm_priority *p = &c->priority;

	if (p->priority == FCM_NO_PRIORITY)
		g_string_append_printf(s, "clear priority of " LSTR_FMT,
				       LSTR_ARG(p->pool));
	else
		g_string_append_printf(s, "priority %lld for " LSTR_FMT,
				       (long long)p->priority,
				       LSTR_ARG(p->pool));
	fcm_append_reason(p->reason, s);
}

static void fcm_describe_node(const struct fcm_cmd *c, GString *s)
{
	g_string_append_printf(s, "entry daemon " LSTR_FMT " %s" LSTR_FMT,
			       LSTR_ARG(c->node.node),
			       c->kind == FCM_JOIN ? "joins in " : "forgotten",
			       LSTR_ARG(c->node.zone));
	fcm_append_reason(c->node.reason, s);
}

static void fcm_describe_note(const struct fcm_cmd *c, GString *s)
{
	g_string_append_len(s, c->note.text.p, (gssize)c->note.text.len);
}

static void fcm_describe_key_replicas(const struct fcm_cmd *c, GString *s)
{
	const struct fcm_key_replicas *k = &c->key_replicas;

	g_string_append_printf(s,
			       "keepers %llu of zone " LSTR_FMT
			       ", led by " LSTR_FMT,
			       (unsigned long long)k->number, LSTR_ARG(k->zone),
			       LSTR_ARG(k->names[0]));
}

static void fcm_describe_override(const struct fcm_cmd *c, GString *s)
{
	const struct fcm_override *v = &c->override;

	if (v->value == FCM_NO_OVERRIDE)
		g_string_append_printf(s, "clear %s of " LSTR_FMT,
				       fcm_defs[c->kind].name,
				       LSTR_ARG(v->name));
	else
		g_string_append_printf(
			s, "%s %.10g for " LSTR_FMT " for %lld s",
			fcm_defs[c->kind].name,
			c->kind == FCM_WEIGHT
				? (double)v->value / FCM_WEIGHT_UNIT
				: (double)v->value,
			LSTR_ARG(v->name), (long long)v->for_ms / 1000);
	fcm_append_reason(v->reason, s);
}

/*
 * Reads a text of at most max bytes for the audit trail. The message is marked
 * bad unless the text is UTF-8 without control characters.
 */
static struct lstr fcm_unpack_text(struct pk_in *in, size_t max)
{
	struct lstr s = pk_get_str(in);
	size_t i;

	if (s.len > max || !g_utf8_validate_len(s.p, s.len, NULL))
		in->bad = true;
	for (i = 0; i < s.len; i++)
		if (g_ascii_iscntrl(s.p[i]))
			in->bad = true;
	return in->bad ? LSTR("") : s;
}

/* Reads a name of a VM, target, pool or file; marks bad if not a name. */
static struct lstr fcm_unpack_name(struct pk_in *in)
{
	struct lstr s = pk_get_str(in);

	if (!cfg_is_name(s))
		in->bad = true;
	return in->bad ? LSTR("") : s;
}

/* Packs a result: [code, index, version, number, text]. */
void fcm_result_pack(const struct fcm_result *r, struct pk_out *o)
{
	pk_arr(o, 5);
	pk_u(o, r->code);
	pk_u(o, r->index);
	pk_u(o, r->version);
	pk_u(o, r->number);
	pk_cstr(o, r->text);
}

/*
 * Reads a result; the caller frees its text with fcm_result_clear. Returns
 * false if the bytes are malformed.
 */
bool fcm_result_unpack(struct fcm_result *r, struct lstr bytes)
{
	struct pk_in in;
	bool ok;

	*r = (struct fcm_result){0};
	if (!pk_in_init(&in, bytes))
		return false;
	r->code = (enum proto_result)pk_get_u(&in);
	r->index = pk_get_u(&in);
	r->version = pk_get_u(&in);
	r->number = pk_get_u(&in);
	r->text = lstr_dup(pk_get_str(&in));
	ok = pk_in_ok(&in) && pk_in_left(&in) == 0 &&
	     (unsigned int)r->code <= PROTO_FORBIDDEN;
	pk_in_done(&in);
	if (!ok)
		fcm_result_clear(r);
	return ok;
}

/* Frees the text of a result. */
void fcm_result_clear(struct fcm_result *r)
{
	g_free(r->text);
	r->text = NULL;
}
