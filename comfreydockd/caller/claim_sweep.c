#include "comfreydockd/caller/claim_sweep.h"

#include <glib.h>

#include "comfreydockd/caller/claim.h"
#include "comfreydockd/platform/platform.h"
#include "common/counters.h"
#include "common/id.h"

struct claim_sweep {
	struct ev_loop *loop;
	struct platform *platform;
	bool (*is_due)(void *data);
	void *data;
	ev_timer timer;
	char *after; /* the last key seen; NULL: begin anew */
	size_t deleting;
	bool is_busy;
};

static void run_in(struct claim_sweep *sweep, double seconds)
{
	double jitter = 0.5 + (double)(id_random_u64() % 1000) / 1000.0;

	sweep->is_busy = false;
	ev_timer_stop(sweep->loop, &sweep->timer);
	ev_timer_set(&sweep->timer, seconds * jitter, 0.0);
	ev_timer_start(sweep->loop, &sweep->timer);
}

static void handle_deleted(const struct platform_answer *answer, void *data)
{
	struct claim_sweep *sweep = data;
	bool many = sweep->deleting > CLAIM_SWEEP_ROWS / 2;

	if (answer->status == PLATFORM_OK)
		counters.claims_swept += sweep->deleting;
	run_in(sweep, many ? CLAIM_SWEEP_SOON_S : CLAIM_SWEEP_S);
}

static void delete_expired(struct claim_sweep *sweep,
			   const struct platform_answer *page)
{
	struct platform_op ops[CLAIM_SWEEP_ROWS];
	char id[ID_TEXT_SIZE];
	size_t count = 0;

	for (size_t i = 0; i < page->row_count && count < CLAIM_SWEEP_ROWS; i++) {
		const struct platform_row *row = &page->rows[i];

		if (!claim_row_is_expired(row))
			continue;
		ops[count++] = (struct platform_op){
			.kind = PLATFORM_DELETE,
			.key = row->key,
			.if_version = (int64_t)row->version,
		};
	}
	sweep->deleting = count;
	if (!count) {
		run_in(sweep, CLAIM_SWEEP_S);
		return;
	}
	id_random(id);
	platform_transact(sweep->platform, id, ops, count, handle_deleted, sweep);
}

static void handle_page(const struct platform_answer *page, void *data)
{
	struct claim_sweep *sweep = data;

	g_clear_pointer(&sweep->after, g_free);
	if (page->status != PLATFORM_OK) {
		run_in(sweep, CLAIM_SWEEP_S);
		return;
	}
	if (page->row_count >= CLAIM_SWEEP_ROWS)
		sweep->after = g_strdup(page->rows[page->row_count - 1].key);
	delete_expired(sweep, page);
}

void claim_sweep_run(struct claim_sweep *sweep)
{
	if (sweep->is_busy)
		return;
	sweep->is_busy = true;
	platform_list(sweep->platform, CLAIM_PREFIX, sweep->after,
		      CLAIM_SWEEP_ROWS, handle_page, sweep);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct claim_sweep *sweep = timer->data;

	(void)loop;
	(void)events;
	if (sweep->is_due(sweep->data))
		claim_sweep_run(sweep);
	else
		run_in(sweep, CLAIM_SWEEP_S);
}

struct claim_sweep *claim_sweep_create(struct ev_loop *loop,
				       struct platform *platform,
				       bool (*is_due)(void *data), void *data)
{
	struct claim_sweep *sweep = g_new0(struct claim_sweep, 1);

	sweep->loop = loop;
	sweep->platform = platform;
	sweep->is_due = is_due;
	sweep->data = data;
	ev_init(&sweep->timer, handle_timer);
	sweep->timer.data = sweep;
	run_in(sweep, CLAIM_SWEEP_S);
	return sweep;
}

void claim_sweep_destroy(struct claim_sweep *sweep)
{
	if (!sweep)
		return;
	ev_timer_stop(sweep->loop, &sweep->timer);
	g_free(sweep->after);
	g_free(sweep);
}
