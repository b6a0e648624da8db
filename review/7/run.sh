#!/usr/bin/env bash
# A large job comes: 7,000 small tasks. It is accepted, and afterwards no job of its pool is started any more.
. "$(dirname "$0")/../common-2.sh"
start_deployment booking billing

SMALL='{"spec":"ms=300 cpu=1000","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300}]}'
LARGE='{"spec":"ms=2000 cpu=20","steps":[{"count":7000,"cpu":20,"memMb":10,"estimateMs":2000}]}'
is_done() { ask 1 "$1" "$2"; [ "$ANSWER" = '{"state":"completed"} 200' ]; }
submit 1 booking 0000000000000001 "$SMALL"
within 15 is_done booking 0000000000000001 || cannot_run "a first small job did not complete"

if [ "$TROUBLE" = 1 ]; then
	submit 2 booking 00000000000000a1 "$LARGE"
	[ "$STATUS" = 200 ] || { note "held: the large job was not accepted"; exit 0; }
fi

sleep 15
for number in 2 3 4 5; do submit "$number" booking "000000000000000$number" "$SMALL"; [ "$STATUS" = 200 ] || cannot_run "a job was not accepted"; done
submit 1 billing 00000000000000b1 "$SMALL"
# finish_s. The pool has 144 cores
MOST=0
END=$((SECONDS + 15))
while [ $SECONDS -lt $END ]; do
	# No task asks for more than one core
	USED=$(($(running_all) * 1000))
	[ "$USED" -le "$MOST" ] || MOST=$USED
	sleep 0.5
done
BROKEN=0
for number in 2 3 4 5; do
	ID=000000000000000$number
	ask 6 booking $ID
	note "job $ID: $(starts $ID) starts in 14 s; at most $MOST of 144000 thousandths of a core were in use"
	[ "$(starts $ID)" != 0 ] || [ "$MOST" -ge 72000 ] || BROKEN=1
done
ask 6 booking 00000000000000a1
ask 6 billing 00000000000000b1
log_counts
note "$(grep -h 'event=append_again' "$DIR"/host-*.log | wc -l) appends repeated, the last: $(grep -h 'event=append_again' "$DIR"/host-*.log | tail -n 1 | grep -o 'event=.*')"
[ $BROKEN = 0 ] && note "held" || note "broken: LOST"
exit $BROKEN
