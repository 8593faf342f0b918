#ifndef IDM_H
#define IDM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The zone's memory of idempotency keys, without I/O and with time passed in.
 * Some entry daemons of a zone are its keepers; each claim of a key is held by
 * all keepers of the view before the request is passed on. docs/design/
 * idempotency.md has the reasons.
 */
struct idm;

/* Keepers of a zone at most; more copies cost messages and save nothing. */
#define IDM_KEEPERS_MAX 3 /* as FVW_KEEPERS_MAX */

/*
 * The keepers the voters agreed on. A keeper is named NODE/BOOT: one that was
 * started anew has forgotten everything and is not the same keeper.
 */
struct idm_view {
	uint64_t epoch; /* of the memory: another one has forgotten all keys */
	uint64_t number; /* grows with each change */
	GPtrArray *keepers; /* char *; the first one decides the order */
};

enum idm_state {
	IDM_CLAIMED, /* somebody may be running it */
	IDM_DONE, /* ran; the answer is kept */
	IDM_UNKNOWN, /* who claimed it is gone, or could not tell */
	IDM_FREE, /* not run; may be claimed anew */
};

enum idm_verdict {
	IDM_GRANTED, /* run it, then idm_finish */
	IDM_ANSWER, /* it ran; here is the answer */
	IDM_LOST, /* it may have run; nobody will ever know */
	IDM_MISMATCH, /* the key was used for another request */
	IDM_REFUSED, /* no claim can be made now; not run by this asking */
};

/* Effects; called from within the calls below. */
struct idm_ops {
	/* sends to a node of the zone; lost if it is not up */
	void (*send)(void *arg, const char *node, struct lstr bytes);
	/* asks the voters for a view; it comes by idm_set_view if accepted */
	void (*propose)(void *arg, const struct idm_view *want);
	/* the verdict on an ask, once; bytes are the answer kept */
	void (*verdict)(void *arg, void *user, enum idm_verdict v,
			struct lstr bytes);
};

struct idm_config {
	const char *node;
	uint64_t boot; /* random at each start */
	size_t max_bytes; /* of records; beyond that claims are refused */
	int64_t keep_ms; /* after the last change of a record */
};

/* Length of a request's digest: what the key was used for, bytes. */
#define IDM_DIGEST 16

struct idm *idm_new(const struct idm_config *config, const struct idm_ops *ops,
		    void *arg);
void idm_free(struct idm *m);
void idm_set_view(struct idm *m, int64_t now, const struct idm_view *view);
void idm_peer_up(struct idm *m, int64_t now, const char *node, uint64_t boot);
void idm_peer_down(struct idm *m, int64_t now, const char *node);
void idm_recv(struct idm *m, int64_t now, const char *from, struct lstr bytes);
void idm_tick(struct idm *m, int64_t now);

uint64_t idm_ask(struct idm *m, int64_t now, struct lstr key,
		 const uint8_t digest[IDM_DIGEST], void *user);
void idm_go(struct idm *m, int64_t now, uint64_t ask);
void idm_finish(struct idm *m, int64_t now, uint64_t ask, enum idm_state state,
		struct lstr bytes);

/* For pages and tests. */
struct idm_stats {
	uint64_t granted;
	uint64_t replayed;
	uint64_t lost;
	uint64_t refused;
	uint64_t records;
	uint64_t bytes;
};
struct idm_stats idm_stats(const struct idm *m);
bool idm_is_keeper(const struct idm *m);
uint64_t idm_epoch(const struct idm *m);
unsigned int idm_keepers(const struct idm *m);

struct idm_view *idm_view_new(uint64_t epoch, uint64_t number);
struct idm_view *idm_view_copy(const struct idm_view *v);
void idm_view_free(struct idm_view *v);

/*
 * A key as callers send it: ZONE.EPOCH.MINUTE.REST. The zone says where its
 * memory is, the epoch which memory, the minute when it was issued.
 */
struct idm_key {
	struct lstr zone;
	uint64_t epoch;
	uint64_t minute;
	struct lstr rest;
};

/* A key may be claimed for so long after its minute. */
#define IDM_VALID_MIN 10
/* Clocks of two VMs may differ by so much. */
#define IDM_SKEW_MIN 2
/* A record is kept for longer than any key that could claim it again. */
#define IDM_KEEP_MS ((IDM_VALID_MIN + 2 * IDM_SKEW_MIN + 1) * 60000LL)

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
