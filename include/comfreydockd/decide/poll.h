/*
 * NAME
 *	poll - decides which daemons ask the platform's store for changes, and when
 *
 * DESCRIPTION
 *	A watch that the store or the network has lost can't be told from one
 *	without a change. So some daemons also ask for changes now and then,
 *	beside their watches. Each daemon that gets an answer confirms by gossip
 *	that nothing newer exists; the confirmation carries its age.
 *
 *	All daemons order each other by rendezvous hashing. The position of a
 *	daemon is the number of live ones before it. The first two poll in each
 *	interval, whatever they hear, so that a change is found within an interval
 *	though one of them is gone and not missed yet. A later one polls once the
 *	latest confirmation that it knows of, and its own latest poll, are older
 *	than position + 1 intervals: it takes over if those before it can't reach
 *	the store, or can't reach this daemon.
 *
 * LOAD PATTERN
 *	The store, or the way to it, is silent for a moment, and all open watches
 *	are lost without an error.
 *
 * WITHOUT IT
 *	No daemon hears of the next changes until the watches time out, and all
 *	of them answer 404 for routes that were added.
 *
 * GROUNDS
 *	Without any gossip, or with gossip that is slower than POLLERS_MAX
 *	intervals, the daemon at each position polls at its own rate: in total
 *	1 + 1 + 1/3 + ... + 1/POLLERS_MAX, or 3.9 calls per interval in the whole
 *	installation, whatever its size.
 *
 * UNITS
 *	Microseconds, of any one clock that goes on during a suspension.
 */
#ifndef COMFREYDOCKD_DECIDE_POLL_H
#define COMFREYDOCKD_DECIDE_POLL_H

#include <stdint.h>

#define POLL_INTERVAL_US ((int64_t)1000 * 1000)
/* Daemons before this position poll whatever they hear from others. */
#define POLLERS_INDEPENDENT 2
/* Daemons from this position on don't poll. */
#define POLLERS_MAX 16

/*
 * confirmed_us is the time at which the store last confirmed to any daemon, as
 * far as this one knows, that nothing newer exists; sent_us is the time of this
 * daemon's own latest poll, and 0 if there was none.
 *
 * RETURN VALUE
 *	the time at which the daemon polls; INT64_MAX: never.
 */
int64_t poll_due_us(unsigned int position, int64_t confirmed_us, int64_t sent_us);

#endif
