// Decides changes of the membership view: joining, removing members that have been silent for long, and the reset
// when every holder of some claim range is gone. Pure; the fold checks each proposal again.

#pragma once

#include <Loomreach/Member/PeerTracker.h>

namespace Loomreach
{

/// What the planner looks at.
struct ViewInputs
{
	const FleetState &state;
	const PeerTracker &tracker;
	Member self;
	Millis now = 0;
	Millis started = 0;          ///< When this process began to listen.
	Millis remove_after = 15000; ///< Silence after which a member is removed.
};

/// The view that this entry host would propose now, or nothing.
std::optional<ChangeView> PlanView(const ViewInputs &inInputs);

} // namespace Loomreach
