#ifndef FST_IN_H
#define FST_IN_H

#include "fau.h"
#include "fcm.h"
#include "fst.h"

/* Declarations shared by the fst_*.c files; not for other modules. */

/*
 * A command's ID is stored for one hour of log time, or for less if more than
 * FST_IDS_MAX commands were made within that hour. Evicting an ID raises
 * id_floor_ms. A command made at or before id_floor_ms is never applied,
 * because it may be the resend of a command whose ID was evicted.
 */
#define FST_ID_WINDOW_MS ((int64_t)3600 * 1000)
#define FST_IDS_MAX 8192
/* Largest accepted lead of a client's clock over the leader's. */
#define FST_CLOCK_AHEAD_MS ((int64_t)300 * 1000)

/* Largest accepted time; the margin keeps sums with a time from overflowing. */
#define FST_TIME_MAX (INT64_MAX / 4)

#define FST_HISTORY_MAX 64 /* accepted configurations in the history */
#define FST_HISTORY_BYTES_MAX (2u << 20) /* texts of all but the newest */
#define FST_REMOVED_MAX 10000 /* records of removed VMs */
#define FST_DRAINS_MAX 4096 /* targets drained by name at one time */
#define FST_NODES_MAX 1024 /* entry daemons */
#define FST_RESULT_TEXT_MAX 4000 /* bytes */
#define FST_KEY_ZONES_MAX 64 /* zones with an idempotency store */
#define FST_DIGEST_BYTES 16

/* The last change of an object, as reported by a conflict. */
struct fst_stamp {
	uint64_t index; /* 0: never changed */
	int64_t time_ms;
	char *who;
	char *what;
};

struct fst_vm {
	char *name;
	char *pool;
	char *to; /* pool that the VM moves to, or NULL */
	enum fst_phase phase;
	uint64_t epoch;
	uint64_t since; /* view version of the last change */
	bool drained;
	struct fst_stamp stamp;
};

/* A target drained by its name. */
struct fst_drain {
	char *name;
	struct fst_stamp stamp;
};

/* An entry daemon that may place work in its zone. */
struct fst_node {
	char *name;
	char *zone;
	struct fst_stamp stamp;
};

/* A pool priority set by the duty officer; overrides the configuration. */
struct fst_prio {
	char *pool;
	int64_t priority; /* FCM_NO_PRIORITY: cleared */
	struct fst_stamp stamp;
};

/* An accepted configuration; the texts of older ones may be dropped. */
struct fst_config {
	uint64_t number; /* counts from 1 */
	uint64_t version; /* first view version made from it */
	struct fst_stamp stamp;
	GPtrArray *names; /* char * */
	GPtrArray *texts; /* GBytes *, shared if unchanged; empty: dropped */
};

/* The last change of a site's pools as its entry daemons see them. */
struct fst_site {
	char *name;
	uint64_t since; /* view version of that change */
};

/* The result of a command's first sending, returned for resends. */
struct fst_id {
	char *key; /* sender and command ID; see fst_id_key */
	int64_t made_ms;
	uint8_t digest[FST_DIGEST_BYTES]; /* detects reuse of the ID */
	GBytes *result;
	GSequenceIter *iter; /* position in ids_by_made */
};

struct fst {
	uint64_t index;
	int64_t time_ms; /* log time; monotonic across leader changes */
	uint64_t version;
	uint64_t full_view_since; /* versions below it need a full view */
	uint64_t epoch_floor; /* highest epoch of evicted removed VMs */
	int64_t id_floor_ms; /* commands made up to this are not applied */
	GPtrArray *configs; /* struct fst_config, oldest first */
	struct cfg *cfg; /* the newest one parsed; NULL before the first */
	GPtrArray *vms; /* struct fst_vm by name */
	GPtrArray *removed; /* struct fst_vm in order of removal */
	GPtrArray *drains; /* struct fst_drain by name */
	GPtrArray *prios; /* struct fst_prio by pool */
	GPtrArray *nodes; /* struct fst_node by name */
	GPtrArray *key_replicas; /* struct fvw_key_replicas by zone */
	GPtrArray *sites; /* struct fst_site, of the configuration in force */
	GHashTable *ids; /* key -> struct fst_id */
	GSequence *ids_by_made;
	struct fau *audit;
};

/* Execution state of one command within fst_apply. */
struct fst_exec {
	struct fst *f;
	uint64_t index;
	int64_t time_ms;
	struct lstr who;
	enum key_role role;
	const struct fcm_cmd *cmd;
	uint64_t from; /* the command's base or epoch, for the audit trail */
	GString *what; /* description, see fcm_describe */
	GString *text; /* of the result */
	enum proto_result code;
};

void fst_exec_finish(struct fst_exec *ex, enum proto_result code,
		     const char *fmt, ...) G_GNUC_PRINTF(3, 4);
bool fst_exec_has_conflict(struct fst_exec *ex, const struct fst_stamp *s,
			   uint64_t base);
void fst_audit_automatic(struct fst_exec *ex, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);
void fst_bump_version(struct fst *f);

void fst_stamp_update(struct fst_stamp *s, const struct fst_exec *ex);
void fst_stamp_clear(struct fst_stamp *s);
char *fst_format_time(int64_t time_ms);

struct fst_vm *fst_vm_find(const struct fst *f, struct lstr name);
void fst_vm_free(gpointer p);
struct fst_drain *fst_drain_find(const struct fst *f, struct lstr name);
void fst_drain_free(gpointer p);
struct fst_prio *fst_prio_find(const struct fst *f, struct lstr pool);
void fst_prio_free(gpointer p);
struct fst_node *fst_node_find(const struct fst *f, struct lstr name);
void fst_node_free(gpointer p);
void fst_site_free(gpointer p);
void fst_update_sites(struct fst *f, const struct cfg *next);
void fst_mark_sites_changed(struct fst *f);
void fst_config_free(gpointer p);
const struct fst_config *fst_config_last(const struct fst *f);
const char *fst_phase_name(enum fst_phase phase);

void fst_handle_apply(struct fst_exec *ex);
void fst_handle_drain(struct fst_exec *ex);
void fst_handle_undrain(struct fst_exec *ex);
void fst_handle_move(struct fst_exec *ex);
void fst_handle_released(struct fst_exec *ex);
void fst_handle_moved(struct fst_exec *ex);
void fst_handle_priority(struct fst_exec *ex);
void fst_handle_override(struct fst_exec *ex);
void fst_handle_join(struct fst_exec *ex);
void fst_handle_forget(struct fst_exec *ex);
void fst_handle_note(struct fst_exec *ex);
void fst_handle_key_replicas(struct fst_exec *ex);
void fst_key_replicas_pack(const struct fst *f, struct pk_out *o);
bool fst_key_replicas_unpack(struct fst *f, struct pk_in *in);
bool fst_vms_fit_config(struct fst_exec *ex, const struct cfg *next);
void fst_update_vms(struct fst_exec *ex, const struct cfg *next);

char *fst_id_key(struct lstr who, struct lstr id);
const struct fst_id *fst_id_find(const struct fst *f, const char *key);
void fst_id_add(struct fst *f, const char *key, int64_t made_ms,
		const uint8_t *digest, struct lstr result);
void fst_id_expire(struct fst *f);
void fst_id_free(gpointer p);
int fst_compare_ids(gconstpointer a, gconstpointer b, gpointer arg);

#endif
