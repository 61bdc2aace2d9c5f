#include "comfreydockd/decide/throttle.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SLICE_US (THROTTLE_WINDOW_US / THROTTLE_SLICES)
/* Time constant with which the calls of a caller are forgotten. */
#define PART_AGE_US 1e6

/* Empties the slices that have left the window. */
static void forget_old(struct throttle *throttle, int64_t now_us)
{
	int64_t slice = now_us / SLICE_US;
	int64_t gone = MIN(slice - throttle->slice, THROTTLE_SLICES);

	for (int64_t i = 0; i < gone; i++)
		memset(throttle->slices[(slice - i) % THROTTLE_SLICES], 0,
		       sizeof(throttle->slices[0]));
	throttle->slice = MAX(throttle->slice, slice);
}

static struct throttle_counts *current(struct throttle *throttle,
				       enum config_class class, int64_t now_us)
{
	forget_old(throttle, now_us);
	return &throttle->slices[throttle->slice % THROTTLE_SLICES][class];
}

static void note_part(struct throttle *throttle, enum config_class class,
		      uint64_t key_hash, bool accepted, int64_t now_us)
{
	struct throttle_part *part =
		&throttle->parts[class][key_hash % THROTTLE_PARTS];
	double kept = exp(-(double)(now_us - part->at_us) / PART_AGE_US);

	part->calls = kept * part->calls + 1;
	part->accepted = kept * part->accepted + accepted;
	part->at_us = now_us;
}

/* RETURN VALUE: the probability by the calls of the caller alone. */
static double part_probability(const struct throttle_part *part, int64_t now_us)
{
	double kept = exp(-(double)(now_us - part->at_us) / PART_AGE_US);
	double excess = part->calls - THROTTLE_FACTOR * part->accepted;

	return CLAMP(kept * excess / (kept * part->calls + 1), 0, THROTTLE_MAX);
}

static struct throttle_counts sum_of(const struct throttle *throttle,
				     uint32_t class)
{
	struct throttle_counts sum = {0};

	for (size_t i = 0; i < THROTTLE_SLICES; i++) {
		sum.accepted += throttle->slices[i][class].accepted;
		sum.refused += throttle->slices[i][class].refused;
		sum.throttled += throttle->slices[i][class].throttled;
	}
	return sum;
}

static uint32_t calls_of(const struct throttle_counts *counts)
{
	return counts->accepted + counts->refused + counts->throttled;
}

/* RETURN VALUE: the probability by the calls of the class alone. */
static double own_probability(const struct throttle_counts *counts)
{
	double calls = calls_of(counts);
	double excess = calls - THROTTLE_FACTOR * counts->accepted;

	if (counts->refused == 0 || calls < THROTTLE_CALLS_MIN)
		return 0;
	return CLAMP(excess / (calls + 1), 0, THROTTLE_MAX);
}

double throttle_probability(struct throttle *throttle, enum config_class class,
			    uint64_t key_hash, int64_t now_us)
{
	const struct throttle_part *part =
		&throttle->parts[class][key_hash % THROTTLE_PARTS];
	struct throttle_counts counts;
	double probability;

	forget_old(throttle, now_us);
	counts = sum_of(throttle, class);
	probability =
		MIN(own_probability(&counts), part_probability(part, now_us));
	for (uint32_t i = (uint32_t) class + 1; i < THROTTLE_CLASSES; i++) {
		struct throttle_counts less = sum_of(throttle, i);

		if (calls_of(&less) > 0)
			probability = MIN(probability, (double)less.throttled /
							       calls_of(&less));
	}
	for (uint32_t i = 0; i < (uint32_t) class; i++) {
		struct throttle_counts more = sum_of(throttle, i);

		probability = MAX(probability, own_probability(&more));
	}
	return probability;
}

bool throttle_refuses(struct throttle *throttle, enum config_class class,
		      uint64_t key_hash, struct random_state *random,
		      int64_t now_us, double *probability)
{
	*probability = throttle_probability(throttle, class, key_hash, now_us);
	if (*probability <= 0 || random_unit(random) >= *probability)
		return false;
	current(throttle, class, now_us)->throttled++;
	note_part(throttle, class, key_hash, false, now_us);
	return true;
}

void throttle_note_accepted(struct throttle *throttle, enum config_class class,
			    uint64_t key_hash, int64_t now_us)
{
	current(throttle, class, now_us)->accepted++;
	note_part(throttle, class, key_hash, true, now_us);
}

void throttle_note_refused(struct throttle *throttle, enum config_class class,
			   uint64_t key_hash, uint32_t come_back_ms,
			   int64_t now_us)
{
	note_part(throttle, class, key_hash, false, now_us);
	current(throttle, class, now_us)->refused++;
	throttle->come_back_ms[class] = come_back_ms;
}

void throttle_note_over_share(struct throttle *throttle, enum config_class class,
			      uint64_t key_hash, int64_t now_us)
{
	note_part(throttle, class, key_hash, false, now_us);
}

uint32_t throttle_come_back_ms(const struct throttle *throttle,
			       enum config_class class)
{
	uint32_t most_ms = 0;

	if (sum_of(throttle, class).refused > 0)
		return throttle->come_back_ms[class];
	/* Throttled for the sake of a more urgent class. */
	for (uint32_t i = 0; i < (uint32_t) class; i++)
		if (sum_of(throttle, i).refused > 0)
			most_ms = MAX(most_ms, throttle->come_back_ms[i]);
	return most_ms;
}
