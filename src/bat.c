#include "bat.h"

#include <string.h>

static void bat_compact(struct bat *b);
static size_t bat_end(const struct bat *b, guint n);

/* Initialises a batch without commands. */
void bat_init(struct bat *b)
{
	pk_out_init(&b->out);
	b->starts = g_array_new(FALSE, FALSE, sizeof(size_t));
	b->first = 0;
}

/* Frees the batch with its commands. */
void bat_done(struct bat *b)
{
	pk_out_done(&b->out);
	g_array_free(b->starts, TRUE);
}

/* Begins the next command; returns the buffer to pack it into. */
struct pk_out *bat_add(struct bat *b)
{
	size_t at = b->out.buf.size;

	g_array_append_val(b->starts, at);
	return &b->out;
}

/* Returns the number of commands. */
guint bat_count(const struct bat *b)
{
	return b->starts->len - b->first;
}

/* Returns the size of all commands, bytes. */
size_t bat_bytes(const struct bat *b)
{
	return b->out.buf.size - bat_end(b, 0);
}

/*
 * Returns how many of the first commands fit into an entry of max bytes, at
 * least one if there is any. The rest belongs to later entries: one that is
 * longer than a message would reach no other replica, nor would any after it.
 */
guint bat_fitting(const struct bat *b, size_t max)
{
	guint n = MIN(bat_count(b), 1);

	while (n < bat_count(b) && bat_end(b, n + 1) - bat_end(b, 0) <= max)
		n++;
	return n;
}

/* Packs the first n commands as one entry. */
void bat_pack(const struct bat *b, guint n, struct pk_out *out)
{
	size_t from = bat_end(b, 0);

	pk_arr(out, n);
	msgpack_sbuffer_write(&out->buf, b->out.buf.data + from,
			      bat_end(b, n) - from);
}

/* Removes the first n commands. */
void bat_drop(struct bat *b, guint n)
{
	b->first += n;
	if (b->first > bat_count(b))
		bat_compact(b);
}

/*
 * Lets go what is dropped. Done when it is more than what is left: to move the
 * rest at each entry would take a leader seconds with what gathers in an outage.
 */
static void bat_compact(struct bat *b)
{
	size_t end = bat_end(b, 0);
	guint i;

	memmove(b->out.buf.data, b->out.buf.data + end, b->out.buf.size - end);
	b->out.buf.size -= end;
	g_array_remove_range(b->starts, 0, b->first);
	b->first = 0;
	for (i = 0; i < b->starts->len; i++)
		g_array_index(b->starts, size_t, i) -= end;
}

/* Returns where the first n commands that aren't dropped end, bytes. */
static size_t bat_end(const struct bat *b, guint n)
{
	return n < bat_count(b) ? g_array_index(b->starts, size_t, b->first + n)
				: b->out.buf.size;
}
