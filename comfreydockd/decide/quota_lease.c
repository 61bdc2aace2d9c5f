#include "comfreydockd/decide/quota_lease.h"

#include <stddef.h>

/* Adds tokens to the batch with this expiry, or to a new one in place of the
 * empty batch or else of the one that expires first. */
static void batch_add(struct quota_lease *lease, uint32_t count,
		      int64_t expires_us, bool is_returned)
{
	struct quota_batch *place = &lease->held[0];

	for (int i = 0; i < QUOTA_LEASE_BATCHES; i++) {
		struct quota_batch *batch = &lease->held[i];

		if (batch->expires_us == expires_us &&
		    batch->is_returned == is_returned) {
			batch->count += count;
			return;
		}
		if (place->count &&
		    (!batch->count || batch->expires_us < place->expires_us))
			place = batch;
	}
	*place = (struct quota_batch){expires_us, count, is_returned};
}

/* RETURN VALUE: the batch that expires first after now_us, or NULL. */
static struct quota_batch *first_valid(struct quota_lease *lease, int64_t now_us)
{
	struct quota_batch *first = NULL;

	for (int i = 0; i < QUOTA_LEASE_BATCHES; i++) {
		struct quota_batch *batch = &lease->held[i];

		if (batch->expires_us <= now_us)
			batch->count = 0;
		if (batch->count &&
		    (!first || batch->expires_us < first->expires_us))
			first = batch;
	}
	return first;
}

void quota_lease_note_call(struct quota_lease *lease, int64_t now_us)
{
	quota_meter_add(&lease->demand, 1, now_us);
}

bool quota_lease_take(struct quota_lease *lease, int64_t *return_until_us,
		      int64_t now_us)
{
	struct quota_batch *batch = first_valid(lease, now_us);

	if (!batch)
		return false;
	batch->count--;
	*return_until_us = batch->is_returned ?
				   0 :
				   batch->expires_us + QUOTA_LEASE_TOKEN_US;
	return true;
}

uint32_t quota_lease_held(const struct quota_lease *lease, int64_t now_us)
{
	uint32_t held = 0;

	for (int i = 0; i < QUOTA_LEASE_BATCHES; i++) {
		if (lease->held[i].expires_us > now_us)
			held += lease->held[i].count;
	}
	return held;
}

uint32_t quota_lease_wanted(struct quota_lease *lease, uint32_t waiting,
			    int64_t now_us)
{
	uint32_t ahead = (uint32_t)(quota_meter_sum(&lease->demand, now_us) *
				    QUOTA_LEASE_AHEAD_US /
				    (QUOTA_METER_SLOTS * QUOTA_METER_SLOT_US));
	uint32_t held = quota_lease_held(lease, now_us);

	return waiting + ahead > held ? waiting + ahead - held : 0;
}

void quota_lease_add(struct quota_lease *lease, uint32_t granted, int64_t asked_us)
{
	if (granted)
		batch_add(lease, granted, asked_us + QUOTA_LEASE_TOKEN_US, false);
}

bool quota_lease_return(struct quota_lease *lease, int64_t until_us,
			int64_t now_us)
{
	if (until_us <= now_us)
		return false;
	batch_add(lease, 1, until_us, true);
	return true;
}
