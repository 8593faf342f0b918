#ifndef IDM_INT_H
#define IDM_INT_H

#include "idm.h"

/*
 * Declarations shared by the parts of the idempotency store; private to
 * idm_*.c.
 */

/*
 * Time without contact after which a replica is proposed for removal from the
 * view, ms. A broken connection is restored within a tenth of it, and a daemon
 * that was restarted is another replica anyway. Claims wait until then.
 */
#define IDM_REPLICA_TIMEOUT_MS 700

/*
 * Time without contact to any replica after which the store counts as lost and
 * a new one is created, ms.
 */
#define IDM_RESET_TIMEOUT_MS 5000

/*
 * Time without a known view after which the zone's first store is created, ms.
 */
#define IDM_BOOTSTRAP_DELAY_MS 500

/* Interval between two proposals of the same change, ms. */
#define IDM_PROPOSE_INTERVAL_MS 1000

/*
 * Time without contact after which the owner of a claim is no longer expected
 * to report the outcome of its request, ms.
 */
#define IDM_OWNER_TIMEOUT_MS 4000

/*
 * Time after which a claim that not all replicas hold is refused, ms. It is
 * longer than a failed replica takes to be detected (1 s), removed and
 * replaced, so that the loss of one entry VM delays callers instead of refusing
 * them.
 */
#define IDM_CLAIM_TIMEOUT_MS 2500

/*
 * Records changed within this time may have been in flight when a primary
 * failed, ms.
 */
#define IDM_IN_FLIGHT_MS 10000

/* Most bytes of records in one message that synchronises a replica. */
#define IDM_SYNC_BATCH_BYTES (256u << 10)

/*
 * Verdict used in messages only, never reported to ops->verdict: the claim is
 * queued behind another one of the same key.
 */
#define IDM_QUEUED (IDM_REFUSED + 1)

enum idm_kind {
	IDM_MSG_CLAIM = 1, /* to the primary: claim id, key, digest */
	IDM_MSG_VERDICT, /* reply: claim id, verdict, bytes */
	IDM_MSG_FINISH, /* to the primary: claim id, key, state, bytes */
	IDM_MSG_FINISH_ACK, /* reply: claim id */
	IDM_MSG_PUT, /* primary to the other replicas: view, seq, record */
	IDM_MSG_PUT_ACK, /* reply: view, seq */
	IDM_MSG_PUT_STALE, /* reply: the receiver knows a newer view */
	IDM_MSG_SYNC, /* to a new replica: view, first, last, records */
	IDM_MSG_SYNC_ACK, /* reply: view */
};

/* A claim that waits for the outcome of an earlier claim of its key. */
struct idm_waiter {
	char *node;
	uint64_t claim_id;
};

struct idm_record {
	char *key;
	uint8_t digest[IDM_DIGEST];
	enum idm_state state;
	char *owner; /* node that holds the claim */
	uint64_t boot; /* of that node */
	uint64_t claim_id; /* of that node */
	GBytes *bytes; /* the stored answer, or NULL */
	int64_t changed; /* ms, on the local clock */
	int64_t owner_down_since; /* ms; 0: the owner is connected */
	/* The fields below are used by the primary only. */
	GPtrArray *waiters; /* struct idm_waiter, or NULL */
	unsigned int unacked; /* bit i: replica i has not acknowledged seq */
	uint64_t seq;
	bool ack_finish; /* acknowledge the finish to the owner */
};

/* Another entry daemon of the zone, connected or not. */
struct idm_peer {
	char *node;
	uint64_t boot;
	bool up;
	int64_t since; /* ms at which it connected or disconnected */
	bool synced; /* holds all records of this view, as the primary knows */
	bool syncing;
};

/* A claim made by this daemon, until its finish is acknowledged. */
struct idm_claim {
	uint64_t id;
	char *key;
	uint8_t digest[IDM_DIGEST];
	void *user; /* NULL once the verdict was reported */
	int64_t since; /* ms; when the claim or its finish was made */
	bool queued; /* queued behind an earlier claim of the same key */
	bool decided; /* the verdict was reported */
	bool granted; /* a finish must follow */
	bool finishing;
	enum idm_state state;
	GBytes *bytes;
};

struct idm {
	struct idm_config config;
	const struct idm_ops *ops;
	void *arg;
	char *self; /* NODE/BOOT */
	struct idm_view *view; /* NULL until one is known */
	bool complete; /* this daemon holds all records of the view */
	bool receiving; /* the records are being received */
	uint64_t received_view; /* view under which they were received */
	GHashTable *records; /* key -> struct idm_record, owned */
	GHashTable *by_seq; /* &seq -> record not held by all replicas */
	GHashTable *peers; /* node -> struct idm_peer, owned */
	GHashTable *claims; /* &id -> struct idm_claim, owned */
	uint64_t next_claim;
	uint64_t next_seq;
	int64_t started; /* ms; first tick, -1: none yet */
	int64_t proposed; /* ms; last proposal of a view, 0: none */
	/* ms; 0: a replica is reachable, or this is one */
	int64_t no_replica_since;
	size_t bytes;
	struct idm_stats stats;
};

/* idm.c */
char *idm_replica_name(const char *node, uint64_t boot);
bool idm_has_replica(const struct idm_view *v, const char *replica);
bool idm_is_primary(const struct idm *m);
const char *idm_primary_node(const struct idm *m, char **freed);
bool idm_replica_up(const struct idm *m, const char *replica);
struct idm_peer *idm_peer_of_replica(const struct idm *m, const char *replica);
void idm_send(struct idm *m, const char *node, struct pk_out *o);

/* idm_keep.c: the replica's side */
void idm_replica_claim(struct idm *m, int64_t now, const char *from,
		       uint64_t claim_id, struct lstr key, struct lstr digest);
void idm_replica_finish(struct idm *m, int64_t now, const char *from,
			uint64_t claim_id, struct lstr key,
			enum idm_state state, struct lstr bytes);
void idm_replica_recv_put(struct idm *m, int64_t now, const char *from,
			  struct pk_in *in);
void idm_replica_recv_put_ack(struct idm *m, int64_t now, const char *from,
			      struct pk_in *in);
void idm_replica_recv_sync(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in);
void idm_replica_view_changed(struct idm *m, int64_t now,
			      const struct idm_view *old);
void idm_replica_tick(struct idm *m, int64_t now);
void idm_replica_start_sync(struct idm *m, struct idm_peer *p);
void idm_record_free(gpointer p);

/* idm_own.c: claims made by this daemon */
void idm_claim_resend_all(struct idm *m, int64_t now);
void idm_claim_set_verdict(struct idm *m, int64_t now, uint64_t claim_id,
			   enum idm_verdict v, struct lstr bytes);
void idm_claim_finish_acked(struct idm *m, uint64_t claim_id);
void idm_claim_tick(struct idm *m, int64_t now);
void idm_claim_free(gpointer p);

#endif
