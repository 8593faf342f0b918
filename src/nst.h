#ifndef NST_H
#define NST_H

/* nst: node settings, read from the file that the platform writes. */

#include <glib.h>
#include <stdbool.h>

#include "itk.h"

struct vtp;

/*
 * Settings of a node. The platform writes them as a key file with the groups
 * [node] and [bounds], which may change while the daemon runs.
 */
struct nst {
	char *path;
	char *node;
	char *zone;
	char *wire; /* IP:PORT for own processes */
	char *callers; /* IP:PORT to listen on, or NULL */
	char *ready; /* IP:PORT to listen on, or NULL */
	char *control; /* IP:PORT to listen on, or NULL */
	char *metrics; /* IP:PORT to listen on, or NULL */
	char *data; /* data folder, or NULL */
	char *vms; /* IP:PORT of the service that moves VMs, or NULL */
	char *advice; /* IP:PORT of the advice service, or NULL */
	char *orders; /* how the platform delivers orders to workers, or NULL */
	const struct itk_way *intake; /* which jobs are refused for room */
	char **seeds; /* IP:PORT of replicas, with the port of wire */
	bool bootstrap; /* new fleet: the seeds are its first voters */
	bool open_network; /* own processes need no key */
	char *keys; /* key file, or NULL */
	const struct vtp *voters; /* how the number of voters is chosen */
	long long losses; /* replicas that may be lost at the same time */
	long long hold_max_ms; /* longest lease that workers accept */
	long long vm_lease_ms; /* between orders of two leaders for a VM */
	long long
		relay_min_workers; /* workers from which on calls are relayed */
	long long job_retention_ms; /* how long an ended job can be queried */
	long long grace_ms; /* from a stop signal until the process is killed */
	long long body_max; /* bytes */
	long long memory; /* bytes the process may use; 0: not set */
	long long descriptors; /* files the process may open; 0: not set */
	long long descriptors_reserved; /* of these, reserved for other uses */
	const struct dom_way *domains; /* how jobs are kept in few zones */
	char *division; /* rule that divides VMs while there are too few */
	char *log_level; /* lowest log level that is written */
	char *shares; /* how organisations' shares order jobs, a method of shr */
};

struct nst *nst_load(const char *path, GError **err);
void nst_free(struct nst *s);

#endif
