// Rolling maintenance: starts one wave per pool, so that every host is maintained once in the period that the settings state. The waves
// of the pools are spread over the period. The date is used for scheduling only; no guarantee depends on it. Pure: does no I/O, time is
// passed in.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// The wave that `maintain_every_days` of a pool requires now, if any.
/// `inDateS`: seconds since 1970 by the clock of the assigned planner; a wrong clock shifts the due time and has no other effect.
std::optional<StartWave> PlanRolling(const FleetState &inState, const PoolSpec &inPool, int64 inDateS);

} // namespace Loomreach
