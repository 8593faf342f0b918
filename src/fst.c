#include "fst_in.h"

#include <sodium.h>

static bool fst_exec_parse_entry(struct fst_exec *ex, struct lstr entry,
				 struct pk_in *in, struct lstr *cmd);
static void fst_exec_command(struct fst_exec *ex, struct lstr bytes,
			     struct pk_out *result);
static void fst_exec_decoded(struct fst_exec *ex, struct lstr bytes,
			     struct pk_out *result);
static void fst_exec_new(struct fst_exec *ex, struct pk_out *result);
static bool fst_exec_reject(struct fst_exec *ex);
static void fst_audit_command(struct fst_exec *ex, struct lstr who,
			      const char *role, const char *kind);
static void fst_exec_pack_result(const struct fst_exec *ex, struct pk_out *o);

/* Handler of each kind of command. */
static void (*const fst_handlers[FCM_KINDS])(struct fst_exec *ex) = {
	[FCM_APPLY] = fst_handle_apply,
	[FCM_DRAIN] = fst_handle_drain,
	[FCM_UNDRAIN] = fst_handle_undrain,
	[FCM_MOVE] = fst_handle_move,
	[FCM_RELEASED] = fst_handle_released,
	[FCM_MOVED] = fst_handle_moved,
	[FCM_PRIORITY] = fst_handle_priority,
	[FCM_JOIN] = fst_handle_join,
	[FCM_FORGET] = fst_handle_forget,
	[FCM_NOTE] = fst_handle_note,
	[FCM_KEY_REPLICAS] = fst_handle_key_replicas,
	[FCM_FLOOR] = fst_handle_override,
	[FCM_WEIGHT] = fst_handle_override,
};

/* Returns a new, empty state. */
struct fst *fst_new(void)
{
	struct fst *f = g_new0(struct fst, 1);

	f->configs = g_ptr_array_new_with_free_func(fst_config_free);
	f->vms = g_ptr_array_new_with_free_func(fst_vm_free);
	f->removed = g_ptr_array_new_with_free_func(fst_vm_free);
	f->drains = g_ptr_array_new_with_free_func(fst_drain_free);
	f->prios = g_ptr_array_new_with_free_func(fst_prio_free);
	f->nodes = g_ptr_array_new_with_free_func(fst_node_free);
	f->key_replicas = g_ptr_array_new_with_free_func(fvw_key_replicas_free);
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
	g_ptr_array_free(f->removed, TRUE);
	g_ptr_array_free(f->drains, TRUE);
	g_ptr_array_free(f->prios, TRUE);
	g_ptr_array_free(f->nodes, TRUE);
	g_ptr_array_free(f->key_replicas, TRUE);
	g_ptr_array_free(f->sites, TRUE);
	g_hash_table_destroy(f->ids);
	g_sequence_free(f->ids_by_made);
	fau_free(f->audit);
	cfg_free(f->cfg);
	g_free(f);
}

/* Returns the index of the last entry applied. */
uint64_t fst_index(const struct fst *f)
{
	return f->index;
}

/* Returns the version of the view; 0 before its first change. */
uint64_t fst_version(const struct fst *f)
{
	return f->version;
}

/* Returns the configuration in force; NULL before the first. */
const struct cfg *fst_config(const struct fst *f)
{
	return f->cfg;
}

/* Increments the view version, so that entry daemons fetch the change. */
void fst_bump_version(struct fst *f)
{
	f->version++;
}

/*
 * Packs a log entry. The leader records the time and the sender in the entry,
 * so that every voter applies the command with the same values.
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
 * Applies a log entry and packs its result (see fcm_result_unpack). The index
 * must be above that of the last entry. A malformed entry gets an error
 * result and does not stop the voter, because the voter would read the same
 * entry again at its next start.
 */
void fst_apply(struct fst *f, uint64_t index, struct lstr entry,
	       struct pk_out *result)
{
	struct fst_exec ex = {
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
	if (fst_exec_parse_entry(&ex, entry, &in, &cmd)) {
		f->time_ms = ex.time_ms;
		fst_id_expire(f);
		fst_exec_command(&ex, cmd, result);
		pk_in_done(&in);
	} else {
		fst_exec_finish(&ex, PROTO_REFUSED, "not a log entry");
		fst_audit_command(&ex, LSTR(""), "", "");
		fst_exec_pack_result(&ex, result);
	}
	g_string_free(ex.what, TRUE);
	g_string_free(ex.text, TRUE);
}

static bool fst_exec_parse_entry(struct fst_exec *ex, struct lstr entry,
				 struct pk_in *in, struct lstr *cmd)
{
	int64_t time_ms;
	uint64_t role;

	if (!pk_in_init(in, entry))
		return false;
	time_ms = pk_get_i(in);
	ex->who = pk_get_str(in);
	role = pk_get_u(in);
	*cmd = pk_get_str(in);
	if (!pk_in_ok(in) || pk_in_left(in) || role >= KEY_ROLES ||
	    ex->who.len > KEY_NAME_MAX || time_ms < 0 ||
	    time_ms > FST_TIME_MAX) {
		pk_in_done(in);
		return false;
	}
	ex->role = (enum key_role)role;
	/* A new leader's clock may be behind the previous leader's. */
	ex->time_ms = MAX(time_ms, ex->f->time_ms);
	return true;
}

static void fst_exec_command(struct fst_exec *ex, struct lstr bytes,
			     struct pk_out *result)
{
	struct fcm_cmd cmd;
	struct pk_in in;

	if (fcm_decode(&cmd, &in, bytes)) {
		ex->cmd = &cmd;
		fst_exec_decoded(ex, bytes, result);
		ex->cmd = NULL;
	} else {
		fst_exec_finish(ex, PROTO_REFUSED, "not a command");
		fst_audit_command(ex, ex->who, key_role_name(ex->role), "");
		fst_exec_pack_result(ex, result);
	}
	pk_in_done(&in);
}

static void fst_exec_decoded(struct fst_exec *ex, struct lstr bytes,
			     struct pk_out *result)
{
	char *key = fst_id_key(ex->who, ex->cmd->id);
	const struct fst_id *id = fst_id_find(ex->f, key);
	uint8_t digest[FST_DIGEST_BYTES];

	fcm_describe(ex->cmd, ex->what);
	crypto_generichash(digest, sizeof(digest),
			   (const unsigned char *)bytes.p, bytes.len, NULL, 0);
	if (!id) {
		fst_exec_new(ex, result);
		if (ex->code != PROTO_FORBIDDEN &&
		    ex->code != PROTO_OUTCOME_UNKNOWN)
			fst_id_add(ex->f, key, ex->cmd->made_ms, digest,
				   pk_out_view(result));
	} else if (memcmp(id->digest, digest, sizeof(digest)) == 0) {
		/*
		 * A resend of a command whose answer was lost. It gets the
		 * result of the first sending and is not applied again.
		 */
		gsize len;
		const char *p = g_bytes_get_data(id->result, &len);

		msgpack_sbuffer_write(&result->buf, p, len);
	} else {
		fst_exec_finish(ex, PROTO_REFUSED,
				"identity stands for another command");
		fst_audit_command(ex, ex->who, key_role_name(ex->role),
				  fcm_defs[ex->cmd->kind].name);
		fst_exec_pack_result(ex, result);
	}
	g_free(key);
}

/* Executes a command that is not a resend. */
static void fst_exec_new(struct fst_exec *ex, struct pk_out *result)
{
	if (!fst_exec_reject(ex))
		fst_handlers[ex->cmd->kind](ex);
	fst_audit_command(ex, ex->who, key_role_name(ex->role),
			  fcm_defs[ex->cmd->kind].name);
	fst_exec_pack_result(ex, result);
}

/*
 * Checks the sender's role and the time at which a command was made. Returns
 * true if the command is rejected; its result is then set.
 */
static bool fst_exec_reject(struct fst_exec *ex)
{
	const struct fcm_cmd *c = ex->cmd;
	const struct fcm_def *def = &fcm_defs[c->kind];

	if (ex->role < def->role)
		fst_exec_finish(ex, PROTO_FORBIDDEN,
				"%s needs role %s; the key has %s", def->name,
				key_role_name(def->role),
				key_role_name(ex->role));
	else if (c->made_ms <= ex->f->id_floor_ms)
		/*
		 * This may be the resend of a command that took effect and
		 * whose ID was evicted; applying it would repeat the effect.
		 */
		fst_exec_finish(
			ex, PROTO_OUTCOME_UNKNOWN,
			"made before the window of identities; look in the "
			"audit trail whether it was done, then make it "
			"anew");
	else if (c->made_ms > ex->time_ms + FST_CLOCK_AHEAD_MS)
		fst_exec_finish(ex, PROTO_REFUSED,
				"the client's clock is more than %d s ahead",
				(int)(FST_CLOCK_AHEAD_MS / 1000));
	else
		return false;
	return true;
}

/* Sets a command's result code and the text that the operator reads. */
void fst_exec_finish(struct fst_exec *ex, enum proto_result code,
		     const char *fmt, ...)
{
	va_list ap;

	ex->code = code;
	va_start(ap, fmt);
	g_string_vprintf(ex->text, fmt, ap);
	va_end(ap);
	if (ex->text->len > FST_RESULT_TEXT_MAX) {
		const char *cut = ex->text->str + FST_RESULT_TEXT_MAX;

		cut = g_utf8_find_prev_char(ex->text->str, cut + 1);
		g_string_truncate(ex->text, (gsize)(cut - ex->text->str));
	}
}

/*
 * Returns whether an object has changed since the version (base) that the
 * operator's command was made from; the conflict result then names who made
 * which change and when. Without this check, two operators who change the
 * same object would undo each other's change without noticing.
 */
bool fst_exec_has_conflict(struct fst_exec *ex, const struct fst_stamp *s,
			   uint64_t base)
{
	char *when;

	ex->from = base == FCM_ANY_BASE ? 0 : base;
	if (base == FCM_ANY_BASE || base == s->index)
		return false;
	when = fst_format_time(s->time_ms);
	if (s->index)
		fst_exec_finish(ex, PROTO_CONFLICT,
				"changed meanwhile by %s at %s: %s", s->who,
				when, s->what);
	else
		fst_exec_finish(ex, PROTO_CONFLICT, "was never changed before");
	g_free(when);
	return true;
}

/* Records in the audit trail an automatic consequence of a command. */
void fst_audit_automatic(struct fst_exec *ex, const char *fmt, ...)
{
	char *what;
	va_list ap;
	struct fau_rec rec = {
		.index = ex->index,
		.time_ms = ex->time_ms,
		.who = LSTR("endiveslip"),
		.role = LSTR("automatic"),
		.kind = LSTR("follows"),
		.from = ex->index,
		.outcome = LSTR("accepted"),
	};

	va_start(ap, fmt);
	what = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	rec.what = lstr_from(what);
	fau_add(ex->f->audit, &rec);
	g_free(what);
}

static void fst_audit_command(struct fst_exec *ex, struct lstr who,
			      const char *role, const char *kind)
{
	struct fau_rec rec = {
		.index = ex->index,
		.time_ms = ex->time_ms,
		.who = who,
		.role = lstr_from(role),
		.kind = lstr_from(kind),
		.what = lstr_n(ex->what->str, ex->what->len),
		/* FCM_ANY_BASE and invalid bases could not be read back. */
		.from = ex->from <= INT64_MAX ? ex->from : 0,
		.outcome = lstr_from(fcm_outcome_name(ex->code)),
		.text = lstr_n(ex->text->str, ex->text->len),
	};

	fau_add(ex->f->audit, &rec);
}

static void fst_exec_pack_result(const struct fst_exec *ex, struct pk_out *o)
{
	const struct fst_config *c = fst_config_last(ex->f);
	struct fcm_result result = {
		.code = ex->code,
		.index = ex->index,
		.version = ex->f->version,
		.number = c ? c->number : 0,
		.text = ex->text->str,
	};

	fcm_result_pack(&result, o);
}

/* Handles a note, which only adds a record to the audit trail. */
void fst_handle_note(struct fst_exec *ex)
{
	fst_exec_finish(ex, PROTO_OK, "noted");
}

/* Records the current command as the last change of an object. */
void fst_stamp_update(struct fst_stamp *s, const struct fst_exec *ex)
{
	fst_stamp_clear(s);
	s->index = ex->index;
	s->time_ms = ex->time_ms;
	s->who = lstr_dup(ex->who);
	s->what = g_strndup(ex->what->str, ex->what->len);
}

/* Frees the strings of a stamp and zeroes it. */
void fst_stamp_clear(struct fst_stamp *s)
{
	g_free(s->who);
	g_free(s->what);
	*s = (struct fst_stamp){0};
}

/*
 * Formats a log time in ms since the epoch as 2026-12-02T21:30:00Z. The
 * caller frees the text with g_free.
 */
char *fst_format_time(int64_t time_ms)
{
	GDateTime *t = g_date_time_new_from_unix_utc(time_ms / 1000);
	char *text;

	if (!t)
		return g_strdup_printf("%lld ms", (long long)time_ms);
	text = g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ");
	g_date_time_unref(t);
	return text;
}
