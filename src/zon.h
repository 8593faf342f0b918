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

/* Idle workers of a silent zone that are asked in each interval. */
#define ZON_ASKS 8
#define ZON_ASK_INTERVAL_MS 500

struct zon;

/* What is known of one zone. */
struct zon_zone {
	char *name;
	uint32_t in_row; /* workers silent since the zone's last answer */
	uint32_t asks; /* idle workers asked in this interval */
	int64_t asks_since_ms; /* start of the interval */
};

struct zon *zon_new(void);
void zon_free(struct zon *z);
void zon_clear(struct zon *z);
struct zon_zone *zon_zone(struct zon *z, const char *name);
bool zon_record_silent(struct zon *z, struct zon_zone *zone);
bool zon_record_answer(struct zon *z, struct zon_zone *zone);
bool zon_take_ask(struct zon_zone *zone, int64_t now_ms);
bool zon_is_silent(const struct zon *z, const struct zon_zone *zone);

#endif
