#ifndef JTB_INT_H
#define JTB_INT_H

#include "jtb.h"

/*
 * Shared by the files of the job table. Each file uses only those before it:
 * jtb_type (record types), jtb_cmd (serialization of commands), jtb (the table
 * and lookups), jtb_index (workers by pool), jtb_plan (proposed starts), jtb_do (applying commands),
 * jtb_snap (serialization of the whole table).
 */

/* Numbers of the commands in the log; all are in stored data. */
enum jtb_cmd {
	JTB_CMD_CONFIG = 1,
	JTB_CMD_JOB,
	JTB_CMD_CANCEL,
	JTB_CMD_START,
	JTB_CMD_END,
	JTB_CMD_WORKER,
	JTB_CMD_WORKER_LOST,
	JTB_CMD_WAVE,
	JTB_CMD_VM,
	JTB_CMD_FORGET,
	JTB_CMD_STOP,
	JTB_CMD_WORKER_LEAVING,
	JTB_CMD_OVERRIDE,
};

struct jtb {
	const struct jtb_watch *watch;
	void *arg;
	struct jtb_config *config;
	GHashTable *jobs; /* id: struct jtb_job */
	GPtrArray *live; /* struct jtb_job that has not ended, or has runs */
	GHashTable *workers; /* id: struct jtb_worker */
	GHashTable *by_pool; /* pool: GPtrArray of struct jtb_worker */
	GHashTable *removed; /* ids of workers that were removed permanently */
	GPtrArray *waves; /* struct jtb_wave */
	struct quo *usage; /* by the organisations of jobs */
	struct ovr *overrides; /* what operators ordered for a while */
	uint64_t next_seq;
	uint64_t next_serial;
};

/* jtb_type */
void jtb_job_free(gpointer p);
void jtb_worker_free(gpointer p);
/* jtb_cmd */
void jtb_pack_config(struct pk_out *o, const struct jtb_config *c);
struct jtb_config *jtb_unpack_config(struct pk_in *in);
void jtb_pack_spec(struct pk_out *o, const struct jtb_spec *s);
bool jtb_unpack_spec(struct pk_in *in, struct jtb_spec *s);
void jtb_pack_info(struct pk_out *o, const struct jtb_worker_info *i);
bool jtb_unpack_names(struct pk_in *in, GArray *out);
bool jtb_unpack_info(struct pk_in *in, struct jtb_worker_info *i);
void jtb_pack_wave(struct pk_out *o, const struct jtb_wave *w);
struct jtb_wave *jtb_unpack_wave(struct pk_in *in);
bool jtb_unpack_name(struct pk_in *in, struct jtb_name *n);
bool jtb_unpack_blame(struct pk_in *in, struct jtb_blame *b);
/* jtb_index */
GHashTable *jtb_index_new(void);
void jtb_index_add(struct jtb *t, struct jtb_worker *w);
void jtb_index_remove(struct jtb *t, struct jtb_worker *w);
/* jtb_do */
void jtb_add_removed(struct jtb *t, const char *id, int64_t started_ms);
/* jtb */
void jtb_clear(struct jtb *t);
struct jtb_task *jtb_checkpoint_holder(const struct jtb_job *job,
				       const struct jtb_name *n);
struct jtb_task *jtb_task_at(const struct jtb_job *job,
			     const struct jtb_name *n, bool make);
struct jtb_suspect *jtb_add_suspect(struct jtb_job *job, uint32_t step,
				    uint32_t index);
void jtb_remove_suspect(struct jtb_job *job, uint32_t step, uint32_t index);
void jtb_add_job(struct jtb *t, struct jtb_job *job);
struct jtb_run *jtb_run_new(struct jtb *t, struct jtb_job *job,
			    const struct jtb_name *name, uint32_t attempt,
			    struct jtb_worker *w);
/* jtb_plan */
void jtb_drop_proposed_start(struct jtb_job *job, const struct jtb_name *n,
			     struct jtb_worker *w);
void jtb_clear_proposals_on(struct jtb *t, const struct jtb_worker *w);

#endif
