// Which task may have crashed a worker, trials of such tasks, and when one is given up.
//
// A task may crash each worker that starts it, with everything else that runs there; started again without end it takes a pool down, since
// the next worker goes before the last is back. But a worker's end says by itself little of whose fault it was: racks are lost, processes
// crash by chance, and of sixteen runs on a crashed worker at most one did it. So:
//
//  * a crash is blamed on what had just started there; where nothing had, on what is tried; else on all that ran there. The others are
//    noted as having been there: who was there at two crashes is tried as well;
//  * a task that was blamed starts on trial: nothing else has just started on its worker, and nothing else starts until it has outlived its
//    start. A worker that crashes then tells which task it was. One that was at three crashes, or blamed for two without a proof, runs
//    alone on its worker;
//  * where workers of its rack go with it, a trial tells nothing: the task was only there. So there is one trial at a time in a rack. The
//  same
//    where an owner takes over a run of a worker that it never hears, and where a worker falls silent first;
//  * with the second crash right after its start, if it was the only task that can have done both, its job is given up; with the third
//    if something speaks for chance, or the cause of the first is not known (CrashEvidence.h); with the fourth in all if two of them can
//    have no other cause; with the fifth in any case. Crashes that another task is proved to have caused are not counted.
//
// A process that has crashed is told from a dark host and from a cut by its host, which closes connections and turns new ones away.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// A run that its worker has outlived this long has outlived its start: tasks that crash their worker do so within 10 ms (the users'
/// record). Room for a slow machine; as long as that, a trial keeps others off its worker.
static constexpr Millis cStartWindowMs = 300;
/// A crash is right after a start if it was seen this soon after it: the 10 ms, and the time until a look shows it.
static constexpr Millis cImmediateCrashMs = 150;
/// Crashes that a task was beside after which it is tried though none was blamed on it.
static constexpr uint32 cUnblamedCrashesForTrial = 2;
/// A task runs alone on its worker from so many crashes that were blamed on it,
static constexpr uint32 cBlamedCrashesToIsolate = 2;
/// or from so many in all.
static constexpr uint32 cCrashesToIsolate = 3;
/// Crashes after which a task is given up in any case: the users bear three, and two starts more; one is left for a crash that was not
/// seen.
static constexpr uint32 cMaxCrashes = 4;
/// Of these so many must have been blamed on it, with nothing else that can have been the cause.
static constexpr uint32 cMinClearCrashes = 2;
/// A lasting task whose worker has lived with it for longer than this does not crash its workers: over months some go under it by chance.
static constexpr Millis cBlameExemptAfterMs = 10000;
/// Workers lost within this of each other may be lost by one cause: the looks that show it are up to this far apart.
static constexpr Millis cCommonCauseMs = 250;
/// The same where a call had to run out: a waiting look and its time limit.
static constexpr Millis cUnresponsiveCommonCauseMs = 2500;
/// Lost workers are remembered for this long: an end is concluded once a lease is over or the next life answers.
static constexpr Millis cLossRetentionMs = 10000;
/// A worker is kept for a trial for this long: two plannings beyond the time after which nothing has just started there.
static constexpr Millis cTrialReservationMs = 500;
/// Of so many workers of a pool one is kept for trials at once, and one more.
static constexpr size_t cWorkersPerTrial = 8;
/// A task whose rivals at a crash are still to be tried waits this long for what becomes of them.
static constexpr Millis cSuspectWaitMs = 4000;
/// For a worker of its own a task waits this long; then it is tried as after the first crash.
static constexpr Millis cIsolationWaitMs = 1000;

/// How long a run's worker is known to have lived with it; -1: not at all.
static Millis SurvivedMs(const CellWorker &inWorker, const Run &inRun)
{
	return inRun.confirmed_at < 0 ? -1 : inWorker.last_answer_at - inRun.confirmed_at;
}

/// Whether a run may have just started when its worker was last heard.
static bool HasJustStarted(const CellWorker &inWorker, const Run &inRun) { return SurvivedMs(inWorker, inRun) < cStartWindowMs; }

static bool HasJustStartedRun(const CellWorker &inWorker)
{
	return std::any_of(inWorker.runs.begin(), inWorker.runs.end(),
					   [&inWorker](const auto &inRun) { return HasJustStarted(inWorker, inRun.second); });
}

/// Whether it is known when a worker's process went: it had answered, and no call after that went without an answer unclosed.
static bool IsLossTimeKnown(const CellWorker &inWorker) { return inWorker.unanswered_since < 0 && inWorker.last_answer_at >= 0; }

/// When a worker went, as far as can be told.
static Millis LossTime(const CellWorker &inWorker, Millis inNow)
{
	if (inWorker.connections_closed_at >= 0)
		return inWorker.connections_closed_at;
	return inWorker.unanswered_since >= 0 ? inWorker.unanswered_since : inNow;
}

/// Whether a worker is about to go, or has gone, by plan.
static bool LeavesAsPlanned(const CellWorker &inWorker, Millis inNow)
{
	const bool left_list = !inWorker.listed && inWorker.last_answer_at >= inWorker.unlisted_at;
	return inWorker.leave_announced || LossTime(inWorker, inNow) < inWorker.removed_until || left_list;
}

/// Whether a run may have been on a worker when it went.
static bool MayHaveBeenThere(const CellWorker &inWorker, const Run &inRun)
{
	if (!IsDispatched(inRun.state) || inRun.in_new_incarnation || inRun.crash_counted)
		return false;
	// An order that has no answer yet may have gone to the next life
	const bool before_close =
		inWorker.connections_closed_at >= 0 && inWorker.unanswered_since < 0 && inRun.since <= inWorker.connections_closed_at;
	return inRun.state != ERunState::Starting || before_close;
}

/// Whether what is counted of a task is enough to try it.
static bool WarrantsTrial(const TaskCrashes &inCrashes) { return inCrashes.blamed > 0 || inCrashes.beside >= cUnblamedCrashesForTrial; }

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
	return found != job->crashes.end() && WarrantsTrial(found->second);
}

ETrial Cell::TrialOf(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow)
{
	auto found = inJob.crashes.find({inUnit, inTask});
	if (found == inJob.crashes.end() || !WarrantsTrial(found->second))
		return ETrial::None;
	const Millis since = inJob.volatile_state[inUnit][inTask].trial_wanted_since;
	const bool waited = since >= 0 && inNow - since > cIsolationWaitMs;
	const bool isolate = found->second.blamed >= cBlamedCrashesToIsolate || found->second.Total() >= cCrashesToIsolate;
	return isolate && !waited ? ETrial::Isolated : ETrial::Start;
}

void Cell::UpdateTrials(CellWorker &ioWorker)
{
	ioWorker.open_trials = 0;
	for (auto &[id, run] : ioWorker.runs)
	{
		if (run.lasting && !run.blame_exempt && SurvivedMs(ioWorker, run) >= cBlameExemptAfterMs)
		{
			run.blame_exempt = true;
			this->ClearCrashes(ioWorker, id);
		}
		const bool open = run.trial == ETrial::Isolated || (run.trial == ETrial::Start && HasJustStarted(ioWorker, run));
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
	// Counted for ever, crashes by chance would end a job that lasts for months
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
	std::vector<CellWorker *> able;
	size_t kept = 0;
	for (auto &[id, worker] : this->workers)
	{
		if (worker.entry.pool != inPool || !this->CanAcceptRuns(worker, inNow) || worker.open_trials > 0)
			continue;
		able.push_back(&worker);
		kept += inNow < worker.trial_reserved_until ? 1 : 0;
	}
	return {able, kept};
}

void Cell::ReserveForTrial(CellJob &ioJob, size_t inUnit, uint32 inTask, Millis inNow)
{
	Millis &since = ioJob.volatile_state[inUnit][inTask].trial_wanted_since;
	since = since < 0 ? inNow : since;
	const Resources reserved = ioJob.StepOf(inUnit).Room();
	const auto [able, kept] = this->WorkersForTrials(ioJob.spec.pool, inNow);
	CellWorker *emptiest = nullptr;
	for (CellWorker *worker : able)
		if (reserved.FitsInto(worker->Free()) && Cell::MayRun(*worker, ioJob, inUnit, inNow) &&
			(emptiest == nullptr || worker->runs.size() < emptiest->runs.size()))
			emptiest = worker;
	if (emptiest == nullptr)
		return;
	// One that is kept already stays so until it is calm, or empty
	if (inNow < emptiest->trial_reserved_until || kept < 1 + able.size() / cWorkersPerTrial)
		emptiest->trial_reserved_until = inNow + cTrialReservationMs;
}

std::vector<RunId> Cell::CrashSuspects(const CellWorker &inWorker, bool inChance, std::vector<RunId> &outLessLikely)
{
	std::vector<RunId> just_started;
	std::vector<RunId> tried;
	std::vector<RunId> others;
	// A worker that leaves by plan has started nothing for seconds when it goes: what had just started has crashed it before
	const bool by_plan = LeavesAsPlanned(inWorker, this->now);
	for (const auto &[id, run] : inWorker.runs)
	{
		if (!MayHaveBeenThere(inWorker, run) || run.blame_exempt || (by_plan && !HasJustStarted(inWorker, run)))
			continue;
		if (HasJustStarted(inWorker, run))
			just_started.push_back(id);
		else
			(this->NeedsTrial(id.task) ? tried : others).push_back(id);
	}
	// Of a silent worker it is not known when it went, nor that its process did
	if (!IsLossTimeKnown(inWorker) || inChance)
		return just_started;
	std::vector<RunId> suspects = std::move(just_started);
	for (std::vector<RunId> *next : {&tried, &others})
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
	const auto is_cause = [&inWorker, at, exact](const WorkerLoss &inOther)
	{
		const Millis together = exact && inOther.exact ? cCommonCauseMs : cUnresponsiveCommonCauseMs;
		const bool same_rack = !inOther.rack.empty() && inOther.rack == inWorker.entry.rack;
		return std::abs(at - inOther.at) <= together && ((exact && !inOther.just_started) || same_rack);
	};
	if (std::any_of(this->recent_losses.begin(), this->recent_losses.end(), is_cause))
		return true;
	for (const auto &[id, other] : this->workers)
	{
		const bool is_lost = &other != &inWorker && !other.ended && (other.connections_closed_at >= 0 || other.unanswered_since >= 0);
		if (is_lost && is_cause({LossTime(other, this->now), other.connections_closed_at >= 0, other.entry.rack, HasJustStartedRun(other)}))
			return true;
	}
	return false;
}

void Cell::PollRack(const CellWorker &inWorker, Millis inNow)
{
	if (inWorker.entry.rack.empty())
		return;
	for (auto &[id, other] : this->workers)
	{
		const bool asked = other.listed && !other.ended && !other.poll_in_flight && other.entry.rack == inWorker.entry.rack;
		if (!asked || &other == &inWorker)
			continue;
		other.poll_once = true;
		other.next_poll_at = inNow;
	}
}

bool Cell::CrashedRightAfterStart(const CellWorker &inWorker, const Run &inRun)
{
	const bool at_once = inRun.confirmed_at >= 0 && inWorker.connections_closed_at - inRun.confirmed_at <= cImmediateCrashMs;
	// A lease that is over proves no crash: the worker may have been cut off by resets, and run on
	return inWorker.ended && IsLossTimeKnown(inWorker) && inWorker.connections_closed_at >= 0 && HasJustStarted(inWorker, inRun) && at_once;
}

bool Cell::HasSurvivedStart(const CellJob &inJob, uint64 inUnit) const
{
	for (const TaskRecord &task : inJob.record.steps[inUnit].tasks)
	{
		if (task.done)
			return true;
		for (const RunRecord &record : task.runs)
		{
			auto worker = this->workers.find(record.worker);
			if (worker == this->workers.end())
				continue;
			for (const auto &[id, run] : worker->second.runs)
				if (id.run == record.run && id.task.job == inJob.spec.id && inJob.Unit(id.task.round, id.task.step) == inUnit &&
					SurvivedMs(worker->second, run) >= cStartWindowMs)
					return true;
		}
	}
	return false;
}

ERival Cell::JudgeSuspect(const CrashRival &inRival)
{
	const CellJob *job = this->FindJob(inRival.job);
	if (job == nullptr || inRival.unit >= job->record.steps.size())
		return ERival::Open;
	const bool proved =
		std::any_of(job->crashes.begin(), job->crashes.end(),
					[&inRival](const auto &inCounted) { return inCounted.first.first == inRival.unit && inCounted.second.proved; });
	if (proved)
		return ERival::Proved;
	return this->HasSurvivedStart(*job, inRival.unit) ? ERival::Cleared : ERival::Open;
}

CrashWeight Cell::WeightOf(const TaskCrashes &inCrashes)
{
	return WeighCrashes(inCrashes, [this](const CrashRival &inRival) { return this->JudgeSuspect(inRival); });
}

std::vector<CrashRival> Cell::OtherSuspects(const std::vector<RunId> &inSuspects, const RunId &inRun)
{
	std::vector<CrashRival> rivals;
	const auto unit_of = [this](const TaskId &inTask) -> uint64 { return this->FindJob(inTask.job)->Unit(inTask.round, inTask.step); };
	for (const RunId &other : inSuspects)
	{
		if (this->OpenJobOf(other.task) == nullptr)
			continue;
		CrashRival rival{other.task.job, unit_of(other.task)};
		const bool is_own = rival.job == inRun.task.job && rival.unit == unit_of(inRun.task);
		if (!is_own && std::find(rivals.begin(), rivals.end(), rival) == rivals.end())
			rivals.push_back(std::move(rival));
	}
	return rivals;
}

bool Cell::CountCrash(CellWorker &ioWorker, const RunId &inRun, const std::vector<RunId> &inSuspects, bool inChance, Millis inNow)
{
	CellJob &job = *this->FindJob(inRun.task.job);
	const Run &run = ioWorker.runs.at(inRun);
	TaskCrashes &crashes = job.crashes[Cell::CrashKey(job, inRun.task)];
	// Others of its rack went with a trial, where no other is; or it is not known whether the run was there when the worker went: no answer
	// told so to this owner
	const bool by_others = inChance && run.trial != ETrial::None;
	const bool tells_nothing = by_others || run.confirmed_at < 0 || !IsLossTimeKnown(ioWorker);
	++(tells_nothing ? crashes.beside : crashes.blamed);
	const bool at_once = !inChance && Cell::CrashedRightAfterStart(ioWorker, run);
	crashes.at_once += at_once ? 1 : 0;
	crashes.cases.push_back({!tells_nothing, at_once, inChance, this->OtherSuspects(inSuspects, inRun)});
	this->MarkChanged(job);
	const CrashWeight weight = this->WeightOf(crashes);
	const bool only_suspect = inSuspects.size() == 1;
	// Where workers have crashed of late with nothing just started on them, the next one may be chance as well
	CrashDoubts doubts;
	doubts.workers_crash =
		std::any_of(this->recent_losses.begin(), this->recent_losses.end(), [](const WorkerLoss &inLost) { return !inLost.just_started; });
	doubts.unit_is_sound = this->HasSurvivedStart(job, job.Unit(inRun.task.round, inRun.task.step));
	const bool proved = only_suspect && at_once && IsCrasherProved(weight, doubts);
	// Whether it is proved may depend on rivals that are still to be tried
	CrashWeight cleared = weight;
	cleared.sole = cleared.at_once;
	if (only_suspect && at_once && !proved && IsCrasherProved(cleared, doubts))
		this->AwaitOtherSuspects(job, inRun.task, inNow);
	const bool too_many = weight.clear >= cMinClearCrashes && weight.Total() >= cMaxCrashes;
	// What the users bear is bound by all crashes, explained or not
	const bool given_up = proved || too_many || IsMoreThanBorne(crashes);
	LogEvent(ELogLevel::Warning, "task_blamed")
		.Field("request", inRun.task.job)
		.Field("task", TaskText(inRun.task))
		.Field("run", inRun.run)
		.Field("worker", ioWorker.entry.id)
		.Field("blamed", crashes.blamed)
		.Field("at_once", crashes.at_once)
		.Field("beside", crashes.beside)
		.Field("seen_ms", SurvivedMs(ioWorker, run))
		.Field("after_start_ms",
			   run.confirmed_at < 0 || ioWorker.connections_closed_at < 0 ? -1 : ioWorker.connections_closed_at - run.confirmed_at)
		.Field("closed_ms_ago", ioWorker.connections_closed_at < 0 ? -1 : inNow - ioWorker.connections_closed_at)
		.Field("silent", ioWorker.unanswered_since >= 0 ? 1 : 0)
		.Field("trial", NameOf(cTrialNames, run.trial))
		.Field("alone", only_suspect ? 1 : 0)
		.Field("chance", inChance ? 1 : 0)
		.Field("rivals", crashes.cases.back().rivals.size())
		.Field("sole", weight.sole)
		.Field("explained", weight.explained)
		.Field("workers_crash", doubts.workers_crash ? 1 : 0)
		.Field("unit_is_sound", doubts.unit_is_sound ? 1 : 0)
		.Field("outcome", given_up ? "given up" : (WarrantsTrial(crashes) ? "starts on trial" : "counted"))
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
		const CrashWeight weight = this->WeightOf(crashes);
		CrashDoubts doubts;
		doubts.unit_is_sound = this->HasSurvivedStart(*job, job->Unit(task.round, task.step));
		const bool proved = IsCrasherProved(weight, doubts);
		const bool decided = proved || weight.explained > 0 || doubts.unit_is_sound || inNow >= state.not_before;
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
			.Field("at_once", weight.at_once)
			.Field("sole", weight.sole)
			.Field("explained", weight.explained)
			.Field("unit_is_sound", doubts.unit_is_sound ? 1 : 0)
			.Field("outcome", proved ? "given up" : "starts on trial")
			.Field("cell", this->run_events.Cell())
			.Field("epoch", this->epoch);
		if (!proved)
			continue;
		this->FailCrashingJob(*job, crashes, inNow);
	}
}

void Cell::AttributeCrash(CellWorker &ioWorker, Millis inNow)
{
	if (ioWorker.runs.empty())
		return;
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
			++crashes.beside;
			crashes.cases.push_back({false, false, chance, this->OtherSuspects(suspects, id)});
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
