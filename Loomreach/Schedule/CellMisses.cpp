// Which tasks that last may miss: stops of them while a worker drains, has left the list or is emptied.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// A task is at work at this progress.
static constexpr int64 cAtWorkPercent = 100;
/// A task counts as at work if its worker said so this lately: two of the looks that are made while a worker is emptied. The users' rule
/// counts a task as away by itself after 4.5 s.
static constexpr Millis cAtWorkFreshMs = 1200;

/// A worker takes at most this long to stop a run (users' figures 0.4 and 0.9 s), and half as long again.
static constexpr Millis cMaxStopMs = 1400;
/// An order without an answer is not expected to be carried out later than this: the users say "seconds", the cell's small world 12 s.
static constexpr Millis cMaxStopDelayMs = 12000;
/// An entry that has only lapsed is back within this (the users' figure).
static constexpr Millis cRelistMs = 2000;

void Cell::StopRunsOnLeavingWorker(CellWorker &ioWorker, Millis inNow)
{
	// Some workers never say that they leave: their entry goes, and they serve on for a while
	const bool silent =
		!ioWorker.listed && ioWorker.reachable && inNow >= std::max(ioWorker.assumed_present_until, ioWorker.unlisted_at + cRelistMs);
	if ((!ioWorker.entry.draining && !silent) || ioWorker.runs.empty())
		return;
	// What lasts dies with the worker: better restarted now than missed until a lease is over
	std::vector<RunId> leaving;
	for (const auto &[id, run] : ioWorker.runs)
		if (run.lasting && run.state == ERunState::Confirmed)
			leaving.push_back(id);
	for (const RunId &id : leaving)
	{
		const CellJob *job = this->FindJob(id.task.job);
		// It has not said so: one by one, as if it were emptied
		if (!ioWorker.entry.draining &&
			(job == nullptr || !this->MayBeUnavailable(*job, job->Unit(id.task.round, id.task.step), id.task.index, inNow)))
			continue;
		this->StopRun(ioWorker, id, ioWorker.entry.draining ? "worker drains" : "worker left the list", inNow);
	}
}

/// Whether a predecessor's order to stop may still be under way: it looks like work until its end. Once the worker has heard the higher
/// token, no further such order reaches it.
static bool MayBeStopping(const Run &inRun, Millis inNow) { return inRun.inherited && inNow - inRun.confirmed_at < cMaxStopMs; }

/// Whether a run was ordered to stop without an answer, and is at work long after. The stops of two such runs must not wait for each other.
static bool HasSurvivedStop(const Run &inRun, Millis inNow)
{
	const bool unanswered = inRun.state == ERunState::Stopping && !inRun.stop_sent && inRun.stop_acked_at < 0 && inRun.next_stop_at > 0;
	return unanswered && inNow - inRun.next_stop_at >= cMaxStopDelayMs && inNow - inRun.progress_at <= cAtWorkFreshMs;
}

bool Cell::MayBeUnavailable(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow) const
{
	const StepSpec &step = inJob.StepOf(inUnit);
	const std::vector<TaskRecord> &tasks = inJob.record.steps[inUnit].tasks;
	uint32 away = 0;
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		if (index == inTask)
			continue;
		bool at_work = false;
		for (const RunRecord &record : tasks[index].runs)
		{
			auto worker = this->workers.find(record.worker);
			// What a worker last said counts only while it goes on saying it
			const bool heard =
				worker != this->workers.end() && worker->second.reachable && inNow - worker->second.last_answer_at <= cAtWorkFreshMs;
			if (!heard)
				continue;
			const size_t steps = inJob.spec.steps.size();
			const RunId id{{inJob.spec.id, static_cast<uint32>(inUnit / steps), static_cast<uint32>(inUnit % steps), index}, record.run};
			auto run = worker->second.runs.find(id);
			if (run != worker->second.runs.end())
				at_work = (run->second.state == ERunState::Confirmed || HasSurvivedStop(run->second, inNow)) &&
						  run->second.percent >= cAtWorkPercent && !MayBeStopping(run->second, inNow);
		}
		away += at_work ? 0 : 1;
	}
	return step.limits_misses ? away < step.may_miss : away == 0;
}

bool Cell::IsStopLimited(const CellWorker &inWorker, const RunId &inRun) const
{
	auto job = this->jobs.find(inRun.task.job);
	if (inWorker.entry.draining || job == this->jobs.end() || IsFinal(job->second.record.phase))
		return false;
	const StepSpec &step = job->second.spec.steps[inRun.task.step];
	return step.lasting && step.limits_misses;
}

bool Cell::MayStopUnconfirmed(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const
{
	// A start that is carried out late may be at work when the stop comes. Once its own lease is over it does nothing, so that a stop ends
	// nothing either
	return !this->IsStopLimited(inWorker, inId) || inWorker.ClockAt(inNow) >= inRun.start_expires_at;
}

bool Cell::MaySendStop(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const
{
	// What was never seen there, and can no longer come, is not at work
	if (inRun.confirmed_at < 0 || !this->IsStopLimited(inWorker, inId))
		return true;
	const CellJob &job = this->jobs.at(inId.task.job);
	return this->MayBeUnavailable(job, job.Unit(inId.task.round, inId.task.step), inId.task.index, inNow);
}

void Cell::StopRunsOnDrainedWorker(CellWorker &ioWorker, Millis inNow)
{
	if (inNow >= ioWorker.drain_until || ioWorker.runs.empty())
		return;
	std::vector<RunId> to_stop;
	for (const auto &[id, run] : ioWorker.runs)
		if (run.lasting && run.state == ERunState::Confirmed)
			to_stop.push_back(id);
	for (const RunId &id : to_stop)
	{
		const CellJob *job = this->FindJob(id.task.job);
		if (job != nullptr && this->MayBeUnavailable(*job, job->Unit(id.task.round, id.task.step), id.task.index, inNow))
			this->StopRun(ioWorker, id, "worker is emptied", inNow);
	}
}

bool Cell::Vacate(const std::string &inWorker, Millis inForMs, Millis inNow)
{
	auto found = this->workers.find(inWorker);
	if (found == this->workers.end())
		return false;
	CellWorker &worker = found->second;
	if (inNow >= worker.drain_until)
		LogEvent(ELogLevel::Info, "worker_emptied").Field("worker", inWorker).Field("runs", worker.runs.size());
	worker.drain_until = std::max(worker.drain_until, inNow + inForMs);
	if (!worker.runs.empty())
		this->draining_until = worker.drain_until;
	return this->GrantDrain(worker, inForMs);
}

bool Cell::GrantDrain(CellWorker &ioWorker, Millis inForMs)
{
	if (this->retiring)
		return false;
	ioWorker.drain_grant_ms = std::max(ioWorker.drain_grant_ms, inForMs);
	this->unwritten_changes = this->unwritten_changes || ioWorker.appending_grant_ms < inForMs;
	// Its host may be taken down when this owner has gone
	if (ioWorker.logged_grant_ms < inForMs || ioWorker.restart_suspected || !ioWorker.IsIdleAndLogged() || !ioWorker.AreEndsAcknowledged())
		return false;
	ioWorker.drain_grant_until = ioWorker.drain_until;
	return true;
}

} // namespace Loomreach::Jobs
