// A cell: the jobs and workers of one or more pools whose records share one replicated log. The owner of the log makes the decisions. The
// class does no I/O: it takes the time as an argument and returns orders and records. Its driver sends orders only while it owns the log.
//
// Ordering rules that the guarantees of a cell depend on:
//  1. A run is in the log before it is dispatched (Planned, Writing, Logged, then Starting).
//  2. A run end is in the log before it is acknowledged to the worker (WorkerIncarnation::logged_seq).
//  3. Callers see a job's phase only once it is in the log (CellJob::logged_phase).
//  4. A task gets a new run only when every earlier one has ended or its lease must have expired.
//  5. Worker crashes counted against a task are in the log before the task is started again (CellJob::crashes).
//  6. A run counts as unanswered in the log from its own record on, until an append after its start's answer (AddUnansweredStarts).
//  7. State of a worker incarnation is dropped with the incarnation. A restarted worker may keep its id and may carry out orders meant for
//     its previous incarnation. So each incarnation has its own fencing token, ends are numbered per incarnation, and ends are acknowledged
//     only by polls that are answered immediately.

#pragma once

#include <Loomreach/Schedule/ArrivalRate.h>
#include <Loomreach/Schedule/Catalogue.h>
#include <Loomreach/Schedule/CellTrail.h>
#include <Loomreach/Schedule/CrashEvidence.h>
#include <Loomreach/Schedule/EndReplicator.h>
#include <Loomreach/Schedule/PoolDemand.h>
#include <Loomreach/Schedule/QueuePlacements.h>
#include <Loomreach/Schedule/RunTimes.h>
#include <Loomreach/Schedule/TeamUse.h>
#include <Loomreach/Schedule/WaitingOrder.h>
#include <Loomreach/Schedule/WorkerLeases.h>
#include <Loomreach/Schedule/WorkerToken.h>

namespace Loomreach::Jobs
{

/// Size of a start order without its payload and checkpoint.
inline constexpr size_t cStartOverheadBytes = 400;

/// Answer to a query about a job.
struct JobAnswer
{
	bool known = false;
	EJobPhase phase = EJobPhase::Queued;
	std::string_view team; ///< Team that owns the job.
};

/// What became of a cancellation when its cell read it.
enum class ECancelOutcome : uint8
{
	Canceled,
	Ended,     ///< The job had ended before.
	Unknown,   ///< The cell does not have the job. The cancellation is remembered, since the submission may still arrive.
	OtherTeam, ///< The caller's key belongs to another team than the job.
	Count
};

inline constexpr std::array cCancelOutcomeNames = {
	EnumName<ECancelOutcome>{ECancelOutcome::Canceled, "canceled"},
	EnumName<ECancelOutcome>{ECancelOutcome::Ended, "ended"},
	EnumName<ECancelOutcome>{ECancelOutcome::Unknown, "unknown"},
	EnumName<ECancelOutcome>{ECancelOutcome::OtherTeam, "other_team"},
};

/// Counts of a cell for metrics.
struct CellCounts
{
	size_t jobs = 0;
	size_t active = 0;
	size_t runs = 0;
	size_t workers = 0;
	std::array<size_t, static_cast<size_t>(ECancelOutcome::Count)> cancels{}; ///< By outcome, since the cell has this owner.
	size_t jobs_too_long = 0; ///< Jobs failed because the log has no room for their state, since the cell has this owner.
	size_t overdue_stops = 0; ///< Runs that were still there cStopOverdueMs after their stop was decided, since the cell has this owner.
};

/// Resources for which the current planning pass found no worker. No task of the pool that requests as much will find one.
struct PlanReject
{
	std::string_view pool;
	Resources reserved;
};

/// See the head of this file.
class Cell
{
public:
	explicit Cell(const CellTuning &inTuning) : tuning(inTuning), placements(inTuning) {}

	/// Applies one log record during take-over. Records with unknown keys are skipped. False: the value cannot be decoded.
	bool Restore(std::string_view inKey, std::string_view inValue);
	/// Starts acting as owner with this epoch. Runs found in the log are polled for before anything else is done with them. `inCell`: the
	/// cell's number, for log lines.
	void Begin(uint64 inEpoch, Millis inNow, uint32 inCell = 0);
	/// Sets the current worker list of this cell's pools. `inAssumePresentUntil`: the store has just become available again, so a missing
	/// entry may only have expired. Until then its worker counts as present while it answers.
	void SetWorkers(const std::vector<WorkerEntry> &inWorkers, Millis inNow, Millis inAssumePresentUntil = 0);
	/// Sets the configuration: queues with their policies, and team limits.
	void SetCatalogue(std::shared_ptr<const Catalogue> inCatalogue);
	/// Availability zones in which nothing may be started. Runs there continue.
	void SetEvacuated(const std::set<std::string> &inZones, Millis inNow);
	/// Applies one inbox record. `inOffset` is its position in the inbox.
	void Ingest(const InboxRecord &inRecord, uint64 inOffset, Millis inNow, int64 inWallNow);
	/// Ends that workers have reported and the log lacks. When this owner is lost, only its successor can record them.
	std::vector<EndReport> UnloggedEnds() const;
	/// Next update for the hosts that replicate this cell's ends. Call after answers and appends, before waiting, until it returns nothing.
	std::optional<RunEndsUpdate> TakeEndsUpdate(Millis inNow) { return this->replicator.TakeUpdate(inNow); }
	/// Inbox records before this position have been removed unread.
	void SkipInbox(uint64 inFirst) { this->inbox_next = std::max(this->inbox_next, inFirst); }
	/// Position from which to read the inbox.
	uint64 InboxNext() const { return this->inbox_next; }

	/// Whether the inbox was read recently enough that no cancellation can be waiting there. Otherwise nothing is started.
	void SetInboxFresh(bool inFresh) { this->inbox_fresh = inFresh; }
	/// Decides what to start, stop and throttle. Call after updates and periodically.
	void Plan(Millis inNow, int64 inWallNow);
	/// Records for the next append, which must be atomic; empty: nothing to write. Only one append may be in flight.
	std::vector<KeyedRecord> TakeBatch(int64 inWallNow);
	/// The append is in the log.
	void OnAppended(Millis inNow);
	/// Orders to send now. `inStartBytes`: starts beyond this many bytes are left for later calls, but no gang is split.
	std::vector<Order> TakeOrders(Millis inNow, size_t inStartBytes = std::numeric_limits<size_t>::max());
	/// Result of an order that was sent at `inSentAt`.
	void OnAnswer(const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);

	/// Requests to the adviser from the last planning passes.
	std::vector<AdviceRequest> TakeAdvice() { return std::exchange(this->advice_requests, {}); }
	void OnAdvice(const AdviceRequest &inRequest, const AdviceAnswer &inAnswer, Millis inNow);

	/// When to ask for team shares next, and the question; nothing: no team has a limit.
	Millis NextSharesAt() const { return this->teams.NextQuestionAt(!this->teams_at_limit.empty()); }
	std::optional<ShareQuestion> AskShares(Millis inNow, int64 inWallNow);
	void OnShares(const ShareAnswer &inAnswer, Millis inNow);
	bool OnFleetOwner(uint64 inFleetEpoch) { return this->teams.OnFleetOwner(inFleetEpoch); }

	/// What callers may see of a job. `inKey`: the queue, which may have had another name when the job was accepted; 0: not known.
	JobAnswer Query(std::string_view inQueue, std::string_view inId, QueueKey inKey = 0) const;
	/// Number of accepted jobs of a queue with no started task.
	uint32 Waiting(std::string_view inQueue, QueueKey inKey = 0) const;
	/// Where the cell's queues are placed, for its driver: what to register, to ask and to redirect.
	QueuePlacements &Placements() { return this->placements; }
	const QueuePlacements &Placements() const { return this->placements; }
	/// Answers the owner of a cell in which a queue is placed now, and takes no new jobs of the queue from then on.
	MoveAnswer OnQueueMoved(const MoveQuestion &inQuestion, Millis inNow, int64 inWallNow);
	/// Starts draining a worker for maintenance. True if it is empty and will stay so for the next `inForMs`.
	bool DrainWorker(const std::string &inWorker, Millis inForMs, Millis inNow);
	/// Demand of a pool, and up to `inSpare` of its workers that are empty and will stay so for the next `inForMs`.
	PoolDemand Demand(const std::string &inPool, uint32 inSpare, Millis inForMs, Millis inNow, int64 inWallNow);
	/// The hosts of these workers were moved or taken down: nothing is started on them until they have left the worker list.
	void OnWorkersRemoved(const std::vector<std::string> &inWorkers, Millis inNow);
	/// A planned hand-over follows: from now on no drain is granted.
	void BeginHandOver() { this->retiring = true; }
	/// Whether a successor may take over at once: all reported ends are in the log, and no drain grant is in force.
	bool CanHandOver(Millis inNow) const;
	CellCounts Counts() const;
	/// Whether the last planning pass found too little capacity for some task.
	bool IsShort() const { return !this->capacity_rejects.empty(); }
	/// Whether the next append has something to write.
	bool HasUnwrittenChanges() const { return this->unwritten_changes || this->placements.HasUrgentChanges(); }

private:
	friend class CellProbe;

	// Cell.cpp: log records
	bool RestoreLocation(const std::string &inWorker, std::string_view inValue);
	bool RestoreIncarnation(const std::string &inWorker, std::string_view inValue);
	bool RestoreLongestLease(const std::string &inWorker, std::string_view inValue);
	bool RestoreUnansweredStarts(std::string_view inValue);
	bool RestoreJobQueue(const std::string &inJob, std::string_view inValue);
	bool RestoreSharedCases(const std::string &inJob, std::string_view inValue);
	bool RestoreCountedCrashes(const std::string &inJob, std::string_view inValue);
	bool RestoreDrainGrant(const std::string &inWorker, std::string_view inValue);
	bool RestoreEarlyCancels(const std::string &inJob, std::string_view inValue);
	/// Applies a record of an earlier version, which remembered one cancellation for each job.
	bool RestoreOneEarlyCancel(const std::string &inJob, std::string_view inValue);
	/// Whether a job ended so long ago that callers are not told of it any more.
	bool IsForgotten(const CellJob &inJob, int64 inWallNow) const;
	void RemoveEndedJobs(int64 inWallNow, std::vector<KeyedRecord> &outBatch);
	/// Applies an inbox record that this cell decides on.
	void Apply(const InboxRecord &inRecord, Millis inNow, int64 inWallNow);
	void Cancel(const InboxRecord &inRecord, int64 inWallNow, Millis inNow);
	ECancelOutcome CancelOutcomeOf(const CellJob *inJob, const InboxRecord &inRecord) const;
	/// Whether the caller may cancel a job: the key belongs to the job's team, or did while the cell had jobs of the team.
	bool MayCancel(const JobSpec &inJob, const InboxRecord &inRecord) const;
	/// Notes the keys that the configuration gives to a team of which the cell has jobs.
	void NoteTeamKeys(const std::string &inTeam);
	bool RestoreTeamKeys(const std::string &inTeam, std::string_view inValue);
	/// Adds the keys of teams that the log lacks, along with other records.
	void AddTeamKeyRecords(std::vector<KeyedRecord> &outBatch);
	/// Remembers the cancellation of a job that may still be submitted.
	void RememberCancel(const InboxRecord &inRecord, int64 inWallNow);
	/// Applies records that other cells held up. Their jobs are not in the current series of appends.
	void ApplyCleared(int64 inWallNow);
	/// Adds early cancellations that the log lacks, and removes old ones.
	void AddEarlyCancelRecords(int64 inWallNow, std::vector<KeyedRecord> &outBatch);
	/// Whether a job was submitted to a queue, under its present name or another one.
	bool IsOfQueue(const CellJob &inJob, std::string_view inQueue, QueueKey inKey) const;
	/// The queue that a job was submitted to, as its submission says; where it does not, as far as the queue's name tells.
	QueueKey QueueOf(const CellJob &inJob) const;
	/// The same with doubt resolved in favor of the queue: no version that was read here has the queue name of the job.
	bool MayBeOfQueue(const CellJob &inJob, QueueKey inKey) const;
	CellJob *FindJob(const std::string &inId);
	TaskRecord *FindTask(const TaskId &inTask);
	VolatileTaskState *FindVolatileState(const TaskId &inTask);
	void MarkChanged(CellJob &ioJob);
	void InheritRuns(CellJob &ioJob, Millis inNow);
	void LogInheritedStarts() const;
	/// Begins a series of appends that writes all changes made until now.
	void BeginAppendSeries();
	/// Crashes in a job's counts that an owner may find again, since the runs are still recorded.
	std::vector<CountedCrash> CountedCrashesOf(const CellJob &inJob) const;
	/// Adds the records of a job's crashes if they have changed; returns their size. Many cases are written in a layout of their own, few
	/// ones in the one that earlier versions read.
	size_t AddCrashRecords(CellJob &ioJob, std::vector<KeyedRecord> &outBatch) const;
	/// The record of a job's state. A job whose state would exceed the longest record is failed: it could make no further progress.
	std::string EncodeState(CellJob &ioJob, int64 inWallNow);
	/// Adds the records of the next jobs of the series.
	void AddJobRecords(int64 inWallNow, std::vector<KeyedRecord> &outBatch);
	/// Adds new locations and incarnations of workers with runs, and removes those of removed workers.
	void AddLocationRecords(std::vector<KeyedRecord> &outBatch);
	/// Adds which workers may have granted their longest lease. Passed ones are removed only along with other records.
	void AddLongestLeaseRecords(std::vector<KeyedRecord> &outBatch);
	/// Logs that the record of a worker's longest lease is written, or why it is removed.
	void LogLongestLeaseRecord(const CellWorker &inWorker, std::string_view inEvent, std::string_view inWhy) const;
	/// Adds which starts may have had no answer, if that has changed, along with other records.
	void AddUnansweredStarts(std::vector<KeyedRecord> &outBatch);
	/// Adds new drain grants. Expired grants are removed only along with other records.
	void AddDrainGrantRecords(std::vector<KeyedRecord> &outBatch);
	/// A worker's ends in the append are in the log now.
	void OnEndsLogged(CellWorker &ioWorker);

	/// Call when a run may exist from now on, and when it is known to have ended.
	void AddUsage(CellWorker &ioWorker, const Run &inRun);
	void SubtractUsage(CellWorker &ioWorker, const Run &inRun);

	// CellDemand.cpp
	/// What each team with a limit could start now if its share allowed it.
	std::map<std::string, Resources> WantedByTeam(int64 inWallNow) const;
	/// Number of tasks that wait for a worker for their trial run.
	uint32 WaitingTrials(const std::string &inPool) const;
	/// Raises a pool's late demand to the workers that the trial runs of its waiting tasks take.
	void AddTrialDemand(const std::string &inPool, PoolDemand &ioDemand) const;
	/// Limits the demand of a pool to what its workers have while more could not be started on further ones.
	void LimitDemandToUse(const std::string &inPool, PoolDemand &ioDemand) const;
	void CurrentDemand(std::string_view inPool, int64 inWallNow, Resources &outInTime, Resources &outLate) const;

	// CellPlan.cpp: placement
	void PlanJobs(Millis inNow, int64 inWallNow);
	void PlanJob(CellJob &ioJob, Millis inNow, int64 inWallNow);
	/// Since when a task of a job has waited for its trial run, if any wait is overdue; otherwise the greatest time.
	Millis TrialOverdueSince(const CellJob &inJob, Millis inNow);
	/// Whether a job can no longer be in time and was waiting when a zone was reopened. Of such jobs those that waited longest start first.
	bool IsHeldBack(const CellJob &inJob) const
	{
		return inJob.outlook != EDeadlineOutlook::InTime && inJob.arrived_at <= this->zone_reopened_at;
	}
	/// Recomputes a job's outlook and order key if they are out of date.
	void UpdateRank(CellJob &ioJob, Millis inNow, int64 inWallNow) const;
	bool HasTasksToStart(const CellJob &inJob, int64 inWallNow) const;
	void LogPlanned(const CellJob &inJob, size_t inUnit);
	/// Logs, once a job, that the record of its state has no room for more runs at a time.
	void LogNoRoom(CellJob &ioJob, size_t inUnit) const;
	EDeadlineOutlook OutlookOf(const CellJob &inJob, int64 inWallNow) const;
	/// State of the pools that were short of capacity in the last planning pass.
	std::map<std::string, PoolState, std::less<>> PoolStates(Millis inNow, int64 inWallNow);
	WaitingJob DescribeWaiting(CellJob &ioJob, Millis inNow, int64 inWallNow);
	/// The jobs to plan, in the order in which they are planned.
	std::vector<WaitingJob> OrderWaiting(Millis inNow, int64 inWallNow);
	/// Remaining work, thousandths of a core times seconds.
	int64 WorkLeft(const CellJob &inJob) const;
	/// Remaining time of the longest chain of dependent steps.
	Millis CriticalPathLeft(const CellJob &inJob) const;
	/// Run time of a step's longest task, observed or estimated.
	Millis StepDuration(const CellJob &inJob, size_t inUnit) const;
	/// Size of the starts of the runs that are planned and not sent.
	size_t UnsentStartBytes();
	/// Whether planning pauses until more starts have been sent.
	bool IsStartBacklogFull() const { return this->unsent_start_bytes >= this->tuning.start_backlog_bytes; }
	/// Time until a step is done if its waiting tasks start now; 0: it is done.
	Millis StepLeft(const CellJob &inJob, size_t inUnit) const;
	/// Wall clock time (ms) by which a job is due.
	int64 DueWall(const CellJob &inJob) const;
	/// Whether a unit may start: its scheduled time has come, and the steps before it are done.
	bool IsDue(const CellJob &inJob, size_t inUnit, int64 inWallNow) const;
	/// Whether the team's limit allows this many more running tasks of a step. Remembers teams at their limit.
	bool FitsTeamLimit(const CellJob &inJob, size_t inUnit, int64 inTasks, Millis inNow);
	void PlanUnit(CellJob &ioJob, size_t inUnit, Millis inNow);
	void PlanGang(CellJob &ioJob, size_t inUnit, Millis inNow);
	/// Ends the runs of a worker whose leases have expired.
	void EndLapsedRuns(CellWorker &ioWorker, Millis inNow);
	void PlanThrottles(CellWorker &ioWorker, Millis inNow);
	void PlanStragglers(CellWorker &ioWorker, Millis inNow);
	/// Expected run time of a step's task.
	Millis ExpectedRunMs(const CellJob &inJob, size_t inUnit) const;
	/// Expected run time for judging a worker's speed. At least the estimate from earlier jobs, so that fast siblings do not make a worker
	/// appear slow.
	Millis SlownessBaselineMs(const CellJob &inJob, size_t inUnit) const;
	bool CanAcceptRuns(const CellWorker &inWorker, Millis inNow) const;
	bool IsEvacuated(const CellWorker &inWorker) const { return this->evacuated_zones.contains(inWorker.entry.availability_zone); }
	/// Whether a worker has the label that the step needs, and the adviser's ticket where the queue has a policy.
	static bool MayRun(const CellWorker &inWorker, const CellJob &inJob, size_t inUnit, Millis inNow);
	CellWorker *ChooseWorker(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow,
							 const std::map<std::string, uint32> &inOnWorker);
	double ScoreOf(const CellWorker &inWorker, const CellJob &inJob, size_t inUnit) const;
	std::map<std::string, uint32> CountByWorker(const CellJob &inJob, size_t inUnit) const;
	void AddRun(CellJob &ioJob, size_t inUnit, uint32 inTask, uint32 inRun, CellWorker &ioWorker, Millis inNow);

	// Stops of long-running tasks for drains
	/// Stops long-running tasks on a worker that is drained for maintenance, as far as their steps permit.
	void StopRunsOnDrainedWorker(CellWorker &ioWorker, Millis inNow);
	/// Stops long-running tasks on a worker that announced that it leaves, or that left the list.
	void StopRunsOnLeavingWorker(CellWorker &ioWorker, Millis inNow);
	/// Keeps a worker, and the next one on its host, from getting new runs until then.
	void KeepDrained(CellWorker &ioWorker, Millis inUntil, Millis inNow);
	/// Whether the host of a worker is drained, possibly since another worker was on it.
	bool IsHostDrained(const CellWorker &inWorker, Millis inNow) const;
	/// Whether another worker has runs on the host, so that the host is not empty although this worker is.
	bool IsHostInUse(const CellWorker &inWorker) const;
	/// Reports a worker as empty for the next `inForMs`, if that holds and the grant is in the log for a successor.
	bool GrantDrain(CellWorker &ioWorker, Millis inForMs, Millis inNow);
	/// Whether the step of a task permits the task to be unavailable now, given its other unavailable tasks.
	bool MayBeUnavailable(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow) const;
	/// Whether the number of unavailable tasks of a step limits the stop of a run. It does not if the job or the worker ends anyway.
	bool IsStopLimited(const CellWorker &inWorker, const RunId &inRun) const;
	/// Whether a stop may be sent for an unanswered start whose run the worker does not list.
	bool MayStopUnconfirmed(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const;
	/// Whether a stop that is due may be sent (or repeated) now.
	bool MaySendStop(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const;

	// CellAdvice.cpp
	void AskAdvice(CellJob &ioJob, size_t inUnit, Millis inNow);
	/// Whether a worker has a ticket for a step that stays valid until the start reaches it.
	static bool HasTicket(const CellJob &inJob, size_t inUnit, const std::string &inWorker, Millis inNow);

	// CellOrders.cpp: orders and their answers
	/// Why a logged run must not be dispatched after all; empty: it may be.
	std::string_view WhyNotDispatched(const CellWorker &inWorker, const RunId &inRun, Millis inNow);
	/// Number of dispatchable members of each gang among these runs, keyed by the gang's first task. A gang is dispatched whole or not at
	/// all.
	std::map<TaskId, size_t> DispatchableMembers(const std::vector<RunId> &inRuns, Millis inNow);
	Order NewOrder(EOrder inKind, CellWorker &ioWorker, Millis inNow);
	void TakePoll(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders);
	void TakeStops(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders);
	/// Logs once what is known of a run whose stop is overdue.
	void LogOverdueStop(const CellWorker &inWorker, const RunId &inId, Run &ioRun, Millis inNow);
	/// Records what an answer says about whether the worker's process is up.
	void RecordContact(CellWorker &ioWorker, const OrderAnswer &inAnswer, bool inAnswered, Millis inNow);
	/// Logs that a worker has fallen silent or answers again.
	void LogReachable(const CellWorker &inWorker, const OrderAnswer &inAnswer, bool inReachable, Millis inSilentMs);
	void OnStartAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow);
	void OnStopAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow);
	void OnPollAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);

	// Worker restarts
	/// Fencing token of a worker's current incarnation.
	uint64 TokenFor(const CellWorker &inWorker) const { return TokenOf(this->epoch, inWorker.incarnation_number); }
	/// Another incarnation may have begun. An immediate poll decides.
	void SuspectRestart(CellWorker &ioWorker, std::string_view inWhy, Millis inNow);
	/// Compares a new list entry with the known incarnation, before the entry is taken over. False: the entry is of a previous incarnation.
	bool UpdateIncarnation(CellWorker &ioWorker, const WorkerEntry &inEntry, Millis inNow);
	/// Whether the answer to an order for the current incarnation came from another one. A newer one becomes the current incarnation.
	bool DetectNewIncarnation(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);
	/// A new incarnation has begun. `inAnswer`: its first answer; `inSentAt`: when the answered order was sent.
	void BeginIncarnation(CellWorker &ioWorker, int64 inStartedMs, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);
	/// Ends the runs that only the previous incarnation can have had, and counts its crash.
	void EndPreviousRuns(CellWorker &ioWorker, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);
	/// Marks the runs that the current incarnation may have, or may still be sent by orders in flight, for verification by a poll.
	void VerifyRuns(CellWorker &ioWorker, Millis inNow);
	/// Accounts for an order whose lease end was computed for another clock: the worker may have granted its maximum lease.
	void AssumeMaxLease(CellWorker &ioWorker, ELongestLease inCause, Millis inNow);
	/// The worker has carried out an order with the token of its current incarnation.
	void NoteTokenSeen(CellWorker &ioWorker, Millis inNow);
	/// The longest lease that a worker may have granted.
	Millis LongestLeaseOn(const CellWorker &inWorker, Millis inNow) const;
	/// Handles the answer to an order for a previous incarnation. Either incarnation may have sent it.
	void OnPreviousIncarnationAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow);
	/// Counts the crash of a previous incarnation against a run whose end no previous owner has submitted.
	void CountPreviousCrash(const RunId &inRun);
	/// The current incarnation has the run. If a crash of a former one is in the counts, the run's next crash is another one.
	void ForgetCountedCrash(const CellWorker &inWorker, const RunId &inId, Run &ioRun);
	/// Drops the adviser's tickets and refusals, which are valid for one incarnation only.
	void DropAdvice(const std::string &inWorker);
	/// Logs ends that a worker lists although they were acknowledged.
	void LogRelistedEnds(const CellWorker &inWorker, const OrderAnswer &inAnswer);

	// CellCrashes.cpp: tasks that crash their workers
	/// Trial run that a task needs now; None if no worker crashes suggest one.
	ETrial TrialOf(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow);
	/// Counts a worker's open trial runs, and exempts long-running tasks that have run long enough from blame.
	void UpdateTrials(CellWorker &ioWorker);
	/// Clears the crashes counted against a long-running task that has been up for long.
	void ClearCrashes(CellWorker &ioWorker, const RunId &inRun);
	/// Whether a trial run there may still be in its start phase.
	static bool HasJustStartedTrial(const CellWorker &inWorker);
	/// Whether trial runs, the task's own and others, permit a start there.
	bool AllowsStart(const CellWorker &inWorker, ETrial inTrial, Millis inNow) const;
	/// Reserves a worker for a task that found none for its trial run.
	void ReserveForTrial(CellJob &ioJob, size_t inUnit, uint32 inTask, Millis inNow);
	/// Logs why a task that waits for its trial run has found no worker, once every few seconds.
	void LogTrialWait(CellJob &ioJob, size_t inUnit, uint32 inTask, Millis inNow);
	/// Polls the other workers of a rack, to see whether they were lost together with one that had a trial run.
	void PollRack(const CellWorker &inWorker, Millis inNow);
	/// Workers of a pool that accept runs, and the number of them that are reserved for trial runs.
	std::pair<std::vector<CellWorker *>, size_t> WorkersForTrials(const std::string &inPool, Millis inNow);
	/// Logs that the crash of a worker's incarnation is included in the counts already, if it is.
	void LogKnownCrash(const CellWorker &inWorker) const;
	/// Attributes the unplanned loss of a worker to the runs whose start may have caused it.
	void AttributeCrash(CellWorker &ioWorker, Millis inNow);
	/// Runs that may have caused the loss, only the likeliest. `outLessLikely`: other runs that were there.
	std::vector<RunId> CrashSuspects(const CellWorker &inWorker, bool inChance, std::vector<RunId> &outLessLikely);
	/// Whether other workers were lost at the same time for a reason that is no task's fault: in the same rack, or without a recent start.
	bool IsChanceCrash(const CellWorker &inWorker) const;
	/// Whether a task of another suspect of a crash is proved to crash its workers.
	bool IsSuspectProved(const CrashSuspect &inSuspect);
	/// Whether a task's crashes call for a trial run.
	bool WarrantsTrial(const TaskCrashes &inCrashes);
	/// Whether workers on which no run had just started have been lost lately.
	bool HaveWorkersCrashedByChance(Millis inNow) const;
	/// What is known of another suspect of a crash.
	ESuspectState JudgeSuspect(const CrashSuspect &inSuspect);
	/// Current weight of a task's crashes.
	CrashSummary WeightOf(const TaskCrashes &inCrashes);
	/// Whether a task has survived its start or is done.
	bool HasTaskSurvivedStart(const CellJob &inJob, uint64 inUnit, uint32 inTask) const;
	/// The same for any task of a unit.
	bool HasStepSurvivedStart(const CellJob &inJob, uint64 inUnit) const;
	/// Units of the runs other than `inRun` that may have crashed a worker. Tasks of its own unit count as the same suspect. Of more than
	/// cMaxCrashSuspects an unknown suspect stands for the rest.
	std::vector<CrashSuspect> OtherSuspects(const std::vector<RunId> &inSuspects, const RunId &inRun);
	/// Fails the job of a task that crashes its workers.
	void FailCrashingJob(CellJob &ioJob, TaskCrashes &ioCrashes, Millis inNow);
	/// Delays a task until the other suspects are decided on, at most for a fixed time.
	void AwaitOtherSuspects(CellJob &ioJob, const TaskId &inTask, Millis inNow);
	/// Fails the jobs of delayed tasks that are proved to crash workers, and releases tasks whose other suspects are decided on.
	void DecideAwaiting(Millis inNow);
	/// Whether a worker's process ended right after a run's start.
	static bool CrashedRightAfterStart(const CellWorker &inWorker, const Run &inRun);
	/// Counts a crash against one of its suspects. True: its job must be failed.
	bool CountCrash(CellWorker &ioWorker, const RunId &inRun, const std::vector<RunId> &inSuspects, bool inChance, Millis inNow);
	/// Key of a task's crash counts.
	static CrashCounts::key_type CrashKey(const CellJob &inJob, const TaskId &inTask);
	/// The job of a task if neither has ended; otherwise nullptr.
	CellJob *OpenJobOf(const TaskId &inTask);
	/// Whether the crash counts of a task call for a trial run.
	bool NeedsTrial(const TaskId &inTask);

	// CellEnds.cpp
	void OnEnded(CellWorker &ioWorker, const EndedRun &inRow, EEndSource inSource, Millis inNow);
	/// How long ago the run of this end was given up, ms; -1: it was not, or is not the last one that was.
	Millis GivenUpAge(const EndedRun &inRow, Millis inNow);
	void RecordProgress(CellWorker &ioWorker, const RunId &inRun, const Run &inProgress, Millis inNow);
	/// Learns from the run time of a complete run.
	void LearnRun(CellWorker &ioWorker, CellJob &ioJob, const TaskId &inTask, Millis inDuration, Millis inNow);
	/// Adds a ratio of actual to expected run time, with this weight, to the average of a worker.
	void UpdateSlowness(CellWorker &ioWorker, double inRatio, double inShare, Millis inNow);
	/// A worker's incarnation is known to have ended: ends its runs, except those that a previous owner may still submit ends of.
	void OnIncarnationEnded(CellWorker &ioWorker, std::string_view inWhy, Millis inNow);
	/// `inNumber`: the end's number on its worker; 0: inferred, not listed by the worker.
	void EndRun(CellWorker &ioWorker, const RunId &inRun, ERunEnd inEnd, const std::string &inCheckpoint, std::string_view inWhy,
				Millis inNow, uint64 inNumber = 0);
	/// Applies ends submitted by a previous owner.
	void IngestEnds(const EndReport &inReport, Millis inNow);
	void LogEnd(const CellWorker &inWorker, const RunId &inId, const Run &inRun, ERunEnd inEnd, std::string_view inWhy, uint64 inNumber);
	/// Applies ends from any source. Only polls of the current incarnation determine which ends the worker may drop.
	void ApplyEnds(CellWorker &ioWorker, const std::vector<EndedRun> &inEnded, EEndSource inSource, Millis inNow);
	/// Applies ends from a poll, which no other host knows yet, and replicates them.
	void ApplyPolledEnds(CellWorker &ioWorker, const std::vector<EndedRun> &inEnded, Millis inNow);
	void LogUnmatched(const EndedRun &inRow);
	void LogUnknownRun(const CellWorker &inWorker, const RunningRun &inRow, Millis inSentAt);
	void FinishTask(CellJob &ioJob, const TaskId &inTask);
	void CountFailure(CellJob &ioJob, const TaskId &inTask, uint32 inRun);
	void CloseIfEnded(CellJob &ioJob);
	void CloseJob(CellJob &ioJob, EJobPhase inPhase, std::string_view inWhy);
	/// Whether a run's start may still be carried out by a later incarnation of its worker. What makes the current one refuse it, a token
	/// or a stop, is lost with it.
	static bool MayStartLater(const CellWorker &inWorker, const Run &inRun, Millis inNow);
	/// Whether such a run may still be there: an incarnation that nothing is known of may have carried its start out as late as it can
	/// arrive, and granted its longest lease.
	bool MayRunUnheard(const CellWorker &inWorker, const Run &inRun, Millis inNow) const;
	/// Keeps a run that its worker refuses on the worker, so that its task is not started elsewhere while its start may still arrive.
	void FenceRun(CellWorker &ioWorker, const RunId &inId, Run &ioRun, Millis inNow);
	/// Stops a run that a worker has and the records lack. It occupies capacity until it has ended.
	void StopUnrecordedRun(CellWorker &ioWorker, const RunId &inRun, Millis inNow);
	void StopRun(CellWorker &ioWorker, const RunId &inRun, std::string_view inWhy, Millis inNow);
	void StopAll(CellJob &ioJob, std::string_view inWhy, Millis inNow);
	void DropRun(CellWorker &ioWorker, const RunId &inRun);

	CellTuning tuning;
	WorkerLeases leases;
	UnansweredStarts inherited_starts; ///< Starts that previous owners may have left without an answer.
	std::string written_starts;        ///< The unanswered starts in the log, or in the append in flight, encoded.
	uint64 epoch = 0;
	uint64 incarnations_begun = 0; ///< Incarnations of workers that replaced a known one.
	RunEventLog run_events;
	RunEndReplicator replicator;
	std::shared_ptr<const Catalogue> catalogue;
	QueuePlacements placements;
	std::map<std::string, CellJob> jobs;
	std::map<std::string, EarlyCancels> early_cancels; ///< By job; each is kept as long as ended jobs.
	std::set<std::string> unlogged_cancels;            ///< Of these, jobs whose cancellations the log lacks.
	/// Hashes of the keys that teams have had while the cell had jobs of theirs, by team. A caller whose key has been given to another team
	/// since must still be able to cancel the jobs that were handed in with it.
	std::map<std::string, std::set<uint64>> team_keys;
	std::set<std::string> unlogged_team_keys; ///< Teams whose keys the log lacks.
	CellCounts totals;                        ///< Only the members that count events.
	std::set<std::string> active;             ///< Jobs whose phase is not final.
	/// Active jobs that have something to start now or have changed since the last planning pass.
	std::set<std::string> jobs_to_plan;
	std::set<std::string> dirty;              ///< Jobs that have changed since their last record.
	std::set<std::string> jobs_to_write;      ///< Jobs that the current series of appends has still to write.
	std::set<std::string> in_batch;           ///< Jobs in the append in flight.
	std::vector<PlanReject> capacity_rejects; ///< Of the last planning pass.
	std::set<std::string> short_pools;        ///< Pools with such a reject when the last planning pass ended.
	int64 ended_swept_wall_ms = 0;            ///< When ended jobs were last swept.
	std::map<std::string, CellWorker> workers;
	std::set<std::string> evacuated_zones; ///< See SetEvacuated.
	/// When an evacuation last ended under this owner.
	Millis zone_reopened_at = std::numeric_limits<Millis>::min();
	std::vector<std::string> removed_workers; ///< Workers whose records are to be removed from the log.
	TeamUsage teams;                          ///< Invariant: includes every run of the workers.
	std::set<std::string> teams_at_limit;     ///< Teams whose limit stopped a task in the last planning pass.
	std::string planned_text;                 ///< Runs planned for the current unit, for the log line: task.run@worker.
	Millis planned_answer_age = 0;            ///< Age of the oldest answer of their workers.
	std::vector<RunId> to_start;              ///< Logged runs to dispatch.
	size_t unsent_start_bytes = 0;            ///< Size of the starts that are planned and not sent, as of the current planning pass.
	Millis starts_paused_since = -1; ///< Since when every planning pass has ended with a full start backlog; -1: the last one has not.
	std::map<RunId, std::string> start_workers;
	std::map<std::string, std::deque<std::pair<Millis, Resources>>> recent_demand; ///< Recent samples of demand, by pool.
	RunTimes run_times;
	int64 run_times_written_wall_ms = 0;         ///< When they were last logged.
	std::map<std::string, ArrivalRate> arrivals; ///< By pool.
	std::vector<Order> throttle_orders;
	std::vector<AdviceRequest> advice_requests;
	bool inbox_fresh = true; ///< See SetInboxFresh.
	uint64 inbox_next = 0;
	uint64 inbox_to_write = 0; ///< Position reached once the current series is in the log.
	uint64 inbox_writing = 0;
	bool cleared_in_series = false; ///< Jobs were taken from held records since the current series of appends began.
	uint64 inbox_logged = 0;
	Millis deferred_logged_at = -cNeverMs; ///< When deferred jobs were last logged.
	uint64 next_serial = 1;
	std::vector<WorkerLoss> recent_losses; ///< Recently lost workers.
	std::set<TaskId> awaiting_suspects;    ///< Tasks delayed until their other suspects are decided on.
	std::set<std::string> trial_racks;     ///< Racks with an open trial run. The loss of two workers of a rack at once would prove nothing.
	Millis draining_until = 0;             ///< Until then some worker is being drained for maintenance.
	std::map<std::string, Millis> drained_hosts; ///< Hosts that are drained, and until when.
	bool retiring = false;                       ///< See BeginHandOver.
	bool unwritten_changes = false;
	bool batch_under_way = false;
	Millis batch_at = 0;      ///< When the batch was taken.
	size_t batch_records = 0; ///< Number of its records.
	Millis now = 0;           ///< Time of the current call.
};

} // namespace Loomreach::Jobs
