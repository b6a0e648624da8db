// Overload: the dispatcher in use against a plain first-in-first-out queue without deadlines, over the same seeded arrivals.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// What became of the requests, percent of those that arrived.
struct OverloadCost
{
	double good_high = 0;       ///< Of the high class, answered within the deadline.
	double good_low = 0;        ///< Of the low class.
	double goodput = 0;         ///< Answered within the deadline, share of the capacity.
	double mean_refusal_ms = 0; ///< Time until a refused caller knew.
	double attempts = 0;        ///< Attempts a request that was started.
};

/// Load of the model.
struct OverloadCase
{
	double load = 1.0;       ///< Times the capacity; half of it of the high class.
	uint32 dead_workers = 0; ///< Of nine, dead from the middle of the run on: they refuse connections.
};

OverloadCost RunDispatcher(const OverloadCase &inCase, uint64 inSeed);
OverloadCost RunFifo(const OverloadCase &inCase, uint64 inSeed);

} // namespace Loomreach
