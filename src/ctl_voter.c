#include "ctl_int.h"

#include <sodium.h>
#include <stdio.h>
#include <time.h>

#include "err.h"
#include "msg.h"

/*
 * Heartbeat interval; five heartbeats a second keep the traffic of a node far
 * below 3 KB a second.
 */
#define CTL_HEARTBEAT_MS 200
/* Minimum election timeout; a killed leader is replaced within 2 s. */
#define CTL_ELECTION_MS 500
/*
 * Applied entries, or bytes of them, between snapshots: a restart reads at most
 * this much, and at 34,000 changes a day there are a few snapshots a day.
 */
#define CTL_SNAP_ENTRIES 10000
#define CTL_SNAP_BYTES (4u << 20)

static void ctl_pump_timer(void *arg, int64_t now);
static void ctl_send(void *arg, const struct cns_msg *m);
static bool ctl_restore(void *arg, struct lstr snap, GError **err);
static void ctl_apply(void *arg, const struct cns_entry *e);
static void ctl_snapshot(void *arg, struct pk_out *o);
static void ctl_read(void *arg, const struct cns_read *r);
static void ctl_update_role(struct ctl *c);
static void ctl_folder_full(void *arg, bool full);
static void ctl_folder_failed(void *arg, const GError *why);
static uint64_t ctl_random_id(void);
static const char *ctl_find_own_addr(const struct ctl_config *config);
static bool ctl_recover_write(const struct ctl_config *config, struct sto *s,
			      const struct sto_loaded *l, GError **err);
static void ctl_recover_entry(struct sto *s, struct cns_entry *e,
			      struct pk_out *o);

static const struct vot_ops ctl_vot_ops = {
	.send = ctl_send,
	.apply = ctl_apply,
	.restore = ctl_restore,
	.snapshot = ctl_snapshot,
	.read_done = ctl_read,
	.full = ctl_folder_full,
	.failed = ctl_folder_failed,
};

/* Opens the data folder and continues from the state in it. */
bool ctl_voter_open(struct ctl *c, GError **err)
{
	struct vot_config config = {
		.node = c->config.node,
		.data = c->config.data,
		.new_id = ctl_random_id(),
		.now_ms = tmr_now(c->tmr),
		.heartbeat_ms = CTL_HEARTBEAT_MS,
		.election_ms = CTL_ELECTION_MS,
		.snap_entries = CTL_SNAP_ENTRIES,
		.snap_bytes = CTL_SNAP_BYTES,
	};

	c->vot = vot_open(&config, &ctl_vot_ops, c, err);
	if (!c->vot)
		return false;
	c->cns = vot_cns(c->vot);
	c->id = vot_id(c->vot);
	return true;
}

/*
 * Schedules ctl_pump at the end of this iteration of the event loop: everything
 * that arrives within one iteration shares a sync, so that a burst of commands
 * needs few syncs.
 */
void ctl_schedule_pump(struct ctl *c)
{
	if (!c->pump_timer)
		c->pump_timer = tmr_once(c->tmr, 0, ctl_pump_timer, c);
}

/* Does all pending consensus work and reports its results. */
void ctl_pump(struct ctl *c)
{
	vot_pump(c->vot);
	c->counts[CTL_SYNCS] = vot_syncs(c->vot);
	c->counts[CTL_SNAPSHOTS] = vot_snapshots(c->vot);
	if (vot_failed(c->vot) || vot_is_full(c->vot))
		return;
	ctl_update_role(c);
	if (c->role == CNS_LEADER)
		ctl_push_views(c);
}

static void ctl_pump_timer(void *arg, int64_t now)
{
	struct ctl *c = arg;

	c->pump_timer = 0;
	ctl_pump(c);
}

static void ctl_send(void *arg, const struct cns_msg *m)
{
	struct ctl *c = arg;
	const struct ctl_peer *p = ctl_find_peer(c, m->to);
	struct pk_out o;

	if (!p || !wire_is_up(p->conn) || !ctl_same_lineage(c, p))
		return;
	pk_out_init(&o);
	cns_msg_pack(m, &o);
	/* A single command can be nearly as large as a frame. */
	if (pk_out_view(&o).len <= WIRE_PAYLOAD_MAX)
		wire_send(p->conn, pk_out_view(&o));
	pk_out_done(&o);
}

static bool ctl_restore(void *arg, struct lstr snap, GError **err)
{
	struct ctl *c = arg;

	return fst_restore(c->fst, snap, err);
}

static void ctl_apply(void *arg, const struct cns_entry *e)
{
	struct ctl *c = arg;
	struct pk_out result;
	gsize len;
	const char *p = g_bytes_get_data(e->data, &len);

	if (e->kind != CNS_COMMAND)
		return;
	pk_out_init(&result);
	fst_apply(c->fst, e->index, lstr_n(p, len), &result);
	ctl_answer_command(c, e, pk_out_view(&result));
	pk_out_done(&result);
}

static void ctl_snapshot(void *arg, struct pk_out *o)
{
	struct ctl *c = arg;

	fst_snapshot(c->fst, o);
}

static void ctl_read(void *arg, const struct cns_read *r)
{
	ctl_read_done(arg, r);
}

static void ctl_update_role(struct ctl *c)
{
	enum cns_role role = cns_role(c->cns);
	uint64_t term = cns_term(c->cns);
	const struct cns_member *leader =
		cns_find_member(cns_members(c->cns), cns_leader(c->cns));

	if (role == c->role && term == c->term)
		return;
	if (role != CNS_LEADER || term != c->term)
		ctl_fail_commands(c);
	if (role == CNS_LEADER)
		c->counts[CTL_ELECTIONS]++;
	msg(MSG_CTL_ROLE, "role=%s term=%" G_GUINT64_FORMAT " leader=%s",
	    cns_role_name(role), term, leader ? leader->name : "");
	c->role = role;
	c->term = term;
}

/*
 * The disk has no space, or has some again. Without space this voter is no part
 * of the quorum, and what it was to store may have been stored by the others.
 */
static void ctl_folder_full(void *arg, bool full)
{
	struct ctl *c = arg;

	if (!full)
		return;
	ctl_fail_commands(c);
	c->role = CNS_FOLLOWER;
}

/*
 * The data folder failed: ends the event loop, as this process must not answer
 * any request.
 */
static void ctl_folder_failed(void *arg, const GError *why)
{
	struct ctl *c = arg;

	event_base_loopbreak(c->config.base);
}

/* Returns the address of this voter for clients, as its peers know it. */
static const char *ctl_find_own_addr(const struct ctl_config *config)
{
	size_t len = strlen(config->node);
	char **p;

	for (p = config->peers; *p; p++)
		if (strncmp(*p, config->node, len) == 0 && (*p)[len] == '=')
			return *p + len + 1;
	return config->listen;
}

static uint64_t ctl_random_id(void)
{
	uint64_t id = 0;

	while (id == 0)
		randombytes_buf(&id, sizeof(id));
	return id;
}

static bool ctl_recover_write(const struct ctl_config *config, struct sto *s,
			      const struct sto_loaded *l, GError **err)
{
	struct cns_members members = {.lineage = ctl_random_id(), .n = 1};
	struct cns_entry e = {.term = l->term + 1, .kind = CNS_MEMBERS};
	struct pk_out note;
	struct pk_out o;
	char *text;
	char *id;
	bool ok;

	members.m[0] = (struct cns_member){.id = l->id, .voter = true};
	g_strlcpy(members.m[0].name, config->node, sizeof(members.m[0].name));
	g_strlcpy(members.m[0].addr, ctl_find_own_addr(config),
		  sizeof(members.m[0].addr));
	e.index = 1 + (l->snap ? l->snap->index : 0) + l->entries->len;
	text = g_strdup_printf(
		"recovered without a majority from the folder of %s: changes "
		"accepted after entry %" G_GUINT64_FORMAT " may be lost",
		config->node, e.index - 1);
	id = g_strdup_printf("recover-%016" G_GINT64_MODIFIER "x",
			     members.lineage);
	sto_vote(s, e.term, l->id);
	pk_out_init(&o);
	cns_members_pack(&members, &o);
	ctl_recover_entry(s, &e, &o);
	e.index++;
	e.kind = CNS_COMMAND;
	pk_out_init(&note);
	ctl_note_pack(&note, id, text);
	pk_out_init(&o);
	fst_entry_pack(&o, (int64_t)time(NULL) * 1000, lstr_from(config->node),
		       KEY_DUTY, pk_out_view(&note));
	ctl_recover_entry(s, &e, &o);
	pk_out_done(&note);
	ok = sto_sync(s, err);
	if (ok)
		msg(MSG_CTL_RECOVERED, "why=\"%s\"", text);
	g_free(text);
	g_free(id);
	return ok;
}

/*
 * Adds a record of an entry whose data are the bytes of o; takes ownership of
 * o.
 */
static void ctl_recover_entry(struct sto *s, struct cns_entry *e,
			      struct pk_out *o)
{
	struct lstr view = pk_out_view(o);

	e->data = g_bytes_new(view.p, view.len);
	sto_entry(s, e);
	g_bytes_unref(e->data);
	pk_out_done(o);
}

/*
 * Makes the voter of this data folder the only one after the others are lost
 * permanently. What only they had accepted is lost, which is recorded in the
 * audit trail, and other folders of the old fleet are ignored from then on. The
 * daemon must not be running. Returns false with an error.
 */
bool ctl_recover(const struct ctl_config *config, GError **err)
{
	struct sto_io *io = sto_folder_new(config->data, err);
	struct sto_loaded l;
	struct sto *s;
	bool ok = false;

	if (!io)
		return false;
	s = sto_open(io, config->node, ctl_random_id(), &l, err);
	/* a folder created by a refused call is empty as well */
	if (s && !l.snap && l.entries->len == 0)
		err_set(err, ERR_REFUSED, "recover", NULL,
			"%s: there is nothing to recover from%s%s",
			config->data, l.damage ? ": " : "",
			l.damage ? l.damage : "");
	else if (s)
		ok = ctl_recover_write(config, s, &l, err);
	sto_loaded_clear(&l);
	sto_free(s);
	sto_folder_free(io);
	return ok;
}
