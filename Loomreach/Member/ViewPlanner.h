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
	Millis listening_since = 0;  ///< Since when this process has listened without a gap.
	Millis remove_after = 15000; ///< Silence after which a member is removed.
	Millis suspect_after = 3000; ///< Silence after which an incarnation that was followed by another counts as over.
};

/// Since when a process has listened without a gap. One that was paused has missed heartbeats and must not take
/// the others' silence for their end.
class ListeningSpan
{
public:
	/// Called in each round. Returns the start of the span without gaps longer than `inMaxGap`.
	Millis Note(Millis inNow, Millis inMaxGap)
	{
		if (this->last == 0 || inNow - this->last > inMaxGap)
			this->since = inNow;
		this->last = inNow;
		return this->since;
	}

private:
	Millis last = 0;
	Millis since = 0;
};

/// Whether this entry host's zone should tell by the log that it lives: some other zone of the view is not heard by UDP,
/// and so may not hear this one.
bool NeedsLogBeat(const View &inView, const PeerTracker &inTracker, const std::string &inOwnZone, Millis inSilence, Millis inNow);

/// The view that this entry host would propose now, or nothing.
std::optional<ChangeView> PlanView(const ViewInputs &inInputs);

} // namespace Loomreach
