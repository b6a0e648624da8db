#!/usr/bin/env bash
# Runs one fuzz target from its seed corpus, and prints the input and the reason if it finds a fault.
# Usage: fuzz.sh BUILD TARGET [option of libFuzzer...], such as: fuzz.sh build/release StoreRecords -max_total_time=600
set -u
BUILD=$(realpath "$1")
TARGET=$2
shift 2
SEEDS=$(realpath "$(dirname "$0")/../FuzzTests/corpus/$TARGET")
[ -d "$SEEDS" ] || { echo "no corpus for $TARGET"; exit 1; }
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
mkdir "$DIR/corpus"
cd "$DIR" || exit 1
"$BUILD/fuzz/${TARGET}Fuzz" -max_len=8192 -timeout=10 -rss_limit_mb=512 "$@" "$DIR/corpus" "$SEEDS" >"$DIR/log" 2>&1
STATUS=$?
if [ $STATUS != 0 ]; then
	grep -v '^WARNING: Logging\|event=' "$DIR/log" | tail -60
	for input in crash-* oom-* timeout-* leak-*; do [ -f "$input" ] && { echo "input $input:"; base64 "$input"; }; done
fi
grep -E '^(Done|INFO: Seed|stat::)' "$DIR/log"
exit $STATUS
