// A cell: the jobs and workers of one or more pools whose records share one log, decided on by the log's owner.
// Pure: time comes in, orders and records go out. Whoever drives it sends orders only while its ownership holds.
//
// The order of things, on which the promises rest:
//  1. a run is in the log before its worker is told of it (Planned, Writing, then Starting);
//  2. a run's end is in the log before the worker may forget it (CellWorker::last_seen);
//  3. callers are told a phase only once the log holds it (CellJob::shown);
//  4. a task gets a new run only when every earlier one is known to have ended, or its lease must be over;
//  5. the workers that crashed under a task are in the log before it is started again (CellJob::crashes);
//  6. what is known of a worker's life goes with it (WorkerLife): a worker that starts again may keep its id, and orders that were meant
//  for
//     its former life may be carried out by the next one. So each life has a token of its own, ends are numbered by life, and a worker is
//     let forget ends only by a look that is answered at once.

#pragma once

#include <Loomreach/Schedule/ArrivalRate.h>
#include <Loomreach/Schedule/Catalogue.h>
#include <Loomreach/Schedule/CellTrail.h>
#include <Loomreach/Schedule/CrashEvidence.h>
#include <Loomreach/Schedule/EndReplicator.h>
#include <Loomreach/Schedule/PoolDemand.h>
#include <Loomreach/Schedule/RunTimes.h>
#include <Loomreach/Schedule/TeamUse.h>
#include <Loomreach/Schedule/WorkerLeases.h>
#include <Loomreach/Schedule/WorkerToken.h>

namespace Loomreach::Jobs
{

/// What a question about a job is answered with.
struct JobAnswer
{
	bool known = false;
	EJobPhase phase = EJobPhase::Queued;
	std::string_view team; ///< Whose job it is.
};

/// Figures of a cell for metrics.
struct CellFigures
{
	size_t jobs = 0;
	size_t active = 0;
	size_t runs = 0;
	size_t workers = 0;
};

/// A task that found no place in the planning under way: no task of the pool that asks for as much will find one.
struct PlanReject
{
	std::string_view pool;
	Resources reserved;
};

/// One cell. See the head of the file.
class Cell
{
public:
	explicit Cell(const CellTuning &inTuning) : tuning(inTuning) {}

	/// Takes in one record of the log during take-over; records of unknown keys are passed over.
	bool Restore(std::string_view inKey, std::string_view inValue);
	/// Starts to act, as the owner with this epoch. Runs found in the log are asked for before anything else happens to them. `inCell`: the
	/// cell's number, for the log.
	void Begin(uint64 inEpoch, Millis inNow, uint32 inCell = 0);
	/// The worker list as it is now: workers of this cell's pools. `inTrustUntil`: the store has just come back, so an entry that went may
	/// only have lapsed; until then its worker is taken for present while it answers.
	void SetWorkers(const std::vector<WorkerEntry> &inWorkers, Millis inNow, Millis inAssumePresentUntil = 0);
	/// Whether a pool's workers guard their room themselves. Unknown pools do not.
	void SetCatalogue(std::shared_ptr<const Catalogue> inCatalogue);
	/// Availability zones in which nothing may be started. What runs there goes on.
	void SetEvacuated(const std::set<std::string> &inZones, Millis inNow);
	/// Takes in one record of the inbox. `inOffset` is its place there.
	void Ingest(const InboxRecord &inRecord, uint64 inOffset, Millis inNow, int64 inWallNow);
	/// Ends that workers have listed and the log does not hold: with this owner gone only its successor can take note of them.
	std::vector<EndReport> UnloggedEnds() const;
	/// What to tell the hosts that keep replicas of this cell's ends: call after answers and appends until there is nothing, before any
	/// wait.
	std::optional<EndsUpdate> TakeEndsUpdate(Millis inNow) { return this->replicator.Take(inNow); }
	/// Records before this place have been removed unread.
	void SkipInbox(uint64 inFirst) { this->inbox_next = std::max(this->inbox_next, inFirst); }
	/// The place in the inbox from which to go on reading.
	uint64 InboxNext() const { return this->inbox_next; }

	/// Whether the inbox was read so lately that no cancel can have waited there unread. Else nothing is started.
	void SetInboxFresh(bool inFresh) { this->inbox_fresh = inFresh; }
	/// Decides what to start, stop and pace. Call after news and at times.
	void Plan(Millis inNow, int64 inWallNow);
	/// Records to append, all or nothing; empty: nothing to write. One append at a time.
	std::vector<KeyedRecord> TakeBatch(int64 inWallNow);
	/// The append is in the log.
	void OnAppended(Millis inNow);
	/// Orders to send now.
	std::vector<Order> TakeOrders(Millis inNow);
	/// An order came out. `inSentAt`: when it was sent.
	void OnAnswer(const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);

	/// Questions for the adviser that planning has raised.
	std::vector<AdviceQuestion> TakeAdvice() { return std::exchange(this->advice_questions, {}); }
	void OnAdvice(const AdviceQuestion &inQuestion, const AdviceAnswer &inAnswer, Millis inNow);

	/// When to ask for the teams' shares next, and what; nothing: there is nothing to ask.
	Millis NextSharesAt() const { return this->teams.NextAskAt(!this->teams_at_limit.empty()); }
	std::optional<ShareQuestion> AskShares(Millis inNow, int64 inWallNow);
	void OnShares(const ShareAnswer &inAnswer, Millis inNow);

	/// What callers may be told of a job.
	JobAnswer Query(std::string_view inQueue, std::string_view inId) const;
	/// Accepted jobs of a queue none of whose tasks has begun.
	uint32 Waiting(std::string_view inQueue) const;
	/// Asks to empty a worker for maintenance; true when nothing is on it and nothing will be for the next `inForMs`.
	bool Vacate(const std::string &inWorker, Millis inForMs, Millis inNow);
	/// What a pool needs, and up to `inSpare` of its workers that are empty and will be for the next `inForMs`.
	PoolDemand Demand(const std::string &inPool, uint32 inSpare, Millis inForMs, Millis inNow, int64 inWallNow);
	/// The hosts of these workers were moved or taken down: nothing new for them until the worker list drops them.
	void NoteLeft(const std::vector<std::string> &inWorkers, Millis inNow);
	/// A planned hand-over comes: from now on nothing is promised.
	void Retire() { this->retiring = true; }
	/// Whether a successor may begin at once: the log holds every end that a worker told of, and nothing promised is still relied on.
	bool CanHandOver(Millis inNow) const;
	CellFigures Figures() const;
	/// Whether the last planning found no room for something.
	bool IsShort() const { return !this->capacity_rejects.empty(); }
	/// Whether another append has something to write.
	bool HasNews() const { return this->unwritten_changes; }

private:
	friend class CellProbe;

	// Cell.cpp: records
	bool RestoreLocation(const std::string &inWorker, std::string_view inValue);
	bool RestoreIncarnation(const std::string &inWorker, std::string_view inValue);
	bool RestoreDrainGrant(const std::string &inWorker, std::string_view inValue);
	void RemoveEndedJobs(int64 inWallNow, std::vector<KeyedRecord> &outBatch);
	CellJob *FindJob(const std::string &inId);
	TaskRecord *FindTask(const TaskId &inTask);
	VolatileTaskState *FindVolatileState(const TaskId &inTask);
	void MarkChanged(CellJob &ioJob);
	void InheritRuns(CellJob &ioJob, Millis inNow);
	/// Begins a series of appends that writes all that has changed until now.
	void BeginAppendSeries();
	/// Takes the next jobs of the series into an append.
	void AddJobRecords(int64 inWallNow, std::vector<KeyedRecord> &outBatch);
	/// Takes the places of workers that get their first runs, and drops those of workers that are forgotten.
	void AddLocationRecords(std::vector<KeyedRecord> &outBatch);
	/// Takes the promises that are to be given, and drops those that are over, where something is written anyway.
	void AddDrainGrantRecords(std::vector<KeyedRecord> &outBatch);
	/// The log now holds the ends of a worker that were in the append.
	void OnEndsLogged(CellWorker &ioWorker);

	/// A run may exist from now on, or is known to be over.
	void AddUsage(CellWorker &ioWorker, const Run &inRun);
	void SubtractUsage(CellWorker &ioWorker, const Run &inRun);

	// CellDemand.cpp
	/// What could start of each team with a limit, if it had room.
	std::map<std::string, Resources> WantedByTeam(int64 inWallNow) const;
	/// Tasks that have looked in vain for a worker to be tried on.
	uint32 WaitingTrials(const std::string &inPool) const;
	void CurrentDemand(std::string_view inPool, int64 inWallNow, Resources &outInTime, Resources &outLate) const;

	// CellPlan.cpp: decisions
	void PlanJobs(Millis inNow, int64 inWallNow);
	void PlanJob(CellJob &ioJob, Millis inNow, int64 inWallNow);
	void UpdateRank(CellJob &ioJob, Millis inNow, int64 inWallNow) const;
	bool HasTasksToStart(const CellJob &inJob, int64 inWallNow) const;
	void LogPlanned(const CellJob &inJob, size_t inUnit);
	EDeadlineOutlook OutlookOf(const CellJob &inJob, int64 inWallNow) const;
	int64 WorkLeft(const CellJob &inJob) const;
	Millis CriticalPathLeft(const CellJob &inJob) const;
	/// What the longest task of a step takes or took, as far as can be told.
	Millis StepDuration(const CellJob &inJob, size_t inUnit) const;
	/// How long a step takes from now if what waits of it starts now; 0: it is done.
	Millis StepLeft(const CellJob &inJob, size_t inUnit) const;
	int64 DueWall(const CellJob &inJob) const;
	bool IsDue(const CellJob &inJob, size_t inUnit, int64 inWallNow) const;
	/// Whether a job's team may have this many more tasks of a step running; remembers which have not.
	bool FitsTeamLimit(const CellJob &inJob, size_t inUnit, int64 inTasks, Millis inNow);
	void PlanUnit(CellJob &ioJob, size_t inUnit, Millis inNow);
	void PlanGang(CellJob &ioJob, size_t inUnit, Millis inNow);
	void EndLapsedRuns(CellWorker &ioWorker, Millis inNow);
	void PlanThrottles(CellWorker &ioWorker, Millis inNow);
	void PlanStragglers(CellWorker &ioWorker, Millis inNow);
	/// What a task of a step is likely to take.
	Millis ExpectedRunMs(const CellJob &inJob, size_t inUnit) const;
	/// What a worker may take for it without being called slow: quick neighbours alone don't make one slow.
	Millis SlownessBaselineMs(const CellJob &inJob, size_t inUnit) const;
	bool CanAcceptRuns(const CellWorker &inWorker, Millis inNow) const;
	bool IsEvacuated(const CellWorker &inWorker) const { return this->evacuated_zones.contains(inWorker.entry.availability_zone); }
	/// Whether a worker has the step's label, and the adviser's leave where that is needed.
	static bool MayRun(const CellWorker &inWorker, const CellJob &inJob, size_t inUnit, Millis inNow);
	CellWorker *ChooseWorker(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow,
							 const std::map<std::string, uint32> &inOnWorker);
	double ScoreOf(const CellWorker &inWorker, const CellJob &inJob, size_t inUnit) const;
	std::map<std::string, uint32> CountByWorker(const CellJob &inJob, size_t inUnit) const;
	void AddRun(CellJob &ioJob, size_t inUnit, uint32 inTask, uint32 inRun, CellWorker &ioWorker, Millis inNow);

	// CellMisses.cpp: stops of tasks that last
	void StopRunsOnDrainedWorker(CellWorker &ioWorker, Millis inNow);
	void StopRunsOnLeavingWorker(CellWorker &ioWorker, Millis inNow);
	/// Says that a worker is empty and stays so for the next `inForMs`, if that holds and the log tells a successor of it.
	bool GrantDrain(CellWorker &ioWorker, Millis inForMs);
	bool MayBeUnavailable(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow) const;
	/// Whether a run's stop is bound by how many others of its step are away. Not once its job or its worker ends anyway.
	bool IsStopLimited(const CellWorker &inWorker, const RunId &inRun) const;
	/// Whether a start without an answer, whose run the worker does not list, may be made sure never to come.
	bool MayStopUnconfirmed(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const;
	/// Whether a stop that is due, for the first time or again, may leave now.
	bool MaySendStop(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const;

	// CellAdvice.cpp
	void AskAdvice(CellJob &ioJob, size_t inUnit, Millis inNow);
	/// Whether a worker may run a step of a queue with a policy, for long enough to reach it.
	static bool HasTicket(const CellJob &inJob, size_t inUnit, const std::string &inWorker, Millis inNow);

	// CellOrders.cpp: orders and answers
	/// Why a run that the log holds is not told to its worker after all; empty: it is.
	std::string_view WhyNotDispatched(const CellWorker &inWorker, const RunId &inRun, Millis inNow);
	/// How many members of each gang among these runs can be told, by the gang's first task: all of them are, or none.
	std::map<TaskId, size_t> DispatchableMembers(const std::vector<RunId> &inRuns, Millis inNow);
	Order NewOrder(EOrder inKind, CellWorker &ioWorker, Millis inNow);
	void TakePoll(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders);
	void TakeStops(CellWorker &ioWorker, Millis inNow, std::vector<Order> &outOrders);
	/// An answer tells whether the worker's process is there.
	void RecordContact(CellWorker &ioWorker, const OrderAnswer &inAnswer, bool inAnswered, Millis inNow);
	void OnStartAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow);
	void OnStopAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow);
	void OnPollAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);

	// CellLives.cpp: workers that start again
	/// The token of a worker's present life.
	uint64 TokenFor(const CellWorker &inWorker) const { return TokenOf(this->epoch, inWorker.incarnation_number); }
	/// Another life may have begun: the next look, which goes at once, tells.
	void SuspectRestart(CellWorker &ioWorker, std::string_view inWhy, Millis inNow);
	/// Draws from the list's entry, before it is taken over, which life of the worker it is of; false: of a former one.
	bool UpdateIncarnation(CellWorker &ioWorker, const WorkerEntry &inEntry, Millis inNow);
	/// Draws from an answer to an order of the present life whether another one gave it; true: it did, and has begun.
	bool DetectNewIncarnation(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);
	/// Another life of a worker has begun. `inAnswer`: its first; `inSentAt`: when what it answers was sent.
	void BeginIncarnation(CellWorker &ioWorker, int64 inStartedMs, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);
	/// Ends what only the former life can have had, and counts its crash.
	void EndPreviousRuns(CellWorker &ioWorker, const OrderAnswer &inAnswer, Millis inSentAt, Millis inNow);
	/// Runs that the present life may have, or may still be told of by orders under way, are asked for.
	void VerifyRuns(CellWorker &ioWorker, Millis inNow);
	/// The worker may have been given the longest lease that it grants, by an order with the end of a lease on another clock.
	void AssumeMaxLease(CellWorker &ioWorker, Millis inNow) const;
	/// An answer to an order that was meant for a former life; which one has given it is not known.
	void OnPreviousIncarnationAnswer(CellWorker &ioWorker, const Order &inOrder, const OrderAnswer &inAnswer, Millis inNow);
	/// A run was on a former life of its worker, and nobody has handed its end in.
	void CountPreviousCrash(const RunId &inRun);
	/// An adviser's tickets and refusals hold for one life of a worker.
	void DropAdvice(const std::string &inWorker);
	/// Ends that a worker lists although it was told to forget their numbers.
	void LogRelistedEnds(const CellWorker &inWorker, const OrderAnswer &inAnswer);

	// CellCrashes.cpp: tasks that crash their workers
	/// How a task is to be tried now: not at all if no worker has crashed under it.
	ETrial TrialOf(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow);
	/// Counts a worker's trials that are still open, and clears lasting tasks that have settled there.
	void UpdateTrials(CellWorker &ioWorker);
	/// A lasting task is at work for so long that it is suspected no more.
	void ClearCrashes(CellWorker &ioWorker, const RunId &inRun);
	/// Whether a run on trial there may still be in its start.
	static bool HasJustStartedTrial(const CellWorker &inWorker);
	/// Whether a task may start there as far as trials go, its own and others'.
	bool AllowsStart(const CellWorker &inWorker, ETrial inTrial, Millis inNow) const;
	/// Keeps other starts off a worker for a task that is to be tried and found none.
	void ReserveForTrial(CellJob &ioJob, size_t inUnit, uint32 inTask, Millis inNow);
	/// Asks whether the other workers of a rack have gone with one on which a run was on trial.
	void PollRack(const CellWorker &inWorker, Millis inNow);
	/// Workers of a pool that may take work, and how many of these are kept for trials.
	std::pair<std::vector<CellWorker *>, size_t> WorkersForTrials(const std::string &inPool, Millis inNow);
	/// A worker's life is over with all its runs, and not by plan: whose start may have done it.
	void AttributeCrash(CellWorker &ioWorker, Millis inNow);
	/// The runs that may have done it, likeliest alone; `outBeside`: those that were there as well.
	std::vector<RunId> CrashSuspects(const CellWorker &inWorker, bool inChance, std::vector<RunId> &outLessLikely);
	/// Whether other workers went at that moment of whose loss no task can be the cause: of the same rack, or with nothing just started.
	bool IsChanceCrash(const CellWorker &inWorker) const;
	/// What became of tasks that may have caused a crash instead of another.
	ERival JudgeSuspect(const CrashRival &inRival);
	/// What a task's crashes weigh now.
	CrashWeight WeightOf(const TaskCrashes &inCrashes);
	/// Whether any task of a step has outlived its start, or has done its work.
	bool HasSurvivedStart(const CellJob &inJob, uint64 inUnit) const;
	/// The steps of other runs than `inRun` that may have crashed a worker. Tasks of its own step are not told apart from it.
	std::vector<CrashRival> OtherSuspects(const std::vector<RunId> &inSuspects, const RunId &inRun);
	/// Ends the job of a task that crashes its workers.
	void FailCrashingJob(CellJob &ioJob, TaskCrashes &ioCrashes, Millis inNow);
	/// Starts a task no more until it is known what became of its rivals, or for long enough.
	void AwaitOtherSuspects(CellJob &ioJob, const TaskId &inTask, Millis inNow);
	/// Gives up those of them that are proved now, and starts the others again once their rivals are decided on.
	void DecideAwaiting(Millis inNow);
	/// Whether a worker's process went right after a run's start.
	static bool CrashedRightAfterStart(const CellWorker &inWorker, const Run &inRun);
	/// One more crash under a run, one of those that may have done it; whether that is enough to give its job up.
	bool CountCrash(CellWorker &ioWorker, const RunId &inRun, const std::vector<RunId> &inSuspects, bool inChance, Millis inNow);
	/// Where a task's crashes are counted.
	static CrashCounts::key_type CrashKey(const CellJob &inJob, const TaskId &inTask);
	/// The job of a task, if neither has ended; else nullptr.
	CellJob *OpenJobOf(const TaskId &inTask);
	/// Whether a task is to be tried, by what is counted of it.
	bool NeedsTrial(const TaskId &inTask);

	// CellEnds.cpp
	void OnEnded(CellWorker &ioWorker, const EndedRow &inRow, Millis inNow);
	void RecordProgress(CellWorker &ioWorker, const RunId &inRun, const Run &inProgress, Millis inNow);
	/// A task's whole run was seen.
	void LearnRun(CellWorker &ioWorker, CellJob &ioJob, const TaskId &inTask, Millis inDuration, Millis inNow);
	void UpdateSlowness(CellWorker &ioWorker, double inRatio, double inShare, Millis inNow);
	void OnIncarnationEnded(CellWorker &ioWorker, std::string_view inWhy, Millis inNow);
	/// `inNumber`: the end's number on its worker; 0: the worker did not list it.
	void EndRun(CellWorker &ioWorker, const RunId &inRun, ERunEnd inEnd, const std::string &inCheckpoint, std::string_view inWhy,
				Millis inNow, uint64 inNumber = 0);
	/// Ends that a predecessor was told of.
	void IngestEnds(const EndReport &inReport, Millis inNow);
	void LogEnd(const CellWorker &inWorker, const RunId &inId, const Run &inRun, ERunEnd inEnd, std::string_view inWhy, uint64 inNumber);
	/// Ends, as somebody was told of them; which of them the worker may forget is for looks at its present life alone to tell.
	void ApplyEnds(CellWorker &ioWorker, const std::vector<EndedRow> &inEnded, Millis inNow);
	/// The same of a look: nobody else has been told of them.
	void ApplyPolledEnds(CellWorker &ioWorker, const std::vector<EndedRow> &inEnded, Millis inNow);
	void LogUnmatched(const EndedRow &inRow);
	void LogUnknownRun(const CellWorker &inWorker, const RunningRow &inRow, Millis inSentAt);
	void FinishTask(CellJob &ioJob, const TaskId &inTask);
	void CountFailure(CellJob &ioJob, const TaskId &inTask, uint32 inRun);
	void CloseIfEnded(CellJob &ioJob);
	void CloseJob(CellJob &ioJob, EJobPhase inPhase, std::string_view inWhy);
	/// A run that a worker has and the records do not: it is stopped, and takes its room until then.
	void StopUnrecordedRun(CellWorker &ioWorker, const RunId &inRun, Millis inNow);
	void StopRun(CellWorker &ioWorker, const RunId &inRun, std::string_view inWhy, Millis inNow);
	void StopAll(CellJob &ioJob, std::string_view inWhy, Millis inNow);
	void DropRun(CellWorker &ioWorker, const RunId &inRun);

	CellTuning tuning;
	WorkerLeases leases;
	uint64 epoch = 0;
	uint64 incarnations_begun = 0; ///< Lives of workers that began while others of theirs were known.
	CellTrail run_events;
	EndReplicator replicator;
	std::shared_ptr<const Catalogue> catalogue;
	std::map<std::string, CellJob> jobs;
	std::set<std::string> active;        ///< Jobs whose phase is not final.
	std::set<std::string> jobs_to_plan;  ///< Of these, the ones that have something to start now, or that changed since the last planning.
	std::set<std::string> dirty;         ///< Jobs that the log does not hold as they are.
	std::set<std::string> jobs_to_write; ///< Of these, the ones that the series of appends under way has still to write.
	std::set<std::string> in_batch;      ///< Jobs in the append under way.
	std::vector<PlanReject> capacity_rejects; ///< Of the planning under way.
	int64 ended_swept_wall_ms = 0;            ///< When ended jobs were last looked through.
	std::map<std::string, CellWorker> workers;
	std::set<std::string> evacuated_zones;    ///< See SetEvacuated.
	std::vector<std::string> removed_workers; ///< Workers whose places are to be dropped from the log.
	TeamUse teams;                            ///< Invariant: counts every run on the workers.
	std::set<std::string> teams_at_limit;     ///< Teams that had no room in the last planning.
	std::string planned_text;                 ///< Runs planned for the step in hand, for the log: task, run and worker.
	Millis planned_answer_age = 0;            ///< How old the oldest news of their workers is.
	std::vector<RunId> to_start;              ///< Logged runs whose workers are to be told.
	std::map<RunId, std::string> start_workers;
	std::map<std::string, std::deque<std::pair<Millis, Resources>>> recent_demand; ///< Of the last moments, by pool.
	RunTimes run_times;
	int64 run_times_written_wall_ms = 0;         ///< When they were last written.
	std::map<std::string, ArrivalRate> arrivals; ///< By pool.
	std::vector<Order> throttle_orders;
	std::vector<AdviceQuestion> advice_questions;
	bool inbox_fresh = true; ///< See SetInboxFresh.
	uint64 inbox_next = 0;
	uint64 inbox_to_write = 0; ///< The place that the series under way will have reached.
	uint64 inbox_writing = 0;
	uint64 inbox_logged = 0;
	uint64 next_serial = 1;
	std::vector<WorkerLoss> recent_losses; ///< Workers that were lost of late.
	std::set<TaskId> awaiting_suspects;    ///< Tasks that wait for what becomes of their rivals.
	std::set<std::string> trial_racks;     ///< Racks with an open trial: should two of their workers go at once, it tells nothing.
	Millis draining_until = 0;             ///< Until then some worker is being emptied for maintenance.
	bool retiring = false;                 ///< See Retire.
	bool unwritten_changes = false;
	bool batch_under_way = false;
	Millis batch_at = 0;      ///< When it was taken,
	size_t batch_records = 0; ///< and how many records it has.
	Millis now = 0;           ///< The time of the call under way.
};

} // namespace Loomreach::Jobs
