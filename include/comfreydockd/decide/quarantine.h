/*
 * NAME
 *	quarantine - hold requests that crash upstreams
 *
 * DESCRIPTION
 *	A table of requests that were running when an upstream crashed, by the
 *	key of their content. Each crash marks the requests that ran on the
 *	upstream. A request with QUARANTINE_CRASHES marks from as many crashes
 *	is held: it is refused before it reaches an upstream. An answer below
 *	500 from any upstream clears the marks of a request (a 5xx does not),
 *	and a request that was answered within the last QUARANTINE_ANSWERED_US
 *	is not marked at all.
 *
 *	A request is held for QUARANTINE_TRIAL_US or for the configured time.
 *	Then one run is allowed as a trial, at a single host, which the marks
 *	determine. An answer clears the request; another crash holds it for
 *	twice the time, and the next host of the marks runs the next trial. A
 *	request that was marked by chance, or whose upstreams were repaired, is
 *	thus served again, at the cost of one upstream if neither was the case.
 *	After QUARANTINE_TRIALS_MAX trials that crashed, only an operator clears
 *	the request. A refused request stays known for as long as it keeps
 *	coming.
 *
 *	Daemons exchange their records, which can be merged in any order: the
 *	later of two rounds wins, within one round cleared takes precedence over
 *	marked, and marks add up. The table never holds more than
 *	QUARANTINE_RECORDS_MAX records; the oldest ones that are not held are
 *	evicted.
 *
 * LOAD PATTERN
 *	A request that crashes each upstream that starts it, and whose caller
 *	sends it again, to any host.
 *
 * WITHOUT IT
 *	The request takes down one upstream after another, and again when they
 *	return. A whole service answers nobody while one caller repeats one
 *	request.
 *
 * GROUNDS
 *	A crash marks all requests that ran together with the cause. Popular
 *	requests are among these each time, and the answers that they get
 *	elsewhere tell them apart; other requests rarely meet three crashes. A
 *	host that loses its power takes its daemon down with it and marks
 *	nothing.
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
#define QUARANTINE_TRIALS_MAX 3 /* failed ones */
/* Time since the last change, since a trial was due, or since the request last
 * came, whichever is latest. */
#define QUARANTINE_FORGET_US ((int64_t)6 * 3600 * 1000 * 1000)
/* Resolution at which asked_us is exchanged. */
#define QUARANTINE_ASKED_INTERVAL_US (QUARANTINE_FORGET_US / 8)
/* Settled records that are sent again with each packet, for daemons that may
 * have missed them. */
#define QUARANTINE_RESENT_MAX 2

struct quarantine_record {
	TAILQ_ENTRY(quarantine_record) link;
	uint64_t key; /* hash of the request's content, see content.h */
	uint32_t round; /* incremented with the first mark after a clear */
	bool is_cleared;
	uint32_t crash_count;
	/* Ascending ids; the upper half of each is the hash of the host. */
	uint64_t crashes[QUARANTINE_CRASHES];
	uint32_t failed_trials;
	int64_t changed_us;
	int64_t asked_us; /* last request at any daemon; approximate */
	unsigned int times_sent; /* since the last change */
	bool is_news;
	bool is_on_trial; /* a trial runs on this host */
};

TAILQ_HEAD(quarantine_list, quarantine_record);

enum quarantine_change {
	QUARANTINE_MARKED,
	QUARANTINE_HOLD_BEGAN, /* newly held, or held again after a trial */
	QUARANTINE_CLEARED,
	QUARANTINE_FORGOTTEN,
};

enum quarantine_verdict {
	QUARANTINE_FREE,
	QUARANTINE_HELD,
	QUARANTINE_TRIAL, /* may run at one host only */
};

struct quarantine_decision {
	enum quarantine_verdict verdict;
	int64_t left_us; /* QUARANTINE_HELD: time until a trial is allowed */
	uint32_t trial_host; /* host hash, as in the crash ids */
};

typedef void (*quarantine_handler)(const struct quarantine_record *record,
				   enum quarantine_change change, void *data);

/* RETURN VALUE: true if the request has enough marks to be refused. */
bool quarantine_record_is_held(const struct quarantine_record *record);

/* RETURN VALUE: false if a record from another daemon is malformed. */
bool quarantine_record_is_valid(const struct quarantine_record *record);

/* host: a member_host_hash(). RETURN VALUE: true if one of the crashes of the
 * record happened at that host. */
bool quarantine_record_names(const struct quarantine_record *record,
			     uint32_t host);

struct quarantine;

/* trial_delay_us: how long a request is held until its first trial; 0: no
 * request is ever held. The handler may be NULL. */
struct quarantine *quarantine_create(int64_t trial_delay_us,
				     quarantine_handler handler, void *data);
void quarantine_destroy(struct quarantine *quarantine);

/* host: its member_host_hash(). RETURN VALUE: an id for one crash of that
 * host's upstream. */
uint64_t quarantine_crash_id(uint32_t host, uint64_t random);

/*
 * Notes that the request was running when its upstream crashed.
 *
 * RETURN VALUE: false if the request is not marked because it was answered
 * recently or because the table is full of held requests.
 */
bool quarantine_note_crash(struct quarantine *quarantine, uint64_t key,
			   uint64_t crash_id, int64_t now_us);

/* Notes that an upstream gave a complete answer below 500 to the request. */
void quarantine_note_answer(struct quarantine *quarantine, uint64_t key,
			    int64_t now_us);

/* Also notes that a held request still comes. */
struct quarantine_decision quarantine_judge(struct quarantine *quarantine,
					    uint64_t key, int64_t now_us);

/* Begin and end a run that the verdict allowed as a trial. */
void quarantine_begin_trial(struct quarantine *quarantine, uint64_t key);
void quarantine_end_trial(struct quarantine *quarantine, uint64_t key);

/* Forgets records once QUARANTINE_FORGET_US has passed for them. Must be called
 * regularly. */
void quarantine_tick(struct quarantine *quarantine, int64_t now_us);

/* Merges a record from another daemon. Its times must be converted to this
 * host's clock. */
void quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_record *received, int64_t now_us);

/* RETURN VALUE: true if a changed record has not been sent often enough yet. */
bool quarantine_has_news(const struct quarantine *quarantine);

/* RETURN VALUE: true if a changed record has not been sent at all yet. */
bool quarantine_has_unsent(const struct quarantine *quarantine);

/*
 * Copies the records to send with a packet to out and counts them as sent. Each
 * change is sent times_max times. After the changes come up to
 * QUARANTINE_RESENT_MAX settled records, in turn, if size allows.
 *
 * RETURN VALUE: their number.
 */
size_t quarantine_fill_packet(struct quarantine *quarantine,
			      unsigned int times_max,
			      struct quarantine_record *out, size_t size);

/* RETURN VALUE: false if there is no mark to clear. */
bool quarantine_clear(struct quarantine *quarantine, uint64_t key,
		      int64_t now_us);

/* Calls handle_record for each record. */
void quarantine_foreach(const struct quarantine *quarantine,
			void (*handle_record)(const struct quarantine_record *record,
					      void *data),
			void *data);

/* RETURN VALUE: the number of held requests. */
unsigned int quarantine_held_count(const struct quarantine *quarantine);

#endif
