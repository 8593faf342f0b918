#ifndef ENT_H
#define ENT_H

/*
 * Entry daemon: accepts callers' requests and forwards them to targets that
 * announced themselves, under the fleet view that the voters agreed on.
 */

#include <event2/event.h>
#include <glib.h>

#include "fdb.h"
#include "key.h"

struct ent;

struct ent_config {
	struct event_base *base;
	struct keyring *keys;
	char *node;
	char *zone;
	char *listen; /* for callers, IP:PORT */
	char *admin; /* for announcements, health and metrics, IP:PORT */
	char *wire; /* for other entry daemons, IP:PORT they connect to */
	char **voters; /* IP:PORT of control daemons, or NULL */
	char **peers; /* IP:PORT of all entry daemons' wires, or NULL */
	long long max_conns; /* limit for concurrent callers' connections */
	struct fdb descriptors;
	long long memory; /* of this process, bytes; 0: the machine's */
	long long drain_ms; /* from SIGTERM until new connections are refused */
	long long stop_ms; /* longest wait for requests in flight after that */
	long long silence_ms; /* without data, until a peer counts as down */
};

struct ent *ent_new(const struct ent_config *config, GError **err);
void ent_free(struct ent *e);
void ent_drain(struct ent *e);

#endif
