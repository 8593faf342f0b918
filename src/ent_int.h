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

/* Declarations shared by the parts of the entry daemon; private to ent_*.c. */

#define ENT_US_PER_MS 1000

/* A pool of the fleet view, with its id in the admission control. */
struct ent_pool {
	uint32_t id; /* in adm; unique for each name, never reused */
	int64_t deadline_ms;
	int64_t max_answer;
};

/* A connection to another entry daemon or to a voter. */
struct ent_peer {
	struct wire_conn *conn;
	char *node; /* NULL for a voter */
	char *zone;
	char *http; /* IP:PORT for requests from other zones, or NULL */
	bool draining;
	uint64_t version; /* of the fleet view in force at the peer */
};

enum ent_count {
	ENT_REQUESTS,
	ENT_RAN,
	ENT_NOT_RUN,
	ENT_UNKNOWN,
	ENT_TRUNCATED,
	ENT_CALLER_LEFT,
	ENT_RETRIES,
	ENT_SHIFTED_OUT,
	ENT_SHIFTED_IN,
	ENT_REPLAYED,
	ENT_ANNOUNCED,
	ENT_ANNOUNCE_REFUSED,
	ENT_COUNTS
};

struct ent {
	struct ent_config config;
	struct tmr *tmr;
	struct mbd *memory; /* of all connections */
	struct wire *wire;
	struct srv *callers;
	struct srv *admin;
	struct ups *ups;
	struct adm *adm;
	struct tgt_table *targets;
	struct idm *idm;
	int64_t ticked_ms; /* time of the last tick; 0: none */
	uint64_t boot;
	uint64_t proposals; /* commands sent to voters */
	struct fvw *view; /* NULL until one is known */
	GBytes *view_bytes; /* the packed view, to forward */
	GBytes *view_delta; /* the changes it was received as, or NULL */
	uint64_t view_delta_from; /* oldest version they apply to */
	int64_t view_since; /* ms at which it came into force */
	int64_t voter_heard; /* ms of the last message from a voter; 0: none */
	GHashTable *pools; /* name -> struct ent_pool, owned */
	GPtrArray *peers; /* struct ent_peer, owned */
	GPtrArray *zones; /* char *, indexed as in adm; [0] is this daemon's */
	GPtrArray *requests; /* struct ent_req, all without an answer */
	uint64_t poll_timer;
	uint64_t next_request;
	uint64_t counts[ENT_COUNTS];
	unsigned int next_peer; /* round robin among a zone's entry daemons */
	bool draining;
	bool stopping;
};

int64_t ent_now_us(const struct ent *e);

#define ENT_ID_MAX 80

/* A caller's request, from its arrival to its answer. */
struct ent_req {
	struct ent *e;
	struct srv_req *srv; /* NULL once the caller has disconnected */
	struct ups_call *call;
	adm_ticket ticket;
	uint64_t target; /* id; 0: queued, or sent to another zone */
	const struct ent_pool *pool;
	enum evhttp_cmd_type method;
	int64_t deadline_ms; /* ms, on tmr's clock */
	int64_t sent_us;
	bool repeatable;
	bool may_have_run; /* bytes of an attempt reached a target */
	bool in_parts; /* the answer arrives in parts and isn't buffered */
	bool streaming; /* the parts are passed on to the caller */
	bool forwarded; /* sent to the zone whose store holds its key */
	uint64_t claim_id; /* id of its key's claim; 0: none, or finished */
	uint64_t claim_timer;
	char id[ENT_ID_MAX];
};

/* The answer to a request that was refused or failed. */
struct ent_refusal {
	int status;
	const char *outcome;
	const char *reason;
	uint32_t retry_after_ms;
};

/* ent_req.c: callers' requests */
extern const struct srv_ops ent_caller_ops;
void ent_poll_admission(struct ent *e);
void ent_request_admission(struct ent_req *q);
void ent_send(struct ent_req *q, const char *addr, bool hop);
void ent_req_free(struct ent_req *q);

/* ent_answer.c: answers to callers */
void ent_add_header(GArray *out, const char *name, const char *value);
GArray *ent_forwarded_headers(const struct ups_header *in, size_t n);
void ent_reply_answer(struct ent_req *q, const struct ups_answer *a);
void ent_reply_refusal(struct ent_req *q, const struct ent_refusal *why);

/* ent_key.c: idempotency keys */
void ent_key_start(struct ent *e);
void ent_key_update_view(struct ent *e);
bool ent_key_required(const struct ent_req *q);
void ent_key_claim(struct ent_req *q);
void ent_key_finish(struct ent_req *q, enum idm_state state,
		    const struct ups_answer *a);
void ent_key_forward_end(struct ent_req *q, enum ups_end end,
			 const struct ups_answer *a);
void ent_key_issue(struct ent *e, struct srv_req *srv);
void ent_key_peer_up(struct ent *e, struct wire_conn *c);
void ent_key_recv(struct ent *e, struct wire_conn *c, struct pk_in *in);

/* ent_view.c: the fleet view */
bool ent_view_apply(struct ent *e, struct lstr bytes, const char *from);
const struct ent_pool *ent_pool_of_service(struct ent *e, struct lstr service,
					   const struct fvw_pool **pool);
void ent_count_entries(struct ent *e);

/* ent_target.c: callbacks of the target table */
extern const struct tgt_ops ent_target_ops;

/* ent_peer.c: voters and other entry daemons */
bool ent_peer_start(struct ent *e, GError **err);
void ent_peer_send_target(struct ent *e, const struct tgt *t, bool expired);
void ent_peer_send_view(struct ent *e);
void ent_peer_send_capacity(struct ent *e);
const char *ent_zone_addr(struct ent *e, int zone);
int ent_zone_find(struct ent *e, const char *zone);
int ent_zone_find_or_add(struct ent *e, const char *zone);
void ent_peer_free(gpointer p);

/* ent_admin.c: announcements, health, metrics, status */
extern const struct srv_ops ent_admin_ops;

#endif
