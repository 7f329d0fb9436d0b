/* Virtual clock of regress/support, compiled into this program. */
#include "support/sim.c" /* NOLINT(bugprone-suspicious-include) */
