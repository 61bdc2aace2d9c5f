/*
 * NAME
 *	quarantine - keep requests that crash upstreams from the next one
 *
 * DESCRIPTION
 *	A table of requests, by the key of their content, that ran as an
 *	upstream crashed. Each crash marks those that ran there; one that has
 *	QUARANTINE_CRASHES marks, of as many crashes, is held: it is refused
 *	before it reaches an upstream. An answer of an upstream, wherever, that
 *	is no failure (5xx) clears a request of its marks, and one that was
 *	answered within QUARANTINE_ANSWERED_US is not marked at all.
 *
 *	A request is held for QUARANTINE_TRIAL_US, or for what the settings say.
 *	Then one run is allowed, at one host only, which the marks name: an
 *	answer clears the request, another crash holds it for twice the time,
 *	and the next host of the marks tries. So one that was there by chance,
 *	or whose upstreams were mended, is served again, at the price of one
 *	upstream where it was neither. After QUARANTINE_TRIALS_MAX crashes on
 *	trial only an operator clears it. What is refused stays known for as
 *	long as it comes.
 *
 *	Daemons tell each other of their records, which merge in any order: of
 *	two rounds the later holds, in one round cleared goes before marked, and
 *	marks add up. The table never holds more than QUARANTINE_RECORDS_MAX;
 *	the oldest that are not held make place.
 *
 * LOAD PATTERN
 *	One request that ends each upstream that begins to run it, and whose
 *	caller sends it again, anywhere.
 *
 * WITHOUT IT
 *	It takes down one upstream after another, and again as these return. A
 *	whole service answers nobody while one caller repeats one request.
 *
 * GROUNDS
 *	A crash names all that ran beside the cause. Popular requests are among
 *	these each time, and are told apart by the answers that they get
 *	elsewhere; others seldom meet three crashes. A host that loses its power
 *	takes its daemon with it and marks nothing.
 *
 * UNITS
 *	Monotonic microseconds.
 *
 * SOURCE
 *	"Site Reliability Engineering", chapter 22 (queries of death).
 */
#ifndef COMFREYDOCKD_DECIDE_QUARANTINE_H
#define COMFREYDOCKD_DECIDE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#define QUARANTINE_CRASHES 3
#define QUARANTINE_RECORDS_MAX 256
#define QUARANTINE_ANSWERED_SLOTS 4096
#define QUARANTINE_ANSWERED_US ((int64_t)60 * 1000 * 1000)
#define QUARANTINE_TRIAL_US ((int64_t)60 * 1000 * 1000)
#define QUARANTINE_TRIALS_MAX 3 /* that fail */
/* From the last change, from when a trial was due, or since it last came. */
#define QUARANTINE_FORGET_US ((int64_t)6 * 3600 * 1000 * 1000)
/* How exactly it is told when it last came. */
#define QUARANTINE_ASKED_EVERY_US (QUARANTINE_FORGET_US / 8)
/* Told again to whoever may have missed it, beside the news of a packet. */
#define QUARANTINE_RESENT_MAX 2

struct quarantine_record {
	TAILQ_ENTRY(quarantine_record) link;
	uint64_t key;
	uint32_t round; /* grows with each first mark after it was cleared */
	bool is_cleared;
	uint32_t crash_count;
	/* Ascending; the upper half of each is the hash of its host. */
	uint64_t crashes[QUARANTINE_CRASHES];
	uint32_t failed_trials;
	int64_t changed_us;
	int64_t asked_us; /* when it last came, anywhere; not exact */
	unsigned int told; /* times, since it changed */
	bool is_news;
	bool is_on_trial; /* here */
};

TAILQ_HEAD(quarantine_list, quarantine_record);

enum quarantine_change {
	QUARANTINE_MARKED,
	QUARANTINE_HOLDS, /* from now on, or anew after a trial */
	QUARANTINE_CLEARED,
	QUARANTINE_FORGOTTEN,
};

enum quarantine_verdict {
	QUARANTINE_FREE,
	QUARANTINE_HELD,
	QUARANTINE_TRIAL, /* may run at one host, and nowhere else */
};

struct quarantine_decision {
	enum quarantine_verdict verdict;
	int64_t left_us; /* QUARANTINE_HELD: until a trial is allowed */
	uint32_t trial_host; /* as in the names of its crashes */
};

typedef void (*quarantine_handler)(const struct quarantine_record *record,
				   enum quarantine_change change, void *data);

/* RETURN VALUE: whether it has enough marks to be refused. */
bool quarantine_record_is_held(const struct quarantine_record *record);

/* RETURN VALUE: false where what another wrote can't be a record. */
bool quarantine_record_is_valid(const struct quarantine_record *record);

/* RETURN VALUE: whether one of its crashes was there; host: a member_host_hash(). */
bool quarantine_record_names(const struct quarantine_record *record,
			     uint32_t host);

struct quarantine;

/* trial_us: from when a request is held to its first trial; 0: none is ever held.
 * The handler may be NULL. */
struct quarantine *quarantine_create(int64_t trial_us,
				     quarantine_handler handler, void *data);
void quarantine_destroy(struct quarantine *quarantine);

/* host: its member_host_hash(). RETURN VALUE: a name for one crash of the upstream
 * beside it. */
uint64_t quarantine_crash_id(uint32_t host, uint64_t random);

/*
 * The request ran as its upstream crashed.
 *
 * RETURN VALUE: false where it is spared, as it was answered not long ago.
 */
bool quarantine_note_crash(struct quarantine *quarantine, uint64_t key,
			   uint64_t crash, int64_t now_us);

/* An upstream gave a whole answer to the request, below 500. */
void quarantine_note_answer(struct quarantine *quarantine, uint64_t key,
			    int64_t now_us);

/* Also notes that a held request still comes. */
struct quarantine_decision quarantine_judge(struct quarantine *quarantine,
					    uint64_t key, int64_t now_us);

/* A run that the verdict allowed as a trial begins here, and ends. */
void quarantine_begin_trial(struct quarantine *quarantine, uint64_t key);
void quarantine_end_trial(struct quarantine *quarantine, uint64_t key);

/* Forgets what is old. To be called now and then. */
void quarantine_tick(struct quarantine *quarantine, int64_t now_us);

/* Takes what another daemon tells; its times are by this host's clock. */
void quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_record *heard, int64_t now_us);

/* Something to tell; and something that was told to nobody yet. */
bool quarantine_has_news(const struct quarantine *quarantine);
bool quarantine_has_unsent(const struct quarantine *quarantine);

/* RETURN VALUE: the number of records to tell with a packet, copied to out;
 * each change is told times_max times. */
size_t quarantine_tell(struct quarantine *quarantine, unsigned int times_max,
		       struct quarantine_record *out, size_t size);

/* RETURN VALUE: false where there is no mark to clear. */
bool quarantine_clear(struct quarantine *quarantine, uint64_t key,
		      int64_t now_us);

/* Calls back for each record. */
void quarantine_list(const struct quarantine *quarantine,
		     void (*handle_record)(const struct quarantine_record *record,
					   void *data),
		     void *data);

/* RETURN VALUE: how many are held. */
unsigned int quarantine_held(const struct quarantine *quarantine);

#endif
