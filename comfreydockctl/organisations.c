#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static json_object *get(json_object *object, const char *key)
{
	return json_object_object_get(object, key);
}

static double get_double(json_object *object, const char *key)
{
	return json_object_get_double(get(object, key));
}

static uint64_t sum_refused(json_object *totals)
{
	uint64_t sum = 0;

	json_object_object_foreach(get(totals, "refused"), reason, count)
	{
		(void)reason;
		sum += json_object_get_uint64(count);
	}
	return sum;
}

static const char *class_name(json_object *entry)
{
	const char *name = jsonc_get_text(entry, "class");

	return *name ? name : "-";
}

static void print_line(json_object *entry)
{
	json_object *all = get(entry, "all");

	printf("%-24s %-11s %9g %9g %4" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT
	       " %9" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT "\n",
	       jsonc_get_text(entry, "name"), class_name(entry),
	       get_double(entry, "rate_per_s"), get_double(entry, "burst"),
	       jsonc_get_uint(entry, "keys"), jsonc_get_uint(all, "started"),
	       sum_refused(all), jsonc_get_uint(all, "returned"));
}

/* Warns of figures that are incomplete. */
static void print_gaps(json_object *root)
{
	json_object *missing = jsonc_get_array(root, "missing");
	uint64_t hosts = jsonc_get_uint(root, "hosts");
	uint64_t asked = jsonc_get_uint(root, "hosts_asked");

	for (size_t i = 0; missing && i < json_object_array_length(missing); i++)
		ctl_print_error("no figures from %s",
				json_object_get_string(
					json_object_array_get_idx(missing, i)));
	/* The daemon itself is one of the hosts and isn't asked. */
	if (asked + 1 < hosts)
		ctl_print_error("the figures are of %" G_GUINT64_FORMAT
				" of %" G_GUINT64_FORMAT " hosts",
				asked + 1, hosts);
}

static void print_list(json_object *root)
{
	json_object *list = jsonc_get_array(root, "organisations");
	json_object *other = get(root, "other");

	printf("%-24s %-11s %9s %9s %4s %9s %9s %9s\n", "ORGANISATION", "CLASS",
	       "RATE_PER_S", "BURST", "KEYS", "STARTED", "REFUSED", "RETURNED");
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		print_line(json_object_array_get_idx(list, i));
	if (other && (jsonc_get_uint(get(other, "all"), "started") ||
		      sum_refused(get(other, "all"))))
		print_line(other);
	print_gaps(root);
}

static void print_totals(const char *label, json_object *totals)
{
	printf("%s: started %" G_GUINT64_FORMAT ", returned %" G_GUINT64_FORMAT,
	       label, jsonc_get_uint(totals, "started"),
	       jsonc_get_uint(totals, "returned"));
	json_object_object_foreach(get(totals, "refused"), reason, count)
	{
		printf(", refused (%s) %" G_GUINT64_FORMAT, reason,
		       json_object_get_uint64(count));
	}
	putchar('\n');
}

static void print_pool(json_object *pool)
{
	printf("%-16s %-16s %-6s %6.3f %9.1f %9g %9g %7.1f\n",
	       jsonc_get_text(pool, "domain"), jsonc_get_text(pool, "keeper"),
	       json_object_get_boolean(get(pool, "is_deputy")) ? "deputy" :
								 "keeper",
	       get_double(pool, "share"), get_double(pool, "tokens"),
	       get_double(pool, "rate_per_s"), get_double(pool, "burst"),
	       get_double(pool, "age_ms") / 1000);
}

static void print_one(json_object *root)
{
	json_object *list = jsonc_get_array(root, "organisations");
	json_object *entry = list ? json_object_array_get_idx(list, 0) : NULL;
	json_object *pools = jsonc_get_array(entry, "pools");
	size_t count = pools ? json_object_array_length(pools) : 0;

	if (!entry)
		return;
	printf("%s: class %s, %g requests/s, burst %g, keys %" G_GUINT64_FORMAT
	       "\n",
	       jsonc_get_text(entry, "name"), class_name(entry),
	       get_double(entry, "rate_per_s"), get_double(entry, "burst"),
	       jsonc_get_uint(entry, "keys"));
	printf("in the last 60 s, as of %" G_GUINT64_FORMAT " ms ago\n",
	       jsonc_get_uint(root, "age_ms"));
	print_totals("  all daemons", get(entry, "all"));
	print_totals("  this daemon", get(entry, "here"));
	if (count)
		printf("%-16s %-16s %-6s %6s %9s %9s %9s %7s\n", "DOMAIN",
		       "HOST", "ROLE", "SHARE", "TOKENS", "RATE_PER_S", "BURST",
		       "AGE_S");
	for (size_t i = 0; i < count; i++)
		print_pool(json_object_array_get_idx(pools, i));
	print_gaps(root);
}

/* Adds the organisations and the other requests of a page to those before. Each
 * page has the other requests, so that only those of the first are kept. */
static json_object *join_pages(json_object *all, json_object *page)
{
	json_object *list = jsonc_get_array(page, "organisations");

	if (!all)
		return page;
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		json_object_array_add(
			jsonc_get_array(all, "organisations"),
			json_object_get(json_object_array_get_idx(list, i)));
	json_object_put(page);
	return all;
}

static json_object *fetch_pages(struct ctl *ctl)
{
	char *path = g_strdup("/v1/organisations");
	json_object *all = NULL;

	while (path) {
		json_object *page = ctl_request(ctl, "GET", path);
		const char *next = page ? jsonc_get_text(page, "next") : "";

		g_free(path);
		path = *next ? g_strconcat("/v1/organisations?after=", next,
					   NULL) :
			       NULL;
		if (!page) {
			json_object_put(all);
			return NULL;
		}
		json_object_object_del(page, "next");
		all = join_pages(all, page);
	}
	return all;
}

static int run_organisations(struct ctl *ctl, char **arguments)
{
	char *escaped;
	char *path;
	int status;

	if (!arguments[0])
		return ctl_print(ctl, fetch_pages(ctl), print_list);
	escaped = g_uri_escape_string(arguments[0], NULL, FALSE);
	path = g_strconcat("/v1/organisations/", escaped, NULL);
	status = ctl_print(ctl, ctl_request(ctl, "GET", path), print_one);
	g_free(path);
	g_free(escaped);
	return status;
}

const struct ctl_command ctl_organisations = {
	.name = "organisations",
	.arguments = "[NAME]",
	.summary = "list the organisations and their requests",
	.max_arguments = 1,
	.run = run_organisations,
};
