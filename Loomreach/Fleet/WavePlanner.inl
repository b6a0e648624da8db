// Bodies of the wave planner's templates.

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
	std::set<std::string> gone;
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
			gone.insert(name);
	}
	const uint32 required = this->state.RequiredAvailable(this->pool);
	// Failures on top of a wave: drains that have not begun to reboot are taken back
	if (available < required)
	{
		this->TakeBack(hosts);
		this->plan.held_by = "the availability budget is used up by failures";
		return std::move(this->plan);
	}
	uint32 room = available - required;
	int64 settled_room = this->SettledRoom(hosts);
	const bool spares_moves = spec->second.weight_moves > spec->second.weight_buffer;
	uint32 may_take = P::MayTake(this->state, spec->second, out);
	for (const auto &[host, wave] : this->Pending(hosts))
	{
		if (may_take == 0)
		{
			this->plan.held_by = "as many hosts are out as the wave's width allows";
			break;
		}
		// A replica that goes to a host which the wave has yet to take is moved twice. One host must begin where none is settled
		const bool fits_settled = host->used.cpu_milli <= settled_room;
		if (P::cChecksRoom && spares_moves && !fits_settled && out + this->plan.drains > 0)
		{
			this->plan.held_by = "moves: the hosts that are done have no room yet for the replicas of one more";
			break;
		}
		const bool counts = gone.count(host->spec.name) == 0;
		if (counts && room == 0)
		{
			this->plan.held_by = "the availability budget (" + std::to_string(required) + " hosts)";
			break;
		}
		if (counts && P::cChecksRoom)
		{
			std::set<std::string> with = gone;
			with.insert(host->spec.name);
			if (!this->LeavesRoom(spec->second, with, out + this->plan.drains > 0))
			{
				this->plan.held_by = "the buffer: the replicas of one more host would find no room";
				continue;
			}
		}
		this->plan.proposals.emplace_back(StepHost{host->spec.name, EHostStep::Drain, host->generation, wave, "wave"});
		settled_room -= host->used.cpu_milli;
		++this->plan.drains;
		--may_take;
		room -= counts ? 1 : 0;
		gone.insert(host->spec.name);
	}
	return std::move(this->plan);
}

template <WavePolicy P>
void BasicWavePlanner<P>::TakeBack(const std::vector<const Host *> &inHosts)
{
	// The fullest first: they need the least to serve again
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
		++this->plan.taken_back;
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
			// A failed host may be at work behind a cut; it waits until it answers or is gone
			if (waits && host->phase == EHostPhase::Active && host->health != EHostHealth::Failed)
				pending.emplace_back(host, name);
		}
	}
	if (P::cFewestReplicasFirst)
	{
		// Hosts that already count as unavailable leave for nothing; then the emptiest
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
bool BasicWavePlanner<P>::LeavesRoom(const PoolSpec &inPool, const std::set<std::string> &inGone, bool inAnyOut) const
{
	const Buffer buffer = ReckonBuffer(this->state, inPool, inGone);
	return buffer.Spare() >= (inAnyOut ? buffer.wanted : 0);
}

template <WavePolicy P>
int64 BasicWavePlanner<P>::SettledRoom(const std::vector<const Host *> &inHosts) const
{
	int64 room = 0;
	for (const Host *host : inHosts)
	{
		const bool stays = host->IsAvailable() && !IsPendingInWave(this->state, host->spec.name);
		room += stays ? host->Free().cpu_milli : 0;
		// What is on its way off a draining host will take its part of the room
		room -= host->phase == EHostPhase::Draining ? host->used.cpu_milli : 0;
	}
	return room;
}

} // namespace Loomreach
