// Overload model: compares the dispatcher with a plain first-in-first-out queue without deadlines, over the same seeded arrivals.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Outcome of a run; shares are percent of the requests that arrived, if not stated otherwise.
struct OverloadCost
{
	double in_time_high = 0;    ///< High-priority requests answered within the deadline.
	double in_time_low = 0;     ///< Low-priority requests answered within the deadline.
	double goodput = 0;         ///< Requests answered within the deadline, percent of the capacity.
	double mean_refusal_ms = 0; ///< Mean time until a refused caller got its refusal.
	double attempts = 0;        ///< Attempts per request that was started.
};

/// Load of the model.
struct OverloadCase
{
	double load = 1.0;         ///< Arrivals as a multiple of the capacity; half of them have high priority.
	uint32 failed_workers = 0; ///< Of nine workers, those that refuse connections from the middle of the run on.
};

/// Runs the model with the real dispatcher.
OverloadCost RunDispatcher(const OverloadCase &inCase, uint64 inSeed);
/// Runs the model with a first-in-first-out queue.
OverloadCost RunFifo(const OverloadCase &inCase, uint64 inSeed);

} // namespace Loomreach
