#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into build/review. The entry hosts are those of the deploy file's build, in target/.
# loomreach-platform-anew is the same stand-in with workers whose clocks start anew with each life, as the users' terms say; the project's own gives
# each life a random clock.
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
ANEW="$OUT/FakeFleetAnew.cpp"
sed -e 's/ioHost\.clock_offset = static_cast<Millis>(this->random\.Below(cMaxClockOffsetMs));/ioHost.clock_offset = -NowMillis();/' \
	-e '/^static constexpr uint64 cMaxClockOffsetMs/d' TestSupport/Platform/FakeFleet.cpp >"$ANEW"
grep -q 'clock_offset = -NowMillis()' "$ANEW"
# shellcheck disable=SC2086
g++ $CFLAGS -c "$ANEW" -o "$OUT/FakeFleetAnew.o" &
JOBS="$JOBS $!"
g++ -std=c++20 -O1 review/standin/StoreLimits.cpp -o "$OUT/store-limits" -pthread &
JOBS="$JOBS $!"
for job in $JOBS; do wait "$job"; done
# shellcheck disable=SC2086
g++ $OBJECTS target/libLoomreach.a -o "$OUT/loomreach-platform" $LIBS
# shellcheck disable=SC2086
g++ ${OBJECTS/FakeFleet.o/FakeFleetAnew.o} target/libLoomreach.a -o "$OUT/loomreach-platform-anew" $LIBS
echo "built: loomreach-platform, loomreach-platform-anew and store-limits in $OUT"
