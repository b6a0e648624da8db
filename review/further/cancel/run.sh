#!/usr/bin/env bash
# An entry host freezes for 4 s just before a job is sent to it. The client leaves without an answer and cancels the job at another entry
# host, which acknowledges that. UNASKED: a task of the job is started later than cancel_ms after the acknowledgement, by the owner of the
# jobs, another host, which nothing has happened to. TROUBLE=0: without the freeze.
set -u
FOLDER=$(cd "$(dirname "$0")" && pwd)
ENTRY_HOSTS=6
. "$FOLDER/../../deployment.sh"

CANCEL_MS=3000 # cancel_ms
FREEZE_MS=4000 # node_freeze, for_s of the site
LEAVE_S=0.3    # give_up: half of the objective of 600 ms
start_deployment '{"version":3,"routes":[{"name":"q-work","host":"jobs.example","pathPrefix":"/jobs/","service":"fast","maxAttempts":2,"stretch":1.6,"targetLatencyMs":600}],"services":[{"name":"fast"},{"name":"slow"},{"name":"spare","spare":true}]}'

# The host that freezes owns nothing, so no other host takes anything over from it
FROZEN=0
for n in $(seq 1 $ENTRY_HOSTS); do
	[ "$(metrics $n | sed -n 's/^loomreach_cells_owned \([0-9]*\).*/\1/p')" = 0 ] && FROZEN=$n
done
[ $FROZEN = 0 ] && cannot_run "every entry host owns something"
OTHER=$((FROZEN % ENTRY_HOSTS + 1))
note "entry host $FROZEN owns nothing"

FREEZE_AT=$(now_ms)
[ "$TROUBLE" = 1 ] && { kill -STOP "${PIDS[$FROZEN]}"; note "entry host $FROZEN frozen"; }
call $FROZEN POST /jobs/00000000000000b1 "$(job lasts 2 ',"longRunning":true')" $LEAVE_S
call $OTHER DELETE /jobs/00000000000000b1
CANCELED=$(since_start)
case $STATUS in 2??) ;; 410) note "410 says that there is no such job" ;; *) cannot_run "the cancel was not acknowledged" ;; esac
while [ $(($(now_ms) - FREEZE_AT)) -lt $FREEZE_MS ]; do sleep 0.02; done
[ "$TROUBLE" = 1 ] && { kill -CONT "${PIDS[$FROZEN]}"; note "entry host $FROZEN wakes"; }
sleep 10
call $OTHER GET /jobs/00000000000000b1
record_runs 00000000000000b1
note "10 s later the job has $(running 00000000000000b1) tasks at work"
LATE=$(runs_of 00000000000000b1 | awk -v limit=$((CANCELED + CANCEL_MS)) '$2 == "begin" && $1 > limit' | wc -l)
note "$LATE tasks were started later than $CANCEL_MS ms after the cancel was acknowledged"
BROKEN=0
[ "$LATE" -gt 0 ] && BROKEN=1
verdict $BROKEN UNASKED
