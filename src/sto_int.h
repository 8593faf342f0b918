#ifndef STO_INT_H
#define STO_INT_H

/* Declarations shared by the files of the Raft voter's storage. */

#include "pk.h"
#include "sto.h"
#include "sto_rec.h"

#define STO_NAME_IDENTITY "identity"
#define STO_NAME_TMP "tmp"
#define STO_PREFIX_LOG "log-"
#define STO_PREFIX_SNAP "snap-"
#define STO_PREFIX_DAMAGED "damaged-"

/* A log file (a segment of the log). */
struct sto_seg {
	uint64_t no;
	uint64_t max_index; /* largest index of its entries; 0: none */
};

struct sto {
	struct sto_io io;
	uint64_t id;
	uint64_t term;
	uint64_t vote;
	uint64_t last_index; /* index of the last entry added */
	/* term, vote and last index as of the last sync */
	uint64_t synced_term;
	uint64_t synced_vote;
	uint64_t synced_index;
	/* struct sto_seg, oldest first; the last one is written to */
	GArray *segs;
	int fd; /* descriptor of the last segment; -1: none */
	uint64_t size; /* synced bytes of the last segment */
	GByteArray *pending;
	uint64_t snap_index; /* 0: none */
	bool set_aside; /* damaged content was set aside, now or before */
	bool failed;
	bool full; /* the disk had no space for the last call */
	bool torn; /* the last segment may hold a part of that call's records */
};

/* sto_load */
bool sto_load(struct sto *s, const char *node, struct sto_loaded *out,
	      char **damage, GError **err);
/* sto */
char *sto_file_name(const char *prefix, uint64_t no);
char **sto_list(struct sto *s, GError **err);
bool sto_parse_name(const char *name, const char *prefix, uint64_t *no);
bool sto_write_file(struct sto *s, const char *name, const GByteArray *bytes,
		    GError **err);
bool sto_fail(struct sto *s, const char *step, const char *name, GError **err);
bool sto_refuse(struct sto *s, const char *step, const char *name,
		GError **err);

#endif
