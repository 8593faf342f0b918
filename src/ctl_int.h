#ifndef CTL_INT_H
#define CTL_INT_H

/* Declarations shared by the files of the control daemon of a fleet. */

#include "cns.h"
#include "ctl.h"
#include "fst.h"
#include "mvr.h"
#include "proto.h"
#include "srv.h"
#include "sto.h"
#include "tmr.h"
#include "vot.h"
#include "wire.h"

/* Counters in /metrics. */
enum ctl_count {
	CTL_COMMANDS, /* applied commands received by this voter */
	CTL_REFUSED, /* refused commands */
	CTL_UNKNOWN, /* commands whose outcome was unknown */
	CTL_QUERIES,
	CTL_PUSHES, /* views sent to entry daemons */
	CTL_ELECTIONS, /* elections won by this voter */
	CTL_SNAPSHOTS,
	CTL_SYNCS,
	CTL_COUNTS
};

/* Another voter of the settings. */
struct ctl_peer {
	struct ctl *ctl;
	char name[KEY_NAME_MAX + 1];
	char *addr;
	/* opened from here; the peer sends on its own connection */
	struct wire_conn *conn;
	uint64_t id; /* folder id from its last message; 0: none received */
	uint64_t lineage; /* lineage of its state; 0: it has no state */
	bool foreign_logged;
};

/* An accepted connection and its other end. */
struct ctl_conn {
	struct wire_conn *conn;
	struct ctl_peer *peer; /* NULL: no voter */
	struct ctl_node *node; /* NULL: no entry daemon */
};

/* An entry daemon. */
struct ctl_node {
	char *name;
	char *zone;
	uint64_t version; /* version of the view that it uses */
	uint64_t sent; /* newest version sent on this connection */
	int64_t heard_ms;
	int64_t join_ms; /* time of the last proposal of its join; 0: never */
	struct wire_conn *conn; /* NULL: not connected */
};

/*
 * A request in progress: a command in the log that is not applied yet, or a
 * query that waits for a quorum.
 */
struct ctl_request {
	struct wire_conn *conn; /* NULL: the client has disconnected */
	uint64_t request;
	uint64_t term; /* command */
	char *name; /* query */
	char *arg;
};

struct ctl {
	struct ctl_config config;
	struct tmr *tmr;
	struct mbd *memory; /* of all connections */
	struct wire *wire;
	struct srv *srv;
	struct vot *vot;
	struct cns *cns; /* vot's */
	struct fst *fst;
	uint64_t id; /* id of the data folder */
	GPtrArray *peers; /* struct ctl_peer, all voters except this one */
	const char *addr; /* address for clients */
	GPtrArray *conns; /* struct ctl_conn */
	GHashTable *nodes; /* name: struct ctl_node */
	struct mvr *mover; /* NULL unless this voter leads */
	GHashTable *commands; /* log index: struct ctl_request */
	GHashTable *queries; /* tag: struct ctl_request */
	uint64_t next_tag;
	uint64_t pump_timer;
	enum cns_role role;
	uint64_t term;
	int64_t drain_end; /* 0: not draining */
	uint64_t counts[CTL_COUNTS];
};

/* ctl_voter */
bool ctl_voter_open(struct ctl *c, GError **err);
void ctl_schedule_pump(struct ctl *c);
void ctl_pump(struct ctl *c);
/* ctl_client */
void ctl_on_submit(struct ctl *c, struct wire_conn *conn, struct pk_in *in);
void ctl_on_query(struct ctl *c, struct wire_conn *conn, struct pk_in *in);
void ctl_answer_command(struct ctl *c, const struct cns_entry *e,
			struct lstr result);
void ctl_read_done(struct ctl *c, const struct cns_read *r);
void ctl_fail_commands(struct ctl *c);
void ctl_client_closed(struct ctl *c, const struct wire_conn *conn);
void ctl_request_free(gpointer p);
enum cns_refusal ctl_propose(struct ctl *c, struct lstr sender,
			     enum key_role role, struct lstr cmd,
			     uint64_t *index);
void ctl_note(struct ctl *c, const char *id, const char *text);
void ctl_note_pack(struct pk_out *o, const char *id, const char *text);
/* ctl_node */
void ctl_on_follow(struct ctl *c, struct ctl_conn *conn, struct pk_in *in);
void ctl_push_views(struct ctl *c);
void ctl_nodes_tick(struct ctl *c, int64_t now);
void ctl_query_nodes(struct ctl *c, struct pk_out *out);
void ctl_node_free(gpointer p);
/* ctl_move */
bool ctl_ensure_joined(struct ctl *c, struct ctl_node *n);
void ctl_moves_tick(struct ctl *c, int64_t now);
/* ctl_member */
bool ctl_peers_read(struct ctl *c, GError **err);
void ctl_update_members(struct ctl *c);
void ctl_on_voter(struct ctl *c, struct ctl_conn *conn, struct pk_in *in);
void ctl_send_voter(struct ctl *c, struct wire_conn *conn);
void ctl_query_voters(struct ctl *c, struct pk_out *out);
struct ctl_peer *ctl_find_peer(struct ctl *c, uint64_t id);
bool ctl_same_lineage(const struct ctl *c, const struct ctl_peer *p);
void ctl_peer_free(gpointer p);
/* ctl_http */
bool ctl_http_open(struct ctl *c, GError **err);

#endif
