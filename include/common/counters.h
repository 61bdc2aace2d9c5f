/*
 * NAME
 *	counters - counters of this process
 *
 * DESCRIPTION
 *	One struct of 64-bit counters, whose fields are listed in counters.def.
 *	A module increments one with counters.<field>++. The process has one
 *	event loop on one thread, so no locking is needed.
 */
#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <glib.h>
#include <stdint.h>

struct counters {
#define COUNTER(field, help) uint64_t field;
#include "common/counters.def"
#undef COUNTER
};

extern struct counters counters;

/* Appends all counters in the Prometheus text format. */
void counters_append_text(GString *text);

#endif
