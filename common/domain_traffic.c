#include "common/domain_traffic.h"

#include <stdint.h>
#include <string.h>

#include "common/metric.h"

#define OTHER "other"

struct kind_traffic {
	const char *kind;
	uint64_t bytes;
	uint64_t messages;
};

static struct kind_traffic kinds[DOMAIN_TRAFFIC_KINDS_MAX];
static size_t kind_count;

static struct kind_traffic *find_kind(const char *kind)
{
	for (size_t i = 0; i < kind_count; i++) {
		if (kinds[i].kind == kind || strcmp(kinds[i].kind, kind) == 0)
			return &kinds[i];
	}
	return NULL;
}

static struct kind_traffic *add_kind(const char *kind)
{
	/* The last place is for all others. */
	if (kind_count == DOMAIN_TRAFFIC_KINDS_MAX - 1)
		kind = OTHER;
	if (kind_count == DOMAIN_TRAFFIC_KINDS_MAX)
		return &kinds[kind_count - 1];
	kinds[kind_count].kind = kind;
	return &kinds[kind_count++];
}

void domain_traffic_add(const char *kind, size_t bytes)
{
	struct kind_traffic *traffic = find_kind(kind);

	if (!traffic)
		traffic = add_kind(kind);
	traffic->bytes += bytes;
	traffic->messages++;
}

static void append_counter(GString *text, const char *name, const char *help,
			   size_t offset)
{
	g_string_append_printf(text,
			       "# HELP comfreydock_%s %s\n"
			       "# TYPE comfreydock_%s counter\n",
			       name, help, name);
	for (size_t i = 0; i < kind_count; i++) {
		const char *counter = (const char *)&kinds[i] + offset;

		metric_append_line(text, name, "kind", kinds[i].kind,
				   (double)*(const uint64_t *)counter);
	}
}

void domain_traffic_append_text(GString *text)
{
	append_counter(text, "domain_bytes",
		       "payload sent to other failure domains",
		       offsetof(struct kind_traffic, bytes));
	append_counter(text, "domain_messages",
		       "messages sent to other failure domains",
		       offsetof(struct kind_traffic, messages));
}
