#include "comfreydockd/decide/quarantine.h"

#include <glib.h>
#include <string.h>

#include "quarantine_record.h"

/* Callers are told to come back after this time while a trial runs. */
#define TRIAL_RETRY_US ((int64_t)1000 * 1000)
#define FORGET_INTERVAL_US ((int64_t)1000 * 1000)

/* The last time a request was answered, found by the request's key. Another key
 * with the same slot replaces it. */
struct answered_slot {
	uint64_t key;
	int64_t answered_us;
};

struct quarantine {
	int64_t trial_delay_us;
	quarantine_handler handler;
	void *data;
	GHashTable *by_key; /* key of a record -> record */
	struct quarantine_list news; /* records to send, next one first */
	struct quarantine_list settled; /* records sent often enough */
	int64_t last_forget_us;
	struct answered_slot answered[QUARANTINE_ANSWERED_SLOTS];
};

struct quarantine *quarantine_create(int64_t trial_delay_us,
				     quarantine_handler handler, void *data)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->trial_delay_us = trial_delay_us;
	quarantine->handler = handler;
	quarantine->data = data;
	quarantine->by_key =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	TAILQ_INIT(&quarantine->news);
	TAILQ_INIT(&quarantine->settled);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_unref(quarantine->by_key);
	g_free(quarantine);
}

/* Returns the time at which the next trial of a held record may run. */
static int64_t record_trial_due_us(const struct quarantine *quarantine,
				   const struct quarantine_record *record)
{
	uint32_t doublings = MIN(record->failed_trials, QUARANTINE_TRIALS_MAX);

	return record->changed_us + (quarantine->trial_delay_us << doublings);
}

static int64_t record_forget_us(const struct quarantine *quarantine,
				const struct quarantine_record *record)
{
	int64_t from_us = quarantine_record_is_held(record) ?
				  record_trial_due_us(quarantine, record) :
				  record->changed_us;

	return MAX(from_us, record->asked_us) + QUARANTINE_FORGET_US;
}

static struct quarantine_record *find(const struct quarantine *quarantine,
				      uint64_t key)
{
	return g_hash_table_lookup(quarantine->by_key, &key);
}

static struct quarantine_list *list_of(struct quarantine *quarantine,
				       const struct quarantine_record *record)
{
	return record->is_news ? &quarantine->news : &quarantine->settled;
}

static void remove_record(struct quarantine *quarantine,
			  struct quarantine_record *record)
{
	TAILQ_REMOVE(list_of(quarantine, record), record, link);
	g_hash_table_remove(quarantine->by_key, &record->key);
}

static void report(const struct quarantine *quarantine,
		   const struct quarantine_record *record,
		   enum quarantine_change change)
{
	if (quarantine->handler)
		quarantine->handler(record, change, quarantine->data);
}

static void make_news(struct quarantine *quarantine,
		      struct quarantine_record *record)
{
	TAILQ_REMOVE(list_of(quarantine, record), record, link);
	record->times_sent = 0;
	record->is_news = true;
	TAILQ_INSERT_HEAD(&quarantine->news, record, link);
}

static void note_changed(struct quarantine *quarantine,
			 struct quarantine_record *record, int64_t changed_us)
{
	make_news(quarantine, record);
	record->changed_us = changed_us;
	if (record->is_cleared)
		report(quarantine, record, QUARANTINE_CLEARED);
	else if (quarantine_record_is_held(record))
		report(quarantine, record, QUARANTINE_HOLD_BEGAN);
	else
		report(quarantine, record, QUARANTINE_MARKED);
}

/* RETURN VALUE: a record with a higher rank is evicted first; -1: the record is
 * kept. */
static int eviction_rank(const struct quarantine_record *record)
{
	if (quarantine_record_is_held(record))
		return -1;
	return record->is_cleared ? 1 : 0;
}

/* RETURN VALUE: best, or the record of the list that is evicted before it: the
 * one with the highest rank and, among equals, the oldest one. */
static struct quarantine_record *
eviction_candidate(struct quarantine_list *list, struct quarantine_record *best)
{
	struct quarantine_record *record;

	TAILQ_FOREACH (record, list, link) {
		int rank = eviction_rank(record);
		int best_rank = best ? eviction_rank(best) : -1;

		if (rank > best_rank || (rank >= 0 && rank == best_rank &&
					 record->changed_us < best->changed_us))
			best = record;
	}
	return best;
}

/* RETURN VALUE: false if all records in the full table are held. */
static bool make_room(struct quarantine *quarantine)
{
	struct quarantine_record *record;

	if (g_hash_table_size(quarantine->by_key) < QUARANTINE_RECORDS_MAX)
		return true;
	record = eviction_candidate(&quarantine->news, NULL);
	record = eviction_candidate(&quarantine->settled, record);
	if (!record)
		return false;
	report(quarantine, record, QUARANTINE_FORGOTTEN);
	remove_record(quarantine, record);
	return true;
}

/* RETURN VALUE: NULL if there is no room. */
static struct quarantine_record *add_record(struct quarantine *quarantine,
					    uint64_t key)
{
	struct quarantine_record *record;

	if (!make_room(quarantine))
		return NULL;
	record = g_new0(struct quarantine_record, 1);
	record->key = key;
	g_hash_table_insert(quarantine->by_key, &record->key, record);
	TAILQ_INSERT_TAIL(&quarantine->settled, record, link);
	return record;
}

static bool was_answered(const struct quarantine *quarantine, uint64_t key,
			 int64_t now_us)
{
	const struct answered_slot *slot =
		&quarantine->answered[key % QUARANTINE_ANSWERED_SLOTS];

	return slot->key == key && slot->answered_us &&
	       now_us - slot->answered_us <= QUARANTINE_ANSWERED_US;
}

bool quarantine_note_crash(struct quarantine *quarantine, uint64_t key,
			   uint64_t crash_id, int64_t now_us)
{
	struct quarantine_record *record;
	bool is_changed = false;

	if (was_answered(quarantine, key, now_us))
		return false;
	record = find(quarantine, key);
	if (!record)
		record = add_record(quarantine, key);
	if (!record)
		return false;
	if (record->is_cleared)
		record_begin_round(record);
	record->asked_us = now_us;
	/* The crashes of a held record determine the hosts at which its trials
	 * run (see record_trial_host()), so a crash that is noted later,
	 * in a trial or not, must not change them. */
	if (!quarantine_record_is_held(record))
		is_changed = record_add_crash(record, crash_id);
	if (record->is_on_trial) {
		record->is_on_trial = false;
		record->failed_trials++;
		is_changed = true;
	}
	if (is_changed)
		note_changed(quarantine, record, now_us);
	return true;
}

static void clear_record(struct quarantine *quarantine,
			 struct quarantine_record *record, int64_t now_us)
{
	record->is_cleared = true;
	record->is_on_trial = false;
	note_changed(quarantine, record, now_us);
}

void quarantine_note_answer(struct quarantine *quarantine, uint64_t key,
			    int64_t now_us)
{
	struct answered_slot *slot =
		&quarantine->answered[key % QUARANTINE_ANSWERED_SLOTS];
	struct quarantine_record *record = find(quarantine, key);

	slot->key = key;
	slot->answered_us = now_us;
	if (record && !record->is_cleared)
		clear_record(quarantine, record, now_us);
}

bool quarantine_clear(struct quarantine *quarantine, uint64_t key, int64_t now_us)
{
	struct quarantine_record *record = find(quarantine, key);

	if (!record || record->is_cleared)
		return false;
	clear_record(quarantine, record, now_us);
	return true;
}

static void note_asked(struct quarantine *quarantine,
		       struct quarantine_record *record, int64_t asked_us)
{
	if (asked_us - record->asked_us < QUARANTINE_ASKED_INTERVAL_US)
		return;
	record->asked_us = asked_us;
	make_news(quarantine, record);
}

struct quarantine_decision quarantine_judge(struct quarantine *quarantine,
					    uint64_t key, int64_t now_us)
{
	struct quarantine_record *record = find(quarantine, key);
	struct quarantine_decision decision = {.verdict = QUARANTINE_FREE};

	if (!record || !quarantine_record_is_held(record) ||
	    quarantine->trial_delay_us == 0)
		return decision;
	note_asked(quarantine, record, now_us);
	decision.verdict = QUARANTINE_HELD;
	decision.left_us = record_trial_due_us(quarantine, record) - now_us;
	decision.trial_host = record_trial_host(record);
	if (record->failed_trials >= QUARANTINE_TRIALS_MAX)
		decision.left_us = QUARANTINE_FORGET_US;
	else if (record->is_on_trial)
		decision.left_us = TRIAL_RETRY_US;
	else if (decision.left_us <= 0)
		decision.verdict = QUARANTINE_TRIAL;
	return decision;
}

void quarantine_begin_trial(struct quarantine *quarantine, uint64_t key)
{
	struct quarantine_record *record = find(quarantine, key);

	if (record)
		record->is_on_trial = true;
}

void quarantine_end_trial(struct quarantine *quarantine, uint64_t key)
{
	struct quarantine_record *record = find(quarantine, key);

	if (record)
		record->is_on_trial = false;
}

static void forget_old(struct quarantine *quarantine,
		       struct quarantine_list *list, int64_t now_us)
{
	struct quarantine_record *record = TAILQ_FIRST(list);

	while (record) {
		struct quarantine_record *next = TAILQ_NEXT(record, link);

		if (now_us > record_forget_us(quarantine, record)) {
			report(quarantine, record, QUARANTINE_FORGOTTEN);
			remove_record(quarantine, record);
		}
		record = next;
	}
}

void quarantine_tick(struct quarantine *quarantine, int64_t now_us)
{
	if (now_us - quarantine->last_forget_us < FORGET_INTERVAL_US)
		return;
	quarantine->last_forget_us = now_us;
	forget_old(quarantine, &quarantine->news, now_us);
	forget_old(quarantine, &quarantine->settled, now_us);
}

void quarantine_merge(struct quarantine *quarantine,
		      const struct quarantine_record *received, int64_t now_us)
{
	struct quarantine_record *record = find(quarantine, received->key);

	if (now_us > record_forget_us(quarantine, received) ||
	    (record && received->round < record->round))
		return;
	if (!record) {
		record = add_record(quarantine, received->key);
		if (!record)
			return;
		record_replace(record, received);
	} else if (received->round > record->round) {
		record_replace(record, received);
	} else if (!record_merge(record, received)) {
		note_asked(quarantine, record, received->asked_us);
		return;
	}
	note_changed(quarantine, record, record->changed_us);
	if (!record->is_cleared && was_answered(quarantine, record->key, now_us))
		clear_record(quarantine, record, now_us);
}

bool quarantine_has_news(const struct quarantine *quarantine)
{
	return !TAILQ_EMPTY(&quarantine->news);
}

bool quarantine_has_unsent(const struct quarantine *quarantine)
{
	const struct quarantine_record *record = TAILQ_FIRST(&quarantine->news);

	return record && record->times_sent == 0;
}

/* Copies records with unsent changes to out and counts them as sent. Records
 * that were sent times_max times move to the settled ones. */
static size_t take_news(struct quarantine *quarantine, unsigned int times_max,
			struct quarantine_record *out, size_t size)
{
	struct quarantine_list sent = TAILQ_HEAD_INITIALIZER(sent);
	struct quarantine_record *record;
	size_t count = 0;

	while (count < size && (record = TAILQ_FIRST(&quarantine->news))) {
		TAILQ_REMOVE(&quarantine->news, record, link);
		out[count++] = *record;
		record->is_news = ++record->times_sent < times_max;
		if (record->is_news)
			TAILQ_INSERT_TAIL(&sent, record, link);
		else
			TAILQ_INSERT_TAIL(&quarantine->settled, record, link);
	}
	TAILQ_CONCAT(&quarantine->news, &sent, link);
	return count;
}

size_t quarantine_fill_packet(struct quarantine *quarantine,
			      unsigned int times_max,
			      struct quarantine_record *out, size_t size)
{
	size_t count = take_news(quarantine, times_max, out, size);
	size_t most = MIN(size, count + QUARANTINE_RESENT_MAX);
	struct quarantine_record *first = TAILQ_FIRST(&quarantine->settled);
	struct quarantine_record *record = first;

	while (record && count < most) {
		TAILQ_REMOVE(&quarantine->settled, record, link);
		TAILQ_INSERT_TAIL(&quarantine->settled, record, link);
		out[count++] = *record;
		record = TAILQ_FIRST(&quarantine->settled);
		if (record == first)
			break;
	}
	return count;
}

static void
foreach_record(const struct quarantine_list *list,
	       void (*handle_record)(const struct quarantine_record *record,
				     void *data),
	       void *data)
{
	const struct quarantine_record *record;

	TAILQ_FOREACH (record, list, link)
		handle_record(record, data);
}

void quarantine_foreach(const struct quarantine *quarantine,
			void (*handle_record)(const struct quarantine_record *record,
					      void *data),
			void *data)
{
	foreach_record(&quarantine->news, handle_record, data);
	foreach_record(&quarantine->settled, handle_record, data);
}

static void count_held(const struct quarantine_record *record, void *data)
{
	unsigned int *count = data;

	*count += quarantine_record_is_held(record);
}

unsigned int quarantine_held_count(const struct quarantine *quarantine)
{
	unsigned int count = 0;

	quarantine_foreach(quarantine, count_held, &count);
	return count;
}
