#include <string.h>

#include "common/address.h"
#include "swim_internal.h"

#define RECORD_OVERHEAD 3 /* tag and length of a record in the message */
#define DATAGRAM_OVERHEAD 58 /* envelope, UDP and IP headers */

static uint32_t told_ms(const struct swim *swim)
{
	int64_t age_us = swim->ops->config_told_age_us ?
				 swim->ops->config_told_age_us(
					 swim->config_head, swim->ops->data) :
				 -1;

	if (age_us < 0)
		return 0;
	return (uint32_t)MIN(age_us / 1000 + 1, (int64_t)UINT32_MAX);
}

/* How long a packet that is read now may have waited in the socket. After a
 * freeze the tick runs before the packets are read, so its gap counts as well. */
static int64_t queue_delay_us(const struct swim *swim)
{
	int64_t since_tick_us = MAX(swim->now_us - swim->ticked_at_us, 0);

	if (since_tick_us > SWIM_TICK_US)
		return since_tick_us;
	return since_tick_us + swim->late_tick_gap_us;
}

/*
 * Adds the time on the network and in the socket's queue. Without it the age
 * would shrink with each hop, and daemons that lost the platform would forever
 * confirm to each other that their configuration is up to date.
 */
int64_t swim_told_age_us(const struct swim *swim, const Cfd__Gossip *message)
{
	if (!message->config_told_ms)
		return -1;
	return (int64_t)message->config_told_ms * 1000 + SWIM_HOP_MAX_US +
	       queue_delay_us(swim);
}

void swim_packet_init(struct swim *swim, struct swim_packet *packet,
		      Cfd__GossipKind kind, uint64_t seq)
{
	cfd__gossip__init(&packet->message);
	packet->message.kind = kind;
	packet->message.seq = seq;
	packet->message.from = swim->self->host;
	packet->message.config_head = swim->config_head;
	packet->message.config_told_ms = told_ms(swim);
	packet->message.records = packet->pointers;
	swim_evacuation_fill(swim, packet);
	packet->size = 0;
}

static uint32_t up_ms(const struct swim *swim, const struct member *member)
{
	int64_t ms = (swim->now_us - member->up_since_us) / 1000;

	if (member->service_state != MEMBER_SERVICE_UP)
		return 0;
	return CLAMP(ms, 0, (int64_t)UINT32_MAX);
}

static void record_encode_state(struct member *member, Cfd__MemberRecord *record)
{
	struct swim_node *node = member->swim_data;

	cfd__member_record__init(record);
	record->host = member->host;
	record->incarnation = member->incarnation;
	record->state = member->state;
	if (node && node->is_suspect && node->confirmer_count > 0)
		record->suspected_by =
			node->confirmers[node->confirmer_count - 1];
}

static void record_encode(struct swim *swim, struct member *member,
			  Cfd__MemberRecord *record)
{
	record_encode_state(member, record);
	record->address = member->address;
	record->peer_port = member->peer_port;
	record->admin_port = member->admin_port;
	record->domain = (char *)member->domain;
	record->region = (char *)member->region;
	record->service_state = member->service_state;
	record->groups = member->groups;
	record->n_groups = member->groups ? g_strv_length(member->groups) : 0;
	record->slots = member->slots;
	record->warm_ms = member->warm_ms;
	record->up_ms = up_ms(swim, member);
}

bool swim_record_fits(struct swim *swim, struct member *member)
{
	Cfd__MemberRecord record;

	record_encode(swim, member, &record);
	return cfd__member_record__get_packed_size(&record) <= SWIM_RECORD_MAX;
}

bool swim_packet_add(struct swim *swim, struct swim_packet *packet,
		     struct member *member)
{
	size_t count = packet->message.n_records;
	Cfd__MemberRecord *record = &packet->records[count];
	size_t size;

	if (count == SWIM_RECORDS_MAX)
		return false;
	if (packet->size == 0)
		packet->size = cfd__gossip__get_packed_size(&packet->message);
	/* When a failure domain is lost, many records of its hosts must spread
	 * at once. Three times as many short records fit into a packet. */
	if (member->state == MEMBER_ALIVE ||
	    packet->message.kind == CFD__GOSSIP_KIND__GOSSIP_SYNC_REPLY)
		record_encode(swim, member, record);
	else
		record_encode_state(member, record);
	size = cfd__member_record__get_packed_size(record) + RECORD_OVERHEAD;
	if (packet->size + size > SWIM_BODY_MAX)
		return false;
	packet->size += size;
	packet->pointers[count] = record;
	packet->message.n_records++;
	return true;
}

/* RETURN VALUE: the failure domain of the host at the address, if it is known.
 * Only for seeds and unknown senders, as it searches the whole table. */
static const char *domain_at(const struct swim *swim,
			     const struct swim_endpoint *endpoint)
{
	const struct member *member;

	TAILQ_FOREACH (member, member_table_all(swim->table), link) {
		if (member->peer_port == endpoint->port &&
		    strcmp(member->address, endpoint->address) == 0)
			return member->domain;
	}
	return NULL;
}

static void packet_charge(struct swim *swim, const struct swim_packet *packet,
			  bool is_foreign, int64_t cost)
{
	if (packet->message.kind == CFD__GOSSIP_KIND__GOSSIP_SYNC_REPLY ||
	    (packet->message.kind == CFD__GOSSIP_KIND__GOSSIP_SYNC &&
	     swim->sync.is_full_pass))
		swim->page_budget_bytes -= cost;
	else if (swim->is_relay && is_foreign)
		/* Pings and answers are sent without a budget too. A relay that
		 * owes more than a second's worth would send no records for
		 * many seconds after the loss of a large domain. */
		swim->relay_budget_bytes = MAX(swim->relay_budget_bytes - cost,
					       -SWIM_RELAY_BYTES_PER_S);
	else
		swim->budget_bytes -= cost;
}

static void packet_count(struct swim *swim, const struct swim_packet *packet,
			 size_t size)
{
	static const char *const kinds[] = {
		[CFD__GOSSIP_KIND__GOSSIP_PING] = "gossip_ping",
		[CFD__GOSSIP_KIND__GOSSIP_ACK] = "gossip_ack",
		[CFD__GOSSIP_KIND__GOSSIP_NACK] = "gossip_nack",
		[CFD__GOSSIP_KIND__GOSSIP_PING_REQ] = "gossip_ping_req",
		[CFD__GOSSIP_KIND__GOSSIP_PUSH] = "gossip_push",
		[CFD__GOSSIP_KIND__GOSSIP_SYNC] = "gossip_sync",
		[CFD__GOSSIP_KIND__GOSSIP_SYNC_REPLY] = "gossip_sync_reply",
	};

	if (swim->ops->count_foreign)
		swim->ops->count_foreign(kinds[packet->message.kind], size,
					 swim->ops->data);
}

void swim_packet_send(struct swim *swim, struct swim_packet *packet,
		      const struct swim_endpoint *to)
{
	uint8_t body[SWIM_BODY_MAX];
	size_t size = cfd__gossip__get_packed_size(&packet->message);
	bool is_foreign = swim_is_foreign(
		swim, to->domain ? to->domain : domain_at(swim, to));

	g_assert(size <= sizeof(body));
	cfd__gossip__pack(&packet->message, body);
	packet_charge(swim, packet, is_foreign,
		      (int64_t)size + DATAGRAM_OVERHEAD);
	if (is_foreign)
		packet_count(swim, packet, size);
	swim->ops->send(to->address, to->port, body, size, swim->ops->data);
}

void swim_packet_send_to(struct swim *swim, struct swim_packet *packet,
			 const struct member *to)
{
	struct swim_endpoint endpoint = {.port = to->peer_port,
					 .domain = to->domain};

	g_strlcpy(endpoint.address, to->address, sizeof(endpoint.address));
	swim_packet_send(swim, packet, &endpoint);
}

bool swim_endpoint_is_valid(const char *address, uint32_t port)
{
	return port > 0 && port <= UINT16_MAX && address_is_ip(address);
}

static bool record_endpoint_is_valid(const Cfd__MemberRecord *record)
{
	if (record->state != MEMBER_ALIVE && record->address[0] == '\0')
		return true;
	return swim_endpoint_is_valid(record->address, record->peer_port);
}

static bool record_is_valid(const Cfd__MemberRecord *record)
{
	size_t host = strlen(record->host);

	for (size_t i = 0; i < record->n_groups; i++) {
		if (strlen(record->groups[i]) >= MEMBER_GROUP_MAX)
			return false;
	}
	return host > 0 && host < MEMBER_HOST_MAX &&
	       record_endpoint_is_valid(record) &&
	       record->admin_port <= UINT16_MAX &&
	       strlen(record->domain) < MEMBER_DOMAIN_MAX &&
	       strlen(record->region) < MEMBER_DOMAIN_MAX &&
	       record->state <= MEMBER_LEFT &&
	       record->service_state <= MEMBER_SERVICE_DRAINING &&
	       record->incarnation < UINT64_MAX;
}

bool swim_record_decode(const Cfd__MemberRecord *record, int64_t now_us,
			struct member *member)
{
	if (!record_is_valid(record))
		return false;
	*member = (struct member){
		.incarnation = record->incarnation,
		.peer_port = record->peer_port,
		.admin_port = record->admin_port,
		.domain = record->domain,
		.region = record->region,
		.state = record->state,
		.service_state = record->service_state,
		.slots = record->slots,
		.warm_ms = record->warm_ms,
		.up_since_us = now_us - (int64_t)record->up_ms * 1000,
	};
	g_strlcpy(member->host, record->host, sizeof(member->host));
	g_strlcpy(member->address, record->address, sizeof(member->address));
	return true;
}
