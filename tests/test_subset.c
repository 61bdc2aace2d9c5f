#include <glib.h>

#include "comfreydockd/decide/subset.h"

#define HOSTS 300
#define DOMAINS 3

struct fixture {
	char names[HOSTS][16];
	struct subset_upstream upstreams[HOSTS];
};

/* Spreads the hosts evenly over the failure domains, seen from one of them. */
static void set_up(struct fixture *f, size_t domain)
{
	for (size_t i = 0; i < HOSTS; i++) {
		g_snprintf(f->names[i], sizeof(f->names[i]), "host-%zu", i);
		f->upstreams[i].host = f->names[i];
		f->upstreams[i].local = i % DOMAINS == domain;
	}
}

/*
 * Three hundred entries choose without coordination. If far more entries chose
 * some upstreams than others, their callers would wait while the others are
 * idle.
 */
static void test_choices_are_balanced(void)
{
	struct fixture f;
	int chosen_by[HOSTS] = {0};
	int most = 0;
	double ratio;

	for (size_t entry = 0; entry < HOSTS; entry++) {
		char name[16];

		set_up(&f, entry % DOMAINS);
		g_snprintf(name, sizeof(name), "host-%zu", entry);
		g_assert_cmpuint(
			subset_choose(name, f.upstreams, HOSTS, SUBSET_SIZE),
			==, SUBSET_SIZE);
		for (size_t i = 0; i < HOSTS; i++)
			chosen_by[i] += f.upstreams[i].chosen;
	}
	for (size_t i = 0; i < HOSTS; i++)
		most = MAX(most, chosen_by[i]);
	ratio = (double)most / SUBSET_SIZE;
	g_test_message("max/mean %.2f", ratio);
	g_assert_cmpfloat(ratio, <, 2.0);
}

/*
 * An upstream leaves. If that changed the subsets at large, every entry would
 * open new connections at once, at a millisecond each.
 */
static void test_removal_changes_one_choice_at_most(void)
{
	for (int round = 0; round < 200; round++) {
		struct fixture f;
		size_t gone = (size_t)g_test_rand_int_range(0, HOSTS);
		bool before[HOSTS];
		int lost = 0;

		set_up(&f, 0);
		subset_choose("entry", f.upstreams, HOSTS, SUBSET_SIZE);
		for (size_t i = 0; i < HOSTS; i++)
			before[i] = f.upstreams[i].chosen;
		f.upstreams[gone] = f.upstreams[HOSTS - 1];
		subset_choose("entry", f.upstreams, HOSTS - 1, SUBSET_SIZE);
		for (size_t i = 0; i < HOSTS - 1; i++)
			lost += i != gone && before[i] && !f.upstreams[i].chosen;
		g_assert_cmpint(lost, <=, 1);
	}
}

/* Today's services are smaller than a subset, so all their upstreams are
 * chosen. */
static void test_small_service_stays_whole(void)
{
	struct fixture f;

	set_up(&f, 0);
	g_assert_cmpuint(subset_choose("entry", f.upstreams, 7, SUBSET_SIZE),
			 ==, 7);
	g_assert_cmpuint(subset_choose("entry", f.upstreams, 0, SUBSET_SIZE),
			 ==, 0);
}

/*
 * Fifty entries call a service of 600 upstreams. With the same small subset for
 * each service, one upstream in eight would be in no subset, and its slots
 * would stay idle while the others are full.
 */
static void test_few_entries_reach_a_large_service(void)
{
	enum {
		LARGE = 600,
		ENTRIES = 50
	};
	struct subset_upstream upstreams[LARGE];
	char names[LARGE][16];
	bool reached[LARGE] = {false};
	size_t missed = LARGE;

	for (size_t i = 0; i < LARGE; i++) {
		g_snprintf(names[i], sizeof(names[i]), "host-%zu", i);
		upstreams[i] = (struct subset_upstream){.host = names[i]};
	}
	for (size_t entry = 0; entry < ENTRIES; entry++) {
		char name[16];

		g_snprintf(name, sizeof(name), "entry-%zu", entry);
		subset_choose(name, upstreams, LARGE, subset_size(LARGE));
		for (size_t i = 0; i < LARGE; i++)
			reached[i] |= upstreams[i].chosen;
	}
	for (size_t i = 0; i < LARGE; i++)
		missed -= reached[i];
	g_assert_cmpuint(missed, <=, LARGE / 100);
	g_assert_cmpuint(subset_size(7), ==, 7);
	g_assert_cmpuint(subset_size(100), ==, SUBSET_SIZE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/subset/balance", test_choices_are_balanced);
	g_test_add_func("/subset/removal",
			test_removal_changes_one_choice_at_most);
	g_test_add_func("/subset/small", test_small_service_stays_whole);
	g_test_add_func("/subset/large", test_few_entries_reach_a_large_service);
	return g_test_run();
}
