#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into build/review-2. Needs the packages and the result of the deploy file's
# build (target/libLoomreach.a), and nothing else.
set -eu
cd "$(dirname "$0")/.."
[ -e target/libLoomreach.a ] || { echo "run the build of deploy/system.toml first"; exit 2; }
mkdir -p build/review-2
PACKAGES="libsoup-3.0 gio-2.0 libcurl libxxhash libglog"
# shellcheck disable=SC2046,SC2086
g++ -std=c++20 -O2 -I. $(pkg-config --cflags $PACKAGES) TestSupport/Platform/*.cpp target/libLoomreach.a $(pkg-config --libs $PACKAGES) -lgflags \
	-o build/review-2/loomreach-platform
g++ -std=c++20 -O2 -Wall -Wextra -Wpedantic -Werror review/stand-in-2/StoreLimits.cpp -pthread -o build/review-2/loomreach-store-limits
echo "built: build/review-2"
