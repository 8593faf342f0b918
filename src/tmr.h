#ifndef TMR_H
#define TMR_H

#include <stdbool.h>
#include <stdint.h>

#include "cnt.h"

struct event_base;
struct tmr;

typedef void (*tmr_fn)(void *arg, int64_t now_ms);

struct tmr *tmr_new(struct event_base *base);
struct tmr *tmr_new_manual(int64_t now_ms);
void tmr_free(struct tmr *t);
int64_t tmr_now(const struct tmr *t);
uint64_t tmr_every(struct tmr *t, int64_t period_ms, tmr_fn fn, void *arg);
uint64_t tmr_once(struct tmr *t, int64_t delay_ms, tmr_fn fn, void *arg);
void tmr_cancel(struct tmr *t, uint64_t id);
void tmr_advance(struct tmr *t, int64_t by_ms);
const struct cnt_times *tmr_lag(const struct tmr *t);
int64_t tmr_lag_ms(const struct tmr *t);
int64_t tmr_paused_ms(int64_t *ticked_ms, int64_t now_ms, int64_t period_ms);

#endif
