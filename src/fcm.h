#ifndef FCM_H
#define FCM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "fvw.h"
#include "key.h"
#include "lstr.h"
#include "pk.h"
#include "proto.h"

/*
 * Commands on the fleet state and their results, as they travel from a
 * client to a voter and stand in the log.
 */
enum fcm_kind {
	FCM_APPLY, /* a configuration */
	FCM_DRAIN, /* a VM or target gets no new work */
	FCM_UNDRAIN,
	FCM_MOVE, /* begins the move of a VM to a pool, or calls it off */
	FCM_RELEASED, /* every entry daemon has let go of a VM */
	FCM_MOVED, /* a released VM joins its new pool */
	FCM_PRIORITY, /* of a pool, set or cleared by the duty officer */
	FCM_JOIN, /* an entry daemon that is about to get views */
	FCM_FORGET, /* an entry daemon that never places again */
	FCM_NOTE, /* an automatic act, into the audit trail */
	FCM_KEEPERS, /* of a zone's memory of idempotency keys */
	FCM_KINDS
};

/* The operator looked at no earlier change, and takes what it finds. */
#define FCM_ANY_BASE UINT64_MAX
#define FCM_ID_MAX 64
#define FCM_REASON_MAX 200
#define FCM_FILES_MAX 9
#define FCM_NO_PRIORITY (-1)

struct fcm_apply {
	uint64_t
		base; /* number of the configuration it was made from; 0: none */
	struct lstr reason;
	guint n_files;
	struct cfg_text files[FCM_FILES_MAX]; /* the base file first */
};

/*
 * base of the others: the stamp of the object as the operator saw it, that is
 * the log index of its last change, 0 where there was none.
 */
struct fcm_drain {
	bool target; /* the name is a target's, not a VM's */
	struct lstr name;
	uint64_t base;
	struct lstr reason;
};

struct fcm_move {
	struct lstr vm;
	struct lstr pool; /* its present one calls a move off */
	uint64_t base;
	struct lstr reason;
};

struct fcm_step {
	struct lstr vm;
	uint64_t epoch; /* of the move it belongs to */
	struct lstr reason;
};

struct fcm_priority {
	struct lstr pool;
	int64_t priority; /* FCM_NO_PRIORITY: back to the configuration's */
	uint64_t base;
	struct lstr reason;
};

struct fcm_node {
	struct lstr node;
	struct lstr zone; /* empty in FCM_FORGET */
	struct lstr reason;
};

/* The number must be one above that of the zone's view; see idm. */
struct fcm_keepers {
	struct lstr zone;
	uint64_t epoch;
	uint64_t number;
	guint n;
	struct lstr names[FVW_KEEPERS_MAX];
};

struct fcm_note {
	struct lstr text;
};

struct fcm_cmd {
	enum fcm_kind kind;
	struct lstr id; /* the same for each sending of one command */
	int64_t made_ms; /* client's clock at the first sending */
	union {
		struct fcm_apply apply;
		struct fcm_drain drain; /* and undrain */
		struct fcm_move move;
		struct fcm_step step; /* released, moved */
		struct fcm_priority priority;
		struct fcm_node node; /* join, forget */
		struct fcm_note note;
		struct fcm_keepers keepers;
	};
};

/* What the table says of a kind of command. */
struct fcm_def {
	const char *name;
	enum key_role role; /* least that its sender must have */
	void (*encode)(const struct fcm_cmd *c, struct pk_out *o);
	void (*decode)(struct fcm_cmd *c, struct pk_in *in);
	void (*describe)(const struct fcm_cmd *c, GString *s);
};

extern const struct fcm_def fcm_defs[FCM_KINDS];

void fcm_encode(const struct fcm_cmd *c, struct pk_out *o);
void fcm_describe(const struct fcm_cmd *c, GString *s);
bool fcm_decode(struct fcm_cmd *c, struct pk_in *in, struct lstr bytes);

/* How a command ended; version is the view's, number the configuration's. */
struct fcm_result {
	enum proto_result code;
	uint64_t index; /* of the entry that decided it; 0: none */
	uint64_t version;
	uint64_t number;
	char *text;
};

const char *fcm_outcome_name(enum proto_result code);
void fcm_result_pack(const struct fcm_result *r, struct pk_out *o);
bool fcm_result_unpack(struct fcm_result *r, struct lstr bytes);
void fcm_result_clear(struct fcm_result *r);

#endif
