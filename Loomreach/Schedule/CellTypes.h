// What a cell keeps in memory: its jobs, its workers, and the runs that join them.

#pragma once

#include <Loomreach/Schedule/Advice.h>
#include <Loomreach/Schedule/StepSeen.h>
#include <Loomreach/Schedule/TaskCrashes.h>
#include <Loomreach/Schedule/Worker.h>

namespace Loomreach::Jobs
{

/// Times, limits and weights of one cell. All times in ms.
struct CellTuning
{
	Millis lease_ms = 4000;          ///< Lease given to a worker's runs with each hold. Setting `worker_lease_ms`.
	Millis most_lease_ms = 10000;    ///< Longest lease that any owner may have given. Setting `worker_most_lease_ms`.
	Millis granted_lease_ms = 10000; ///< Workers cut a longer lease down to this, also one that was meant for another life's clock.
	Millis poll_wait_ms = 1500;      ///< A hold's answer waits this long for an end; well under the lease.
	Millis short_poll_wait_ms = 500; ///< The same where tasks serve and others fill beside them: the tail must be seen within harm's bound.
	Millis trial_poll_wait_ms = 300; ///< The same while a run is on trial: as long as a start is to be outlived.
	Millis min_poll_gap_ms =
		120; ///< Between two looks at a worker: ends that come close together are seen together. Each look is paid for.
	Millis min_trial_poll_gap_ms = 30; ///< The same while a run is on trial: it must be seen whether its worker goes right after its start.
	Millis poll_retry_ms = 400;        ///< Between holds that got no answer, and between holds while ends wait for the log.
	Millis refusal_backoff_ms = 500;   ///< A worker that refused gets nothing for this long.
	Millis keep_ended_ms = 150000;     ///< An ended job is shown for this long (users' figure 120 s, and a quarter).
	Millis quarantine_ms = 4000;       ///< A worker that fails all gets no more than a trial within this.
	Millis demand_hold_ms = 1500;      ///< A need counts this long after it was last seen. Setting.
	Millis slow_ms = 4000;             ///< A worker found slow is avoided this long, then tried again.
	Millis restart_backoff_ms = 300;   ///< A lasting task that failed starts again after this.
	/// An append is closed once it holds this much: half of what the store takes in one call (users' figure, 2 MB); a job's records are far
	/// smaller than the other half. Larger ones are refused however often they are sent: after a power loss 1,600 records waited for ever.
	size_t batch_bytes = 1000000;
};

/// A worker's clock may run this much slower than ours (users' figure 2%, and a half more), thousandths.
inline constexpr Millis cClockSlackPerMille = 30;
/// And a lease is trusted to be over only this much later: two message delays and a timer's lateness.
inline constexpr Millis cLeaseSlackMs = 150;

/// How long after our sending a lease of `inLeaseMs` on a worker's clock may last on ours.
constexpr Millis LongestLease(Millis inLeaseMs) { return inLeaseMs * (1000 + cClockSlackPerMille) / 1000 + cLeaseSlackMs; }

/// Failures in a row on one worker after which it only gets one trial at a time: a chance failure (0.2 to 3%) hardly repeats thrice.
inline constexpr uint32 cFailuresToQuarantine = 3;

/// Where a run stands, as far as the cell knows. Up to Logged, no worker has heard of it.
enum class ERunState : uint8
{
	Planned,     ///< Decided, not yet in the log.
	Writing,     ///< In the append that is under way.
	Logged,      ///< In the log; the worker has not been told.
	Starting,    ///< The worker has been told.
	Confirmed,   ///< The worker has it.
	Unconfirmed, ///< No answer: the worker may have it, or may take it up later.
	Inherited,   ///< Found in the log at take-over, or told to the worker's former life; the present one has not been asked yet.
	Stopping     ///< A stop is under way.
};

inline constexpr std::array cRunStateNames = {
	EnumName<ERunState>{ERunState::Planned, "planned"},     EnumName<ERunState>{ERunState::Writing, "writing"},
	EnumName<ERunState>{ERunState::Logged, "logged"},       EnumName<ERunState>{ERunState::Starting, "starting"},
	EnumName<ERunState>{ERunState::Confirmed, "confirmed"}, EnumName<ERunState>{ERunState::Unconfirmed, "doubtful"},
	EnumName<ERunState>{ERunState::Inherited, "inherited"}, EnumName<ERunState>{ERunState::Stopping, "stopping"},
};

/// What is kept away from a run so that a crash tells whether it was the cause.
enum class ETrial : uint8
{
	None,
	Start,   ///< Nothing else starts on its worker until the run has outlived its start.
	Isolated ///< Nothing else is on its worker at all.
};

inline constexpr std::array cTrialNames = {
	EnumName<ETrial>{ETrial::None, "none"},
	EnumName<ETrial>{ETrial::Start, "start"},
	EnumName<ETrial>{ETrial::Isolated, "alone"},
};

/// Whether a worker may have heard of a run.
constexpr bool IsDispatched(ERunState inState) { return inState > ERunState::Logged; }

/// A run names a task and a number.
struct RunId
{
	TaskId task;
	uint32 run = 0;

	auto operator<=>(const RunId &) const = default;
	bool operator==(const RunId &) const = default;
};

/// A run that takes room on a worker.
struct Run
{
	ERunState state = ERunState::Planned;
	Resources reserved;             ///< What it takes; no processor time for a task that fills.
	Resources requested;            ///< What its task asks for: it counts for the team.
	std::string team;               ///< Whose it is; empty: nobody's.
	bool latency_sensitive = false; ///< Lasting and with a target.
	bool fills = false;
	bool lasting = false;
	bool resumed = false;   ///< Begun from a checkpoint: its time tells nothing of a whole run's.
	bool inherited = false; ///< Found in the log at take-over: a predecessor may have ordered it to stop.
	Millis predecessor_wait_until =
		0; ///< Of a former life of its worker that this owner never heard: a predecessor may know its end until then.
	ETrial trial = ETrial::None;
	bool blame_exempt = false;       ///< It lasts, and has been at work for so long that no crash is blamed on it.
	bool in_new_incarnation = false; ///< A life that has just begun lists it.
	bool crash_counted = false;      ///< A crash has been counted under it, and no later life was known to have it.
	bool size_unknown = false;       ///< The worker has it, and no record tells what it takes.
	Millis since = 0;                ///< When it came into its state.
	Millis confirmed_at = -1;        ///< When the worker was known to have it.
	Millis start_expires_at = 0;     ///< On the worker's clock: a start carried out later does nothing.
	bool stop_sent = false;          ///< An order to stop is under way.
	Millis stop_acked_at = -1;       ///< When the worker took the stop; -1: not yet.
	Millis next_stop_at = 0;
	int64 percent = 0;
	Millis progress_at = 0;       ///< When `percent` was reported.
	int64 figure = 0;             ///< See RunningRow.
	int64 throttle_percent = 100; ///< Share at which it was told to work.
	bool throttle_in_flight = false;
	std::string ticket;
};

/// A run of a step's task that comes into a state now.
inline Run NewRun(const JobSpec &inJob, const StepSpec &inStep, ERunState inState, Millis inNow)
{
	Run run;
	run.requested = inStep.need;
	run.team = inJob.team;
	run.state = inState;
	run.since = inNow;
	run.reserved = inStep.Room();
	run.latency_sensitive = inStep.lasting && inStep.target_ms > 0;
	run.fills = inStep.fills;
	run.lasting = inStep.lasting;
	return run;
}

/// What is known of one life of a worker. The next one, which may have the same id, begins with none of it.
struct WorkerIncarnation
{
	int64 born_ms = cBirthUnknown;   ///< Names it, with the worker's id; unknown until it was told.
	uint64 incarnation_number = 0;   ///< Gives its orders their token: higher than that of every life of the worker before.
	bool restart_suspected = false;  ///< Something hints at another life: the next look tells, and nothing is started until then.
	bool leave_announced = false;    ///< It has said that it leaves.
	bool ended = false;              ///< It is known to be over.
	Millis clock_ms = -1;            ///< Its clock when last heard,
	Millis clock_read_at = 0;        ///< and our clock when the answer came: the worker's has gone on since.
	Millis clock_order_sent_at = -1; ///< When what it answered was sent; -1: the clock was not read from an answer.
	bool poll_in_flight = false;
	uint64 newest_poll = 0;      ///< Serial of the last look that was sent.
	Millis last_poll_at = -1000; ///< When it was.
	Millis next_poll_at = 0;
	Millis last_answer_at = -1;        ///< When it last answered.
	Millis connections_closed_at = -1; ///< When its connections were first found closed since then; -1: they were not.
	Millis unanswered_since = -1; ///< When the first call since then went without an answer, unclosed: a dark host, or a cut; -1: none did.
	Millis trial_reserved_until = 0;     ///< A task on trial waits for it: no other starts there until then.
	bool poll_once = false;              ///< It is asked also with nothing on it: it has just begun, or a trial has crashed in its rack.
	bool reachable = false;              ///< Whether the last order was answered.
	bool ends_truncated = false;         ///< Its last answer may have listed its ends only in part.
	uint64 recorded_seq = 0;             ///< Highest end that the jobs' records have taken in.
	uint64 series_seq = 0;               ///< As much of it as the series of appends under way will hold.
	uint64 appending_seq = 0;            ///< As much of it as the log holds once the append under way is there.
	uint64 logged_seq = 0;               ///< As much of it as the log holds: may be told to the worker.
	uint64 sent_ack_seq = 0;             ///< As much of it as a look has told the worker,
	uint64 acked_seq = 0;                ///< and as much as one that it answered.
	std::vector<EndedRow> unlogged_ends; ///< Invariant: the ends from `last_seen` to `noted` that a look has listed, by number.
	Millis ends_logged_at = 0;           ///< When `last_seen` last rose.
	Millis backoff_until = 0;            ///< It refused; nothing new until then.
	Millis quarantine_until = 0;
	double slowness = 1.0;           ///< Run times here against what is expected, a mean that forgets.
	Millis slow_until = 0;           ///< Others are preferred until then.
	uint32 consecutive_failures = 0; ///< Runs ended as failed there with none done in between.
	Millis throttled_at = 0;
	Millis stragglers_checked_at = -1; ///< The answer whose progress was last looked through for stragglers.

	/// Its clock now, as a lower bound.
	Millis ClockAt(Millis inNow) const { return this->clock_ms + (inNow - this->clock_read_at) * (1000 - cClockSlackPerMille) / 1000; }
	/// Whether an answer's clock may be this life's. Each life's begins anywhere, so that one that does not fit is another's.
	bool FitsClock(Millis inClock, Millis inSentAt, Millis inNow) const;
};

/// Ends of a worker's former lives that the log does not hold yet.
struct PreviousIncarnationEnds
{
	std::vector<EndedRow> rows;
	size_t series_count = 0;    ///< So many of them the series of appends under way will hold,
	size_t appending_count = 0; ///< and so many the log holds once the append under way is there.
};

/// Long ago.
inline constexpr Millis cNeverMs = 1'000'000'000;

/// A worker of the cell, with what is known of its present life.
struct CellWorker : WorkerIncarnation
{
	WorkerEntry entry;
	bool listed = true;               ///< Whether the worker list shows it now.
	Millis unlisted_at = 0;           ///< When the list was first seen without it.
	Millis assumed_present_until = 0; ///< Unlisted only since the store was away: until then it is taken for present while it answers.
	bool location_logged =
		false; ///< Whether the log has its place, or the append under way will: a successor asks it also when it is unlisted.
	int64 logged_started_ms = cBirthUnknown; ///< Which life the log names, likewise.
	std::map<RunId, Run> runs;               ///< Invariant: every run here is in its task's record and the other way round.
	Resources used;                          ///< Sum of the runs' room.
	uint32 open_trials = 0;                  ///< Runs there beside which nothing may start now.
	uint32 unsized_runs = 0;                 ///< Runs of unknown need.
	Millis lease_expires_at = 0;             ///< By then, on our clock, everything told to it has lapsed unless extended anew.
	Millis last_unanswered_at = -cNeverMs;   ///< When an order to it last went without an answer: it may be carried out yet.
	PreviousIncarnationEnds previous_ends;
	Millis drain_until = 0;        ///< It is being emptied for maintenance; nothing new until then.
	Millis drain_grant_until = 0;  ///< Its host may be moved or taken down until then: it was said to be empty.
	Millis drain_grant_ms = 0;     ///< A promise of it lasts this long; 0: none is given.
	Millis appending_grant_ms = 0; ///< The same as the log holds it once the append under way is there,
	Millis logged_grant_ms = 0;    ///< and as it holds it now: a successor keeps a promise that was given before it began.
	Millis removed_until = 0;      ///< Its host was moved or taken down: the list may show it until then.

	/// Whether the log holds every end that it told of.
	bool AreEndsLogged() const { return this->recorded_seq <= this->logged_seq && this->previous_ends.rows.empty(); }
	/// Whether it may be let go: nothing is on it, and the log holds every end that it told of. Its own list of them goes with it.
	bool IsIdleAndLogged() const { return this->runs.empty() && this->AreEndsLogged(); }
	/// Whether every end that it told of was taken note of, as far as it can be told: its list of them goes with its host.
	bool AreEndsAcknowledged() const { return this->acked_seq >= this->recorded_seq || !this->reachable; }
	/// Whether it is there for new work, as far as the list tells.
	bool IsPresent(Millis inNow) const { return this->listed || inNow < this->assumed_present_until; }
	/// What is free.
	Resources Free() const
	{
		Resources free = this->entry.capacity;
		free.Subtract(this->used);
		return free;
	}
};

/// A worker that was lost, and what speaks against a task as the cause.
struct WorkerLoss
{
	Millis at = 0;
	bool exact = false; ///< Whether its host said when; else a call had to run out.
	std::string rack;
	bool just_started = false; ///< Something had just started there.
};

/// Where a worker is, for whoever owns the cell next.
struct WorkerLocation
{
	Address address;
	std::string availability_zone;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->address, this->availability_zone);
	}
};

/// What is remembered of a task beside its record.
struct VolatileTaskState
{
	Millis not_before = 0;          ///< Nothing is started earlier.
	std::string last_failed_worker; ///< Where it failed last.
	Millis trial_wanted_since = -1; ///< When a worker for its trial was first looked for in vain; -1: was not.
	uint32 slow_runs = 0;           ///< Runs of it that were stopped for being far slower than expected.
	std::string slow_worker;        ///< Where the last of them was,
	Millis slow_until = 0;          ///< and until when it is not started there again.
};

/// How likely a job is to earn its credit still.
enum class EDeadlineOutlook : uint8
{
	InTime,  ///< It can be done by its objective.
	Late,    ///< It can only be late.
	NoCredit ///< Even three objectives are over.
};

/// One job of the cell.
struct CellJob
{
	JobSpec spec;
	JobRecord record;
	std::vector<std::vector<VolatileTaskState>> volatile_state; ///< As record.steps.
	std::vector<StepSeen> seen;                                 ///< Likewise.
	CrashCounts crashes;                                        ///< In the log whenever `record` is.
	CrashCasesByTask crash_cases;                               ///< As restored, until the cell begins; then they are in `crashes`.
	bool crashes_logged = false;                                ///< Whether the log has such a record, or the append under way will.
	EJobPhase logged_phase = EJobPhase::Queued;                 ///< The phase that the log holds: what callers are told.
	EJobPhase appending_phase = EJobPhase::Queued;              ///< The phase in the append under way.
	bool spec_logged = false;
	bool spec_appending = false;
	Millis arrived_at = 0;
	Millis ranked_at = -1; ///< When hope and due_key were worked out; -1: the job has changed since.
	EDeadlineOutlook outlook = EDeadlineOutlook::InTime;
	int64 order_key = 0;                 ///< When it is due, later for larger jobs: small ones go first where room is short.
	std::map<size_t, StepAdvice> advice; ///< By number of a step's record; queues with a policy only.

	/// Number of a step's record.
	size_t Unit(uint32 inRound, uint32 inStep) const { return static_cast<size_t>(inRound) * this->spec.steps.size() + inStep; }
	const StepSpec &StepOf(size_t inUnit) const { return this->spec.steps[inUnit % this->spec.steps.size()]; }
};

/// A record for the cell's log: the newest of a key counts; an empty value removes the key.
struct KeyedRecord
{
	std::string key;
	std::string value;
};

/// Ends that a worker has listed to an owner whose log does not hold them.
struct EndReport
{
	std::string worker;
	uint64 epoch = 0; ///< Of the owner that asked.
	std::vector<EndedRow> ended;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->worker, this->epoch, this->ended);
	}
};

/// What an entry host puts into a cell's inbox.
enum class EInbox : uint8
{
	Submit,
	Cancel,
	Ends ///< From a host that has owned the cell.
};

struct InboxRecord
{
	EInbox kind = EInbox::Submit;
	JobSpec spec;     ///< Cancel: only id and queue. Ends: nothing.
	EndReport ends{}; ///< Ends only: others are read by hosts of versions that do not know it.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->kind, this->spec);
		if (this->kind == EInbox::Ends)
			ioArchive(this->ends);
	}
};

} // namespace Loomreach::Jobs
