// Policies by which entry hosts that do not see each other's requests share the slots of one worker. docs/design/requests.md compares the
// three.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Input of a share.
struct ShareInput
{
	uint32 slots = 0; ///< Slots that the worker offers.
	uint32 self = 0;  ///< Index of this entry host among the members.
	/// Requests in flight and waiting of each member as last reported, in rendezvous order for the worker.
	std::span<const uint32> demands;
};

/// A policy computes the limit of one entry host at one worker.
template <class P>
concept SharePolicy = requires(const ShareInput &inInput)
{
	{
		P::Limit(inInput)
		} -> std::same_as<uint32>;
};

/// Equal shares; the remainder is assigned in rendezvous order. Never exceeds the slots of the worker, but wastes slots when the load is
/// uneven.
struct FixedSlotShare
{
	static uint32 Limit(const ShareInput &inInput);
};

/// The policy in use: shares in proportion to the reported demand, by largest remainders. A member without a share may still use one
/// slot: the worker has the final decision and refuses requests for which it has no slot.
struct DemandSlotShare
{
	static uint32 Limit(const ShareInput &inInput);
};

/// Every entry host may use all slots, and the worker refuses requests for which it has none.
struct UnlimitedSlotShare
{
	static uint32 Limit(const ShareInput &inInput) { return inInput.slots; }
};

} // namespace Loomreach
