// In-memory state of a cell: jobs, workers, and the runs that connect them.
//
// Run ends are numbered per worker incarnation. WorkerIncarnation keeps the highest number that has reached each stage: recorded in the job
// records, part of the current series of appends, part of the append in flight, in the log, acknowledged to the worker, and acknowledgement
// answered by the worker.

#pragma once

#include <Loomreach/Schedule/Advice.h>
#include <Loomreach/Schedule/SharedCrashCases.h>
#include <Loomreach/Schedule/StepRunTimes.h>
#include <Loomreach/Schedule/Worker.h>

namespace Loomreach::Jobs
{

/// Times, limits and weights of one cell. Times are in ms.
struct CellTuning
{
	bool records_name_queues = true; ///< Redirected records name their queue. Setting `records_name_queues`.
	Millis lease_ms = 4000;          ///< Lease granted to a worker's runs by each poll. Setting `worker_lease_ms`.
	Millis max_lease_ms = 10000;     ///< Longest lease that any owner may have granted. Setting `worker_most_lease_ms`.
	/// Workers truncate longer leases to this, including a lease whose end was computed for the clock of a previous incarnation.
	Millis worker_lease_cap_ms = 10000;
	Millis poll_wait_ms = 1500; ///< How long a long poll waits for a run end; well below the lease.
	/// Poll wait while latency-sensitive and best-effort runs share the worker: tail latency must be seen before it does harm.
	Millis short_poll_wait_ms = 500;
	Millis trial_poll_wait_ms = 300; ///< Poll wait during a trial run: as long as the run needs to survive its start.
	/// Minimum time between two polls of a worker. Run ends within it are reported together, which saves calls.
	Millis min_poll_gap_ms = 120;
	Millis min_trial_poll_gap_ms = 30; ///< The same during a trial run: a crash right after the start must be seen promptly.
	Millis poll_retry_ms = 400;        ///< After an unanswered poll, and between polls while ends wait to be logged.
	Millis refusal_backoff_ms = 500;   ///< No run is placed on a worker for this long after it refused one.
	Millis keep_ended_ms = 150000;     ///< Ended jobs are kept for the 120 s that callers may ask for them, plus a quarter.
	Millis quarantine_ms = 4000;       ///< A worker whose runs all fail gets at most one run per period.
	Millis demand_hold_ms = 1500;      ///< Demand counts for this long after it was last observed. Setting.
	Millis slow_ms = 4000;             ///< A slow worker is avoided for this long, then tried again.
	Millis restart_backoff_ms = 300;   ///< Delay before a failed long-running task is started again.
	/// An append is closed once it holds this much: half of the 2 MB that the store accepts per call. The records of one job are far
	/// smaller than the other half. The store rejects larger appends on every retry, so that a backlog (1,600 records after a power loss)
	/// would never be written.
	size_t batch_bytes = 1000000;
	/// Planning pauses while starts of this many bytes are not sent yet: what is planned is reserved on its workers, and no longer ordered
	/// by urgency.
	size_t start_backlog_bytes = std::numeric_limits<size_t>::max();
	uint32 log_partitions = 0; ///< Partitions per topic of the platform's log, which map pools to cells; 0: queues never move.
};

/// Worker clocks may run this much slower than the owner's, in thousandths: the specified 2%, and half of that as margin.
inline constexpr Millis cClockSlackPerMille = 30;
/// Margin before a lease counts as expired: two message delays and a late timer.
inline constexpr Millis cLeaseSlackMs = 150;

/// Longest expected delay of an order without an answer. The platform specifies "seconds"; the simulation delays orders by up to 12 s.
inline constexpr Millis cMaxOrderDelayMs = 12000;

/// Longest time on the owner's clock, counted from sending, that a lease of `inLeaseMs` on a worker's clock may last.
constexpr Millis LongestLease(Millis inLeaseMs) { return inLeaseMs * (1000 + cClockSlackPerMille) / 1000 + cLeaseSlackMs; }

/// Consecutive failures on one worker after which it gets one run at a time. Random failures (0.2 to 3%) rarely occur three times in a row.
inline constexpr uint32 cFailuresToQuarantine = 3;

/// State of a run as the cell knows it. Up to Logged, no worker has been sent the run.
enum class ERunState : uint8
{
	Planned,     ///< Placed, not in the log yet.
	Writing,     ///< In the append in flight.
	Logged,      ///< In the log, not dispatched yet.
	Starting,    ///< Dispatched, no answer yet.
	Confirmed,   ///< The worker has it.
	Unconfirmed, ///< No answer: the worker may have it, or may still start it.
	Inherited,   ///< Found in the log at take-over, or dispatched to a previous incarnation; the current one has not been polled yet.
	Stopping,    ///< Being stopped.
	Fenced       ///< The worker refuses it from now on, but its start has had no answer and may still reach a later incarnation.
};

inline constexpr std::array cRunStateNames = {
	EnumName<ERunState>{ERunState::Planned, "planned"},     EnumName<ERunState>{ERunState::Writing, "writing"},
	EnumName<ERunState>{ERunState::Logged, "logged"},       EnumName<ERunState>{ERunState::Starting, "starting"},
	EnumName<ERunState>{ERunState::Confirmed, "confirmed"}, EnumName<ERunState>{ERunState::Unconfirmed, "doubtful"},
	EnumName<ERunState>{ERunState::Inherited, "inherited"}, EnumName<ERunState>{ERunState::Stopping, "stopping"},
	EnumName<ERunState>{ERunState::Fenced, "fenced"},
};

/// How a run is isolated so that a crash shows whether the run was the cause.
enum class ETrial : uint8
{
	None,
	Start,   ///< Nothing else starts on the worker until the run has survived its start.
	Isolated ///< Nothing else runs on the worker.
};

inline constexpr std::array cTrialNames = {
	EnumName<ETrial>{ETrial::None, "none"},
	EnumName<ETrial>{ETrial::Start, "start"},
	EnumName<ETrial>{ETrial::Isolated, "alone"},
};

/// Whether a worker may have received the run.
constexpr bool IsDispatched(ERunState inState) { return inState > ERunState::Logged; }

/// Identifies a run by its task and number.
struct RunId
{
	TaskId task;
	uint32 run = 0;

	auto operator<=>(const RunId &) const = default;
	bool operator==(const RunId &) const = default;
};

/// Speed of a run that is not throttled.
inline constexpr int64 cFullSpeedPercent = 100;

/// A run that occupies capacity on a worker.
struct Run
{
	ERunState state = ERunState::Planned;
	Resources reserved;             ///< What it takes on the worker; no processor time for best-effort tasks.
	Resources requested;            ///< What its task requests; counts against the team's limit.
	std::string team;               ///< Empty: no team.
	bool latency_sensitive = false; ///< Long-running with a latency target.
	bool best_effort = false;
	bool long_running = false;
	bool resumed = false;   ///< Started from a checkpoint, so its run time is not representative.
	bool inherited = false; ///< Found in the log at take-over: a previous owner may have ordered it to stop.
	/// The run was on a previous incarnation that this owner never heard from. Until then a previous owner may still submit its end.
	Millis predecessor_wait_until = 0;
	ETrial trial = ETrial::None;
	bool blame_exempt = false;       ///< Long-running, and up for so long that no crash is attributed to it.
	bool in_new_incarnation = false; ///< Listed by the incarnation that has just begun.
	bool crash_counted = false;      ///< A crash was counted against it, and no later incarnation is known to have it.
	/// Start time of the incarnation whose crash is included in its task's counts; none: no crash is, or a later incarnation is known to
	/// have had the run since. Invariant: in the log whenever the counts are.
	std::optional<int64> counted_crash;
	bool size_unknown = false;   ///< The worker has it, and no record says what it takes.
	Millis since = 0;            ///< When it entered its state.
	Millis confirmed_at = -1;    ///< When the worker was known to have it; -1: never.
	Millis start_expires_at = 0; ///< On the worker's clock. A start that arrives later has no effect.
	/// Its start may still arrive until then, and be carried out unless the incarnation there refuses it; 0: it has arrived.
	Millis start_pending_until = 0;
	bool stop_sent = false;    ///< A stop order is in flight.
	Millis stop_acked_at = -1; ///< When the worker accepted the stop; -1: not yet.
	Millis next_stop_at = 0;
	uint32 stops_sent = 0; ///< Stop orders sent so far.
	bool overdue_logged = false;
	int64 percent = 0;
	Millis progress_at = 0;                     ///< When `percent` was reported.
	int64 measurement = 0;                      ///< As in RunningRun.
	int64 throttle_percent = cFullSpeedPercent; ///< Share of full speed that it was last told to work at.
	bool throttle_in_flight = false;
	std::string ticket;
	uint64 planned_for = 0; ///< Number of the incarnation that it was planned for; 0: none that this owner knows.

	/// Whether the end of an incarnation says nothing new about it: the crash is counted, or it is not known to have been there.
	bool IsCrashKnown(int64 inStartedMs) const { return this->crash_counted || this->counted_crash == inStartedMs; }
};

/// A new run of a step's task in the given state.
inline Run NewRun(const JobSpec &inJob, const StepSpec &inStep, ERunState inState, Millis inNow)
{
	Run run;
	run.requested = inStep.requested;
	run.team = inJob.team;
	run.state = inState;
	run.since = inNow;
	run.reserved = inStep.Reserved();
	run.latency_sensitive = inStep.long_running && inStep.latency_target_ms > 0;
	run.best_effort = inStep.best_effort;
	run.long_running = inStep.long_running;
	return run;
}

/// How an owner learned of a run end.
enum class EEndSource : uint8
{
	Poll,        ///< Listed in the answer to the newest poll.
	EarlierPoll, ///< Listed in the answer to an earlier poll, or to one of a previous incarnation.
	Inbox        ///< Submitted to the inbox by a former owner or a host with a replica.
};

inline constexpr std::array cEndSourceNames = {
	EnumName<EEndSource>{EEndSource::Poll, "poll"},
	EnumName<EEndSource>{EEndSource::EarlierPoll, "earlier-poll"},
	EnumName<EEndSource>{EEndSource::Inbox, "inbox"},
};

/// State of one incarnation of a worker. The next one, which may have the same id, starts with none of it.
struct WorkerIncarnation
{
	int64 started_ms = cStartTimeUnknown; ///< Identifies the incarnation together with the worker's id.
	uint64 incarnation_number = 0;        ///< Part of the token of its orders; higher than for every earlier incarnation.
	/// It replaced a known one, orders for which may still arrive and, with lease ends of another clock, make it grant its longest lease.
	bool replaced = false;
	/// It has carried out an order with its own token, and refuses orders for earlier incarnations since.
	bool token_seen = false;
	/// Something suggests that another incarnation has begun. The next poll decides; until then nothing is started.
	bool restart_suspected = false;
	bool leave_announced = false;    ///< The worker has announced that it leaves.
	bool ended = false;              ///< The incarnation is known to have ended.
	Millis clock_ms = -1;            ///< Its clock when last heard.
	Millis clock_read_at = 0;        ///< Owner's clock when that answer arrived.
	Millis clock_order_sent_at = -1; ///< When the order with that answer was sent; -1: the clock was not read from an answer.
	bool poll_in_flight = false;
	uint64 newest_poll = 0;      ///< Serial of the last poll that was sent.
	Millis last_poll_at = -1000; ///< When that poll was sent.
	Millis next_poll_at = 0;
	Millis last_answer_at = -1;        ///< -1: never answered.
	uint32 unanswered_polls = 0;       ///< Polls that got no answer since the last answered poll.
	Millis granted_until_ms = -1;      ///< Latest lease end in this owner's orders, on the worker's clock; -1: none granted.
	Millis connections_closed_at = -1; ///< When its connections were first found closed after the last answer; -1: not closed.
	/// When the first call after the last answer went unanswered on an open connection: the host is unresponsive or partitioned. -1: none
	/// did.
	Millis unanswered_since = -1;
	Millis trial_reserved_until = 0; ///< Reserved for a trial run: nothing else is started there until then.
	/// Poll it even without runs: it has just begun, or a worker of its rack has crashed during a trial run.
	bool poll_once = false;
	bool reachable = false;              ///< It answered its last poll as healthy and has left no order unanswered since.
	bool ends_truncated = false;         ///< Its last answer may not have listed all its ends.
	uint64 recorded_seq = 0;             ///< Highest end that the job records contain.
	uint64 series_seq = 0;               ///< Of these, up to here: in the current series of appends.
	uint64 appending_seq = 0;            ///< Up to here: in the log once the append in flight completes.
	uint64 logged_seq = 0;               ///< Up to here: in the log, so the worker may drop them.
	uint64 sent_ack_seq = 0;             ///< Up to here: acknowledged to the worker by a poll.
	uint64 acked_seq = 0;                ///< Up to here: acknowledged by a poll that the worker answered.
	std::vector<EndedRun> unlogged_ends; ///< Invariant: the polled ends after `logged_seq` up to `recorded_seq`, in order.
	Millis ends_logged_at = 0;           ///< When `logged_seq` last rose.
	Millis backoff_until = 0;            ///< It refused an order; nothing new until then.
	Millis quarantine_until = 0;
	double slowness = 1.0;             ///< Moving average of actual to expected run time.
	Millis slow_until = 0;             ///< Other workers are preferred until then.
	uint32 consecutive_failures = 0;   ///< Failed runs since the last successful one.
	Millis throttled_at = 0;           ///< Time of the answer that throttling was last decided on.
	Millis stragglers_checked_at = -1; ///< Time of the answer that was last checked for stragglers.

	/// Lower bound of its clock now.
	Millis ClockAt(Millis inNow) const { return this->clock_ms + (inNow - this->clock_read_at) * (1000 - cClockSlackPerMille) / 1000; }
	/// Whether the clock value of an answer is plausible for this incarnation. Each incarnation's clock starts at an arbitrary value, so
	/// that a value that does not fit belongs to another one.
	bool FitsClock(Millis inClock, Millis inSentAt, Millis inNow) const;
};

/// What last made an owner assume that a worker may have granted its longest lease.
enum class ELongestLease : uint8
{
	NotAssumed, ///< Nothing has suggested another incarnation than the logged one.
	Logged,     ///< The log said so at take-over.
	Listed,     ///< The worker list showed a later incarnation while runs were there.
	Clock,      ///< The clock in an answer did not fit the incarnation.
	Restarted,  ///< A later incarnation has begun.
	TokenSeen,  ///< A later incarnation has carried out the first order with its own token.
	Unanswered  ///< An order for a former incarnation got no answer.
};

inline constexpr std::array cLongestLeaseNames = {
	EnumName<ELongestLease>{ELongestLease::NotAssumed, "not-assumed"}, EnumName<ELongestLease>{ELongestLease::Logged, "logged"},
	EnumName<ELongestLease>{ELongestLease::Listed, "listed"},          EnumName<ELongestLease>{ELongestLease::Clock, "clock"},
	EnumName<ELongestLease>{ELongestLease::Restarted, "restarted"},    EnumName<ELongestLease>{ELongestLease::TokenSeen, "token-seen"},
	EnumName<ELongestLease>{ELongestLease::Unanswered, "unanswered"},
};

/// Ends of a worker's previous incarnations that are not in the log yet.
struct PreviousIncarnationEnds
{
	std::vector<EndedRun> rows;
	size_t series_count = 0;    ///< This many are in the current series of appends.
	size_t appending_count = 0; ///< This many are in the log once the append in flight completes.
};

/// Age of an event that never happened.
inline constexpr Millis cNeverMs = 1'000'000'000;

/// Where a worker can be reached, for the next owner of the cell.
struct WorkerLocation
{
	Address address;
	std::string availability_zone;

	bool operator==(const WorkerLocation &) const = default;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->address, this->availability_zone);
	}
};

/// A worker of the cell, with the state of its current incarnation.
struct CellWorker : WorkerIncarnation
{
	WorkerEntry entry;
	bool listed = true;     ///< In the worker list now.
	Millis unlisted_at = 0; ///< When it was first missing from the list.
	/// It went missing from the list while the store was unavailable; until then it counts as present while it answers.
	Millis assumed_present_until = 0;
	/// Its location in the log or in the append in flight. A successor also polls workers with a logged location that the list lacks.
	std::optional<WorkerLocation> logged_location;
	int64 logged_started_ms = cStartTimeUnknown; ///< Incarnation that the log names, likewise.
	std::map<RunId, Run> runs;                   ///< Invariant: exactly the runs that the task records place here.
	Resources used;                              ///< Sum of the runs' reserved resources.
	uint32 open_trials = 0;                      ///< Trial runs that currently forbid other starts.
	uint32 unsized_runs = 0;                     ///< Runs whose reserved resources are unknown.
	Millis lease_expires_at = 0;                 ///< On the owner's clock; everything dispatched has lapsed by then unless extended.
	/// An order that grants a lease, of this owner or of a previous one, may still arrive until then. The worker is remembered as long: a
	/// later incarnation may grant its longest lease to such an order.
	Millis leases_pending_until = 0;
	/// Until when its longest lease may last, on the owner's clock. Invariant: not above `lease_expires_at`. While it has not passed, the
	/// log says so whenever there are runs: a successor must wait as long.
	Millis longest_lease_until = 0;
	ELongestLease longest_lease_cause = ELongestLease::NotAssumed; ///< Why it was last assumed, for log lines.
	Millis logged_longest_lease_ms = 0;                            ///< That lease in the log, or in the append in flight; 0: none.
	PreviousIncarnationEnds previous_ends;
	Millis drain_until = 0;        ///< Being drained for maintenance; nothing new until then.
	Millis drain_grant_until = 0;  ///< It was reported empty, so its host may be moved or taken down until then.
	Millis drain_grant_ms = 0;     ///< Length of a drain grant; 0: none.
	Millis appending_grant_ms = 0; ///< The same in the log once the append in flight completes.
	Millis logged_grant_ms = 0;    ///< The same in the log now: a successor honours grants given before its time.
	Millis removed_until = 0;      ///< Its host was moved or taken down; the worker list may still show it until then.

	/// Whether all ends that it reported are in the log.
	bool AreEndsLogged() const { return this->recorded_seq <= this->logged_seq && this->previous_ends.rows.empty(); }
	WorkerLocation Location() const { return {this->entry.address, this->entry.availability_zone}; }
	/// Whether it may be removed: it has no runs, and all ends that it reported are in the log. Its own list of them is lost with it.
	bool IsIdleAndLogged() const { return this->runs.empty() && this->AreEndsLogged(); }
	/// Whether it has seen the acknowledgement of all its ends, or cannot be asked. Its list of them is lost with its host.
	bool AreEndsAcknowledged() const { return this->acked_seq >= this->recorded_seq || !this->reachable; }
	/// Whether it counts as present for new runs.
	bool IsPresent(Millis inNow) const { return this->listed || inNow < this->assumed_present_until; }
	/// Free capacity.
	Resources Free() const
	{
		Resources free = this->entry.capacity;
		free.Subtract(this->used);
		return free;
	}
};

/// A lost worker, with the evidence whether a task caused the loss.
struct WorkerLoss
{
	Millis at = 0;
	bool exact = false; ///< Its host closed the connections; otherwise a call had to time out.
	std::string rack;
	bool just_started = false; ///< A run had just started there.
};

/// State of a task that is not in the log.
struct VolatileTaskState
{
	Millis not_before = 0;            ///< Not started before.
	std::string last_failed_worker;   ///< Worker of its last failed run.
	Millis trial_wanted_since = -1;   ///< Since when a worker for its trial run has been sought; -1: not sought.
	Millis trial_wait_logged_at = -1; ///< When that wait was last logged; -1: not yet.
	uint32 given_up_run = 0;          ///< Its last run that was given up without an answer; 0: none.
	Millis given_up_at = 0;           ///< When that run was given up.
	uint32 slow_runs = 0;             ///< Its runs that were stopped as stragglers.
	std::string slow_worker;          ///< Worker of the last of them.
	Millis slow_until = 0;            ///< It is not started on `slow_worker` again until then.
};

/// Whether a job can still meet its objective.
enum class EDeadlineOutlook : uint8
{
	InTime,  ///< Can finish within its objective.
	Late,    ///< Can only finish late.
	NoCredit ///< Cannot finish within three times its objective, after which it earns nothing.
};

inline constexpr std::array cDeadlineOutlookNames = {
	EnumName<EDeadlineOutlook>{EDeadlineOutlook::InTime, "in-time"},
	EnumName<EDeadlineOutlook>{EDeadlineOutlook::Late, "late"},
	EnumName<EDeadlineOutlook>{EDeadlineOutlook::NoCredit, "no-credit"},
};

/// One job of the cell. A unit is one step in one round, and indexes the vectors below.
struct CellJob
{
	JobSpec spec;
	uint64 queue = 0; ///< See QueueKey; 0: its submission did not say.
	JobRecord record;
	std::vector<std::vector<VolatileTaskState>> volatile_state; ///< By unit and task.
	std::vector<StepRunTimes> seen;                             ///< By unit.
	CrashCounts crashes;                                        ///< In the log whenever `record` is.
	CrashCasesByTask crash_cases;                               ///< As restored; merged into `crashes` when the cell begins.
	SharedCrashCases shared_crash_cases;                        ///< The same of the other record, see Cell::AddCrashRecords.
	std::vector<CountedCrash> counted_crashes;                  ///< As restored; moved to the runs when the cell begins.
	bool crashes_logged = false;                                ///< Crash records are in the log or in the append in flight.
	bool shared_cases_logged = false;                           ///< The same for the record of shared cases.
	bool counted_crashes_logged = false;                        ///< The same for the record of counted crashes.
	uint64 crashes_hash = 0;                                    ///< Of the crash records written last.
	EJobPhase logged_phase = EJobPhase::Queued;                 ///< Phase in the log: what callers are told.
	EJobPhase appending_phase = EJobPhase::Queued;              ///< Phase in the append in flight.
	bool no_room_logged = false;                                ///< See Cell::LogNoRoom.
	bool spec_logged = false;
	bool spec_appending = false;
	Millis arrived_at = 0;
	Millis ranked_at = -1; ///< When the following members were computed; -1: the job has changed since.
	EDeadlineOutlook outlook = EDeadlineOutlook::InTime;
	int64 due_wall_ms = 0;               ///< Due time on the wall clock.
	Millis path_left_ms = 0;             ///< Remaining time of the longest chain of steps.
	int64 work_left = 0;                 ///< Remaining work, thousandths of a core times seconds.
	int64 order_key = 0;                 ///< Due time, plus a penalty for remaining work: small jobs go first when capacity is short.
	std::map<size_t, StepAdvice> advice; ///< By unit; only for queues with a policy.

	/// Index of the unit of a step in a round.
	size_t Unit(uint32 inRound, uint32 inStep) const { return static_cast<size_t>(inRound) * this->spec.steps.size() + inStep; }
	const StepSpec &StepOf(size_t inUnit) const { return this->spec.steps[inUnit % this->spec.steps.size()]; }
};

/// A team's cancellation of a job that its cell does not know yet: its submission may still be on its way.
struct EarlyCancel
{
	std::string queue;
	std::string team;
	int64 wall_ms = 0;   ///< Wall-clock time at which it last arrived, ms since 1970.
	uint64 key_hash = 0; ///< Of the caller's key, see Admission; 0: none was needed, or it is not known.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->queue, this->team, this->wall_ms, this->key_hash);
	}
};

/// All cancellations of such a job, one for each team and key: the job's team is not known before its submission arrives.
using EarlyCancels = std::vector<EarlyCancel>;

/// Runs whose starts may have had no answer yet when the record was written. A later incarnation of a worker may carry such a start out, so
/// a successor must not take the run for one that cannot begin any more.
struct UnansweredStarts
{
	/// Run of a task of the job that it is listed under.
	struct Start
	{
		uint32 round = 0;
		uint32 step = 0;
		uint32 index = 0;
		uint32 run = 0;

		bool operator==(const Start &) const = default;

		template <class Archive>
		void serialize(Archive &ioArchive)
		{
			ioArchive(this->round, this->step, this->index, this->run);
		}
	};

	bool any = false;                                 ///< There are too many to list: it holds for every run.
	std::map<std::string, std::vector<Start>> starts; ///< By job.

	bool Contains(const RunId &inRun) const
	{
		if (this->any)
			return true;
		auto job = this->starts.find(inRun.task.job);
		const Start start{inRun.task.round, inRun.task.step, inRun.task.index, inRun.run};
		return job != this->starts.end() && std::find(job->second.begin(), job->second.end(), start) != job->second.end();
	}

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->any, this->starts);
	}
};

/// A log record: the newest value of a key counts; an empty value removes the key.
struct KeyedRecord
{
	std::string key;
	std::string value;
};

/// Ends that a worker has reported to an owner whose log does not contain them.
struct EndReport
{
	std::string worker;
	uint64 epoch = 0; ///< Of the owner that polled the worker.
	std::vector<EndedRun> ended;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->worker, this->epoch, this->ended);
	}
};

/// Kinds of records that hosts write to a cell's inbox.
enum class EInbox : uint8
{
	Submit,
	Cancel,
	Ends ///< From a former owner of the cell.
};

struct InboxRecord
{
	EInbox kind = EInbox::Submit;
	JobSpec spec;     ///< Cancel: only id, queue and team are used, and the payload for CancelDetails. Ends: unused.
	EndReport ends{}; ///< Serialized for Ends only: hosts of versions without this member read the other kinds.
	/// See QueueKey; 0: the record is from an earlier version. Serialized by EncodeInboxRecord only, as the next member.
	uint64 queue_key = 0;
	int64 queue_version = 0; ///< Version of the configuration that placed the queue in the cell that gets the record; 0: not known.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->kind, this->spec);
		if (this->kind == EInbox::Ends)
			ioArchive(this->ends);
	}
};

} // namespace Loomreach::Jobs
