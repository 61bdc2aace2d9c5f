/*
 * NAME
 *	settings - the daemon's settings file
 *
 * DESCRIPTION
 *	A JSON file with comments. The daemon checks the whole file before it
 *	starts anything.
 *	See docs/settings.md and comfreydockd/comfreydockd.sample.json.
 */
#ifndef COMFREYDOCKD_SETTINGS_H
#define COMFREYDOCKD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/findings.h"
#include "common/log.h"

struct settings_address {
	char *address; /* IP address */
	uint16_t port; /* 0: the kernel chooses */
};

/* Steps of a planned stop, in ms after it began; see stop.h. */
struct settings_stop {
	uint32_t drain_after_ms;
	uint32_t close_after_ms;
	uint32_t refuse_after_ms;
	uint32_t turn_away_after_ms;
	uint32_t leave_ms; /* longest wait for the deletion of the row */
};

/* Retries that all daemons together may make; see decide/retry.h. */
struct settings_retry_budget {
	uint32_t percent; /* of a service's requests */
	double slack; /* retries per window in addition to the percentage */
};

/* By how much the operator's rate for cold upstreams may be exceeded; see
 * decide/cold_start.h. */
struct settings_cold_start {
	double overage; /* factor of the rate */
	double slack; /* requests a second beyond it */
};

/* How far the operator lets organisations exceed their quotas. */
struct settings_quota {
	double window_s; /* length of the sliding window; 0: no quotas */
	double overage; /* share of the quota that is tolerated beyond it */
	double slack; /* requests per window beyond that */
};

/* What may be sent to other failure domains, whose links have a price. */
struct settings_domains {
	/* Requests stay in their domain while they meet their target there. */
	bool stay_in_time;
	/* Members per domain, on average, from which only relays gossip with
	 * other domains; 0: never. */
	uint32_t relay_min_hosts;
};

/* Limits of the log's volume; see log.h. */
struct settings_log_budget {
	uint32_t lines_per_s;
	uint32_t bytes_per_s;
};

struct settings {
	char *host; /* unique id of this host */
	char *domain; /* failure domain */
	char *region;
	char *service; /* on this host, sent to upstreams; may be NULL */
	struct settings_address upstream; /* of this host; NULL: any address */
	struct settings_address caller; /* HTTP from callers */
	struct settings_address peer; /* TCP frames and UDP gossip */
	/* Announced to other daemons; address NULL or port 0: as bound. */
	struct settings_address advertise;
	struct settings_address admin; /* HTTP from operators and the upstream */
	char *admin_token; /* content of admin.token_file; NULL: loopback only */
	uint8_t *peer_key; /* content of peer.key_file, or peer.key */
	size_t peer_key_size;
	char *platform_url; /* "http://IP:PORT" */
	bool follows_platform; /* uses the platform's configuration and headers */
	struct settings_address ready; /* readiness checks; NULL: none */
	struct settings_address reports; /* upstream's heartbeats; NULL: none */
	struct settings_address metrics; /* without token; NULL: admin only */
	char **join; /* "IP:PORT" of peers, NULL-terminated, may be empty */
	enum log_format log_format;
	struct settings_log_budget log_budget;
	struct settings_stop stop;
	struct settings_retry_budget retry_budget;
	struct settings_cold_start cold_start;
	struct settings_quota quota;
	struct settings_domains domains;
	bool throttles; /* refuses early what a full group would refuse */
	uint32_t probes_per_s; /* of the upstream's load; 0: none */
	/* Time until a held request is tried again; 0: no request is held. */
	uint32_t quarantine_trial_ms;
	uint32_t drain_timeout_ms; /* longest wait for requests in a stop */
	uint32_t max_connections; /* of callers */
	uint32_t max_head_bytes; /* of a request */
	uint32_t max_buffered_bytes; /* of all bodies in memory together */
	char *config_file; /* namespace file until one is applied; may be NULL */
};

/* RETURN VALUE: NULL if errors were added to findings. */
struct settings *settings_load(const char *file, struct findings *findings);
void settings_destroy(struct settings *settings);

#endif
