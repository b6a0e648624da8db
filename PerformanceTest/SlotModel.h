// Slot model: compares policies by which entry hosts, none of which sees the others' requests, share the slots of workers. All policies get
// the same seeded arrivals.

#pragma once

#include <Loomreach/Request/SlotShare.h>

namespace Loomreach
{

/// Outcome of a run under a policy.
struct SlotCost
{
	double utilisation = 0;   ///< Mean share of slots in use, percent.
	double served = 0;        ///< Requests that started within their deadline, percent.
	double refused_full = 0;  ///< Attempts per request that a worker refused because it had no free slot.
	uint32 max_in_flight = 0; ///< Maximum at one worker of 8 slots; a worker never accepts more.
};

/// Load of the model.
struct SlotLoad
{
	uint32 entry_hosts = 6;
	uint32 workers = 10;
	double load = 0.9; ///< Arrivals as a share of the whole capacity.
	double skew = 0.0; ///< 0: the load balancer spreads requests evenly; 0.8: one entry host gets four fifths.
};

/// Runs the model under a policy. Entry hosts know each other's demand by reports that are 200 ms old on average.
template <SharePolicy P>
SlotCost RunSlots(const SlotLoad &inLoad, uint64 inSeed);

extern template SlotCost RunSlots<FixedSlotShare>(const SlotLoad &, uint64);
extern template SlotCost RunSlots<DemandSlotShare>(const SlotLoad &, uint64);
extern template SlotCost RunSlots<UnlimitedSlotShare>(const SlotLoad &, uint64);

} // namespace Loomreach
