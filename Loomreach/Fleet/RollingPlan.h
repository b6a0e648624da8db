// Starts maintenance waves by itself, pool by pool, so that every host is maintained once in the period that the settings state.
// Pools take their turns spread over the period. The date only schedules: no promise rests on it. Pure.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// What `maintain_every_days` of a pool asks for now.
/// `inDateS`: seconds since 1970 by the steward's own clock; a clock that is off shifts a turn, nothing else.
std::optional<StartWave> PlanRolling(const FleetState &inState, const PoolSpec &inPool, int64 inDateS);

} // namespace Loomreach
