/* The virtual clock of the tests, built into this program. */
#include "support/sim.c" /* NOLINT(bugprone-suspicious-include) */
