// Decides which hosts of one pool leave for maintenance, and takes drains back when failures use up the budget.
// Pure: accepted state in, proposals out; the fold refuses whatever would break a budget.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// What a planning round wants.
struct WavePlan
{
	std::vector<ProposalBody> proposals;
	uint32 drains = 0;
	uint32 taken_back = 0;
	std::string held_by; ///< What keeps the next host from leaving, for `wave status`; empty: nothing.
};

/// What varies between policies: how many hosts may leave at once, and whether the spare capacity is reckoned.
template <class P>
concept WavePolicy = requires(const FleetState &inState, const PoolSpec &inPool, uint32 inOut)
{
	{
		P::MayTake(inState, inPool, inOut)
		} -> std::same_as<uint32>;
	{
		P::cChecksRoom
		} -> std::convertible_to<bool>;
	{
		P::cFewestReplicasFirst
		} -> std::convertible_to<bool>;
};

/// The policy in use: as many as the budget and the width allow, the emptiest first, as long as their replicas find room
/// on hosts that stay and the largest rack's worth (or the share that the settings state) is still spare. A pool that cannot
/// have that buffer still goes one host at a time. Pools that weigh moves take no more than hosts that the wave no longer wants can take
/// in.
struct LargestSafeSet
{
	static constexpr bool cChecksRoom = true;
	static constexpr bool cFewestReplicasFirst = true;
	static uint32 MayTake(const FleetState &inState, const PoolSpec &inPool, uint32 inOut);
};

/// Baseline: one host at a time, in order of names.
struct OneAtATime
{
	static constexpr bool cChecksRoom = false;
	static constexpr bool cFewestReplicasFirst = false;
	static uint32 MayTake(const FleetState &, const PoolSpec &, uint32 inOut) { return inOut == 0 ? 1 : 0; }
};

/// Baseline: a fixed tenth of the pool at a time, in order of names.
struct FixedShare
{
	static constexpr bool cChecksRoom = false;
	static constexpr bool cFewestReplicasFirst = false;
	static uint32 MayTake(const FleetState &inState, const PoolSpec &inPool, uint32 inOut);
};

/// Spare capacity of a pool, as `pool show` and the planner reckon it. Processor time in thousandths of a core.
struct Buffer
{
	int64 capacity = 0; ///< Of available hosts.
	int64 firm = 0;     ///< Held by replicas that may not be displaced for the buffer (services).
	int64 soft = 0;     ///< Held by batch replicas, which give way first.
	int64 wanted = 0;   ///< To be spare: the largest rack's firm load, or the stated share of the capacity.
	int64 Spare() const { return this->capacity - this->firm; }
};

/// Reckons a pool's buffer, as if the hosts in `inWithout` were gone and their firm load stayed to be placed.
Buffer ReckonBuffer(const FleetState &inState, const PoolSpec &inPool, const std::set<std::string> &inWithout);

/// Whether a wave that is running or paused has yet to take a host out.
bool IsPendingInWave(const FleetState &inState, const std::string &inHost);

/// Plans waves and operators' drains of one pool.
template <WavePolicy P>
class BasicWavePlanner
{
public:
	/// Hosts in `inUnheard` are counted as unavailable: nobody of their availability zone has been heard lately.
	BasicWavePlanner(const FleetState &inState, std::string inPool, const std::set<std::string> &inUnheard)
		: state(inState), pool(std::move(inPool)), unheard(inUnheard)
	{
	}
	/// One round.
	WavePlan Plan();

private:
	void TakeBack(const std::vector<const Host *> &inHosts);
	std::vector<std::pair<const Host *, std::string>> Pending(const std::vector<const Host *> &inHosts) const;
	bool LeavesRoom(const PoolSpec &inPool, const std::set<std::string> &inGone, bool inAnyOut) const;
	int64 SettledRoom(const std::vector<const Host *> &inHosts) const;

	const FleetState &state;
	std::string pool;
	const std::set<std::string> &unheard;
	WavePlan plan;
};

using WavePlanner = BasicWavePlanner<LargestSafeSet>;

} // namespace Loomreach

#include <Loomreach/Fleet/WavePlanner.inl>
