#ifndef STO_REC_H
#define STO_REC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/* Records of the data folder's files. */
enum sto_kind {
	/* [folder, number of the file, term, vote, last entry before it] */
	STO_HEAD = 1,
	STO_VOTE, /* [term, vote] */
	STO_ENTRY, /* [index, term, kind, data]; takes the place of later ones */
	STO_RESET, /* [index, term]: the log starts after it */
	STO_SNAP, /* [index, term, members, data] */
	STO_IDENTITY, /* [folder, node] */
};

struct sto_rec {
	enum sto_kind kind;
	struct lstr body; /* in the file's bytes or in plain */
	GByteArray *plain; /* of a masked body; kept between reads */
};

/* How a place in a file reads. */
enum sto_read {
	STO_READ_REC,
	STO_READ_END,
	STO_READ_TORN, /* bytes are missing at the end: it was never synced */
	STO_READ_BAD, /* bytes are there and wrong */
};

void sto_rec_add(GByteArray *out, uint64_t file, uint64_t offset,
		 enum sto_kind kind, struct lstr body);
void sto_rec_add_log(GByteArray *out, uint64_t file, uint64_t synced,
		     enum sto_kind kind, struct lstr body);
enum sto_read sto_rec_read(uint64_t file, struct lstr bytes, size_t *at,
			   struct sto_rec *out);
bool sto_rec_unsynced(uint64_t file, struct lstr bytes, size_t at);
void sto_rec_done(struct sto_rec *rec);

#endif
