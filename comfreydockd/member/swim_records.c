#include <string.h>

#include "swim_internal.h"

void swim_publish_self(struct swim *swim, struct member *record, uint64_t above)
{
	record->incarnation = MAX(above, swim->self->incarnation) + 1;
	swim->suspected_by = 0;
	member_table_update(swim->table, record, swim->now_us);
	swim_relays_notify(swim);
}

/* Refutes a record that says that this daemon is suspect or dead, or one from
 * an earlier start with a higher incarnation. */
static void handle_own_record(struct swim *swim, const struct member *received)
{
	struct member record = *swim->self;

	if (swim->has_left || received->incarnation < record.incarnation ||
	    (received->incarnation == record.incarnation &&
	     received->state == MEMBER_ALIVE))
		return;
	if (received->state != MEMBER_ALIVE &&
	    swim->local_health < SWIM_LOCAL_HEALTH_MAX)
		swim->local_health++;
	swim_publish_self(swim, &record, received->incarnation);
	if (swim->ops->handle_refuted)
		swim->ops->handle_refuted(received->state,
					  swim->self->incarnation,
					  swim->ops->data);
}

/*
 * Completes a short record with the fields known from the member table. A short
 * record names a host that isn't alive, its state and its incarnation, and has
 * no address.
 *
 * RETURN VALUE
 *	false if the record must be ignored: its host is unknown, and it is a
 *	short record or says that the host is dead or has left. If daemons
 *	accepted records of unknown hosts that are dead or have left, they
 *	would send each other records of members that were already removed,
 *	forever.
 */
static bool complete_record(const struct member *known,
			    const struct member *received, struct member *record)
{
	if (!known && (received->state >= MEMBER_DEAD || !received->address[0]))
		return false;
	*record = *received;
	if (received->address[0])
		return true;
	*record = *known;
	record->state = received->state;
	record->incarnation = received->incarnation;
	return true;
}

static void handle_peer_record(struct swim *swim, const struct member *received,
			       uint32_t suspected_by)
{
	struct member *known = member_table_find(swim->table, received->host);
	struct swim_node *node = known ? known->swim_data : NULL;
	struct member record;

	if (!complete_record(known, received, &record))
		return;
	/* For swim_suspect_start(), called while the table is updated. */
	swim->suspected_by = suspected_by;
	if (!member_table_update(swim->table, &record, swim->now_us) && node &&
	    node->is_suspect && received->state == MEMBER_SUSPECT &&
	    received->incarnation == known->incarnation)
		swim_suspect_confirm(swim, node, suspected_by);
}

/* RETURN VALUE: true if the sender says that a member is suspect or dead, and
 * the member has refuted that since with a higher incarnation. */
static bool record_is_outdated(const struct member *known,
			       const struct member *received)
{
	return known && received->incarnation < known->incarnation &&
	       (received->state == MEMBER_SUSPECT ||
		received->state == MEMBER_DEAD);
}

bool swim_records_apply(struct swim *swim, const Cfd__Gossip *message,
			const struct swim_endpoint *from)
{
	struct swim_packet correction;
	struct member record;
	struct member *known;

	for (size_t i = 0; i < message->n_records; i++) {
		if (!swim_record_decode(message->records[i], swim->now_us,
					&record))
			return false;
	}
	/* What a relay gets from another domain is new to its own domain. */
	swim->suppress_rumours =
		message->kind == CFD__GOSSIP_KIND__GOSSIP_SYNC_REPLY &&
		!(swim->is_relay && !swim->sync.is_full_pass &&
		  swim_is_foreign(swim, from->domain));
	swim_packet_init(swim, &correction, CFD__GOSSIP_KIND__GOSSIP_PUSH, 0);
	for (size_t i = 0; i < message->n_records; i++) {
		const Cfd__MemberRecord *packed = message->records[i];
		char **groups = g_new0(char *, packed->n_groups + 1);

		swim_record_decode(packed, swim->now_us, &record);
		for (size_t j = 0; j < packed->n_groups; j++)
			groups[j] = packed->groups[j];
		record.groups = groups;
		if (strcmp(record.host, swim->self->host) == 0)
			handle_own_record(swim, &record);
		else
			handle_peer_record(swim, &record, packed->suspected_by);
		g_free(groups);
		known = member_table_find(swim->table, record.host);
		if (record_is_outdated(known, &record))
			swim_packet_add(swim, &correction, known);
	}
	swim->suppress_rumours = false;
	if (correction.message.n_records > 0 && swim->budget_bytes > 0)
		swim_packet_send(swim, &correction, from);
	return true;
}
