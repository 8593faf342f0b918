#include "fst_in.h"

#include <sodium.h>

static bool fst_run_entry(struct fst_run *r, struct lstr entry,
			  struct pk_in *in, struct lstr *cmd);
static void fst_run_cmd(struct fst_run *r, struct lstr bytes,
			struct pk_out *result);
static void fst_run_decoded(struct fst_run *r, struct lstr bytes,
			    struct pk_out *result);
static void fst_run_first(struct fst_run *r, struct pk_out *result);
static bool fst_run_refused(struct fst_run *r);
static void fst_run_audit(struct fst_run *r, struct lstr who, const char *role,
			  const char *kind);
static void fst_run_result(const struct fst_run *r, struct pk_out *o);

/* What each kind of command does; one entry a kind. */
static void (*const fst_doers[FCM_KINDS])(struct fst_run *r) = {
	[FCM_APPLY] = fst_do_apply,	  [FCM_DRAIN] = fst_do_drain,
	[FCM_UNDRAIN] = fst_do_undrain,	  [FCM_MOVE] = fst_do_move,
	[FCM_RELEASED] = fst_do_released, [FCM_MOVED] = fst_do_moved,
	[FCM_PRIORITY] = fst_do_priority, [FCM_JOIN] = fst_do_join,
	[FCM_FORGET] = fst_do_forget,	  [FCM_NOTE] = fst_do_note,
	[FCM_KEEPERS] = fst_do_keepers,
};

/* The state before the first entry. */
struct fst *fst_new(void)
{
	struct fst *f = g_new0(struct fst, 1);

	f->configs = g_ptr_array_new_with_free_func(fst_config_free);
	f->vms = g_ptr_array_new_with_free_func(fst_vm_free);
	f->gone = g_ptr_array_new_with_free_func(fst_vm_free);
	f->drains = g_ptr_array_new_with_free_func(fst_drain_free);
	f->prios = g_ptr_array_new_with_free_func(fst_prio_free);
	f->nodes = g_ptr_array_new_with_free_func(fst_node_free);
	f->keepers = g_ptr_array_new_with_free_func(fvw_keepers_free);
	f->sites = g_ptr_array_new_with_free_func(fst_site_free);
	f->ids = g_hash_table_new(g_str_hash, g_str_equal);
	f->ids_by_made = g_sequence_new(fst_id_free);
	f->audit = fau_new();
	return f;
}

/* Frees a state; NULL is allowed. */
void fst_free(struct fst *f)
{
	if (!f)
		return;
	g_ptr_array_free(f->configs, TRUE);
	g_ptr_array_free(f->vms, TRUE);
	g_ptr_array_free(f->gone, TRUE);
	g_ptr_array_free(f->drains, TRUE);
	g_ptr_array_free(f->prios, TRUE);
	g_ptr_array_free(f->nodes, TRUE);
	g_ptr_array_free(f->keepers, TRUE);
	g_ptr_array_free(f->sites, TRUE);
	g_hash_table_destroy(f->ids);
	g_sequence_free(f->ids_by_made);
	fau_free(f->audit);
	cfg_free(f->cfg);
	g_free(f);
}

/* Index of the last entry applied. */
uint64_t fst_index(const struct fst *f)
{
	return f->index;
}

/* Version of the view entry daemons work by; 0 before the first change. */
uint64_t fst_version(const struct fst *f)
{
	return f->version;
}

/* The configuration in force; NULL before the first. */
const struct cfg *fst_config(const struct fst *f)
{
	return f->cfg;
}

/* The view has changed: entry daemons must hear of it. */
void fst_touch(struct fst *f)
{
	f->version++;
}

/*
 * Packs a log entry. Time and sender are the leader's word, taken once, so
 * that each voter that applies the entry sees the same.
 */
void fst_entry_pack(struct pk_out *o, int64_t time_ms, struct lstr who,
		    enum key_role role, struct lstr cmd)
{
	pk_arr(o, 4);
	pk_i(o, time_ms);
	pk_str(o, who);
	pk_u(o, role);
	pk_str(o, cmd);
}

/*
 * Applies the entry of an index, which must be above the last one's, and
 * packs its result (see fcm_result_unpack). Every entry has a result; none
 * stops a voter, since the next start would meet it again.
 */
void fst_apply(struct fst *f, uint64_t index, struct lstr entry,
	       struct pk_out *result)
{
	struct fst_run r = {
		.f = f,
		.index = index,
		.time_ms = f->time_ms,
		.what = g_string_new(NULL),
		.text = g_string_new(NULL),
	};
	struct pk_in in;
	struct lstr cmd;

	g_assert(index > f->index);
	f->index = index;
	if (fst_run_entry(&r, entry, &in, &cmd)) {
		f->time_ms = r.time_ms;
		fst_id_expire(f);
		fst_run_cmd(&r, cmd, result);
		pk_in_done(&in);
	} else {
		fst_run_end(&r, PROTO_REFUSED, "not a log entry");
		fst_run_audit(&r, LSTR(""), "", "");
		fst_run_result(&r, result);
	}
	g_string_free(r.what, TRUE);
	g_string_free(r.text, TRUE);
}

static bool fst_run_entry(struct fst_run *r, struct lstr entry,
			  struct pk_in *in, struct lstr *cmd)
{
	int64_t time_ms;
	uint64_t role;

	if (!pk_in_init(in, entry))
		return false;
	time_ms = pk_get_i(in);
	r->who = pk_get_str(in);
	role = pk_get_u(in);
	*cmd = pk_get_str(in);
	if (!pk_in_ok(in) || pk_in_left(in) || role >= KEY_ROLES ||
	    r->who.len > KEY_NAME_MAX || time_ms < 0 ||
	    time_ms > FST_TIME_MAX) {
		pk_in_done(in);
		return false;
	}
	r->role = (enum key_role)role;
	/* A new leader's clock may be behind the last one's. */
	r->time_ms = MAX(time_ms, r->f->time_ms);
	return true;
}

static void fst_run_cmd(struct fst_run *r, struct lstr bytes,
			struct pk_out *result)
{
	struct fcm_cmd cmd;
	struct pk_in in;

	if (fcm_decode(&cmd, &in, bytes)) {
		r->cmd = &cmd;
		fst_run_decoded(r, bytes, result);
		r->cmd = NULL;
	} else {
		fst_run_end(r, PROTO_REFUSED, "not a command");
		fst_run_audit(r, r->who, key_role_name(r->role), "");
		fst_run_result(r, result);
	}
	pk_in_done(&in);
}

static void fst_run_decoded(struct fst_run *r, struct lstr bytes,
			    struct pk_out *result)
{
	char *key = fst_id_key(r->who, r->cmd->id);
	const struct fst_id *id = fst_id_find(r->f, key);
	uint8_t digest[FST_DIGEST];

	fcm_describe(r->cmd, r->what);
	crypto_generichash(digest, sizeof(digest),
			   (const unsigned char *)bytes.p, bytes.len, NULL, 0);
	if (!id) {
		fst_run_first(r, result);
		if (r->code != PROTO_FORBIDDEN &&
		    r->code != PROTO_OUTCOME_UNKNOWN)
			fst_id_add(r->f, key, r->cmd->made_ms, digest,
				   pk_out_view(result));
	} else if (memcmp(id->digest, digest, sizeof(digest)) == 0) {
		/*
		 * A resend: the operator lost the answer, not the command. It
		 * gets the first one's result and changes nothing.
		 */
		gsize len;
		const char *p = g_bytes_get_data(id->result, &len);

		msgpack_sbuffer_write(&result->buf, p, len);
	} else {
		fst_run_end(r, PROTO_REFUSED,
			    "identity stands for another command");
		fst_run_audit(r, r->who, key_role_name(r->role),
			      fcm_defs[r->cmd->kind].name);
		fst_run_result(r, result);
	}
	g_free(key);
}

/* A command that is met for the first time. */
static void fst_run_first(struct fst_run *r, struct pk_out *result)
{
	if (!fst_run_refused(r))
		fst_doers[r->cmd->kind](r);
	fst_run_audit(r, r->who, key_role_name(r->role),
		      fcm_defs[r->cmd->kind].name);
	fst_run_result(r, result);
}

/* What is decided before the kind of command matters. */
static bool fst_run_refused(struct fst_run *r)
{
	const struct fcm_cmd *c = r->cmd;
	const struct fcm_def *def = &fcm_defs[c->kind];

	if (r->role < def->role)
		fst_run_end(r, PROTO_FORBIDDEN,
			    "%s needs role %s; the key has %s", def->name,
			    key_role_name(def->role), key_role_name(r->role));
	else if (c->made_ms <= r->f->id_floor_ms)
		/*
		 * It may be the resend of a command that took effect and whose
		 * identity is forgotten; applied, it would take effect twice.
		 */
		fst_run_end(r, PROTO_OUTCOME_UNKNOWN,
			    "made before the window of identities; look in the "
			    "audit trail whether it was done, then make it "
			    "anew");
	else if (c->made_ms > r->time_ms + FST_CLOCK_AHEAD_MS)
		fst_run_end(r, PROTO_REFUSED,
			    "the client's clock is more than %d s ahead",
			    (int)(FST_CLOCK_AHEAD_MS / 1000));
	else
		return false;
	return true;
}

/* Ends a command with a code and what the operator reads. */
void fst_run_end(struct fst_run *r, enum proto_result code, const char *fmt,
		 ...)
{
	va_list ap;

	r->code = code;
	va_start(ap, fmt);
	g_string_vprintf(r->text, fmt, ap);
	va_end(ap);
	if (r->text->len > FST_TEXT_MAX) {
		const char *cut = r->text->str + FST_TEXT_MAX;

		cut = g_utf8_find_prev_char(r->text->str, cut + 1);
		g_string_truncate(r->text, (gsize)(cut - r->text->str));
	}
}

/*
 * Whether something was changed since the operator looked at it: two who
 * changed the same from the same state would otherwise undo each other
 * unseen. The result names who, when and what.
 */
bool fst_run_conflicts(struct fst_run *r, const struct fst_stamp *s,
		       uint64_t base)
{
	char *when;

	r->from = base == FCM_ANY_BASE ? 0 : base;
	if (base == FCM_ANY_BASE || base == s->index)
		return false;
	when = fst_time_text(s->time_ms);
	if (s->index)
		fst_run_end(r, PROTO_CONFLICT,
			    "changed meanwhile by %s at %s: %s", s->who, when,
			    s->what);
	else
		fst_run_end(r, PROTO_CONFLICT, "was never changed before");
	g_free(when);
	return true;
}

/* Notes in the audit trail what follows from a command by itself. */
void fst_run_auto(struct fst_run *r, const char *fmt, ...)
{
	char *what;
	va_list ap;
	struct fau_rec rec = {
		.index = r->index,
		.time_ms = r->time_ms,
		.who = LSTR("endiveslip"),
		.role = LSTR("automatic"),
		.kind = LSTR("follows"),
		.from = r->index,
		.outcome = LSTR("accepted"),
	};

	va_start(ap, fmt);
	what = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	rec.what = lstr_from(what);
	fau_add(r->f->audit, &rec);
	g_free(what);
}

static void fst_run_audit(struct fst_run *r, struct lstr who, const char *role,
			  const char *kind)
{
	struct fau_rec rec = {
		.index = r->index,
		.time_ms = r->time_ms,
		.who = who,
		.role = lstr_from(role),
		.kind = lstr_from(kind),
		.what = lstr_n(r->what->str, r->what->len),
		/* A base that means "any", or garbage, still reads back. */
		.from = r->from <= INT64_MAX ? r->from : 0,
		.outcome = lstr_from(fcm_outcome_name(r->code)),
		.text = lstr_n(r->text->str, r->text->len),
	};

	fau_add(r->f->audit, &rec);
}

static void fst_run_result(const struct fst_run *r, struct pk_out *o)
{
	const struct fst_config *c = fst_config_last(r->f);
	struct fcm_result result = {
		.code = r->code,
		.index = r->index,
		.version = r->f->version,
		.number = c ? c->number : 0,
		.text = r->text->str,
	};

	fcm_result_pack(&result, o);
}

/* An automatic act that changes nothing else here. */
void fst_do_note(struct fst_run *r)
{
	fst_run_end(r, PROTO_OK, "noted");
}

/* The present command is the last change of something. */
void fst_stamp_set(struct fst_stamp *s, const struct fst_run *r)
{
	fst_stamp_clear(s);
	s->index = r->index;
	s->time_ms = r->time_ms;
	s->who = lstr_dup(r->who);
	s->what = g_strndup(r->what->str, r->what->len);
}

/* Frees what a stamp holds. */
void fst_stamp_clear(struct fst_stamp *s)
{
	g_free(s->who);
	g_free(s->what);
	*s = (struct fst_stamp){0};
}

/* A time of the log as 2026-12-02T21:30:00Z; freed with g_free. */
char *fst_time_text(int64_t time_ms)
{
	GDateTime *t = g_date_time_new_from_unix_utc(time_ms / 1000);
	char *text;

	if (!t)
		return g_strdup_printf("%lld ms", (long long)time_ms);
	text = g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ");
	g_date_time_unref(t);
	return text;
}
