#include "comfreydockd/upstream/gate.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/timer.h"

/* An upstream may state another limit in each answer. The entries are told this
 * often at most; answers and refusals bring them the rest. */
#define LIMIT_NOTIFY_INTERVAL_US US_PER_S

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	owner_schedule_dispatch(timer->data);
}

void owner_init_start_rate(struct owner *owner)
{
	int64_t now = clock_mono_us();

	cold_start_init(&owner->cold, now);
	advertised_limit_init(&owner->advertised, now);
	owner->limit_notified_us = now - LIMIT_NOTIFY_INTERVAL_US;
	ev_init(&owner->start_rate_timer, handle_timer);
	owner->start_rate_timer.data = owner;
}

void owner_finish_start_rate(struct owner *owner)
{
	ev_timer_stop(owner->daemon->loop, &owner->start_rate_timer);
	cold_start_finish(&owner->cold);
	advertised_limit_finish(&owner->advertised);
}

static void log_limit(const struct owner *owner, const char *source)
{
	const struct rate_window *window = &owner->advertised.window;
	char per_s[G_ASCII_DTOSTR_BUF_SIZE] = "";

	if (window->limit)
		g_ascii_dtostr(per_s, sizeof(per_s), owner->advertised.per_s);
	log_event(EV_OWNER_LIMIT, LOG_STR("per_s", per_s),
		  LOG_INT("limit", window->limit),
		  LOG_INT("window_ms", window->window_us / US_PER_MS),
		  LOG_STR("source", source), LOG_INT("running", owner->running),
		  LOG_INT("queued", queue_length(&owner->queue)));
}

/* Attempts that wait may start sooner or later now. */
static void handle_changed_limit(struct owner *owner, const char *source)
{
	int64_t now = clock_mono_us();

	log_limit(owner, source);
	owner_schedule_dispatch(owner);
	if (now - owner->limit_notified_us < LIMIT_NOTIFY_INTERVAL_US)
		return;
	owner->limit_notified_us = now;
	gate_notify_entries(owner);
}

void owner_note_limit(struct owner *owner, const char *text, const char *source)
{
	double per_s;

	if (!answer_parse_limit(text, &per_s)) {
		if (!owner->limit_is_unreadable)
			log_event(EV_OWNER_LIMIT_UNREADABLE,
				  LOG_STR("text", text),
				  LOG_STR("source", source));
		owner->limit_is_unreadable = true;
		return;
	}
	owner->limit_is_unreadable = false;
	if (advertised_limit_note(&owner->advertised, per_s))
		handle_changed_limit(owner, source);
}

void owner_note_no_limit(struct owner *owner)
{
	owner->limit_is_unreadable = false;
	if (advertised_limit_end(&owner->advertised))
		handle_changed_limit(owner, "answer");
}

void owner_reset_limit(struct owner *owner, bool unknown)
{
	bool applied = advertised_limit_applies(&owner->advertised);

	advertised_limit_reset(&owner->advertised, unknown);
	if (applied)
		handle_changed_limit(owner, "new-start");
}

void owner_note_start(struct owner *owner, struct owner_attempt *attempt)
{
	cold_start_begin(&owner->cold);
	advertised_limit_note_start(&owner->advertised, clock_mono_us());
	attempt->is_on_way = true;
}

void owner_note_arrived(struct owner *owner, struct owner_attempt *attempt)
{
	if (!attempt->is_on_way)
		return;
	attempt->is_on_way = false;
	if (run_has_begun(attempt->run))
		cold_start_note_arrived(&owner->cold, clock_mono_us());
	else
		cold_start_note_unsent(&owner->cold);
}

static int64_t wait_us(const struct owner *owner, uint32_t ahead)
{
	int64_t now = clock_mono_us();

	return MAX(cold_start_wait_us(&owner->cold, ahead, now),
		   advertised_limit_wait_us(&owner->advertised, ahead, now));
}

int64_t owner_start_wait_us(const struct owner *owner)
{
	return wait_us(owner, queue_length(&owner->queue));
}

uint32_t owner_rate_slots(const struct owner *owner, uint32_t slots)
{
	int64_t service_us = speed_us(&owner->speed);

	slots = cold_start_slots(&owner->cold, slots, service_us,
				 clock_mono_us());
	return advertised_limit_slots(&owner->advertised, slots, service_us);
}

bool owner_rate_allows_start(struct owner *owner)
{
	int64_t next_us = wait_us(owner, 0);

	ev_timer_stop(owner->daemon->loop, &owner->start_rate_timer);
	if (next_us == 0)
		return true;
	timer_restart_us(owner->daemon->loop, &owner->start_rate_timer, next_us);
	return false;
}
