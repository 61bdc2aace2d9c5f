/*
 * NAME
 *	knee - how many of its slots an upstream should be given
 *
 * DESCRIPTION
 *	Compares how long requests take that began with few slots busy and that
 *	began with nearly all, each class with itself. Where the latter take so
 *	much longer that the upstream does more with some slots left free, these
 *	are left free. One that is full all the time has them left free for a
 *	moment each half minute, for the comparison.
 *
 *	Times are compared as they are, not over the recent usual time of their
 *	class: that one rises as the upstream fills up, and hides what is looked
 *	for.
 *
 * LOAD PATTERN
 *	Upstreams that slow down when they are nearly full, under load that
 *	would fill them.
 *
 * WITHOUT IT
 *	An upstream whose requests take 1.7 times as long beyond four fifths of
 *	its slots does 40 % less when it is full than at four fifths, just when
 *	it is needed most. Without the comparison it stays so after a start under
 *	load, which tests/test_knee.c plays.
 *
 * GROUNDS
 *	KNEE_SHARE is where upstreams that slow down were seen to do so. At that
 *	share they do as much as when full if these take 1 / KNEE_SHARE = 1.25
 *	times as long; KNEE_SLOWDOWN leaves room for chance. Times spread by a
 *	third around their mean: with KNEE_SAMPLES on each side the ratio of
 *	the means strays by a tenth.
 */
#ifndef COMFREYDOCKD_DECIDE_KNEE_H
#define COMFREYDOCKD_DECIDE_KNEE_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/config/model.h"

#define KNEE_CLASSES (CONFIG_CLASS_BULK + 1)
#define KNEE_SHARE 0.8
#define KNEE_SLOWDOWN 1.35
#define KNEE_SAMPLES 20
/* A finding is forgotten half in this time, so that it is tried again. */
#define KNEE_HALF_LIFE_US ((int64_t)30 * 1000 * 1000)

struct knee_stats {
	double mean_us;
	double samples; /* fades */
};

struct knee_class {
	struct knee_stats below;
	struct knee_stats above;
};

/* All zero at the start. */
struct knee {
	struct knee_class classes[KNEE_CLASSES];
	int64_t decayed_us;
};

/* A request ended well: busy slots at its start, itself included, and how long
 * it took at the host's usual pace. */
void knee_note(struct knee *knee, enum config_class class, uint32_t busy,
	       uint32_t slots, int64_t took_us, int64_t now_us);

/* RETURN VALUE: of so many slots, those to be given. */
uint32_t knee_slots(const struct knee *knee, uint32_t slots);

#endif
