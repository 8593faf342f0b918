#ifndef FCM_H
#define FCM_H

/* fcm: encoding of the commands that change the fleet state. */

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
 * Kinds of commands on the fleet state. Clients send commands to voters, which
 * store them in the replicated log; the values are part of that format.
 */
enum fcm_kind {
	FCM_APPLY, /* puts a configuration in force */
	FCM_DRAIN, /* a VM or target gets no new work */
	FCM_UNDRAIN,
	FCM_MOVE, /* begins the move of a VM to a pool, or cancels it */
	FCM_RELEASED, /* every entry daemon has released a moving VM */
	FCM_MOVED, /* a released VM joins its new pool */
	FCM_PRIORITY, /* duty officer sets or clears a pool's priority */
	FCM_JOIN, /* registers an entry daemon, before it gets views */
	FCM_FORGET, /* removes an entry daemon that never places work again */
	FCM_NOTE, /* records an automatic action in the audit trail */
	FCM_KEY_REPLICAS, /* sets the key replicas of a zone */
	FCM_FLOOR, /* VMs that a pool keeps for a while */
	FCM_WEIGHT, /* an organisation's weight for a while */
	FCM_KINDS
};

/* Base of a command that applies whatever was changed before. */
#define FCM_ANY_BASE UINT64_MAX
#define FCM_ID_MAX 64
#define FCM_REASON_MAX 200
#define FCM_FILES_MAX 9
#define FCM_NO_PRIORITY (-1)
#define FCM_NO_OVERRIDE (-1)
/* Weights travel as whole numbers of thousandths. */
#define FCM_WEIGHT_UNIT 1000
/* Longest name of a pool or organisation in an override, bytes. */
#define FCM_OVERRIDE_NAME_MAX 256

struct fcm_apply {
	uint64_t base; /* number of the configuration it edits; 0: none */
	struct lstr reason;
	guint n_files;
	struct cfg_text files[FCM_FILES_MAX]; /* the base file first */
};

/*
 * In the other commands base is the log index of the object's last change as
 * the operator saw it (its stamp), or 0 if it was never changed.
 */
struct fcm_drain {
	bool target; /* whether name is a target's, not a VM's */
	struct lstr name;
	uint64_t base;
	struct lstr reason;
};

struct fcm_move {
	struct lstr vm;
	struct lstr pool; /* the VM's present pool: cancels its move */
	uint64_t base;
	struct lstr reason;
};

struct fcm_move_step {
	struct lstr vm;
	uint64_t epoch; /* of the move that the step belongs to */
	struct lstr reason;
};

struct fcm_priority {
	struct lstr pool;
	int64_t priority; /* FCM_NO_PRIORITY: use the configuration's */
	uint64_t base;
	struct lstr reason;
};

struct fcm_node {
	struct lstr node;
	struct lstr zone; /* empty in FCM_FORGET */
	struct lstr reason;
};

/*
 * The key replicas of a zone; see idm. The number must be one above that of
 * the zone's present key replicas.
 */
struct fcm_key_replicas {
	struct lstr zone;
	uint64_t epoch;
	uint64_t number;
	guint n;
	struct lstr names[FVW_KEY_REPLICAS_MAX];
};

/* What holds for a pool or an organisation until a time; see ovr. */
struct fcm_override {
	struct lstr name; /* pool or organisation */
	/* VMs, or thousandths of weight; FCM_NO_OVERRIDE: clears it */
	int64_t value;
	int64_t for_ms; /* how long it holds, from when the log has it */
	struct lstr reason;
};

struct fcm_note {
	struct lstr text;
};

struct fcm_cmd {
	enum fcm_kind kind;
	struct lstr id; /* equal in all resends of a command */
	int64_t made_ms; /* client's clock at the first sending */
	union {
		struct fcm_apply apply;
		struct fcm_drain drain; /* drain, undrain */
		struct fcm_move move;
		struct fcm_move_step step; /* released, moved */
		struct fcm_priority priority;
		struct fcm_node node; /* join, forget */
		struct fcm_note note;
		struct fcm_key_replicas key_replicas;
		struct fcm_override override; /* floor, weight */
	};
};

/* Definition of a kind of command. */
struct fcm_def {
	const char *name;
	enum key_role role; /* lowest role that may send it */
	void (*encode)(const struct fcm_cmd *c, struct pk_out *o);
	void (*decode)(struct fcm_cmd *c, struct pk_in *in);
	void (*describe)(const struct fcm_cmd *c, GString *s);
};

extern const struct fcm_def fcm_defs[FCM_KINDS];

void fcm_encode(const struct fcm_cmd *c, struct pk_out *o);
void fcm_describe(const struct fcm_cmd *c, GString *s);
bool fcm_decode(struct fcm_cmd *c, struct pk_in *in, struct lstr bytes);

/* Result of a command. */
struct fcm_result {
	enum proto_result code;
	uint64_t index; /* of the command's log entry; 0: none */
	uint64_t version; /* of the view */
	uint64_t number; /* of the configuration in force; 0: none */
	char *text;
};

const char *fcm_outcome_name(enum proto_result code);
void fcm_result_pack(const struct fcm_result *r, struct pk_out *o);
bool fcm_result_unpack(struct fcm_result *r, struct lstr bytes);
void fcm_result_clear(struct fcm_result *r);

#endif
