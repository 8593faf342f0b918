#ifndef MSG_RATE_H
#define MSG_RATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which lines of one message are written when there are too many of it. Lines
 * that belong to a job are chosen by the job: of one that is shown all are
 * there, and a message with more lines shows a part of the jobs that one with
 * fewer shows. So a job can be followed from its first line to its last.
 */

/* What a line says, as far as it matters for leaving it out. */
enum msg_keep {
	MSG_PLAIN, /* nothing of a job: the first of a second are written */
	MSG_SAMPLED, /* of a job, and as it should be */
	MSG_FAILURE, /* of a job that fails its caller: never sampled */
};

struct msg_rate {
	int64_t second;
	unsigned int wanted; /* lines within it, also those left out */
	unsigned int written;
	unsigned int dropped;
	unsigned int share; /* of jobs that are shown, of MSG_RATE_ALL */
};

#define MSG_RATE_ALL 1024

unsigned int msg_rate_second(struct msg_rate *r, int64_t second);
bool msg_rate_take(struct msg_rate *r, const char *job, enum msg_keep keep);

#endif
