// Wave model: in each round the planners make proposals, which are applied to the state, and hosts that are out reboot.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Random.h>
#include <Loomreach/Fleet/PlacementPlanner.h>
#include <Loomreach/Fleet/WavePlanner.h>
#include <PerformanceTest/WaveModel.h>

namespace Loomreach
{

static constexpr uint32 cMaxRounds = 2000;
static constexpr uint32 cIdleRounds = 3;

namespace
{

/// One wave under a placement policy and a wave policy.
template <PlacementPolicy PP, WavePolicy WP>
class WaveRun
{
public:
	WaveRun(const FleetShape &inShape, uint32 inFailures, uint64 inSeed) : fleet(inShape), random(inSeed), failures(inFailures) {}

	WaveCost Run()
	{
		for (int i = 0; i < 6; ++i)
			this->PlaceReplicas();
		this->cost = {};
		this->moves_by_replica.clear();
		this->cost.lowest_slack = UINT32_MAX;
		this->fleet.Apply(StartWave{"w", "", "", ""});
		uint32 idle = 0;
		double idle_sum = 0;
		while (this->cost.steps < cMaxRounds && idle < cIdleRounds && this->fleet.state.waves.at("w").state != EWaveState::Done)
		{
			this->ReturnHosts();
			this->FailOneHost();
			bool changed = this->DrainHosts();
			changed = this->PlaceReplicas() || changed;
			changed = this->StartReboots() || changed;
			idle = changed ? 0 : idle + 1;
			++this->cost.steps;
			idle_sum += this->IdlePercent();
			this->RecordSlack();
		}
		this->cost.steps -= idle;
		this->cost.idle_percent = idle_sum / std::max<uint32>(1, this->cost.steps + idle);
		for (const auto &[name, entry] : this->fleet.state.waves.at("w").hosts)
			this->cost.maintained += entry == EWaveHost::Done ? 1 : 0;
		for (const auto &[replica, count] : this->moves_by_replica)
			this->cost.max_moves = std::max(this->cost.max_moves, count);
		return this->cost;
	}

private:
	bool PlaceReplicas()
	{
		bool changed = false;
		for (uint32 i = 0; i < this->fleet.shape.pools; ++i)
		{
			PlacementPlan plan = BasicPlacementPlanner<PP>(this->fleet.state, PoolPathOf(i)).Plan();
			for (ProposalBody &body : plan.proposals)
			{
				if (const PlaceReplica *place = std::get_if<PlaceReplica>(&body); place != nullptr && place->base_generation != 0)
				{
					++this->cost.moves;
					++this->moves_by_replica[place->replica];
				}
				changed = this->fleet.Apply(std::move(body)).Accepted() || changed;
			}
			this->cost.unplaced += static_cast<uint32>(plan.unplaced.size());
		}
		return changed;
	}

	bool DrainHosts()
	{
		bool changed = false;
		for (uint32 i = 0; i < this->fleet.shape.pools; ++i)
			for (ProposalBody &body : BasicWavePlanner<WP>(this->fleet.state, PoolPathOf(i), {}).Plan().proposals)
				changed = this->fleet.Apply(std::move(body)).Accepted() || changed;
		return changed;
	}

	/// Takes empty draining hosts out for their reboot.
	bool StartReboots()
	{
		bool changed = false;
		for (const std::string &name : this->HostNames())
		{
			const Host &host = this->fleet.state.hosts.at(name);
			if (host.phase != EHostPhase::Draining || !host.replicas.empty())
				continue;
			this->Step(name, EHostStep::Drained);
			this->Step(name, EHostStep::Out);
			changed = true;
		}
		return changed;
	}

	/// Returns the hosts that have been out for one round.
	void ReturnHosts()
	{
		for (const std::string &name : this->HostNames())
		{
			if (this->fleet.state.hosts.at(name).phase != EHostPhase::Out)
				continue;
			this->Step(name, EHostStep::Returned);
			this->Step(name, EHostStep::Healthy);
		}
	}

	void FailOneHost()
	{
		if (this->failures == 0 || this->cost.steps == 0)
			return;
		--this->failures;
		const std::vector<std::string> names = this->HostNames();
		const std::string &name = names[this->random.Below(names.size())];
		const Host &host = this->fleet.state.hosts.at(name);
		if (host.phase != EHostPhase::Out && host.health == EHostHealth::Healthy)
			this->Step(name, EHostStep::Failed);
	}

	void Step(const std::string &inHost, EHostStep inStep)
	{
		const Host &host = this->fleet.state.hosts.at(inHost);
		this->fleet.Apply(StepHost{inHost, inStep, host.generation, host.wave, "", 1});
	}

	std::vector<std::string> HostNames() const
	{
		std::vector<std::string> names;
		for (const auto &[name, host] : this->fleet.state.hosts)
			names.push_back(name);
		return names;
	}

	double IdlePercent() const
	{
		int64 capacity = 0;
		int64 used = 0;
		for (const auto &[name, host] : this->fleet.state.hosts)
		{
			capacity += host.IsAvailable() ? host.spec.capacity.cpu_milli : 0;
			used += host.used.cpu_milli;
		}
		return capacity == 0 ? 0.0 : 100.0 * static_cast<double>(capacity - used) / static_cast<double>(capacity);
	}

	void RecordSlack()
	{
		for (const auto &[pool, counts] : this->fleet.state.pool_counts)
		{
			const uint32 required = this->fleet.state.RequiredAvailable(pool);
			this->cost.lowest_slack = std::min(this->cost.lowest_slack, counts.available > required ? counts.available - required : 0);
		}
	}

	FleetBuilder fleet;
	Random random;
	uint32 failures;
	WaveCost cost;
	std::map<ReplicaKey, uint32> moves_by_replica;
};

} // namespace

WaveCost RunPolicyInUse(const FleetShape &inShape, uint32 inFailures, uint64 inSeed)
{
	return WaveRun<WeightedPlacement, LargestSafeSet>(inShape, inFailures, inSeed).Run();
}

WaveCost RunOneAtATime(const FleetShape &inShape, uint32 inFailures, uint64 inSeed)
{
	return WaveRun<FirstFitPlacement, OneAtATime>(inShape, inFailures, inSeed).Run();
}

WaveCost RunFixedShare(const FleetShape &inShape, uint32 inFailures, uint64 inSeed)
{
	return WaveRun<FirstFitPlacement, FixedShare>(inShape, inFailures, inSeed).Run();
}

uint32 MinSteps(const FleetShape &inShape)
{
	const FleetBuilder fleet(inShape);
	uint32 steps = 0;
	for (const auto &[pool, counts] : fleet.state.pool_counts)
	{
		const uint32 budget = counts.hosts - fleet.state.RequiredAvailable(pool);
		if (budget > 0)
			steps = std::max(steps, (counts.hosts + budget - 1) / budget);
	}
	return steps;
}

uint32 MinMoves(const FleetShape &inShape)
{
	FleetBuilder fleet(inShape);
	fleet.PlaceAll();
	uint32 moves = 0;
	for (const auto &[name, host] : fleet.state.hosts)
		moves += static_cast<uint32>(host.replicas.size());
	return moves;
}

} // namespace Loomreach
