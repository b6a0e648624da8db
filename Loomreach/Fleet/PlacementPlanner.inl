// Bodies of the placement planner's templates.

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
		// Replicas on hosts that are leaving are no mates: they are about to go
		for (const ReplicaKey &replica : host.replicas)
		{
			if (!host.IsAvailable())
				continue;
			Mates &job_mates = this->mates[replica.job];
			++job_mates.racks[host.spec.rack];
			++job_mates.zones[host.spec.availability_zone];
		}
	}
}

template <PlacementPolicy P>
PlacementPlan BasicPlacementPlanner<P>::Plan()
{
	if (this->pool_spec == nullptr)
		return {};
	// Stop what the settings no longer ask for: its room is free within the same batch
	this->StopUndeclared();
	// Place what is missing, the highest priority first
	for (const Wanted &wanted : this->CollectWanted())
		this->TryPlace(wanted);
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
			this->team_used[placement.team] -= placement.need.cpu_milli;
			for (Candidate &candidate : this->candidates)
				if (candidate.host == &host)
					candidate.free += placement.need;
		}
	}
}

template <PlacementPolicy P>
std::vector<typename BasicPlacementPlanner<P>::Wanted> BasicPlacementPlanner<P>::CollectWanted()
{
	std::vector<Wanted> wanted;
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
				wanted.push_back({replica, &job, old});
		}
	}
	std::stable_sort(wanted.begin(), wanted.end(),
					 [](const Wanted &inA, const Wanted &inB) { return inA.job->priority > inB.job->priority; });
	return wanted;
}

template <PlacementPolicy P>
std::optional<EUnplaced> BasicPlacementPlanner<P>::CheckEver(const JobSpec &inJob) const
{
	auto quota = this->state.team_quota_cpu.find(inJob.team);
	if (quota != this->state.team_quota_cpu.end() && inJob.need.cpu_milli > quota->second)
		return EUnplaced::QuotaTooSmall;
	bool any_host = false;
	for (const auto &[name, host] : this->state.hosts)
	{
		if (host.pool != this->pool)
			continue;
		any_host = true;
		if (inJob.need.FitIn(host.spec.capacity))
			return std::nullopt;
	}
	return any_host ? EUnplaced::NeverFits : EUnplaced::NoHosts;
}

template <PlacementPolicy P>
bool BasicPlacementPlanner<P>::HasQuota(const Wanted &inWanted) const
{
	auto quota = this->state.team_quota_cpu.find(inWanted.job->team);
	if (quota == this->state.team_quota_cpu.end())
		return true;
	auto used = this->team_used.find(inWanted.job->team);
	int64 total = used == this->team_used.end() ? 0 : used->second;
	if (inWanted.old != nullptr && inWanted.old->team == inWanted.job->team)
		total -= inWanted.old->need.cpu_milli;
	return total + inWanted.job->need.cpu_milli <= quota->second;
}

template <PlacementPolicy P>
int64 BasicPlacementPlanner<P>::MatesOn(const Candidate &inCandidate, const std::string &inJob) const
{
	int64 mates_on_host = 0;
	const std::set<ReplicaKey> &replicas = inCandidate.host->replicas;
	for (auto replica = replicas.lower_bound({inJob, 0}); replica != replicas.end() && replica->job == inJob; ++replica)
		++mates_on_host;
	auto planned = inCandidate.planned.find(inJob);
	return mates_on_host + (planned == inCandidate.planned.end() ? 0 : planned->second);
}

template <PlacementPolicy P>
typename BasicPlacementPlanner<P>::Candidate *BasicPlacementPlanner<P>::BestHost(const Wanted &inWanted)
{
	Candidate *best = nullptr;
	HostScore best_score;
	const Mates &job_mates = this->mates[inWanted.replica.job];
	auto history = this->state.history.find(inWanted.replica.job);
	for (Candidate &candidate : this->candidates)
	{
		if (!inWanted.job->need.FitIn(candidate.free))
			continue;
		const HostSpec &spec = candidate.host->spec;
		HostScore score;
		score.blamed = history != this->state.history.end() && history->second.failed_hosts.count(spec.name) != 0 ? 1 : 0;
		score.host_mates = this->MatesOn(candidate, inWanted.replica.job);
		if (auto mates_in_rack = job_mates.racks.find(spec.rack); mates_in_rack != job_mates.racks.end())
			score.rack_mates = mates_in_rack->second;
		if (auto mates_in_zone = job_mates.zones.find(spec.availability_zone); mates_in_zone != job_mates.zones.end())
			score.zone_mates = mates_in_zone->second;
		score = P::Adjust(this->state, *this->pool_spec, *candidate.host, candidate.free, score);
		if (best != nullptr && !(score < best_score))
			continue;
		best = &candidate;
		best_score = score;
	}
	return best;
}

template <PlacementPolicy P>
std::vector<ReplicaKey> BasicPlacementPlanner<P>::Victims(const Candidate &inCandidate, const Wanted &inWanted) const
{
	// Lower priorities on the host, the lowest first, the largest first among equals: few are displaced
	std::vector<std::pair<ReplicaKey, const Placement *>> lower;
	for (const ReplicaKey &replica : inCandidate.host->replicas)
	{
		const Placement &placement = this->state.placements.find(replica)->second;
		if (placement.priority < inWanted.job->priority && this->stopped.count(replica) == 0)
			lower.emplace_back(replica, &placement);
	}
	std::sort(lower.begin(), lower.end(),
			  [](const auto &inA, const auto &inB)
			  {
				  if (inA.second->priority != inB.second->priority)
					  return inA.second->priority < inB.second->priority;
				  if (inA.second->need.cpu_milli != inB.second->need.cpu_milli)
					  return inA.second->need.cpu_milli > inB.second->need.cpu_milli;
				  return inA.first < inB.first;
			  });
	Resources room = inCandidate.free;
	std::vector<ReplicaKey> victims;
	for (const auto &[replica, placement] : lower)
	{
		if (inWanted.job->need.FitIn(room))
			break;
		room += placement->need;
		victims.push_back(replica);
	}
	if (!inWanted.job->need.FitIn(room))
		return {};
	// Drop victims that turned out not to be needed
	for (size_t i = 0; i < victims.size();)
	{
		Resources without = room;
		without -= this->state.placements.find(victims[i])->second.need;
		if (!inWanted.job->need.FitIn(without))
		{
			++i;
			continue;
		}
		room = without;
		victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
	}
	return victims;
}

template <PlacementPolicy P>
typename BasicPlacementPlanner<P>::Candidate *BasicPlacementPlanner<P>::MakeRoom(const Wanted &inWanted)
{
	Candidate *best = nullptr;
	std::vector<ReplicaKey> best_victims;
	for (Candidate &candidate : this->candidates)
	{
		std::vector<ReplicaKey> victims = this->Victims(candidate, inWanted);
		if (victims.empty() || (best != nullptr && victims.size() >= best_victims.size()))
			continue;
		best = &candidate;
		best_victims = std::move(victims);
	}
	for (const ReplicaKey &victim : best_victims)
	{
		const Placement &placement = this->state.placements.find(victim)->second;
		LOOM_INVARIANT(placement.priority < inWanted.job->priority, "only a lower priority gives way");
		this->plan.proposals.emplace_back(StopReplica{victim, placement.generation, EStopReason::Preempted});
		this->stopped.insert(victim);
		this->team_used[placement.team] -= placement.need.cpu_milli;
		best->free += placement.need;
		++this->plan.preempted;
	}
	return best;
}

template <PlacementPolicy P>
void BasicPlacementPlanner<P>::Place(const Wanted &inWanted, Candidate &ioCandidate)
{
	const LogPosition base = inWanted.old == nullptr ? 0 : inWanted.old->generation;
	this->plan.proposals.emplace_back(PlaceReplica{inWanted.replica, ioCandidate.host->spec.name, base});
	ioCandidate.free -= inWanted.job->need;
	++ioCandidate.planned[inWanted.replica.job];
	this->team_used[inWanted.job->team] += inWanted.job->need.cpu_milli;
	if (inWanted.old != nullptr)
		this->team_used[inWanted.old->team] -= inWanted.old->need.cpu_milli;
	Mates &job_mates = this->mates[inWanted.replica.job];
	++job_mates.racks[ioCandidate.host->spec.rack];
	++job_mates.zones[ioCandidate.host->spec.availability_zone];
	if (inWanted.old != nullptr)
		++this->plan.moved;
}

template <PlacementPolicy P>
bool BasicPlacementPlanner<P>::IsWorthWaiting(const Wanted &inWanted, const Candidate &inCandidate) const
{
	// A host is seen healthy or failed within seconds, so the wait is short; the first replica of a job never waits
	if (this->MatesOn(inCandidate, inWanted.replica.job) == 0)
		return false;
	for (const auto &[name, host] : this->state.hosts)
	{
		const bool comes_up =
			host.pool == this->pool && host.phase == EHostPhase::Active && host.health == EHostHealth::Unknown && !host.quarantined;
		if (comes_up && inWanted.job->need.FitIn(host.Free()))
			return true;
	}
	return false;
}

template <PlacementPolicy P>
void BasicPlacementPlanner<P>::TryPlace(const Wanted &inWanted)
{
	if (const std::optional<EUnplaced> never = this->CheckEver(*inWanted.job); never.has_value())
	{
		this->plan.unplaced.push_back({inWanted.replica, *never});
		return;
	}
	if (this->backing_off != nullptr && this->backing_off->count(inWanted.replica.job) != 0)
	{
		this->plan.unplaced.push_back({inWanted.replica, EUnplaced::BackingOff});
		return;
	}
	if (!this->HasQuota(inWanted))
	{
		this->plan.unplaced.push_back({inWanted.replica, EUnplaced::QuotaFull});
		return;
	}
	Candidate *candidate = this->BestHost(inWanted);
	const bool has_room = candidate != nullptr;
	if (!has_room)
		candidate = this->MakeRoom(inWanted);
	if (has_room && this->IsWorthWaiting(inWanted, *candidate))
	{
		this->plan.unplaced.push_back({inWanted.replica, EUnplaced::AwaitsHosts});
		return;
	}
	if (candidate != nullptr)
	{
		this->Place(inWanted, *candidate);
		return;
	}
	this->plan.unplaced.push_back({inWanted.replica, this->candidates.empty() ? EUnplaced::NoHosts : EUnplaced::NoRoom});
}

} // namespace Loomreach
