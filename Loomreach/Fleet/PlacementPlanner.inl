// Template definitions of the placement planner.

#pragma once

#include <Loomreach/Core/Invariant.h>

namespace Loomreach
{

template <PlacementPolicy P>
BasicPlacementPlanner<P>::BasicPlacementPlanner(const FleetState &inState, std::string inPool, const std::set<std::string> *inWaiting)
	: state(inState), pool(std::move(inPool)), backing_off(inWaiting)
{
	auto spec = this->state.pools.find(this->pool);
	if (spec != this->state.pools.end())
		this->pool_spec = &spec->second;
	this->team_used = this->state.team_used_cpu;
	for (const auto &[name, host] : this->state.hosts)
	{
		if (host.pool != this->pool)
			continue;
		if (host.IsAvailable())
			this->candidates.push_back({&host, host.Free(), {}});
		// Replicas on hosts that are leaving do not count as siblings: they are about to move
		for (const ReplicaKey &replica : host.replicas)
		{
			if (!host.IsAvailable())
				continue;
			Siblings &job_siblings = this->siblings[replica.job];
			++job_siblings.racks[host.spec.rack];
			++job_siblings.zones[host.spec.availability_zone];
		}
	}
}

template <PlacementPolicy P>
PlacementPlan BasicPlacementPlanner<P>::Plan()
{
	if (this->pool_spec == nullptr)
		return {};
	// Stop what the settings no longer declare: its capacity is free within the same batch
	this->StopUndeclared();
	// Place missing replicas, the highest priority first
	for (const MissingReplica &missing : this->CollectMissing())
		this->TryPlace(missing);
	return std::move(this->plan);
}

template <PlacementPolicy P>
void BasicPlacementPlanner<P>::StopUndeclared()
{
	for (const auto &[name, host] : this->state.hosts)
	{
		if (host.pool != this->pool)
			continue;
		for (const ReplicaKey &replica : host.replicas)
		{
			auto job = this->state.jobs.find(replica.job);
			const bool declared = job != this->state.jobs.end() && job->second.pool == this->pool && replica.index < job->second.replicas;
			if (declared)
				continue;
			const Placement &placement = this->state.placements.find(replica)->second;
			this->plan.proposals.emplace_back(StopReplica{replica, placement.generation, EStopReason::Undeclared});
			this->stopped.insert(replica);
			this->team_used[placement.team] -= placement.requested.cpu_milli;
			for (Candidate &candidate : this->candidates)
				if (candidate.host == &host)
					candidate.free += placement.requested;
		}
	}
}

template <PlacementPolicy P>
std::vector<typename BasicPlacementPlanner<P>::MissingReplica> BasicPlacementPlanner<P>::CollectMissing()
{
	std::vector<MissingReplica> missing;
	for (const auto &[path, job] : this->state.jobs)
	{
		if (job.pool != this->pool)
			continue;
		auto history = this->state.history.find(path);
		for (uint32 index = 0; index < job.replicas; ++index)
		{
			const ReplicaKey replica{path, index};
			if (history != this->state.history.end() && history->second.finished.count(index) != 0)
				continue;
			auto placement = this->state.placements.find(replica);
			const Placement *old = placement == this->state.placements.end() ? nullptr : &placement->second;
			const bool stays = old != nullptr && this->state.hosts.find(old->host)->second.IsAvailable();
			if (!stays)
				missing.push_back({replica, &job, old});
		}
	}
	std::stable_sort(missing.begin(), missing.end(),
					 [](const MissingReplica &inA, const MissingReplica &inB) { return inA.job->priority > inB.job->priority; });
	return missing;
}

template <PlacementPolicy P>
std::optional<EUnplaced> BasicPlacementPlanner<P>::CheckFeasible(const JobSpec &inJob) const
{
	auto quota = this->state.team_quota_cpu.find(inJob.team);
	if (quota != this->state.team_quota_cpu.end() && inJob.requested.cpu_milli > quota->second)
		return EUnplaced::QuotaTooSmall;
	bool any_host = false;
	for (const auto &[name, host] : this->state.hosts)
	{
		if (host.pool != this->pool)
			continue;
		any_host = true;
		if (inJob.requested.FitsInto(host.spec.capacity))
			return std::nullopt;
	}
	return any_host ? EUnplaced::NeverFits : EUnplaced::NoHosts;
}

template <PlacementPolicy P>
bool BasicPlacementPlanner<P>::HasQuota(const MissingReplica &inReplica) const
{
	auto quota = this->state.team_quota_cpu.find(inReplica.job->team);
	if (quota == this->state.team_quota_cpu.end())
		return true;
	auto used = this->team_used.find(inReplica.job->team);
	int64 total = used == this->team_used.end() ? 0 : used->second;
	if (inReplica.old != nullptr && inReplica.old->team == inReplica.job->team)
		total -= inReplica.old->requested.cpu_milli;
	return total + inReplica.job->requested.cpu_milli <= quota->second;
}

template <PlacementPolicy P>
int64 BasicPlacementPlanner<P>::SiblingsOn(const Candidate &inCandidate, const std::string &inJob) const
{
	int64 siblings_on_host = 0;
	const std::set<ReplicaKey> &replicas = inCandidate.host->replicas;
	for (auto replica = replicas.lower_bound({inJob, 0}); replica != replicas.end() && replica->job == inJob; ++replica)
		++siblings_on_host;
	auto planned = inCandidate.planned.find(inJob);
	return siblings_on_host + (planned == inCandidate.planned.end() ? 0 : planned->second);
}

template <PlacementPolicy P>
typename BasicPlacementPlanner<P>::Candidate *BasicPlacementPlanner<P>::BestHost(const MissingReplica &inReplica)
{
	Candidate *best = nullptr;
	HostScore best_score;
	const Siblings &job_siblings = this->siblings[inReplica.replica.job];
	auto history = this->state.history.find(inReplica.replica.job);
	for (Candidate &candidate : this->candidates)
	{
		if (!inReplica.job->requested.FitsInto(candidate.free))
			continue;
		const HostSpec &spec = candidate.host->spec;
		HostScore score;
		score.failed_before = history != this->state.history.end() && history->second.failed_hosts.count(spec.name) != 0 ? 1 : 0;
		score.host_siblings = this->SiblingsOn(candidate, inReplica.replica.job);
		if (auto siblings_in_rack = job_siblings.racks.find(spec.rack); siblings_in_rack != job_siblings.racks.end())
			score.rack_siblings = siblings_in_rack->second;
		if (auto siblings_in_zone = job_siblings.zones.find(spec.availability_zone); siblings_in_zone != job_siblings.zones.end())
			score.zone_siblings = siblings_in_zone->second;
		score = P::Adjust(this->state, *this->pool_spec, *candidate.host, candidate.free, score);
		if (best != nullptr && !(score < best_score))
			continue;
		best = &candidate;
		best_score = score;
	}
	return best;
}

template <PlacementPolicy P>
std::vector<ReplicaKey> BasicPlacementPlanner<P>::Victims(const Candidate &inCandidate, const MissingReplica &inReplica) const
{
	// Replicas of lower priority on the host: the lowest priority first, among equals the largest, so that few are preempted
	std::vector<std::pair<ReplicaKey, const Placement *>> lower;
	for (const ReplicaKey &replica : inCandidate.host->replicas)
	{
		const Placement &placement = this->state.placements.find(replica)->second;
		if (placement.priority < inReplica.job->priority && this->stopped.count(replica) == 0)
			lower.emplace_back(replica, &placement);
	}
	std::sort(lower.begin(), lower.end(),
			  [](const auto &inA, const auto &inB)
			  {
				  if (inA.second->priority != inB.second->priority)
					  return inA.second->priority < inB.second->priority;
				  if (inA.second->requested.cpu_milli != inB.second->requested.cpu_milli)
					  return inA.second->requested.cpu_milli > inB.second->requested.cpu_milli;
				  return inA.first < inB.first;
			  });
	Resources free_capacity = inCandidate.free;
	std::vector<ReplicaKey> victims;
	for (const auto &[replica, placement] : lower)
	{
		if (inReplica.job->requested.FitsInto(free_capacity))
			break;
		free_capacity += placement->requested;
		victims.push_back(replica);
	}
	if (!inReplica.job->requested.FitsInto(free_capacity))
		return {};
	// Do not preempt victims that turned out not to be needed
	for (size_t i = 0; i < victims.size();)
	{
		Resources without = free_capacity;
		without -= this->state.placements.find(victims[i])->second.requested;
		if (!inReplica.job->requested.FitsInto(without))
		{
			++i;
			continue;
		}
		free_capacity = without;
		victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
	}
	return victims;
}

template <PlacementPolicy P>
typename BasicPlacementPlanner<P>::Candidate *BasicPlacementPlanner<P>::PreemptFor(const MissingReplica &inReplica)
{
	Candidate *best = nullptr;
	std::vector<ReplicaKey> best_victims;
	for (Candidate &candidate : this->candidates)
	{
		std::vector<ReplicaKey> victims = this->Victims(candidate, inReplica);
		if (victims.empty() || (best != nullptr && victims.size() >= best_victims.size()))
			continue;
		best = &candidate;
		best_victims = std::move(victims);
	}
	for (const ReplicaKey &victim : best_victims)
	{
		const Placement &placement = this->state.placements.find(victim)->second;
		LOOM_INVARIANT(placement.priority < inReplica.job->priority, "only replicas of lower priority are preempted");
		this->plan.proposals.emplace_back(StopReplica{victim, placement.generation, EStopReason::Preempted});
		this->stopped.insert(victim);
		this->team_used[placement.team] -= placement.requested.cpu_milli;
		best->free += placement.requested;
		++this->plan.preempted;
	}
	return best;
}

template <PlacementPolicy P>
void BasicPlacementPlanner<P>::Place(const MissingReplica &inReplica, Candidate &ioCandidate)
{
	const LogPosition base = inReplica.old == nullptr ? 0 : inReplica.old->generation;
	this->plan.proposals.emplace_back(PlaceReplica{inReplica.replica, ioCandidate.host->spec.name, base});
	ioCandidate.free -= inReplica.job->requested;
	++ioCandidate.planned[inReplica.replica.job];
	this->team_used[inReplica.job->team] += inReplica.job->requested.cpu_milli;
	if (inReplica.old != nullptr)
		this->team_used[inReplica.old->team] -= inReplica.old->requested.cpu_milli;
	Siblings &job_siblings = this->siblings[inReplica.replica.job];
	++job_siblings.racks[ioCandidate.host->spec.rack];
	++job_siblings.zones[ioCandidate.host->spec.availability_zone];
	if (inReplica.old != nullptr)
		++this->plan.moved;
}

template <PlacementPolicy P>
bool BasicPlacementPlanner<P>::ShouldWaitForHosts(const MissingReplica &inReplica, const Candidate &inCandidate) const
{
	// The health of a starting host is known within seconds, so the wait is short. The first replica of a job never waits
	if (this->SiblingsOn(inCandidate, inReplica.replica.job) == 0)
		return false;
	for (const auto &[name, host] : this->state.hosts)
	{
		const bool is_starting =
			host.pool == this->pool && host.phase == EHostPhase::Active && host.health == EHostHealth::Unknown && !host.quarantined;
		if (is_starting && inReplica.job->requested.FitsInto(host.Free()))
			return true;
	}
	return false;
}

template <PlacementPolicy P>
void BasicPlacementPlanner<P>::TryPlace(const MissingReplica &inReplica)
{
	if (const std::optional<EUnplaced> infeasible = this->CheckFeasible(*inReplica.job); infeasible.has_value())
	{
		this->plan.unplaced.push_back({inReplica.replica, *infeasible});
		return;
	}
	if (this->backing_off != nullptr && this->backing_off->count(inReplica.replica.job) != 0)
	{
		this->plan.unplaced.push_back({inReplica.replica, EUnplaced::BackingOff});
		return;
	}
	if (!this->HasQuota(inReplica))
	{
		this->plan.unplaced.push_back({inReplica.replica, EUnplaced::QuotaFull});
		return;
	}
	Candidate *candidate = this->BestHost(inReplica);
	const bool has_capacity = candidate != nullptr;
	if (!has_capacity)
		candidate = this->PreemptFor(inReplica);
	if (has_capacity && this->ShouldWaitForHosts(inReplica, *candidate))
	{
		this->plan.unplaced.push_back({inReplica.replica, EUnplaced::WaitsForHosts});
		return;
	}
	if (candidate != nullptr)
	{
		this->Place(inReplica, *candidate);
		return;
	}
	this->plan.unplaced.push_back({inReplica.replica, this->candidates.empty() ? EUnplaced::NoHosts : EUnplaced::NoCapacity});
}

} // namespace Loomreach
