#include "comfreydockd/operator/gather.h"

#include <ev.h>
#include <string.h>
#include <sys/queue.h>

#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/jsonc.h"
#include "common/trace.h"

/* An event's note has the host that the entry sent an attempt to after this
 * key. */
#define SENT_TO "to="

/* The collection of the events of one trace, for one operator request. */
struct gather {
	LIST_ENTRY(gather) link;
	struct gatherer *gatherer;
	struct http_request *request;
	uint64_t id;
	char *trace;
	json_object *events;
	GHashTable *unanswered; /* set of hosts that have not answered yet */
	/* Set of the hosts that need no further query: this one, those queried,
	 * and those that are unknown, dead or left. The latter get no query and
	 * stay in unanswered. */
	GHashTable *queried;
	ev_timer timeout;
};

/* The collections that this daemon has begun and not finished. */
struct gatherer {
	struct daemon *daemon;
	LIST_HEAD(, gather) gathers;
	uint64_t next_id;
};

static void gather_finish(struct gather *gather)
{
	json_object *root = json_object_new_object();

	json_object_object_add(root, "events", gather->events);
	operator_add_hosts(root, "missing", gather->unanswered);
	operator_reply(gather->request, 200, root);
	ev_timer_stop(gather->gatherer->daemon->loop, &gather->timeout);
	LIST_REMOVE(gather, link);
	g_hash_table_unref(gather->unanswered);
	g_hash_table_unref(gather->queried);
	g_free(gather->trace);
	g_free(gather);
}

static void handle_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	gather_finish(timer->data);
}

static void gather_query(struct gather *gather, const char *host)
{
	struct daemon *daemon = gather->gatherer->daemon;
	const struct member *member = member_table_find(daemon->members, host);
	Cfd__TimelineQuery query = CFD__TIMELINE_QUERY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	if (g_hash_table_contains(gather->queried, host) ||
	    g_hash_table_size(gather->queried) >= GATHER_MAX_HOSTS)
		return;
	g_hash_table_add(gather->queried, g_strdup(host));
	g_hash_table_add(gather->unanswered, g_strdup(host));
	if (!member || member->state == MEMBER_DEAD ||
	    member->state == MEMBER_LEFT)
		return;
	query.id = gather->id;
	query.trace = gather->trace;
	frame.kind_case = CFD__FRAME__KIND_TIMELINE_QUERY;
	frame.timeline_query = &query;
	peer_send(peers_connect_for_query(daemon->peers, member), &frame);
}

/* Queries the daemon that a note names: "seq=7 to=esja-07 may-queue=0". */
static void gather_query_next(struct gather *gather, const char *note)
{
	const char *to = strstr(note, SENT_TO);
	char host[MEMBER_HOST_MAX];

	if (!to)
		return;
	to += strlen(SENT_TO);
	g_strlcpy(host, to, MIN(strcspn(to, " ") + 1, sizeof(host)));
	gather_query(gather, host);
}

static void gather_add_events(struct gather *gather, const char *text)
{
	json_object *array = json_tokener_parse(text);

	for (size_t i = 0; json_object_is_type(array, json_type_array) &&
			   i < json_object_array_length(array);
	     i++) {
		json_object *event = json_object_array_get_idx(array, i);

		json_object_array_add(gather->events, json_object_get(event));
		if (gather->gatherer->daemon->peers)
			gather_query_next(gather,
					  jsonc_get_text(event, "note"));
	}
	json_object_put(array);
}

static char *local_events(const struct daemon *daemon, const char *trace)
{
	GString *text = g_string_new(NULL);

	timeline_append_json(&daemon->timeline, trace, daemon->settings->host,
			     text);
	return g_string_free(text, FALSE);
}

static void handle_query(struct peer *peer, const Cfd__Frame *query_frame,
			 void *data)
{
	struct gatherer *gatherer = data;
	char *events = local_events(gatherer->daemon,
				    query_frame->timeline_query->trace);
	Cfd__TimelineReport report = CFD__TIMELINE_REPORT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	report.id = query_frame->timeline_query->id;
	report.events = events;
	frame.kind_case = CFD__FRAME__KIND_TIMELINE_REPORT;
	frame.timeline_report = &report;
	peer_send(peer, &frame);
	g_free(events);
}

static void handle_report(struct peer *peer, const Cfd__Frame *frame, void *data)
{
	struct gatherer *gatherer = data;
	struct gather *gather;

	LIST_FOREACH (gather, &gatherer->gathers, link) {
		if (gather->id == frame->timeline_report->id)
			break;
	}
	if (!gather || !g_hash_table_remove(gather->unanswered, peer_host(peer)))
		return;
	gather_add_events(gather, frame->timeline_report->events);
	if (g_hash_table_size(gather->unanswered) == 0)
		gather_finish(gather);
}

/* RETURN VALUE: whether the member is reachable and assigned this trace id. If the
 * id names no host, any reachable member may have events of it. */
static bool may_have_events(const struct member *member, const char *trace)
{
	if (!member_is_live(member))
		return false;
	return !trace_has_host_form(trace) || trace_is_from(trace, member->host);
}

/* Queries the host that assigned the trace id, or all live hosts if the id names
 * none. The events in their answers name further hosts. */
static void gather_query_first_hosts(struct gather *gather)
{
	struct daemon *daemon = gather->gatherer->daemon;
	struct member *member;

	TAILQ_FOREACH (member, member_table_all(daemon->members), link) {
		if (strcmp(member->host, daemon->settings->host) != 0 &&
		    may_have_events(member, gather->trace))
			gather_query(gather, member->host);
	}
}

struct gatherer *gatherer_create(struct daemon *daemon)
{
	struct gatherer *gatherer = g_new0(struct gatherer, 1);

	gatherer->daemon = daemon;
	LIST_INIT(&gatherer->gathers);
	if (!daemon->peers)
		return gatherer;
	peers_set_frame_handler(daemon->peers, CFD__FRAME__KIND_TIMELINE_QUERY,
				handle_query, gatherer);
	peers_set_frame_handler(daemon->peers, CFD__FRAME__KIND_TIMELINE_REPORT,
				handle_report, gatherer);
	return gatherer;
}

void gatherer_destroy(struct gatherer *gatherer)
{
	struct gather *gather;

	if (!gatherer)
		return;
	while ((gather = LIST_FIRST(&gatherer->gathers)))
		gather_finish(gather);
	g_free(gatherer);
}

void gather_start(struct gatherer *gatherer, struct http_request *request,
		  const char *trace)
{
	struct daemon *daemon = gatherer->daemon;
	struct gather *gather = g_new0(struct gather, 1);
	char *events = local_events(daemon, trace);

	gather->gatherer = gatherer;
	gather->request = request;
	gather->id = ++gatherer->next_id;
	gather->trace = g_strdup(trace);
	gather->events = json_object_new_array();
	gather->unanswered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gather->queried =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&gather->timeout, handle_timeout, GATHER_TIMEOUT_S, 0.0);
	gather->timeout.data = gather;
	LIST_INSERT_HEAD(&gatherer->gathers, gather, link);
	g_hash_table_add(gather->queried, g_strdup(daemon->settings->host));
	if (trace && daemon->peers)
		gather_query_first_hosts(gather);
	gather_add_events(gather, events);
	g_free(events);
	if (g_hash_table_size(gather->unanswered) == 0)
		gather_finish(gather);
	else
		ev_timer_start(daemon->loop, &gather->timeout);
}
