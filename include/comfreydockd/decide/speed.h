/*
 * NAME
 *	speed - how long an upstream takes, as told to other daemons
 *
 * DESCRIPTION
 *	One struct speed at each owner. speed_us() travels with the load in
 *	answers and refusals; pick takes more than twice the usual for slow.
 *
 *	It is a running median of about the last twenty answers: a rare long job
 *	hardly moves it, and an upstream that runs ten times slower shows after
 *	twenty. An error counts as an answer that took SPEED_ERROR_SLOWNESS
 *	times as long as a good one, so that an upstream that fails each call at
 *	once is not told of as a quick one.
 *
 * LOAD PATTERN
 *	An upstream that slows without warning, one that fails fast; many
 *	entries, each of which sees few of its answers.
 *
 * WITHOUT IT
 *	Each of 500 entries finds out by itself, with calls that are late or
 *	fail.
 *
 * GROUNDS
 *	Errors count in it, or each entry would still find out by itself that
 *	one fails fast. The figures are in docs/design/decisions.md.
 *	Steps of 1/8 and the slowness of an error are assumptions.
 *
 * UNITS
 *	Microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_SPEED_H
#define COMFREYDOCKD_DECIDE_SPEED_H

#include <stdint.h>

#define SPEED_ERROR_SLOWNESS 20

/* All zero at the start. */
struct speed {
	int64_t good_us; /* running median of good answers; 0: none */
	int64_t told_us; /* the same with errors in it */
};

/* A good answer, and how long it took. */
void speed_note_answer(struct speed *speed, int64_t service_us);

/* The upstream's own error. The median follows only where these are half of
 * the answers. */
void speed_note_error(struct speed *speed);

/* RETURN VALUE: 0 before the first good answer. */
int64_t speed_us(const struct speed *speed);

/* Moves a running median by at most one part in gain toward the sample. */
void speed_move_median(int64_t *median_us, int64_t sample_us, int64_t gain);

#endif
