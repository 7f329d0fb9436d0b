#include <stdio.h>
#include <string.h>

#include "support/world.h"

/* Sums over all seeds of a case. */
typedef struct {
	int violations;
	int requests; /* submissions, with retries */
	int served;   /* of these, answered with BSH_OK */
} tally_t;

/* Runs one schedule; returns its violations and adds it to tally. */
static int run_seed(const world_proof_t *proof, const world_case_t *c,
		    const adapter_t *adapter, uint32_t seed, bool verbose,
		    tally_t *tally)
{
	world_t w;
	int violations;

	world_init(&w, adapter, seed, c->faults, c->rounds);
	w.verbose = verbose;
	proof->prepare(&w);
	world_run(&w);
	violations = proof->violations(&w);
	tally->violations += violations;
	for (guint i = 0; i < w.submissions->len; i++) {
		const submission_t *sub = g_ptr_array_index(w.submissions, i);

		tally->requests++;
		tally->served += sub->ok;
	}
	world_finish(&w);
	return violations;
}

static void run_case(const world_proof_t *proof, const world_case_t *c,
		     int seeds, bool verbose)
{
	tally_t naive = { 0 };
	tally_t berylshunt = { 0 };
	int first_seed = -1;

	for (int seed = 1; seed <= seeds; seed++) {
		run_seed(proof, c, &naive_adapter, (uint32_t)seed, false,
			 &naive);
		if (run_seed(proof, c, &berylshunt_adapter, (uint32_t)seed,
			     false, &berylshunt) > 0 &&
		    first_seed < 0)
			first_seed = seed;
	}
	printf("%s\t%s\t%d\t%d\t%d\n", proof->promise, c->name, seeds,
	       naive.violations, berylshunt.violations);
	if (first_seed > 0)
		fprintf(stderr,
			"%s/%s: first failing seed %d; replay with --case %s "
			"--seed %d --verbose\n",
			proof->promise, c->name, first_seed, c->name,
			first_seed);
	if (verbose)
		fprintf(stderr,
			"%s/%s: requests answered: naive %d of %d, "
			"berylshunt %d of %d\n",
			proof->promise, c->name, naive.served, naive.requests,
			berylshunt.served, berylshunt.requests);
}

int world_prove(const world_proof_t *proof, int argc, char **argv)
{
	g_autofree char *only_case = NULL;
	int seeds = proof->seeds;
	int seed = 0;
	gboolean verbose = FALSE;
	GOptionEntry entries[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "seeds per case",
		  "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "one seed only", "N" },
		{ "case", 0, 0, G_OPTION_ARG_STRING, &only_case,
		  "one case only", "NAME" },
		{ "verbose", 0, 0, G_OPTION_ARG_NONE, &verbose,
		  "print the events of --seed", NULL },
		G_OPTION_ENTRY_NULL
	};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) error = NULL;
	tally_t tally = { 0 };

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	for (const world_case_t *c = proof->cases; c->name != NULL; c++) {
		if (only_case != NULL && strcmp(only_case, c->name) != 0)
			continue;
		if (seed == 0)
			run_case(proof, c, seeds, verbose);
		else
			printf("%s\t%s\tseed %d\t%d\n", proof->promise, c->name,
			       seed,
			       run_seed(proof, c, &berylshunt_adapter,
					(uint32_t)seed, verbose, &tally));
	}
	return 0;
}
