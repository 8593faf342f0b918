#ifndef QUO_H
#define QUO_H

/* Usage limits: how much runs for each organisation, and what may start. */

#include "org.h"

/* What runs for one organisation. */
struct quo_use {
	char *name;
	guint no; /* its position among all accounts */
	/* its entry in the configuration in force; NULL: it has no limit */
	const struct org *org;
	struct org_amount running; /* runs whose end is not committed */
	struct org_amount proposed; /* leader's: starts not yet committed */
	/* of running, what only idle processors serve, thousandths of a core */
	uint64_t idle_cpu;
	double planned_cores; /* leader's: of its jobs, in the present measurement */
	/* leader's: weight that an operator ordered for a while; 0: none */
	double weight_override;
	uint32_t runs;
	uint64_t peak_cpu; /* most that has run at a time since the start */
	/* leader's: tasks that are due and do not run, as of the last scan */
	uint64_t waiting;
	uint64_t at_limit; /* waiting tasks that only the limit keeps */
	/* leader's: jobs that the limit would never let run */
	uint64_t refused;
	/* leader's: its dominant share, and what it is owed, 0 to 1 */
	double share;
	double owed;
};

struct quo;

struct quo *quo_new(void);
void quo_free(struct quo *q);
struct quo_use *quo_use(struct quo *q, const char *name);
void quo_set_orgs(struct quo *q, const struct orgs *all);
void quo_clear(struct quo *q);
void quo_clear_proposed(struct quo *q);
GPtrArray *quo_list(const struct quo *q);
void quo_reset_planned(const struct quo *q);

void quo_run_begins(struct quo_use *u, const struct org_amount *a);
void quo_run_ends(struct quo_use *u, const struct org_amount *a);
void quo_reset_waiting(const struct quo *q);
void quo_append_metrics(const struct quo *q, GString *out);
void quo_add(struct org_amount *sum, const struct org_amount *a);
void quo_sub(struct org_amount *sum, const struct org_amount *a);
bool quo_may_start(const struct quo_use *u, const struct org_amount *each,
		   uint32_t n);
bool quo_may_commit(const struct quo_use *u, const struct org_amount *each);
bool quo_is_over(const struct quo_use *u);
bool quo_ever_fits(const struct org *o, const struct org_amount *each,
		   uint32_t n);
double quo_free_cores(const struct quo_use *u);
double quo_weight(const struct quo_use *u);
void quo_append_label(GString *out, const char *name);

#endif
