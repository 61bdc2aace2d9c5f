/*
 * NAME
 *	settings - what the daemon is told at its start
 *
 * DESCRIPTION
 *	A file of JSON with comments, checked whole before anything starts.
 *	See docs/settings.md and comfreydockd/comfreydockd.sample.json.
 */
#ifndef COMFREYDOCKD_SETTINGS_H
#define COMFREYDOCKD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"
#include "common/log.h"

struct settings_address {
	char *address; /* IP number */
	uint16_t port; /* 0: the kernel chooses */
};

struct settings {
	char *host; /* unique id of this host */
	char *domain; /* failure domain */
	char *region;
	struct settings_address caller; /* HTTP from callers */
	struct settings_address peer; /* TCP frames and UDP gossip */
	/* What the others are told; address NULL or port 0: as bound. */
	struct settings_address advertise;
	struct settings_address admin; /* HTTP from operators and the upstream */
	char *admin_token; /* content of admin.token_file; NULL: loopback only */
	uint8_t *peer_key; /* content of peer.key_file */
	size_t peer_key_size;
	char *platform_url; /* "http://IP:PORT" */
	char **join; /* "IP:PORT" of peers, NULL-terminated, may be empty */
	enum log_format log_format;
	uint32_t drain_timeout_ms; /* what a stop waits for at most */
	uint32_t max_connections; /* callers' */
	uint32_t max_head_bytes;
	uint32_t max_buffered_bytes; /* bodies held in memory in all */
	char *config_file; /* namespace file used until one is applied; NULL */
};

/* RETURN VALUE: NULL where findings has errors. */
struct settings *settings_load(const char *file, struct findings *findings);
void settings_destroy(struct settings *settings);

#endif
