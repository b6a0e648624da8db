// Plans changes of the membership view: joining, removing members that have been unresponsive for too long, and the reset when all holders
// of some claim range are lost. Does no I/O; each proposal is checked again when it is applied.

#pragma once

#include <Loomreach/Member/PeerTracker.h>

namespace Loomreach
{

/// Inputs of the planner. Times in ms.
struct ViewInputs
{
	const FleetState &state;
	const PeerTracker &tracker;
	Member self;
	Millis now = 0;
	Millis listening_since = 0;  ///< Start of the time in which this process has received heartbeats without a gap.
	Millis remove_after = 15000; ///< Time without heartbeats after which a member is removed.
	Millis suspect_after = 3000; ///< Time without heartbeats after which an incarnation that has a live successor is removed.
};

/// Tracks since when this process has run without a pause. A paused process has missed heartbeats and must not conclude from this that the
/// others are lost.
class ListeningSpan
{
public:
	/// To be called in each round. Returns the start of the time without pauses longer than `inMaxGap` ms.
	Millis Update(Millis inNow, Millis inMaxGap)
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

/// Whether this entry host's zone should write a log heartbeat: some other zone of the view has not been heard over UDP for `inSilence` ms,
/// and so may not hear this one either.
bool NeedsLogHeartbeat(const View &inView, const PeerTracker &inTracker, const std::string &inOwnZone, Millis inSilence, Millis inNow);

/// Returns the change of the view that this entry host should propose, or nothing.
std::optional<ChangeView> PlanView(const ViewInputs &inInputs);

} // namespace Loomreach
