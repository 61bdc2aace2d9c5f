#include "common/counters.h"

struct counters counters;

struct counter {
	const char *name;
	const char *help;
	const uint64_t *value;
};

static const struct counter all[] = {
#define COUNTER(field, help) {#field, help, &counters.field},
#include "common/counters.def"
#undef COUNTER
};

static void counter_append(GString *text, const struct counter *counter)
{
	g_string_append_printf(text,
			       "# HELP comfreydock_%s %s\n"
			       "# TYPE comfreydock_%s counter\n"
			       "comfreydock_%s %" G_GUINT64_FORMAT "\n",
			       counter->name, counter->help, counter->name,
			       counter->name, *counter->value);
}

void counters_append_text(GString *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		counter_append(text, &all[i]);
}
