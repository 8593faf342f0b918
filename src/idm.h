#ifndef IDM_H
#define IDM_H

/*
 * Idempotency store: a zone's replicated table of idempotency keys, which keeps
 * a request that is sent again with its key from running twice.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The store performs no I/O; the current time is passed in. Some entry daemons
 * of a zone hold a replica, and a claim of a key is granted only once all
 * replicas of the view hold it. docs/design/idempotency.md gives the reasons.
 */
struct idm;

/* Most replicas in a zone; more would cost messages without a benefit. */
#define IDM_REPLICAS_MAX 3 /* equals FVW_KEY_REPLICAS_MAX */

/*
 * The set of replicas that the voters agreed on. A replica is named NODE/BOOT:
 * a daemon that was restarted holds no records and counts as another replica.
 */
struct idm_view {
	uint64_t epoch; /* of the store; another epoch holds none of its keys */
	uint64_t number; /* increases with each change */
	/* char *; the first is the primary, which orders the changes */
	GPtrArray *replicas;
};

enum idm_state {
	IDM_CLAIMED, /* the request may be running */
	IDM_DONE, /* the request ran; the answer is stored */
	IDM_UNKNOWN, /* the owner failed or could not determine the outcome */
	IDM_FREE, /* not run; may be claimed again */
};

enum idm_verdict {
	IDM_GRANTED, /* run the request, then call idm_claim_finish */
	IDM_REPLAY, /* the request ran; the stored answer is passed along */
	IDM_INDETERMINATE, /* it may have run; the outcome is unknown */
	IDM_MISMATCH, /* the key was used for a different request */
	IDM_REFUSED, /* no claim can be made now; this attempt was not run */
};

/* Callbacks, made from within the functions below. */
struct idm_ops {
	/* Sends bytes to a node of the zone; they are lost if it is down. */
	void (*send)(void *arg, const char *node, struct lstr bytes);
	/*
	 * Proposes a view to the voters; if they accept it, it arrives by
	 * idm_set_view.
	 */
	void (*propose)(void *arg, const struct idm_view *next_view);
	/*
	 * Reports the verdict on a claim, once; bytes is the stored answer for
	 * IDM_REPLAY.
	 */
	void (*verdict)(void *arg, void *user, enum idm_verdict v,
			struct lstr bytes);
};

struct idm_config {
	const char *node;
	uint64_t boot; /* random number drawn at each start */
	size_t max_bytes; /* of all records; beyond it, claims are refused */
	int64_t retention_ms; /* from the last change of a record */
};

/* Length of the digest that identifies a request, bytes. */
#define IDM_DIGEST 16

struct idm *idm_new(const struct idm_config *config, const struct idm_ops *ops,
		    void *arg);
void idm_free(struct idm *m);
void idm_set_view(struct idm *m, int64_t now, const struct idm_view *view);
void idm_peer_up(struct idm *m, int64_t now, const char *node, uint64_t boot);
void idm_peer_down(struct idm *m, int64_t now, const char *node);
void idm_recv(struct idm *m, int64_t now, const char *from, struct lstr bytes);
void idm_resumed(struct idm *m, int64_t now, int64_t paused_ms);
void idm_tick(struct idm *m, int64_t now);

uint64_t idm_claim_new(struct idm *m, int64_t now, struct lstr key,
		       const uint8_t digest[IDM_DIGEST], void *user);
void idm_claim_send(struct idm *m, int64_t now, uint64_t claim_id);
void idm_claim_finish(struct idm *m, int64_t now, uint64_t claim_id,
		      enum idm_state state, struct lstr bytes);

/* Counters since the start, and the records held now. */
struct idm_stats {
	uint64_t granted;
	uint64_t replayed;
	uint64_t indeterminate;
	uint64_t refused;
	uint64_t records;
	uint64_t bytes;
};
struct idm_stats idm_stats(const struct idm *m);
bool idm_is_replica(const struct idm *m);
uint64_t idm_epoch(const struct idm *m);
unsigned int idm_replica_count(const struct idm *m);

struct idm_view *idm_view_new(uint64_t epoch, uint64_t number);
struct idm_view *idm_view_copy(const struct idm_view *v);
void idm_view_free(struct idm_view *v);

/*
 * A key as callers send it: ZONE.EPOCH.MINUTE.REST. The zone and epoch select
 * the store that holds the key; the minute is when it was issued.
 */
struct idm_key {
	struct lstr zone;
	uint64_t epoch;
	uint64_t minute;
	struct lstr rest;
};

/* How long after its minute a key may be claimed. */
#define IDM_KEY_VALID_MINUTES 10
/* Largest clock difference between two VMs that is tolerated. */
#define IDM_CLOCK_SKEW_MINUTES 2
/* A record outlives every key that could claim it again. */
#define IDM_RETENTION_MS \
	((IDM_KEY_VALID_MINUTES + 2 * IDM_CLOCK_SKEW_MINUTES + 1) * 60000LL)

#define IDM_KEY_MAX 128

char *idm_key_prefix(const char *zone, uint64_t epoch, int64_t wall_ms);
bool idm_key_parse(struct lstr text, struct idm_key *out);

enum idm_age {
	IDM_AGE_OK,
	IDM_AGE_OLD,
	IDM_AGE_FUTURE
};
enum idm_age idm_key_age(const struct idm_key *key, int64_t wall_ms);

#endif
