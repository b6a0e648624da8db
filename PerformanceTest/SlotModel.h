// Slots of workers shared by entry hosts that do not see each other's requests: three policies over the same seeded arrivals.

#pragma once

#include <Loomreach/Request/SlotShare.h>

namespace Loomreach
{

/// What a policy did with the arrivals.
struct SlotCost
{
	double utilisation = 0;    ///< Mean share of slots in use, percent.
	double served = 0;         ///< Requests that began within their deadline, percent.
	double refused_full = 0;   ///< Tries that a worker refused for want of a slot, a request.
	uint32 most_in_flight = 0; ///< At one worker, of 8 slots; the worker itself never goes beyond.
};

/// Load of the model.
struct SlotLoad
{
	uint32 entry_hosts = 6;
	uint32 workers = 10;
	double load = 0.9; ///< Share of the whole capacity that arrives.
	double skew = 0.0; ///< 0: the balancer spreads evenly; 0.8: one entry host gets four fifths.
};

/// Runs a load under a policy; reports of demand are 200 ms old on the mean.
template <SharePolicy P>
SlotCost RunSlots(const SlotLoad &inLoad, uint64 inSeed);

extern template SlotCost RunSlots<FixedSlotShare>(const SlotLoad &, uint64);
extern template SlotCost RunSlots<DemandSlotShare>(const SlotLoad &, uint64);
extern template SlotCost RunSlots<EndpointRefusal>(const SlotLoad &, uint64);

} // namespace Loomreach
