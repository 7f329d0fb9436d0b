#!/bin/sh
# A short run of the fault soak with a fixed seed; longer ones are run by hand:
# build/regress/soak/soak_entry --seed N --seconds 60.
# Guards against a broken promise under faults that no single test combines.
build=${BSH_BUILD:-build}
echo '1..1'
if BSH_BUILD="$build" timeout 120 "$build/regress/soak/soak_entry" --seed 3 \
    --seconds 6 >&2; then
	echo 'ok 1 /soak/seed-3'
else
	echo 'not ok 1 /soak/seed-3'
fi
