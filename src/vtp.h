#ifndef VTP_H
#define VTP_H

/* Voter placement: which members of a Raft group vote. */

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides the next change of a membership, one at a time. A group with an even
 * number of voters can be cut into halves of which neither is a quorum, so that
 * nobody leads for as long as the cut lasts; it bears no more losses than with
 * one voter less. The decision knows no clock and no connection: the leader
 * describes the members, and carries out what comes back.
 */

/* A learner takes the place of a voter that was silent for this long. */
#define VTP_REPLACE_MS 2000
/*
 * A member silent for this long isn't waited for: it leaves, and the number of
 * voters is chosen without it.
 */
#define VTP_DEAD_MS 4000
/*
 * A learner adds to the number of voters once it was reached for this long: one
 * whose connection comes and goes would cause a change each time.
 */
#define VTP_STEADY_MS 1000
/*
 * A vote moves to another zone once the learner there was reached for this long:
 * it isn't urgent, and one that comes and goes would have it back each time.
 */
#define VTP_SETTLED_MS 30000
/*
 * An even number that a learner still catching up would make odd is kept for
 * this long.
 */
#define VTP_EVEN_MS 2000

struct vtp_member {
	uint64_t id;
	const char *zone; /* "": not known, counts as a zone of its own */
	bool voter;
	bool self; /* the leader, which decides */
	bool ready; /* reached, and holds the log */
	/* another folder answers at its address: this one won't come back */
	bool folder_lost;
	bool successor; /* that folder is a member */
	int64_t silent_ms; /* time since it was last heard */
	int64_t steady_ms; /* time for which it was heard without a gap */
};

struct vtp;

struct vtp_group {
	const struct vtp *way;
	const struct vtp_member *m;
	int n;
	bool full; /* no member can be added */
	int voters_min; /* 2 x losses + 1 */
	int64_t even_ms; /* time for which the number of voters has been even */
};

/* How the number of voters is chosen. */
struct vtp {
	const char *name;
	/* returns how many of n members vote; not below the group's minimum */
	int (*count)(const struct vtp_group *g, int n);
};

enum vtp_kind {
	VTP_NONE,
	VTP_PROMOTE,
	VTP_DEMOTE,
	VTP_REMOVE,
	VTP_KINDS
};

struct vtp_change {
	enum vtp_kind kind;
	uint64_t id;
	const char *why; /* for the log */
};

const struct vtp *vtp_find(const char *name);
struct vtp_change vtp_next(const struct vtp_group *g);

#endif
