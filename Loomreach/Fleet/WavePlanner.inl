// Template definitions of the wave planner.

#pragma once

namespace Loomreach
{

template <WavePolicy P>
WavePlan BasicWavePlanner<P>::Plan()
{
	auto spec = this->state.pools.find(this->pool);
	if (spec == this->state.pools.end())
		return {};
	std::vector<const Host *> hosts;
	uint32 out = 0;
	uint32 available = 0;
	std::set<std::string> unavailable;
	for (const auto &[name, host] : this->state.hosts)
	{
		if (host.pool != this->pool)
			continue;
		hosts.push_back(&host);
		const bool leaves = host.phase != EHostPhase::Active || !host.wave.empty();
		out += leaves ? 1 : 0;
		const bool counts = host.IsAvailable() && this->unheard.count(name) == 0;
		available += counts ? 1 : 0;
		if (!counts)
			unavailable.insert(name);
	}
	const uint32 required = this->state.RequiredAvailable(this->pool);
	// Failures during a wave: drains of hosts that have not begun to reboot are cancelled
	if (available < required)
	{
		this->CancelDrains(hosts);
		this->plan.held_by = "the availability budget is used up by failures";
		return std::move(this->plan);
	}
	uint32 spare_hosts = available - required;
	int64 settled_capacity = this->SettledCapacity(hosts);
	const bool avoids_moves = spec->second.weight_moves > spec->second.weight_buffer;
	uint32 max_drains = P::MaxDrains(this->state, spec->second, out);
	for (const auto &[host, wave] : this->Pending(hosts))
	{
		if (max_drains == 0)
		{
			this->plan.held_by = "the width of the wave: no more hosts may be out at the same time";
			break;
		}
		// A replica that moves to a host which the wave has yet to take is moved twice. The first host must be drained even if no host is
		// settled
		const bool fits_settled = host->used.cpu_milli <= settled_capacity;
		if (P::cChecksCapacity && avoids_moves && !fits_settled && out + this->plan.drains > 0)
		{
			this->plan.held_by = "moves: the hosts that are done have no room yet for the replicas of one more host";
			break;
		}
		const bool counts = unavailable.count(host->spec.name) == 0;
		if (counts && spare_hosts == 0)
		{
			this->plan.held_by = "the availability budget (" + std::to_string(required) + " hosts must stay available)";
			break;
		}
		if (counts && P::cChecksCapacity)
		{
			std::set<std::string> unavailable_then = unavailable;
			unavailable_then.insert(host->spec.name);
			if (!this->KeepsBuffer(spec->second, unavailable_then, out + this->plan.drains > 0))
			{
				this->plan.held_by = "the buffer: there would be no room for the replicas of one more host";
				continue;
			}
		}
		this->plan.proposals.emplace_back(StepHost{host->spec.name, EHostStep::Drain, host->generation, wave, "wave"});
		settled_capacity -= host->used.cpu_milli;
		++this->plan.drains;
		--max_drains;
		spare_hosts -= counts ? 1 : 0;
		unavailable.insert(host->spec.name);
	}
	return std::move(this->plan);
}

template <WavePolicy P>
void BasicWavePlanner<P>::CancelDrains(const std::vector<const Host *> &inHosts)
{
	// The hosts with the most replicas first: they need the least to take requests again
	std::vector<const Host *> draining;
	for (const Host *host : inHosts)
		if (host->phase == EHostPhase::Draining && host->health == EHostHealth::Healthy && !host->quarantined && !host->wave.empty())
			draining.push_back(host);
	std::stable_sort(draining.begin(), draining.end(),
					 [](const Host *inA, const Host *inB) { return inA->replicas.size() > inB->replicas.size(); });
	uint32 missing = this->state.RequiredAvailable(this->pool);
	for (const Host *host : inHosts)
		if (host->IsAvailable() && this->unheard.count(host->spec.name) == 0 && missing > 0)
			--missing;
	for (const Host *host : draining)
	{
		if (missing == 0)
			return;
		this->plan.proposals.emplace_back(
			StepHost{host->spec.name, EHostStep::Undrain, host->generation, host->wave, "failures used up the budget"});
		++this->plan.cancelled_drains;
		--missing;
	}
}

template <WavePolicy P>
std::vector<std::pair<const Host *, std::string>> BasicWavePlanner<P>::Pending(const std::vector<const Host *> &inHosts) const
{
	std::vector<std::pair<const Host *, std::string>> pending;
	for (const auto &[name, wave] : this->state.waves)
	{
		if (wave.state != EWaveState::Running)
			continue;
		for (const Host *host : inHosts)
		{
			auto entry = wave.hosts.find(host->spec.name);
			const bool waits = entry != wave.hosts.end() && entry->second == EWaveHost::Pending;
			// A failed host may still be running behind a network partition; it waits until it answers or is removed
			if (waits && host->phase == EHostPhase::Active && host->health != EHostHealth::Failed)
				pending.emplace_back(host, name);
		}
	}
	if (P::cFewestReplicasFirst)
	{
		// Hosts that already count as unavailable cost no availability, so they go first; then those with the fewest replicas
		std::stable_sort(pending.begin(), pending.end(),
						 [](const auto &inA, const auto &inB)
						 {
							 const auto key = [](const Host *inHost)
							 { return std::pair(inHost->IsAvailable() ? 1 : 0, inHost->replicas.size()); };
							 return key(inA.first) < key(inB.first);
						 });
	}
	return pending;
}

template <WavePolicy P>
bool BasicWavePlanner<P>::KeepsBuffer(const PoolSpec &inPool, const std::set<std::string> &inUnavailable, bool inAnyOut) const
{
	const Buffer buffer = ComputeBuffer(this->state, inPool, inUnavailable);
	return buffer.Spare() >= (inAnyOut ? buffer.required : 0);
}

template <WavePolicy P>
int64 BasicWavePlanner<P>::SettledCapacity(const std::vector<const Host *> &inHosts) const
{
	int64 free_cpu = 0;
	for (const Host *host : inHosts)
	{
		const bool stays = host->IsAvailable() && !IsPendingInWave(this->state, host->spec.name);
		free_cpu += stays ? host->Free().cpu_milli : 0;
		// The replicas of a draining host will take their part of the capacity
		free_cpu -= host->phase == EHostPhase::Draining ? host->used.cpu_milli : 0;
	}
	return free_cpu;
}

} // namespace Loomreach
