#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "dmn.h"
#include "gat.h"
#include "plt.h"

static bool gated_start(struct dmn *d, GError **err);
static void gated_stop(struct dmn *d);
static void gated_drain(struct dmn *d);
static void gated_reload(struct dmn *d);
static int gated_result(const struct dmn *d);

static const struct dmn_ops gated_ops = {
	.name = "endive-gated",
	.summary = "Passes callers' requests on to the replica that leads.",
	.descriptors =
		{
			[FDB_FILES] = {.min = 32},
			[FDB_PEERS] = {.min = 32},
			[FDB_OPERATORS] = {.min = 32},
			[FDB_CALLERS] = {.min = 32, .weight = 1},
		},
	.start = gated_start,
	.stop = gated_stop,
	.drain = gated_drain,
	.reload = gated_reload,
	.result = gated_result,
};

/* Starts an entry daemon by its settings. */
static bool gated_start(struct dmn *d, GError **err)
{
	const struct nst *s = d->settings;
	struct gat_config config = {
		.base = d->base,
		.keys = d->keys,
		.node = s->node,
		.zone = s->zone,
		.callers = s->callers,
		.ready = s->ready,
		.metrics = s->metrics,
		.seeds = s->seeds,
		.timeout_header = PLT_PATIENCE,
		.key_header = PLT_KEY,
		.key_scheme = PLT_KEY_SCHEME,
		.body_max = s->body_max,
		.memory = s->memory,
		.descriptors = &d->descriptors,
		.grace_ms = s->grace_ms,
	};

	if (!dmn_needs(d, "callers", s->callers, err))
		return false;
	d->service = gat_new(&config, err);
	return d->service != NULL;
}

/* Stops it. */
static void gated_stop(struct dmn *d)
{
	gat_free(d->service);
}

/* Has it take nothing new. */
static void gated_drain(struct dmn *d)
{
	gat_drain(d->service);
}

/* Gives it settings that may change while it runs. */
static void gated_reload(struct dmn *d)
{
	gat_add_seeds(d->service, d->settings->seeds);
}

/* What its process ends with. */
static int gated_result(const struct dmn *d)
{
	return 0;
}

int main(int argc, char **argv)
{
	return dmn_main(&gated_ops, PLT_SETTINGS, argc, argv);
}
