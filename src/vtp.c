#include "vtp.h"

#include <glib.h>
#include <string.h>

/*
 * The least number of voters chosen where there are as many members: with one
 * voter, its disk would be the only one that counts.
 */
#define VTP_VOTERS_LEAST 3

/* The members of a group, counted. */
struct vtp_counts {
	int voters;
	int alive; /* voters that aren't lost */
	int there; /* members that are there, or may be back soon */
	int members; /* members whose folder isn't lost */
	int ready; /* learners that can vote at once */
	int steady; /* of these, reached for long enough to add a voter */
	bool unheard; /* a voter was just not heard */
	bool unready; /* a learner is reached and catches up */
};

static int vtp_count_all(const struct vtp_group *g, int n);
static int vtp_count_odd(const struct vtp_group *g, int n);
static int vtp_count_fewest(const struct vtp_group *g, int n);
static int vtp_odd(int n);
static int vtp_floor(const struct vtp_group *g);
static bool vtp_bears_zone(const struct vtp_group *g, int voters);
static bool vtp_spreads(const struct vtp_group *g, int voters, int most);
static bool vtp_gone(const struct vtp_member *m);
static bool vtp_lost(const struct vtp_group *g, const struct vtp_member *m);
static bool vtp_there(const struct vtp_member *m);
static bool vtp_same_zone(const struct vtp_member *a,
			  const struct vtp_member *b);
static int vtp_zone_voters(const struct vtp_group *g,
			   const struct vtp_member *m);
static struct vtp_counts vtp_counts(const struct vtp_group *g);
static const struct vtp_member *vtp_best_learner(const struct vtp_group *g,
						 int64_t steady_ms);
static const struct vtp_member *vtp_longest_lost(const struct vtp_group *g);
static const struct vtp_member *vtp_surplus(const struct vtp_group *g);
static bool vtp_leave(const struct vtp_group *g, const struct vtp_counts *c,
		      struct vtp_change *out);
static bool vtp_replace(const struct vtp_group *g, const struct vtp_counts *c,
			struct vtp_change *out);
static bool vtp_grow(const struct vtp_group *g, const struct vtp_counts *c,
		     struct vtp_change *out);
static bool vtp_shrink(const struct vtp_group *g, const struct vtp_counts *c,
		       struct vtp_change *out);
static bool vtp_spread(const struct vtp_group *g, const struct vtp_counts *c,
		       struct vtp_change *out);

static const struct vtp vtp_ways[] = {
	{"odd", vtp_count_odd},
	{"all", vtp_count_all},
	{"fewest", vtp_count_fewest},
};

/* In the order in which they matter; the first that finds a change has it. */
static bool (*const vtp_steps[])(const struct vtp_group *g,
				 const struct vtp_counts *c,
				 struct vtp_change *out) = {
	vtp_leave, vtp_replace, vtp_grow, vtp_shrink, vtp_spread,
};

/* Returns the way of that name; NULL if there is none. */
const struct vtp *vtp_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(vtp_ways); i++)
		if (strcmp(vtp_ways[i].name, name) == 0)
			return &vtp_ways[i];
	return NULL;
}

/* Returns the one change to make now; its kind is VTP_NONE if there is none. */
struct vtp_change vtp_next(const struct vtp_group *g)
{
	struct vtp_change change = {.kind = VTP_NONE};
	struct vtp_counts c = vtp_counts(g);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(vtp_steps); i++)
		if (vtp_steps[i](g, &c, &change))
			break;
	return change;
}

/* Every member votes. */
static int vtp_count_all(const struct vtp_group *g, int n)
{
	return n;
}

/*
 * The largest odd number, so that any cut into two leaves a quorum on one side.
 * Where fewer would bear the loss of any zone and the largest doesn't, fewer.
 */
static int vtp_count_odd(const struct vtp_group *g, int n)
{
	int floor = vtp_floor(g);
	int voters;

	for (voters = vtp_odd(n); voters > floor; voters -= 2)
		if (vtp_bears_zone(g, voters))
			return voters;
	return vtp_bears_zone(g, voters) ? voters : vtp_odd(n);
}

/*
 * As many as bear the losses that the settings name: the fewest disks to wait
 * for, and no more losses borne.
 */
static int vtp_count_fewest(const struct vtp_group *g, int n)
{
	return MIN(vtp_odd(n), MAX(g->voters_min, VTP_VOTERS_LEAST));
}

/*
 * Returns the largest odd number up to n. Two stay two: what is accepted would
 * otherwise be on one disk only.
 */
static int vtp_odd(int n)
{
	return n <= 2 ? n : n - !(n & 1);
}

/*
 * Returns the number of voters that is never gone below: what bears the losses
 * of the settings, or as many as there are members.
 */
static int vtp_floor(const struct vtp_group *g)
{
	int members = 0;
	int i;

	for (i = 0; i < g->n; i++)
		members += !vtp_gone(&g->m[i]);
	if (g->way->count == vtp_count_all)
		return MIN(g->voters_min, members);
	return MIN(MAX(g->voters_min, VTP_VOTERS_LEAST), vtp_odd(members));
}

/*
 * Whether so many voters can be spread over the zones so that the loss of any
 * zone leaves a quorum.
 */
static bool vtp_bears_zone(const struct vtp_group *g, int voters)
{
	return vtp_spreads(g, voters, (voters - 1) / 2);
}

/* Whether there are that many members with at most so many of a zone. */
static bool vtp_spreads(const struct vtp_group *g, int voters, int most)
{
	int placed = 0;
	int i;
	int k;

	for (i = 0; i < g->n; i++) {
		int before = 0;

		for (k = 0; k < i; k++)
			before += vtp_there(&g->m[k]) &&
				  vtp_same_zone(&g->m[k], &g->m[i]);
		placed += vtp_there(&g->m[i]) && before < most;
	}
	return placed >= voters;
}

/* Whether a member's folder is lost, and it was replaced by another. */
static bool vtp_gone(const struct vtp_member *m)
{
	return m->folder_lost && m->successor;
}

/* Whether a member counts as lost, so that another may take its place. */
static bool vtp_lost(const struct vtp_group *g, const struct vtp_member *m)
{
	return !m->self && (vtp_gone(m) || (m->folder_lost && g->full) ||
			    m->silent_ms >= VTP_REPLACE_MS);
}

/* Whether a member is there, or may be back before it counts as dead. */
static bool vtp_there(const struct vtp_member *m)
{
	return m->self || (!vtp_gone(m) && m->silent_ms < VTP_DEAD_MS);
}

/* Whether two members are known to be in one zone. */
static bool vtp_same_zone(const struct vtp_member *a,
			  const struct vtp_member *b)
{
	return a == b || (*a->zone && strcmp(a->zone, b->zone) == 0);
}

/* Returns the number of voters in a member's zone that aren't lost. */
static int vtp_zone_voters(const struct vtp_group *g,
			   const struct vtp_member *m)
{
	int voters = 0;
	int i;

	for (i = 0; i < g->n; i++)
		voters += g->m[i].voter && !vtp_lost(g, &g->m[i]) &&
			  vtp_same_zone(&g->m[i], m);
	return voters;
}

/* Counts the members of a group. */
static struct vtp_counts vtp_counts(const struct vtp_group *g)
{
	struct vtp_counts c = {0};
	int i;

	for (i = 0; i < g->n; i++) {
		const struct vtp_member *m = &g->m[i];
		bool lost = vtp_lost(g, m);

		c.voters += m->voter;
		c.alive += m->voter && !lost;
		c.there += vtp_there(m);
		c.members += !vtp_gone(m);
		if (m->voter) {
			c.unheard |= !m->self && m->steady_ms == 0;
			continue;
		}
		c.ready += m->ready && !lost;
		c.steady += m->ready && !lost && m->steady_ms >= VTP_STEADY_MS;
		c.unready |= !m->ready && m->steady_ms > 0;
	}
	return c;
}

/*
 * Returns the learner to promote: one that is ready and was reached for so long,
 * from the zone with the fewest voters; NULL if there is none.
 */
static const struct vtp_member *vtp_best_learner(const struct vtp_group *g,
						 int64_t steady_ms)
{
	const struct vtp_member *best = NULL;
	int best_voters = 0;
	int i;

	for (i = 0; i < g->n; i++) {
		const struct vtp_member *m = &g->m[i];
		int voters = vtp_zone_voters(g, m);

		if (m->voter || !m->ready || vtp_lost(g, m) ||
		    m->steady_ms < steady_ms)
			continue;
		if (best && (voters > best_voters ||
			     (voters == best_voters && m->id > best->id)))
			continue;
		best = m;
		best_voters = voters;
	}
	return best;
}

/*
 * Returns the lost voter to give up first: one whose folder is lost, else the
 * one that has been silent for longest; NULL if none is lost.
 */
static const struct vtp_member *vtp_longest_lost(const struct vtp_group *g)
{
	const struct vtp_member *best = NULL;
	int i;

	for (i = 0; i < g->n; i++) {
		const struct vtp_member *m = &g->m[i];

		if (!m->voter || !vtp_lost(g, m))
			continue;
		if (!best || m->folder_lost > best->folder_lost ||
		    (m->folder_lost == best->folder_lost &&
		     m->silent_ms > best->silent_ms))
			best = m;
	}
	return best;
}

/*
 * Returns the voter to demote when there are too many: one of the zone with the
 * most, never the leader, whose work would stop for an election; NULL if there
 * is none.
 */
static const struct vtp_member *vtp_surplus(const struct vtp_group *g)
{
	const struct vtp_member *best = NULL;
	int best_voters = 0;
	int i;

	for (i = 0; i < g->n; i++) {
		const struct vtp_member *m = &g->m[i];
		int voters = vtp_zone_voters(g, m);

		if (!m->voter || m->self)
			continue;
		if (best && (voters < best_voters ||
			     (voters == best_voters && m->id < best->id)))
			continue;
		best = m;
		best_voters = voters;
	}
	return best;
}

/*
 * Removes learners that won't come back. In a full membership a voter whose
 * folder is lost leaves before its successor is added: the two would otherwise
 * wait for each other.
 */
static bool vtp_leave(const struct vtp_group *g, const struct vtp_counts *c,
		      struct vtp_change *out)
{
	int i;

	for (i = 0; i < g->n; i++) {
		const struct vtp_member *m = &g->m[i];
		bool blocks = g->full && m->folder_lost;
		const char *why = "its folder was lost";

		if (m->self || (m->voter && c->voters <= g->voters_min))
			continue;
		if (!blocks && (m->voter || (!vtp_gone(m) && vtp_there(m))))
			continue;
		if (!m->folder_lost)
			why = "it is gone";
		*out = (struct vtp_change){VTP_REMOVE, m->id, why};
		return true;
	}
	return false;
}

/*
 * Has a learner take the place of a lost voter: first it votes, then the lost
 * one doesn't. The other way round one more loss in between would be borne no
 * better, and the log would have a copy that counts less. Without a learner, a
 * lost voter stays until the number of voters is chosen without it.
 */
static bool vtp_replace(const struct vtp_group *g, const struct vtp_counts *c,
			struct vtp_change *out)
{
	int wanted = MAX(g->way->count(g, c->there), vtp_floor(g));
	const struct vtp_member *lost = vtp_longest_lost(g);
	const struct vtp_member *m = vtp_best_learner(g, 0);
	const char *why = "it isn't reached";

	if (!lost)
		return false;
	if (m && c->alive < wanted && c->voters <= wanted) {
		*out = (struct vtp_change){VTP_PROMOTE, m->id,
					   "a voter isn't reached"};
		return true;
	}
	if (c->voters <= wanted)
		return false;
	if (lost->folder_lost)
		why = "its folder was lost";
	*out = (struct vtp_change){
		lost->folder_lost || !vtp_there(lost) ? VTP_REMOVE : VTP_DEMOTE,
		lost->id, why};
	return true;
}

/* Adds a voter if, with all that can vote now, the next number is reached. */
static bool vtp_grow(const struct vtp_group *g, const struct vtp_counts *c,
		     struct vtp_change *out)
{
	int within_reach = g->way->count(g, c->alive + c->steady);
	const struct vtp_member *m = vtp_best_learner(g, VTP_STEADY_MS);

	if (!m || c->alive < c->voters || c->voters >= within_reach)
		return false;
	*out = (struct vtp_change){VTP_PROMOTE, m->id, "one more can vote"};
	return true;
}

/*
 * Demotes a voter if there are more than wanted, and all of them are heard. One
 * that may be about to be lost would otherwise be followed by a second change.
 */
static bool vtp_shrink(const struct vtp_group *g, const struct vtp_counts *c,
		       struct vtp_change *out)
{
	int floor = vtp_floor(g);
	int wanted = MAX(g->way->count(g, c->there), floor);
	const struct vtp_member *m = vtp_surplus(g);
	bool waits = c->unready && g->even_ms < VTP_EVEN_MS;

	if (!waits)
		wanted = MAX(g->way->count(g, c->alive + c->ready), floor);
	if (!m || c->unheard || c->alive < c->voters || c->voters <= wanted)
		return false;
	*out = (struct vtp_change){VTP_DEMOTE, m->id, "one voter too many"};
	return true;
}

/*
 * Begins to move a vote from the zone with the most voters to one that has at
 * least two fewer: the learner votes first, and is one too many then.
 */
static bool vtp_spread(const struct vtp_group *g, const struct vtp_counts *c,
		       struct vtp_change *out)
{
	const struct vtp_member *to = vtp_best_learner(g, VTP_SETTLED_MS);
	const struct vtp_member *from = vtp_surplus(g);

	if (!to || !from || c->unheard || c->alive < c->voters ||
	    vtp_zone_voters(g, from) - vtp_zone_voters(g, to) < 2)
		return false;
	*out = (struct vtp_change){VTP_PROMOTE, to->id,
				   "its zone has fewer voters"};
	return true;
}
