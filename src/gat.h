#ifndef GAT_H
#define GAT_H

/*
 * Entry daemon for job fleets: an HTTP proxy in front of the leading replica.
 */

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fdb.h"
#include "key.h"

/*
 * Entry daemon of a fleet that runs jobs: accepts callers' requests, forwards
 * each to the replica that leads and returns its answer. It keeps no state of
 * its own, so any entry daemon may be lost.
 */
struct gat;

struct gat_config {
	struct event_base *base;
	const struct keyring *keys;
	char *node;
	char *zone;
	char *callers; /* IP:PORT */
	char *ready; /* IP:PORT for readiness checks; or NULL */
	char *metrics; /* IP:PORT; or NULL */
	char **seeds; /* IP:PORT of the replicas to contact first */
	const char *timeout_header; /* has a caller's timeout, ms; or NULL */
	const char *key_header; /* has a caller's key; or NULL */
	const char *key_scheme; /* of WWW-Authenticate with 401; or NULL */
	long long body_max; /* largest request body, bytes */
	long long grace_ms; /* from a stop until this process is killed */
	long long memory; /* of this process, bytes; 0: the machine's */
	const struct fdb *descriptors;
};

struct gat *gat_new(const struct gat_config *config, GError **err);
void gat_free(struct gat *g);
void gat_drain(struct gat *g);
void gat_add_seeds(struct gat *g, char **seeds);

#endif
