#include "ent_int.h"

static void ent_target_place(void *arg, const struct tgt *t);
static void ent_target_stop(void *arg, const struct tgt *t);
static void ent_target_forget(void *arg, const struct tgt *t);
static bool ent_target_allowed(void *arg, const struct tgt_info *info);
static void ent_target_notify(void *arg, const struct tgt *t, bool expired);
static void ent_target_set_state(struct ent *e, const struct tgt *t,
				 enum adm_target_state state);

const struct tgt_ops ent_target_ops = {
	.place = ent_target_place,
	.stop = ent_target_stop,
	.forget = ent_target_forget,
	.allowed = ent_target_allowed,
	.notify = ent_target_notify,
};

static void ent_target_place(void *arg, const struct tgt *t)
{
	ent_target_set_state(arg, t, ADM_SERVING);
}

/*
 * Stops new work to a target, also over connections already open: idle ones are
 * closed, and running requests finish.
 */
static void ent_target_stop(void *arg, const struct tgt *t)
{
	struct ent *e = arg;

	ent_target_set_state(e, t, ADM_NO_NEW_WORK);
	ups_close_idle(e->ups, t->info.addr);
}

static void ent_target_forget(void *arg, const struct tgt *t)
{
	ent_target_set_state(arg, t, ADM_REMOVED);
}

/*
 * Whether a target may get work: its VM must belong to the pool now, and
 * neither VM nor target may be drained. A VM that was moved still announces its
 * old service for a while; requests sent there would run in the wrong pool.
 */
static bool ent_target_allowed(void *arg, const struct tgt_info *info)
{
	struct ent *e = arg;
	const struct fvw_pool *pool;
	const struct fvw_vm *vm;

	if (!ent_pool_of_service(e, lstr_from(info->service), &pool))
		return false;
	vm = fvw_vm(e->view, lstr_from(info->vm));
	if (!vm || vm->drained ||
	    fvw_target_drained(e->view, lstr_from(info->name)))
		return false;
	return &g_array_index(e->view->pools, struct fvw_pool, vm->pool) ==
	       pool;
}

static void ent_target_notify(void *arg, const struct tgt *t, bool expired)
{
	ent_peer_send_target(arg, t, expired);
}

static void ent_target_set_state(struct ent *e, const struct tgt *t,
				 enum adm_target_state state)
{
	const struct fvw_pool *pool;
	const struct ent_pool *p =
		ent_pool_of_service(e, lstr_from(t->info.service), &pool);

	if (!p && state == ADM_SERVING)
		return;
	adm_target_set(e->adm, ent_now_us(e), t->id,
		       &(struct adm_target_spec){
			       .pool = p ? p->id : 0,
			       .state = state,
			       .lease_until_us = ADM_NEVER,
		       });
}
