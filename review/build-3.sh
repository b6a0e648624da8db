#!/usr/bin/env bash
# Builds what the scripts of review/9 to review/13 start beside the daemon of deploy/system.toml: the project's fake of the platform, and the
# stand-ins of review/standins-3. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build/review-3 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DLOOM_FUZZ=OFF >/dev/null
cmake --build build/review-3 --target loomreach-platform
for source in review/standins-3/*.cpp; do
	[ -e "$source" ] || continue
	g++ -std=c++20 -O2 -Wall -Wextra -o "build/review-3/$(basename "$source" .cpp)" "$source"
done
