/*
 * NAME
 *	config_model - what the operators' files say, ready to decide by
 *
 * DESCRIPTION
 *	A snapshot holds one version of each namespace and never changes once
 *	it is in force; a request keeps a reference to the one it began with.
 *	A namespace that does not change is shared by successive snapshots;
 *	strings are owned by their namespace and live as long as the snapshot.
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

/* What holds for one kind of request. Namespaces that say the same of it share
 * one, see config_known_rules. */
struct config_rule {
	unsigned int references;
	char *text; /* that it was read from; NULL: not shared */
	char *name;
	char **methods; /* NULL: any */
	char *path_prefix; /* "/" : any */
	bool idempotent;
	uint32_t deadline_ms;
	uint32_t target_ms; /* an answer by then is a good one; 0: not told */
	enum config_class class;
	uint32_t max_attempts; /* 1: no retry */
	uint32_t retry_budget_percent; /* of recent calls */
	bool hedge;
	uint32_t hedge_budget_percent;
	char *fairness_header; /* NULL: by the caller's address */
	GArray *destinations; /* of struct config_destination, at least one */
};

/* One part of a rule's requests goes to the upstreams of this group. */
struct config_destination {
	char *group;
	uint32_t weight; /* over the sum of the rule's */
};

struct config_service {
	char *name;
	char *namespace;
	char **hosts; /* NULL: none */
	char **path_prefixes; /* NULL: none */
	char *group; /* of rules that name no other; NULL: all do */
	uint16_t *shed_statuses; /* ends with 0 */
	uint32_t measure_budget_permille; /* of the upstream's slot time */
	char *health_path; /* NULL: the upstream is never probed */
	char *load_path;
	GPtrArray *rules; /* of struct config_rule, first match wins */
};

/* What holds for the upstreams of a group, whichever service leads there. */
struct config_group {
	uint32_t retry_budget_percent; /* the largest of the rules' */
	uint32_t hedge_budget_percent;
	uint32_t measure_budget_permille; /* the least of the services' */
	const char *health_path; /* its own, or a service's */
	uint32_t max_connections; /* 0: not told */
	bool has_measure;
};

/* What the operator says of a group itself. */
struct config_group_settings {
	char *group;
	char *health_path; /* NULL: never probed */
	uint32_t max_connections; /* that one upstream takes; 0: not told */
};

struct config_namespace {
	unsigned int references;
	char *name;
	uint64_t version;
	char sha256[65];
	char *body; /* the file as it was applied */
	GPtrArray *services; /* of struct config_service */
	GPtrArray *upstreams; /* of struct config_group_settings */
};

struct config_snapshot {
	unsigned int references;
	GPtrArray *namespaces; /* of struct config_namespace, by name */
	struct config_routes *routes; /* of all their services */
	GHashTable *groups; /* name -> struct config_group */
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

/* RETURN VALUE: the destination's group for a number drawn below the sum of
 * the weights. */
const char *config_rule_select_group(const struct config_rule *rule,
				     uint64_t drawn);
uint64_t config_rule_total_weight(const struct config_rule *rule);
void config_service_destroy(struct config_service *service);

/* Fills in hex the SHA-256 of a file's body. */
void config_body_sha256(const char *body, size_t size, char hex[65]);

struct config_snapshot *config_snapshot_create(void);

/* RETURN VALUE: a new snapshot with this namespace in place of the one of the
 * same name; takes a reference of its own to the namespace. */
struct config_snapshot *config_snapshot_with(const struct config_snapshot *snapshot,
					     struct config_namespace *ns);

/* RETURN VALUE: the snapshot's namespace, or NULL. */
struct config_namespace *
config_snapshot_find(const struct config_snapshot *snapshot, const char *name);

/* RETURN VALUE: what holds for a group, or NULL where no rule leads there. */
const struct config_group *
config_snapshot_group(const struct config_snapshot *snapshot, const char *name);
struct config_snapshot *config_snapshot_ref(struct config_snapshot *snapshot);
void config_snapshot_unref(struct config_snapshot *snapshot);

/*
 * Finds the service by host name first, else by the longest path prefix, and
 * in it the first rule that matches. A prefix matches whole path segments:
 * "/archive" covers "/archive/x" but not "/archives". host may carry a port,
 * path a query; both are ignored.
 *
 * RETURN VALUE
 *	false where no service or no rule matches; *service is set if one did.
 */
bool config_snapshot_match(const struct config_snapshot *snapshot,
			   const char *host, const char *method, const char *path,
			   const struct config_service **service,
			   const struct config_rule **rule);

#endif
