// Effects of run ends on tasks, jobs and workers; stopping and dropping runs; estimation of worker speed.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Invariant.h>
#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>
#include <Loomreach/Schedule/TaskText.h>

namespace Loomreach::Jobs
{

/// A worker is slow if its average ratio of actual to expected run time exceeds this. An ended run has a weight of a fifth, a progress
/// report of an overdue run a tenth. Slow workers take 4 to 6.5 times as long.
static constexpr double cSlowRatio = 2.2;
static constexpr double cMaxRatio = 8.0; ///< Cap, so that a single outlier does not decide.
static constexpr double cEndWeight = 0.2;
static constexpr double cProgressWeight = 0.1;
static constexpr Millis cMinElapsedMs = 300;

static constexpr uint32 cTasksForSpread = 3; ///< With fewer tasks, the spread within a step means little.

/// Runs of a task that are recorded now, as run@worker.
static std::string RunsText(const TaskRecord &inTask)
{
	std::string text;
	for (const RunRecord &run : inTask.runs)
		text += (text.empty() ? "" : " ") + std::to_string(run.run) + "@" + run.worker;
	return text;
}

/// Remaining lease by the worker's clock in its last answer, ms; below 0: expired by then. -cNeverMs: this owner has granted none.
static Millis LeaseLeft(const CellWorker &inWorker)
{
	return inWorker.granted_until_ms < 0 ? -cNeverMs : inWorker.granted_until_ms - inWorker.clock_ms;
}

Millis Cell::GivenUpAge(const EndedRun &inRow, Millis inNow)
{
	const VolatileTaskState *state = this->FindVolatileState(inRow.task);
	return state == nullptr || state->given_up_run != inRow.run ? -1 : inNow - state->given_up_at;
}

void Cell::OnEnded(CellWorker &ioWorker, const EndedRun &inRow, EEndSource inSource, Millis inNow)
{
	const RunId id{inRow.task, inRow.run};
	if (ioWorker.runs.contains(id))
		return this->EndRun(ioWorker, id, inRow.end, inRow.checkpoint, "worker said so", inNow, inRow.sequence);
	// A run that was given up as lost has succeeded after all, so its task needs no other run
	CellJob *job = this->FindJob(inRow.task.job);
	const TaskRecord *task = this->FindTask(inRow.task);
	const bool completes_task = inRow.end == ERunEnd::Done && task != nullptr && !task->done && !IsFinal(job->record.phase);
	if (!completes_task || job->spec.steps[inRow.task.step].long_running)
		return this->LogUnmatched(inRow);
	LogEvent(ELogLevel::Info, "run_ended_late")
		.Field("request", inRow.task.job)
		.Field("task", TaskText(inRow.task))
		.Field("run", inRow.run)
		.Field("worker", ioWorker.entry.id)
		.Field("end", NameOf(cRunEndNames, inRow.end))
		.Field("number", inRow.sequence)
		.Field("learned_from", NameOf(cEndSourceNames, inSource))
		.Field("given_up_ms_ago", this->GivenUpAge(inRow, inNow))
		.Field("lease_left_ms", LeaseLeft(ioWorker))
		.Field("present", RunsText(*task))
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	this->FinishTask(*job, inRow.task);
}

std::vector<EndReport> Cell::UnloggedEnds() const
{
	std::vector<EndReport> reports;
	for (const auto &[id, worker] : this->workers)
	{
		std::vector<EndedRun> rows = worker.previous_ends.rows;
		rows.insert(rows.end(), worker.unlogged_ends.begin(), worker.unlogged_ends.end());
		if (!rows.empty())
			reports.push_back({id, this->epoch, std::move(rows)});
	}
	return reports;
}

void Cell::IngestEnds(const EndReport &inReport, Millis inNow)
{
	this->now = inNow;
	LogEvent(ELogLevel::Info, "ends_inherited")
		.Field("worker", inReport.worker)
		.Field("count", inReport.ended.size())
		.Field("from_epoch", inReport.epoch)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	// The worker may have left and been removed. Its ends count nevertheless
	CellWorker removed_worker;
	removed_worker.entry.id = inReport.worker;
	auto known = this->workers.find(inReport.worker);
	CellWorker &worker = known == this->workers.end() ? removed_worker : known->second;
	// Only this owner's own polls determine what the worker may drop: these ends may be incomplete, or of a previous incarnation
	this->ApplyEnds(worker, inReport.ended, EEndSource::Inbox, inNow);
}

void Cell::ApplyEnds(CellWorker &ioWorker, const std::vector<EndedRun> &inEnded, EEndSource inSource, Millis inNow)
{
	for (const EndedRun &row : inEnded)
		this->OnEnded(ioWorker, row, inSource, inNow);
	this->run_events.FlushUnmatched(ioWorker.entry.id, 0);
}

void Cell::ApplyPolledEnds(CellWorker &ioWorker, const std::vector<EndedRun> &inEnded, Millis inNow)
{
	for (const EndedRun &row : inEnded)
		this->replicator.Add(ioWorker.entry.id, row);
	this->ApplyEnds(ioWorker, inEnded, EEndSource::EarlierPoll, inNow);
}

void Cell::LogUnmatched(const EndedRun &inRow)
{
	const CellJob *job = this->FindJob(inRow.task.job);
	const TaskRecord *task = this->FindTask(inRow.task);
	this->run_events.AddUnmatched(inRow, job == nullptr ? "unknown" : NameOf(cJobPhaseNames, job->record.phase),
								  task != nullptr && task->done);
}

void Cell::LogUnknownRun(const CellWorker &inWorker, const RunningRun &inRow, Millis inSentAt)
{
	const CellJob *job = this->FindJob(inRow.task.job);
	const TaskRecord *task = this->FindTask(inRow.task);
	LogEvent(ELogLevel::Warning, "run_unknown")
		.Field("request", inRow.task.job)
		.Field("task", TaskText(inRow.task))
		.Field("run", inRow.run)
		.Field("worker", inWorker.entry.id)
		.Field("percent", inRow.percent)
		.Field("phase", job == nullptr ? "unknown" : NameOf(cJobPhaseNames, job->record.phase))
		.Field("task_done", task != nullptr && task->done ? 1 : 0)
		.Field("last_run", task == nullptr ? 0 : task->last_run)
		.Field("present", task == nullptr ? "" : RunsText(*task))
		.Field("look_ms", this->now - inSentAt)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::LogEnd(const CellWorker &inWorker, const RunId &inId, const Run &inRun, ERunEnd inEnd, std::string_view inWhy, uint64 inNumber)
{
	LogEvent line(ELogLevel::Info, "run_ended");
	line.Field("request", inId.task.job)
		.Field("task", TaskText(inId.task))
		.Field("run", inId.run)
		.Field("worker", inWorker.entry.id)
		.Field("end", NameOf(cRunEndNames, inEnd))
		.Field("state", NameOf(cRunStateNames, inRun.state))
		.Field("after_ms", inRun.confirmed_at < 0 ? -1 : this->now - inRun.confirmed_at)
		.Field("why", inWhy)
		.Field("number", inNumber)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	if (inNumber != 0)
		return;
	// The end is inferred, so log the evidence and its age
	line.Field("listed", inWorker.listed ? 1 : 0)
		.Field("answer_ms_ago", inWorker.last_answer_at < 0 ? -1 : this->now - inWorker.last_answer_at)
		.Field("closed_ms_ago", inWorker.connections_closed_at < 0 ? -1 : this->now - inWorker.connections_closed_at)
		.Field("lease_left_ms", inWorker.lease_expires_at - this->now)
		.Field("unanswered_polls", inWorker.unanswered_polls)
		.Field("granted_until_ms", inWorker.granted_until_ms)
		.Field("clock_ms", inWorker.clock_ms < 0 ? -1 : inWorker.ClockAt(this->now))
		.Field("born_ms", inWorker.started_ms)
		.Field("logged_born_ms", inWorker.logged_started_ms)
		.Field("listed_born_ms", inWorker.entry.started_ms)
		.Field("longest_lease", NameOf(cLongestLeaseNames, inWorker.longest_lease_cause))
		.Field("longest_left_ms", inWorker.longest_lease_until == 0 ? -1 : inWorker.longest_lease_until - this->now)
		.Field("start_pending_ms", inRun.start_pending_until == 0 ? -1 : inRun.start_pending_until - this->now)
		.Field("inherited", inRun.inherited ? 1 : 0)
		.Field("last_seen", inWorker.logged_seq);
}

void Cell::EndRun(CellWorker &ioWorker, const RunId &inRun, ERunEnd inEnd, const std::string &inCheckpoint, std::string_view inWhy,
				  Millis inNow, uint64 inNumber)
{
	auto found = ioWorker.runs.find(inRun);
	if (found == ioWorker.runs.end())
		return;
	const Run run = found->second;
	this->LogEnd(ioWorker, inRun, run, inEnd, inWhy, inNumber);
	this->DropRun(ioWorker, inRun);
	CellJob *job = this->FindJob(inRun.task.job);
	TaskRecord *task = this->FindTask(inRun.task);
	if (job == nullptr || task == nullptr)
		return;
	if (!inCheckpoint.empty())
		task->checkpoint = inCheckpoint;
	VolatileTaskState &state = *this->FindVolatileState(inRun.task);
	if (inNumber == 0)
	{
		state.given_up_run = inRun.run;
		state.given_up_at = inNow;
	}
	if (!run.long_running && inEnd == ERunEnd::Failed)
	{
		++ioWorker.consecutive_failures;
		state.last_failed_worker = ioWorker.entry.id;
		if (ioWorker.consecutive_failures >= cFailuresToQuarantine)
		{
			ioWorker.quarantine_until = inNow + this->tuning.quarantine_ms;
			LogEvent(ELogLevel::Warning, "worker_quarantined")
				.Field("worker", ioWorker.entry.id)
				.Field("failures", ioWorker.consecutive_failures);
		}
	}
	if (inEnd == ERunEnd::Done)
	{
		ioWorker.consecutive_failures = 0;
		if (run.confirmed_at >= 0 && !run.resumed)
			this->LearnRun(ioWorker, *job, inRun.task, inNow - run.confirmed_at, inNow);
	}
	if (run.long_running && inEnd == ERunEnd::Failed)
		state.not_before = inNow + this->tuning.restart_backoff_ms;
	if (IsFinal(job->record.phase))
		return;
	if (inEnd == ERunEnd::Done && !run.long_running)
		this->FinishTask(*job, inRun.task);
	if (inEnd == ERunEnd::Failed && !run.long_running)
		this->CountFailure(*job, inRun.task, inRun.run);
	// The remaining members of a gang are useless
	const StepSpec &step = job->spec.steps[inRun.task.step];
	if (step.gang && inEnd != ERunEnd::Done && !IsFinal(job->record.phase))
	{
		const size_t unit = job->Unit(inRun.task.round, inRun.task.step);
		for (uint32 index = 0; index < job->record.steps[unit].tasks.size(); ++index)
		{
			const std::vector<RunRecord> members = job->record.steps[unit].tasks[index].runs;
			for (const RunRecord &member : members)
			{
				auto other = this->workers.find(member.worker);
				if (other != this->workers.end())
					this->StopRun(other->second, {{inRun.task.job, inRun.task.round, inRun.task.step, index}, member.run},
								  "another member of the gang ended", inNow);
			}
		}
	}
}

void Cell::LearnRun(CellWorker &ioWorker, CellJob &ioJob, const TaskId &inTask, Millis inDuration, Millis inNow)
{
	const size_t unit = ioJob.Unit(inTask.round, inTask.step);
	const auto expected = static_cast<double>(this->SlownessBaselineMs(ioJob, unit));
	this->UpdateSlowness(ioWorker, static_cast<double>(inDuration) / expected, cEndWeight, inNow);
	this->run_times.Learn(ioJob.spec, ioJob.StepOf(unit), inDuration);
	StepRunTimes &seen = ioJob.seen[unit];
	seen.Add(inDuration);
	if (seen.Count() == ioJob.record.steps[unit].tasks.size() && seen.Count() >= cTasksForSpread)
		this->run_times.LearnSpread(ioJob.spec, seen.Spread());
}

void Cell::UpdateSlowness(CellWorker &ioWorker, double inRatio, double inShare, Millis inNow)
{
	ioWorker.slowness += inShare * (std::min(inRatio, cMaxRatio) - ioWorker.slowness);
	if (ioWorker.slowness < cSlowRatio || ioWorker.slow_until > inNow)
		return;
	ioWorker.slow_until = inNow + this->tuning.slow_ms;
	// Judged afresh once it is used again
	LogEvent(ELogLevel::Warning, "worker_slow").Field("worker", ioWorker.entry.id).Field("slowness", ioWorker.slowness);
	ioWorker.slowness = 1.0;
}

void Cell::RecordProgress(CellWorker &ioWorker, const RunId &inRun, const Run &inProgress, Millis inNow)
{
	const CellJob *job = this->FindJob(inRun.task.job);
	const bool counts = !inProgress.long_running && inProgress.confirmed_at >= 0 && job != nullptr;
	if (!counts)
		return;
	const Millis expected = this->SlownessBaselineMs(*job, job->Unit(inRun.task.round, inRun.task.step));
	const Millis elapsed = inNow - inProgress.confirmed_at;
	// Early progress is not meaningful
	if (elapsed < std::max(expected, cMinElapsedMs))
		return;
	const double projected = static_cast<double>(elapsed) * 100.0 / static_cast<double>(std::max<int64>(inProgress.percent, 1));
	this->UpdateSlowness(ioWorker, projected / static_cast<double>(expected), cProgressWeight, inNow);
}

void Cell::FinishTask(CellJob &ioJob, const TaskId &inTask)
{
	const size_t unit = ioJob.Unit(inTask.round, inTask.step);
	std::vector<TaskRecord> &tasks = ioJob.record.steps[unit].tasks;
	// The success of one member completes the gang
	if (ioJob.StepOf(unit).gang)
		for (TaskRecord &member : tasks)
			member.done = true;
	tasks[inTask.index].done = true;
	this->MarkChanged(ioJob);
	// Copies that still run are not needed; one whose append is in flight will not be dispatched
	const std::vector<RunRecord> copies = tasks[inTask.index].runs;
	for (const RunRecord &copy : copies)
	{
		auto other = this->workers.find(copy.worker);
		if (other != this->workers.end())
			this->StopRun(other->second, {inTask, copy.run}, "another copy is done", this->now);
	}
	this->CloseIfEnded(ioJob);
}

void Cell::CloseIfEnded(CellJob &ioJob)
{
	for (const StepRecord &step : ioJob.record.steps)
		for (const TaskRecord &task : step.tasks)
			if (!task.done)
				return;
	this->CloseJob(ioJob, EJobPhase::Completed, "every task is done");
}

void Cell::CountFailure(CellJob &ioJob, const TaskId &inTask, uint32 inRun)
{
	const size_t unit = ioJob.Unit(inTask.round, inTask.step);
	// A run of a gang fails once, whichever member failed
	TaskRecord &counted = ioJob.record.steps[unit].tasks[ioJob.StepOf(unit).gang ? 0 : inTask.index];
	if (ioJob.StepOf(unit).gang && counted.failed_run >= inRun)
		return;
	counted.failed_run = std::max(counted.failed_run, inRun);
	++counted.failures;
	this->MarkChanged(ioJob);
	if (counted.failures < ioJob.spec.max_attempts)
		return;
	this->CloseJob(ioJob, EJobPhase::Failed, "attempts used up");
	this->StopAll(ioJob, "job failed", this->now);
}

void Cell::CloseJob(CellJob &ioJob, EJobPhase inPhase, std::string_view inWhy)
{
	ioJob.record.phase = inPhase;
	this->MarkChanged(ioJob);
	LogEvent(ELogLevel::Info, "job_closed")
		.Field("request", ioJob.spec.id)
		.Field("queue", ioJob.spec.queue)
		.Field("phase", NameOf(cJobPhaseNames, inPhase))
		.Field("why", inWhy)
		.Field("after_ms", this->now - ioJob.arrived_at);
}

bool Cell::MayStartLater(const CellWorker &inWorker, const Run &inRun, Millis inNow)
{
	// Where workers do not report when they started, each incarnation has a new id and refuses orders for another one
	return inWorker.started_ms != cStartTimeUnknown && inNow < inRun.start_pending_until;
}

bool Cell::MayRunUnheard(const CellWorker &inWorker, const Run &inRun, Millis inNow) const
{
	if (inWorker.started_ms == cStartTimeUnknown || inRun.start_pending_until == 0)
		return false;
	// An entry outlives its incarnation by a few seconds only
	const bool is_current = inWorker.reachable || (inWorker.listed && inWorker.entry.started_ms == inWorker.started_ms);
	const bool refuses_former = !inWorker.restart_suspected && (!inWorker.replaced || inWorker.token_seen);
	const Millis lease = is_current && refuses_former ? 0 : LongestLease(this->tuning.worker_lease_cap_ms);
	return inNow < inRun.start_pending_until + lease;
}

void Cell::FenceRun(CellWorker &ioWorker, const RunId &inId, Run &ioRun, Millis inNow)
{
	if (std::exchange(ioRun.state, ERunState::Fenced) == ERunState::Fenced)
		return;
	ioRun.since = inNow;
	LogEvent(ELogLevel::Info, "run_fenced")
		.Field("request", inId.task.job)
		.Field("task", TaskText(inId.task))
		.Field("run", inId.run)
		.Field("worker", ioWorker.entry.id)
		.Field("born_ms", ioWorker.started_ms)
		.Field("wait_ms", ioRun.start_pending_until - inNow)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
}

void Cell::StopUnrecordedRun(CellWorker &ioWorker, const RunId &inRun, Millis inNow)
{
	const CellJob *job = this->FindJob(inRun.task.job);
	Run unrecorded;
	// A run being stopped keeps its resources reserved until it has ended; if they are unknown, nothing else starts on the worker
	if (this->FindTask(inRun.task) != nullptr)
		unrecorded = NewRun(job->spec, job->spec.steps[inRun.task.step], ERunState::Stopping, inNow);
	else
		unrecorded.size_unknown = true;
	unrecorded.state = ERunState::Stopping;
	unrecorded.since = inNow;
	ioWorker.unsized_runs += unrecorded.size_unknown ? 1 : 0;
	this->AddUsage(ioWorker, unrecorded);
	ioWorker.runs.emplace(inRun, std::move(unrecorded));
	// Whoever granted its lease, the run may not be given up before it must have expired
	ioWorker.lease_expires_at = std::max(ioWorker.lease_expires_at, inNow + LongestLease(this->LongestLeaseOn(ioWorker, inNow)));
}

void Cell::StopRun(CellWorker &ioWorker, const RunId &inRun, std::string_view inWhy, Millis inNow)
{
	auto found = ioWorker.runs.find(inRun);
	// A run without a record is stopped too, but affects no task
	if (found == ioWorker.runs.end())
		return this->StopUnrecordedRun(ioWorker, inRun, inNow);
	Run &run = found->second;
	// A run that was not dispatched needs no stop order
	if (run.state == ERunState::Planned || run.state == ERunState::Logged)
	{
		this->run_events.AddDropped(inRun, inWhy);
		this->DropRun(ioWorker, inRun);
		return;
	}
	if (run.state == ERunState::Stopping || run.state == ERunState::Writing || (run.state == ERunState::Fenced && run.stop_acked_at >= 0))
		return;
	LogEvent(ELogLevel::Info, "run_stopped")
		.Field("request", inRun.task.job)
		.Field("task", TaskText(inRun.task))
		.Field("run", inRun.run)
		.Field("worker", ioWorker.entry.id)
		.Field("why", inWhy)
		.Field("cell", this->run_events.Cell())
		.Field("epoch", this->epoch);
	run.state = ERunState::Stopping;
	run.since = inNow;
}

void Cell::StopAll(CellJob &ioJob, std::string_view inWhy, Millis inNow)
{
	for (size_t unit = 0; unit < ioJob.record.steps.size(); ++unit)
		for (uint32 index = 0; index < ioJob.record.steps[unit].tasks.size(); ++index)
		{
			const std::vector<RunRecord> runs = ioJob.record.steps[unit].tasks[index].runs;
			const size_t steps = ioJob.spec.steps.size();
			const TaskId task{ioJob.spec.id, static_cast<uint32>(unit / steps), static_cast<uint32>(unit % steps), index};
			for (const RunRecord &run : runs)
			{
				auto worker = this->workers.find(run.worker);
				if (worker != this->workers.end())
					this->StopRun(worker->second, {task, run.run}, inWhy, inNow);
			}
		}
}

void Cell::DropRun(CellWorker &ioWorker, const RunId &inRun)
{
	auto found = ioWorker.runs.find(inRun);
	if (found == ioWorker.runs.end())
		return;
	this->SubtractUsage(ioWorker, found->second);
	ioWorker.unsized_runs -= found->second.size_unknown ? 1 : 0;
	ioWorker.runs.erase(found);
	TaskRecord *task = this->FindTask(inRun.task);
	if (task == nullptr)
		return;
	std::erase_if(task->runs, [&](const RunRecord &inRecord) { return inRecord.run == inRun.run && inRecord.worker == ioWorker.entry.id; });
	this->MarkChanged(*this->FindJob(inRun.task.job));
}

/// Whether a paused previous owner may still submit ends of the worker's runs (Cell::IngestEnds), because the worker left the list before
/// this owner could poll it. A worker that leaves as planned disappears from the list at once; a crashed one stays listed for a while. The
/// wait is bounded by the longest lease that the previous owner may have granted.
static bool MayBeReportedByPredecessor(const CellWorker &inWorker, Millis inNow)
{
	const bool inherited =
		std::any_of(inWorker.runs.begin(), inWorker.runs.end(),
					[](const auto &inRun) { return inRun.second.state == ERunState::Inherited && !inRun.second.long_running; });
	return inherited && !inWorker.listed && inNow < inWorker.lease_expires_at;
}

void Cell::OnIncarnationEnded(CellWorker &ioWorker, std::string_view inWhy, Millis inNow)
{
	if (!ioWorker.ended)
		LogEvent(ELogLevel::Warning, "worker_gone")
			.Field("worker", ioWorker.entry.id)
			.Field("why", inWhy)
			.Field("runs", ioWorker.runs.size())
			.Field("listed", ioWorker.listed ? 1 : 0)
			.Field("answer_ms_ago", ioWorker.last_answer_at < 0 ? -1 : inNow - ioWorker.last_answer_at)
			.Field("closed_ms_ago", ioWorker.connections_closed_at < 0 ? -1 : inNow - ioWorker.connections_closed_at)
			.Field("lease_left_ms", ioWorker.lease_expires_at - inNow)
			.Field("cell", this->run_events.Cell())
			.Field("epoch", this->epoch);
	ioWorker.ended = true;
	// EndLapsedRuns ends the remaining runs later. The crash is counted only then: otherwise each owner that finds these runs in the log
	// would count it again
	const bool await_ends = MayBeReportedByPredecessor(ioWorker, inNow);
	if (!await_ends)
		this->AttributeCrash(ioWorker, inNow);
	std::vector<RunId> runs;
	for (const auto &[id, run] : ioWorker.runs)
		// A long-running task cannot have succeeded, so no submitted end is awaited for it
		if (IsDispatched(run.state) && (!await_ends || run.long_running))
			runs.push_back(id);
	for (const RunId &id : runs)
		this->EndRun(ioWorker, id, ERunEnd::LeaseExpired, "", inWhy, inNow);
}

} // namespace Loomreach::Jobs
