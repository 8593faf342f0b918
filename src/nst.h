#ifndef NST_H
#define NST_H

#include <glib.h>
#include <stdbool.h>

/*
 * Settings of a node that a platform writes for us: a key file with the groups
 * [node] and [bounds]. It may change while we run.
 */
struct nst {
	char *path;
	char *node;
	char *zone;
	char *wire; /* IP:PORT for own processes */
	char *callers; /* IP:PORT; or NULL */
	char *ready; /* IP:PORT; or NULL */
	char *control; /* IP:PORT; or NULL */
	char *metrics; /* IP:PORT; or NULL */
	char *data; /* folder; or NULL */
	char *vms; /* IP:PORT of the service that moves VMs; or NULL */
	char *advice; /* IP:PORT of the service that gives it; or NULL */
	char *orders; /* how workers get them, as the platform says; or NULL */
	char **seeds; /* IP:PORT of replicas, on the port of wire */
	bool bootstrap;
	bool open_network; /* own processes need no key */
	char *keys; /* key file; or NULL */
	long long losses; /* replicas that may be lost at once */
	long long hold_max_ms;
	long long vm_lease_ms;
	long long carry_from; /* workers */
	long long keep_ms;
	long long grace_ms;
	long long body_max;
	long long memory; /* bytes that we may use; 0: not told */
	long long descriptors; /* open files that we may have; 0: not told */
	long long descriptors_kept; /* of these, not for us */
	char *level; /* least level that is logged */
};

struct nst *nst_load(const char *path, GError **err);
void nst_free(struct nst *s);

#endif
