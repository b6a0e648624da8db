// What a cell needs and can spare.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/LogEvent.h>
#include <Loomreach/Schedule/Cell.h>

namespace Loomreach::Jobs
{

/// A need counts this long after it was last seen: fetching a host back takes a move and a start, about as long.
static constexpr Millis cDemandHoldMs = 2500;

Resources Cell::NeedNow(std::string_view inPool, int64 inWallNow) const
{
	Resources need;
	for (const auto &[id, worker] : this->workers)
		if (worker.entry.pool == inPool)
			for (const auto &[run_id, run] : worker.runs)
				if (run.state != ERunState::Stopping)
					need.Add(run.room);
	for (const std::string &id : this->active)
	{
		const CellJob &job = this->jobs.at(id);
		if (job.spec.pool != inPool)
			continue;
		for (size_t unit = 0; unit < job.record.steps.size(); ++unit)
		{
			if (!this->IsDue(job, unit, inWallNow))
				continue;
			Resources room = job.StepOf(unit).need;
			if (job.StepOf(unit).fills)
				room.cpu_milli = 0;
			for (const TaskRecord &task : job.record.steps[unit].tasks)
				if (!task.done && task.runs.empty())
					need.Add(room);
		}
	}
	return need;
}

PoolDemand Cell::Demand(const std::string &inPool, uint32 inSpare, Millis inForMs, Millis inNow, int64 inWallNow)
{
	PoolDemand demand;
	std::deque<std::pair<Millis, Resources>> &seen = this->needs[inPool];
	seen.emplace_back(inNow, this->NeedNow(inPool, inWallNow));
	while (inNow - seen.front().first > cDemandHoldMs)
		seen.pop_front();
	for (const auto &[at, need] : seen)
	{
		demand.need.cpu_milli = std::max(demand.need.cpu_milli, need.cpu_milli);
		demand.need.memory_mb = std::max(demand.need.memory_mb, need.memory_mb);
		demand.need.accelerators = std::max(demand.need.accelerators, need.accelerators);
	}
	for (const std::string &id : this->active)
	{
		const CellJob &job = this->jobs.at(id);
		for (const StepSpec &step : job.spec.steps)
			if (job.spec.pool == inPool && step.lasting && step.max_per_worker > 0)
				demand.least_hosts = std::max(demand.least_hosts, (step.count + step.max_per_worker - 1) / step.max_per_worker);
	}
	for (auto &[id, worker] : this->workers)
	{
		if (demand.spared.size() >= inSpare)
			break;
		const bool can_go = worker.entry.pool == inPool && worker.listed && !worker.entry.draining && !worker.gone && worker.runs.empty();
		if (!can_go)
			continue;
		worker.vacate_until = std::max(worker.vacate_until, inNow + inForMs);
		demand.spared.push_back(id);
	}
	if (!demand.spared.empty())
		LogEvent(ELogLevel::Info, "workers_spared")
			.Field("pool", inPool)
			.Field("count", demand.spared.size())
			.Field("asked", inSpare)
			.Field("need_cpu_milli", demand.need.cpu_milli);
	return demand;
}

} // namespace Loomreach::Jobs
