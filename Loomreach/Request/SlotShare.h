// How entry hosts that do not see each other's requests share one worker's slots. Three policies were weighed;
// docs/design/requests.md has the figures.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// What a share is worked out from.
struct ShareInput
{
	uint32 slots = 0; ///< Slots that the worker offers.
	uint32 self = 0;  ///< Index of this entry host among the members.
	std::span<const uint32>
		demands; ///< Requests in flight and waiting of each member, as last reported; in rendezvous order for the worker.
};

/// A policy for the limit of one entry host at one worker.
template <class P>
concept SharePolicy = requires(const ShareInput &inInput)
{
	{
		P::Limit(inInput)
		} -> std::same_as<uint32>;
};

/// An equal share, the remainder by rendezvous order. Never oversubscribes; wastes slots when the load is skewed.
struct FixedSlotShare
{
	static uint32 Limit(const ShareInput &inInput);
};

/// Shares that follow the reported demand by largest remainders. A member without a share may borrow one slot: the worker
/// has the last word and refuses what does not fit. The policy in use.
struct DemandSlotShare
{
	static uint32 Limit(const ShareInput &inInput);
};

/// Every entry host takes all slots and the worker refuses what does not fit.
struct EndpointRefusal
{
	static uint32 Limit(const ShareInput &inInput) { return inInput.slots; }
};

} // namespace Loomreach
