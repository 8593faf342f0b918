#ifndef ZON_H
#define ZON_H

/* Zones whose workers stop answering together. */

#include <stdbool.h>
#include <stdint.h>

/*
 * Workers of a zone that must fall silent in a row, without an answer of any
 * other worker of that zone in between, for the zone to count as silent.
 */
#define ZON_SILENT_WORKERS 3

struct zon;

/* What is known of one zone. */
struct zon_zone {
	char *name;
	uint32_t in_row; /* workers silent since the zone's last answer */
};

struct zon *zon_new(void);
void zon_free(struct zon *z);
void zon_clear(struct zon *z);
struct zon_zone *zon_zone(struct zon *z, const char *name);
bool zon_record_silent(struct zon *z, struct zon_zone *zone);
bool zon_record_answer(struct zon *z, struct zon_zone *zone);
bool zon_is_silent(const struct zon *z, const struct zon_zone *zone);

#endif
