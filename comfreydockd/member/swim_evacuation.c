#include "swim_internal.h"

void swim_evacuation_fill(const struct swim *swim, struct swim_packet *packet)
{
	const struct evacuation *evacuation = swim->evacuation;

	if (!evacuation)
		return;
	for (size_t i = 0; i < evacuation->count; i++)
		packet->evacuated[i] = evacuation->entries[i].key;
	packet->message.evacuated_as_of = evacuation->as_of;
	packet->message.evacuated = packet->evacuated;
	packet->message.n_evacuated = evacuation->count;
}

bool swim_evacuation_is_valid(const Cfd__Gossip *message)
{
	return message->n_evacuated <= EVACUATION_DOMAINS_MAX;
}

void swim_evacuation_merge(struct swim *swim, const Cfd__Gossip *message)
{
	if (swim->evacuation)
		evacuation_replace(swim->evacuation, message->evacuated_as_of,
				   message->evacuated, message->n_evacuated,
				   swim->now_us);
}

/* The pushes that spread a new head of the configuration carry the list too. */
void swim_note_evacuation(struct swim *swim)
{
	swim->head_transmits = swim_rumour_limit(swim);
	swim_relays_note(swim);
}
