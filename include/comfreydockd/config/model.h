/*
 * NAME
 *	config_model - the parsed configuration that requests are routed by
 *
 * DESCRIPTION
 *	A snapshot holds one version of each namespace and never changes once
 *	it is in force. A request keeps a reference to the snapshot it began
 *	with. Successive snapshots share a namespace that does not change. A
 *	namespace owns its strings, which live as long as the snapshot.
 */
#ifndef COMFREYDOCKD_CONFIG_MODEL_H
#define COMFREYDOCKD_CONFIG_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum config_class {
	CONFIG_CLASS_INTERACTIVE,
	CONFIG_CLASS_NORMAL,
	CONFIG_CLASS_BULK,
};

/* How the matching requests are handled. Namespaces with the same text of a
 * rule share one struct, see config_known_rules. */
struct config_rule {
	unsigned int references;
	char *text; /* the JSON that it was parsed from; NULL: not shared */
	char *name;
	char **methods; /* NULL: any */
	char *path_prefix; /* "/" : any */
	bool idempotent;
	uint32_t deadline_ms;
	uint32_t target_ms; /* an answer within it counts as good; 0: unset */
	enum config_class class;
	uint32_t max_attempts; /* 1: no retry */
	uint32_t retry_budget_percent; /* percentage of recent calls */
	bool hedge;
	uint32_t hedge_budget_percent;
	char *fairness_header; /* NULL: fairness by the caller's address */
	bool is_public; /* needs no key in any namespace */
	/* Of struct config_destination; at least one in a usable rule. */
	GArray *destinations;
};

/* A group of upstreams that gets a share of a rule's requests. */
struct config_destination {
	char *group;
	uint32_t weight; /* relative to the total weight of the rule */
};

struct config_service {
	char *name;
	char *namespace;
	char **hosts; /* NULL: none */
	char **path_prefixes; /* NULL: none */
	char *group; /* default of rules without destinations; may be NULL */
	uint16_t *shed_statuses; /* terminated by 0 */
	uint32_t measure_budget_permille; /* of the upstream's slot time */
	char *health_path; /* NULL: the upstream is never probed */
	char *load_path;
	bool needs_key; /* its namespace has organisations */
	GPtrArray *rules; /* of struct config_rule, first match wins */
};

/* The effective settings of a group, merged from all services that use it. */
struct config_group {
	uint32_t retry_budget_percent; /* the largest of the rules */
	uint32_t hedge_budget_percent;
	uint32_t measure_budget_permille; /* the smallest of the services */
	const char *health_path; /* of the group, else of a service */
	uint32_t max_connections; /* 0: none is set */
	double cold_per_s; /* requests to a cold upstream; 0: not limited */
	uint32_t cold_ms; /* how long a cold upstream stays so; 0: unknown */
	bool has_measure;
};

/* The settings that a file gives for a group itself. */
struct config_group_settings {
	char *group;
	char *health_path; /* NULL: never probed */
	uint32_t max_connections; /* limit per upstream; 0: none is set */
	/* Requests per second that a cold upstream tolerates; 0: any. */
	double cold_per_s;
	uint32_t cold_ms; /* how long it stays cold; 0: unknown */
};

struct config_organisation_set;

struct config_namespace {
	unsigned int references;
	char *name;
	uint64_t version;
	char sha256[65];
	char *body; /* the file as it was applied */
	GPtrArray *services; /* of struct config_service */
	GPtrArray *upstreams; /* of struct config_group_settings */
	struct config_organisation_set *organisations; /* NULL: no key needed */
	/* What isn't followed as it stands in the file, because it is invalid. */
	unsigned int invalid_entries;
};

struct config_snapshot {
	unsigned int references;
	GPtrArray *namespaces; /* of struct config_namespace, sorted by name */
	struct config_routes *routes; /* of the services of all namespaces */
	GHashTable *groups; /* name -> struct config_group */
	GPtrArray *organisations; /* the sets of those namespaces that have one */
};

/* RETURN VALUE: an empty namespace with one reference. */
struct config_namespace *config_namespace_create(void);
struct config_namespace *config_namespace_ref(struct config_namespace *ns);
void config_namespace_unref(struct config_namespace *ns);

/* RETURN VALUE: an empty rule with one reference and no destinations. */
struct config_rule *config_rule_create(void);
struct config_rule *config_rule_ref(struct config_rule *rule);
void config_rule_unref(struct config_rule *rule);
void config_rule_add_destination(struct config_rule *rule, const char *group,
				 uint32_t weight);

/* RETURN VALUE: whether the rule can serve a request. One that can't still
 * matches its requests: it is part of a namespace that was accepted elsewhere. */
bool config_rule_is_usable(const struct config_rule *rule);

/* Selects a destination by weight. drawn is a random number below
 * config_rule_total_weight().
 *
 * RETURN VALUE
 *	the group of the destination. */
const char *config_rule_select_group(const struct config_rule *rule,
				     uint64_t drawn);
uint64_t config_rule_total_weight(const struct config_rule *rule);
void config_service_destroy(struct config_service *service);

/* Writes the SHA-256 of a file's body to hex. */
void config_body_sha256(const char *body, size_t size, char hex[65]);

struct config_snapshot *config_snapshot_create(void);

/* RETURN VALUE: a new snapshot in which ns replaces the namespace of the same
 * name. The snapshot takes its own reference to ns. */
struct config_snapshot *config_snapshot_with(const struct config_snapshot *snapshot,
					     struct config_namespace *ns);

/* RETURN VALUE: the snapshot's namespace, or NULL. */
struct config_namespace *
config_snapshot_find(const struct config_snapshot *snapshot, const char *name);

/* RETURN VALUE: the effective settings of a group, or NULL if no rule uses
 * it. */
const struct config_group *
config_snapshot_group(const struct config_snapshot *snapshot, const char *name);
struct config_snapshot *config_snapshot_ref(struct config_snapshot *snapshot);
void config_snapshot_unref(struct config_snapshot *snapshot);

/*
 * Finds the service by host name first, else by the longest path prefix, and
 * the first rule of it that matches. A prefix matches whole path segments:
 * "/archive" matches "/archive/x" but not "/archives". A port in host and a
 * query in path are ignored.
 *
 * RETURN VALUE
 *	false if no service or no rule matches. *service is set if a service
 *	matched.
 */
bool config_snapshot_match(const struct config_snapshot *snapshot,
			   const char *host, const char *method, const char *path,
			   const struct config_service **service,
			   const struct config_rule **rule);

/* Same, with the host and the target as they stand in a request's head. The host
 * may be NULL. */
bool config_snapshot_match_request(const struct config_snapshot *snapshot,
				   const char *host, const char *method,
				   const char *target,
				   const struct config_service **service,
				   const struct config_rule **rule);

/* Copies a host in lower case, without its port; "" if it is NULL. */
void config_copy_host(const char *host, char *out, size_t size);

#endif
