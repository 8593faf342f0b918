#ifndef ENT_INT_H
#define ENT_INT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "adm.h"
#include "ent.h"
#include "fvw.h"
#include "idm.h"
#include "srv.h"
#include "tgt.h"
#include "tmr.h"
#include "ups.h"
#include "wire.h"

/* What the parts of the entry daemon share; private to ent_*.c. */

#define ENT_US_PER_MS 1000

/* A pool of the fleet view as the admission knows it. */
struct ent_pool {
	uint32_t id; /* in adm; one for each name, never used again */
	int64_t deadline_ms;
	int64_t max_answer;
};

/* Another entry daemon, or a voter, we hold a connection to. */
struct ent_peer {
	struct wire_conn *conn;
	char *node; /* NULL until it is up */
	char *zone;
	char *http; /* where it takes requests from other zones, or NULL */
	bool draining;
	uint64_t version; /* of the fleet view it works by */
};

enum ent_count {
	ENT_REQUESTS,
	ENT_RAN,
	ENT_NOT_RUN,
	ENT_UNKNOWN,
	ENT_CUT,
	ENT_LEFT,
	ENT_RETRIES,
	ENT_SHIFTED_OUT,
	ENT_SHIFTED_IN,
	ENT_REPLAYED,
	ENT_ANNOUNCED,
	ENT_ANNOUNCE_BAD,
	ENT_COUNTS
};

struct ent {
	struct ent_config config;
	struct tmr *tmr;
	struct wire *wire;
	struct srv *callers;
	struct srv *admin;
	struct ups *ups;
	struct adm *adm;
	struct tgt_table *targets;
	struct idm *keys;
	uint64_t boot;
	uint64_t submits; /* commands sent to voters */
	struct fvw *view; /* NULL until one is known */
	GBytes *view_bytes; /* whole, to pass on */
	GBytes *view_delta; /* changes it came by, or NULL */
	uint64_t view_delta_from; /* oldest version they lead on from */
	int64_t view_since; /* when it was taken, ms */
	int64_t voter_heard; /* when a voter was heard last, ms; 0: never */
	GHashTable *pools; /* name -> struct ent_pool, owned */
	GPtrArray *peers; /* struct ent_peer, owned */
	GPtrArray *zones; /* char *, index as adm knows zones; [0] is ours */
	GPtrArray *requests; /* struct ent_req, all that have no answer yet */
	uint64_t poll_timer;
	uint64_t next_request;
	uint64_t counts[ENT_COUNTS];
	unsigned int turn; /* round robin among another zone's entry VMs */
	bool draining;
	bool stopping;
};

int64_t ent_now_us(const struct ent *e);

#define ENT_ID_MAX 80

/* A caller's request, from its arrival to its answer. */
struct ent_req {
	struct ent *e;
	struct srv_req *srv; /* NULL once the caller has left */
	struct ups_call *call;
	adm_ticket ticket;
	uint64_t target; /* id; 0: sent to another zone, or waiting */
	const struct ent_pool *pool;
	enum evhttp_cmd_type method;
	int64_t deadline_ms; /* moment */
	int64_t sent_us;
	bool repeatable;
	bool may_have_run; /* bytes of some attempt reached a target */
	bool passed_on; /* its answer comes in parts, none of them held */
	bool streaming; /* and the caller gets them */
	bool home; /* sent to the zone that holds its key's memory */
	uint64_t ask; /* claim of its key; 0: none, or ended */
	uint64_t ask_timer;
	char id[ENT_ID_MAX];
};

/* What a caller is told of a request that was given up. */
struct ent_refusal {
	int status;
	const char *outcome;
	const char *reason;
	uint32_t retry_after_ms;
};

/* ent_req.c: callers' requests */
extern const struct srv_ops ent_caller_ops;
void ent_pump(struct ent *e);
void ent_offer(struct ent_req *q);
void ent_send(struct ent_req *q, const char *addr, bool hop);
void ent_req_free(struct ent_req *q);

/* ent_answer.c: what callers are told */
void ent_add_header(GArray *out, const char *name, const char *value);
GArray *ent_pass_headers(const struct ups_header *in, size_t n);
void ent_deliver(struct ent_req *q, const struct ups_answer *a);
void ent_give_up(struct ent_req *q, const struct ent_refusal *why);

/* ent_key.c: idempotency keys */
void ent_key_start(struct ent *e);
void ent_key_view(struct ent *e);
bool ent_key_wanted(const struct ent_req *q);
void ent_key_begin(struct ent_req *q);
void ent_key_end(struct ent_req *q, enum idm_state state,
		 const struct ups_answer *a);
void ent_key_home_end(struct ent_req *q, enum ups_end end,
		      const struct ups_answer *a);
void ent_key_page(struct ent *e, struct srv_req *srv);
void ent_key_peer_up(struct ent *e, struct wire_conn *c);
void ent_key_recv(struct ent *e, struct wire_conn *c, struct pk_in *in);

/* ent_view.c: the fleet view */
bool ent_view_take(struct ent *e, struct lstr bytes, const char *from);
const struct ent_pool *ent_pool_of(struct ent *e, struct lstr service,
				   const struct fvw_pool **pool);
void ent_entries_changed(struct ent *e);

/* ent_target.c: the target table's effects */
extern const struct tgt_ops ent_target_ops;

/* ent_peer.c: voters and other entry daemons */
bool ent_peer_start(struct ent *e, GError **err);
void ent_peer_tell_target(struct ent *e, const struct tgt *t, bool gone);
void ent_peer_tell_view(struct ent *e);
void ent_peer_tell_room(struct ent *e);
const char *ent_peer_in_zone(struct ent *e, int zone);
int ent_zone_known(struct ent *e, const char *zone);
int ent_zone_index(struct ent *e, const char *zone);
void ent_peer_free(gpointer p);

/* ent_admin.c: announcements, health, metrics, status */
extern const struct srv_ops ent_admin_ops;

#endif
