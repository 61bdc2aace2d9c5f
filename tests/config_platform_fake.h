/*
 * NAME
 *	config_platform_fake - rows and objects in memory, with faults
 *
 * DESCRIPTION
 *	The test's random numbers decide which fault a call meets. Time advances
 *	only while fake_platform_run() goes from one call to the next.
 */
#ifndef TESTS_CONFIG_PLATFORM_FAKE_H
#define TESTS_CONFIG_PLATFORM_FAKE_H

#include <glib.h>

#include "comfreydockd/config/apply.h"

/* Probabilities of faults, in percent of the calls. */
struct fake_faults {
	int unavailable;
	int lost; /* the answer is lost; half of the writes take effect */
	int late; /* the answer is lost; a write takes effect up to 5 s later */
	int slow_ms; /* largest additional delay of a call */
};

struct fake_row {
	uint64_t version;
	char *value;
};

struct fake_platform {
	GHashTable *rows;
	GHashTable *objects;
	GQueue tasks;
	struct fake_faults faults;
	unsigned int transactions;
};

extern const struct config_platform_ops fake_platform_ops;

void fake_platform_init(struct fake_platform *p);
void fake_platform_finish(struct fake_platform *p);

/* Runs until no call and no delayed effect is left. */
void fake_platform_run(struct fake_platform *p);

#endif
