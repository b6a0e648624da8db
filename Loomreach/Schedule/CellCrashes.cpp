// Finds tasks that crash their workers, by means of trial runs, and fails their jobs.
//
// A task may crash every worker that starts it, along with all other runs there. Restarted without limit it takes down a whole pool, since
// the next worker crashes before the last one is back. But the loss of a worker alone is weak evidence: racks fail, processes crash at
// random, and of sixteen runs on a crashed worker at most one was the cause. Hence:
//
//  * A crash is blamed on the runs that had just started there; without any, on those whose tasks need a trial run; otherwise on all runs
//    there. The other runs are counted as present. A task that was present at two crashes gets a trial run as well.
//  * A blamed task is restarted as a trial run: no other run has just started on its worker, and none starts until it has survived its
//    start. A crash then identifies the task. After three crashes, or two that were blamed on it, a task runs alone on its worker.
//  * A trial run proves nothing if other workers of the rack are lost too; the task was merely present. So there is one trial run per rack
//    at a time. The same holds for a run taken over by a new owner that never hears from its worker, and for a worker that is unresponsive
//    before its connections close.
//  * A job fails on the second crash right after a task's start if the task is the only possible cause of both; on the third if there are
//    signs of random crashes, or if the cause of the first is unknown (CrashEvidence.h); on the fourth of any kind if two of them have no
//    other possible cause; and on the fifth in any case. Crashes that another task is proved to have caused do not count, except towards
//    the fifth.
//
// A crashed process differs from an unresponsive or partitioned host in that its host closes the connections and refuses new ones.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// A run has survived its start once its worker has answered this long after confirming it. Tasks that crash their worker do so within
/// 10 ms; the rest is margin for slow machines. A trial run keeps other starts off its worker for as long.
static constexpr Millis cStartWindowMs = 300;
/// A crash seen within this time after a start counts as right after it: the 10 ms, plus the time until a poll shows it.
static constexpr Millis cImmediateCrashMs = 150;
/// A task gets a trial run once it was present at this many crashes, even if none was blamed on it.
static constexpr uint32 cUnblamedCrashesForTrial = 2;
/// Crashes blamed on a task after which it runs alone on its worker.
static constexpr uint32 cBlamedCrashesToIsolate = 2;
/// The same for crashes of any kind.
static constexpr uint32 cCrashesToIsolate = 3;
/// Crashes after which a task's job fails if cMinClearCrashes of them have no other possible cause. Specified: at most two more
/// starts after three crashes; one of these five is left for a crash that went unseen.
static constexpr uint32 cMaxCrashes = 4;
/// See cMaxCrashes.
static constexpr uint32 cMinClearCrashes = 2;
/// A long-running task that its worker has survived for longer does not crash workers. Over months, some workers crash under it at random.
static constexpr Millis cBlameExemptAfterMs = 10000;
/// Workers lost within this time of each other may have a common cause: the polls that show the losses are up to this far apart.
static constexpr Millis cCommonCauseMs = 250;
/// The same if a call had to time out: the wait of a long poll plus its timeout.
static constexpr Millis cUnresponsiveCommonCauseMs = 2500;
/// Losses are kept for this long: an end is inferred only once a lease has expired or the next incarnation answers.
static constexpr Millis cLossRetentionMs = 10000;
/// Duration of a worker's reservation for a trial run: the start window of its runs, plus two planning passes.
static constexpr Millis cTrialReservationMs = 500;
/// One worker per this many in a pool may be reserved for trial runs at a time, plus one.
static constexpr size_t cWorkersPerTrial = 8;
/// Longest wait of a task for the outcome of the other suspects of its crash.
static constexpr Millis cSuspectWaitMs = 4000;
/// Longest wait of a task for an empty worker. After it a trial run as for the first crash is enough.
static constexpr Millis cIsolationWaitMs = 1000;

/// A task's wait for its trial run is logged each time that it has gone on for this long.
static constexpr Millis cTrialWaitLogMs = 5000;

/// For how long a run's worker is known to have survived it; -1: not at all.
static Millis SurvivedMs(const CellWorker &inWorker, const Run &inRun)
{
	return inRun.confirmed_at < 0 ? -1 : inWorker.last_answer_at - inRun.confirmed_at;
}

/// Whether a run may have just started when its worker was last heard.
static bool HasJustStarted(const CellWorker &inWorker, const Run &inRun)
{
	return inRun.state != ERunState::Fenced && SurvivedMs(inWorker, inRun) < cStartWindowMs;
}

static bool HasJustStartedRun(const CellWorker &inWorker)
{
	return std::any_of(inWorker.runs.begin(), inWorker.runs.end(),
					   [&inWorker](const auto &inRun) { return HasJustStarted(inWorker, inRun.second); });
}

/// Whether the time of a worker's loss is known: it had answered, and no later call went unanswered on an open connection.
static bool IsLossTimeKnown(const CellWorker &inWorker) { return inWorker.unanswered_since < 0 && inWorker.last_answer_at >= 0; }

/// Estimated time of a worker's loss.
static Millis LossTime(const CellWorker &inWorker, Millis inNow)
{
	if (inWorker.connections_closed_at >= 0)
		return inWorker.connections_closed_at;
	return inWorker.unanswered_since >= 0 ? inWorker.unanswered_since : inNow;
}

/// Whether a worker leaves, or has left, as planned.
static bool LeavesAsPlanned(const CellWorker &inWorker, Millis inNow)
{
	const bool left_list = !inWorker.listed && inWorker.last_answer_at >= inWorker.unlisted_at;
	return inWorker.leave_announced || LossTime(inWorker, inNow) < inWorker.removed_until || left_list;
}

/// Whether a run may have been on a worker when it was lost.
static bool MayHaveBeenThere(const CellWorker &inWorker, const Run &inRun)
{
	if (!IsDispatched(inRun.state) || inRun.state == ERunState::Fenced || inRun.in_new_incarnation ||
		inRun.IsCrashKnown(inWorker.started_ms))
		return false;
	// An order without an answer yet may have gone to the next incarnation
	const bool before_close =
		inWorker.connections_closed_at >= 0 && inWorker.unanswered_since < 0 && inRun.since <= inWorker.connections_closed_at;
	return inRun.state != ERunState::Starting || before_close;
}

CrashCounts::key_type Cell::CrashKey(const CellJob &inJob, const TaskId &inTask)
{
	return {inJob.Unit(inTask.round, inTask.step), inTask.index};
}

CellJob *Cell::OpenJobOf(const TaskId &inTask)
{
	CellJob *job = this->FindJob(inTask.job);
	return this->FindTask(inTask) == nullptr || IsFinal(job->record.phase) ? nullptr : job;
}

bool Cell::NeedsTrial(const TaskId &inTask)
{
	const CellJob *job = this->OpenJobOf(inTask);
	if (job == nullptr)
		return false;
	auto found = job->crashes.find(Cell::CrashKey(*job, inTask));
	return found != job->crashes.end() && this->WarrantsTrial(found->second);
}

ETrial Cell::TrialOf(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow)
{
	auto found = inJob.crashes.find({inUnit, inTask});
	if (found == inJob.crashes.end() || !this->WarrantsTrial(found->second))
		return ETrial::None;
	const Millis since = inJob.volatile_state[inUnit][inTask].trial_wanted_since;
	const bool has_waited = since >= 0 && inNow - since > cIsolationWaitMs;
	const bool isolate = found->second.blamed >= cBlamedCrashesToIsolate || found->second.Total() >= cCrashesToIsolate;
	return isolate && !has_waited ? ETrial::Isolated : ETrial::Start;
}

void Cell::UpdateTrials(CellWorker &ioWorker)
{
	ioWorker.open_trials = 0;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (run.long_running && !run.blame_exempt && SurvivedMs(ioWorker, run) >= cBlameExemptAfterMs)
		{
			run.blame_exempt = true;
			this->ClearCrashes(ioWorker, id);
		}
		const bool isolated = run.trial == ETrial::Isolated && run.state != ERunState::Fenced;
		const bool open = isolated || (run.trial == ETrial::Start && HasJustStarted(ioWorker, run));
		ioWorker.open_trials += open && !run.blame_exempt ? 1 : 0;
	}
	if (ioWorker.open_trials > 0)
		this->trial_racks.insert(ioWorker.entry.rack);
}

bool Cell::HasJustStartedTrial(const CellWorker &inWorker)
{
	return inWorker.open_trials > 0 && std::any_of(inWorker.runs.begin(), inWorker.runs.end(),
												   [&inWorker](const auto &inRun) {
													   return inRun.second.trial != ETrial::None && IsDispatched(inRun.second.state) &&
															  HasJustStarted(inWorker, inRun.second);
												   });
}

void Cell::ClearCrashes(CellWorker &ioWorker, const RunId &inRun)
{
	// Without this, random crashes would add up and fail a job that runs for months
	CellJob *job = this->OpenJobOf(inRun.task);
	if (job == nullptr || job->crashes.erase(Cell::CrashKey(*job, inRun.task)) == 0)
		return;
	this->MarkChanged(*job);
	LogEvent(ELogLevel::Info, "task_cleared")
		.Field("request", inRun.task.job)
		.Field("task", TaskText(inRun.task))
		.Field("run", inRun.run)
		.Field("worker", ioWorker.entry.id)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

bool Cell::AllowsStart(const CellWorker &inWorker, ETrial inTrial, Millis inNow) const
{
	if (inWorker.open_trials > 0)
		return false;
	if (inTrial != ETrial::None && !inWorker.entry.rack.empty() && this->trial_racks.contains(inWorker.entry.rack))
		return false;
	switch (inTrial)
	{
	case ETrial::Start: return !HasJustStartedRun(inWorker);
	case ETrial::Isolated: return inWorker.runs.empty();
	case ETrial::None: break;
	}
	return inNow >= inWorker.trial_reserved_until;
}

std::pair<std::vector<CellWorker *>, size_t> Cell::WorkersForTrials(const std::string &inPool, Millis inNow)
{
	std::vector<CellWorker *> available;
	size_t reserved_count = 0;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.entry.pool != inPool || !this->CanAcceptRuns(worker, inNow) || worker.open_trials > 0)
			continue;
		available.push_back(&worker);
		reserved_count += inNow < worker.trial_reserved_until ? 1 : 0;
	}
	return {available, reserved_count};
}

void Cell::ReserveForTrial(CellJob &ioJob, size_t inUnit, uint32 inTask, Millis inNow)
{
	Millis &since = ioJob.volatile_state[inUnit][inTask].trial_wanted_since;
	since = since < 0 ? inNow : since;
	const Resources reserved = ioJob.StepOf(inUnit).Reserved();
	const auto [available, reserved_count] = this->WorkersForTrials(ioJob.spec.pool, inNow);
	CellWorker *emptiest = nullptr;
	for (CellWorker *worker : available)
		if (reserved.FitsInto(worker->Free()) && Cell::MayRun(*worker, ioJob, inUnit, inNow) &&
			(emptiest == nullptr || worker->runs.size() < emptiest->runs.size()))
			emptiest = worker;
	if (emptiest == nullptr)
		return;
	// A reserved worker stays reserved until its runs have survived their starts, or until it is empty
	if (inNow < emptiest->trial_reserved_until || reserved_count < 1 + available.size() / cWorkersPerTrial)
		emptiest->trial_reserved_until = inNow + cTrialReservationMs;
}

void Cell::LogTrialWait(CellJob &ioJob, size_t inUnit, uint32 inTask, Millis inNow)
{
	VolatileTaskState &state = ioJob.volatile_state[inUnit][inTask];
	if (inNow - std::max(state.trial_wanted_since, state.trial_wait_logged_at) < cTrialWaitLogMs)
		return;
	state.trial_wait_logged_at = inNow;
	const ETrial trial = Cell::TrialOf(ioJob, inUnit, inTask, inNow);
	const Resources reserved = ioJob.StepOf(inUnit).Reserved();
	uint32 in_pool = 0;
	uint32 not_accepting = 0;
	uint32 no_room = 0;
	uint32 on_trial = 0;
	uint32 rack_on_trial = 0;
	uint32 just_started = 0;
	uint32 occupied = 0;
	uint32 not_permitted = 0;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.entry.pool != ioJob.spec.pool)
			continue;
		++in_pool;
		if (!this->CanAcceptRuns(worker, inNow))
			++not_accepting;
		else if (!reserved.FitsInto(worker.Free()))
			++no_room;
		else if (worker.open_trials > 0)
			++on_trial;
		else if (!worker.entry.rack.empty() && this->trial_racks.contains(worker.entry.rack))
			++rack_on_trial;
		else if (trial == ETrial::Start && HasJustStartedRun(worker))
			++just_started;
		else if (trial == ETrial::Isolated && !worker.runs.empty())
			++occupied;
		else
			++not_permitted;
	}
	LogEvent(ELogLevel::Info, "trial_waits")
		.Field("request", ioJob.spec.id)
		.Field("unit", inUnit)
		.Field("task", inTask)
		.Field("trial", NameOf(cTrialNames, trial))
		.Field("outlook", NameOf(cDeadlineOutlookNames, ioJob.outlook))
		.Field("waited_ms", inNow - state.trial_wanted_since)
		.Field("workers", in_pool)
		.Field("not_accepting", not_accepting)
		.Field("no_room", no_room)
		.Field("on_trial", on_trial)
		.Field("rack_on_trial", rack_on_trial)
		.Field("just_started", just_started)
		.Field("occupied", occupied)
		.Field("not_permitted", not_permitted)
		.Field("rejects", this->capacity_rejects.size())
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

std::vector<RunId> Cell::CrashSuspects(const CellWorker &inWorker, bool inChance, std::vector<RunId> &outLessLikely)
{
	std::vector<RunId> just_started;
	std::vector<RunId> trial_candidates;
	std::vector<RunId> others;
	// A worker that leaves as planned is sent no starts in its last seconds, so a run that had just started there crashed it earlier
	const bool leaves_as_planned = LeavesAsPlanned(inWorker, this->now);
	for (const auto &[id, run] : inWorker.runs)
	{
		if (!MayHaveBeenThere(inWorker, run) || run.blame_exempt || (leaves_as_planned && !HasJustStarted(inWorker, run)))
			continue;
		if (HasJustStarted(inWorker, run))
			just_started.push_back(id);
		else
			(this->NeedsTrial(id.task) ? trial_candidates : others).push_back(id);
	}
	// For an unresponsive worker, neither the time of its loss nor the end of its process is known
	if (!IsLossTimeKnown(inWorker) || inChance)
		return just_started;
	std::vector<RunId> suspects = std::move(just_started);
	for (std::vector<RunId> *next : {&trial_candidates, &others})
		if (suspects.empty())
			suspects.swap(*next);
		else
			outLessLikely.insert(outLessLikely.end(), next->begin(), next->end());
	return suspects;
}

bool Cell::IsChanceCrash(const CellWorker &inWorker) const
{
	const Millis at = LossTime(inWorker, this->now);
	const bool exact = inWorker.connections_closed_at >= 0;
	const auto explains_loss = [&inWorker, at, exact](const WorkerLoss &inOther)
	{
		const Millis max_distance = exact && inOther.exact ? cCommonCauseMs : cUnresponsiveCommonCauseMs;
		const bool same_rack = !inOther.rack.empty() && inOther.rack == inWorker.entry.rack;
		return std::abs(at - inOther.at) <= max_distance && ((exact && !inOther.just_started) || same_rack);
	};
	if (std::any_of(this->recent_losses.begin(), this->recent_losses.end(), explains_loss))
		return true;
	for (const auto &[id, other] : this->workers)
	{
		const bool is_lost = &other != &inWorker && !other.ended && (other.connections_closed_at >= 0 || other.unanswered_since >= 0);
		if (is_lost &&
			explains_loss({LossTime(other, this->now), other.connections_closed_at >= 0, other.entry.rack, HasJustStartedRun(other)}))
			return true;
	}
	return false;
}

bool Cell::HaveWorkersCrashedByChance(Millis inNow) const
{
	return std::any_of(this->recent_losses.begin(), this->recent_losses.end(),
					   [inNow](const WorkerLoss &inLost) { return !inLost.just_started && inNow - inLost.at <= cLossRetentionMs; });
}

void Cell::PollRack(const CellWorker &inWorker, Millis inNow)
{
	if (inWorker.entry.rack.empty())
		return;
	for (auto &[id, other] : this->workers)
	{
		const bool may_poll = other.listed && !other.ended && !other.poll_in_flight && other.entry.rack == inWorker.entry.rack;
		if (!may_poll || &other == &inWorker)
			continue;
		other.poll_once = true;
		other.next_poll_at = inNow;
	}
}

bool Cell::CrashedRightAfterStart(const CellWorker &inWorker, const Run &inRun)
{
	const bool after_start = inRun.confirmed_at >= 0 && inWorker.connections_closed_at - inRun.confirmed_at <= cImmediateCrashMs;
	// An expired lease is no proof of a crash: the worker may have been partitioned by connection resets and still run
	return inWorker.ended && IsLossTimeKnown(inWorker) && inWorker.connections_closed_at >= 0 && HasJustStarted(inWorker, inRun) &&
		   after_start;
}

bool Cell::HasTaskSurvivedStart(const CellJob &inJob, uint64 inUnit, uint32 inTask) const
{
	const TaskRecord &task = inJob.record.steps[inUnit].tasks[inTask];
	const uint64 steps = inJob.spec.steps.size();
	const TaskId task_id{inJob.spec.id, static_cast<uint32>(inUnit / steps), static_cast<uint32>(inUnit % steps), inTask};
	const auto has_survived = [this, &task_id](const RunRecord &inRecord)
	{
		auto worker = this->workers.find(inRecord.worker);
		if (worker == this->workers.end())
			return false;
		auto run = worker->second.runs.find({task_id, inRecord.run});
		return run != worker->second.runs.end() && SurvivedMs(worker->second, run->second) >= cStartWindowMs;
	};
	return task.done || std::any_of(task.runs.begin(), task.runs.end(), has_survived);
}

bool Cell::HasStepSurvivedStart(const CellJob &inJob, uint64 inUnit) const
{
	for (uint32 task = 0; task < inJob.record.steps[inUnit].tasks.size(); ++task)
		if (this->HasTaskSurvivedStart(inJob, inUnit, task))
			return true;
	return false;
}

bool Cell::IsSuspectProved(const CrashSuspect &inSuspect)
{
	const CellJob *job = this->FindJob(inSuspect.job);
	// Only a failed job has one
	if (job == nullptr || job->record.phase != EJobPhase::Failed)
		return false;
	return std::any_of(job->crashes.begin(), job->crashes.end(),
					   [&inSuspect](const auto &inCounted) { return inCounted.first.first == inSuspect.unit && inCounted.second.proved; });
}

bool Cell::WarrantsTrial(const TaskCrashes &inCrashes)
{
	// Only a single crash may be excused by its proved cause. With more a task nears the limit for crashes of any kind, and must be kept
	// from starting beside another cause
	const bool is_excusable = inCrashes.Total() == 1 && inCrashes.cases.size() == 1;
	if (!is_excusable)
		return inCrashes.blamed > 0 || inCrashes.bystander >= cUnblamedCrashesForTrial;
	const std::vector<CrashSuspect> &others = inCrashes.cases[0].suspects;
	return inCrashes.blamed > 0 &&
		   std::none_of(others.begin(), others.end(), [this](const CrashSuspect &inOther) { return this->IsSuspectProved(inOther); });
}

ESuspectState Cell::JudgeSuspect(const CrashSuspect &inSuspect)
{
	const CellJob *job = this->FindJob(inSuspect.job);
	if (job == nullptr || inSuspect.unit >= job->record.steps.size())
		return ESuspectState::Undecided;
	if (inSuspect.task.has_value() && *inSuspect.task >= job->record.steps[inSuspect.unit].tasks.size())
		return ESuspectState::Undecided;
	if (this->IsSuspectProved(inSuspect))
		return ESuspectState::Proved;
	const bool survived = inSuspect.task.has_value() ? this->HasTaskSurvivedStart(*job, inSuspect.unit, *inSuspect.task)
													 : this->HasStepSurvivedStart(*job, inSuspect.unit);
	return survived ? ESuspectState::Cleared : ESuspectState::Undecided;
}

CrashSummary Cell::WeightOf(const TaskCrashes &inCrashes)
{
	return SummarizeCrashes(inCrashes, [this](const CrashSuspect &inSuspect) { return this->JudgeSuspect(inSuspect); });
}

std::vector<CrashSuspect> Cell::OtherSuspects(const std::vector<RunId> &inSuspects, const RunId &inRun)
{
	std::vector<CrashSuspect> suspects;
	for (const RunId &other : inSuspects)
	{
		// Also one whose job has ended since: it may have caused the crash all the same
		const CellJob *job = this->FindJob(other.task.job);
		const size_t unit = job == nullptr ? 0 : job->Unit(other.task.round, other.task.step);
		CrashSuspect suspect{other.task.job, static_cast<uint32>(unit), other.task.index};
		const bool is_own = other.task.job == inRun.task.job && other.task.round == inRun.task.round && other.task.step == inRun.task.step;
		if (is_own || std::find(suspects.begin(), suspects.end(), suspect) != suspects.end())
			continue;
		if (suspects.size() + 1 == cMaxCrashSuspects)
		{
			suspects.push_back(CrashSuspect::Unknown());
			break;
		}
		suspects.push_back(std::move(suspect));
	}
	return suspects;
}

bool Cell::CountCrash(CellWorker &ioWorker, const RunId &inRun, const std::vector<RunId> &inSuspects, bool inChance, Millis inNow)
{
	CellJob &job = *this->FindJob(inRun.task.job);
	Run &run = ioWorker.runs.at(inRun);
	run.counted_crash = ioWorker.started_ms;
	TaskCrashes &crashes = job.crashes[Cell::CrashKey(job, inRun.task)];
	// Either other workers of the rack were lost together with the trial run, or no answer told this owner that the run was on the worker
	// when it was lost
	const bool by_others = inChance && run.trial != ETrial::None;
	const bool tells_nothing = by_others || run.confirmed_at < 0 || !IsLossTimeKnown(ioWorker);
	++(tells_nothing ? crashes.bystander : crashes.blamed);
	const bool after_start = !inChance && Cell::CrashedRightAfterStart(ioWorker, run);
	crashes.after_start += after_start ? 1 : 0;
	crashes.cases.push_back({!tells_nothing, after_start, inChance, this->OtherSuspects(inSuspects, inRun)});
	this->MarkChanged(job);
	const CrashSummary weight = this->WeightOf(crashes);
	const bool only_suspect = inSuspects.size() == 1;
	// Recent crashes without a recent start suggest that this one is random as well
	ChanceIndicators indicators;
	indicators.other_workers_crashed = this->HaveWorkersCrashedByChance(inNow);
	indicators.step_task_survived = this->HasStepSurvivedStart(job, job.Unit(inRun.task.round, inRun.task.step));
	const bool proved = only_suspect && after_start && IsCrashCauseProved(weight, indicators);
	// The proof may depend on other suspects whose trial runs are outstanding
	CrashSummary cleared = weight;
	cleared.sole_suspect_after_start = cleared.after_start;
	if (only_suspect && after_start && !proved && IsCrashCauseProved(cleared, indicators))
		this->AwaitOtherSuspects(job, inRun.task, inNow);
	const bool exceeds_limit = weight.sole_suspect >= cMinClearCrashes && weight.Total() >= cMaxCrashes;
	// The specified limit applies to all crashes, explained or not
	const bool given_up = proved || exceeds_limit || ExceedsCrashLimit(crashes);
	LogEvent(ELogLevel::Warning, "task_blamed")
		.Field("request", inRun.task.job)
		.Field("task", TaskText(inRun.task))
		.Field("run", inRun.run)
		.Field("worker", ioWorker.entry.id)
		.Field("born_ms", ioWorker.started_ms)
		.Field("blamed", crashes.blamed)
		.Field("at_once", crashes.after_start)
		.Field("beside", crashes.bystander)
		.Field("seen_ms", SurvivedMs(ioWorker, run))
		.Field("after_start_ms",
			   run.confirmed_at < 0 || ioWorker.connections_closed_at < 0 ? -1 : ioWorker.connections_closed_at - run.confirmed_at)
		.Field("closed_ms_ago", ioWorker.connections_closed_at < 0 ? -1 : inNow - ioWorker.connections_closed_at)
		.Field("silent", ioWorker.unanswered_since >= 0 ? 1 : 0)
		.Field("trial", NameOf(cTrialNames, run.trial))
		.Field("alone", only_suspect ? 1 : 0)
		.Field("chance", inChance ? 1 : 0)
		.Field("rivals", crashes.cases.back().suspects.size())
		.Field("sole", weight.sole_suspect_after_start)
		.Field("explained", weight.explained)
		.Field("workers_crash", indicators.other_workers_crashed ? 1 : 0)
		.Field("unit_is_sound", indicators.step_task_survived ? 1 : 0)
		.Field("outcome", given_up ? "given up" : (this->WarrantsTrial(crashes) ? "starts on trial" : "counted"))
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	return given_up;
}

void Cell::FailCrashingJob(CellJob &ioJob, TaskCrashes &ioCrashes, Millis inNow)
{
	ioCrashes.proved = true;
	this->CloseJob(ioJob, EJobPhase::Failed, "a task crashes its workers");
	this->StopAll(ioJob, "job failed", inNow);
}

void Cell::AwaitOtherSuspects(CellJob &ioJob, const TaskId &inTask, Millis inNow)
{
	ioJob.volatile_state[ioJob.Unit(inTask.round, inTask.step)][inTask.index].not_before = inNow + cSuspectWaitMs;
	this->awaiting_suspects.insert(inTask);
}

void Cell::DecideAwaiting(Millis inNow)
{
	for (auto it = this->awaiting_suspects.begin(); it != this->awaiting_suspects.end();)
	{
		const TaskId task = *it;
		CellJob *job = this->OpenJobOf(task);
		if (job == nullptr)
		{
			it = this->awaiting_suspects.erase(it);
			continue;
		}
		VolatileTaskState &state = *this->FindVolatileState(task);
		TaskCrashes &crashes = job->crashes[Cell::CrashKey(*job, task)];
		const CrashSummary weight = this->WeightOf(crashes);
		ChanceIndicators indicators;
		indicators.other_workers_crashed = this->HaveWorkersCrashedByChance(inNow);
		indicators.step_task_survived = this->HasStepSurvivedStart(*job, job->Unit(task.round, task.step));
		const bool proved = IsCrashCauseProved(weight, indicators);
		const bool decided = proved || weight.explained > 0 || indicators.step_task_survived || inNow >= state.not_before;
		if (!decided)
		{
			++it;
			continue;
		}
		it = this->awaiting_suspects.erase(it);
		state.not_before = inNow;
		LogEvent(ELogLevel::Warning, "task_judged")
			.Field("request", task.job)
			.Field("task", TaskText(task))
			.Field("at_once", weight.after_start)
			.Field("sole", weight.sole_suspect_after_start)
			.Field("explained", weight.explained)
			.Field("workers_crash", indicators.other_workers_crashed ? 1 : 0)
			.Field("unit_is_sound", indicators.step_task_survived ? 1 : 0)
			.Field("outcome", proved ? "given up" : "starts on trial")
			.Field("cell", this->run_events.Cell())
			.Field("epoch", this->epoch);
		if (!proved)
			continue;
		this->FailCrashingJob(*job, crashes, inNow);
	}
}

void Cell::LogKnownCrash(const CellWorker &inWorker) const
{
	const auto known = std::count_if(inWorker.runs.begin(), inWorker.runs.end(),
									 [&inWorker](const auto &inRun) { return inRun.second.counted_crash == inWorker.started_ms; });
	if (known == 0)
		return;
	LogEvent(ELogLevel::Info, "crash_known")
		.Field("worker", inWorker.entry.id)
		.Field("born_ms", inWorker.started_ms)
		.Field("runs_counted", known)
		.Field("runs", inWorker.runs.size())
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::AttributeCrash(CellWorker &ioWorker, Millis inNow)
{
	if (ioWorker.runs.empty())
		return;
	this->LogKnownCrash(ioWorker);
	const bool chance = this->IsChanceCrash(ioWorker);
	std::erase_if(this->recent_losses, [inNow](const WorkerLoss &inLost) { return inNow - inLost.at > cLossRetentionMs; });
	this->recent_losses.push_back(
		{LossTime(ioWorker, inNow), ioWorker.connections_closed_at >= 0, ioWorker.entry.rack, HasJustStartedRun(ioWorker)});
	std::vector<RunId> less_likely;
	const std::vector<RunId> suspects = this->CrashSuspects(ioWorker, chance, less_likely);
	for (const RunId &id : less_likely)
		if (CellJob *job = this->OpenJobOf(id.task); job != nullptr)
		{
			TaskCrashes &crashes = job->crashes[Cell::CrashKey(*job, id.task)];
			++crashes.bystander;
			crashes.cases.push_back({false, false, chance, this->OtherSuspects(suspects, id)});
			ioWorker.runs.at(id).counted_crash = ioWorker.started_ms;
			this->MarkChanged(*job);
		}
	for (const RunId &id : suspects)
	{
		CellJob *job = this->OpenJobOf(id.task);
		if (job == nullptr || !this->CountCrash(ioWorker, id, suspects, chance, inNow))
			continue;
		this->FailCrashingJob(*job, job->crashes[Cell::CrashKey(*job, id.task)], inNow);
	}
}

} // namespace Loomreach::Jobs
