#ifndef GAT_H
#define GAT_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fdb.h"
#include "key.h"

/*
 * The entry daemon of a fleet that runs jobs: takes callers' requests, passes
 * each on to the replica that leads, and gives its answer back. It keeps no
 * state of its own, so that any of them can be lost.
 */
struct gat;

struct gat_config {
	struct event_base *base;
	const struct keyring *keys;
	char *node;
	char *zone;
	char *callers; /* IP:PORT */
	char *ready; /* IP:PORT; the balancer asks there; or NULL */
	char *metrics; /* IP:PORT; or NULL */
	char **seeds; /* IP:PORT of replicas to ask first */
	const char *patience_header; /* how long a caller waits, ms; or NULL */
	long long body_max; /* bytes */
	long long grace_ms; /* from a stop until we are killed */
	long long bodies_max; /* bytes of all at once; 0: no bound */
	const struct fdb *descriptors;
};

struct gat *gat_new(const struct gat_config *config, GError **err);
void gat_free(struct gat *g);
void gat_drain(struct gat *g);
void gat_set_seeds(struct gat *g, char **seeds);

#endif
