#ifndef UPK_H
#define UPK_H

/* Plans rolling VM maintenance ("upkeep") in maintenance waves. */

#include <stdbool.h>
#include <stdint.h>

#include "jtb.h"
#include "vms.h"

/*
 * Maintenance planner: chooses the VMs of each maintenance wave that are
 * drained next and the runs that must leave them first. It reads the job table
 * and the VM list and does no input or output itself.
 */
struct upk;

struct upk_ops {
	/* Stops a run, which is started again elsewhere. */
	void (*stop)(void *arg, struct jtb_run *run, const char *why);
	/* Orders a VM's upkeep; called again until the order is accepted. */
	void (*order)(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm);
	/* Records a VM's upkeep state in the job table, through the log. */
	void (*note)(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
		     enum jtb_vm_state state, const char *worker_before);
	/* Whether a VM is being moved to another pool. */
	bool (*is_moving)(void *arg, const char *vm);
	/* Whether a VM can be down now without being missed by its pool. */
	bool (*is_spare)(void *arg, const char *vm);
	/* Whether a worker is reachable. */
	bool (*is_reachable)(void *arg, const struct jtb_worker *w);
};

struct upk *upk_new(struct jtb *jtb, const struct vms *vms,
		    const struct upk_ops *ops, void *arg);
void upk_free(struct upk *u);
void upk_reset(struct upk *u);
void upk_tick(struct upk *u, int64_t now_ms, int64_t wall_ms);
void upk_answered(struct upk *u, const char *vm, enum vms_answer answer,
		  int64_t now_ms);
const char *upk_worker(const struct upk *u, const char *vm);
bool upk_busy(const struct upk *u);
bool upk_due(const struct upk *u, const char *worker);
void upk_add_closed(const struct upk *u, GHashTable *ids);
bool upk_is_in_upkeep(const struct upk *u, const char *vm);
bool upk_urgent(const struct upk *u, const char *vm, int64_t wall_ms);
uint32_t upk_count_unavailable(const struct upk *u, const struct jtb_run *run);
bool upk_may_stop(const struct upk *u, const struct jtb_run *run);

#endif
