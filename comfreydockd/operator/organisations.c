#include "comfreydockd/operator/organisations.h"

#include <string.h>

#include "comfreydockd/config/organisation_set.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/operator/handler.h"

#define STATUS_NOT_FOUND 404

void organisations_foreach(const struct config_snapshot *snapshot,
			   void (*handler)(const struct config_organisation *,
					   void *data),
			   void *data)
{
	for (guint i = 0; i < snapshot->organisations->len; i++) {
		const struct config_organisation_set *set =
			snapshot->organisations->pdata[i];

		for (guint j = 0; j < set->all->len; j++)
			handler(set->all->pdata[j], data);
	}
}

struct selection {
	const char *after; /* NULL: from the first one */
	GPtrArray *organisations;
};

static void select_after(const struct config_organisation *organisation,
			 void *data)
{
	const struct selection *selection = data;

	if (!selection->after || strcmp(organisation->name, selection->after) > 0)
		g_ptr_array_add(selection->organisations, (gpointer)organisation);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct config_organisation *const *first = a;
	const struct config_organisation *const *second = b;

	return strcmp((*first)->name, (*second)->name);
}

void operator_get_organisations(struct operator_api *api,
				struct http_request *request)
{
	struct selection selection = {
		.after = http_request_argument(request, "after"),
		.organisations = g_ptr_array_new(),
	};
	struct organisations_page page = {
		.organisations = selection.organisations,
	};

	organisations_foreach(config_store_current(api->daemon->config),
			      select_after, &selection);
	g_ptr_array_sort(page.organisations, compare_names);
	if (page.organisations->len > ORGANISATIONS_PAGE) {
		const struct config_organisation *last =
			page.organisations->pdata[ORGANISATIONS_PAGE - 1];

		page.next = last->name;
		g_ptr_array_set_size(page.organisations, ORGANISATIONS_PAGE);
	}
	organisations_gather(api->organisations, request, &page);
	g_ptr_array_unref(page.organisations);
}

void operator_get_organisation(struct operator_api *api,
			       struct http_request *request)
{
	const char *name = strrchr(http_request_path(request), '/') + 1;
	const struct config_organisation *organisation =
		config_snapshot_organisation(
			config_store_current(api->daemon->config), name);
	struct organisations_page page = {.is_single = true};

	if (!organisation) {
		operator_reply_error(request, STATUS_NOT_FOUND,
				     "the configuration held here has no "
				     "organisation of this name");
		return;
	}
	page.organisations = g_ptr_array_new();
	g_ptr_array_add(page.organisations, (gpointer)organisation);
	organisations_gather(api->organisations, request, &page);
	g_ptr_array_unref(page.organisations);
}

void operator_api_set_pools(struct operator_api *api,
			    organisation_pool_reader reader, void *data)
{
	api->read_pool = reader;
	api->pool_data = data;
}
