#!/usr/bin/env bash
# clang-format and clang-tidy over the whole tree; prints what is wrong and fails. Needs a configured build.
set -u
cd "$(dirname "$0")/.." || exit 1
FILES=$(git ls-files '*.h' '*.cpp' '*.inl')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $FILES || exit 1
echo "clang-format: clean"
SOURCES=$(git ls-files '*.cpp')
FLAGS=$(pkg-config --cflags libcurl libsoup-3.0 gio-2.0 libxxhash libglog)
# shellcheck disable=SC2086
printf '%s\n' $SOURCES | xargs -P "$(nproc)" -I{} clang-tidy --quiet {} -- -std=c++20 -I. $FLAGS 2>/dev/null >/tmp/loomreach-tidy.$$
STATUS=$?
cat /tmp/loomreach-tidy.$$
rm -f /tmp/loomreach-tidy.$$
[ $STATUS = 0 ] && echo "clang-tidy: clean"
exit $STATUS
