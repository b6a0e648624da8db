// Demand of a cell's pools, and the workers that they can spare.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// Time from demand to a working host in the pool: requested within 0.2 s, moved within 1.5 s as specified, its worker discovered within
/// 0.4 s.
static constexpr Millis cMoveLeadMs = 2000;
/// A lost worker stays in the worker list for three of its heartbeats, specified as 1.5 s each, plus a margin.
static constexpr Millis cListLagMs = 5000;
/// A start backlog that has been full for this long limits the work of the cell. A shorter one is a burst, for which hosts are of use.
static constexpr Millis cStartsLimitedMs = 1000;
static constexpr size_t cSurgeJobs = 5;
/// Tasks that wait for a trial run need separate hosts, whatever resources they request; at most this many while other pools lack hosts.
static constexpr uint32 cMaxTrialHosts = 8;
/// The same if no other pool lacks hosts.
static constexpr int64 cMaxLateTrialHosts = 16;

void Cell::CurrentDemand(std::string_view inPool, int64 inWallNow, Resources &outInTime, Resources &outLate) const
{
	std::map<std::string_view, std::array<Resources, 2>> by_team; ///< In time, and late.
	for (const std::string &id : this->active)
	{
		const CellJob &job = this->jobs.at(id);
		if (job.spec.pool != inPool)
			continue;
		const EDeadlineOutlook outlook = this->OutlookOf(job, inWallNow);
		for (size_t unit = 0; unit < job.record.steps.size(); ++unit)
		{
			if (!this->IsDue(job, unit, inWallNow))
				continue;
			const Resources reserved = job.StepOf(unit).Reserved();
			Resources &sum = by_team[job.spec.team][outlook == EDeadlineOutlook::InTime ? 0 : 1];
			for (const TaskRecord &task : job.record.steps[unit].tasks)
				if (!task.done)
					sum.Add(reserved);
		}
	}
	for (auto &[team, sums] : by_team)
	{
		// Capacity beyond the team's limit would stay idle
		const Resources *limit = this->teams.Limits().Find(team);
		Resources left = limit == nullptr ? Resources{} : *limit;
		for (Resources &sum : sums)
		{
			if (limit != nullptr)
				sum = ForEachResource(
					sum, ForEachResource(left, *limit, [](int64 inLeft, int64 inLimit) { return inLimit == 0 ? INT64_MAX : inLeft; }),
					[](int64 inX, int64 inMost) { return std::min(inX, inMost); });
			left.Subtract(sum);
		}
		outInTime.Add(sums[0]);
		outLate.Add(sums[1]);
	}
}

std::map<std::string, Resources> Cell::WantedByTeam(int64 inWallNow) const
{
	std::map<std::string, Resources> wanted;
	for (const std::string &id : this->jobs_to_plan)
	{
		const CellJob &job = this->jobs.at(id);
		if (this->teams.Limits().Find(job.spec.team) == nullptr)
			continue;
		for (size_t unit = 0; unit < job.record.steps.size(); ++unit)
		{
			if (!this->IsDue(job, unit, inWallNow))
				continue;
			for (const TaskRecord &task : job.record.steps[unit].tasks)
				if (!task.done && task.runs.empty())
					wanted[job.spec.team].Add(job.StepOf(unit).requested);
		}
	}
	return wanted;
}

std::optional<ShareQuestion> Cell::AskShares(Millis inNow, int64 inWallNow)
{
	if (this->teams.Limits().IsEmpty())
		return std::nullopt;
	ShareQuestion question = this->teams.BuildQuestion(this->epoch, this->WantedByTeam(inWallNow), inNow);
	question.cell = this->run_events.Cell();
	return question;
}

void Cell::OnShares(const ShareAnswer &inAnswer, Millis inNow)
{
	this->now = inNow;
	this->teams.OnAnswer(inAnswer, inNow);
}

/// Raises each resource to at least the other value.
static void RaiseTo(Resources &ioHighest, const Resources &inOther)
{
	ioHighest.cpu_milli = std::max(ioHighest.cpu_milli, inOther.cpu_milli);
	ioHighest.memory_mb = std::max(ioHighest.memory_mb, inOther.memory_mb);
	ioHighest.accelerators = std::max(ioHighest.accelerators, inOther.accelerators);
}

void Cell::OnWorkersRemoved(const std::vector<std::string> &inWorkers, Millis inNow)
{
	for (const std::string &id : inWorkers)
	{
		auto found = this->workers.find(id);
		if (found == this->workers.end())
			continue;
		if (inNow >= found->second.removed_until)
			LogEvent(ELogLevel::Info, "worker_left").Field("worker", id).Field("runs", found->second.runs.size());
		// Only new starts are prevented. What may run there is judged by its leases
		found->second.removed_until = inNow + cListLagMs;
	}
}

uint32 Cell::WaitingTrials(const std::string &inPool) const
{
	uint32 waiting = 0;
	for (const std::string &id : this->jobs_to_plan)
	{
		const CellJob &job = this->jobs.at(id);
		if (job.spec.pool != inPool)
			continue;
		for (size_t unit = 0; unit < job.volatile_state.size(); ++unit)
			for (size_t index = 0; index < job.volatile_state[unit].size(); ++index)
			{
				const TaskRecord &task = job.record.steps[unit].tasks[index];
				waiting += job.volatile_state[unit][index].trial_wanted_since >= 0 && !task.done && task.runs.empty() ? 1 : 0;
			}
	}
	return waiting;
}

void Cell::AddTrialDemand(const std::string &inPool, PoolDemand &ioDemand) const
{
	const uint32 waiting = this->WaitingTrials(inPool);
	if (waiting == 0)
		return;
	int64 capacity = 0;
	int64 crashed = 0;
	int64 count = 0;
	for (const auto &[id, worker] : this->workers)
	{
		if (worker.entry.pool != inPool || !worker.listed)
			continue;
		++count;
		capacity += worker.entry.capacity.cpu_milli;
		crashed += worker.connections_closed_at >= 0 ? 1 : 0;
	}
	if (count == 0)
		return;
	// A trial run takes a worker for itself, and a crashed worker's host still counts for its pool. Only hosts that no other pool needs
	// for jobs in time are taken for this
	const int64 hosts = std::min<int64>(waiting, cMaxLateTrialHosts) + crashed;
	ioDemand.late.cpu_milli = std::max(ioDemand.late.cpu_milli, hosts * capacity / count - ioDemand.in_time.cpu_milli);
}

void Cell::LimitDemandToUse(const std::string &inPool, PoolDemand &ioDemand) const
{
	Resources used;
	for (const auto &[id, worker] : this->workers)
		if (worker.entry.pool == inPool)
			used.Add(worker.used);
	const auto smaller = [](int64 inA, int64 inB) { return std::min(inA, inB); };
	ioDemand.in_time = ForEachResource(ioDemand.in_time, used, smaller);
	used.Subtract(ioDemand.in_time);
	ioDemand.late = ForEachResource(ioDemand.late, used, smaller);
}

PoolDemand Cell::Demand(const std::string &inPool, uint32 inSpare, Millis inForMs, Millis inNow, int64 inWallNow)
{
	this->now = inNow;
	PoolDemand demand;
	std::deque<std::pair<Millis, Resources>> &seen = this->recent_demand[inPool];
	Resources in_time;
	this->CurrentDemand(inPool, inWallNow, in_time, demand.late);
	seen.emplace_back(inNow, in_time);
	while (inNow - seen.front().first > this->tuning.demand_hold_ms)
		seen.pop_front();
	// Work must be completed at the rate at which it arrives, including later steps
	demand.in_time.cpu_milli = this->arrivals[inPool].Forecast(cMoveLeadMs, inNow);
	for (const auto &[at, amount] : seen)
		RaiseTo(demand.in_time, amount);
	for (const std::string &id : this->active)
	{
		const CellJob &job = this->jobs.at(id);
		for (const StepSpec &step : job.spec.steps)
			if (job.spec.pool == inPool && step.long_running && step.max_per_worker > 0)
				demand.min_hosts = std::max(demand.min_hosts, (step.count + step.max_per_worker - 1) / step.max_per_worker);
	}
	demand.min_hosts = std::max(demand.min_hosts, std::min(this->WaitingTrials(inPool), cMaxTrialHosts));
	this->AddTrialDemand(inPool, demand);
	if (this->starts_paused_since >= 0 && inNow - this->starts_paused_since >= cStartsLimitedMs)
		this->LimitDemandToUse(inPool, demand);
	// Of the hosts without long-running tasks, the least used are drained first
	std::vector<std::pair<int64, CellWorker *>> least_used;
	for (auto &[id, worker] : this->workers)
	{
		bool can_leave = worker.entry.pool == inPool && worker.listed && !worker.entry.draining && !worker.ended;
		// One that is already lost would take the place of one that can leave
		can_leave = can_leave && !this->IsEvacuated(worker) && worker.reachable && inNow >= worker.removed_until;
		for (const auto &[run_id, run] : worker.runs)
			can_leave = can_leave && !run.long_running;
		if (can_leave)
		{
			// With its grant in the log, it can be reported as spared at once
			const int64 empty_rank = worker.logged_grant_ms > 0 ? -2 : -1;
			least_used.emplace_back(worker.runs.empty() ? empty_rank : worker.used.cpu_milli, &worker);
		}
	}
	std::sort(least_used.begin(), least_used.end(), [](const auto &inA, const auto &inB) { return inA.first < inB.first; });
	for (size_t i = 0; i < least_used.size() && i < inSpare; ++i)
	{
		CellWorker &worker = *least_used[i].second;
		this->KeepDrained(worker, inNow + inForMs, inNow);
		if (this->GrantDrain(worker, inForMs, inNow))
			demand.releasable.push_back(worker.entry.id);
	}
	if (!demand.releasable.empty())
		LogEvent(ELogLevel::Info, "workers_spared")
			.Field("pool", inPool)
			.Field("count", demand.releasable.size())
			.Field("asked", inSpare)
			.Field("need_cpu_milli", demand.in_time.cpu_milli);
	return demand;
}

} // namespace Loomreach::Jobs
