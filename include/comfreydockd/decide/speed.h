/*
 * NAME
 *	speed - the service time of an upstream, as reported to other daemons
 *
 * DESCRIPTION
 *	Each owner has one struct speed. speed_us() is sent with the load in
 *	answers and refusals. The pick module treats more than twice the typical
 *	value as slow.
 *
 *	The value is a running median of about the last twenty answers: a rare
 *	long job hardly moves it, and an upstream that becomes ten times slower
 *	shows after twenty answers. An error counts as an answer that took
 *	SPEED_ERROR_SLOWNESS times as long as a good one, so that an upstream
 *	that fails each call at once is not reported as fast.
 *
 * LOAD PATTERN
 *	An upstream that slows down without warning or that fails fast, called
 *	by many entries, each of which sees few of its answers.
 *
 * WITHOUT IT
 *	Each of 500 entries finds out by itself, with calls that are late or
 *	fail.
 *
 * GROUNDS
 *	Errors count because, otherwise, each entry would still find out by
 *	itself that an upstream fails fast. The figures are in
 *	docs/design/decisions.md. The steps of the median are 1/8.
 *
 * UNITS
 *	Microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_SPEED_H
#define COMFREYDOCKD_DECIDE_SPEED_H

#include <stdint.h>

#define SPEED_ERROR_SLOWNESS 20

/* Zero-initialised. */
struct speed {
	int64_t success_us; /* running median of successful answers; 0: none */
	int64_t reported_us; /* the same including errors */
};

/* Notes a successful answer and how long it took. */
void speed_note_answer(struct speed *speed, int64_t service_us);

/* Notes an upstream's own error. The median follows only if half of the answers
 * are errors. */
void speed_note_error(struct speed *speed);

/* RETURN VALUE: 0 before the first successful answer. */
int64_t speed_us(const struct speed *speed);

/* Moves a running median toward the sample by at most 1/gain of itself. */
void speed_move_median(int64_t *median_us, int64_t sample_us, int64_t gain);

#endif
