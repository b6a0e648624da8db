#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into build/review. The entry hosts are those of the deploy file's build, in target/.
set -eu
cd "$(dirname "$0")/.."
OUT=build/review
mkdir -p "$OUT"
PACKAGES="libsoup-3.0 gio-2.0 libcurl libxxhash libglog"
# shellcheck disable=SC2086
CFLAGS="-std=c++20 -O1 -I. $(pkg-config --cflags $PACKAGES)"
# shellcheck disable=SC2086
LIBS="$(pkg-config --libs $PACKAGES) -lgflags -pthread"
if [ ! -f target/libLoomreach.a ]; then
	sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
OBJECTS=""
JOBS=""
for source in TestSupport/Platform/*.cpp; do
	object="$OUT/$(basename "$source" .cpp).o"
	# shellcheck disable=SC2086
	g++ $CFLAGS -c "$source" -o "$object" &
	JOBS="$JOBS $!"
	OBJECTS="$OBJECTS $object"
done
g++ -std=c++20 -O1 review/standin/StoreLimits.cpp -o "$OUT/store-limits" -pthread &
JOBS="$JOBS $!"
for job in $JOBS; do wait "$job"; done
# shellcheck disable=SC2086
g++ $OBJECTS target/libLoomreach.a -o "$OUT/loomreach-platform" $LIBS
echo "built: $OUT/loomreach-platform $OUT/store-limits"
