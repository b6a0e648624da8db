#!/usr/bin/env bash
# REFUSED: a submission is answered with 503, and its job runs all the same. The host that appended it for the caller's host is killed
# before it could say so; its next process is asked again and says that nothing was done.
# TROUBLE=0: the same with a quick store and without a kill.
set -u
RECORD=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../common-3.sh"

JOB=00000000000000f1
BODY='{"spec":"ms=300 cpu=1000","steps":[{"count":2,"cpu":1000,"memMb":200,"estimateMs":300}]}'
SLOW_MS=236 # 60 times the usual 4 ms
RESTART_S=${RESTART_S:-0.2} # "a short delay"

start_platform fast,fast,fast,slow,slow,spare
STORE=$((PORT + 30))
$TOOLS/delay-proxy $STORE "$PORT" &
PIDS[proxy]=$!
# slow MS: the store's answers take this much longer from now on.
slow() { echo -n "$1" >"/dev/udp/127.0.0.1/$STORE"; }
for number in 1 2 3; do start_entry $number $STORE; done
operator config '{"version":3,"routes":[
 {"name":"q-fast","host":"jobs.example","pathPrefix":"/fast/","service":"fast","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600}],
 "services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}'
within 20 all_ready || cannot_run "the entry hosts are not ready"
submit 1 /fast/00000000000000a0 "$BODY"
within 20 is 2 /fast/00000000000000a0 completed || cannot_run "the first job did not end"

# The leader is the host that last wrote under a condition: the owner of the jobs' cell
CELL=$(grep -h 'event=job_accepted request=00000000000000a0' "$WORK"/e*.log | grep -o ' cell=[0-9]*' | tr -dc 0-9)
LEADER=$(grep -l 'event=job_taken request=00000000000000a0' "$WORK"/e*.log | tail -n 1 | sed 's/.*e\([0-9]\).log/\1/')
ASKED=$((LEADER % 3 + 1))
# Number of records in the cell's inbox, as the store has it.
inbox_end() {
	curl -s --max-time 2 "http://127.0.0.1:$PORT/log-read?topic=inbox$((CELL / 8))&part=$((CELL % 8))&from=0" | head -c 8 | od -An -tu1 |
		awk '{ print $8 + 256 * $7 }'
}
BEFORE=$(inbox_end)
note "cell $CELL, led by entry-$LEADER; the caller's host is entry-$ASKED; records in the inbox: $BEFORE"

if [ "$TROUBLE" != 0 ]; then
	slow $SLOW_MS
	note "the store is slow: $SLOW_MS ms more an answer"
	is_collected() { grep -q 'event=inbox_path path=collected' "$WORK/e$ASKED.log"; }
	within 4 is_collected || cannot_run "entry-$ASKED did not notice that the store is slow"
fi
submit "$ASKED" /fast/$JOB "$BODY" &
CALLER=$!
if [ "$TROUBLE" != 0 ]; then
	for _ in $(seq 1 500); do
		[ "$(inbox_end)" -gt "$BEFORE" ] && break
		sleep 0.002
	done
	[ "$(inbox_end)" -gt "$BEFORE" ] || cannot_run "the submission did not reach the inbox"
	# The store's answer takes 0.24 s; the kill comes in between
	sleep 0.1
	kill -9 "${PIDS[$LEADER]}"
	curl -s -X PUT "$CONTROL/fault/busy" >/dev/null
	slow 0
	sleep "$RESTART_S"
	start_entry "$LEADER" $STORE
	note "the store has the record; entry-$LEADER was killed and is started again; the store is down (503)"
fi
wait $CALLER
ANSWER=$(grep -o "POST /fast/$JOB to entry-$ASKED: .*" "$RECORD" | sed 's/.*: //')
if [ "$TROUBLE" != 0 ]; then
	sleep 2.5
	curl -s -X PUT "$CONTROL/fault/none" >/dev/null
	note "the store is back"
fi
# The caller does not ask again
has_run() { [ "$(started $JOB)" -gt 0 ]; }
within 15 has_run
note "answer: $ANSWER; starts of the job's tasks: $(started $JOB); state: $(state "$ASKED" /fast/$JOB)"
grep -h "event=job_not_accepted request=$JOB" "$WORK"/e*.log | grep -o 'tried=.*' | while read -r tried; do note "entry-$ASKED says: $tried"; done
if { [ "$ANSWER" = 503 ] || [ "$ANSWER" = 429 ]; } && has_run; then
	note "BROKEN: REFUSED: its only submission was answered with $ANSWER, and $(started $JOB) tasks of the job were started"
	exit 1
fi
note "held"
exit 0
