#ifndef STO_REC_H
#define STO_REC_H

/* Record format of the files in a data folder. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/* Kinds of records in the files of a data folder. */
enum sto_kind {
	/*
	 * first record of a log file: [folder, number of the file, term, vote,
	 * last entry before it]
	 */
	STO_HEAD = 1,
	STO_VOTE, /* [term, vote] */
	/* [index, term, kind, data]; replaces this and all later entries */
	STO_ENTRY,
	STO_RESET, /* [index, term]: the log starts after this index */
	STO_SNAP, /* [index, term, members, data] */
	STO_IDENTITY, /* [folder, node] */
};

struct sto_rec {
	enum sto_kind kind;
	struct lstr body; /* points into the file's bytes or into plain */
	GByteArray *plain; /* unmasked body; kept between reads */
};

/* Result of reading a record at an offset of a file. */
enum sto_read {
	STO_READ_REC,
	STO_READ_END,
	STO_READ_TORN, /* incomplete at the end of the file: never synced */
	STO_READ_BAD, /* complete, but the checksum is wrong */
};

void sto_rec_add(GByteArray *out, uint64_t file, uint64_t offset,
		 enum sto_kind kind, struct lstr body);
void sto_rec_add_log(GByteArray *out, uint64_t file, uint64_t synced,
		     enum sto_kind kind, struct lstr body);
enum sto_read sto_rec_read(uint64_t file, struct lstr bytes, size_t *at,
			   struct sto_rec *out);
bool sto_rec_unsynced(uint64_t file, struct lstr bytes, size_t at);
void sto_rec_clear(struct sto_rec *rec);

#endif
