// Stops long-running tasks on workers that announce that they leave, have left the worker list or are drained for maintenance, within the
// number of tasks of a step that may be unavailable at the same time.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// Progress at which a long-running task is up.
static constexpr int64 cUpPercent = 100;
/// A task counts as up if its worker reported so within this time, which spans two polls during a drain. Specified: a task counts as
/// unavailable after 4.5 s.
static constexpr Millis cUpReportMaxAgeMs = 1200;

/// Longest time a worker takes to stop a run: 0.4 to 0.9 s as specified, and half as much again.
static constexpr Millis cMaxStopMs = 1400;
/// Longest expected delay of an order without an answer. The platform specifies "seconds"; the simulation delays orders by up to 12 s.
static constexpr Millis cMaxStopDelayMs = 12000;
/// Time within which an entry that only expired returns to the worker list, as specified by the platform.
static constexpr Millis cRelistMs = 2000;

void Cell::StopRunsOnLeavingWorker(CellWorker &ioWorker, Millis inNow)
{
	// Some workers do not announce that they leave: their entry disappears, and they keep serving for a while
	const bool left_unannounced =
		!ioWorker.listed && ioWorker.reachable && inNow >= std::max(ioWorker.assumed_present_until, ioWorker.unlisted_at + cRelistMs);
	if ((!ioWorker.entry.draining && !left_unannounced) || ioWorker.runs.empty())
		return;
	// Long-running tasks end with the worker. Restarting them now avoids an outage until the lease expires
	std::vector<RunId> to_stop;
	for (const auto &[id, run] : ioWorker.runs)
		if (run.long_running && run.state == ERunState::Confirmed)
			to_stop.push_back(id);
	for (const RunId &id : to_stop)
	{
		const CellJob *job = this->FindJob(id.task.job);
		// Without an announcement they are stopped one by one, as for a drain
		if (!ioWorker.entry.draining &&
			(job == nullptr || !this->MayBeUnavailable(*job, job->Unit(id.task.round, id.task.step), id.task.index, inNow)))
			continue;
		this->StopRun(ioWorker, id, ioWorker.entry.draining ? "worker drains" : "worker left the list", inNow);
	}
}

/// Whether a previous owner's stop order may still be in effect: the run appears to be up until it ends. Once the worker has seen the
/// higher token, it refuses further orders of that owner.
static bool MayBeStopping(const Run &inRun, Millis inNow) { return inRun.inherited && inNow - inRun.confirmed_at < cMaxStopMs; }

/// Whether a run was ordered to stop without an answer, and is still up long after. The stops of two such runs must not wait for each
/// other.
static bool HasSurvivedStop(const Run &inRun, Millis inNow)
{
	const bool unanswered = inRun.state == ERunState::Stopping && !inRun.stop_sent && inRun.stop_acked_at < 0 && inRun.next_stop_at > 0;
	return unanswered && inNow - inRun.next_stop_at >= cMaxStopDelayMs && inNow - inRun.progress_at <= cUpReportMaxAgeMs;
}

bool Cell::MayBeUnavailable(const CellJob &inJob, size_t inUnit, uint32 inTask, Millis inNow) const
{
	const StepSpec &step = inJob.StepOf(inUnit);
	const std::vector<TaskRecord> &tasks = inJob.record.steps[inUnit].tasks;
	uint32 unavailable = 0;
	for (uint32 index = 0; index < tasks.size(); ++index)
	{
		if (index == inTask)
			continue;
		bool is_up = false;
		for (const RunRecord &record : tasks[index].runs)
		{
			auto worker = this->workers.find(record.worker);
			// A worker's last report counts only while the worker keeps answering
			const bool heard =
				worker != this->workers.end() && worker->second.reachable && inNow - worker->second.last_answer_at <= cUpReportMaxAgeMs;
			if (!heard)
				continue;
			const size_t steps = inJob.spec.steps.size();
			const RunId id{{inJob.spec.id, static_cast<uint32>(inUnit / steps), static_cast<uint32>(inUnit % steps), index}, record.run};
			auto run = worker->second.runs.find(id);
			if (run != worker->second.runs.end())
				is_up = (run->second.state == ERunState::Confirmed || HasSurvivedStop(run->second, inNow)) &&
						run->second.percent >= cUpPercent && !MayBeStopping(run->second, inNow);
		}
		unavailable += is_up ? 0 : 1;
	}
	return step.limits_unavailable ? unavailable < step.max_unavailable : unavailable == 0;
}

bool Cell::IsStopLimited(const CellWorker &inWorker, const RunId &inRun) const
{
	auto job = this->jobs.find(inRun.task.job);
	if (inWorker.entry.draining || job == this->jobs.end() || IsFinal(job->second.record.phase))
		return false;
	const StepSpec &step = job->second.spec.steps[inRun.task.step];
	return step.long_running && step.limits_unavailable;
}

bool Cell::MayStopUnconfirmed(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const
{
	// A late start may bring the task up just before the stop arrives. Once the start's own lease has expired, neither has an effect
	return !this->IsStopLimited(inWorker, inId) || inWorker.ClockAt(inNow) >= inRun.start_expires_at;
}

bool Cell::MaySendStop(const CellWorker &inWorker, const RunId &inId, const Run &inRun, Millis inNow) const
{
	// A run that was never seen there and can no longer start is not up
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
		if (run.long_running && run.state == ERunState::Confirmed)
			to_stop.push_back(id);
	for (const RunId &id : to_stop)
	{
		const CellJob *job = this->FindJob(id.task.job);
		if (job != nullptr && this->MayBeUnavailable(*job, job->Unit(id.task.round, id.task.step), id.task.index, inNow))
			this->StopRun(ioWorker, id, "worker is emptied", inNow);
	}
}

bool Cell::DrainWorker(const std::string &inWorker, Millis inForMs, Millis inNow)
{
	auto found = this->workers.find(inWorker);
	if (found == this->workers.end())
		return false;
	CellWorker &worker = found->second;
	if (inNow >= worker.drain_until)
		LogEvent(ELogLevel::Info, "worker_emptied").Field("worker", inWorker).Field("runs", worker.runs.size());
	this->KeepDrained(worker, inNow + inForMs, inNow);
	if (!worker.runs.empty())
		this->draining_until = worker.drain_until;
	return this->GrantDrain(worker, inForMs, inNow);
}

void Cell::KeepDrained(CellWorker &ioWorker, Millis inUntil, Millis inNow)
{
	ioWorker.drain_until = std::max(ioWorker.drain_until, inUntil);
	if (ioWorker.entry.host.empty())
		return;
	std::erase_if(this->drained_hosts, [inNow](const auto &inHost) { return inNow >= inHost.second; });
	Millis &host_until = this->drained_hosts[ioWorker.entry.host];
	host_until = std::max(host_until, inUntil);
}

bool Cell::IsHostDrained(const CellWorker &inWorker, Millis inNow) const
{
	if (this->drained_hosts.empty() || inWorker.entry.host.empty())
		return false;
	auto host = this->drained_hosts.find(inWorker.entry.host);
	return host != this->drained_hosts.end() && inNow < host->second;
}

bool Cell::IsHostInUse(const CellWorker &inWorker) const
{
	const std::string &host = inWorker.entry.host;
	if (host.empty())
		return false;
	for (const auto &[id, other] : this->workers)
	{
		if (other.entry.host != host || id == inWorker.entry.id || other.runs.empty())
			continue;
		// The entry of a worker that has ended stays for a while, and its runs until their leases expire
		const bool is_former = other.ended || IsStartedAfter(inWorker.started_ms, other.started_ms);
		if (!is_former && (other.reachable || IsStartedAfter(other.started_ms, inWorker.started_ms)))
			return true;
	}
	return false;
}

/// Whether an incarnation may have runs that this owner does not know: until it has answered by its own token, it carries out starts for
/// its predecessor. No lease of such a run lasts longer than is assumed.
static bool MayHaveUnknownRuns(const CellWorker &inWorker, Millis inNow)
{
	return inWorker.replaced && !inWorker.token_seen && inNow < inWorker.lease_expires_at;
}

bool Cell::GrantDrain(CellWorker &ioWorker, Millis inForMs, Millis inNow)
{
	if (this->retiring)
		return false;
	ioWorker.drain_grant_ms = std::max(ioWorker.drain_grant_ms, inForMs);
	this->unwritten_changes = this->unwritten_changes || ioWorker.appending_grant_ms < inForMs;
	// Its host may be taken down after this owner is gone
	if (ioWorker.logged_grant_ms < inForMs || ioWorker.restart_suspected || !ioWorker.IsIdleAndLogged() || !ioWorker.AreEndsAcknowledged())
		return false;
	if (MayHaveUnknownRuns(ioWorker, inNow) || this->IsHostInUse(ioWorker))
		return false;
	ioWorker.drain_grant_until = ioWorker.drain_until;
	return true;
}

} // namespace Loomreach::Jobs
