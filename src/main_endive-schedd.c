#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "dmn.h"
#include "err.h"
#include "hub.h"
#include "msg.h"
#include "plt.h"

static bool schedd_start(struct dmn *d, GError **err);
static bool schedd_open(struct dmn *d, enum shr_method shares, GError **err);
static void schedd_stop(struct dmn *d);
static void schedd_drain(struct dmn *d);
static void schedd_reload(struct dmn *d);
static int schedd_result(const struct dmn *d);
static void schedd_check(const struct nst *s);

static const struct dmn_ops schedd_ops = {
	.name = "endive-schedd",
	.summary = "Agrees with its replicas on jobs, and runs them.",
	.descriptors =
		{
			[FDB_FILES] = {.min = 32},
			/* replicas twice each, as many that aren't proved yet */
			[FDB_PEERS] = {.min = 96, .weight = 1},
			[FDB_OPERATORS] = {.min = 16},
			[FDB_CALLERS] = {.min = 32, .weight = 4},
			[FDB_TARGETS] = {.min = 48, .weight = 8},
		},
	.start = schedd_start,
	.stop = schedd_stop,
	.drain = schedd_drain,
	.reload = schedd_reload,
	.result = schedd_result,
};

/* Starts a control daemon by its settings. */
static bool schedd_start(struct dmn *d, GError **err)
{
	const struct nst *s = d->settings;
	enum shr_method shares;

	if (!shr_method_by_name(s->shares, &shares)) {
		err_set(err, ERR_INPUT, "read settings", NULL,
			"%s: [node] shares is \"%s\"; allowed: none, "
			"running, recent, recent-any or recent-owed",
			s->path, s->shares);
		return false;
	}
	return schedd_open(d, shares, err);
}

/* Opens the control daemon's folder and addresses. */
static bool schedd_open(struct dmn *d, enum shr_method shares, GError **err)
{
	const struct nst *s = d->settings;
	struct hub_config config = {
		.base = d->base,
		.keys = d->keys,
		.protocol = &plt_face,
		.node = s->node,
		.zone = s->zone,
		.wire = s->wire,
		.control = s->control,
		.metrics = s->metrics,
		.vms = s->vms,
		.advice = s->advice,
		.domains = s->domains,
		.division = s->division,
		.data = s->data,
		.seeds = s->seeds,
		.bootstrap = s->bootstrap,
		.voters = s->voters,
		.voters_min = 2 * s->losses + 1,
		.hold_max_ms = s->hold_max_ms,
		.vm_lease_ms = s->vm_lease_ms,
		.relay_min_workers = s->relay_min_workers,
		.job_retention_ms = s->job_retention_ms,
		.shares = shares,
		.body_max = s->body_max,
		.intake = s->intake,
		.memory = s->memory,
		.descriptors = &d->descriptors,
	};

	if (!dmn_needs(d, "control", s->control, err) ||
	    !dmn_needs(d, "data", s->data, err))
		return false;
	schedd_check(s);
	d->service = hub_new(&config, err);
	return d->service != NULL;
}

/*
 * Says loudly that workers get their orders in a way that isn't built: they
 * would take no calls, and nothing would run.
 */
static void schedd_check(const struct nst *s)
{
	if (s->orders && strcmp(s->orders, PLT_ORDERS_BY_CALLS) != 0)
		msg(MSG_HUB_ORDERS,
		    "setting=\"[node] orders\" value=%s built=%s", s->orders,
		    PLT_ORDERS_BY_CALLS);
}

/* Stops it. */
static void schedd_stop(struct dmn *d)
{
	hub_free(d->service);
}

/* Has it hand over and take nothing new. */
static void schedd_drain(struct dmn *d)
{
	hub_drain(d->service);
}

/* Gives it settings that may change while it runs. */
static void schedd_reload(struct dmn *d)
{
	hub_set_seeds(d->service, d->settings->seeds);
	hub_set_advice(d->service, d->settings->advice);
	schedd_check(d->settings);
}

/* What its process ends with. */
static int schedd_result(const struct dmn *d)
{
	return hub_failed(d->service) ? 1 : 0;
}

int main(int argc, char **argv)
{
	return dmn_main(&schedd_ops, PLT_SETTINGS, argc, argv);
}
