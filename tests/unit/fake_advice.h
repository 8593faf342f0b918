#ifndef FAKE_ADVICE_H
#define FAKE_ADVICE_H

#include "adv.h"

/*
 * Fake advice service in virtual time: approves the workers whose ids begin
 * with one letter, and issues different tickets in each answer.
 */
struct fake_advice {
	char approved_prefix; /* first letter of approved workers */
	uint32_t answers;
	uint32_t queried; /* workers in all queries */
};

/* Returns the service's answer to a query. */
static inline GPtrArray *fake_advice_rows(struct fake_advice *f,
					  const struct adv_query *query)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);
	guint i;

	f->answers++;
	f->queried += query->workers->len;
	for (i = 0; i < query->workers->len; i++) {
		const char *id = g_ptr_array_index(query->workers, i);
		struct adv_row *row;

		if (id[0] != f->approved_prefix)
			continue;
		row = g_new0(struct adv_row, 1);
		row->worker = g_strdup(id);
		row->ticket = g_strdup_printf("%s/%u", id, f->answers);
		g_ptr_array_add(rows, row);
	}
	return rows;
}

#endif
