#!/bin/sh
# Short runs of the fault soak with fixed seeds; longer ones are run by hand:
# build/regress/soak/soak_entry --seed N --seconds 60.
# Guards against a broken promise under faults that no single test combines.
build=${BSH_BUILD:-build}
export BSH_BUILD="$build"
number=0

# run_seed SEED: one case.  A failure leaves the violations in the output.
run_seed()
{
	number=$((number + 1))
	if timeout 120 "$build/regress/soak/soak_entry" --seed "$1" \
	    --seconds 6 >&2; then
		echo "ok $number /soak/seed-$1"
	else
		echo "not ok $number /soak/seed-$1"
	fi
}

echo '1..3'
# A stream was taken up at a target of another software version.
run_seed 3
# Requests ended with 502, and streams were cut, because their targets fell
# silent for a moment while the others refused.
run_seed 7
# The same for a stream that had brought all its events but not its end.
run_seed 8
