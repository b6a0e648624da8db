// Order in which the waiting jobs of a cell are planned.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Schedule/WaitingOrder.h>

namespace Loomreach::Jobs
{

/// Delays of a job that its earliest end does not contain: each step is written to the log, sent to the workers, and its end noticed.
static constexpr int64 cDelayMarginMs = 200;

namespace
{

/// Jobs of one team that are expected to be in time, and may be deferred, the largest first.
struct TeamLoad
{
	double weight = 1.0;
	int64 work = 0; ///< Of all its jobs that are expected to be in time.
	std::multimap<int64, WaitingJob *, std::greater<>> deferrable;

	/// Time for which its work takes one core per unit of weight.
	double Share() const { return static_cast<double>(this->work) / this->weight; }
};

double WeightOf(std::string_view inTeam, const TeamWeight &inWeight) { return static_cast<double>(std::max<int64>(inWeight(inTeam), 1)); }

/// Defers the largest job of the team with the largest share. Returns its work; 0: no job can be deferred.
int64 DeferOne(std::map<std::string_view, TeamLoad> &ioTeams)
{
	TeamLoad *largest = nullptr;
	for (auto &[name, team] : ioTeams)
		if (!team.deferrable.empty() && (largest == nullptr || team.Share() > largest->Share()))
			largest = &team;
	if (largest == nullptr)
		return 0;
	auto job = largest->deferrable.begin();
	const int64 work = job->first;
	job->second->outlook = EDeadlineOutlook::Late;
	largest->work -= work;
	largest->deferrable.erase(job);
	return work;
}

/// Marks the jobs of teams whose work is above the mean for their weights.
void MarkTeamsOverShare(const std::vector<WaitingJob *> &inJobs, const std::map<std::string_view, TeamLoad> &inTeams)
{
	int64 work = 0;
	double weight = 0.0;
	for (const auto &[name, team] : inTeams)
	{
		work += team.work;
		weight += team.weight;
	}
	for (WaitingJob *job : inJobs)
		job->is_over_share = inTeams.at(job->team).Share() * weight > static_cast<double>(work);
}

/// Defers jobs of one pool that is short of capacity. `ioJobs`: those that can be in time by themselves.
size_t DeferSurplus(std::vector<WaitingJob *> &ioJobs, const PoolState &inPool, const TeamWeight &inWeight, int64 inWallNow)
{
	std::sort(ioJobs.begin(), ioJobs.end(),
			  [](const WaitingJob *inA, const WaitingJob *inB)
			  { return std::tie(inA->priority, inA->due_wall_ms) < std::tie(inB->priority, inB->due_wall_ms); });
	std::map<std::string_view, TeamLoad> teams;
	int64 due_work = 0;
	for (const auto &[team, work] : inPool.started_work)
	{
		teams[team].work = work;
		teams[team].weight = WeightOf(team, inWeight);
		due_work += work;
	}
	size_t deferred = 0;
	for (WaitingJob *job : ioJobs)
	{
		TeamLoad &team = teams[job->team];
		team.weight = WeightOf(job->team, inWeight);
		team.work += job->work;
		due_work += job->work;
		if (job->deferrable)
			team.deferrable.emplace(job->work, job);
		const int64 left_ms = std::max<int64>(job->due_wall_ms - cDelayMarginMs - inWallNow, 0);
		while (due_work > inPool.cpu_milli * left_ms / 1000)
		{
			const int64 work = DeferOne(teams);
			if (work == 0)
				break;
			due_work -= work;
			++deferred;
		}
	}
	MarkTeamsOverShare(ioJobs, teams);
	return deferred;
}

} // namespace

size_t OrderWaitingJobs(std::vector<WaitingJob> &ioJobs, const std::map<std::string, PoolState, std::less<>> &inPools,
						const TeamWeight &inWeight, int64 inWallNow)
{
	size_t deferred = 0;
	std::map<std::string_view, std::vector<WaitingJob *>> in_time;
	for (WaitingJob &job : ioJobs)
	{
		auto pool = inPools.find(job.pool);
		const bool may_defer = pool != inPools.end() && pool->second.is_short && job.has_deadline;
		if (!may_defer || job.outlook != EDeadlineOutlook::InTime)
			continue;
		if (job.deferrable && job.earliest_end_wall_ms + cDelayMarginMs > job.due_wall_ms)
		{
			job.outlook = EDeadlineOutlook::Late;
			++deferred;
			continue;
		}
		in_time[job.pool].push_back(&job);
	}
	for (auto &[pool, jobs] : in_time)
		deferred += DeferSurplus(jobs, inPools.find(pool)->second, inWeight, inWallNow);
	std::sort(ioJobs.begin(), ioJobs.end());
	return deferred;
}

} // namespace Loomreach::Jobs
