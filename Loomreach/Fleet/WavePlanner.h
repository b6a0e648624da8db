// Decides which hosts of one pool are drained for maintenance, and cancels drains when failures use up the availability budget. Pure:
// accepted state in, proposals out. Whatever would exceed a budget is refused when the proposal is applied.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Result of a planning round.
struct WavePlan
{
	std::vector<ProposalBody> proposals;
	uint32 drains = 0;
	uint32 cancelled_drains = 0;
	std::string held_by; ///< What keeps the next host from being drained, for `wave status`; empty: nothing.
};

/// A wave policy: how many hosts may leave at the same time, whether spare capacity is checked, and the order of hosts.
template <class P>
concept WavePolicy = requires(const FleetState &inState, const PoolSpec &inPool, uint32 inOutCount)
{
	{
		P::MaxDrains(inState, inPool, inOutCount)
		} -> std::same_as<uint32>;
	{
		P::cChecksCapacity
		} -> std::convertible_to<bool>;
	{
		P::cFewestReplicasFirst
		} -> std::convertible_to<bool>;
};

/// The policy in use: as many hosts as the budget and the wave width allow, those with the fewest replicas first, as long as their
/// replicas fit on the hosts that stay and the buffer is kept: the load of the largest rack, or the percentage that the settings state. A
/// pool that cannot have that buffer still proceeds one host at a time. In pools that weigh moves over buffer, only as many hosts are
/// drained as the hosts that no wave has yet to take can absorb.
struct LargestSafeSet
{
	static constexpr bool cChecksCapacity = true;
	static constexpr bool cFewestReplicasFirst = true;
	static uint32 MaxDrains(const FleetState &inState, const PoolSpec &inPool, uint32 inOutCount);
};

/// Baseline: one host at a time, by name.
struct OneAtATime
{
	static constexpr bool cChecksCapacity = false;
	static constexpr bool cFewestReplicasFirst = false;
	static uint32 MaxDrains(const FleetState &, const PoolSpec &, uint32 inOutCount) { return inOutCount == 0 ? 1 : 0; }
};

/// Baseline: a tenth of the pool at a time, by name.
struct FixedShare
{
	static constexpr bool cChecksCapacity = false;
	static constexpr bool cFewestReplicasFirst = false;
	static uint32 MaxDrains(const FleetState &inState, const PoolSpec &inPool, uint32 inOutCount);
};

/// Spare capacity of a pool, as `pool show` and the planner compute it. Processor time in thousandths of a core.
struct Buffer
{
	int64 capacity = 0;    ///< Of available hosts.
	int64 service_cpu = 0; ///< Used by replicas of services, which are not displaced for the buffer.
	int64 batch_cpu = 0;   ///< Used by batch replicas, which are displaced first.
	int64 required = 0;    ///< Required spare capacity: the service load of the largest rack, or the stated percentage of the capacity.
	int64 Spare() const { return this->capacity - this->service_cpu; }
};

/// Computes the spare capacity of a pool as if the hosts in `inExcluded` were unavailable and their service load still had to be placed.
Buffer ComputeBuffer(const FleetState &inState, const PoolSpec &inPool, const std::set<std::string> &inExcluded);

/// Whether a running or paused wave has yet to take the host out.
bool IsPendingInWave(const FleetState &inState, const std::string &inHost);

/// Plans the waves of one pool, and the drains that operators order.
template <WavePolicy P>
class BasicWavePlanner
{
public:
	/// Hosts in `inUnheard` count as unavailable: no entry host of their availability zone has been heard from recently.
	BasicWavePlanner(const FleetState &inState, std::string inPool, const std::set<std::string> &inUnheard)
		: state(inState), pool(std::move(inPool)), unheard(inUnheard)
	{
	}
	/// One planning round.
	WavePlan Plan();

private:
	/// Cancels as many drains as the availability budget lacks hosts.
	void CancelDrains(const std::vector<const Host *> &inHosts);
	/// Hosts that running waves have yet to drain, in the order in which to drain them, each with the name of its wave.
	std::vector<std::pair<const Host *, std::string>> Pending(const std::vector<const Host *> &inHosts) const;
	/// Whether the pool keeps enough spare capacity without these hosts. The buffer is required only if a host is out already
	/// (`inAnyOut`).
	bool KeepsBuffer(const PoolSpec &inPool, const std::set<std::string> &inUnavailable, bool inAnyOut) const;
	/// Free capacity of the hosts that no wave has yet to take, minus what draining hosts will move there.
	int64 SettledCapacity(const std::vector<const Host *> &inHosts) const;

	const FleetState &state;
	std::string pool;
	const std::set<std::string> &unheard;
	WavePlan plan;
};

using WavePlanner = BasicWavePlanner<LargestSafeSet>;

} // namespace Loomreach

#include <Loomreach/Fleet/WavePlanner.inl>
