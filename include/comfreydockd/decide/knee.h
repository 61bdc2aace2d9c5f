/*
 * NAME
 *	knee - how many of its slots an upstream should be given
 *
 * DESCRIPTION
 *	Compares, within each class, the service times of requests that started
 *	with few busy slots with those that started when nearly all slots were
 *	busy. If the latter are so much longer that the upstream would complete
 *	more requests with some slots free, these slots stay free. An upstream
 *	that is always full has them left free for a moment every half minute,
 *	to obtain times to compare with.
 *
 *	The times are compared as they are, not relative to the recent typical
 *	time of their class: that time rises as the upstream fills up and would
 *	hide the difference.
 *
 * LOAD PATTERN
 *	Upstreams that slow down when they are nearly full, under a load that
 *	would fill them.
 *
 * WITHOUT IT
 *	An upstream whose requests take 1.7 times as long beyond four fifths of
 *	its slots completes 40 % fewer requests when it is full than at four
 *	fifths, just when it is needed most. Without the comparison it stays in
 *	that state after a start under load, which tests/test_knee.c simulates.
 *
 * GROUNDS
 *	Upstreams that slow down were seen to do so at KNEE_SHARE. With that
 *	share of its slots an upstream completes as many requests as when it is
 *	full if full slots make requests take 1 / KNEE_SHARE = 1.25 times as
 *	long; KNEE_SLOWDOWN adds a margin for noise. Service times vary by a
 *	third around their mean: with KNEE_SAMPLES on each side the ratio of the
 *	means has an error of a tenth.
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
/* Samples lose half of their weight in this time, so that a result is checked
 * again. */
#define KNEE_HALF_LIFE_US ((int64_t)30 * 1000 * 1000)

struct knee_stats {
	double mean_us;
	double samples; /* number of samples, decays with time */
};

struct knee_class {
	struct knee_stats below;
	struct knee_stats above;
};

/* Zero-initialised. */
struct knee {
	struct knee_class classes[KNEE_CLASSES];
	int64_t decayed_us;
};

/* Notes a successful request: the busy slots at its start, itself included, and
 * how long it would have taken at the nominal pace. */
void knee_note(struct knee *knee, enum config_class class, uint32_t busy,
	       uint32_t slots, int64_t took_us, int64_t now_us);

/* RETURN VALUE: how many of the given slots to use. */
uint32_t knee_slots(const struct knee *knee, uint32_t slots);

#endif
