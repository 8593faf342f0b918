#include "cns_int.h"

/* The part of the log that is held in memory: the entries after trim_index. */

/* Returns the index of the last entry, synced or not. */
uint64_t cns_last(const struct cns *c)
{
	return c->trim_index + c->log->len;
}

/* Returns the entry at index, which must be in memory. */
const struct cns_entry *cns_entry_at(const struct cns *c, uint64_t index)
{
	g_assert(index > c->trim_index && index <= cns_last(c));
	return &g_array_index(c->log, struct cns_entry,
			      index - c->trim_index - 1);
}

/*
 * Returns the term of the entry at index; 0 if the entry is not in memory, and
 * for index 0.
 */
uint64_t cns_term_at(const struct cns *c, uint64_t index)
{
	if (index == c->trim_index)
		return c->trim_term;
	if (index < c->trim_index || index > cns_last(c))
		return 0;
	return cns_entry_at(c, index)->term;
}

/*
 * Appends an entry. A membership change takes effect immediately, before it is
 * committed.
 */
void cns_append(struct cns *c, const struct cns_entry *e)
{
	struct cns_members members;
	gsize len;
	const char *p;

	g_assert(e->index == cns_last(c) + 1);
	cns_entries_add(c->log, e);
	if (e->kind != CNS_MEMBERS)
		return;
	p = g_bytes_get_data(e->data, &len);
	if (!cns_members_unpack(lstr_n(p, len), &members))
		return;
	cns_changes_add(c, e->index, &members);
	cns_members_changed(c);
}

/* Truncates the log from an index on; the entries must not be committed. */
void cns_truncate(struct cns *c, uint64_t from)
{
	g_assert(from > c->commit);
	if (from > cns_last(c))
		return;
	g_array_set_size(c->log, from - c->trim_index - 1);
	c->stable = MIN(c->stable, from - 1);
	cns_changes_truncate(c, from);
	cns_members_changed(c);
}

/* Raises the commit index. */
void cns_commit_to(struct cns *c, uint64_t index)
{
	uint64_t i;
	size_t len;

	index = MIN(index, cns_last(c));
	for (i = c->commit + 1; i <= index; i++) {
		len = g_bytes_get_size(cns_entry_at(c, i)->data);
		c->uncommitted_bytes -= MIN(c->uncommitted_bytes, len);
	}
	c->commit = MAX(c->commit, index);
}
